package target

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// hotFor is how long after its last use a part that is read again counts as
	// a waste; the users' deployments state 9 to 9.6 s.
	hotFor = 9600 * clock.Millis(1)
	// maxHot bounds the parts that are remembered, maxTold those that wait to be
	// told to peers.
	maxHot  = 8192
	maxTold = 1024
)

// Key names a part of a prompt among processes.
type Key = uint32

// KeyOf returns the key of a part by its id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// KeysOf returns the keys of a prompt's parts.
func KeysOf(parts []spell.Part) []Key {
	keys := make([]Key, len(parts))
	for i, part := range parts {
		keys[i] = KeyOf(part.ID)
	}
	return keys
}

// Prefixes remembers when parts of prompts were used last, by any process, and
// what peers still have to be told.
type Prefixes struct {
	set *Set

	mu   sync.Mutex
	used map[Key]clock.Millis
	tell []wire.PrefixUse
}

// RecentlyUsed tells for each part whether it was read somewhere a moment ago.
func (p *Prefixes) RecentlyUsed(keys []Key, now clock.Millis) []bool {
	hot := make([]bool, len(keys))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, key := range keys {
		used, found := p.used[key]
		hot[i] = found && now-used <= hotFor
	}
	return hot
}

// NewPrefixes returns an empty memory of prompts at the endpoints of a set.
func NewPrefixes(set *Set) *Prefixes {
	return &Prefixes{set: set, used: make(map[Key]clock.Millis)}
}

// note remembers the use of parts. The caller holds the lock.
func (p *Prefixes) note(keys []Key, now clock.Millis) {
	if len(p.used) > maxHot {
		for key, used := range p.used {
			if now-used > hotFor {
				delete(p.used, key)
			}
		}
	}
	for _, key := range keys {
		p.used[key] = now
	}
}

// RecordSent remembers that this process sent a prompt with shared parts; the last
// part belongs to the request alone.
func (p *Prefixes) RecordSent(t *Target, keys []Key) {
	if len(keys) < 2 {
		return
	}
	shared := keys[:len(keys)-1]
	now := p.set.clock.Now()
	t.MarkUsed(shared, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(shared, now)
	if len(p.tell) < maxTold {
		p.tell = append(p.tell, wire.PrefixUse{Endpoint: t.ID, Parts: shared})
	}
}

// TakeUnsent returns what peers have not been told yet.
func (p *Prefixes) TakeUnsent() []wire.PrefixUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	tell := p.tell
	p.tell = nil
	return tell
}

// Apply remembers what a peer sent. Find returns an endpoint by its id.
func (p *Prefixes) Apply(uses []wire.PrefixUse, find func(id string) *view.Endpoint) {
	now := p.set.clock.Now()
	for _, use := range uses {
		if e := find(use.Endpoint); e != nil {
			p.set.Get(e).MarkUsed(use.Parts, now)
		}
		p.mu.Lock()
		p.note(use.Parts, now)
		p.mu.Unlock()
	}
}
