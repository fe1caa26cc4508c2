package router

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/relay"
)

// Guards against a revoked key that works for seconds. A change of the configuration
// wakes the watches of all processes at once. If the store then loses the watches that
// follow and the next change comes, only a watch whose wait is over detects it, so that
// not all of them may end late.
const meanWatchWait = 900 * clock.Millis(1)

func TestSomeWatchEndsSoonAfterACommonStart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	sum, rounds := clock.Millis(0), 200
	for range rounds {
		first := clock.Millis(1 << 40)
		for range relay.Watchers {
			span := randomWatchWait(meanWatchWait, random.Float64())
			first, sum = min(first, span), sum+span
		}
		assert.Assert(t, first < 1300, "%d ms", first)
	}
	mean := float64(sum) / float64(rounds*relay.Watchers)
	assert.Assert(t, mean > 0.9*float64(meanWatchWait) && mean < 1.1*float64(meanWatchWait), "%f", mean)
}
