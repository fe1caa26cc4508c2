// Package inflow counts pending arrivals: the pieces that open requests will send
// to stage engines in the stages after their current one.
//
// An admission that looks only at the current queues admits too much in a burst. A
// request then meets in its third stage all others that were admitted in the half
// second before it, and takes longer than the queues suggested.
package inflow

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

// Work is the pieces of one later stage of one request.
type Work struct {
	Pool   string
	Pieces int
	// Rank is the rank that the pieces will have in the queue; see batch.Group.
	Rank clock.Millis
}

// Load is the number of pending pieces for one pool.
type Load struct {
	Pool string
	// Pieces holds the number of pieces by class of rank; see reach.RankEdges.
	Pieces []int
}

// Tracker holds the pending arrivals from the requests of this process. It is safe
// for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	pending map[*Work]bool
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{pending: make(map[*Work]bool)} }

// Add adds work that is pending until Remove.
func (t *Tracker) Add(work *Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[work] = true
}

// Remove removes work that was sent to its pool or never will be.
func (t *Tracker) Remove(work *Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, work)
}

// Loads returns the pending arrivals of each pool, in no particular order.
func (t *Tracker) Loads(now clock.Millis) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var loads []Load
	for work := range t.pending {
		loads = Add(loads, Load{Pool: work.Pool, Pieces: reach.ClassCounts(work.Rank-now, work.Pieces)})
	}
	return loads
}

// PoolPieces returns the pending pieces for one pool by class of rank, or nil if
// there are none.
func (t *Tracker) PoolPieces(pool string, now clock.Millis) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var pieces []int
	for work := range t.pending {
		if work.Pool == pool {
			pieces = AddClasses(pieces, reach.ClassCounts(work.Rank-now, work.Pieces))
		}
	}
	return pieces
}

// Add adds a load to the load of the same pool, or appends it. It changes loads and
// their Pieces.
func Add(loads []Load, load Load) []Load {
	for i := range loads {
		if loads[i].Pool == load.Pool {
			loads[i].Pieces = AddClasses(loads[i].Pieces, load.Pieces)
			return loads
		}
	}
	return append(loads, Load{Pool: load.Pool, Pieces: AddClasses(nil, load.Pieces)})
}

// PoolPieces returns the pieces of one pool's load, or nil if there is none.
func PoolPieces(loads []Load, pool string) []int {
	for i := range loads {
		if loads[i].Pool == pool {
			return loads[i].Pieces
		}
	}
	return nil
}

// AddClasses adds the numbers in added to those in pieces, class by class, and
// returns the sum. It changes pieces unless that is nil. Classes that this version
// doesn't have, because a newer process has more, are added to the last class.
func AddClasses(pieces, added []int) []int {
	if pieces == nil {
		pieces = make([]int, len(reach.RankEdges)+1)
	}
	for class, count := range added {
		pieces[min(class, len(pieces)-1)] += count
	}
	return pieces
}
