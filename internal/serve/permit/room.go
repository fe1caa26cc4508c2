package permit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/room"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// fullWait is how long an engine is not asked for that has no room according to what the
// processes report. Reports follow within this time.
const fullWait = 50 * clock.Millis(1)

// Rooms connects a Book to what it needs for the leases of engine capacity.
type Rooms struct {
	// EngineFunc returns an endpoint and what all requests together may take of it; nil for
	// an endpoint without such limits.
	EngineFunc func(endpoint string) (*view.Endpoint, room.Limits)
	// CountFunc returns the number of live processes, 0 before they are known, and LiveFunc
	// whether one is live.
	CountFunc func() int
	LiveFunc  func(process string) bool
	// Epoch distinguishes the runs of this process.
	Epoch int64
}

// WithRooms makes the Book reserve the capacity of engines that share their hosts.
func WithRooms(rooms Rooms) Option { return func(b *Book) { b.rooms.Rooms = rooms } }

// Use is what a request takes of an endpoint.
type Use struct {
	Request string
	// Need is what it can need at most, zero for endpoints that are no engines.
	Need     room.Need
	Deadline clock.Millis
}

// rooms holds what this process has reserved at engines that share their hosts, and the leases
// of those that it owns.
type rooms struct {
	Rooms
	// shared is the number of entries of held.
	shared atomic.Int64
	// leaving is set once this process stops: the shares of the others grow soon, so it states
	// all its use to the owners.
	leaving atomic.Bool
	wake    chan struct{}

	mu     sync.Mutex
	held   map[string]*heldRoom  // by endpoint ID
	owned  map[string]*ownedRoom // by endpoint ID
	counts room.Counts
	// checkedAt is when the owners of the endpoints were last compared with owned.
	checkedAt clock.Millis
}

// heldRoom is what this process has reserved at one start of an engine that has stated that it
// shares its host.
type heldRoom struct {
	endpoint *view.Endpoint
	// before holds the entries of the same start that the view has replaced; requests that
	// were sent to them may still run.
	before  []*view.Endpoint
	limits  room.Limits
	holding *room.Holding
	// busyUntil is the last deadline of the requests that were sent.
	busyUntil clock.Millis
	seenAt    clock.Millis
}

// ownedRoom holds the leases of one start of an engine that this process owns.
type ownedRoom struct {
	startedAt int64
	ledger    *room.Ledger
}

// Reservation is the capacity that one request takes of an engine. The zero value takes none.
type Reservation struct {
	book     *Book
	endpoint *view.Endpoint
	need     room.Need
}

// Release gives the capacity back when the attempt has ended.
func (r *Reservation) Release() {
	if r.book == nil {
		return
	}
	book := r.book
	r.book = nil
	r.endpoint.Load.Reserve(-r.need.Tokens, -r.need.Places)
	if book.rooms.shared.Load() > 0 {
		book.wakeIfDue(r.endpoint)
	}
}

// Reserve gets a permit for one request to an endpoint, and reserves what it takes of an engine
// that shares its host. It returns 0 if the request may be sent now, and otherwise the time until
// this process may ask again. Within the share of this process it asks nobody.
func (b *Book) Reserve(ctx context.Context, e *view.Endpoint, use Use) (Reservation, clock.Millis) {
	if use.Need.IsZero() {
		return Reservation{}, b.Acquire(ctx, e, use.Request)
	}
	if b.mayShare(e) {
		// This one may not have answered yet, or not since it started again.
		b.observeShared(e, use.Request)
	}
	reserved := Reservation{book: b, endpoint: e, need: use.Need}
	if !b.reserveUnshared(e, use.Need) {
		if wait := b.commit(ctx, e, &use); wait > 0 {
			return Reservation{}, wait
		}
	}
	if wait := b.Acquire(ctx, e, use.Request); wait > 0 {
		reserved.Release()
		return Reservation{}, wait
	}
	return reserved, 0
}

// reserveUnshared counts a request if no engine shares its host. The request is counted before
// shared is read again, so that an answer that states now that an engine shares its host finds it.
// At engines that share their hosts only committed requests are counted: an owner records what is
// in use even if there is no room for it.
func (b *Book) reserveUnshared(e *view.Endpoint, need room.Need) bool {
	if b.rooms.shared.Load() > 0 {
		return false
	}
	e.Load.Reserve(need.Tokens, need.Places)
	if b.rooms.shared.Load() > 0 {
		e.Load.Reserve(-need.Tokens, -need.Places)
		return false
	}
	return true
}

