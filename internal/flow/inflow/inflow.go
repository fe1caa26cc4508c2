// Package inflow counts the pieces that requests under way will ask stage
// engines for, but have not yet: those of the stages behind the one that they
// are in.
//
// It answers bursts. A request that is admitted by the queues of that moment
// meets in its third stage all the others that were admitted in the half second
// before it, and comes later than estimated from queues alone.
package inflow

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

// Work is the pieces of one stage of one request.
type Work struct {
	Pool   string
	Pieces int
	// Rank is the instant by which they will be wanted; see batch.Group.
	Rank clock.Millis
}

// Load is all that will come to one pool.
type Load struct {
	Pool string
	// Pieces by class of rank; see reach.Edges.
	Pieces []int
}

// Tracker holds the work that is to come from this process.
type Tracker struct {
	mu   sync.Mutex
	open map[*Work]bool
}

// New returns an empty book.
func New() *Tracker { return &Tracker{open: make(map[*Work]bool)} }

// Add enters work until it is removed.
func (b *Tracker) Add(work *Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[work] = true
}

// Remove takes work out, because it has been asked for or never will be.
func (b *Tracker) Remove(work *Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, work)
}

// Loads returns the work by pool, in no order.
func (b *Tracker) Loads(now clock.Millis) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []Load
	for work := range b.open {
		loads = Add(loads, Load{Pool: work.Pool, Pieces: reach.ClassCounts(work.Rank-now, work.Pieces)})
	}
	return loads
}

// PoolPieces returns the work for one pool, by class of rank; nil for none.
func (b *Tracker) PoolPieces(pool string, now clock.Millis) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var pieces []int
	for work := range b.open {
		if work.Pool == pool {
			pieces = AddClasses(pieces, reach.ClassCounts(work.Rank-now, work.Pieces))
		}
	}
	return pieces
}

// Add adds a load to others.
func Add(loads []Load, more Load) []Load {
	for i := range loads {
		if loads[i].Pool == more.Pool {
			loads[i].Pieces = AddClasses(loads[i].Pieces, more.Pieces)
			return loads
		}
	}
	return append(loads, Load{Pool: more.Pool, Pieces: AddClasses(nil, more.Pieces)})
}

// PoolPieces returns the pieces of one pool's load, nil for none.
func PoolPieces(loads []Load, pool string) []int {
	for i := range loads {
		if loads[i].Pool == pool {
			return loads[i].Pieces
		}
	}
	return nil
}

// AddClasses adds more to pieces class by class, and changes pieces if there are any.
// Classes that this version doesn't know count among the last: a newer process
// may have finer ones.
func AddClasses(pieces, more []int) []int {
	if pieces == nil {
		pieces = make([]int, len(reach.RankEdges)+1)
	}
	for class, count := range more {
		pieces[min(class, len(pieces)-1)] += count
	}
	return pieces
}
