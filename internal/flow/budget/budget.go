// Package budget divides the one deadline of a request among its stages, from
// what the stages usually take, and refuses work early that won't make it.
package budget

import (
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// window is how long observations are gathered before they replace the
	// ones of the window before. Two windows without any, and the stage counts
	// as unknown: otherwise one slow spell would refuse all requests for good,
	// since refused requests bring no new observations.
	window = 2 * clock.Second
	// enough is the number of observations below which a stage is unknown.
	enough = 16
	// refresh is how many observations pass between two readings of the quantiles.
	refresh = 16

	longest          = int64(10 * clock.Minute)
	significantDigit = 2
	typicalQuantile  = 50
	slowQuantile     = 95
)

// Times is what a stage usually takes, in milliseconds; zero when unknown.
type Times struct {
	// Typical is the median.
	Typical clock.Millis
	// Slow is the 95th percentile.
	Slow clock.Millis
}

// Stage observes how long one stage of one pipeline takes. Reading is by an
// atomic load on the path of a request.
type Stage struct {
	times atomic.Pointer[reading]

	mu      sync.Mutex
	current *hdrhistogram.Histogram
	before  *hdrhistogram.Histogram
	began   clock.Millis
	unread  int
}

type reading struct {
	Times
	until clock.Millis
}

// NewStage returns a stage that nothing is known of.
func NewStage() *Stage {
	s := &Stage{current: newHistogram(), before: newHistogram()}
	s.times.Store(&reading{})
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest, significantDigit)
}

// Observe takes in how long a whole answer of the stage took, with its retries.
func (s *Stage) Observe(now, took clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	// Values above the range are recorded as the longest.
	_ = s.current.RecordValue(min(max(int64(took), 1), longest))
	s.unread++
	if s.unread >= refresh {
		s.read(now)
	}
}

// turn starts a new window when the current one is over.
func (s *Stage) turn(now clock.Millis) {
	if now-s.began < window {
		return
	}
	if now-s.began >= 2*window {
		s.current.Reset()
	}
	s.before, s.current = s.current, s.before
	s.current.Reset()
	s.began = now
}

func (s *Stage) read(now clock.Millis) {
	s.unread = 0
	source := s.before
	if source.TotalCount() < s.current.TotalCount() {
		source = s.current
	}
	if source.TotalCount() < enough {
		return
	}
	s.times.Store(&reading{
		Times: Times{
			Typical: clock.Millis(source.ValueAtQuantile(typicalQuantile)),
			Slow:    clock.Millis(source.ValueAtQuantile(slowQuantile)),
		},
		until: now + 2*window,
	})
}

// Times returns what the stage usually takes, or zeros when nothing recent is
// known.
func (s *Stage) Times(now clock.Millis) Times {
	last := s.times.Load()
	if now >= last.until {
		return Times{}
	}
	return last.Times
}

// Plan is the decision on one stage that is about to begin.
type Plan struct {
	// TooLate tells that the remaining stages typically take longer than
	// what is left: engine time spent on it would be wasted.
	TooLate bool
	// Need is the typical time of this stage and all later ones.
	Need clock.Millis
	// Limit is the time this stage may take so that the later ones can still
	// typically make it. The agent drops the call from its queue after that.
	Limit clock.Millis
	// AttemptTimeout is this stage's share of what is left, by the slow times of the
	// remaining stages, less the typical time of another attempt: when it is
	// over and the work may be repeated, another endpoint is worth a try. It
	// equals Limit when there is no time for another.
	AttemptTimeout clock.Millis
}

// NewPlan plans the first of the remaining stages with the time left to all.
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
		patience := min(max(first.Slow, left*first.Slow/all), plan.Limit-first.Typical)
		if patience >= first.Slow {
			plan.AttemptTimeout = patience
		}
	}
	return plan
}
