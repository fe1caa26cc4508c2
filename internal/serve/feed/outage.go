package feed

import (
	"context"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Outage is shared by the feeds of one process: while the store is away, one of
// them asks for it and the others wait for its word. Each call is paid for, also
// one that is refused; four feeds of 29 processes that each ask by themselves
// make 500 calls in the first eight seconds of an outage.
type Outage struct {
	mu sync.Mutex
	// prober is the feed that asks, nil for none; found closes when it got an
	// answer.
	prober *Feed
	found  chan struct{}
}

// NewOutage returns what the feeds of a process share.
func NewOutage() *Outage { return &Outage{} }

// lost notes that a feed got no answer. It returns nil if that feed is to ask
// again, else what closes once another one got an answer.
func (o *Outage) lost(f *Feed) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == nil {
		o.prober, o.found = f, make(chan struct{})
	}
	if o.prober == f {
		return nil
	}
	return o.found
}

// answered notes that a feed got an answer.
func (o *Outage) answered(f *Feed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == f {
		o.prober = nil
		close(o.found)
	}
}

// longestTrust is how long a feed waits for another one's word. A store may turn
// away one kind of call and not the other, and a feed that asks may wait for its
// answer for long.
const longestTrust = 1500 * clock.Millis(1)

// waitForOther waits until the feed that asks got an answer, for longestTrust at
// most.
func (f *Feed) waitForOther(ctx context.Context, found <-chan struct{}) {
	over, forget := f.clock.After(longestTrust)
	defer forget()
	select {
	case <-found:
	case <-over:
	case <-ctx.Done():
	}
}
