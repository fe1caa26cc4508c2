// Package view tracks the endpoints that this process knows: their identity, which of
// them are leaving, and which availability zones operators have evacuated. A single
// goroutine writes to the Registry; requests read immutable snapshots through an
// atomic pointer.
package view

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Entry is the record that an endpoint keeps in the platform's store.
type Entry struct {
	// ID identifies the endpoint. A restarted endpoint may keep its ID.
	ID string
	// StartedAt distinguishes two starts under the same ID. It is in milliseconds of
	// the wall clock.
	StartedAt int64
	Address   string
	Pool      string
	Zone      string
	// Version of the endpoint's software, "" if the entry has none.
	Version string
	Slots   int
	// Leaving is set while the endpoint drains. It gets no new work.
	Leaving bool
	// Cold is the remaining time for which the endpoint is cold, 0 if it is warm.
	Cold clock.Millis
	// Count increases with each entry that the endpoint writes.
	Count int64
}

// Endpoint is one start of one endpoint. Its identity is immutable; its state is
// atomic.
type Endpoint struct {
	ID        string
	StartedAt int64
	Address   string
	Pool      string
	Zone      string
	Version   string
	Slots     int
	// Joined is when this process first saw the endpoint.
	Joined clock.Millis

	leaving      atomic.Bool
	gone         atomic.Bool
	restarted    atomic.Bool
	coldUntil    atomic.Int64
	blockedUntil atomic.Int64
	updatedAt    atomic.Int64
	lastCount    int64

	// Load is the work at the endpoint, as far as this process knows.
	Load Load
}

// Cold reports whether the endpoint is expected to be cold.
func (e *Endpoint) Cold(now clock.Millis) bool { return e.coldUntil.Load() > int64(now) }

// SetCold marks the endpoint as cold until an instant. It never shortens the time that
// is already set.
func (e *Endpoint) SetCold(until clock.Millis) {
	for {
		known := e.coldUntil.Load()
		if int64(until) <= known || e.coldUntil.CompareAndSwap(known, int64(until)) {
			return
		}
	}
}

// Block keeps requests away from a failed endpoint until an instant.
func (e *Endpoint) Block(until clock.Millis) { e.blockedUntil.Store(int64(until)) }

// Blocked reports whether requests should avoid the endpoint for now.
func (e *Endpoint) Blocked(now clock.Millis) bool { return e.blockedUntil.Load() > int64(now) }

// UpdatedAt returns when the endpoint's entry last changed.
func (e *Endpoint) UpdatedAt() clock.Millis { return clock.Millis(e.updatedAt.Load()) }

// Unavailable reports whether the endpoint is leaving or gone.
func (e *Endpoint) Unavailable() bool { return e.leaving.Load() || e.gone.Load() }

// Leaving reports whether the endpoint is draining for a planned stop.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Restarted reports whether the endpoint has started again, or another endpoint has
// started at its address.
func (e *Endpoint) Restarted() bool { return e.restarted.Load() }

// Gone reports whether the endpoint has ended, as far as this process knows.
func (e *Endpoint) Gone() bool { return e.gone.Load() }

// Snapshot is the set of endpoints at one moment. It is immutable; a nil Snapshot is
// empty.
type Snapshot struct {
	pools     map[string][]*Endpoint
	versions  map[string]poolVersions
	shards    map[string][]Shard
	byShard   map[string]*Shard
	evacuated map[string]bool
	byID      map[string]*Endpoint
	count     int
	complete  bool
}

// Complete reports whether the snapshot follows from a full list of endpoints and,
// with WithVersions, from the list of rollouts.
func (s *Snapshot) Complete() bool { return s != nil && s.complete }

// Pool returns the endpoints of a pool that may get new work, in the order of their
// IDs; during a rollout, those of the version in force. An endpoint may become
// unavailable after the snapshot was made.
func (s *Snapshot) Pool(name string) []*Endpoint {
	if s == nil {
		return nil
	}
	return s.pools[name]
}

