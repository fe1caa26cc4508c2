package permit

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// stateRetention is how long the limit and the statements of an endpoint are kept while it is
// not in the view: its entry may return after an outage of the store, or not be read yet.
const stateRetention = 30 * clock.Second

// HeldError is returned for a request to an endpoint that gets none.
type HeldError struct {
	Endpoint string
	// Leaving is set if the endpoint drains or is gone. Otherwise Rest is the time in ms in which it
	// wants no requests from this process.
	Leaving bool
	Rest    clock.Millis
}

// Error implements error.
func (e *HeldError) Error() string {
	if e.Leaving {
		return fmt.Sprintf("endpoint %s drains or is gone", e.Endpoint)
	}
	return fmt.Sprintf("endpoint %s has asked for a rest of %d ms more", e.Endpoint, e.Rest)
}

// ReturnAfter returns the time after which a caller should return that is refused because
// no endpoint takes its request for the given time. Callers that are refused together get
// different times.
func ReturnAfter(wait clock.Millis) clock.Millis {
	return wait + rand.N(wait/4+minReturnSpread)
}

// minReturnSpread is the shortest span over which refused callers return.
const minReturnSpread = 250 * clock.Millis(1)

// states holds what endpoints have stated of themselves to this process, besides their
// limits. The statements concern one start of an endpoint.
type states struct {
	// held is the number of entries of byID.
	held atomic.Int64

	mu   sync.Mutex
	byID map[string]*state
}

// state is what one start of an endpoint has stated.
type state struct {
	startedAt int64
	leaving   bool
	// restUntil is the end of the longest rest that the endpoint has asked for. resting is
	// set until that end was recorded.
	restUntil clock.Millis
	resting   bool
	// seenAt is when the endpoint was last in the view.
	seenAt clock.Millis
	// faulty is set once a malformed statement was logged.
	faulty bool
}

// Leaving reports whether an endpoint has stated that it leaves. That holds until it ends,
// whatever its entry in the store says.
func (b *Book) Leaving(e *view.Endpoint) bool {
	if b.states.held.Load() == 0 {
		return false
	}
	b.states.mu.Lock()
	defer b.states.mu.Unlock()
	known := b.states.of(e)
	return known != nil && known.leaving
}

// Unavailable reports whether an endpoint gets no new requests: it is gone or leaving
// according to its entry in the store, or has stated that it leaves.
func (b *Book) Unavailable(e *view.Endpoint) bool { return e.Unavailable() || b.Leaving(e) }

// Rest returns the time in ms in which an endpoint wants no requests from this process, 0
// for none.
func (b *Book) Rest(e *view.Endpoint, now clock.Millis) clock.Millis {
	if b.states.held.Load() == 0 {
		return 0
	}
	b.states.mu.Lock()
	defer b.states.mu.Unlock()
	if known := b.states.of(e); known != nil {
		return max(known.restUntil-now, 0)
	}
	return 0
}

// Holding reports whether any endpoint has a limit, leaves or rests.
func (b *Book) Holding() bool { return b.limited.Load() > 0 || b.states.held.Load() > 0 }

// Check returns a HeldError for an endpoint that gets no new requests or has asked for a rest. It may
// have changed since a request was placed there.
func (b *Book) Check(e *view.Endpoint) error {
	if b.Unavailable(e) {
		return &HeldError{Endpoint: e.ID, Leaving: true}
	}
	if rest := b.Rest(e, b.clock.Now()); rest > 0 {
		return &HeldError{Endpoint: e.ID, Rest: rest}
	}
	return nil
}

// of returns the state of the present start of an endpoint, nil if it has stated nothing.
// The caller holds the lock.
func (s *states) of(e *view.Endpoint) *state {
	known := s.byID[e.ID]
	if known == nil || known.startedAt < e.StartedAt {
		return nil
	}
	return known
}

