package hedge_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
)

// Guards against hedges that double the work of a pool when all its endpoints get
// slow and a hedge is due for every call. Hedges must stay under 5% of the calls.
func TestHedgesStayUnderFivePercent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := hedge.NewBudget()
		calls := rapid.IntRange(1, 3000).Draw(t, "calls")
		taken := 0
		for range calls {
			budget.Earn()
			if budget.Take() {
				taken++
			}
		}
		assert.Assert(t, float64(taken) <= 0.05*float64(calls))
	})
}

func TestDelay(t *testing.T) {
	tests := []struct {
		name                 string
		idempotent           bool
		typical, slow, limit clock.Millis
		want                 clock.Millis
		due                  bool
	}{
		{"after the slow time", true, 20, 80, 500, 80, true},
		{"no hedge if not idempotent", false, 20, 80, 500, 0, false},
		{"no hedge if the times are unknown", true, 0, 0, 500, 0, false},
		{"no hedge if it would exceed the limit", true, 100, 450, 500, 0, false},
		{"at least the minimum delay", true, 1, 1, 500, 5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, due := hedge.Delay(test.idempotent, test.typical, test.slow, test.limit)
			assert.Equal(t, got, test.want)
			assert.Equal(t, due, test.due)
		})
	}
}
