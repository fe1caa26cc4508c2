package feed

import (
	"context"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Outage is shared by the feeds of one process: during an outage of the store, one
// of them, the prober, calls the store, and the others wait for its first answer.
// Each call costs money, even one that the store refuses: without a prober, four
// feeds in each of 29 processes make 500 calls in the first eight seconds of an
// outage.
type Outage struct {
	mu sync.Mutex
	// prober is the feed that calls the store, nil without an outage; answered is
	// closed when it gets an answer.
	prober   *Feed
	answered chan struct{}
	// feeds are the feeds of the process, and era the latest era of the store that one of them
	// has read.
	feeds []*Feed
	era   uint64
}

func (o *Outage) add(f *Feed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.feeds = append(o.feeds, f)
}

// recordEra records the era of an answer that a feed got. If the era has risen, the other feeds
// that read the store themselves read their lists again: their watches may wait for long.
func (o *Outage) recordEra(from *Feed, era uint64) {
	o.mu.Lock()
	before := o.era
	o.era = max(o.era, era)
	feeds := o.feeds
	o.mu.Unlock()
	if era <= before {
		return
	}
	from.log.Info("store era risen", "kind", from.kind, "before", before, "era", era)
	if before == 0 {
		return
	}
	for _, f := range feeds {
		if f != from && !f.Relayed() {
			f.RequestList()
		}
	}
}

// NewOutage returns the outage state for the feeds of one process.
func NewOutage() *Outage { return &Outage{} }

// recordFailure records that a call of a feed failed. It returns nil if that feed
// is the prober and has to retry, otherwise a channel that is closed once the
// prober gets an answer.
func (o *Outage) recordFailure(f *Feed) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == nil {
		o.prober, o.answered = f, make(chan struct{})
	}
	if o.prober == f {
		return nil
	}
	return o.answered
}

// recordAnswer records that a feed got an answer.
func (o *Outage) recordAnswer(f *Feed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == f {
		o.prober = nil
		close(o.answered)
	}
}

// maxProberWait is the longest time that a feed waits for the prober. The store may
// refuse only one type of call, and the call of the prober may take long.
const maxProberWait = 1500 * clock.Millis(1)

// waitForProber waits until the prober gets an answer or a peer relays changes, but at
// most maxProberWait.
func (f *Feed) waitForProber(ctx context.Context, answered <-chan struct{}) {
	expired, stopTimer := f.clock.After(maxProberWait)
	defer stopTimer()
	select {
	case <-answered:
	case <-f.relayChanged:
	case <-expired:
	case <-ctx.Done():
	}
}
