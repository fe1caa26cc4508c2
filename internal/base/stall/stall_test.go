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
	w := stall.New(stall.WithClock(fake.Clock()))
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
	fake.Advance(1000)
	assert.Assert(t, w.CatchingUp())
	fake.Advance(200)
	assert.Assert(t, w.CatchingUp())
	fake.Advance(100)
	assert.Assert(t, !w.CatchingUp())
}
