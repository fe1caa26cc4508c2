package call_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

type platform struct {
	calls int
	err   error
}

func (p *platform) store() *store.Store {
	return &store.Store{GetFunc: func(context.Context, string) (store.Object, error) {
		p.calls++
		return store.Object{}, p.err
	}}
}

func throttledBy(t *testing.T, err error) string {
	t.Helper()
	var throttled *call.ThrottledError
	assert.Assert(t, errors.As(err, &throttled), "got %v", err)
	return throttled.LimitedBy
}

// Guards against work that still goes to an evacuated zone: while the list of hosts
// is read in a burst, calls for zones must be sent at once.
func TestZoneCallsHaveTheHighestPriority(t *testing.T) {
	fake := clock.NewFake(1)
	p := &platform{}
	k := call.New(p.store(), call.WithClock(fake.Clock()), call.WithRate(1, 10))
	var err error
	for err == nil {
		_, err = k.Store(call.Roster).Get(t.Context(), "a")
	}
	assert.Equal(t, throttledBy(t, err), "budget")
	_, err = k.Store(call.Lease).Get(t.Context(), "a")
	assert.NilError(t, err, "part of the budget is reserved for leases")
	for range 30 {
		_, err = k.Store(call.Zone).Get(t.Context(), "a")
		assert.NilError(t, err)
	}
	_, err = k.Store(call.Roster).Get(t.Context(), "a")
	assert.Equal(t, throttledBy(t, err), "budget")
	fake.Advance(clock.Minute)
	_, err = k.Store(call.Roster).Get(t.Context(), "a")
	assert.NilError(t, err)
}

// Guards against a fleet that overloads a failed platform with calls: their rate
// must drop while the platform is unavailable and recover once it answers.
func TestBackoffWhileThePlatformIsUnavailable(t *testing.T) {
	fake := clock.NewFake(1)
	p := &platform{err: &store.UnavailableError{Name: "a"}}
	registry := prometheus.NewRegistry()
	k := call.New(p.store(), call.WithClock(fake.Clock()), call.WithRegisterer(registry))
	for range 60 * 100 { // one call every 10 ms for a minute
		_, err := k.Store(call.Config).Get(t.Context(), "a")
		assert.Assert(t, err != nil)
		fake.Advance(10)
	}
	assert.Assert(t, p.calls < 40, "%d calls in a minute", p.calls)
	p.err = nil
	fake.Advance(10 * clock.Second)
	_, err := k.Store(call.Config).Get(t.Context(), "a")
	assert.NilError(t, err)
	_, err = k.Store(call.Config).Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.NilError(t, testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP jujubescale_platform_value_bytes_total Bytes of values read from and written to the platform.
# TYPE jujubescale_platform_value_bytes_total counter
jujubescale_platform_value_bytes_total{direction="read",reason="config"} 0
`), "jujubescale_platform_value_bytes_total"))
	assert.Equal(t, testutil.CollectAndCount(registry, "jujubescale_platform_calls_total"), 3)
}

// The fleet grows to 500 entries. If each kept the budget of a small fleet, the
// platform would get 50,000 calls per second at the end of an outage.
func TestBudgetShrinksAsTheFleetGrows(t *testing.T) {
	fake := clock.NewFake(1)
	p := &platform{}
	k := call.New(p.store(), call.WithClock(fake.Clock()))
	k.SetFleetSize(500)
	for range 1000 {
		_, _ = k.Store(call.Config).Get(t.Context(), "a")
		fake.Advance(10)
	}
	assert.Assert(t, p.calls <= 2*10+4, "%d calls in 10 s", p.calls)
}
