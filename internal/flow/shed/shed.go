// Package shed refuses requests before their first stage if later stages have recently
// refused similar requests because of load. Otherwise the work of the early stages would
// be wasted. The admitted share is tracked by pipeline and organisation, so that it
// follows the fairness of the agents' queues, which decide whose requests they refuse.
package shed

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// interval is the shortest time between two changes of a share. It is about the duration
	// of a request, so that the effect of a change is visible before the next one.
	interval = clock.Second
	// minEnded is the number of ended requests that a change requires.
	minEnded = 8
	// toleratedLoss is the loss rate up to which the share grows. A single loss among
	// fewer requests than 1/toleratedLoss is no evidence of load.
	toleratedLoss = 0.03
	// reduction is the fraction of the loss rate by which one change reduces the share.
	reduction = 0.5
	// growth is the increase of the share per change without loss.
	growth = 0.04
	// minShare is the share that is always admitted, in order to detect the end of the load.
	minShare = 0.05
	// maxKeys limits the memory. Requests with other keys are always admitted.
	maxKeys = 4096
)

// Key identifies a group of requests with a common share.
type Key struct {
	Pipeline     string
	Organisation string
}

type share struct {
	admitted  float64
	ended     int
	lost      int
	startedAt clock.Millis
}

// Shedder holds the shares that are below one. It is safe for concurrent use.
type Shedder struct {
	mu     sync.Mutex
	shares map[Key]*share
}

// New returns a Shedder that admits all requests.
func New() *Shedder { return &Shedder{shares: make(map[Key]*share)} }

// Admit reports whether a request should start. The argument random is a random number
// in [0, 1).
func (s *Shedder) Admit(now clock.Millis, key Key, random float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.shares[key]
	if entry == nil {
		return true
	}
	if now-entry.startedAt >= 2*interval {
		// Few or no requests have ended, so the load is assumed to have ended.
		s.adjust(now, key, entry, entry.loss())
	}
	return random < entry.admitted
}

// Ended records the end of a request that had passed its first stage. The argument lost
// is set if a later stage refused it because of load or if it ran out of time.
func (s *Shedder) Ended(now clock.Millis, key Key, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.shares[key]
	if entry == nil {
		if !lost || len(s.shares) >= maxKeys {
			return
		}
		entry = &share{admitted: 1, startedAt: now}
		s.shares[key] = entry
	}
	entry.ended++
	if lost {
		entry.lost++
	}
	if now-entry.startedAt >= interval && entry.ended >= minEnded && !entry.inconclusive() {
		s.adjust(now, key, entry, entry.loss())
	}
}

// inconclusive reports whether a single request was lost among so few that the loss may
// be accidental.
func (s *share) inconclusive() bool { return s.lost == 1 && float64(s.ended)*toleratedLoss < 1 }

// loss returns the fraction of the ended requests that were lost, or 0 if there were too
// few to decide.
func (s *share) loss() float64 {
	if s.ended < minEnded || s.inconclusive() {
		return 0
	}
	return float64(s.lost) / float64(s.ended)
}

func (s *Shedder) adjust(now clock.Millis, key Key, entry *share, loss float64) {
	if loss > toleratedLoss {
		entry.admitted = max(minShare, entry.admitted*(1-reduction*loss))
	} else {
		entry.admitted += growth
	}
	entry.ended, entry.lost, entry.startedAt = 0, 0, now
	if entry.admitted >= 1 {
		delete(s.shares, key)
	}
}
