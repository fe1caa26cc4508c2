// Package budget divides the time until a request's deadline among its stages,
// based on their recent durations. It finds requests that can't meet their
// deadline before engine time is spent on them.
package budget

import (
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// window is how long observations are collected before they replace those of
	// the previous window. Times expire two windows after they were computed:
	// refused requests yield no observations, so that otherwise all requests would
	// be refused for good after one slow period.
	window = 2 * clock.Second
	// minObservations is the number of observations that are needed to compute
	// times.
	minObservations = 16
	// readInterval is the number of observations between two computations of the
	// times.
	readInterval = 16

	maxTimeMs         = int64(10 * clock.Minute)
	significantDigits = 2
	typicalPercentile = 50
	slowPercentile    = 95
)

// Times holds recent durations of a stage. Both are zero if they are unknown.
type Times struct {
	// Typical is the median.
	Typical clock.Millis
	// Slow is the 95th percentile.
	Slow clock.Millis
}

// Stage measures how long one stage of one pipeline takes. It is safe for
// concurrent use, and Times takes no lock.
type Stage struct {
	times atomic.Pointer[timedTimes]

	mu          sync.Mutex
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	windowStart clock.Millis
	sinceRead   int
}

// timedTimes holds times and the instant at which they expire.
type timedTimes struct {
	Times
	validUntil clock.Millis
}

// NewStage returns a stage without observations.
func NewStage() *Stage {
	s := &Stage{current: newHistogram(), previous: newHistogram()}
	s.times.Store(&timedTimes{})
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTimeMs, significantDigits)
}

// Observe records how long the stage took until its answer was complete, retries
// included.
func (s *Stage) Observe(now, took clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	// Values outside the range are recorded as its limits.
	_ = s.current.RecordValue(min(max(int64(took), 1), maxTimeMs))
	s.sinceRead++
	if s.sinceRead >= readInterval {
		s.updateTimes(now)
	}
}

// rotate starts a new window when the current one is over.
func (s *Stage) rotate(now clock.Millis) {
	if now-s.windowStart < window {
		return
	}
	if now-s.windowStart >= 2*window {
		s.current.Reset()
	}
	s.previous, s.current = s.current, s.previous
	s.current.Reset()
	s.windowStart = now
}

// updateTimes computes the times from the window with more observations, if there
// are enough.
func (s *Stage) updateTimes(now clock.Millis) {
	s.sinceRead = 0
	source := s.previous
	if source.TotalCount() < s.current.TotalCount() {
		source = s.current
	}
	if source.TotalCount() < minObservations {
		return
	}
	s.times.Store(&timedTimes{
		Times: Times{
			Typical: clock.Millis(source.ValueAtQuantile(typicalPercentile)),
			Slow:    clock.Millis(source.ValueAtQuantile(slowPercentile)),
		},
		validUntil: now + 2*window,
	})
}

// Times returns the recent durations of the stage, or zeros if there are no recent
// observations.
func (s *Stage) Times(now clock.Millis) Times {
	last := s.times.Load()
	if now >= last.validUntil {
		return Times{}
	}
	return last.Times
}

// Plan divides the time left among a stage that is about to start and the later
// ones.
type Plan struct {
	// TooLate is true if the remaining stages typically take longer than the time
	// left, so that engine time spent on them would be wasted.
	TooLate bool
	// Need is the typical time of this stage and all later ones.
	Need clock.Millis
	// Limit is how long this stage may take so that the later ones typically still
	// meet the deadline. After that time the agent drops the call from its queue.
	Limit clock.Millis
	// AttemptTimeout is the time after which another endpoint is tried, if the
	// work may be repeated. It is this stage's share of the time left, in
	// proportion to the slow times of the remaining stages, but at most Limit less
	// the typical time of another attempt. It equals Limit if there is no time for
	// another attempt.
	AttemptTimeout clock.Millis
}

// NewPlan returns the plan for the first of the remaining stages. left is the time
// until the deadline of the request.
func NewPlan(now, left clock.Millis, remaining []*Stage) Plan {
	if len(remaining) == 0 {
		return Plan{Limit: left, AttemptTimeout: left}
	}
	first := remaining[0].Times(now)
	var later, slow clock.Millis
	for _, stage := range remaining[1:] {
		times := stage.Times(now)
		later += times.Typical
		slow += times.Slow
	}
	need := first.Typical + later
	plan := Plan{Need: need, TooLate: left <= 0 || need > left, Limit: left - later}
	plan.AttemptTimeout = plan.Limit
	if all := first.Slow + slow; first.Slow > 0 && all > 0 {
		timeout := min(max(first.Slow, left*first.Slow/all), plan.Limit-first.Typical)
		if timeout >= first.Slow {
			plan.AttemptTimeout = timeout
		}
	}
	return plan
}
