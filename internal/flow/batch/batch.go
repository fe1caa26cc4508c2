// Package batch decides which pieces of work go to a stage engine in one call.
//
// A call to a stage engine costs a fixed time whatever it holds, so that pieces
// of many requests are gathered into one. The owner of a pool keeps one queue
// for all of the pool's engines and closes a batch when an engine's place
// becomes free, never by a timer: under light load a piece leaves at once,
// under heavy load batches fill by themselves.
package batch

import (
	"cmp"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
)

// Group is the pieces of one stage of one request. They share inputs.
type Group struct {
	// ID names the group in logs and tests of its owner.
	ID      uint64
	Request string
	Stage   int
	Key     string
	Inputs  []string
	// Count of pieces.
	Count int
	// Rank orders groups: the lowest goes first. It is the instant by which the
	// result is wanted, put off for requests that are worth less.
	Rank clock.Millis
	// NeededBy is the instant by which the result must be there for the request to
	// meet its objective. Groups that can't be ready by then go behind all others.
	NeededBy clock.Millis
	// Deadline is the instant after which the result is of no use.
	Deadline clock.Millis
	// ResultBytes is the memory that one result takes at the engine.
	ResultBytes int64
	// Zone that most inputs lie in, or where the results are wanted; may be empty.
	Zone string
	// HoldUntil is the instant until which the group rather waits for an engine
	// of its zone than going to another one. It does so while little waits, or,
	// if Firm is set, also when much does.
	HoldUntil     clock.Millis
	HoldUnderLoad bool
	// Owner is the job that the group belongs to; the queue doesn't look at it.
	Owner any

	next      int   // first piece that was never taken
	back      []int // pieces that were given back
	backSince clock.Millis
	behind    bool // put behind the others, because it is late
	dropped   bool
}

// Queued returns the number of pieces that are not with an engine.
func (g *Group) Queued() int {
	if g.dropped {
		return 0
	}
	return g.Count - g.next + len(g.back)
}

// take returns the next piece, false if those that are left were sent before
// and may not be sent again yet.
func (g *Group) take(again func() bool) (int, bool) {
	if last := len(g.back) - 1; last >= 0 && again() {
		piece := g.back[last]
		g.back = g.back[:last]
		return piece, true
	}
	if g.next == g.Count {
		return 0, false
	}
	g.next++
	return g.next - 1, true
}

// Item is one piece of a group.
type Item struct {
	Group *Group
	Piece int
}

// Bounds are what one engine of the pool bears.
type Bounds struct {
	// Pieces is the largest number in one call.
	Pieces int
	// CallTime and PieceTime make up the duration of a call, in milliseconds.
	CallTime  float64
	PieceTime float64
}

// BoundsOf returns the bounds that the configuration sets for a pool's calls.
func BoundsOf(pool *table.Batching) Bounds {
	return Bounds{Pieces: pool.Pieces, CallTime: float64(pool.CallTime), PieceTime: pool.PieceTime}
}

// Duration returns how long a call of so many pieces takes, in milliseconds.
func (b Bounds) Duration(pieces int) float64 {
	return b.CallTime + b.PieceTime*float64(pieces)
}

// Queue holds the groups of one pool that wait. It is not safe for use by
// several goroutines at once.
type Queue struct {
	groups []*Group // in the order of rank
	pieces int
}

// Pieces returns the number of pieces that wait.
func (q *Queue) Pieces() int { return q.pieces }

// ResultBytes returns the bytes of results that the first pieces would make, as many
// as are given.
func (q *Queue) ResultBytes(pieces int) int64 {
	var wanted int64
	for _, g := range q.groups {
		if pieces <= 0 {
			break
		}
		count := min(g.Queued(), pieces)
		wanted += int64(count) * g.ResultBytes
		pieces -= count
	}
	return wanted
}

// Add puts a group in its place.
func (q *Queue) Add(g *Group) {
	at, _ := slices.BinarySearchFunc(q.groups, g, func(a, b *Group) int { return cmp.Compare(a.Rank, b.Rank) })
	for at < len(q.groups) && q.groups[at].Rank == g.Rank {
		at++ // behind those of the same rank that came before
	}
	q.groups = slices.Insert(q.groups, at, g)
	q.pieces += g.Queued()
}

// Drop takes out what still waits of a group, because its request ended.
func (q *Queue) Drop(g *Group) {
	if g.dropped {
		return
	}
	if at := slices.Index(q.groups, g); at >= 0 {
		q.groups = slices.Delete(q.groups, at, at+1)
		q.pieces -= g.Queued()
	}
	g.dropped = true
}

// Requeue gives a piece back that an engine did not make.
func (q *Queue) Requeue(item Item, now clock.Millis) {
	g := item.Group
	if g.dropped {
		return
	}
	if len(g.back) == 0 {
		g.backSince = now
	}
	if g.Queued() == 0 {
		g.back = append(g.back, item.Piece)
		q.Add(g)
		return
	}
	g.back = append(g.back, item.Piece)
	q.pieces++
}

// Each calls visit for each group that waits, in order.
func (q *Queue) Each(visit func(*Group)) {
	for _, g := range q.groups {
		visit(g)
	}
}

