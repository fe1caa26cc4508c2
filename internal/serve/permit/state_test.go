package permit_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
)

// Guards against a statement that an answer without it, sent before, or a lost entry in the
// store takes back.
func TestLeavingHoldsUntilTheEndpointEnds(t *testing.T) {
	fake := clock.NewFake(1)
	b := permit.New(permit.WithClock(fake.Clock()))
	e := &view.Endpoint{ID: "i-1", StartedAt: 5}
	b.Observe(e, http.StatusOK, spell.ResponseInfo{Leaving: true}, "r", 0)
	b.Observe(e, http.StatusOK, spell.ResponseInfo{}, "r", 0)
	var held *permit.HeldError
	assert.Assert(t, errors.As(b.Check(e), &held) && held.Leaving)
	absent := func(string) *view.Endpoint { return nil }
	b.Sweep(absent)
	fake.Advance(10 * clock.Second)
	b.Sweep(absent)
	assert.Assert(t, b.Unavailable(&view.Endpoint{ID: "i-1", StartedAt: 5}), "its entry is back")
	fake.Advance(clock.Minute)
	b.Sweep(absent)
	assert.Assert(t, !b.Leaving(e), "the number of states is bounded")
}

// Guards against requests, pieces and releases of results that were placed at an endpoint before
// its entry said that it drains or was removed, and are sent after that.
func TestPlacedRequestIsNotSentToADrainingEndpoint(t *testing.T) {
	entry := view.Entry{ID: "i-1", Address: "10.0.0.1:80", Pool: "models"}
	draining := entry
	draining.Leaving = true
	for name, change := range map[string]func(*view.Registry){
		"draining": func(r *view.Registry) { r.Put(draining, 1) },
		"gone":     func(r *view.Registry) { r.Remove(entry.ID, 1, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			b, endpoints := permit.New(), view.New()
			endpoints.Put(entry, 0)
			endpoints.Publish()
			placed := endpoints.Snapshot().Find(entry.ID)
			assert.NilError(t, b.Check(placed))
			change(endpoints)
			var held *permit.HeldError
			assert.Assert(t, errors.As(b.Check(placed), &held) && held.Leaving)
		})
	}
}

// Guards against a statement that outlives the start of the endpoint that made it.
func TestNextStartOfAnEndpointDoesNotLeave(t *testing.T) {
	b := permit.New()
	first, next := &view.Endpoint{ID: "i-1", StartedAt: 5}, &view.Endpoint{ID: "i-1", StartedAt: 6}
	b.Observe(first, http.StatusOK, spell.ResponseInfo{Leaving: true}, "r", 0)
	assert.Assert(t, !b.Leaving(next))
	assert.NilError(t, b.Check(next))
	b.Observe(next, http.StatusOK, spell.ResponseInfo{LeavingFault: `"soon"`}, "r", 0)
	b.Observe(first, http.StatusOK, spell.ResponseInfo{Leaving: true}, "r", 0)
	assert.Assert(t, !b.Leaving(next), "a late answer of the start before")
}

// Guards against malformed statements that keep requests from an endpoint.
func TestMalformedStatementChangesNothing(t *testing.T) {
	b := permit.New()
	e := &view.Endpoint{ID: "i-1"}
	b.Observe(e, http.StatusOK, spell.ResponseInfo{LeavingFault: `"0"`}, "r", 0)
	assert.NilError(t, b.Check(e))
}

// Guards against a rest that ends early: by an answer that was on its way, or by a shorter
// rest that the endpoint asks for meanwhile.
func TestLongestRestHolds(t *testing.T) {
	fake := clock.NewFake(1)
	now := fake.Clock().Now
	b := permit.New(permit.WithClock(fake.Clock()))
	e := &view.Endpoint{ID: "i-1", StartedAt: 5}
	b.Observe(e, http.StatusServiceUnavailable, spell.ResponseInfo{Rest: 3000}, "r", 0)
	fake.Advance(1000)
	b.Observe(e, http.StatusOK, spell.ResponseInfo{}, "r", 0)
	b.Observe(e, http.StatusServiceUnavailable, spell.ResponseInfo{}, "r", 0)
	b.Observe(e, http.StatusTooManyRequests, spell.ResponseInfo{Rest: 500}, "r", 0)
	assert.Equal(t, b.Rest(e, now()), 2000*clock.Millis(1))
	assert.Equal(t, b.Wait(e, now()), 2000*clock.Millis(1))
	assert.Equal(t, b.Acquire(t.Context(), e, "r"), 2000*clock.Millis(1))
	var held *permit.HeldError
	assert.Assert(t, errors.As(b.Check(e), &held) && !held.Leaving)
	assert.Equal(t, held.Rest, 2000*clock.Millis(1))
	b.Observe(e, http.StatusServiceUnavailable, spell.ResponseInfo{Rest: 4000}, "r", 0)
	fake.Advance(4000)
	assert.NilError(t, b.Check(e))
	b.Sweep(func(string) *view.Endpoint { return e })
	assert.Assert(t, !b.Holding())
}

// Guards against a rest that keeps requests from the next start of the endpoint, or that an
// answer states which is no refusal.
func TestRestBelongsToRefusalsOfOneStart(t *testing.T) {
	b := permit.New()
	first, next := &view.Endpoint{ID: "i-1", StartedAt: 5}, &view.Endpoint{ID: "i-1", StartedAt: 6}
	b.Observe(first, http.StatusOK, spell.ResponseInfo{Rest: 3000}, "r", 0)
	assert.NilError(t, b.Check(first))
	b.Observe(first, http.StatusServiceUnavailable, spell.ResponseInfo{Rest: 3000}, "r", 0)
	assert.NilError(t, b.Check(next))
	assert.Assert(t, b.Check(first) != nil)
}

// Guards against a statement that is kept and shown for as long as an endpoint with the same
// ID runs, although the start that made it has ended.
func TestStatementEndsWithTheNextStart(t *testing.T) {
	b := permit.New()
	e := &view.Endpoint{ID: "i-1", StartedAt: 5}
	b.Observe(e, http.StatusOK, spell.ResponseInfo{Leaving: true}, "r", 0)
	b.Sweep(func(string) *view.Endpoint { return &view.Endpoint{ID: "i-1", StartedAt: 6} })
	assert.Assert(t, !b.Holding())
}

// Guards against a statement that is taken for one of the expected endpoint, although another
// one that uses its address now has answered.
func TestStatementOfAnotherEndpointAtTheAddressIsIgnored(t *testing.T) {
	b := permit.New()
	e := &view.Endpoint{ID: "i-1"}
	b.Observe(e, http.StatusMisdirectedRequest, spell.ResponseInfo{Leaving: true, Rate: 0.5}, "r", 0)
	b.Observe(e, http.StatusOK, spell.ResponseInfo{Leaving: true, Instance: "i-2"}, "r", 0)
	assert.Assert(t, !b.Holding())
}

// Guards against an endpoint that gets no requests any more: it left, and started again on a host whose clock is behind.
func TestStatementEndsWithAStartOfAnEarlierClock(t *testing.T) {
	b := permit.New()
	left, now := &view.Endpoint{ID: "i-1", StartedAt: 5000}, &view.Endpoint{ID: "i-1", StartedAt: 4000}
	b.Observe(left, http.StatusOK, spell.ResponseInfo{Leaving: true}, "r", 0)
	b.Sweep(func(string) *view.Endpoint { return now })
	assert.Assert(t, !b.Unavailable(now))
}
