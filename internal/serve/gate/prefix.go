package gate

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/link/wire"
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

// prefixes remembers when parts of prompts were used last, by any process, and
// what peers still have to be told.
type prefixes struct {
	mu   sync.Mutex
	used map[string]clock.Millis
	tell []wire.PrefixUse
}

// hot tells for each part whether it was read somewhere a moment ago.
func (p *prefixes) hot(parts []spell.Part, now clock.Millis) []bool {
	hot := make([]bool, len(parts))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, part := range parts {
		used, found := p.used[part.ID]
		hot[i] = found && now-used <= hotFor
	}
	return hot
}

// note remembers the use of parts. The caller holds the lock.
func (p *prefixes) note(ids []string, now clock.Millis) {
	if p.used == nil {
		p.used = make(map[string]clock.Millis)
	}
	if len(p.used) > maxHot {
		for id, used := range p.used {
			if now-used > hotFor {
				delete(p.used, id)
			}
		}
	}
	for _, id := range ids {
		p.used[id] = now
	}
}

// sent remembers that this process sent the shared parts of a prompt.
func (g *Gate) sent(t *target, parts []spell.Part) {
	shared := max(len(parts)-1, 0)
	if shared == 0 {
		return
	}
	ids := make([]string, shared)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	now := g.Clock.Now()
	t.use(ids, now)
	p := &g.prefixes
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(ids, now)
	if len(p.tell) < maxTold {
		p.tell = append(p.tell, wire.PrefixUse{Endpoint: t.ID, Parts: ids})
	}
}

// Prefixes returns what peers have not been told yet.
func (g *Gate) Prefixes() []wire.PrefixUse {
	p := &g.prefixes
	p.mu.Lock()
	defer p.mu.Unlock()
	tell := p.tell
	p.tell = nil
	return tell
}

// TakePrefixes remembers what a peer sent.
func (g *Gate) TakePrefixes(uses []wire.PrefixUse) {
	now := g.Clock.Now()
	snapshot := g.View()
	for _, use := range uses {
		if e := snapshot.Find(use.Endpoint); e != nil {
			g.targets.of(e).use(use.Parts, now)
		}
		g.prefixes.mu.Lock()
		g.prefixes.note(use.Parts, now)
		g.prefixes.mu.Unlock()
	}
}
