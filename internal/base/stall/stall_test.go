package stall_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/stall"
)

// Guards against a process that acts on what it knew before it stood still, and against one that waits
// although it only was slow.
func TestProcessCatchesUpAfterItStoodStill(t *testing.T) {
	fake := clock.NewFake(1)
	alone := false
	w := stall.New(stall.WithClock(fake.Clock()), stall.WithAlone(func() bool { return alone }))
	fake.Advance(5000)
	assert.Assert(t, !w.CatchingUp(), "before its start")
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fake.Pending() == 0 {
			return poll.Continue("not started")
		}
		return poll.Success()
	})
	assert.Assert(t, !w.CatchingUp(), "at its start")
	for range 10 {
		fake.Advance(350)
		assert.Assert(t, !w.CatchingUp(), "slow")
	}
	for _, tt := range []struct {
		name      string
		toldAfter clock.Millis // 0 for never
		caughtUp  clock.Millis
	}{{"told", 200, 250}, {"told late", 400, 400}, {"told what had arrived before", 50, 600}, {"not told", 0, 600}} {
		fake.Advance(1000)
		assert.Assert(t, w.CatchingUp(), tt.name)
		assert.Equal(t, w.RunsFor(), clock.Millis(0), tt.name)
		for after := clock.Millis(50); after <= 700; after += 50 {
			fake.Advance(50)
			assert.Equal(t, w.RunsFor(), after, tt.name)
			if after == tt.toldAfter {
				w.RecordTold()
			}
			assert.Equal(t, w.CatchingUp(), after < tt.caughtUp, "%s: after %d ms", tt.name, after)
		}
	}
	alone = true
	fake.Advance(1000)
	assert.Assert(t, w.CatchingUp())
	fake.Advance(250)
	assert.Assert(t, !w.CatchingUp())
}
