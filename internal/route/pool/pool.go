package pool

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Exclusion is a reason why an endpoint gets no new work. Several can hold at once.
type Exclusion uint8

// Reasons why an endpoint gets no new work.
const (
	// ExcludeLeaving: its agent or the platform says that it leaves.
	ExcludeLeaving Exclusion = 1 << iota
	// ExcludeZone: operators took its availability zone out.
	ExcludeZone
	// ExcludeDisabled: operators took the endpoint out.
	ExcludeDisabled
	// ExcludeUnreachable: its session has been silent for too long.
	ExcludeUnreachable
)

// View is an immutable picture of the endpoints that may get new work.
type View struct {
	// Near are those in this entry's availability zone.
	Near []*Endpoint
	// Far are the others.
	Far []*Endpoint
	// Total counts all endpoints, also those without new work.
	Total int
}

// Len returns the number of endpoints that may get new work.
func (v *View) Len() int { return len(v.Near) + len(v.Far) }

// At returns the endpoint at a place below Len, the near ones first.
func (v *View) At(i int) *Endpoint {
	if i < len(v.Near) {
		return v.Near[i]
	}
	return v.Far[i-len(v.Near)]
}

// Pool is the endpoints of one pool that this entry knows. Readers take the
// View by read-copy-update; only changes of membership take the lock.
type Pool struct {
	zone  string
	view  atomic.Pointer[View]
	usual atomic.Int64 // see Endpoint

	mu      sync.Mutex
	members map[string]*member
}

type member struct {
	endpoint *Endpoint
	bars     Exclusion
}

// New returns an empty pool as seen from an availability zone.
func New(zone string) *Pool {
	p := &Pool{zone: zone, members: make(map[string]*member)}
	p.view.Store(&View{})
	return p
}

// View returns the endpoints that may get new work.
func (p *Pool) View() *View { return p.view.Load() }

// Add makes an endpoint known, and returns it; one that is known already under
// the same address and zone stays as it is. A new one starts with bars.
func (p *Pool) Add(identity Identity, bars Exclusion) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.members[identity.Name]; known != nil && known.endpoint.Identity == identity {
		return known.endpoint
	}
	endpoint := newEndpoint(identity, &p.usual)
	p.members[identity.Name] = &member{endpoint: endpoint, bars: bars}
	p.publish()
	return endpoint
}

// Remove forgets an endpoint.
func (p *Pool) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.members[name]; !known {
		return
	}
	delete(p.members, name)
	p.publish()
}

// Endpoint returns the endpoint of that name, or nil.
func (p *Pool) Endpoint(name string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.members[name]; known != nil {
		return known.endpoint
	}
	return nil
}

// SetExclusion sets or lifts one reason against new work and reports whether this
// changed anything.
func (p *Pool) SetExclusion(name string, bar Exclusion, set bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.setBar(p.members[name], bar, set) {
		return false
	}
	p.publish()
	return true
}

// Apply sets or lifts one reason for every endpoint as the rule says. It takes
// in a new release: zones and endpoints that were taken out take effect at once.
func (p *Pool) Apply(bar Exclusion, rule func(Identity) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for _, known := range p.members {
		if p.setBar(known, bar, rule(known.endpoint.Identity)) {
			changed = true
		}
	}
	if changed {
		p.publish()
	}
}

func (p *Pool) setBar(known *member, bar Exclusion, set bool) bool {
	if known == nil {
		return false
	}
	next := known.bars &^ bar
	if set {
		next |= bar
	}
	changed := next != known.bars
	known.bars = next
	return changed
}

// publish rebuilds the view, ordered by name so that equal pools look equal.
func (p *Pool) publish() {
	view := &View{Total: len(p.members)}
	for _, known := range p.members {
		switch {
		case known.bars != 0:
		case known.endpoint.AvailabilityZone == p.zone:
			view.Near = append(view.Near, known.endpoint)
		default:
			view.Far = append(view.Far, known.endpoint)
		}
	}
	byName := func(a, b *Endpoint) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	}
	slices.SortFunc(view.Near, byName)
	slices.SortFunc(view.Far, byName)
	p.view.Store(view)
}

// Subset returns the members that an entry keeps sessions to: those with the
// highest rendezvous weight for this entry. It is deterministic, so a restart
// finds the same ones, and a member that leaves changes one place for each
// entry that had it. Endpoints of the own zone come first up to three quarters.
func Subset(entry, zone string, members []Identity, size int) []Identity {
	if len(members) <= size {
		return slices.Clone(members)
	}
	seed := xxhash.Sum64String(entry)
	ranked := slices.Clone(members)
	weight := func(m Identity) uint64 { return Weight(seed, xxhash.Sum64String(m.Pool+"/"+m.Name)) }
	sort.Slice(ranked, func(i, j int) bool { return weight(ranked[i]) > weight(ranked[j]) })
	chosen := make([]Identity, 0, size)
	rest := make([]Identity, 0, len(members))
	for _, m := range ranked {
		if m.AvailabilityZone == zone && len(chosen) < size*3/4 {
			chosen = append(chosen, m)
			continue
		}
		rest = append(rest, m)
	}
	return append(chosen, rest[:size-len(chosen)]...)
}

// Weight joins two hashes into one rendezvous weight.
func Weight(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
