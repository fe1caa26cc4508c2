// Package view holds what this process knows of the endpoints: who they are,
// which of them leave, and which availability zones operators have emptied. A
// single writer keeps the Book; requests read immutable snapshots through one
// atomic pointer.
package view

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Entry is what an endpoint says of itself in the platform's store.
type Entry struct {
	// ID of the endpoint. An endpoint may start again under the id that it had.
	ID string
	// StartedAt tells two starts under one id apart, in milliseconds of the wall clock.
	StartedAt int64
	Address   string
	Pool      string
	Zone      string
	// Version of its software, "" where it isn't told.
	Version string
	Slots   int
	// Leaving endpoints get no new work.
	Leaving bool
	// Cold is how long the endpoint goes on being cold.
	Cold clock.Millis
	// Count grows with each entry that the endpoint writes.
	Count int64
}

// Endpoint is one start of one endpoint. Its identity never changes; what
// changes is atomic.
type Endpoint struct {
	ID        string
	StartedAt int64
	Address   string
	Pool      string
	Zone      string
	Version   string
	Slots     int
	// Joined is when this process learned of it.
	Joined clock.Millis

	leaving   atomic.Bool
	gone      atomic.Bool
	restarted atomic.Bool
	coldUntil atomic.Int64
	barred    atomic.Int64
	heard     atomic.Int64
	count     int64

	// Load is what runs there, as far as this process knows.
	Load Load
}

// Load is the work at an endpoint: what this process sent, and what its peers
// say that they sent.
type Load struct {
	// Running requests, prompt tokens that wait to be read, and tokens of memory.
	Running atomic.Int64
	Prefill atomic.Int64
	Memory  atomic.Int64
	readBy  atomic.Int64
	// Planned is the prompt tokens of requests that are still in their stages
	// and will probably be sent there.
	Planned atomic.Int64
	// PeerRunning, PeerPrefill, PeerMemory and PeerPlanned are those of all peers.
	PeerRunning atomic.Int64
	PeerPrefill atomic.Int64
	PeerMemory  atomic.Int64
	PeerPlanned atomic.Int64
}

// Work is what peers have running at an endpoint.
type Work struct {
	Running, Prefill, Memory, Planned int64
}

// SetPeers replaces the work of all peers.
func (l *Load) SetPeers(work Work) {
	l.PeerRunning.Store(work.Running)
	l.PeerPrefill.Store(work.Prefill)
	l.PeerMemory.Store(work.Memory)
	l.PeerPlanned.Store(work.Planned)
}

// AddPrompt counts a prompt that this process sends, at an engine that reads so many
// tokens in a millisecond.
func (l *Load) AddPrompt(tokens int64, tokensPerMs float64, now clock.Millis) {
	l.Prefill.Add(tokens)
	ahead := int64(now) + int64(float64(l.PeerPrefill.Load())/tokensPerMs)
	takes := int64(float64(tokens) / tokensPerMs)
	for {
		before := l.readBy.Load()
		if l.readBy.CompareAndSwap(before, max(before, ahead)+takes) {
			return
		}
	}
}

// PendingPrefill returns the prompt tokens sent by this process that are probably still
// to be read. A prompt counts as a whole until its first event; of a long one,
// most has been read by then.
func (l *Load) PendingPrefill(tokensPerMs float64, now clock.Millis) int64 {
	left := float64(max(l.readBy.Load()-int64(now), 0)) * tokensPerMs
	return min(l.Prefill.Load(), int64(left))
}

// Cold reports whether the endpoint is believed to be cold.
func (e *Endpoint) Cold(now clock.Millis) bool { return e.coldUntil.Load() > int64(now) }

// SetCold records that the endpoint goes on being cold until an instant; an
// earlier one than known changes nothing.
func (e *Endpoint) SetCold(until clock.Millis) {
	for {
		known := e.coldUntil.Load()
		if int64(until) <= known || e.coldUntil.CompareAndSwap(known, int64(until)) {
			return
		}
	}
}

// Block keeps requests away until an instant, because the endpoint failed.
func (e *Endpoint) Block(until clock.Millis) { e.barred.Store(int64(until)) }

// Blocked reports whether requests should stay away for now.
func (e *Endpoint) Blocked(now clock.Millis) bool { return e.barred.Load() > int64(now) }

