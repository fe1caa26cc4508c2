// Package clock is the only source of time in jujubescale. Instants and spans
// are whole milliseconds of a monotonic clock, so that a step of the wall
// clock does not shift a deadline or a lease.
package clock

import (
	"context"
	"time"
)

// Millis is an instant on a Clock, or a span between two instants, in
// milliseconds. Instants of different processes can't be compared, so messages
// between processes carry spans.
type Millis int64

// Units of time in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a span for use with the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a span of the standard library, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock returns the current instant and starts timers. Tests replace its
// function fields.
type Clock struct {
	// NowFunc returns the current instant.
	NowFunc func() Millis
	// AfterFunc returns a channel that closes once the span has passed, and a
	// function that releases the timer early.
	AfterFunc func(Millis) (<-chan struct{}, func())
}

// Option configures a Clock in New.
type Option func(*Clock)

// WithNow replaces the source of the current instant.
func WithNow(now func() Millis) Option { return func(c *Clock) { c.NowFunc = now } }

// WithAfter replaces the timer.
func WithAfter(after func(Millis) (<-chan struct{}, func())) Option {
	return func(c *Clock) { c.AfterFunc = after }
}

// New returns a clock that reads the monotonic clock of the machine. Its
// instants count from the call of New and begin at 1.
func New(opts ...Option) *Clock {
	start := time.Now()
	c := &Clock{
		NowFunc:   func() Millis { return FromDuration(time.Since(start)) + 1 },
		AfterFunc: realAfter,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func realAfter(span Millis) (<-chan struct{}, func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(max(span, 0).Duration(), func() { close(done) })
	return done, func() { timer.Stop() }
}

// Now returns the current instant.
func (c *Clock) Now() Millis { return c.NowFunc() }

// Since returns the span from an instant to the current one.
func (c *Clock) Since(from Millis) Millis { return c.Now() - from }

// After returns a channel that closes once the span has passed, and a
// function that releases the timer early.
func (c *Clock) After(span Millis) (<-chan struct{}, func()) { return c.AfterFunc(span) }

// Sleep waits until the span has passed. If the context ends first, Sleep
// returns the error of the context.
func (c *Clock) Sleep(ctx context.Context, span Millis) error {
	done, stop := c.After(span)
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
