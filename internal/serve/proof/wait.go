package proof

import (
	"context"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

const (
	// maxWaiting limits the requests that wait, so that a flood of them takes little memory.
	maxWaiting = 200
	// poll is the pause between two looks at the state while requests wait.
	poll = 20 * clock.Millis(1)
)

// wait is the wait of all requests that need the same proof.
type wait struct {
	// missingFunc reports whether the proof is missing, neededFunc whether it may also come soon.
	missingFunc, neededFunc func() bool

	mu sync.Mutex
	// ended is closed when the current wait ends, nil without one. waiting is the number of requests
	// that wait for it.
	ended   chan struct{}
	waiting int
}

// await waits until the configuration is confirmed, and reports whether the request is to be decided anew. It calls
// nothing: a process whose configuration is too old calls the store already.
func (b *Book) await(ctx context.Context, w *wait, request, event string) bool {
	if !w.neededFunc() {
		return !w.missingFunc() // it has come since the decision
	}
	ended := w.join(func(ended chan struct{}) { b.awaitEnd(w, ended) })
	if ended == nil {
		return false
	}
	defer w.leave()
	began := b.clock.Now()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	b.log.Info(event, logs.KeyRequest, request, "waitedMs", int64(b.clock.Since(began)),
		"configuration", b.Version(), "ageMs", int64(b.Age()), "outdated", b.Outdated())
	return true
}

// denialMayBeProved reports whether a denial is not proved, and a proof or a newer configuration may come soon. It
// doesn't while the store has been away for longer than a denial may wait.
func (b *Book) denialMayBeProved() bool {
	d := b.Decide()
	return b.isUnproved(&d) && !d.NotInForce && d.Table != nil && !d.Table.Incomplete && b.restoredFor(&d) <= b.waitFor && (d.Behind || b.store.AwayFunc() <= b.waitFor)
}

// isTooOld reports whether the configuration in force is too old for any request.
func (b *Book) isTooOld() bool {
	d := b.Decide()
	return b.isStale(&d)
}

// awaitEnd closes ended once the proof is not needed any more, at the latest after waitFor.
func (b *Book) awaitEnd(w *wait, ended chan struct{}) {
	defer w.end(ended)
	for until := b.clock.Now() + b.waitFor; w.neededFunc() && b.clock.Now() < until; {
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
