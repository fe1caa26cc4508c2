// Package spill chooses the shard of a pool that processes the pieces of a stage.
//
// It handles bursts in one availability zone, zones with fewer engines than others, and
// owners that hang or stop. Pieces stay near their inputs and their reader while the wait
// there costs less than the way to another shard, and spill over to another shard
// otherwise.
package spill

import "github.com/jujubescale/jujubescale/internal/base/clock"

const (
	// leaveZoneMs is the minimum cost of leaving the preferred zone, in milliseconds. It
	// covers the round trip and the age of the reported waits.
	leaveZoneMs = 60
	// staleOwnerMs is the additional cost in milliseconds of a shard whose owner has not
	// reported for longer than usual, because it may hang or have stopped.
	staleOwnerMs = 900
	// staleAfter is the staleness above which a report counts as stale.
	staleAfter = 400 * clock.Millis(1)
	// samples is the number of shards outside the preferred zone that are compared with
	// the preferred one. If all were compared, every process would choose the shard that
	// was idle at the last report of its owner.
	samples = 2
)

// Shard is the state of one shard.
type Shard struct {
	Zone string
	// Wait is the estimated time until a call with the pieces starts, in milliseconds.
	Wait float64
	// Known is set if the owner has reported. Staleness is how much older the report is
	// than usual.
	Known     bool
	Staleness clock.Millis
	// Tried is set if an earlier attempt at this shard failed.
	Tried bool
}

// Preference is the preferred zone for the pieces, "" for any, and how much longer a
// wait in that zone may be than elsewhere, in milliseconds.
type Preference struct {
	Zone      string
	ExtraWait clock.Millis
}

// None is returned by Choose if every shard was tried.
const None = -1

// Choose returns the index of the shard with the lowest cost. The function pick returns
// a random number below its argument.
func Choose(shards []Shard, preferred Preference, pick func(n int) int) int {
	best, least := None, 0.0
	consider := func(i int) {
		if cost := shards[i].cost(preferred); !shards[i].Tried && (best == None || cost < least) {
			best, least = i, cost
		}
	}
	var others []int
	for i := range shards {
		switch {
		case shards[i].Zone == preferred.Zone:
			consider(i)
		case shards[i].Known && !shards[i].Tried:
			others = append(others, i)
		}
	}
	for range min(samples, len(others)) {
		n := pick(len(others))
		consider(others[n])
		others[n] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	if best != None {
		return best
	}
	return randomUntried(shards, pick)
}

// randomUntried returns a random shard that was not tried, or None. It is used if no
// shard can be compared because none has reported.
func randomUntried(shards []Shard, pick func(n int) int) int {
	start := pick(max(len(shards), 1))
	for i := range shards {
		if n := (start + i) % len(shards); !shards[n].Tried {
			return n
		}
	}
	return None
}

func (s *Shard) cost(preferred Preference) float64 {
	cost := s.Wait
	if s.Zone != preferred.Zone {
		cost += max(float64(preferred.ExtraWait), leaveZoneMs)
	}
	if s.Known && s.Staleness > staleAfter {
		cost += staleOwnerMs
	}
	return cost
}
