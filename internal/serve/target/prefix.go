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
	// recentUseWindow is how long after its last use by any engine a part counts
	// as recently used: if an engine reads it again in this time, that counts as
	// waste. The deployments of users state 9 to 9.6 s.
	recentUseWindow = 9600 * clock.Millis(1)
	// maxRecent is the number of stored parts above which old ones are removed,
	// maxUnsent the largest number of uses that are queued for peers.
	maxRecent = 8192
	maxUnsent = 1024
)

// Key identifies a part of a prompt in messages between processes.
type Key = uint32

// KeyOf returns the key of the part with the given ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// KeysOf returns the keys of a prompt's parts.
func KeysOf(parts []spell.Part) []Key {
	keys := make([]Key, len(parts))
	for i, part := range parts {
		keys[i] = KeyOf(part.ID)
	}
	return keys
}

// Prefixes stores when any process last used each part of a prompt, and the uses
// that were not yet sent to peers.
type Prefixes struct {
	set *Set

	mu       sync.Mutex
	lastUsed map[Key]clock.Millis
	unsent   []wire.PrefixUse
}

// RecentlyUsed returns for each part whether any engine used it within
// recentUseWindow.
func (p *Prefixes) RecentlyUsed(keys []Key, now clock.Millis) []bool {
	recent := make([]bool, len(keys))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, key := range keys {
		used, found := p.lastUsed[key]
		recent[i] = found && now-used <= recentUseWindow
	}
	return recent
}

// NewPrefixes returns an empty store for prompts sent to the endpoints of a set.
func NewPrefixes(set *Set) *Prefixes {
	return &Prefixes{set: set, lastUsed: make(map[Key]clock.Millis)}
}

// recordUse stores the last use of parts. The caller holds the lock.
func (p *Prefixes) recordUse(keys []Key, now clock.Millis) {
	if len(p.lastUsed) > maxRecent {
		for key, used := range p.lastUsed {
			if now-used > recentUseWindow {
				delete(p.lastUsed, key)
			}
		}
	}
	for _, key := range keys {
		p.lastUsed[key] = now
	}
}

// RecordSent stores the use of a prompt's shared parts that this process sent to
// a target. The last part is ignored, because no other request shares it.
func (p *Prefixes) RecordSent(t *Target, keys []Key) {
	if len(keys) < 2 {
		return
	}
	shared := keys[:len(keys)-1]
	now := p.set.Clock.Now()
	t.MarkUsed(shared, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordUse(shared, now)
	if len(p.unsent) < maxUnsent {
		p.unsent = append(p.unsent, wire.PrefixUse{Endpoint: t.ID, Parts: shared})
	}
}

// TakeUnsent removes and returns the uses that were not yet sent to peers.
func (p *Prefixes) TakeUnsent() []wire.PrefixUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	unsent := p.unsent
	p.unsent = nil
	return unsent
}

// Apply stores uses that a peer sent. The function find returns the endpoint with
// an ID, or nil.
func (p *Prefixes) Apply(uses []wire.PrefixUse, find func(id string) *view.Endpoint) {
	now := p.set.Clock.Now()
	for _, use := range uses {
		if e := find(use.Endpoint); e != nil {
			p.set.Get(e).MarkUsed(use.Parts, now)
		}
		p.mu.Lock()
		p.recordUse(use.Parts, now)
		p.mu.Unlock()
	}
}
