// Package stall ends an attempt whose endpoint sends nothing once another endpoint may be asked.
package stall

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// objectives is the number of the route's objectives that an endpoint may take for the first
	// event before another endpoint is considered.
	objectives = 2.5
	// maxPause bounds the pauses of a stream that another engine could resume. It is several
	// times the usual pauses of a busy engine.
	maxPause = 1800 * clock.Millis(1)
	// askAgain is the time between two questions whether another endpoint may be asked.
	askAgain = 200 * clock.Millis(1)
)

// Settings configure a Timer.
type Settings[T any] struct {
	// Objective is the time within which the route's first events should arrive.
	Objective clock.Millis
	// Pause is the longest time without a later event, 0 for maxPause.
	Pause clock.Millis
	// AskFunc takes what another attempt needs and reports whether there is one. It is called in a
	// goroutine of its own after some objectives without an event, and again until it reports true.
	AskFunc func(context.Context) (T, bool)
	// CancelFunc ends the attempt: once AskFunc has reported true, or after Pause without a later event.
	CancelFunc func()
}

// Timer ends an attempt after a time without an event. The zero value never does.
type Timer[T any] struct {
	settings Settings[T]
	timer    *time.Timer
	ctx      context.Context
	stopAsk  context.CancelFunc

	mu      sync.Mutex
	began   bool
	stopped bool
	// asking is closed once the call of AskFunc has ended, nil if there is none.
	asking  chan struct{}
	taken   T
	granted bool
}

// Start returns a Timer for an attempt that begins now.
func Start[T any](ctx context.Context, settings Settings[T]) *Timer[T] {
	settings.Pause = cmp.Or(settings.Pause, maxPause)
	t := &Timer[T]{settings: settings}
	t.ctx, t.stopAsk = context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(clock.Millis(objectives*float64(settings.Objective)).Duration(), t.fire)
	return t
}

// fire handles a time without an event.
func (t *Timer[T]) fire() {
	asking, began := t.beginAsk()
	if began {
		t.settings.CancelFunc()
	}
	if asking == nil {
		return
	}
	taken, granted := t.settings.AskFunc(t.ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken, t.granted, t.asking = taken, granted, nil
	close(asking)
	switch {
	case t.began || t.stopped:
	case granted:
		t.settings.CancelFunc()
	default:
		t.timer.Reset(askAgain.Duration())
	}
}

// beginAsk returns the channel to close after a call of AskFunc, nil for no call, and whether the answer
// has begun and pauses for too long.
func (t *Timer[T]) beginAsk() (asking chan struct{}, began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.began {
		return nil, t.began && !t.stopped
	}
	t.asking = make(chan struct{})
	return t.asking, false
}

// Reset restarts the timer after an event.
func (t *Timer[T]) Reset() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.began = true; !t.stopped {
		t.timer.Reset(t.settings.Pause.Duration())
	}
}

// Stop ends the timer, after a call of AskFunc that is under way. It returns what AskFunc has taken for
// another attempt and whether it has.
func (t *Timer[T]) Stop() (T, bool) {
	if t.timer == nil {
		return t.taken, false
	}
	t.mu.Lock()
	t.stopped = true
	t.timer.Stop()
	asking := t.asking
	t.mu.Unlock()
	t.stopAsk()
	if asking != nil {
		<-asking
	}
	return t.taken, t.granted
}
