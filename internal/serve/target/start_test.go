package target_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

func newTarget() (*target.Target, *clock.Fake) {
	fake := clock.NewFake(1000)
	endpoints := view.New()
	endpoints.Sync([]view.Entry{{ID: "e1", StartedAt: 1, Address: "127.0.0.1:1", Pool: "models"}}, 1, 0)
	endpoints.Publish()
	set := target.NewSet(target.Settings{Clock: fake.Clock(), Log: log.New(io.Discard), Registry: prometheus.NewRegistry()})
	return set.Get(endpoints.Snapshot().Find("e1")), fake
}

// Guards against streams that count as begun by the start that an entry names, although another
// process answers at its address.
func TestAnswersCountOnceTheirStartIsConfirmed(t *testing.T) {
	known, fake := newTarget()
	var asked, begun atomic.Int64
	began := func(failure error) bool {
		before, calls := begun.Load(), asked.Load()
		known.WhenConfirmed(t.Context(), func(context.Context) error { asked.Add(1); return failure }, func() { begun.Add(1) })
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if begun.Load() > before || asked.Load() > calls {
				return poll.Success()
			}
			return poll.Continue("neither asked nor begun")
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
		time.Sleep(10 * time.Millisecond)
		return begun.Load() > before
	}
	assert.Assert(t, !began(&target.StartError{Endpoint: "e1", Want: 1, Got: 2}))
	assert.Assert(t, began(nil))
	assert.Equal(t, asked.Load(), int64(2))
	assert.Assert(t, began(nil))
	assert.Equal(t, asked.Load(), int64(2), "a confirmation counts for others")
	known.BlockReplaced(fake.Clock().Now())
	assert.Assert(t, began(nil))
	assert.Equal(t, asked.Load(), int64(3), "a replaced endpoint is confirmed again")
}

// Guards against a confirmation that counts for answers which began after it was asked for.
func TestConfirmationCountsForAnswersBeforeIt(t *testing.T) {
	known, _ := newTarget()
	asked, answers, begun := make(chan struct{}), make(chan error), make(chan string, 2)
	confirm := func(context.Context) error { asked <- struct{}{}; return <-answers }
	known.WhenConfirmed(t.Context(), confirm, func() { begun <- "first" })
	<-asked
	known.WhenConfirmed(t.Context(), confirm, func() { begun <- "second" })
	known.BlockReplaced(0)
	answers <- nil
	assert.Equal(t, <-begun, "first")
	<-asked
	answers <- &target.StartError{Endpoint: "e1", Want: 1, Got: 2}
	time.Sleep(10 * time.Millisecond)
	assert.Equal(t, len(begun), 0)
}

// Guards against calls without end to an endpoint that doesn't answer them or states no start.
func TestUnansweredConfirmationsEnd(t *testing.T) {
	known, _ := newTarget()
	var asked atomic.Int64
	known.WhenConfirmed(t.Context(), func(context.Context) error {
		asked.Add(1)
		return &target.StartError{Endpoint: "e1", Want: 1}
	}, func() { t.Error("begun without a confirmation") })
	time.Sleep(20 * time.Millisecond)
	known.WhenConfirmed(t.Context(), func(context.Context) error {
		asked.Add(1)
		return errors.New("not asked while the endpoint states no start")
	}, func() { t.Error("begun without a confirmation") })
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, asked.Load(), int64(1))
}
