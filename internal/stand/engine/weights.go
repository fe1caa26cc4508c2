package engine

import (
	"sync"
	"time"
)

// Weights simulates a weight store of limited bandwidth, which concurrent
// loads share.
type Weights struct {
	loadTime time.Duration

	mu        sync.Mutex
	active    int
	maxActive int
}

// NewWeights returns a store from which a load takes loadTime if no other load
// runs.
func NewWeights(loadTime time.Duration) *Weights { return &Weights{loadTime: loadTime} }

// Load waits for the duration of a load. It reports false if done was closed
// before the end.
func (w *Weights) Load(done <-chan struct{}) bool {
	const quantum = 10 * time.Millisecond
	w.addActive(1)
	defer w.addActive(-1)
	for progress := time.Duration(0); progress < w.loadTime; progress += quantum / time.Duration(w.addActive(0)) {
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

// MaxConcurrent returns the maximum number of concurrent loads so far.
func (w *Weights) MaxConcurrent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxActive
}

// addActive adds to the number of running loads and returns it, at least 1.
func (w *Weights) addActive(by int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active += by
	w.maxActive = max(w.maxActive, w.active)
	return max(w.active, 1)
}
