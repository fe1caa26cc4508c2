package permit_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
)

func ExampleBook() {
	b := permit.New()
	e := &view.Endpoint{ID: "i-1"}
	b.Observe(e, http.StatusOK, spell.ResponseInfo{Rate: 0.5}, "request-1", 0)
	fmt.Println(b.Limit(e), b.Acquire(context.Background(), e, "request-2"))
	// Output: 0.5 2001
}

// Guards against a process that goes on sending to a limited endpoint, or waits for a long
// time, while the owner of the endpoint gives no answers.
func TestSilentOwnerLeadsToNoRequests(t *testing.T) {
	f := newFleet(2)
	f.owner, f.silent[nameOf(1)] = 1, true
	e := &view.Endpoint{ID: "i-1"}
	f.observe(0, e, 40)
	f.clock.Advance(10 * clock.Second)
	var held clock.Millis
	for range 10 {
		wait := f.books[0].Acquire(t.Context(), e, "r")
		assert.Assert(t, wait > 0 && wait <= 2*clock.Second, wait)
		assert.Assert(t, wait >= held, "the pause grows while the owner stays silent")
		held = wait
		assert.Equal(t, f.books[0].Wait(e, f.clock.Clock().Now()), wait)
		f.clock.Advance(wait)
	}
	delete(f.silent, nameOf(1))
	f.books[1].Grant(&wire.PermitRequest{Known: wire.EndpointLimit{Endpoint: "i-1", Limit: 40}})
	f.clock.Advance(100)
	assert.Equal(t, f.books[0].Acquire(t.Context(), e, "r"), clock.Millis(0))
}

// Guards against callers that leave while their requests wait for a permit, and thereby keep
// the requests of others away from the endpoint.
func TestCancelledRequestDoesNotHoldAnEndpoint(t *testing.T) {
	f := newFleet(2)
	f.owner, f.silent[nameOf(1)] = 1, true
	e := &view.Endpoint{ID: "i-1"}
	f.observe(0, e, 40)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, f.books[0].Acquire(ctx, e, "r") > 0)
	assert.Equal(t, f.books[0].Wait(e, f.clock.Clock().Now()), clock.Millis(0))
}

// Guards against two processes that both grant permits because a third one asks the wrong
// one of them.
func TestOnlyTheOwnerGrantsPermits(t *testing.T) {
	f := newFleet(3)
	f.owner = 1
	request := &wire.PermitRequest{Known: wire.EndpointLimit{Endpoint: "i-1", Limit: 40}}
	f.books[1].Grant(request)
	f.clock.Advance(clock.Second)
	assert.Assert(t, f.books[1].Grant(request).Granted)
	refused := f.books[2].Grant(request)
	assert.Assert(t, !refused.Granted)
	assert.Assert(t, refused.Wait > 0)
}

// Guards against owners that are replaced often and grant a burst each.
func TestReplacedOwnersKeepTheLimitTogether(t *testing.T) {
	const limit = 1.0
	f := newFleet(8)
	e := &view.Endpoint{ID: "i-1"}
	for i := range f.books {
		f.observe(i, e, limit)
	}
	var sent []clock.Millis
	for range 60 * clock.Second {
		f.clock.Advance(1)
		now := f.clock.Clock().Now()
		f.owner = int(now/(2500*clock.Millis(1))) % len(f.books)
		if now%100 == 0 {
			for _, b := range f.books {
				b.TakeUnsent()
			}
		}
		if f.tries(t.Context(), int(now)%len(f.books), e) {
			sent = append(sent, now)
		}
	}
	assert.Assert(t, float64(mostIn(sent, 4*clock.Second)) <= 1.5*limit*4+5, mostIn(sent, 4*clock.Second))
	assert.Assert(t, len(sent) > 0)
}

// Guards against an owner that stood still and grants a burst for that time when it goes on, in which another owner
// has granted permits.
func TestOwnerThatStoodStillGrantsNothingForThatTime(t *testing.T) {
	f := newFleet(1)
	request := &wire.PermitRequest{Known: wire.EndpointLimit{Endpoint: "i-1", Limit: 1}}
	f.books[0].Grant(request)
	f.clock.Advance(4 * clock.Second)
	f.stalls[nameOf(0)] = f.clock.Clock().Now()
	assert.Assert(t, !f.books[0].Grant(request).Granted, "granted for the time in which it stood still")
	granted := 0
	for range 4000 {
		f.clock.Advance(1)
		if f.books[0].Grant(request).Granted {
			granted++
		}
	}
	assert.Assert(t, granted >= 3 && granted <= 4, granted)
}

