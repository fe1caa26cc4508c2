package permit

import (
	"maps"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// sharing is what is known of whether the engines of a pool share their hosts.
type sharing int

const (
	// unanswered pools have not answered this process yet.
	unanswered sharing = iota
	// suspected pools have broken off requests and answered none. Engines that share their hosts
	// crash when they get more than they have memory for, before they could state it.
	suspected
	// alone pools have answered without stating that their engines share their hosts.
	alone
	// shared pools have an engine that has stated it. That holds for later engines, too.
	shared
)

// pools holds what is known of the pools, by name.
type pools struct {
	mu    sync.RWMutex
	known map[string]sharing
	// told holds the pools of which other processes state that the engines share their hosts.
	told map[string]bool
}

// observe records an answer of an engine.
func (p *pools) observe(pool string, info *spell.ResponseInfo) {
	state := alone
	switch {
	case info.Slowdown > 0:
		state = shared
	case info.LoadFault != "":
		return
	}
	p.mu.RLock()
	known := p.known[pool]
	p.mu.RUnlock()
	if known >= state {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known[pool] = max(p.known[pool], state)
}

// mayShare reports whether the engines of a pool share their hosts, as far as known.
func (p *pools) mayShare(pool string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	switch p.known[pool] {
	case shared, suspected:
		return true
	case alone:
		return false
	default:
		return p.told[pool]
	}
}

// mayShare reports whether an engine shares its host, as far as known.
func (b *Book) mayShare(e *view.Endpoint) bool {
	return b.pools.mayShare(e.Pool) || e.Load.LearnedSlowdown() > 0
}

// ObserveBreak records that an endpoint broke off a request before its answer.
func (b *Book) ObserveBreak(e *view.Endpoint) {
	b.pools.mu.Lock()
	defer b.pools.mu.Unlock()
	if b.pools.known[e.Pool] == unanswered {
		b.pools.known[e.Pool] = suspected
		b.log.Info("endpoints of a pool may share their hosts", "pool", e.Pool, "endpoint", e.ID)
	}
}

// SharedPools returns the pools whose engines have stated that they share their hosts, to this
// process or to another one, in a fixed order.
func (b *Book) SharedPools() []string {
	b.pools.mu.RLock()
	defer b.pools.mu.RUnlock()
	names := make(map[string]bool)
	for pool := range b.pools.told {
		if b.pools.known[pool] != alone {
			names[pool] = true
		}
	}
	for pool, state := range b.pools.known {
		if state == shared {
			names[pool] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// TakeSharedPools replaces the pools of which other processes state that their engines share
// their hosts.
func (b *Book) TakeSharedPools(names []string) {
	told := make(map[string]bool, len(names))
	for _, name := range names {
		told[name] = true
	}
	b.pools.mu.Lock()
	defer b.pools.mu.Unlock()
	b.pools.told = told
}