// WaitFor is Wait for a request that takes capacity of the endpoint.
func (b *Book) WaitFor(e *view.Endpoint, need room.Need, now clock.Millis) clock.Millis {
	wait := b.Wait(e, now)
	if b.rooms.shared.Load() == 0 || need.IsZero() {
		return wait
	}
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	known := b.rooms.of(e)
	if known == nil {
		return wait
	}
	own := known.adopt()
	share := b.rooms.share(known.limits)
	if known.holding.Fits(need, share, now) {
		return wait
	}
	all := own.Plus(need).Plus(room.Need{Tokens: max(e.Load.PeerMemory.Load(), 0), Places: max(e.Load.PeerRunning.Load(), 0)})
	if !all.Within(room.Need(known.limits)) {
		wait = max(wait, fullWait)
	}
	return max(wait, known.holding.Wait(need, share, now))
}

// Fits reports whether a request that takes capacity of an endpoint can be sent without asking
// the owner. It is true for endpoints whose capacity is not reserved.
func (b *Book) Fits(e *view.Endpoint, need room.Need, now clock.Millis) bool {
	if b.rooms.shared.Load() == 0 || need.IsZero() {
		return true
	}
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	known := b.rooms.of(e)
	if known == nil {
		return true
	}
	known.adopt()
	return known.holding.Fits(need, b.rooms.share(known.limits), now)
}

// of returns the entry of an endpoint, nil if it has not stated that it shares its host. The
// caller holds the lock.
func (r *rooms) of(e *view.Endpoint) *heldRoom {
	known := r.held[e.ID]
	if known == nil || known.endpoint.StartedAt != e.StartedAt {
		return nil
	}
	if known.endpoint != e && !slices.Contains(known.before, e) {
		known.before = slices.DeleteFunc(known.before, func(other *view.Endpoint) bool {
			tokens, places := other.Load.Reserved()
			return tokens == 0 && places == 0
		})
		previous := e
		if !e.Gone() {
			previous, known.endpoint = known.endpoint, e
		}
		known.before = append(known.before, previous)
	}
	return known
}

// share returns the part of an engine that this process may use without a lease. The caller
// holds the lock.
func (r *rooms) share(limits room.Limits) room.Need {
	if r.leaving.Load() {
		return room.Need{}
	}
	return r.counts.Share(limits)
}

// adopt sets what is committed to what the requests of this process have reserved.
func (h *heldRoom) adopt() room.Need {
	tokens, places := h.endpoint.Load.Reserved()
	for _, e := range h.before {
		earlierTokens, earlierPlaces := e.Load.Reserved()
		tokens, places = tokens+earlierTokens, places+earlierPlaces
	}
	h.holding.Adopt(room.Need{Tokens: tokens, Places: places})
	return h.holding.Held()
}

// tryCommit commits a request and counts its need at the endpoint if it fits. The caller holds the
// lock.
func (b *Book) tryCommit(known *heldRoom, e *view.Endpoint, use *Use, now clock.Millis) (ok bool, lacking room.Need) {
	known.adopt()
	if ok, lacking = known.holding.Commit(use.Need, b.rooms.share(known.limits), now); ok {
		known.busyUntil = max(known.busyUntil, use.Deadline)
		e.Load.Reserve(use.Need.Tokens, use.Need.Places)
		return true, room.Need{}
	}
	return false, lacking
}

// commit commits a request and counts its need at the endpoint, or returns the time to wait.
func (b *Book) commit(ctx context.Context, e *view.Endpoint, use *Use) clock.Millis {
	request, lacking, wait := b.beginRoom(e, use)
	if request == nil {
		return wait
	}
	owner := b.peers.OwnerFunc(e.ID)
	answer := b.ask(ctx, owner, request)
	result, wait := b.endRoom(e, use, answer, lacking, ctx.Err() != nil)
	b.meter.rooms.WithLabelValues("request", result).Inc()
	if result != resultGranted {
		b.log.Info("no room at endpoint", "request", use.Request, "endpoint", e.ID, "result", result, "tokens", use.Need.Tokens,
			"lackingTokens", lacking.Tokens, "lackingPlaces", lacking.Places, "owner", owner, "waitMs", int64(wait))
	}
	return wait
}

// beginRoom returns the question for the owner of an engine, or nil and the time to wait, which
// is 0 if the request is committed.
func (b *Book) beginRoom(e *view.Endpoint, use *Use) (request *wire.PermitRequest, lacking room.Need, wait clock.Millis) {
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	known, now := b.rooms.of(e), b.clock.Now()
	if known == nil {
		e.Load.Reserve(use.Need.Tokens, use.Need.Places)
		return nil, room.Need{}, 0
	}
	ok, lacking := b.tryCommit(known, e, use, now)
	if ok {
		return nil, room.Need{}, 0
	}
	if wait := known.holding.Wait(use.Need, b.rooms.share(known.limits), now); wait > 0 {
		return nil, lacking, wait
	}
	return b.rooms.question(known, lacking, use.Need.Tokens, max(known.busyUntil, use.Deadline), b.peers.Self, now), lacking, 0
}

