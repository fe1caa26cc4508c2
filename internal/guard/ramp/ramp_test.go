package ramp_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/ramp"
)

func newWarmRamp(t *testing.T) *ramp.Ramp {
	t.Helper()
	r := ramp.New(0, ramp.WithCold(2), ramp.WithWarm(16))
	r.Observe(1, ramp.Report{StartID: "a", AsOf: 1})
	for range 200 {
		r.Completed(2, r.Generation(), 10)
	}
	assert.Equal(t, r.Limit(), 16)
	return r
}

// A warm endpoint turns cold while its load report still shows the old state. If
// the limit stayed, the endpoint would crash and reset connections.
func TestLimitDropsAtOnceWhenEndpointTurnsCold(t *testing.T) {
	cases := []struct {
		name     string
		makeCold func(r *ramp.Ramp)
	}{
		{"connection reset", func(r *ramp.Ramp) { r.ConnectionReset(100) }},
		{"different start ID", func(r *ramp.Ramp) { r.Observe(100, ramp.Report{StartID: "b", AsOf: 90, Cold: true}) }},
		{"report is cold", func(r *ramp.Ramp) { r.Observe(100, ramp.Report{StartID: "a", AsOf: 90, Cold: true}) }},
		{"much slower than the mean", func(r *ramp.Ramp) {
			for range 4 {
				r.Completed(100, r.Generation(), 100)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newWarmRamp(t)
			before := r.Generation()
			tc.makeCold(r)
			assert.Equal(t, r.Limit(), 2)
			assert.Assert(t, r.Generation() != before)
		})
	}
}

// The agent of a warm endpoint is replaced. Starting at the cold limit would cost
// the endpoint's capacity for seconds at each rollout. Only a report from after
// the start of the agent may skip the ramp.
func TestNewAgentSkipsRampOnlyForWarmEndpoint(t *testing.T) {
	cases := []struct {
		name    string
		reports []ramp.Report
		limit   int
	}{
		{"reports warm", []ramp.Report{{StartID: "a", AsOf: 101, Warm: true}}, 16},
		{"reported warm before the start", []ramp.Report{{StartID: "a", AsOf: 99, Warm: true}}, 2},
		{"reports neither", []ramp.Report{{StartID: "a", AsOf: 101}}, 2},
		{"reports cold, then warm", []ramp.Report{{StartID: "a", AsOf: 101, Cold: true}, {StartID: "a", AsOf: 102, Warm: true}}, 2},
		{"restarts, then reports warm", []ramp.Report{{StartID: "a", AsOf: 99}, {StartID: "b", AsOf: 101}, {StartID: "b", AsOf: 102, Warm: true}}, 2},
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
	t.Run("connection reset before it reports warm", func(t *testing.T) {
		r := ramp.New(100, ramp.WithCold(2), ramp.WithWarm(16))
		r.ConnectionReset(105)
		r.Observe(110, ramp.Report{StartID: "a", AsOf: 107, Warm: true})
		assert.Equal(t, r.Limit(), 2)
	})
}

// A delayed report from before a crash shows a warm endpoint. Using it would send
// the full load to an endpoint that has just started.
func TestStaleReportDoesNotRaiseLimit(t *testing.T) {
	r := newWarmRamp(t)
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

func TestWorkStartedBeforeDropDoesNotRaiseLimit(t *testing.T) {
	r := newWarmRamp(t)
	old := r.Generation()
	r.Observe(100, ramp.Report{StartID: "b", AsOf: 99})
	for range 100 {
		r.Completed(110, old, 10)
	}
	assert.Equal(t, r.Limit(), 2)
}

// Random events: the limit stays within its bounds, time alone never raises it,
// and a report that the endpoint is cold leaves it at the cold limit.
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
