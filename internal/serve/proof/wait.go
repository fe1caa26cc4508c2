package proof

import (
	"context"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

const (
	// maxWaiting limits the denials that wait, so that a flood of unknown paths takes little memory.
	maxWaiting = 200
	// poll is the pause between two looks at the state while denials wait.
	poll = 20 * clock.Millis(1)
)

// wait is the wait of all denials for a confirmation.
type wait struct {
	mu sync.Mutex
	// ended is closed when the current wait ends, nil without one. waiting is the number of denials
	// that wait for it.
	ended   chan struct{}
	waiting int
}

// await waits until the configuration is confirmed, and reports whether it waited. It calls nothing: a
// process whose configuration is too old calls the store already. It doesn't wait while the store has
// been away for longer than a denial may wait.
func (b *Book) await(ctx context.Context, request string) bool {
	if !b.mayBeConfirmed() {
		return !b.Outdated() // it was confirmed since the decision
	}
	ended := b.wait.join(b.awaitEnd)
	if ended == nil {
		return false
	}
	defer b.wait.leave()
	began := b.clock.Now()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	b.log.Info("denial waited for the configuration", logs.KeyRequest, request, "waitedMs", int64(b.clock.Since(began)),
		"configuration", b.Version(), "ageMs", int64(b.Age()), "outdated", b.Outdated())
	return true
}

// mayBeConfirmed reports whether the configuration is outdated, and may be confirmed or replaced soon.
func (b *Book) mayBeConfirmed() bool {
	d := b.Decide()
	return b.isUnproved(&d) && !d.NotInForce && d.Table != nil && !d.Table.Incomplete && b.restoredFor(&d) <= b.waitFor && (d.Behind || b.awayFunc() <= b.waitFor)
}

// awaitEnd closes ended once the configuration is confirmed, at the latest after waitFor.
func (b *Book) awaitEnd(ended chan struct{}) {
	defer b.wait.end(ended)
	for until := b.clock.Now() + b.waitFor; b.mayBeConfirmed() && b.clock.Now() < until; {
		if b.clock.Sleep(b.ctx, poll) != nil {
			return
		}
	}
}

// join returns the channel that is closed at the end of the current wait, and starts a wait if
// there is none. It returns nil if too many denials wait; otherwise leave must be called.
func (w *wait) join(run func(ended chan struct{})) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= maxWaiting {
		return nil
	}
	w.waiting++
	if w.ended == nil {
		w.ended = make(chan struct{})
		go run(w.ended)
	}
	return w.ended
}

func (w *wait) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

// end ends the current wait.
func (w *wait) end(ended chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = nil
	close(ended)
}