// UpdatedAt returns when the endpoint's entry changed last.
func (e *Endpoint) UpdatedAt() clock.Millis { return clock.Millis(e.heard.Load()) }

// Unavailable reports whether the endpoint leaves or is gone.
func (e *Endpoint) Unavailable() bool { return e.leaving.Load() || e.gone.Load() }

// Leaving reports whether the endpoint leaves as planned.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Restarted reports whether another start of the endpoint was seen, or of another one
// at its address.
func (e *Endpoint) Restarted() bool { return e.restarted.Load() }

// Gone reports whether the endpoint has ended as far as is known.
func (e *Endpoint) Gone() bool { return e.gone.Load() }

// Snapshot is the endpoints at one moment.
type Snapshot struct {
	pools    map[string][]*Endpoint
	versions map[string]poolVersions
	shards   map[string][]Shard
	byShard  map[string]*Shard
	emptied  map[string]bool
	byID     map[string]*Endpoint
	entries  int
	complete bool
}

// Complete reports whether the list of endpoints was read at least once.
func (s *Snapshot) Complete() bool { return s != nil && s.complete }

// Pool returns the endpoints of a pool that may get new work, in the order of
// their ids; during a rollout those of the version in force. An endpoint may turn
// Out after the snapshot was made.
func (s *Snapshot) Pool(name string) []*Endpoint {
	if s == nil {
		return nil
	}
	return s.pools[name]
}

// Find returns an endpoint by its id, or nil.
func (s *Snapshot) Find(id string) *Endpoint {
	if s == nil {
		return nil
	}
	return s.byID[id]
}

// Each calls visit for every endpoint that is known.
func (s *Snapshot) Each(visit func(*Endpoint)) {
	if s == nil {
		return
	}
	for _, e := range s.byID {
		visit(e)
	}
}

// Evacuated reports whether operators have emptied an availability zone.
func (s *Snapshot) Evacuated(zone string) bool { return s != nil && s.emptied[zone] }

// Len returns the number of endpoints that are known.
func (s *Snapshot) Len() int {
	if s == nil {
		return 0
	}
	return s.entries
}

// Change is what a Book learned, for the log.
type Change struct {
	Endpoint *Endpoint
	// Before is the start of the endpoint that this one replaces, nil for none.
	Before *Endpoint
	Kind   string
}

// What changed of an endpoint.
const (
	Joined    = "joined"
	Restarted = "restarted"
	Leaving   = "leaving"
	Returned  = "returned"
	Gone      = "gone"
	Cold      = "cold"
)

// Registry gathers entries into snapshots. One goroutine writes; Now may be called
// by any.
type Registry struct {
	byID    map[string]*Endpoint
	missing map[string]clock.Millis
	emptied map[string]bool
	// byVersion says that endpoints get work by their version. rollouts are those
	// that operators ordered, and inForce the versions last in force, by pool.
	byVersion bool
	rollouts  map[string]Rollout
	inForce   map[string]string
	listed    bool
	now       atomic.Pointer[Snapshot]
}

// Option changes a Book while it is built.
type Option func(*Registry)

// WithVersions has only endpoints of a version that is in force, or of one that a
// rollout goes to, get work.
func WithVersions() Option { return func(b *Registry) { b.byVersion = true } }

