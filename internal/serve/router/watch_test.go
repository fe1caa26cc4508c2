package router

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/relay"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
	"github.com/jujubescale/jujubescale/internal/serve/proof"
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

// progressInterval is the longest time between two messages in which a peer shows its
// progress.
const progressInterval = 100 * clock.Millis(1)

// Guards against waits that are short each and outlast, one after another, the time within
// which a change must be in force. A call to the store that takes longer than callShare is not
// covered.
func TestPartsOfTheTimeForChangesSumToLessThanIt(t *testing.T) {
	for _, within := range []clock.Millis{2 * clock.Second, 3 * clock.Second} {
		share := func(of float64) clock.Millis { return clock.Millis(of * float64(within)) }
		longestWatch := randomWatchWait(share(watchWaitShare), 1)
		longestPause := minLongestBackoff + minLongestBackoff/2 // with jitter
		for name, parts := range map[string][]clock.Millis{
			"the upstream is silent":              {share(maxAgeShare), share(callShare)},
			"the upstream is replaced":            {share(upstreamAgeShare), progressInterval, share(callShare)},
			"a watch gets no reply":               {longestWatch, WatchMargin, share(callShare)},
			"changes that a peer shows are lost":  {progressInterval, share(maxAgeShare) / feed.MissingDivisor, share(callShare)},
			"a watcher pauses after a failure":    {longestPause, share(callShare)},
			"the others see that it is back":      {progressInterval, feed.MaxBackoff, share(callShare)},
			"a watcher that is cut off follows":   {share(watcherAgeShare), progressInterval},
			"a process waits for its peers first": {share(watchWaitShare), share(callShare)},
			"a watch answered at once denies":     {longestWatch, share(proof.DenialShare)},
		} {
			sum := clock.Millis(0)
			for _, part := range parts {
				sum += part
			}
			assert.Check(t, sum <= within, "%s: %v is %d ms, more than %d ms", name, parts, sum, within)
		}
		assert.Check(t, longestWatch < share(upstreamAgeShare), "an upstream is left although its watch is in time")
	}
}