// question begins to ask the owner of an engine. The caller holds the lock.
func (r *rooms) question(known *heldRoom, want room.Need, size int64, busyUntil clock.Millis, self string, now clock.Millis) *wire.PermitRequest {
	seq, used := known.holding.Begin(r.share(known.limits), now)
	return &wire.PermitRequest{
		Known: wire.EndpointLimit{Endpoint: known.endpoint.ID, StartedAt: known.endpoint.StartedAt},
		Room: &wire.RoomRequest{
			Holder: self, Epoch: r.Epoch, Seq: seq, HeldTokens: used.Tokens, HeldPlaces: used.Places,
			WantTokens: want.Tokens, WantPlaces: want.Places, Size: size, Busy: max(busyUntil-now, 0),
		},
	}
}

// endRoom records the answer of an owner and commits the request if it fits now.
func (b *Book) endRoom(e *view.Endpoint, use *Use, answer *wire.Permit, lacking room.Need, cancelled bool) (result string, wait clock.Millis) {
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	known, now := b.rooms.of(e), b.clock.Now()
	if known == nil {
		return resultRefused, notOwnerWait
	}
	result, wait = known.apply(answer, lacking, cancelled, now)
	if result != resultGranted {
		return result, wait
	}
	if ok, _ := b.tryCommit(known, e, use, now); !ok {
		return resultRefused, max(known.holding.Wait(use.Need, b.rooms.share(known.limits), now), 1)
	}
	return resultGranted, 0
}

// apply records the answer of an owner, nil for none.
func (h *heldRoom) apply(answer *wire.Permit, wanted room.Need, cancelled bool, now clock.Millis) (result string, wait clock.Millis) {
	switch {
	case answer == nil && cancelled:
		h.holding.Cancel()
		return resultCancelled, askingWait
	case answer == nil:
		return resultUnanswered, h.holding.Silent(now)
	case answer.Room == nil:
		// The other process does not own the engine, does not know this start of it, or is
		// of an earlier version. It is asked less and less often.
		return resultRefused, h.holding.Silent(now)
	}
	granted := room.Need{Tokens: answer.Room.Tokens, Places: answer.Room.Places}.Beyond(room.Need{})
	h.holding.Apply(granted, wanted, answer.Room.Valid, answer.Room.Wait, now)
	if answer.Room.Wait > 0 {
		return resultRefused, answer.Room.Wait
	}
	return resultGranted, 0
}

// observeShared records that an endpoint shares its host.
func (b *Book) observeShared(e *view.Endpoint, request string) {
	if b.rooms.EngineFunc == nil {
		return
	}
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	if b.rooms.of(e) != nil {
		return
	}
	present, limits := b.rooms.EngineFunc(e.ID)
	if present != e {
		return // it has started again, is gone, or its pool has no limits
	}
	if b.rooms.held[e.ID] == nil {
		b.rooms.shared.Add(1)
	}
	known := &heldRoom{endpoint: e, limits: limits, holding: room.NewHolding(room.Need{}), seenAt: b.clock.Now()}
	b.rooms.held[e.ID] = known
	own := known.adopt()
	b.log.Info("endpoint shares its host", "endpoint", e.ID, "tokens", limits.Tokens, "places", limits.Places,
		"reservedTokens", own.Tokens, "reservedPlaces", own.Places, "request", request)
}

// Shared returns the number of engines whose capacity is reserved.
func (b *Book) Shared() int64 { return b.rooms.shared.Load() }

// Leave makes this process lease all that it uses, because the others take over its share.
func (b *Book) Leave() { b.rooms.leaving.Store(true) }

// sweepRooms drops what is kept about engines that have ended or started again, or that have not
// been in the view for stateRetention.
func (b *Book) sweepRooms(find func(endpoint string) *view.Endpoint, now clock.Millis) {
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	for endpoint, known := range b.rooms.held {
		present := find(endpoint)
		same := present != nil && present.StartedAt == known.endpoint.StartedAt
		if same {
			known.seenAt = now
		}
		if (present != nil && !same) || now-known.seenAt > stateRetention || !b.mayShare(known.endpoint) {
			delete(b.rooms.held, endpoint)
			b.rooms.shared.Add(-1)
			b.log.Info("endpoint's capacity is not reserved any more", "endpoint", endpoint, "restarted", present != nil)
		}
	}
	for endpoint, owned := range b.rooms.owned {
		if present := find(endpoint); present == nil || present.StartedAt < owned.startedAt {
			delete(b.rooms.owned, endpoint)
		}
	}
}

// heldIDs returns the engines at which capacity is reserved, in a fixed order. The caller holds
// the lock.
func (r *rooms) heldIDs() []string {
	ids := make([]string, 0, len(r.held))
	for id := range r.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
