// Package pick chooses the endpoint for one attempt of a stage.
package pick

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/pool"
)

// Policy is a way to choose an endpoint. RoundRobin and Random are baselines for
// comparison.
type Policy string

// Policies.
const (
	PowerOfTwo Policy = "powerOfTwo"
	RoundRobin Policy = "roundRobin"
	Random     Policy = "random"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{PowerOfTwo, RoundRobin, Random} }

// Thresholds of utilisation, in thousandths of an endpoint's limit.
const (
	// hotThreshold is the utilisation above which the less loaded of two endpoints is
	// chosen; below it, the faster one is.
	hotThreshold = 600
	// Full is the utilisation at the limit. If the drawn endpoints exceed it, more
	// endpoints are compared.
	Full = 1000
)

// callUnit is one call in the unit of Endpoint.Load.
const callUnit = 1000

// remotePenalty is added to the utilisation of an endpoint in another zone, in
// thousandths. A hop between zones costs about a millisecond, so that work stays in
// the zone unless its endpoints are clearly more loaded.
const remotePenalty = 100

// latencyFactor is how many times slower an endpoint must be to lose against one that
// is not hot. Smaller differences are noise; following them would send the requests of
// all entries to the same endpoint.
const latencyFactor = 2

// maxTried limits the number of tried endpoints that are remembered for one request.
const maxTried = 8

// Avoid holds what an attempt avoids: the endpoints already tried, and a zone that
// showed a fault. It is a value and needs no allocation.
type Avoid struct {
	tried [maxTried]*pool.Endpoint
	count int
	// Zone is avoided unless no endpoint elsewhere is left.
	Zone string
}

// Add adds a tried endpoint.
func (a *Avoid) Add(endpoint *pool.Endpoint) {
	if a.count < maxTried {
		a.tried[a.count] = endpoint
		a.count++
	}
}

func (a *Avoid) has(endpoint *pool.Endpoint) bool {
	for i := range a.count {
		if a.tried[i] == endpoint {
			return true
		}
	}
	return false
}

func (a *Avoid) excludes(endpoint *pool.Endpoint) bool {
	return a.has(endpoint) || (a.Zone != "" && a.Zone == endpoint.AvailabilityZone)
}

// Picker chooses endpoints. It is safe for concurrent use.
type Picker struct {
	policy Policy
	next   atomic.Uint64
	draw   func(n int) int
}

// Option configures a Picker.
type Option func(*Picker)

// WithPolicy sets the policy.
func WithPolicy(policy Policy) Option { return func(p *Picker) { p.policy = policy } }

// WithRandom sets the source of random numbers; draw returns one in [0, n).
func WithRandom(draw func(n int) int) Option { return func(p *Picker) { p.draw = draw } }

