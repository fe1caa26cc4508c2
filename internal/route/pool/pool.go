package pool

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Exclusion is a set of reasons why an endpoint gets no new work.
type Exclusion uint8

// Reasons why an endpoint gets no new work.
const (
	// ExcludeLeaving: its agent or the platform reports that it is leaving.
	ExcludeLeaving Exclusion = 1 << iota
	// ExcludeZone: operators evacuated its availability zone.
	ExcludeZone
	// ExcludeDisabled: operators disabled the endpoint.
	ExcludeDisabled
	// ExcludeUnreachable: its session has received nothing for too long.
	ExcludeUnreachable
)

// View is an immutable snapshot of the endpoints that may get new work.
type View struct {
	// Near are the endpoints in the process's own availability zone.
	Near []*Endpoint
	// Far are the endpoints in other zones.
	Far []*Endpoint
	// Total is the number of all endpoints, including excluded ones.
	Total int
}

// Len returns the number of endpoints that may get new work.
func (v *View) Len() int { return len(v.Near) + len(v.Far) }

// At returns the endpoint at an index below Len, the near ones first.
func (v *View) At(i int) *Endpoint {
	if i < len(v.Near) {
		return v.Near[i]
	}
	return v.Far[i-len(v.Near)]
}

// Pool tracks the endpoints of one pool. Readers load the View without a lock; changes
// of members take the lock and publish a new View.
type Pool struct {
	zone       string
	view       atomic.Pointer[View]
	meanOthers atomic.Int64 // see Endpoint

	mu      sync.Mutex
	members map[string]*member
}

type member struct {
	endpoint   *Endpoint
	exclusions Exclusion
}

// New returns an empty pool as seen from an availability zone.
func New(zone string) *Pool {
	p := &Pool{zone: zone, members: make(map[string]*member)}
	p.view.Store(&View{})
	return p
}

// View returns the endpoints that may get new work.
func (p *Pool) View() *View { return p.view.Load() }

// Add adds an endpoint with its initial exclusions and returns it. If an endpoint with
// the same identity exists, Add returns that one unchanged.
func (p *Pool) Add(identity Identity, exclusions Exclusion) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.members[identity.Name]; known != nil && known.endpoint.Identity == identity {
		return known.endpoint
	}
	endpoint := newEndpoint(identity, &p.meanOthers)
	p.members[identity.Name] = &member{endpoint: endpoint, exclusions: exclusions}
	p.publish()
	return endpoint
}

// Remove removes an endpoint.
func (p *Pool) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.members[name]; !known {
		return
	}
	delete(p.members, name)
	p.publish()
}

// Endpoint returns the endpoint with a name, or nil.
func (p *Pool) Endpoint(name string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.members[name]; known != nil {
		return known.endpoint
	}
	return nil
}

// SetExclusion sets or clears one exclusion of an endpoint and reports whether this
// changed anything.
func (p *Pool) SetExclusion(name string, exclusion Exclusion, set bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.setExclusion(p.members[name], exclusion, set) {
		return false
	}
	p.publish()
	return true
}

// Apply sets one exclusion of every endpoint to the result of rule. It puts a new
// release of the configuration into force, with the zones that operators
// have evacuated and the endpoints that they have disabled.
func (p *Pool) Apply(exclusion Exclusion, rule func(Identity) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for _, known := range p.members {
		if p.setExclusion(known, exclusion, rule(known.endpoint.Identity)) {
			changed = true
		}
	}
	if changed {
		p.publish()
	}
}

func (p *Pool) setExclusion(known *member, exclusion Exclusion, set bool) bool {
	if known == nil {
		return false
	}
	next := known.exclusions &^ exclusion
	if set {
		next |= exclusion
	}
	changed := next != known.exclusions
	known.exclusions = next
	return changed
}

// publish rebuilds the view, sorted by name so that equal pools have equal views.
func (p *Pool) publish() {
	view := &View{Total: len(p.members)}
	for _, known := range p.members {
		switch {
		case known.exclusions != 0:
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

// Subset returns the members to which an entry keeps sessions: those with the highest
// rendezvous weight for the entry. Members of its own zone come first, for up to three
// quarters of the subset. The result is deterministic, so that a restarted entry finds
// the same members, and a member that leaves is replaced by one other in each subset
// that had it.
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

// Weight returns the rendezvous weight of two hashes.
func Weight(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
