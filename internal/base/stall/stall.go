// Package stall tells whether a process has just stood still, as one does whose host is paused. It then
// has to learn what it missed before it acts on what it knew.
package stall

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// interval is the time between two looks at the clock. A process has stood still if there are
	// maxGap between them.
	interval = 50 * clock.Millis(1)
	maxGap   = 400 * clock.Millis(1)
	// catchUp is how long a process takes to learn from its peers what it missed, if it has to open its
	// sessions again.
	catchUp = 250 * clock.Millis(1)
)

// Watch looks at the clock of a process. It is safe for concurrent use.
type Watch struct {
	clock *clock.Clock
	log   *log.Logger
	// seenAt is when the clock was last looked at, 0 before Run. until is when the process has caught up.
	seenAt, until atomic.Int64
}

// Option configures a Watch.
type Option func(*Watch)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(w *Watch) { w.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(w *Watch) { w.log = l } }

// New returns a Watch that looks at the clock once Run is called.
func New(opts ...Option) *Watch {
	w := &Watch{clock: clock.New(), log: log.New(io.Discard)}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Run looks at the clock until the context ends.
func (w *Watch) Run(ctx context.Context) {
	w.seenAt.Store(int64(w.clock.Now()))
	for w.clock.Sleep(ctx, interval) == nil {
		w.look()
	}
}

// CatchingUp reports whether the process has stood still and may not have learned yet what it missed.
func (w *Watch) CatchingUp() bool { return int64(w.look()) < w.until.Load() }

// look looks at the clock and returns its time in milliseconds.
func (w *Watch) look() clock.Millis {
	now := w.clock.Now()
	before := clock.Millis(w.seenAt.Load())
	if before == 0 || now <= before {
		return now
	}
	gap := now - before
	if gap > maxGap {
		w.until.Store(int64(now + catchUp)) // before seenAt, so that no other look misses it
	}
	if w.seenAt.CompareAndSwap(int64(before), int64(now)) && gap > maxGap {
		w.log.Info("process stood still", "forMs", int64(gap))
	}
	return now
}
