// Package pick chooses the endpoint for one attempt of one stage.
package pick

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/pool"
)

// Policy is a way to choose. The last two are the kept baselines.
type Policy string

// Policies of choice.
const (
	PowerOfTwo Policy = "powerOfTwo"
	RoundRobin Policy = "roundRobin"
	Random     Policy = "random"
)

// Policies returns every policy.
func Policies() []Policy { return []Policy{PowerOfTwo, RoundRobin, Random} }

// Limits of utilisation in thousandths of what an endpoint bears.
const (
	// hot: from here on the emptier endpoint wins, below it the faster one.
	hot = 600
	// Full is what an endpoint bears; beyond it the choice looks further than the ones drawn.
	Full = 1000
)

// oneCall is one call in the unit of loads.
const oneCall = 1000

// farPenalty is added to the utilisation of an endpoint in another zone, in
// thousandths: a hop between zones costs a millisecond or so, and work stays
// near unless the near ones are clearly fuller.
const farPenalty = 100

// latencyFactor is how many times slower an endpoint has to be to lose to one
// that is not hot. Small differences are noise, and always following them
// would send all entries to the same endpoint.
const latencyFactor = 2

// maxAvoid bounds the endpoints that one request has tried.
const maxAvoid = 8

// Avoid is what an attempt stays away from: endpoints that were tried, and a
// zone that showed a fault. It is a value and needs no allocation.
type Avoid struct {
	tried [maxAvoid]*pool.Endpoint
	count int
	// Zone is used only if nothing is left elsewhere.
	Zone string
}

// Add remembers a tried endpoint.
func (a *Avoid) Add(endpoint *pool.Endpoint) {
	if a.count < maxAvoid {
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

func (a *Avoid) bars(endpoint *pool.Endpoint) bool {
	return a.has(endpoint) || (a.Zone != "" && a.Zone == endpoint.AvailabilityZone)
}

// Picker chooses endpoints. It is safe for use by several goroutines.
type Picker struct {
	policy Policy
	next   atomic.Uint64
	draw   func(n int) int
}

// Option changes a Picker while it is built.
type Option func(*Picker)

// WithPolicy replaces the policy.
func WithPolicy(policy Policy) Option { return func(p *Picker) { p.policy = policy } }

// WithRandom replaces the source of random numbers below n.
func WithRandom(draw func(n int) int) Option { return func(p *Picker) { p.draw = draw } }

// New returns a picker that uses the power of two choices.
func New(opts ...Option) *Picker {
	p := &Picker{policy: PowerOfTwo, draw: rand.IntN}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Pick returns the endpoint for the next attempt, or nil if none is left that
// was not tried. A zone to avoid is used only when nothing else is left.
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
		return firstFrom(view, int(p.next.Add(1)%uint64(view.Len())), avoid)
	case Random:
		return firstFrom(view, p.draw(view.Len()), avoid)
	default:
		return p.twoChoices(now, view, avoid)
	}
}

// firstFrom returns the first endpoint from a place on that may be used.
func firstFrom(view *pool.View, start int, avoid *Avoid) *pool.Endpoint {
	for i := range view.Len() {
		if endpoint := view.At((start + i) % view.Len()); !avoid.bars(endpoint) {
			return endpoint
		}
	}
	return nil
}

// twoChoices draws two in the own zone and two elsewhere. A near one that is
// neither hot nor a straggler wins; else the emptier one by the cost of the
// way; and if all four are full, the emptiest of a longer look.
func (p *Picker) twoChoices(now clock.Millis, view *pool.View, avoid *Avoid) *pool.Endpoint {
	near := p.drawTwo(now, view.Near, avoid)
	far := p.drawTwo(now, view.Far, avoid)
	if near != nil && !isHot(now, near) {
		if isStraggler(now, near, far) {
			return far
		}
		return near
	}
	chosen := nearer(now, near, far)
	if chosen != nil && chosen.Utilisation(now) <= Full {
		return chosen
	}
	return emptiest(now, view, avoid, p.draw(view.Len()))
}

// farTime is the time that a way to another zone and back may cost at most, in
// microseconds.
const farTime = 5000

// isStraggler reports whether the near endpoint is so slow that the way to a
// far one with room pays. A zone with one endpoint of a pool has no near
// alternative to it.
func isStraggler(now clock.Millis, near, far *pool.Endpoint) bool {
	if far == nil || isHot(now, far) {
		return false
	}
	slow, fast := near.Latency(now), far.Latency(now)
	return fast > 0 && slow > latencyFactor*fast+farTime
}

// isHot reports whether an endpoint has little room left. An idle one is not
// hot, however small its limit: a cold endpoint that bears one call would
// otherwise look full before it got any.
func isHot(now clock.Millis, endpoint *pool.Endpoint) bool {
	return endpoint.Utilisation(now) > hot && endpoint.Load(now) >= oneCall
}

// nearer takes the far endpoint only if it is emptier by the cost of the way.
func nearer(now clock.Millis, near, far *pool.Endpoint) *pool.Endpoint {
	if near == nil {
		return far
	}
	if far == nil || near.Utilisation(now) <= far.Utilisation(now)+farPenalty {
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
		return unlessBarred(first, avoid)
	}
	// The second is another one: draw among the rest by a shift.
	second := from[p.draw(n-1)]
	if second == first {
		second = from[n-1]
	}
	return better(now, unlessBarred(first, avoid), unlessBarred(second, avoid))
}

func unlessBarred(endpoint *pool.Endpoint, avoid *Avoid) *pool.Endpoint {
	if avoid.bars(endpoint) {
		return nil
	}
	return endpoint
}

// better compares as Prequal does, load before latency: an endpoint that is
// hot loses to one that is not; two hot ones compare by load; two that are not
// compare by latency if it clearly differs (a straggler), else by load.
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

// scanned bounds the endpoints that emptiest compares.
const scanned = 16

// emptiest compares more endpoints, since when the drawn ones are full a
// longer look is cheaper than a refused hop. It starts at a drawn place, so
// that entries which see the same loads don't all take the same one, and goes
// on past its bound only while it found none that was not tried.
func emptiest(now clock.Millis, view *pool.View, avoid *Avoid, start int) *pool.Endpoint {
	var best *pool.Endpoint
	var least int64
	for i, n := 0, view.Len(); i < n && (i < scanned || best == nil); i++ {
		place := start + i
		if place >= n {
			place -= n
		}
		endpoint := view.At(place)
		load := endpoint.Utilisation(now)
		if place >= len(view.Near) {
			load += farPenalty
		}
		if (best == nil || load < least) && !avoid.bars(endpoint) {
			best, least = endpoint, load
		}
	}
	return best
}
