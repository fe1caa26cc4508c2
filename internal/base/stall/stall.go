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
	// minCatchUp is how long a process catches up at least, and maxCatchUp at most if it hears nothing from
	// its peers: they may have to open their sessions again.
	minCatchUp = 250 * clock.Millis(1)
	maxCatchUp = 600 * clock.Millis(1)
	// bufferTime is how long messages may still be read that arrived while the process stood still.
	bufferTime = 100 * clock.Millis(1)
)

// Watch looks at the clock of a process. It is safe for concurrent use.
type Watch struct {
	clock *clock.Clock
	log   *log.Logger
	// aloneFunc reports whether there are no peers.
	aloneFunc func() bool
	// seenAt is when the clock was last looked at, 0 before Run. goneOnAt is when the process last went on after
	// it had stood still, and toldAt when a peer last told it what it knows.
	seenAt, goneOnAt, toldAt atomic.Int64
}

// Option configures a Watch.
type Option func(*Watch)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(w *Watch) { w.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(w *Watch) { w.log = l } }

// WithAlone sets the function that reports whether there are no peers.
func WithAlone(alone func() bool) Option { return func(w *Watch) { w.aloneFunc = alone } }

// New returns a Watch that looks at the clock once Run is called.
func New(opts ...Option) *Watch {
	w := &Watch{clock: clock.New(), log: log.New(io.Discard), aloneFunc: func() bool { return false }}
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

// RecordTold records that a peer has told all that it knows.
func (w *Watch) RecordTold() { w.toldAt.Store(int64(w.clock.Now())) }

// CatchingUp reports whether the process has stood still and may not have learned yet what it missed.
func (w *Watch) CatchingUp() bool {
	now := w.look()
	goneOnAt := clock.Millis(w.goneOnAt.Load())
	if goneOnAt == 0 || now-goneOnAt >= maxCatchUp {
		return false
	}
	return now-goneOnAt < minCatchUp || !w.isTold(goneOnAt)
}

// LastStall returns when the process went on after it last stood still, 0 if it never has, and whether a peer
// has told it since what it missed.
func (w *Watch) LastStall() (goneOnAt clock.Millis, told bool) {
	w.look()
	goneOnAt = clock.Millis(w.goneOnAt.Load())
	return goneOnAt, goneOnAt == 0 || w.isTold(goneOnAt)
}

// isTold reports whether a peer has told what it knows since an instant, or there are no peers.
func (w *Watch) isTold(goneOnAt clock.Millis) bool {
	return clock.Millis(w.toldAt.Load())-goneOnAt >= bufferTime || w.aloneFunc()
}

// RunsFor returns how long the process has run since it last stood still, in milliseconds.
func (w *Watch) RunsFor() clock.Millis {
	now := w.look()
	return now - clock.Millis(w.goneOnAt.Load())
}

// look looks at the clock and returns its time in milliseconds.
func (w *Watch) look() clock.Millis {
	now := w.clock.Now()
	before := clock.Millis(w.seenAt.Load())
	if before == 0 || now <= before {
		return now
	}
	gap := now - before
	if gap > maxGap {
		w.goneOnAt.Store(int64(now)) // before seenAt, so that no other look misses it
	}
	if w.seenAt.CompareAndSwap(int64(before), int64(now)) && gap > maxGap {
		w.log.Info("process stood still", "forMs", int64(gap))
	}
	return now
}