// Guards against the limit of an engine that has ended being kept for its next start, and
// against reports of it that arrive late.
func TestLimitEndsWithTheStartOfItsEndpoint(t *testing.T) {
	f := newFleet(1)
	b := f.books[0]
	first, next := &view.Endpoint{ID: "i-1", StartedAt: 10}, &view.Endpoint{ID: "i-1", StartedAt: 20}
	f.observe(0, first, 1)
	assert.Equal(t, b.Limit(first), 1.0)
	assert.Equal(t, b.Limit(next), 0.0)
	b.Observe(next, http.StatusOK, spell.ResponseInfo{}, "r", f.clock.Clock().Now())
	assert.Equal(t, b.Limited(), int64(0))
	f.observe(0, next, 3)
	b.ApplyPeer([]wire.EndpointLimit{{Endpoint: "i-1", StartedAt: 10, Limit: 1, SentAge: 30, Age: 10}})
	assert.Equal(t, b.Limit(next), 3.0)
	assert.Equal(t, b.Limit(first), 3.0, "a request to the earlier start reaches the present one")
	f.clock.Advance(clock.Minute)
	b.Sweep(func(string) *view.Endpoint { return nil })
	assert.Equal(t, b.Limited(), int64(0), "the number of limits is bounded")
}

// Guards against a limit that a peer reports and that is dropped, again and again, because this
// process has not read the entry of the endpoint yet or an outage of the store hides it.
func TestLimitOfAnEndpointOutsideTheViewHolds(t *testing.T) {
	f := newFleet(1)
	b := f.books[0]
	absent := func(string) *view.Endpoint { return nil }
	b.ApplyPeer([]wire.EndpointLimit{{Endpoint: "i-1", StartedAt: 10, Limit: 2, SentAge: 30, Age: 10}})
	for range 20 {
		b.Sweep(absent)
		f.clock.Advance(clock.Second)
	}
	assert.Equal(t, b.Limit(&view.Endpoint{ID: "i-1", StartedAt: 10}), 2.0, "its entry is read")
	f.clock.Advance(clock.Minute)
	b.Sweep(absent)
	assert.Equal(t, b.Limited(), int64(0))
}

// Guards against limits that peers must not learn a second time, and against processes that
// start later and don't learn them.
func TestLimitsAreSentWhenTheyChangeAndAnnouncedByTheirOwner(t *testing.T) {
	f := newFleet(2)
	f.owner = 1
	e := &view.Endpoint{ID: "i-1"}
	f.observe(0, e, 2)
	limits := f.books[0].TakeUnsent()
	assert.Equal(t, len(limits), 1)
	assert.Equal(t, limits[0].Limit, 2.0)
	assert.Equal(t, len(f.books[0].TakeUnsent()), 0)
	f.books[1].ApplyPeer(limits)
	assert.Equal(t, f.books[1].Limit(e), 2.0)
	f.clock.Advance(5 * clock.Second)
	assert.Equal(t, len(f.books[0].TakeUnsent()), 0)
	assert.Equal(t, len(f.books[1].TakeUnsent()), 1, "the owner announces it")
	f.observe(1, e, 0)
	ended := f.books[1].TakeUnsent()
	assert.Equal(t, len(ended), 1)
	f.books[0].ApplyPeer(ended)
	assert.Equal(t, f.books[0].Limited(), int64(0))
}

// Guards against values that crash a process, block an endpoint or fill the log.
func TestMalformedLimitsChangeNothing(t *testing.T) {
	var out bytes.Buffer
	b := permit.New(permit.WithLog(log.New(&out)))
	e := &view.Endpoint{ID: "i-1"}
	for _, fault := range []spell.ResponseInfo{{RateFault: `"-1"`}, {RateFault: `""`}, {Rate: 1e9}, {RateFault: `"1, 2"`}} {
		b.Observe(e, http.StatusOK, fault, "r", 0)
	}
	assert.Equal(t, b.Limited(), int64(0))
	assert.Equal(t, strings.Count(out.String(), "endpoint limit malformed"), 1)
	b.Observe(e, http.StatusOK, spell.ResponseInfo{Rate: 2}, "r", 0)
	b.Observe(e, http.StatusOK, spell.ResponseInfo{RateFault: `"x"`}, "r", 100)
	assert.Equal(t, b.Limit(e), 2.0)
	b.ApplyPeer([]wire.EndpointLimit{{Endpoint: "i-1", Limit: -1}, {Endpoint: "i-2", Limit: 1, Age: 5}, {}})
	assert.Equal(t, b.Limited(), int64(1))
}

// Guards against callers that are refused together and return together.
func TestRefusedCallersReturnAtTheRateOfTheLimit(t *testing.T) {
	f := newFleet(1)
	returns := make(map[clock.Millis]int)
	for range 20 {
		after := f.books[0].ReturnAfter("models", 500, 4)
		assert.Assert(t, after >= 500 && after <= 10*clock.Second, after)
		returns[after/clock.Second]++
	}
	for second, count := range returns {
		assert.Assert(t, count <= 8, "%d callers return in second %d", count, second)
	}
}

func BenchmarkWaitWithoutLimits(b *testing.B) {
	book := permit.New()
	e := &view.Endpoint{ID: "i-1"}
	for b.Loop() {
		book.Wait(e, 1)
		book.Observe(e, http.StatusOK, spell.ResponseInfo{}, "r", 1)
	}
}

func BenchmarkGrant(b *testing.B) {
	f := newFleet(1)
	request := &wire.PermitRequest{Known: wire.EndpointLimit{Endpoint: "i-1", Limit: 40}}
	for b.Loop() {
		f.books[0].Grant(request)
	}
}
