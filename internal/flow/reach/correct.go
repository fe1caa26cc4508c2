package reach

import (
	"math"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// targetShare is the share of a route's requests that should take no longer than
	// their corrected estimate. Fewer than a quarter of the admitted requests miss
	// their objective.
	targetShare = 0.75
	// correctionStep is how far one request moves the correction, in milliseconds. It
	// does not depend on how late the request was, so that a single very late request
	// has no larger effect than a slightly late one.
	correctionStep = 30.0
	// correctionHalfLife is the half-life of the correction while no request ends. A
	// route that admits no requests gets no new measurements, so without this decay
	// its estimates would stay high after its queues have become shorter.
	correctionHalfLife = 3 * clock.Second
)

// Correction tracks by how much the estimates for one route have to be raised.
// Estimates include neither the work that arrives after they were made nor the
// time for which stages wait for an engine near their inputs. Without the
// correction, all requests that are admitted during a burst are slightly late.
// It is safe for concurrent use.
type Correction struct {
	mu        sync.Mutex
	value     float64
	updatedAt clock.Millis
}

// Observe updates the correction with the estimated and the actual duration of a
// request.
func (c *Correction) Observe(estimated, took, now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	if float64(took-estimated) > c.value {
		c.value += correctionStep * targetShare
		return
	}
	c.value -= correctionStep * (1 - targetShare)
}

// Value returns the number of milliseconds to add to an estimate. It is negative
// if requests take less time than estimated.
func (c *Correction) Value(now clock.Millis) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	return c.value
}

// decay reduces the correction by the time since the last update. The caller must
// hold c.mu.
func (c *Correction) decay(now clock.Millis) {
	if c.updatedAt > 0 && now > c.updatedAt {
		c.value *= decayFactor(now-c.updatedAt, correctionHalfLife)
	}
	c.updatedAt = max(c.updatedAt, now)
}

// decayFactor returns the fraction of a value that remains after span if the value
// has the given half-life.
func decayFactor(span, halfLife clock.Millis) float64 {
	return math.Exp2(-float64(span) / float64(halfLife))
}
