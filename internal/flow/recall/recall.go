// Package recall remembers callers that were refused and told when to come
// back, so that one that does is known whichever process it reaches.
//
// It answers bursts. To a process that doesn't know it, a caller that comes back
// looks like a new one: its objective seems to lie further ahead than it does, it
// queues behind others that have waited for less time, and it is refused once
// more, although it has done as it was told.
package recall

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// keep is how long a refusal is remembered: callers have left by then.
	keep = 20 * clock.Second
	// early is how much sooner than told a caller may come: times to come back
	// are rounded on the way. One that comes earlier doesn't wait its turn and is
	// treated as new.
	early = 20 * clock.Millis(1)
	// most bounds what is remembered, and what waits to be told to peers.
	most     = 8192
	mostTold = 1024
	// forgetEvery is the shortest pause between two looks for what is too old: in
	// a flood of refusals each would go through all of them.
	forgetEvery = clock.Second
)

// Refusal is one caller that was told to come back.
type Refusal struct {
	// Key names the caller's request; all its attempts have the same.
	Key uint64
	// FirstArrival is when its first attempt arrived, Return when it may come back.
	FirstArrival clock.Millis
	RetryAt      clock.Millis
}

// Refusals holds refusals. It is safe for use by several goroutines.
type Refusals struct {
	mu     sync.Mutex
	byKey  map[uint64]Refusal
	untold []Refusal
	// forgot is when old refusals were dropped last.
	forgot clock.Millis
}

// New returns an empty book.
func New() *Refusals { return &Refusals{byKey: make(map[uint64]Refusal)} }

// Add remembers a refusal of this process.
func (b *Refusals) Add(refusal Refusal, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.put(refusal, now)
	if len(b.untold) < mostTold {
		b.untold = append(b.untold, refusal)
	}
}

// AddRemote remembers refusals of other processes.
func (b *Refusals) AddRemote(refusals []Refusal, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, refusal := range refusals {
		b.put(refusal, now)
	}
}

// put enters a refusal; the caller holds the lock.
func (b *Refusals) put(refusal Refusal, now clock.Millis) {
	if len(b.byKey) >= most && now-b.forgot >= forgetEvery {
		b.forget(now)
	}
	if len(b.byKey) < most {
		b.byKey[refusal.Key] = refusal
	}
}

// forget drops what is too old; the caller holds the lock.
func (b *Refusals) forget(now clock.Millis) {
	b.forgot = now
	for key, refusal := range b.byKey {
		if now-refusal.FirstArrival > keep {
			delete(b.byKey, key)
		}
	}
}

// TakeUnsent returns the refusals that peers have not been told yet.
func (b *Refusals) TakeUnsent() []Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	untold := b.untold
	b.untold = nil
	return untold
}

// Lookup returns the refusal of a caller that has come back as told, and
// whether it is one.
func (b *Refusals) Lookup(key uint64, now clock.Millis) (Refusal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refusal, known := b.byKey[key]
	if !known || now-refusal.FirstArrival > keep || now < refusal.RetryAt-early {
		return Refusal{}, false
	}
	return refusal, true
}
