package reach

import (
	"math"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// sureShare is the part of a route's requests that take no longer than their
	// estimate and its correction together. A request that begins misses its objective
	// less often than the others.
	sureShare = 0.75
	// correctionStep is how far one request moves the correction, in milliseconds: the work
	// of one that came late teaches as much whether it was a little late or very.
	correctionStep = 30.0
	// correctionHalf is the time in which half of the correction is forgotten while no
	// request ends: a route that begins none would never learn that its queues
	// have become shorter.
	correctionHalf = 3 * clock.Second
)

// Correction learns by how much estimates for one route are to be raised. Estimates
// know neither the work that arrives after they were made nor the time for which
// stages wait for an engine near their inputs. Uncorrected, the requests that are
// admitted during a burst come a little late, all of them. It is safe for use by
// several goroutines.
type Correction struct {
	mu    sync.Mutex
	value float64
	at    clock.Millis
}

// Observe takes how long a request was expected to take, and how long it took.
func (c *Correction) Observe(estimated, took, now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fade(now)
	if float64(took-estimated) > c.value {
		c.value += correctionStep * sureShare
		return
	}
	c.value -= correctionStep * (1 - sureShare)
}

// Value returns by how many milliseconds an estimate is to be raised; below zero
// where requests take less time than estimated.
func (c *Correction) Value(now clock.Millis) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fade(now)
	return c.value
}

// fade forgets with time; the caller holds the lock.
func (c *Correction) fade(now clock.Millis) {
	if c.at > 0 && now > c.at {
		c.value *= keptAfter(now-c.at, correctionHalf)
	}
	c.at = max(c.at, now)
}

// keptAfter is the part that is left after a span of what halves in another.
func keptAfter(span, half clock.Millis) float64 { return math.Exp2(-float64(span) / float64(half)) }
