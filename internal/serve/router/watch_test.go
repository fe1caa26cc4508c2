package router

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// A change of the configuration wakes the watches of all processes at once. The
// next change comes right after it, while the store forgets its watches, so that
// only a watch that ends by itself shows it. If all of them ended late, a key
// that was taken away would work for seconds.
func TestSomeWatchEndsSoonAfterAllBeganTogether(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, processes := range []int{1, 3, 5, 29, 100} {
		sum, rounds := clock.Millis(0), 200
		late := 0
		for range rounds {
			first := clock.Millis(1 << 40)
			for range processes {
				span := watchSpan(processes, random.Float64())
				first, sum = min(first, span), sum+span
			}
			if first > 2*clock.Second {
				late++
			}
		}
		assert.Assert(t, late*20 <= rounds, "%d processes: %d of %d rounds", processes, late, rounds)
		mean := float64(sum) / float64(rounds*processes)
		wanted := float64(min(leastWait*clock.Millis(max(processes, watchers))/watchers, mostWait))
		assert.Assert(t, mean > 0.6*wanted && mean < 1.1*wanted, "%d processes: %f for %f", processes, mean, wanted)
	}
}
