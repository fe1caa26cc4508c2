// Package shed refuses requests before their first stage when later stages
// have been refusing such requests for load: what the early stages spend on
// them would be wasted. Shares are learned by pipeline and organisation, so
// that the fairness of the agents' queues, which decides whom they refuse,
// decides here too.
package shed

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// step is the least span between two changes of a share. It is about as
	// long as a request takes, so that a change has shown its effect before the
	// next one.
	step = clock.Second
	// enough is the number of ended requests that a change needs.
	enough = 8
	// tolerated is the loss below which the share grows again. A single loss among
	// fewer requests than that takes is no evidence of load.
	tolerated = 0.03
	// eagerness is how much of the loss one step takes off.
	eagerness = 0.5
	// growth is how much the share grows in a step without loss.
	growth = 0.04
	// least share always goes through, to find out that the load has gone.
	least = 0.05
	// maxKeys bounds the memory. Beyond it nothing new is shed.
	maxKeys = 4096
)

// Key is what a share is learned for.
type Key struct {
	Pipeline     string
	Organisation string
}

type share struct {
	admitted float64
	ended    int
	lost     int
	began    clock.Millis
}

// Shedder holds the shares below one. It is safe for use by several goroutines.
type Shedder struct {
	mu     sync.Mutex
	shares map[Key]*share
}

// New returns a Shed that lets everything through.
func New() *Shedder { return &Shedder{shares: make(map[Key]*share)} }

// Admit reports whether a request shall begin. Drawn is a random number from 0
// up to 1.
func (s *Shedder) Admit(now clock.Millis, key Key, drawn float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.shares[key]
	if known == nil {
		return true
	}
	if now-known.began >= 2*step {
		// Little or nothing ends any more: the load has gone.
		s.change(now, key, known, known.loss())
	}
	return drawn < known.admitted
}

// Ended takes in how a request ended that had gone beyond its first stage.
// Lost is set if a later stage refused it for load, or that it ran out of time.
func (s *Shedder) Ended(now clock.Millis, key Key, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.shares[key]
	if known == nil {
		if !lost || len(s.shares) >= maxKeys {
			return
		}
		known = &share{admitted: 1, began: now}
		s.shares[key] = known
	}
	known.ended++
	if lost {
		known.lost++
	}
	if now-known.began >= step && known.ended >= enough && !known.unsure() {
		s.change(now, key, known, known.loss())
	}
}

// unsure reports whether a single request was lost, among so few that it may have
// been by chance.
func (s *share) unsure() bool { return s.lost == 1 && float64(s.ended)*tolerated < 1 }

// loss is the share of the ended requests that were lost; 0 when too few ended
// to tell.
func (s *share) loss() float64 {
	if s.ended < enough || s.unsure() {
		return 0
	}
	return float64(s.lost) / float64(s.ended)
}

func (s *Shedder) change(now clock.Millis, key Key, known *share, loss float64) {
	if loss > tolerated {
		known.admitted = max(least, known.admitted*(1-eagerness*loss))
	} else {
		known.admitted += growth
	}
	known.ended, known.lost, known.began = 0, 0, now
	if known.admitted >= 1 {
		delete(s.shares, key)
	}
}
