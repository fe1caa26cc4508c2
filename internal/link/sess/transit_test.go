package sess

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Guards against a confirmation that waited behind other messages, or in a paused process,
// and counts as if it had been made when it arrived.
func TestTransitIsNeverUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := clock.Millis(rapid.IntRange(-1e6, 1e6).Draw(t, "offset of the peer's clock"))
		var here, peer transitMeter
		now := clock.Millis(1)
		here.openedAt, peer.openedAt = now, now+offset
		for range 20 {
			now += clock.Millis(rapid.IntRange(1, 2000).Draw(t, "pause"))
			transit := clock.Millis(rapid.IntRange(0, 3000).Draw(t, "transit"))
			if rapid.Bool().Draw(t, "to the peer") {
				peer.observe(here.stamp(now, now), now+transit+offset)
				continue
			}
			stamp := peer.stamp(now+offset, now+offset)
			bound := here.observe(stamp, now+transit)
			if bound < transit {
				t.Fatalf("bound of %d ms, but the frame took %d ms", bound, transit)
			}
			now += transit
		}
	})
}

// Guards against confirmations that seem old all the time, and cost calls to the store.
func TestTransitOfFastFramesIsSmall(t *testing.T) {
	const offset, oneWay = 77_000, 4
	var here, peer transitMeter
	now := clock.Millis(1)
	for _, delay := range []clock.Millis{900, oneWay, oneWay} {
		peer.observe(here.stamp(now, now), now+delay+offset)
		now += 1000
	}
	for range 600 {
		now += 1000
		assert.Assert(t, here.observe(peer.stamp(now+offset, now+offset), now+oneWay) <= 2*oneWay)
		peer.observe(here.stamp(now, now), now+oneWay+offset)
	}
	assert.Equal(t, here.observe(peer.stamp(now+offset, now+offset), now+800), clock.Millis(800+oneWay))
}

// Guards against a confirmation on a new session that counts as if it had been made when it arrived: a process that takes over
// from a larger one sends its first ones while it is busiest.
func TestTransitOfFirstFramesCountsFromTheOpening(t *testing.T) {
	here := transitMeter{openedAt: 10}
	assert.Equal(t, here.observe(&wire.Stamp{SentAt: 500_000}, 910), clock.Millis(900))
	assert.Equal(t, here.observe(&wire.Stamp{SentAt: 500_100}, 950), clock.Millis(940))
}
