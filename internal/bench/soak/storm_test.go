package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against storms that differ between runs of a seed, or that reach into the time without disturbances.
func TestStormsAreReproducibleAndEndBeforeRecovery(t *testing.T) {
	const length = 40 * time.Second
	rates := make(map[int]bool)
	for seed := range uint64(50) {
		plan := stormPlan(seed, length)
		assert.Assert(t, len(plan) >= 3, "seed %d: %v", seed, plan)
		for i, one := range plan {
			assert.Equal(t, one, stormPlan(seed, length)[i])
			assert.Assert(t, one.at >= firstDisturbance+rollingCount*rollingSpan && one.at+one.length <= length-recoverySpan, "seed %d: %v", seed, one)
			assert.Assert(t, one.length >= 2*time.Second && one.length <= 4*time.Second && one.perSecond >= 3 && one.perSecond <= 12, "seed %d: %v", seed, one)
			assert.Assert(t, i == 0 || one.at >= plan[i-1].at+plan[i-1].length+time.Second, "seed %d: %v", seed, plan)
			rates[one.perSecond] = true
		}
	}
	assert.Equal(t, len(rates), 10)
}
