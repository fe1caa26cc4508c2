package permit

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/rate"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// askTimeout bounds the wait for the answer of an owner. Owners answer in the time of a
	// round trip.
	askTimeout = 150 * clock.Millis(1)
	// firstSilence is how long a process asks no more after an owner did not answer, and
	// maxSilence after several times in a row.
	firstSilence = 100 * clock.Millis(1)
	maxSilence   = 2 * clock.Second
	// notOwnerWait is how long a process waits that has asked a process that is not the
	// owner. Their member lists will be the same by then.
	notOwnerWait = 100 * clock.Millis(1)
	// asksPerLimit is the number of requests for permits of one endpoint that a process may
	// have open, for each request per second of the limit; one is always allowed.
	asksPerLimit = 0.25
	// askingWait is how long other requests wait while that number is reached.
	askingWait = 10 * clock.Millis(1)
)

// Results of requests for permits.
const (
	resultGranted    = "granted"
	resultRefused    = "refused"
	resultUnanswered = "unanswered"
	resultCancelled  = "cancelled"
)

// Wait returns how long this process has to wait before it may send a request to an
// endpoint, or ask for a permit to do so. It is 0 for an endpoint without a limit that
// doesn't rest.
func (b *Book) Wait(e *view.Endpoint, now clock.Millis) clock.Millis {
	rest := b.Rest(e, now)
	if b.limited.Load() == 0 {
		return rest
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.limitedEntry(e); known != nil {
		return max(known.wait(now), rest)
	}
	return rest
}

func (e *entry) wait(now clock.Millis) clock.Millis {
	if e.heldUntil > now {
		return e.heldUntil - now
	}
	if e.asking > int(asksPerLimit*e.stated.Limit()) {
		return askingWait
	}
	return 0
}

// Acquire gets a permit for one request to an endpoint. It returns 0 if the request may be
// sent now, and otherwise the time until this process may ask again. It waits for the owner
// of the endpoint, up to askTimeout.
func (b *Book) Acquire(ctx context.Context, e *view.Endpoint, request string) clock.Millis {
	if rest := b.Rest(e, b.clock.Now()); rest > 0 {
		return rest
	}
	if b.limited.Load() == 0 {
		return 0
	}
	ask, wait := b.beginAsk(e)
	if ask == nil {
		return wait
	}
	owner := b.peers.OwnerFunc(e.ID)
	permit := b.ask(ctx, owner, ask)
	result, wait, limit := b.endAsk(ask.Known, permit, ctx.Err() != nil)
	b.meter.permits.WithLabelValues(result).Inc()
	if result != resultGranted {
		b.log.Info("no permit for endpoint", "request", request, "endpoint", e.ID, "result", result, "limit", limit,
			"owner", owner, "waitMs", int64(wait))
	}
	return wait
}

// beginAsk returns the request for a permit, or nil and the time to wait; 0 if the endpoint
// has no limit.
func (b *Book) beginAsk(e *view.Endpoint) (*wire.PermitRequest, clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.limitedEntry(e)
	if known == nil {
		return nil, 0
	}
	now := b.clock.Now()
	if wait := known.wait(now); wait > 0 {
		return nil, wait
	}
	known.asking++
	return &wire.PermitRequest{Known: known.message(e.ID, now)}, 0
}

// ask returns the answer of the owner, nil if there is none in time.
func (b *Book) ask(ctx context.Context, owner string, request *wire.PermitRequest) *wire.Permit {
	if owner == b.peers.Self {
		return b.Grant(request)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	permit, err := b.peers.AskFunc(ctx, owner, request)
	if err != nil {
		return nil
	}
	return permit
}

// endAsk records the answer of an owner, nil for none. It returns the result, the time until
// this process may ask again, and the limit. If the request was cancelled, the owner had no
// time to answer.
func (b *Book) endAsk(asked wire.EndpointLimit, permit *wire.Permit, cancelled bool) (result string, wait clock.Millis, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.entries[asked.Endpoint]
	if known == nil || known.startedAt != asked.StartedAt {
		return resultRefused, notOwnerWait, 0
	}
	known.asking--
	now := b.clock.Now()
	if permit == nil && cancelled {
		return resultCancelled, askingWait, known.stated.Limit()
	}
	if permit == nil {
		wait = min(firstSilence<<min(known.unanswered, 8), maxSilence)
		known.unanswered++
		known.heldUntil = max(known.heldUntil, now+wait)
		return resultUnanswered, wait, known.stated.Limit()
	}
	known.unanswered = 0
	if permit.Known.Endpoint == asked.Endpoint {
		b.applyWire(permit.Known, "owner", "")
	}
	if permit.Granted {
		return resultGranted, 0, known.stated.Limit()
	}
	wait = max(permit.Wait, 1)
	known.heldUntil = max(known.heldUntil, now+wait)
	return resultRefused, wait, known.stated.Limit()
}

// Grant answers a request for a permit. Only the owner of an endpoint grants permits: for a
// moment, two processes may name different owners.
func (b *Book) Grant(request *wire.PermitRequest) *wire.Permit {
	if request.Room != nil {
		return b.grantRoom(request)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.owns(request.Known.Endpoint) {
		return &wire.Permit{Wait: notOwnerWait}
	}
	known := b.applyWire(request.Known, "peer", "")
	if known == nil {
		// A newer start of the endpoint is known here.
		return &wire.Permit{Wait: notOwnerWait}
	}
	b.emptyAfterStall(known)
	now := b.clock.Now()
	permit := &wire.Permit{Known: known.message(request.Known.Endpoint, now)}
	permit.Wait = known.take(now)
	permit.Granted = permit.Wait == 0
	return permit
}

// emptyAfterStall empties the bucket of an entry if this process has stood still since it was used. It filled
// meanwhile, and another owner may have granted the same permits. The caller holds the lock.
func (b *Book) emptyAfterStall(known *entry) {
	if goneOnAt, _ := b.stallFunc(); goneOnAt > known.emptiedAt {
		known.bucket, known.emptiedAt = rate.Bucket{}, goneOnAt
	}
}

// take grants a request from the bucket, or returns the time to wait.
func (e *entry) take(now clock.Millis) clock.Millis {
	limit := e.stated.Limit()
	if limit == 0 {
		return 0
	}
	wait := e.bucket.Take(limit, now)
	if wait == 0 {
		e.granted++
	}
	return wait
}
