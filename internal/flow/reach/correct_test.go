package reach_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

// During a burst, estimates are 300 ms too low on average, so that all requests that
// are admitted by them are late. The correction must approach the error after some
// requests, and decay after the burst, when no requests end.
func TestCorrectionFollowsEstimationError(t *testing.T) {
	var c reach.Correction
	random := rand.New(rand.NewPCG(1, 2))
	now := clock.Millis(0)
	for range 200 {
		now += 50
		c.Observe(1000, 1300+clock.Millis(random.IntN(200))-100, now)
	}
	value := c.Value(now)
	assert.Assert(t, value > 250 && value < 420, "%f", value)
	assert.Assert(t, c.Value(now+20*clock.Second) < 10)
}

// Requests that are served behind all others end seconds late. A few of them must not
// prevent the admission of other requests.
func TestFewVeryLateRequestsHardlyRaiseCorrection(t *testing.T) {
	var c reach.Correction
	now := clock.Millis(0)
	for i := range 200 {
		now += 50
		took := clock.Millis(1000)
		if i%10 == 0 {
			took = 6000
		}
		c.Observe(1000, took, now)
	}
	assert.Assert(t, c.Value(now) < 50, "%f", c.Value(now))
}

func TestInitialCorrectionIsZero(t *testing.T) {
	var c reach.Correction
	assert.Equal(t, c.Value(5), 0.0)
}
