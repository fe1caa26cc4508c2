// Package batch decides which pieces of work go to a stage engine in one call.
//
// A call to a stage engine has a fixed cost that does not depend on the number
// of pieces, so pieces of many requests are sent in one call. The owner of a
// pool keeps one queue for all of the pool's engines. It closes a batch when an
// engine becomes free, never on a timer: under light load a piece is sent at
// once, and under heavy load batches grow because pieces queue up.
package batch

import (
	"cmp"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
)

// Group is the set of pieces of one stage of one request. All pieces read the
// same inputs.
type Group struct {
	// ID identifies the group in tests and logs of the owner.
	ID      uint64
	Request string
	Stage   int
	Key     string
	Inputs  []string
	// Count is the number of pieces.
	Count int
	// Rank orders groups; the lowest is sent first. It is NeededBy plus penalties
	// for requests of lower priority and for those that were admitted late.
	Rank clock.Millis
	// NeededBy is the instant by which the result is needed for the request to
	// meet its objective. Groups that can't finish by then are sent after the
	// others.
	NeededBy clock.Millis
	// Deadline is the instant after which the result has no use.
	Deadline clock.Millis
	// ResultBytes is the memory that one result takes at the engine.
	ResultBytes int64
	// Zone is the availability zone that holds most of the inputs, or the one
	// where the results are needed. It may be empty.
	Zone string
	// HoldUntil is the instant until which the group waits for an engine in its
	// zone. Without HoldUnderLoad it waits only while few pieces are queued.
	HoldUntil     clock.Millis
	HoldUnderLoad bool
	// Owner is the job that the group belongs to. The queue does not read it.
	Owner any

	next          int   // first piece that was never sent
	requeued      []int // pieces that can be sent again
	requeuedSince clock.Millis
	deferred      bool // LatePenalty was added to Rank
	dropped       bool
}

// Queued returns the number of pieces that are not in a call to an engine.
func (g *Group) Queued() int {
	if g.dropped {
		return 0
	}
	return g.Count - g.next + len(g.requeued)
}

// Requeued returns the number of pieces that wait to be sent again.
func (g *Group) Requeued() int { return len(g.requeued) }

