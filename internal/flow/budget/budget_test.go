package budget_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/budget"
)

func stageTaking(took clock.Millis) *budget.Stage {
	s := budget.NewStage()
	for range 32 {
		s.Observe(1, took)
	}
	return s
}

func TestNewPlan(t *testing.T) {
	tests := []struct {
		name      string
		left      clock.Millis
		remaining []*budget.Stage
		want      budget.Plan
	}{
		{"no observations", 100, []*budget.Stage{budget.NewStage()}, budget.Plan{Limit: 100, AttemptTimeout: 100}},
		{
			"enough time", 100,
			[]*budget.Stage{stageTaking(20), stageTaking(60)},
			budget.Plan{Need: 80, Limit: 40, AttemptTimeout: 20},
		},
		{
			"too little time", 70,
			[]*budget.Stage{stageTaking(20), stageTaking(60)},
			budget.Plan{Need: 80, TooLate: true, Limit: 10, AttemptTimeout: 10},
		},
		{"no time left", 0, []*budget.Stage{budget.NewStage()}, budget.Plan{TooLate: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, budget.NewPlan(2, test.left, test.remaining), test.want)
		})
	}
}

// Guards against a system that refuses every request after a slow period, although
// it could answer in time again: refused requests do not run and yield no new
// observations, so old ones have to expire.
func TestOldObservationsExpire(t *testing.T) {
	s := stageTaking(5000)
	assert.Assert(t, budget.NewPlan(2, 3000, []*budget.Stage{s}).TooLate)
	assert.Assert(t, !budget.NewPlan(5000, 3000, []*budget.Stage{s}).TooLate)
}

func TestPlanStaysWithinDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := clock.Millis(rapid.Int64Range(-5, 5000).Draw(t, "left"))
		var remaining []*budget.Stage
		for range rapid.IntRange(0, 6).Draw(t, "stages") {
			remaining = append(remaining, stageTaking(clock.Millis(rapid.Int64Range(0, 3000).Draw(t, "took"))))
		}
		plan := budget.NewPlan(2, left, remaining)
		assert.Assert(t, plan.Limit <= left)
		assert.Assert(t, plan.AttemptTimeout <= plan.Limit)
		assert.Equal(t, len(remaining) > 0 && (plan.Need > left || left <= 0), plan.TooLate)
	})
}

func BenchmarkNewPlan(b *testing.B) {
	remaining := []*budget.Stage{stageTaking(10), stageTaking(20), stageTaking(30), stageTaking(400)}
	b.ReportAllocs()
	for b.Loop() {
		budget.NewPlan(2, 3000, remaining)
	}
}
