// Package learn adapts the concurrency limit of an endpoint to its service times:
// the limit grows while they stay near the service time of the unloaded endpoint,
// and shrinks in proportion when they rise. docs/design/admission.md compares the
// alternatives and has the measurement.
package learn

import "math"

const (
	// tolerance is the multiple of the unloaded service time above which the limit
	// shrinks. It is more than 1 because a batching engine gets slower with each
	// concurrent request while its total throughput still grows.
	tolerance = 2.0
	// maxShrink is the smallest factor that one window applies to the limit.
	maxShrink = 0.5
	// rejectShrink is the factor on the limit when the endpoint itself refuses work.
	rejectShrink = 0.8
	// smoothing is the weight of one window in the limit.
	smoothing = 0.3
	// baseDrift bounds the growth of the unloaded time to 1% per window, so that it
	// follows work that becomes heavier. It grows only in windows with low load:
	// under load it would follow the overload itself, and the limit would grow
	// without bound.
	baseDrift = 1.01
	// lowLoadMin and lowLoadDivisor: a window has low load if at most lowLoadMin
	// items, or 1/8 of the upper bound if that is more, were in flight.
	lowLoadMin     = 4
	lowLoadDivisor = 8
	// window is the number of samples from which one adjustment is computed.
	window = 16
)

// Limit is the adaptive limit of one endpoint. It is not safe for concurrent use.
type Limit struct {
	limit float64
	min   float64
	max   float64
	base  float64
	sum   float64
	count int
	peak  int
}

// Option configures a Limit.
type Option func(*Limit)

// WithBounds sets the range of the limit. The limit starts at the upper bound,
// because the cold-start ramp protects an endpoint that has just started.
func WithBounds(lower, upper int) Option {
	return func(l *Limit) { l.min, l.max = float64(max(lower, 1)), float64(max(upper, 1)) }
}

// DefaultMax is the default upper bound.
const DefaultMax = 256

// New returns a limit at its upper bound.
func New(opts ...Option) *Limit {
	l := &Limit{min: 1, max: DefaultMax}
	for _, opt := range opts {
		opt(l)
	}
	l.limit = l.max
	return l
}

// Limit returns the current concurrency limit.
func (l *Limit) Limit() int { return int(l.limit) }

// SetMax changes the upper bound. A value below 1 means DefaultMax. A limit at the
// previous upper bound rises with it.
func (l *Limit) SetMax(upper int) {
	if upper < 1 {
		upper = DefaultMax
	}
	raised := float64(upper) > l.max && l.limit >= l.max
	l.max = float64(upper)
	if raised || l.limit > l.max {
		l.limit = l.max
	}
}

// Sample records completed work: its service time per unit of cost, and the number
// of items in flight at its end.
func (l *Limit) Sample(perCost float64, inFlight int) {
	l.sum += perCost
	l.count++
	l.peak = max(l.peak, inFlight)
	if l.count >= window {
		l.adjust(l.sum / float64(l.count))
		l.sum, l.count, l.peak = 0, 0, 0
	}
}

// Rejected lowers the limit because the endpoint refused work as overloaded.
func (l *Limit) Rejected() {
	l.limit = max(l.limit*rejectShrink, l.min)
}

// adjust updates the limit from the mean service time of one window.
func (l *Limit) adjust(mean float64) {
	lowLoad := float64(l.peak) <= max(lowLoadMin, l.max/lowLoadDivisor)
	switch {
	case l.base == 0 || mean < l.base:
		l.base = mean
	case lowLoad:
		l.base = min(l.base*baseDrift, mean)
	default:
	}
	gradient := math.Max(maxShrink, math.Min(1, tolerance*l.base/max(mean, math.SmallestNonzeroFloat64)))
	target := l.limit*gradient + math.Sqrt(l.limit)
	if target > l.limit && float64(l.peak) < l.limit/2 {
		return // the load was too low to show that a higher limit is safe
	}
	l.limit += smoothing * (target - l.limit)
	l.limit = math.Max(l.min, math.Min(l.max, l.limit))
}
