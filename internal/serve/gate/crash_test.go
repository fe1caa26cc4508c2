package gate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Guards against callers who return before the part of their prompt may be tried, and are refused
// again.
func TestCallersReturnWhenThePartMayBeTried(t *testing.T) {
	for _, wait := range []clock.Millis{-50, 0, 300, 1500, 30_000, 900_000} {
		for range 100 {
			got := partRetry(wait)
			assert.Assert(t, got >= max(wait, minPartRetry) && got <= max(wait, minPartRetry)*5/4+1, "%d for %d", got, wait)
		}
	}
}
