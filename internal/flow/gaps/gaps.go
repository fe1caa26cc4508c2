// Package gaps measures the times between the events of a stream: the pace of the endpoint
// and the longest gap that the caller saw.
package gaps

import (
	"cmp"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// paceGaps is the number of gaps after which the pace is known, minPaceGaps the number
	// that a shorter stream needs.
	paceGaps    = 8
	minPaceGaps = 3
	// bunchMs is the gap up to which two events were read together.
	bunchMs = 1
	// maxBlocked is how long writing an event to the caller may take. A slower caller delays
	// the reading of the next events, so that their times do not show the endpoint's pace.
	maxBlocked = 20 * clock.Millis(1)
)

// group holds events that were read together, and the time since the previous group.
type group struct {
	span   clock.Millis
	events int
}

// Stream measures the events of one endpoint's stream. The zero value is ready to use.
type Stream struct {
	events  int
	firstAt clock.Millis
	lastAt  clock.Millis
	groups  [paceGaps]group
	used    int // groups in use
	counted int // gaps in them
	// skip is the number of gaps that are not counted because writing an event to the caller
	// took long: the one that contains the writing, and the next one, whose first event waited
	// for it. Events that were read together do not count for it.
	skip int
	// complete is set if the last event completed the sample.
	complete bool
}

// Events returns the number of events.
func (s *Stream) Events() int { return s.events }

// Add counts an event.
func (s *Stream) Add(now clock.Millis) {
	s.events++
	s.complete = false
	if s.events > 1 {
		s.addGap(now - s.lastAt)
	} else {
		s.firstAt = now
	}
	s.lastAt = now
}

// addGap adds a gap to the sample. A host without processor time reads several events at once:
// one long gap and then none. The events that are read together share the time since the
// previous ones.
func (s *Stream) addGap(gap clock.Millis) {
	if s.counted == paceGaps {
		return
	}
	bunched := gap <= bunchMs
	switch {
	case s.skip > 0:
		if !bunched {
			s.skip--
		}
		return
	case bunched && s.used == 0:
		return // the first event was read late: how long it waited is unknown
	case bunched:
		s.groups[s.used-1].span += gap
		s.groups[s.used-1].events++
	default:
		s.groups[s.used] = group{span: gap, events: 1}
		s.used++
	}
	s.counted++
	s.complete = s.counted == paceGaps
}

// Written records how long it took to write the last event to the caller.
func (s *Stream) Written(took clock.Millis) {
	if took > maxBlocked {
		s.skip = 2
	}
}

// Mean returns the mean time between the events so far in milliseconds.
func (s *Stream) Mean() float64 {
	if s.events < 2 {
		return 0
	}
	return float64(s.lastAt-s.firstAt) / float64(s.events-1)
}

// Complete reports whether the sample of the pace is complete.
func (s *Stream) Complete() bool { return s.counted == paceGaps }

// Sampled reports whether the last event completed the sample of the pace.
func (s *Stream) Sampled() bool { return s.complete }

// Pace returns the median of the first gaps in milliseconds, and whether there are enough.
func (s *Stream) Pace() (ms float64, known bool) {
	if s.counted < minPaceGaps {
		return 0, false
	}
	each := make([]float64, 0, paceGaps)
	for _, g := range s.groups[:s.used] {
		for range g.events {
			each = append(each, float64(g.span)/float64(g.events))
		}
	}
	slices.SortFunc(each, cmp.Compare[float64])
	n := len(each)
	return (each[(n-1)/2] + each[n/2]) / 2, true
}

// Longest measures the longest time between the events that a caller gets, which may be those
// of several endpoints. The zero value is ready to use.
type Longest struct {
	// LastAt is when the last event arrived.
	LastAt  clock.Millis
	Longest clock.Millis
	started bool
}

// Add counts an event and returns the time since the previous one, 0 for the first.
func (l *Longest) Add(now clock.Millis) (gap clock.Millis) {
	if l.started {
		gap = now - l.LastAt
	}
	l.started, l.LastAt, l.Longest = true, now, max(l.Longest, gap)
	return gap
}
