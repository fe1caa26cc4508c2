package reach

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// admissionHalfLife is the half-life of the counts.
	admissionHalfLife = 5 * clock.Second
	// reservePerPriority is the share of its objective that a request leaves free per
	// priority level, so that more urgent requests find shorter queues.
	reservePerPriority = 0.1
	// minRelativeShare is a route's admission share, relative to that of all requests,
	// below which the route reserves nothing for its priority. Otherwise urgent requests
	// would take all capacity.
	minRelativeShare = 0.75
	// priorAdmissions is the number of admitted requests added to the counts, so that
	// the first few requests have little effect.
	priorAdmissions = 4
)

// Admissions tracks the share of recent requests that were admitted to meet their
// objective. It is safe for concurrent use.
type Admissions struct {
	mu        sync.Mutex
	admitted  float64
	total     float64
	updatedAt clock.Millis
}

// Count counts one request.
func (a *Admissions) Count(admitted bool, now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.total++
	if admitted {
		a.admitted++
	}
}

// Share returns the share of recent requests that were admitted, close to 1 while
// few requests are counted.
func (a *Admissions) Share(now clock.Millis) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	return (a.admitted + priorAdmissions) / (a.total + priorAdmissions)
}

// decay reduces the counts by the time since the last update. The caller must hold
// a.mu.
func (a *Admissions) decay(now clock.Millis) {
	if now > a.updatedAt {
		factor := decayFactor(now-a.updatedAt, admissionHalfLife)
		a.admitted *= factor
		a.total *= factor
		a.updatedAt = now
	}
}

// ReservedShare returns the share of its objective that a request leaves free for more
// urgent requests, from its priority (0 is the most urgent) and the recent admission
// shares of its route and of all requests. It is meant for bursts in which urgent and
// other requests together exceed the capacity. Without a reserve, urgent requests
// would find the same queues as all others. With a fixed reserve, the others would get
// almost no capacity during a burst.
func ReservedShare(priority int, route, all float64) float64 {
	scale := (route/all - minRelativeShare) / (1 - minRelativeShare)
	return reservePerPriority * float64(max(priority, 0)) * min(max(scale, 0), 1)
}