// Find returns an endpoint by its ID, or nil.
func (s *Snapshot) Find(id string) *Endpoint {
	if s == nil {
		return nil
	}
	return s.byID[id]
}

// Each calls visit for every known endpoint.
func (s *Snapshot) Each(visit func(*Endpoint)) {
	if s == nil {
		return
	}
	for _, e := range s.byID {
		visit(e)
	}
}

// Evacuated reports whether operators have evacuated an availability zone.
func (s *Snapshot) Evacuated(zone string) bool { return s != nil && s.evacuated[zone] }

// Len returns the number of known endpoints.
func (s *Snapshot) Len() int {
	if s == nil {
		return 0
	}
	return s.count
}

// Change is one change of an endpoint, for the log.
type Change struct {
	Endpoint *Endpoint
	// Before is the earlier start that Endpoint replaces, nil if there is none.
	Before *Endpoint
	Kind   string
}

// Kinds of changes.
const (
	Joined    = "joined"
	Restarted = "restarted"
	Leaving   = "leaving"
	Returned  = "returned"
	Gone      = "gone"
	Cold      = "cold"
)

// Registry collects entries and publishes snapshots of them. A single goroutine may
// write; Snapshot is safe to call from any goroutine.
type Registry struct {
	byID map[string]*Endpoint
	// missingUntil holds the endpoints whose entries were removed, and until when an
	// entry may return before the endpoint counts as gone.
	missingUntil map[string]clock.Millis
	evacuated    map[string]bool
	// byVersion restricts work to versions in force and candidates. rollouts holds the
	// rollouts that operators ordered and inForce the versions last in force, both by
	// pool.
	byVersion bool
	rollouts  map[string]Rollout
	inForce   map[string]string
	synced    bool
	snapshot  atomic.Pointer[Snapshot]
}

// Option configures a Registry.
type Option func(*Registry)

// WithVersions restricts work to endpoints of the version in force and of the
// candidate version of a running rollout.
func WithVersions() Option { return func(r *Registry) { r.byVersion = true } }

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{
		byID: make(map[string]*Endpoint), missingUntil: make(map[string]clock.Millis), evacuated: make(map[string]bool),
		inForce: make(map[string]string),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Snapshot returns the latest snapshot, nil before the first Publish.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot.Load() }

// Put adds or updates the endpoint of an entry.
func (r *Registry) Put(entry Entry, now clock.Millis) []Change {
	delete(r.missingUntil, entry.ID)
	known := r.byID[entry.ID]
	if known == nil || known.StartedAt != entry.StartedAt || known.Address != entry.Address || known.Pool != entry.Pool || known.Version != entry.Version {
		return r.start(known, entry, now)
	}
	var changes []Change
	if entry.Count != known.lastCount {
		known.lastCount = entry.Count
		known.updatedAt.Store(int64(now))
	}
	if entry.Leaving != known.leaving.Load() {
		known.leaving.Store(entry.Leaving)
		kind := Returned
		if entry.Leaving {
			kind = Leaving
		}
		changes = append(changes, Change{Endpoint: known, Kind: kind})
	}
	return r.markCold(known, entry.Cold, now, changes)
}

func (r *Registry) markCold(e *Endpoint, cold, now clock.Millis, changes []Change) []Change {
	if cold > 0 {
		if !e.Cold(now) {
			changes = append(changes, Change{Endpoint: e, Kind: Cold})
		}
		e.SetCold(now + cold)
	}
	return changes
}

