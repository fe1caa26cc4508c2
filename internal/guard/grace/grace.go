// Package grace decides during a planned stop which requests may still be begun: those that are expected to
// end before the process cuts what is open. Others are refused as not run, so that another process serves
// them. A cut request has no answer, and its caller can't tell whether it ran.
package grace

import (
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// window is the time for which the longest time of a kind of work counts at least. It counts for two
	// windows at most.
	window = 30 * clock.Second
	// minCount is the number of ended requests from which their longest time is a measure of the next ones.
	minCount = 8
	// factor and onceFactor are applied to the longest time: of eight requests of random length, one in nine
	// takes longer than all before it. A request that may run once only needs more room, because its caller
	// can't repeat it after a cut, while a refusal costs it one more call.
	factor     = 1.25
	onceFactor = 2
)

// Step is the part of a request that lies ahead.
type Step string

// Steps of a request.
const (
	// Arrived requests have their stages and the wait for an endpoint before them.
	Arrived Step = "arrived"
	// Chosen requests have an endpoint and are about to be sent.
	Chosen Step = "chosen"
)

// Kind identifies requests that take similar times from a step to their end.
type Kind struct {
	Route, Pool string
	Step        Step
}

// Work is a request that is to be begun.
type Work struct {
	Kind
	// EndsBy is when the request ends at the latest, because its own time is over.
	EndsBy clock.Millis
	// OnceOnly is set if the request must not be repeated.
	OnceOnly bool
}

// Book holds the state of the planned stop and the times that requests took. The zero value is a process that
// is not being stopped. It is safe for concurrent use.
type Book struct {
	draining, refusing atomic.Bool
	// cutAt is when open requests are cut, 0 for never.
	cutAt atomic.Int64
	times sync.Map // Kind to *times
}

// Start begins a planned stop that cuts open requests at an instant, or never if it is 0.
func (b *Book) Start(cutAt clock.Millis) {
	b.cutAt.Store(int64(cutAt))
	b.draining.Store(true)
}

// RefuseNew ends the part of a planned stop in which requests that arrive may be begun.
func (b *Book) RefuseNew() { b.refusing.Store(true) }

// Draining reports whether a planned stop has begun.
func (b *Book) Draining() bool { return b.draining.Load() }

// Refusing reports whether each request that arrives is refused.
func (b *Book) Refusing() bool { return b.refusing.Load() }

// MayBegin reports whether a request may be begun.
func (b *Book) MayBegin(w Work, now clock.Millis) bool {
	cutAt := clock.Millis(b.cutAt.Load())
	switch {
	case w.Step == Arrived && b.Refusing():
		return false
	case cutAt == 0 || w.EndsBy <= cutAt:
		return true
	}
	longest, known := b.timesOf(w.Kind).longest(now)
	if !known {
		// The objective is what callers wish, and work may take several times as long. Only the end of its own
		// time bounds work that was not measured.
		return false
	}
	share := factor
	if w.OnceOnly {
		share = onceFactor
	}
	return now+clock.Millis(share*float64(longest)) <= cutAt
}

// Record records the time from a step of a request to its end.
func (b *Book) Record(kind Kind, took, now clock.Millis) { b.timesOf(kind).record(took, now) }

func (b *Book) timesOf(kind Kind) *times {
	if known, found := b.times.Load(kind); found {
		return known.(*times)
	}
	known, _ := b.times.LoadOrStore(kind, new(times))
	return known.(*times)
}

// span holds what was recorded within a window.
type span struct {
	count   int
	longest clock.Millis
}

// times holds the times of one kind of requests, of the current and the last window.
type times struct {
	mu            sync.Mutex
	beganAt       clock.Millis
	current, last span
}

func (t *times) record(took, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	t.current.count++
	t.current.longest = max(t.current.longest, took)
}

// longest returns the longest time recorded lately, and whether enough requests have ended for it to be a measure.
func (t *times) longest(now clock.Millis) (clock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	return max(t.current.longest, t.last.longest), t.current.count+t.last.count >= minCount
}

// rotate begins a new window if the current one is over. The caller holds the lock.
func (t *times) rotate(now clock.Millis) {
	switch age := now - t.beganAt; {
	case age >= 2*window:
		t.current, t.last, t.beganAt = span{}, span{}, now
	case age >= window:
		t.current, t.last, t.beganAt = span{}, t.current, t.beganAt+window
	}
}
