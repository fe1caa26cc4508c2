package pace_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/pace"
)

// A cold endpoint that receives more than its bound within any second crashes and
// loses all its requests.
func TestStartsPerSecondStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 20).Draw(t, "bound")
		var p pace.Limiter
		var sent []clock.Millis
		now := clock.Millis(1)
		for range 200 {
			now += clock.Millis(rapid.IntRange(0, 80).Draw(t, "step"))
			if p.Delay(bound, now) > 0 {
				continue
			}
			p.Record(now)
			sent = append(sent, now)
		}
		for i := bound; i < len(sent); i++ {
			if sent[i]-sent[i-bound] < clock.Second {
				t.Fatalf("%d starts within %d ms", bound+1, sent[i]-sent[i-bound])
			}
		}
	})
}

func TestDelayUntilNextStart(t *testing.T) {
	var p pace.Limiter
	p.Record(100)
	p.Record(300)
	assert.Equal(t, p.Delay(3, 400), clock.Millis(0))
	assert.Equal(t, p.Delay(2, 400), 100+pace.Window-400)
	assert.Equal(t, p.Delay(1, 400), 300+pace.Window-400)
	assert.Equal(t, p.Delay(0, 400), pace.Window)
	assert.Equal(t, p.Recent(100+pace.Window), 1)
}
