package stall_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/stall"
)

// within waits until a condition holds.
func within(t *testing.T, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against an attempt that is ended although no other may follow, and against one that is never ended
// because the first question came too early.
func TestAttemptIsEndedOnceAnotherMayFollow(t *testing.T) {
	var asked, cancelled atomic.Int64
	timer := stall.Start(t.Context(), stall.Settings[string]{
		Objective: 1, Pause: clock.Minute,
		AskFunc: func(context.Context) (string, bool) {
			assert.Check(t, cancelled.Load() == 0)
			return "second", asked.Add(1) == 3
		},
		CancelFunc: func() { cancelled.Add(1) },
	})
	within(t, func() bool { return cancelled.Load() == 1 })
	taken, granted := timer.Stop()
	assert.Assert(t, granted && taken == "second" && asked.Load() == 3, "%q, asked %d times", taken, asked.Load())
}

// Guards against a permission for another attempt that is lost, and never given back, because the answer
// arrived while it was being taken; and against the end of that answer.
func TestPermissionTakenWhileTheAnswerArrivedIsReturned(t *testing.T) {
	for name, arrive := range map[string]func(*stall.Timer[string]){
		"first event": func(timer *stall.Timer[string]) { timer.Reset() },
		"answer":      func(*stall.Timer[string]) {},
	} {
		var cancelled atomic.Int64
		asking := make(chan struct{})
		timer := stall.Start(t.Context(), stall.Settings[string]{
			Objective: 1, Pause: clock.Minute,
			AskFunc: func(ctx context.Context) (string, bool) {
				close(asking)
				<-ctx.Done() // until Stop
				return "second", true
			},
			CancelFunc: func() { cancelled.Add(1) },
		})
		<-asking
		arrive(timer)
		taken, granted := timer.Stop()
		assert.Check(t, granted && taken == "second" && cancelled.Load() == 0, "%s: %q, cancelled %d times", name, taken, cancelled.Load())
	}
}

// Guards against a stream that is never ended although its engine has sent nothing for long after an event.
func TestPauseEndsAStreamThatHasBegun(t *testing.T) {
	var asked, cancelled atomic.Int64
	timer := stall.Start(t.Context(), stall.Settings[string]{
		Objective: clock.Minute, Pause: 1,
		AskFunc:    func(context.Context) (string, bool) { asked.Add(1); return "", true },
		CancelFunc: func() { cancelled.Add(1) },
	})
	timer.Reset()
	within(t, func() bool { return cancelled.Load() == 1 })
	_, granted := timer.Stop()
	assert.Assert(t, !granted && asked.Load() == 0)
}

// Guards against a timer without settings, of a request that may not be repeated, that ends its attempt.
func TestZeroTimerNeverEnds(t *testing.T) {
	var timer stall.Timer[string]
	timer.Reset()
	_, granted := timer.Stop()
	assert.Assert(t, !granted)
}
