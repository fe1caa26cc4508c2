package permit

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// stateRetention is how long the statement of an endpoint is kept after the endpoint has
// left the view: its entry may return after an outage of the store.
const stateRetention = 30 * clock.Second

// HeldError is returned for a request to an endpoint that has stated that it wants none.
type HeldError struct {
	Endpoint string
	// Leaving is set if the endpoint leaves.
	Leaving bool
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("endpoint %s has stated that it leaves", e.Endpoint)
}

// states holds what endpoints have stated of themselves to this process, besides their
// limits. The statements concern one start of an endpoint.
type states struct {
	// held is the number of endpoints that want no requests.
	held atomic.Int64

	mu   sync.Mutex
	byID map[string]*state
}

// state is what one start of an endpoint has stated.
type state struct {
	startedAt int64
	leaving   bool
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

// Check returns a HeldError for an endpoint that has stated that it wants no requests.
func (b *Book) Check(e *view.Endpoint) error {
	if b.Leaving(e) {
		return &HeldError{Endpoint: e.ID, Leaving: true}
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
func (b *Book) observeState(e *view.Endpoint, info spell.ResponseInfo, request string) {
	if !info.Leaving && info.LeavingFault == "" {
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
	}
	if info.LeavingFault != "" {
		b.recordStateFault(e, known, "leaving", info.LeavingFault, request)
	}
	if info.Leaving && !known.leaving {
		known.leaving = true
		b.states.held.Add(1)
		b.meter.states.WithLabelValues("leaving", "began").Inc()
		b.log.Info("endpoint leaves", "endpoint", e.ID, "source", "answer", "request", request)
	}
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
	if known.leaving {
		b.states.held.Add(-1)
		b.meter.states.WithLabelValues("leaving", "ended").Inc()
		b.log.Info("endpoint statement ended", "endpoint", endpoint, "kind", "leaving", "source", cause)
	}
}

// sweepStates drops the states of endpoints that have not been in the view for
// stateRetention. It bounds their number by that of the endpoints.
func (b *Book) sweepStates(live func(endpoint string) bool, now clock.Millis) {
	b.states.mu.Lock()
	defer b.states.mu.Unlock()
	for endpoint, known := range b.states.byID {
		if live(endpoint) {
			known.seenAt = now
		} else if now-known.seenAt > stateRetention {
			b.endState(endpoint, "gone")
		}
	}
}

// countLeaving returns the number of endpoints that have stated that they leave.
func (b *Book) countLeaving() int {
	b.states.mu.Lock()
	defer b.states.mu.Unlock()
	count := 0
	for _, known := range b.states.byID {
		if known.leaving {
			count++
		}
	}
	return count
}
