package subset

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// demandShare is the part of a limit that is divided by the requests that the processes get. The rest is
	// divided equally, for processes that get their first ones.
	demandShare = 0.75
	// reportLag is how long ago a process must have reported its requests before it counts them itself, so that
	// all processes divide by about the same numbers: with newer ones of its own, each would take most of a
	// limit at the beginning of a burst.
	reportLag = 400 * clock.Millis(1)
	// reportGap is the shortest time between two reports that are kept. It bounds their number.
	reportGap = 20 * clock.Millis(1)
	// silentSpan is how long the highest rate of the peers counts at least: reports of peers that fall silent are
	// left out before these peers count as gone.
	silentSpan = 3 * clock.Second
)

// Share divides the limits of the whole fleet among processes. It is safe for concurrent use.
type Share struct {
	mu      sync.Mutex
	reports []report
	// peers and before are the highest rates of the peers in this silentSpan, which began at since, and in the one before.
	peers, before float64
	since         clock.Millis
}

// report is the rate of requests that a process has reported at an instant.
type report struct {
	at   clock.Millis
	rate float64
}

// Report records the rate of requests, in requests per second, that this process reports to its peers.
func (s *Share) Report(rate float64, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := len(s.reports) - 1; last >= 0 && now-s.reports[last].at < reportGap {
		return
	}
	for len(s.reports) > 1 && now-s.reports[1].at >= reportLag {
		s.reports = s.reports[1:]
	}
	s.reports = append(s.reports, report{at: now, rate: rate})
}

// Of returns the share of a limit of one endpoint that this process may use, in requests per second. It knows
// the rate of requests of its peers, their number with itself, and the number of endpoints of the pool. All
// processes use a pool up to MaxWholePool endpoints; of a larger one, each uses some, and the share doesn't
// depend on rates. The requests count by how many there are in proportion to the limits of the whole pool:
// while there are few, each process keeps about an equal share for those that have just begun to come.
func (s *Share) Of(limit, peersRate float64, processes, endpoints int, now clock.Millis) float64 {
	equal := 1 / float64(Users(processes, endpoints))
	if endpoints > MaxWholePool || processes < 2 {
		return equal
	}
	all := limit * float64(endpoints)
	own, peersRate := s.reported(now), s.highest(peersRate, now)
	if own+peersRate+all <= 0 {
		return equal
	}
	return (1-demandShare)*equal + demandShare*(own+all*equal)/(own+peersRate+all)
}

// highest records the rate of the peers and returns their highest one of late.
func (s *Share) highest(peersRate float64, now clock.Millis) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.since >= silentSpan {
		if s.before = s.peers; now-s.since >= 2*silentSpan {
			s.before = 0
		}
		s.peers, s.since = 0, now
	}
	s.peers = max(s.peers, peersRate)
	return max(s.peers, s.before)
}

// reported returns the latest rate that the peers have had time to learn.
func (s *Share) reported(now clock.Millis) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) == 0 || now-s.reports[0].at < reportLag {
		return 0
	}
	return s.reports[0].rate
}
