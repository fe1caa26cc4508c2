package permit

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/room"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// leaseInterval is the interval at which leases are checked. Several checks fit into the time
// in which a lease must be renewed.
const leaseInterval = 100 * clock.Millis(1)

// Run renews the leases of this process and gives back what it does not use, until the context
// ends.
func (b *Book) Run(ctx context.Context) {
	for {
		b.renew(ctx)
		expired, stopTimer := b.clock.After(leaseInterval)
		select {
		case <-b.rooms.wake:
		case <-expired:
		case <-ctx.Done():
			stopTimer()
			return
		}
		stopTimer()
	}
}

// wakeIfDue makes Run tell the owner of an engine of the present use, if that is due.
func (b *Book) wakeIfDue(e *view.Endpoint) {
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	known := b.rooms.of(e)
	if known == nil {
		return
	}
	known.adopt()
	if !known.holding.Due(b.rooms.share(known.limits), b.clock.Now()) {
		return
	}
	select {
	case b.rooms.wake <- struct{}{}:
	default: // it is awake already
	}
}

// renew tells the owners of engines what this process uses, where that is due. It asks the
// owners at the same time, and returns when all have answered or are silent.
func (b *Book) renew(ctx context.Context) {
	byOwner := b.dueByOwner()
	done := make(chan struct{}, len(byOwner))
	for owner, engines := range byOwner {
		go func() {
			defer func() { done <- struct{}{} }()
			for _, e := range engines {
				if !b.renewOne(ctx, owner, e) {
					return // the owner is silent; the others are due later
				}
			}
		}()
	}
	for range byOwner {
		<-done
	}
}

// dueByOwner returns the engines whose owners have to be told of the present use. It also brings
// the number of processes and the ledgers of the owned engines up to date.
func (b *Book) dueByOwner() map[string][]*view.Endpoint {
	if b.rooms.EngineFunc == nil {
		return nil
	}
	now, count := b.clock.Now(), b.rooms.CountFunc()
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	b.rooms.dropUnchecked(now)
	b.rooms.checkedAt = now
	if count > 0 {
		b.rooms.counts.See(count, now)
	}
	for endpoint := range b.rooms.owned {
		if !b.owns(endpoint) {
			// The next owner does not know of what is granted here, nor this process of
			// what that one grants.
			delete(b.rooms.owned, endpoint)
		}
	}
	due := make(map[string][]*view.Endpoint)
	for _, endpoint := range b.rooms.heldIDs() {
		known, owner := b.rooms.held[endpoint], b.peers.OwnerFunc(endpoint)
		if present, limits := b.rooms.EngineFunc(endpoint); present == known.endpoint {
			known.limits = limits
			if owner == b.peers.Self {
				b.rooms.ledgerOf(present, now)
			}
		}
		known.adopt()
		if known.holding.Due(b.rooms.share(known.limits), now) {
			due[owner] = append(due[owner], known.endpoint)
		}
	}
	return due
}

// renewOne tells an owner of the present use of an engine, and reports whether it answered.
func (b *Book) renewOne(ctx context.Context, owner string, e *view.Endpoint) bool {
	request := b.beginRenewal(e)
	if request == nil {
		return true
	}
	answer := b.ask(ctx, owner, request)
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	known := b.rooms.of(e)
	if known == nil {
		return true
	}
	result, wait := known.apply(answer, room.Need{}, ctx.Err() != nil, b.clock.Now())
	b.meter.rooms.WithLabelValues("renewal", result).Inc()
	if result != resultGranted {
		b.log.Info("lease not renewed", "endpoint", e.ID, "result", result, "owner", owner, "waitMs", int64(wait),
			"heldTokens", request.Room.HeldTokens, "heldPlaces", request.Room.HeldPlaces)
	}
	return answer != nil
}

// beginRenewal returns the message to the owner of an engine, nil if none is due any more.
func (b *Book) beginRenewal(e *view.Endpoint) *wire.PermitRequest {
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	known, now := b.rooms.of(e), b.clock.Now()
	if known == nil {
		return nil
	}
	known.adopt()
	if !known.holding.Due(b.rooms.share(known.limits), now) {
		return nil
	}
	return b.rooms.question(known, room.Need{}, 0, known.busyUntil, b.peers.Self, now)
}

// ledgerOf returns the leases of an engine that this process owns. The caller holds the lock.
func (r *rooms) ledgerOf(e *view.Endpoint, now clock.Millis) *room.Ledger {
	owned := r.owned[e.ID]
	if owned == nil || owned.startedAt != e.StartedAt {
		from := now
		if owned != nil && owned.startedAt < e.StartedAt {
			// This process owned the previous start, so that no other has leased this one.
			from = now - room.Duration
		}
		owned = &ownedRoom{startedAt: e.StartedAt, ledger: room.NewLedger(from, room.WithLive(r.LiveFunc))}
		r.owned[e.ID] = owned
	}
	return owned.ledger
}

// grantRoom answers a question for a lease. Only the owner of an engine leases its capacity, and
// only that of the start that it knows.
func (b *Book) grantRoom(request *wire.PermitRequest) *wire.Permit {
	endpoint := request.Known.Endpoint
	refused := &wire.Permit{Wait: notOwnerWait}
	if b.rooms.EngineFunc == nil {
		return refused
	}
	e, limits := b.rooms.EngineFunc(endpoint)
	b.rooms.mu.Lock()
	defer b.rooms.mu.Unlock()
	if !b.owns(endpoint) {
		delete(b.rooms.owned, endpoint)
		return refused
	}
	if e == nil || e.StartedAt != request.Known.StartedAt {
		return refused
	}
	asked, now := request.Room, b.clock.Now()
	b.rooms.dropUnchecked(now)
	got := b.rooms.ledgerOf(e, now).Grant(room.Ask{
		Holder: asked.Holder, Epoch: asked.Epoch, Seq: asked.Seq, Size: asked.Size, Busy: asked.Busy,
		Held: room.Need{Tokens: asked.HeldTokens, Places: asked.HeldPlaces},
		Want: room.Need{Tokens: asked.WantTokens, Places: asked.WantPlaces},
	}, b.rooms.counts.Leasable(limits), now)
	return &wire.Permit{Room: &wire.Room{
		Tokens: got.Granted.Tokens, Places: got.Granted.Places, Valid: max(got.Until-now, 0), Wait: got.Wait,
	}}
}

// dropUnchecked drops all ledgers if this process did not run for so long that another one may
// have become the owner and granted leases. The caller holds the lock.
func (r *rooms) dropUnchecked(now clock.Millis) {
	if now-r.checkedAt >= room.Duration {
		clear(r.owned)
	}
}
