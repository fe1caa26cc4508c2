package engine

import (
	"sync"
	"time"
)

// Weights is the rate-limited weight store: loads that run at once slow each
// other down.
type Weights struct {
	span time.Duration

	mu     sync.Mutex
	active int
	most   int
}

// NewWeights returns a store from which one load alone takes that span.
func NewWeights(span time.Duration) *Weights { return &Weights{span: span} }

// Load waits until the weights have come, and reports false when done closed
// before that.
func (w *Weights) Load(done <-chan struct{}) bool {
	const quantum = 10 * time.Millisecond
	w.change(1)
	defer w.change(-1)
	for progress := time.Duration(0); progress < w.span; progress += quantum / time.Duration(w.change(0)) {
		timer := time.NewTimer(quantum)
		select {
		case <-timer.C:
		case <-done:
			timer.Stop()
			return false
		}
	}
	return true
}

// MaxConcurrent returns the most loads that ran at once.
func (w *Weights) MaxConcurrent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

func (w *Weights) change(by int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active += by
	w.most = max(w.most, w.active)
	return max(w.active, 1)
}