// New returns a picker with the policy PowerOfTwo.
func New(opts ...Option) *Picker {
	p := &Picker{policy: PowerOfTwo, draw: rand.IntN}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Pick returns the endpoint for the next attempt, or nil if all have been tried. An
// endpoint in the avoided zone is chosen only if no other is left.
func (p *Picker) Pick(now clock.Millis, view *pool.View, avoid *Avoid) *pool.Endpoint {
	if view.Len() == 0 {
		return nil
	}
	if chosen := p.byPolicy(now, view, avoid); chosen != nil {
		return chosen
	}
	if avoid.Zone == "" {
		return nil
	}
	anyZone := *avoid
	anyZone.Zone = ""
	return p.byPolicy(now, view, &anyZone)
}

func (p *Picker) byPolicy(now clock.Millis, view *pool.View, avoid *Avoid) *pool.Endpoint {
	switch p.policy {
	case RoundRobin:
		return firstAllowed(view, int(p.next.Add(1)%uint64(view.Len())), avoid)
	case Random:
		return firstAllowed(view, p.draw(view.Len()), avoid)
	default:
		return p.twoChoices(now, view, avoid)
	}
}

// firstAllowed returns the first allowed endpoint at or after index start.
func firstAllowed(view *pool.View, start int, avoid *Avoid) *pool.Endpoint {
	for i := range view.Len() {
		if endpoint := view.At((start + i) % view.Len()); !avoid.excludes(endpoint) {
			return endpoint
		}
	}
	return nil
}

// twoChoices draws two endpoints in the own zone and two elsewhere. The better one in
// the zone is chosen if it is neither hot nor a straggler. Otherwise the less loaded
// of the near and the far one is chosen, with remotePenalty added to the far one. If
// the chosen one is full, more endpoints are compared.
func (p *Picker) twoChoices(now clock.Millis, view *pool.View, avoid *Avoid) *pool.Endpoint {
	near := p.drawTwo(now, view.Near, avoid)
	far := p.drawTwo(now, view.Far, avoid)
	if near != nil && !isHot(now, near) {
		if isStraggler(now, near, far) {
			return far
		}
		return near
	}
	chosen := betterZone(now, near, far)
	if chosen != nil && chosen.Utilisation(now) <= Full {
		return chosen
	}
	return leastLoaded(now, view, avoid, p.draw(view.Len()))
}

// remoteTripTime is the longest expected round trip to another zone, in microseconds.
const remoteTripTime = 5000

// isStraggler reports whether the near endpoint is so slow that a remote one that is
// not hot is faster despite the longer way. A zone with a single endpoint of a pool
// has no near alternative to a straggler.
func isStraggler(now clock.Millis, near, far *pool.Endpoint) bool {
	if far == nil || isHot(now, far) {
		return false
	}
	slow, fast := near.Latency(now), far.Latency(now)
	return fast > 0 && slow > latencyFactor*fast+remoteTripTime
}

// isHot reports whether an endpoint has little capacity left. An idle endpoint is
// never hot: with a small limit, such as that of a cold endpoint, its utilisation
// would be above the threshold before its first call.
func isHot(now clock.Millis, endpoint *pool.Endpoint) bool {
	return endpoint.Utilisation(now) > hotThreshold && endpoint.Load(now) >= callUnit
}

// betterZone returns the near endpoint unless the far one is less loaded by more than
// remotePenalty.
func betterZone(now clock.Millis, near, far *pool.Endpoint) *pool.Endpoint {
	if near == nil {
		return far
	}
	if far == nil || near.Utilisation(now) <= far.Utilisation(now)+remotePenalty {
		return near
	}
	return far
}

func (p *Picker) drawTwo(now clock.Millis, from []*pool.Endpoint, avoid *Avoid) *pool.Endpoint {
	n := len(from)
	if n == 0 {
		return nil
	}
	first := from[p.draw(n)]
	if n == 1 {
		return unlessExcluded(first, avoid)
	}
	// Draw from the remaining endpoints by replacing the first with the last.
	second := from[p.draw(n-1)]
	if second == first {
		second = from[n-1]
	}
	return better(now, unlessExcluded(first, avoid), unlessExcluded(second, avoid))
}

func unlessExcluded(endpoint *pool.Endpoint, avoid *Avoid) *pool.Endpoint {
	if avoid.excludes(endpoint) {
		return nil
	}
	return endpoint
}

// better compares two endpoints as Prequal does, load before latency: a hot endpoint
// loses to one that is not hot; two hot ones are compared by load; two that are not
// hot by latency if it differs clearly (one is a straggler), and by load otherwise.
func better(now clock.Millis, a, b *pool.Endpoint) *pool.Endpoint {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	loadA, loadB := a.Utilisation(now), b.Utilisation(now)
	if !isHot(now, a) && !isHot(now, b) {
		timeA, timeB := a.Latency(now), b.Latency(now)
		switch {
		case timeA == 0 || timeB == 0:
		case timeA > latencyFactor*timeB:
			return b
		case timeB > latencyFactor*timeA:
			return a
		}
	}
	if loadB < loadA {
		return b
	}
	return a
}

// maxScanned limits how many endpoints leastLoaded compares.
const maxScanned = 16

// leastLoaded compares more endpoints than the drawn ones, which is cheaper than a
// call that is refused because the endpoint is full. It starts at a random index, so
// that entries with the same loads don't all choose the same endpoint. It exceeds
// maxScanned only until it finds an allowed endpoint.
func leastLoaded(now clock.Millis, view *pool.View, avoid *Avoid, start int) *pool.Endpoint {
	var best *pool.Endpoint
	var least int64
	for i, n := 0, view.Len(); i < n && (i < maxScanned || best == nil); i++ {
		index := start + i
		if index >= n {
			index -= n
		}
		endpoint := view.At(index)
		load := endpoint.Utilisation(now)
		if index >= len(view.Near) {
			load += remotePenalty
		}
		if (best == nil || load < least) && !avoid.excludes(endpoint) {
			best, least = endpoint, load
		}
	}
	return best
}
