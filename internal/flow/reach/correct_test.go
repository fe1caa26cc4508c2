package reach_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

// Estimates are too low by 300 ms on average while a burst lasts. Requests that
// begin by them alone are late, all of them. What estimates were off by counts
// after some requests, and is forgotten once the burst is over and nobody tells.
func TestDoubtFollowsWhatEstimatesAreOffBy(t *testing.T) {
	var b reach.Correction
	random := rand.New(rand.NewPCG(1, 2))
	now := clock.Millis(0)
	for range 200 {
		now += 50
		b.Observe(1000, 1300+clock.Millis(random.IntN(200))-100, now)
	}
	value := b.Value(now)
	assert.Assert(t, value > 250 && value < 420, "%f", value)
	assert.Assert(t, b.Value(now+20*clock.Second) < 10)
}

// Some requests are put behind all others and end seconds late. They must not
// keep everybody else from being begun.
func TestFewVeryLateRequestsDoNotStopTheRest(t *testing.T) {
	var b reach.Correction
	now := clock.Millis(0)
	for i := range 200 {
		now += 50
		took := clock.Millis(1000)
		if i%10 == 0 {
			took = 6000
		}
		b.Observe(1000, took, now)
	}
	assert.Assert(t, b.Value(now) < 50, "%f", b.Value(now))
}

func TestNothingIsDoubtedAtFirst(t *testing.T) {
	var b reach.Correction
	assert.Equal(t, b.Value(5), 0.0)
}