// start replaces the endpoint that was known under the same ID with a new one. The new
// start has none of the old one's state, and work meant for the old start must not
// reach it.
func (r *Registry) start(known *Endpoint, entry Entry, now clock.Millis) []Change {
	older, taken := r.othersAt(&entry)
	if taken {
		return r.dropReplaced(entry.ID)
	}
	kind := Joined
	if known != nil {
		known.restarted.Store(known.StartedAt != entry.StartedAt)
		known.gone.Store(true)
		kind = Restarted
	}
	e := &Endpoint{
		ID: entry.ID, StartedAt: entry.StartedAt, Address: entry.Address, Pool: entry.Pool, Zone: entry.Zone, Version: entry.Version,
		Slots: entry.Slots, Joined: now, lastCount: entry.Count,
	}
	e.leaving.Store(entry.Leaving)
	e.updatedAt.Store(int64(now))
	r.byID[entry.ID] = e
	var changes []Change
	for _, id := range older {
		changes = append(changes, r.dropReplaced(id)...)
	}
	return r.markCold(e, entry.Cold, now, append(changes, Change{Endpoint: e, Before: known, Kind: kind}))
}

// othersAt returns the other endpoints that started earlier at the address of an entry, and whether one
// has started there later. The earlier ones have ended, although their entries stay until the platform
// notices, and are listed in any order.
func (r *Registry) othersAt(entry *Entry) (older []string, taken bool) {
	for id, other := range r.byID {
		if other.Address != entry.Address || id == entry.ID {
			continue
		}
		if other.StartedAt < entry.StartedAt {
			older = append(older, id)
		}
		taken = taken || other.StartedAt > entry.StartedAt
	}
	return older, taken
}

// dropReplaced drops an endpoint, if it is known, because another one has started at its address.
func (r *Registry) dropReplaced(id string) []Change {
	e := r.byID[id]
	if e == nil {
		return nil
	}
	e.restarted.Store(true)
	return r.drop(id)
}

// Remove handles a deleted entry. With grace 0 the endpoint is gone at once. While
// the store has only just come back, callers pass the time in which the entry may
// return: entries expire during an outage of the store, and live endpoints write them
// again soon after it.
func (r *Registry) Remove(id string, now, grace clock.Millis) []Change {
	if r.byID[id] == nil {
		return nil
	}
	if grace > 0 {
		if r.missingUntil[id] == 0 {
			r.missingUntil[id] = now + grace
		}
		return nil
	}
	return r.drop(id)
}

func (r *Registry) drop(id string) []Change {
	e := r.byID[id]
	e.gone.Store(true)
	delete(r.byID, id)
	delete(r.missingUntil, id)
	return []Change{{Endpoint: e, Kind: Gone}}
}

// Sync replaces the whole list of entries. Endpoints that are not in it are removed;
// see Remove for grace.
func (r *Registry) Sync(entries []Entry, now, grace clock.Millis) []Change {
	r.synced = true
	var changes []Change
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
		changes = append(changes, r.Put(entry, now)...)
	}
	for id := range r.byID {
		if !present[id] {
			changes = append(changes, r.Remove(id, now, grace)...)
		}
	}
	return changes
}

// Expire drops the endpoints whose entries did not return in time.
func (r *Registry) Expire(now clock.Millis) []Change {
	var changes []Change
	for id, until := range r.missingUntil {
		if until <= now {
			changes = append(changes, r.drop(id)...)
		}
	}
	return changes
}

// SetEvacuated replaces the set of availability zones that operators have evacuated.
// Publish applies it.
func (r *Registry) SetEvacuated(zones []string) {
	r.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		r.evacuated[zone] = true
	}
}

// Publish makes a new snapshot the latest one.
func (r *Registry) Publish() {
	s := &Snapshot{
		pools: make(map[string][]*Endpoint), shards: make(map[string][]Shard), byShard: make(map[string]*Shard), evacuated: r.evacuated,
		byID: make(map[string]*Endpoint, len(r.byID)), count: len(r.byID), complete: r.synced && (!r.byVersion || r.rollouts != nil),
	}
	for id, e := range r.byID {
		s.byID[id] = e
		if !e.Unavailable() && !r.evacuated[e.Zone] {
			s.pools[e.Pool] = append(s.pools[e.Pool], e)
		}
	}
	for _, endpoints := range s.pools {
		slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	if r.byVersion {
		r.selectVersions(s)
	}
	s.splitPools()
	r.snapshot.Store(s)
}