// New returns an empty book.
func New(opts ...Option) *Registry {
	b := &Registry{
		byID: make(map[string]*Endpoint), missing: make(map[string]clock.Millis), emptied: make(map[string]bool),
		inForce: make(map[string]string),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Snapshot returns the newest snapshot, nil before the first.
func (b *Registry) Snapshot() *Snapshot { return b.now.Load() }

// Put takes an entry that was written.
func (b *Registry) Put(entry Entry, now clock.Millis) []Change {
	delete(b.missing, entry.ID)
	known := b.byID[entry.ID]
	if known == nil || known.StartedAt != entry.StartedAt || known.Address != entry.Address || known.Pool != entry.Pool || known.Version != entry.Version {
		return b.begin(known, entry, now)
	}
	var changes []Change
	if entry.Count != known.count {
		known.count = entry.Count
		known.heard.Store(int64(now))
	}
	if entry.Leaving != known.leaving.Load() {
		known.leaving.Store(entry.Leaving)
		what := Returned
		if entry.Leaving {
			what = Leaving
		}
		changes = append(changes, Change{Endpoint: known, Kind: what})
	}
	return b.chill(known, entry.Cold, now, changes)
}

func (b *Registry) chill(e *Endpoint, cold, now clock.Millis, changes []Change) []Change {
	if cold > 0 {
		if !e.Cold(now) {
			changes = append(changes, Change{Endpoint: e, Kind: Cold})
		}
		e.SetCold(now + cold)
	}
	return changes
}

// begin replaces what was known under an id: another start knows nothing of
// the one before, and work meant for that one must not reach it.
func (b *Registry) begin(known *Endpoint, entry Entry, now clock.Millis) []Change {
	what := Joined
	if known != nil {
		known.restarted.Store(known.StartedAt != entry.StartedAt)
		known.gone.Store(true)
		what = Restarted
	}
	e := &Endpoint{
		ID: entry.ID, StartedAt: entry.StartedAt, Address: entry.Address, Pool: entry.Pool, Zone: entry.Zone, Version: entry.Version,
		Slots: entry.Slots, Joined: now, count: entry.Count,
	}
	e.leaving.Store(entry.Leaving)
	e.heard.Store(int64(now))
	b.byID[entry.ID] = e
	changes := append(b.supersede(e), Change{Endpoint: e, Before: known, Kind: what})
	return b.chill(e, entry.Cold, now, changes)
}

// supersede drops the endpoints that had the address of one that started later:
// they have ended, though their entries stay until the platform misses them.
func (b *Registry) supersede(e *Endpoint) []Change {
	var changes []Change
	for id, other := range b.byID {
		if other.Address == e.Address && other.StartedAt < e.StartedAt {
			other.restarted.Store(true)
			changes = append(changes, b.drop(id)...)
		}
	}
	return changes
}

// Remove takes an entry that was deleted. The endpoint counts as gone at once,
// or, while the store has only just come back, after patience: entries lapse
// while the store is away and return soon after if the endpoint lives.
func (b *Registry) Remove(id string, now, patience clock.Millis) []Change {
	if b.byID[id] == nil {
		return nil
	}
	if patience > 0 {
		if b.missing[id] == 0 {
			b.missing[id] = now + patience
		}
		return nil
	}
	return b.drop(id)
}

func (b *Registry) drop(id string) []Change {
	e := b.byID[id]
	e.gone.Store(true)
	delete(b.byID, id)
	delete(b.missing, id)
	return []Change{{Endpoint: e, Kind: Gone}}
}

// Sync takes the whole list: what it lacks is removed, with patience.
func (b *Registry) Sync(entries []Entry, now, patience clock.Millis) []Change {
	b.listed = true
	var changes []Change
	there := make(map[string]bool, len(entries))
	for _, entry := range entries {
		there[entry.ID] = true
		changes = append(changes, b.Put(entry, now)...)
	}
	for id := range b.byID {
		if !there[id] {
			changes = append(changes, b.Remove(id, now, patience)...)
		}
	}
	return changes
}

// Expire drops the endpoints whose entries did not come back in time.
func (b *Registry) Expire(now clock.Millis) []Change {
	var changes []Change
	for id, until := range b.missing {
		if until <= now {
			changes = append(changes, b.drop(id)...)
		}
	}
	return changes
}

// SetEvacuated takes the availability zones that operators have emptied.
func (b *Registry) SetEvacuated(zones []string) {
	b.emptied = make(map[string]bool, len(zones))
	for _, zone := range zones {
		b.emptied[zone] = true
	}
}

// Publish makes the newest snapshot.
func (b *Registry) Publish() {
	s := &Snapshot{
		pools: make(map[string][]*Endpoint), shards: make(map[string][]Shard), byShard: make(map[string]*Shard), emptied: b.emptied,
		byID: make(map[string]*Endpoint, len(b.byID)), entries: len(b.byID), complete: b.listed && (!b.byVersion || b.rollouts != nil),
	}
	for id, e := range b.byID {
		s.byID[id] = e
		if !e.Unavailable() && !b.emptied[e.Zone] {
			s.pools[e.Pool] = append(s.pools[e.Pool], e)
		}
	}
	for _, endpoints := range s.pools {
		slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	if b.byVersion {
		b.selectVersions(s)
	}
	s.split()
	b.now.Store(s)
}