// LatePenalty is how far groups are put behind that will be late, in
// milliseconds: further than objectives differ. An answer beyond its objective
// is worth little to its caller, however late it is.
const LatePenalty = 3 * clock.Second

// DeferLate puts groups behind the others that can't be ready when they are wanted,
// even if a call with them began now. Once more work waits than engines do,
// those first in rank are the ones that are late already; served first, they
// make each one behind them late in turn, and nobody gets an answer in time. It
// returns the groups that yield now.
func (q *Queue) DeferLate(bounds Bounds, now clock.Millis) []*Group {
	var late []*Group
	ready := now + clock.Millis(bounds.Duration(min(q.pieces, bounds.Pieces)))
	q.groups = slices.DeleteFunc(q.groups, func(g *Group) bool {
		if g.behind || g.NeededBy >= ready {
			return false
		}
		late = append(late, g)
		return true
	})
	for _, g := range late {
		g.behind = true
		g.Rank += LatePenalty
		q.pieces -= g.Queued()
		q.Add(g)
	}
	return late
}

// backMost is how long a piece that was given back waits until it may be sent
// again: about two calls. The budget for that comes back with ordinary work;
// where it doesn't, many pieces fail, and the caller is told while there is
// time to come back.
const backMost = 600 * clock.Millis(1)

// DropStuck takes out the groups with pieces that were given back and could not be
// sent again for too long.
func (q *Queue) DropStuck(now clock.Millis) []*Group {
	var stuck []*Group
	for _, g := range q.groups {
		if len(g.back) > 0 && now-g.backSince > backMost {
			stuck = append(stuck, g)
		}
	}
	for _, g := range stuck {
		q.Drop(g)
	}
	return stuck
}

// DropTooLate takes out the groups that could not be finished in time even if a call
// began now, so that no engine works for nobody.
func (q *Queue) DropTooLate(bounds Bounds, now clock.Millis) []*Group {
	soonest := now + clock.Millis(bounds.Duration(1))
	var late []*Group
	for i := 0; i < len(q.groups); {
		g := q.groups[i]
		if g.Deadline >= soonest {
			i++
			continue
		}
		late = append(late, g)
		q.Drop(g)
	}
	return late
}

// smallShare is how much smaller than that of the first group the results of
// others must be to pass it while it waits for room: small ones don't take
// what it waits for.
const smallShare = 16

// filling is a call that is being put together.
type filling struct {
	items []Item
	// room is the bytes of results that still fit.
	room int64
	// most is the even share of this call, bound what the engine takes at most.
	most  int
	bound int
	// blocked is the size of the largest result that found no room.
	blocked int64
	again   func() bool
}

// Slot is an engine that could take a call now.
type Slot struct {
	Zone string
	// FreeBytes is the bytes of results that it still holds.
	FreeBytes int64
	// FreeEngines is how many engines in all could take a call now.
	FreeEngines int
	// AllowRetryFunc reports whether a piece that was sent before may be sent once
	// more, and spends that. Until it may, the piece waits: failing its request
	// for want of a repeat costs more than the wait.
	AllowRetryFunc func() bool
}

// crowdedShare is the part of a full call that waits when an engine should not
// stand idle any more.
const crowdedShare = 2

// NextBatch returns the pieces for one call to an engine. Waiting pieces are divided
// among the free engines, because a smaller call is faster and the engines
// would stand idle otherwise. Groups that want another availability zone are
// left for an engine there as long as they may wait: results that cross zones
// are paid for by the byte.
func (q *Queue) NextBatch(bounds Bounds, slot Slot, now clock.Millis) []Item {
	f := filling{room: slot.FreeBytes, most: bounds.Pieces, bound: bounds.Pieces, again: slot.AllowRetryFunc}
	if slot.FreeEngines > 1 {
		f.most = min(f.most, (q.pieces+slot.FreeEngines-1)/slot.FreeEngines)
	}
	crowded := q.pieces > bounds.Pieces/crowdedShare
	for at := 0; at < len(q.groups) && len(f.items) < f.most; {
		g := q.groups[at]
		if g.Zone != "" && g.Zone != slot.Zone && now < g.HoldUntil && (g.HoldUnderLoad || !crowded) {
			at++
			continue
		}
		q.pieces -= f.takeFrom(g)
		if g.Queued() == 0 {
			q.groups = slices.Delete(q.groups, at, at+1)
			continue
		}
		at++
	}
	return f.items
}

// takeFrom takes pieces of one group while they fit and returns how many. A
// group that has begun is finished beyond the even share, up to the engine's
// bound: its request waits for all of its pieces.
func (f *filling) takeFrom(g *Group) int {
	if f.blocked > 0 && g.ResultBytes*smallShare > f.blocked {
		return 0
	}
	limit := f.most
	if whole := len(f.items) + g.Queued(); whole <= f.bound {
		limit = whole
	}
	taken := 0
	for g.Queued() > 0 && len(f.items) < limit {
		if g.ResultBytes > f.room {
			f.blocked = max(f.blocked, g.ResultBytes)
			break
		}
		piece, ok := g.take(f.again)
		if !ok {
			break
		}
		f.room -= g.ResultBytes
		f.items = append(f.items, Item{Group: g, Piece: piece})
		taken++
	}
	return taken
}
