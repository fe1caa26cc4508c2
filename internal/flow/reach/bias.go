package reach

import (
	"math"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// sureShare is the part of a route's requests that take no longer than their
	// estimate and its doubt together. A request that begins misses its objective
	// less often than the others.
	sureShare = 0.75
	// doubtStep is how far one request moves the doubt, in milliseconds: the work
	// of one that came late teaches as much whether it was a little late or very.
	doubtStep = 30.0
	// doubtHalf is the time in which half of the doubt is forgotten while no
	// request ends: a route that begins none would never learn that its queues
	// have become shorter.
	doubtHalf = 3 * clock.Second
)

// Bias learns by how much estimates for one route are to be raised. Estimates
// know neither the work that arrives after they were made nor the time for which
// stages wait for an engine near their inputs. Uncorrected, the requests that are
// admitted during a burst come a little late, all of them. It is safe for use by
// several goroutines.
type Bias struct {
	mu    sync.Mutex
	doubt float64
	at    clock.Millis
}

// Learn takes how long a request was expected to take, and how long it took.
func (b *Bias) Learn(estimated, took, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fade(now)
	if float64(took-estimated) > b.doubt {
		b.doubt += doubtStep * sureShare
		return
	}
	b.doubt -= doubtStep * (1 - sureShare)
}

// Doubt returns by how many milliseconds an estimate is to be raised; below zero
// where requests take less time than estimated.
func (b *Bias) Doubt(now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fade(now)
	return b.doubt
}

// fade forgets with time; the caller holds the lock.
func (b *Bias) fade(now clock.Millis) {
	if b.at > 0 && now > b.at {
		b.doubt *= keptAfter(now-b.at, doubtHalf)
	}
	b.at = max(b.at, now)
}

// keptAfter is the part that is left after a span of what halves in another.
func keptAfter(span, half clock.Millis) float64 { return math.Exp2(-float64(span) / float64(half)) }
