package budget_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/budget"
)

func stage(took clock.Millis) *budget.Stage {
	s := budget.NewStage()
	for range 32 {
		s.Observe(1, took)
	}
	return s
}

func TestMake(t *testing.T) {
	tests := []struct {
		name      string
		left      clock.Millis
		remaining []*budget.Stage
		want      budget.Plan
	}{
		{"nothing known", 100, []*budget.Stage{budget.NewStage()}, budget.Plan{Limit: 100, AttemptTimeout: 100}},
		{
			"makes it", 100,
			[]*budget.Stage{stage(20), stage(60)},
			budget.Plan{Need: 80, Limit: 40, AttemptTimeout: 20},
		},
		{
			"won't make it", 70,
			[]*budget.Stage{stage(20), stage(60)},
			budget.Plan{Need: 80, TooLate: true, Limit: 10, AttemptTimeout: 10},
		},
		{"over", 0, []*budget.Stage{budget.NewStage()}, budget.Plan{TooLate: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, budget.NewPlan(2, test.left, test.remaining), test.want)
		})
	}
}

// The system was slow for a while, and since then every request is refused as
// hopeless, although it would be answered in time again: nobody measures,
// because nothing runs. What is known has to grow old.
func TestSlowSpellIsForgotten(t *testing.T) {
	s := stage(5000)
	assert.Assert(t, budget.NewPlan(2, 3000, []*budget.Stage{s}).TooLate)
	assert.Assert(t, !budget.NewPlan(5000, 3000, []*budget.Stage{s}).TooLate)
}

func TestPlanStaysWithinDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := clock.Millis(rapid.Int64Range(-5, 5000).Draw(t, "left"))
		var remaining []*budget.Stage
		for range rapid.IntRange(0, 6).Draw(t, "stages") {
			remaining = append(remaining, stage(clock.Millis(rapid.Int64Range(0, 3000).Draw(t, "took"))))
		}
		plan := budget.NewPlan(2, left, remaining)
		assert.Assert(t, plan.Limit <= left)
		assert.Assert(t, plan.AttemptTimeout <= plan.Limit)
		assert.Equal(t, len(remaining) > 0 && (plan.Need > left || left <= 0), plan.TooLate)
	})
}

func BenchmarkMake(b *testing.B) {
	remaining := []*budget.Stage{stage(10), stage(20), stage(30), stage(400)}
	b.ReportAllocs()
	for b.Loop() {
		budget.NewPlan(2, 3000, remaining)
	}
}
