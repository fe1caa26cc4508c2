package pulse_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/serve/pulse"
)

const timeout = 700 * clock.Millis(1)

// silentAfter returns how long after the last message of a peer it counts as silent, with rounds
// at an interval.
func silentAfter(interval clock.Millis, receiving func(now clock.Millis) bool) clock.Millis {
	m := pulse.New(timeout)
	for now := clock.Millis(1000); ; now += interval {
		m.StartRound(receiving(now), now)
		if m.IsSilent(1000, now) {
			return now - 1000
		}
	}
}

// Guards against a peer that counts as silent because this process was late itself, and against
// silent peers that are never noticed on a host that is always late.
func TestOwnLatenessIsNoSilenceOfAPeer(t *testing.T) {
	never := func(clock.Millis) bool { return false }
	always := func(clock.Millis) bool { return true }
	first := func(now clock.Millis) bool { return now < 1600 }
	assert.Equal(t, silentAfter(100, never), clock.Millis(800))
	assert.Equal(t, silentAfter(100, first), clock.Millis(1300))
	assert.Equal(t, silentAfter(100, always), clock.Millis(2200))
	assert.Equal(t, silentAfter(1000, never), clock.Millis(4000))
}

// Guards against a message that waits in the queue of a process that stood still.
func TestMessagesMayArriveAfterAProcessStoodStill(t *testing.T) {
	m := pulse.New(timeout)
	m.StartRound(false, 1000)
	m.StartRound(false, 6000)
	assert.Assert(t, !m.IsSilent(1000, 6000))
	m.StartRound(false, 6100)
	assert.Assert(t, !m.IsSilent(6050, 6100))
	assert.Assert(t, !m.IsSilent(1000, 6300))
	assert.Assert(t, m.IsSilent(1000, 6301))
}