// nextPiece takes the next piece from the group. It returns false if only
// requeued pieces are left and the retry budget does not allow another one.
func (g *Group) nextPiece(allowRetry func() bool) (int, bool) {
	if last := len(g.requeued) - 1; last >= 0 && allowRetry() {
		piece := g.requeued[last]
		g.requeued = g.requeued[:last]
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

// Bounds describes the calls that one engine of a pool accepts.
type Bounds struct {
	// Pieces is the maximum number of pieces in one call.
	Pieces int
	// CallTime is the fixed duration of a call, in milliseconds, and PieceTime
	// the time that each piece adds.
	CallTime  float64
	PieceTime float64
}

// BoundsOf returns the bounds that a pool's configuration sets.
func BoundsOf(pool *table.Batching) Bounds {
	return Bounds{Pieces: pool.Pieces, CallTime: float64(pool.CallTime), PieceTime: pool.PieceTime}
}

// Duration returns how long a call with the given number of pieces takes, in
// milliseconds.
func (b Bounds) Duration(pieces int) float64 {
	return b.CallTime + b.PieceTime*float64(pieces)
}

// Queue holds the queued groups of one pool. It is not safe for concurrent use.
type Queue struct {
	groups []*Group // sorted by rank
	pieces int
}

// Pieces returns the number of queued pieces.
func (q *Queue) Pieces() int { return q.pieces }

// ResultBytes returns the size of the results of the first pieces in the queue,
// up to the given number of pieces.
func (q *Queue) ResultBytes(pieces int) int64 {
	var bytes int64
	for _, g := range q.groups {
		if pieces <= 0 {
			break
		}
		count := min(g.Queued(), pieces)
		bytes += int64(count) * g.ResultBytes
		pieces -= count
	}
	return bytes
}

// Add inserts a group by its rank.
func (q *Queue) Add(g *Group) {
	at, _ := slices.BinarySearchFunc(q.groups, g, func(a, b *Group) int { return cmp.Compare(a.Rank, b.Rank) })
	for at < len(q.groups) && q.groups[at].Rank == g.Rank {
		at++ // first in, first out within a rank
	}
	q.groups = slices.Insert(q.groups, at, g)
	q.pieces += g.Queued()
}

// Drop removes a group from the queue. Pieces of it that are requeued later are
// ignored.
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

// Requeue returns a piece to the queue after a call that did not produce its
// result. The piece is sent again when the retry budget allows it.
func (q *Queue) Requeue(item Item, now clock.Millis) {
	g := item.Group
	if g.dropped {
		return
	}
	if len(g.requeued) == 0 {
		g.requeuedSince = now
	}
	if g.Queued() == 0 {
		g.requeued = append(g.requeued, item.Piece)
		q.Add(g)
		return
	}
	g.requeued = append(g.requeued, item.Piece)
	q.pieces++
}

// Each calls visit for each queued group, in order of rank.
func (q *Queue) Each(visit func(*Group)) {
	for _, g := range q.groups {
		visit(g)
	}
}

// LatePenalty is added to the rank of groups that will miss their objective, in
// milliseconds. It is larger than the differences between objectives, because
// an answer after its objective is worth little, however late it is.
const LatePenalty = 3 * clock.Second

// DeferLate adds LatePenalty to the rank of groups that would miss NeededBy even
// if a call with them started now, and returns those groups. In an overload the
// groups that are first in rank are already late; if they were sent first, every
// group after them would be late too.
func (q *Queue) DeferLate(bounds Bounds, now clock.Millis) []*Group {
	var late []*Group
	resultAt := now + clock.Millis(bounds.Duration(min(q.pieces, bounds.Pieces)))
	q.groups = slices.DeleteFunc(q.groups, func(g *Group) bool {
		if g.deferred || g.NeededBy >= resultAt {
			return false
		}
		late = append(late, g)
		return true
	})
	for _, g := range late {
		g.deferred = true
		g.Rank += LatePenalty
		q.pieces -= g.Queued()
		q.Add(g)
	}
	return late
}

// maxRequeuedTime is how long a requeued piece waits for the retry budget, about
// the duration of two calls. The budget is refilled by first attempts. If it
// stays empty, many pieces fail, and the request fails early enough for its
// caller to try again.
const maxRequeuedTime = 600 * clock.Millis(1)

// DropStuck removes and returns the groups with requeued pieces that the retry
// budget did not allow to be sent again within maxRequeuedTime.
func (q *Queue) DropStuck(now clock.Millis) []*Group {
	var stuck []*Group
	for _, g := range q.groups {
		if len(g.requeued) > 0 && now-g.requeuedSince > maxRequeuedTime {
			stuck = append(stuck, g)
		}
	}
	for _, g := range stuck {
		q.Drop(g)
	}
	return stuck
}

// DropTooLate removes and returns the groups that would miss their deadline even
// if a call with one of their pieces started now, so that no engine works on
// results that nobody can use.
func (q *Queue) DropTooLate(bounds Bounds, now clock.Millis) []*Group {
	earliestEnd := now + clock.Millis(bounds.Duration(1))
	var late []*Group
	for i := 0; i < len(q.groups); {
		g := q.groups[i]
		if g.Deadline >= earliestEnd {
			i++
			continue
		}
		late = append(late, g)
		q.Drop(g)
	}
	return late
}

// smallRatio is how many times smaller than the largest blocked result a result
// must be to be sent before it. Results of that size hardly delay the moment at
// which the blocked one fits into memory.
const smallRatio = 16

// batchBuilder collects the pieces of one call.
type batchBuilder struct {
	items []Item
	// freeBytes is the memory left at the engine.
	freeBytes int64
	// share is this call's equal share of the queued pieces, limit the maximum
	// number of pieces in one call.
	share int
	limit int
	// blocked is the size of the largest result that did not fit.
	blocked    int64
	allowRetry func() bool
}

// Slot is an engine that can accept a call.
type Slot struct {
	Zone string
	// FreeBytes is the memory that the engine has left for results.
	FreeBytes int64
	// FreeEngines is the number of engines, this one included, that can accept a
	// call.
	FreeEngines int
	// AllowRetryFunc takes one retry from the budget and reports whether there
	// was one. Without one, a requeued piece stays queued: the delay costs less
	// than a failed request.
	AllowRetryFunc func() bool
}

// busyDivisor divides the maximum batch size. With more pieces queued than the
// quotient, groups without HoldUnderLoad no longer wait for their zone while an
// engine is idle.
const busyDivisor = 2

// NextBatch takes the pieces for one call to an engine from the queue. The
// queued pieces are divided among the free engines, because a smaller call is
// faster and the other engines would be idle. Groups whose zone is another
// availability zone stay queued until HoldUntil, because traffic between zones
// is charged by the byte.
func (q *Queue) NextBatch(bounds Bounds, slot Slot, now clock.Millis) []Item {
	call := batchBuilder{freeBytes: slot.FreeBytes, share: bounds.Pieces, limit: bounds.Pieces, allowRetry: slot.AllowRetryFunc}
	if slot.FreeEngines > 1 {
		call.share = min(call.share, (q.pieces+slot.FreeEngines-1)/slot.FreeEngines)
	}
	busy := q.pieces > bounds.Pieces/busyDivisor
	for at := 0; at < len(q.groups) && len(call.items) < call.share; {
		g := q.groups[at]
		if g.Zone != "" && g.Zone != slot.Zone && now < g.HoldUntil && (g.HoldUnderLoad || !busy) {
			at++
			continue
		}
		q.pieces -= call.addGroup(g)
		if g.Queued() == 0 {
			q.groups = slices.Delete(q.groups, at, at+1)
			continue
		}
		at++
	}
	return call.items
}

// addGroup adds pieces of one group to the call and returns how many. If all
// pieces of the group fit within the limit of the call, they are added even
// beyond the equal share, because the request needs all of them.
func (b *batchBuilder) addGroup(g *Group) int {
	if b.blocked > 0 && g.ResultBytes*smallRatio > b.blocked {
		return 0
	}
	limit := b.share
	if allPieces := len(b.items) + g.Queued(); allPieces <= b.limit {
		limit = allPieces
	}
	taken := 0
	for g.Queued() > 0 && len(b.items) < limit {
		if g.ResultBytes > b.freeBytes {
			b.blocked = max(b.blocked, g.ResultBytes)
			break
		}
		piece, ok := g.nextPiece(b.allowRetry)
		if !ok {
			break
		}
		b.freeBytes -= g.ResultBytes
		b.items = append(b.items, Item{Group: g, Piece: piece})
		taken++
	}
	return taken
}