// observeState records what the head of an answer says about the state of its endpoint.
func (b *Book) observeState(e *view.Endpoint, status int, info spell.ResponseInfo, request string) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		info.Rest, info.RestFault = 0, ""
	}
	if !info.Leaving && info.LeavingFault == "" && info.Rest == 0 && info.RestFault == "" {
		return
	}
	b.states.mu.Lock()
	defer b.states.mu.Unlock()
	known := b.states.byID[e.ID]
	switch {
	case known != nil && known.startedAt > e.StartedAt:
		return // an answer of an earlier start
	case known == nil || known.startedAt < e.StartedAt:
		b.endState(e.ID, "restarted")
		known = &state{startedAt: e.StartedAt, seenAt: b.clock.Now()}
		b.states.byID[e.ID] = known
		b.states.held.Add(1)
	}
	if info.RestFault != "" {
		b.recordStateFault(e, known, "rest", info.RestFault, request)
	}
	b.extendRest(e, known, info.Rest, request)
	if info.LeavingFault != "" {
		b.recordStateFault(e, known, "leaving", info.LeavingFault, request)
	}
	if info.Leaving && !known.leaving {
		known.leaving = true
		b.meter.states.WithLabelValues("leaving", "began").Inc()
		b.log.Info("endpoint leaves", "endpoint", e.ID, "source", "answer", "request", request)
	}
}

// extendRest records that an endpoint asks for a rest from now on. A shorter one doesn't end
// the rest before. The caller holds the lock of the states.
func (b *Book) extendRest(e *view.Endpoint, known *state, rest clock.Millis, request string) {
	now := b.clock.Now()
	if now+rest <= known.restUntil || rest == 0 {
		return
	}
	known.restUntil = now + rest
	result := "changed"
	if !known.resting {
		known.resting, result = true, "began"
	}
	b.meter.states.WithLabelValues("rest", result).Inc()
	b.log.Info("endpoint rests", "endpoint", e.ID, "restMs", int64(rest), "source", "answer", "request", request)
}

// endRest records the end of a rest. The caller holds the lock of the states.
func (b *Book) endRest(endpoint string, known *state, cause string) {
	if !known.resting {
		return
	}
	known.resting = false
	b.meter.states.WithLabelValues("rest", "ended").Inc()
	b.log.Info("endpoint statement ended", "endpoint", endpoint, "kind", "rest", "source", cause)
}

// recordStateFault counts a malformed statement, which changes nothing. The caller holds
// the lock of the states.
func (b *Book) recordStateFault(e *view.Endpoint, known *state, kind, value, request string) {
	b.meter.states.WithLabelValues(kind, "malformed").Inc()
	if known.faulty {
		return
	}
	known.faulty = true
	b.log.Warn("endpoint statement malformed", "endpoint", e.ID, "kind", kind, "value", value, "request", request)
}

// endState removes the state of an endpoint. The caller holds the lock of the states.
func (b *Book) endState(endpoint, cause string) {
	known := b.states.byID[endpoint]
	if known == nil {
		return
	}
	delete(b.states.byID, endpoint)
	b.states.held.Add(-1)
	b.endRest(endpoint, known, cause)
	if known.leaving {
		b.meter.states.WithLabelValues("leaving", "ended").Inc()
		b.log.Info("endpoint statement ended", "endpoint", endpoint, "kind", "leaving", "source", cause)
	}
}

// sweepStates drops the states of endpoints that have started again or have not been in the
// view for stateRetention, and rests that are over.
func (b *Book) sweepStates(find func(endpoint string) *view.Endpoint, now clock.Millis) {
	b.states.mu.Lock()
	defer b.states.mu.Unlock()
	for endpoint, known := range b.states.byID {
		if known.restUntil <= now {
			b.endRest(endpoint, known, "over")
		}
		present := find(endpoint)
		switch {
		case present != nil && present.StartedAt != known.startedAt:
			// The view tells which start is the present one: the clock of its host may be behind that of the one before.
			b.endState(endpoint, "restarted")
			continue
		case present != nil:
			known.seenAt = now
		case now-known.seenAt > stateRetention:
			b.endState(endpoint, "gone")
			continue
		}
		if !known.leaving && !known.resting && !known.faulty {
			b.endState(endpoint, "over")
		}
	}
}

// countStates returns the numbers of endpoints that have stated that they leave, and that
// rest.
func (b *Book) countStates() (leaving, resting int) {
	b.states.mu.Lock()
	defer b.states.mu.Unlock()
	for _, known := range b.states.byID {
		if known.leaving {
			leaving++
		}
		if known.resting {
			resting++
		}
	}
	return leaving, resting
}
