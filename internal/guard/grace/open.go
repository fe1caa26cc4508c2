package grace

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// cancelTimeout bounds the wait for cancelled requests to end: a request whose body is still arriving ends only
// when its connection closes.
const cancelTimeout = 150 * clock.Millis(1)

// Open counts the requests that have not ended and cuts them at the end of a planned stop.
type Open struct {
	clock   *clock.Clock
	group   sync.WaitGroup
	count   atomic.Int64
	context context.Context
	cancel  context.CancelFunc
}

// NewOpen returns an Open without requests.
func NewOpen(c *clock.Clock) *Open {
	o := &Open{clock: c}
	o.context, o.cancel = context.WithCancel(context.Background())
	return o
}

// Begin counts a request until the function that it returns is called.
func (o *Open) Begin() (end func()) {
	o.group.Add(1)
	o.count.Add(1)
	return func() {
		o.count.Add(-1)
		o.group.Done()
	}
}

// Count returns the number of open requests.
func (o *Open) Count() int64 { return o.count.Load() }

// Context returns the context of all requests, which ends when they are cut.
func (o *Open) Context() context.Context { return o.context }

// Wait returns once no request is open. When the context ends first, it cuts the
// remaining requests and returns their number.
func (o *Open) Wait(ctx context.Context) int64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.group.Wait()
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
	}
	remaining := o.count.Load()
	o.cancel()
	timedOut, stopTimer := o.clock.After(cancelTimeout)
	defer stopTimer()
	select {
	case <-done:
	case <-timedOut:
	}
	return remaining
}
