// Package spill chooses the shard of a pool whose engines make a stage's pieces.
//
// It answers bursts in one availability zone, zones with fewer engines than
// others, and owners that hang or end: pieces stay where their inputs and their
// reader are as long as that costs less than the wait there, and flow over to
// another shard otherwise.
package spill

import "github.com/jujubescale/jujubescale/internal/base/clock"

const (
	// crossMs is what it costs at least to leave the zone that is wanted, in
	// milliseconds: the way there and back, and figures that are as old.
	crossMs = 60
	// staleMs is the cost of a shard whose owner was silent for longer than
	// usual. It may hang or have ended.
	staleMs = 900
	// staleFrom is how much later than usual an owner may report.
	staleFrom = 400 * clock.Millis(1)
	// samples is how many other shards are compared with the one that is wanted.
	// With all of them, every process would choose the shard that was idle when
	// its owner reported last.
	samples = 2
)

// Shard is what is known of one shard.
type Shard struct {
	Zone string
	// Wait is the time until a call with the pieces begins, in milliseconds.
	Wait float64
	// Known says that its owner has reported, Late how much later than usual.
	Known     bool
	Staleness clock.Millis
	// Tried says that it was asked in vain.
	Tried bool
}

// Preference is where pieces are best made: in which zone, "" for any, and how long it
// is worth to wait there, in milliseconds.
type Preference struct {
	Zone      string
	ExtraWait clock.Millis
}

// None is the choice where every shard was tried.
const None = -1

// Choose returns the position of a shard. Pick returns a random number below its
// argument.
func Choose(shards []Shard, want Preference, pick func(n int) int) int {
	best, least := None, 0.0
	consider := func(i int) {
		if cost := shards[i].cost(want); !shards[i].Tried && (best == None || cost < least) {
			best, least = i, cost
		}
	}
	var others []int
	for i := range shards {
		switch {
		case shards[i].Zone == want.Zone:
			consider(i)
		case shards[i].Known && !shards[i].Tried:
			others = append(others, i)
		}
	}
	for range min(samples, len(others)) {
		at := pick(len(others))
		consider(others[at])
		others[at] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	if best != None {
		return best
	}
	return anyOf(shards, pick)
}

// anyOf returns a random shard that was not tried: nothing is known of any.
func anyOf(shards []Shard, pick func(n int) int) int {
	start := pick(max(len(shards), 1))
	for i := range shards {
		if at := (start + i) % len(shards); !shards[at].Tried {
			return at
		}
	}
	return None
}

func (s *Shard) cost(want Preference) float64 {
	cost := s.Wait
	if s.Zone != want.Zone {
		cost += max(float64(want.ExtraWait), crossMs)
	}
	if s.Known && s.Staleness > staleFrom {
		cost += staleMs
	}
	return cost
}
