package ramp_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/ramp"
)

func warmed(t *testing.T) *ramp.Ramp {
	t.Helper()
	r := ramp.New(0, ramp.WithCold(2), ramp.WithWarm(16))
	r.Observe(1, ramp.Report{StartID: "a", AsOf: 1})
	for range 200 {
		r.Completed(2, r.Generation(), 10)
	}
	assert.Equal(t, r.Limit(), 16)
	return r
}

// An endpoint that was warm turns cold without warning. Its load report still
// shows the old state; the users notice falls and resets when the limit stays.
func TestRampDropsAtOnce(t *testing.T) {
	cases := []struct {
		name string
		turn func(r *ramp.Ramp)
	}{
		{"connection reset", func(r *ramp.Ramp) { r.ConnectionReset(100) }},
		{"another start id", func(r *ramp.Ramp) { r.Observe(100, ramp.Report{StartID: "b", AsOf: 90, Cold: true}) }},
		{"report says cold", func(r *ramp.Ramp) { r.Observe(100, ramp.Report{StartID: "a", AsOf: 90, Cold: true}) }},
		{"much slower than usual", func(r *ramp.Ramp) {
			for range 4 {
				r.Completed(100, r.Generation(), 100)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := warmed(t)
			before := r.Generation()
			tc.turn(r)
			assert.Equal(t, r.Limit(), 2)
			assert.Assert(t, r.Generation() != before)
		})
	}
}

// The agent beside a warm endpoint is replaced. Starting it at the cold limit
// would cost callers the endpoint's capacity for seconds at each roll-out; but
// only the endpoint's own word from after the start may spare it that.
func TestAgentReplacedBesideAWarmEndpoint(t *testing.T) {
	cases := []struct {
		name    string
		reports []ramp.Report
		limit   int
	}{
		{"says warm", []ramp.Report{{StartID: "a", AsOf: 101, Warm: true}}, 16},
		{"said warm before the start", []ramp.Report{{StartID: "a", AsOf: 99, Warm: true}}, 2},
		{"says nothing of it", []ramp.Report{{StartID: "a", AsOf: 101}}, 2},
		{"says cold, then warm", []ramp.Report{{StartID: "a", AsOf: 101, Cold: true}, {StartID: "a", AsOf: 102, Warm: true}}, 2},
		{"restarts, then says warm", []ramp.Report{{StartID: "a", AsOf: 99}, {StartID: "b", AsOf: 101}, {StartID: "b", AsOf: 102, Warm: true}}, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := ramp.New(100, ramp.WithCold(2), ramp.WithWarm(16))
			for _, report := range tc.reports {
				r.Observe(110, report)
			}
			assert.Equal(t, r.Limit(), tc.limit)
		})
	}
	t.Run("reset before it says warm", func(t *testing.T) {
		r := ramp.New(100, ramp.WithCold(2), ramp.WithWarm(16))
		r.ConnectionReset(105)
		r.Observe(110, ramp.Report{StartID: "a", AsOf: 107, Warm: true})
		assert.Equal(t, r.Limit(), 2)
	})
}

// A lagging report from before the fall says warm. Believing it would push
// full load onto an endpoint that has just started.
func TestStaleReportDoesNotWarm(t *testing.T) {
	r := warmed(t)
	r.ConnectionReset(100)
	r.Observe(110, ramp.Report{StartID: "a", AsOf: 99})
	for range 100 {
		r.Completed(110, r.Generation(), 10)
	}
	assert.Equal(t, r.Limit(), 2)
	r.Observe(200, ramp.Report{StartID: "a", AsOf: 150})
	for range 100 {
		r.Completed(210, r.Generation(), 10)
	}
	assert.Equal(t, r.Limit(), 16)
}

func TestWorkFromBeforeTheDropDoesNotWarm(t *testing.T) {
	r := warmed(t)
	old := r.Generation()
	r.Observe(100, ramp.Report{StartID: "b", AsOf: 99})
	for range 100 {
		r.Completed(110, old, 10)
	}
	assert.Equal(t, r.Limit(), 2)
}

// Random events: the limit stays within its bounds, time alone never raises
// it, and while the endpoint says that it is cold it stays at the cold limit.
func TestRampProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := ramp.New(0, ramp.WithCold(2), ramp.WithWarm(20))
		now := clock.Millis(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 500).Draw(t, "wait"))
			before := r.Limit()
			cold := false
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				r.ConnectionReset(now)
				assert.Equal(t, r.Limit(), 2)
			case 1:
				cold = rapid.Bool().Draw(t, "cold")
				r.Observe(now, ramp.Report{StartID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), Cold: cold, AsOf: now})
				assert.Assert(t, r.Limit() <= before)
			case 2:
				r.Completed(now, r.Generation(), float64(rapid.IntRange(1, 100).Draw(t, "took")))
				assert.Assert(t, r.Limit() <= before+max(before/2, 1))
			}
			if cold {
				assert.Equal(t, r.Limit(), 2)
			}
			assert.Assert(t, r.Limit() >= 2 && r.Limit() <= 20)
		}
	})
}
