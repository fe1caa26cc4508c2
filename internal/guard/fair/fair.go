// Package fair orders waiting work: priority first, then fair shares by
// organisation on estimated cost (start-time fair queueing). A large
// organisation that sends many calls, or few but costly ones, can't make the
// small ones wait behind all of it.
package fair

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Item is one piece of waiting work.
type Item[T any] struct {
	Organisation string
	// Weight is the organisation's share; at least 1.
	Weight   int
	Priority int
	// Cost is the estimated cost; at least 1.
	Cost int64
	// Expires is when the work is of no use any more.
	Expires clock.Millis
	Work    T

	start float64
	seq   uint64
}

// maxShares bounds the organisations remembered before idle ones are dropped.
const maxShares = 4096

// Queue is a bounded queue in fair order. It is not safe for use by several
// goroutines at once.
type Queue[T any] struct {
	bound int
	// items are sorted from the last to the first, so that both the next and
	// the worst are at an end. The queue is short: moving items costs less than
	// the allocations of a heap behind an interface.
	items   []Item[T]
	virtual float64
	seq     uint64
	// finish is the virtual time at which each organisation has used what it got.
	finish map[string]float64
	cost   int64
}

// New returns an empty queue that holds at most bound items.
func New[T any](bound int) *Queue[T] {
	return &Queue[T]{bound: bound, items: make([]Item[T], 0, bound+1), finish: make(map[string]float64)}
}

// Len is the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cost is the estimated cost of all that waits.
func (q *Queue[T]) Cost() int64 { return q.cost }

// Charge counts work that ran without waiting against its organisation's
// share. Without it an organisation that fills the endpoint just before the
// queue forms would get its full share of the queue on top.
func (q *Queue[T]) Charge(organisation string, weight int, cost int64) float64 {
	start := max(q.virtual, q.finish[organisation])
	q.finish[organisation] = start + float64(max(cost, 1))/float64(max(weight, 1))
	if len(q.items) == 0 {
		q.virtual = start
	}
	q.forget()
	return start
}

// Push adds an item. When the queue is full, the item that is furthest beyond
// its organisation's share has to go: either the new one, then fits is false,
// or one that waits, which is returned.
func (q *Queue[T]) Push(item Item[T]) (evicted Item[T], hasEvicted, fits bool) {
	item.start = max(q.virtual, q.finish[item.Organisation])
	q.seq++
	item.seq = q.seq
	if len(q.items) >= q.bound {
		if len(q.items) == 0 || compare(&item, &q.items[0]) >= 0 {
			return evicted, false, false
		}
		evicted, hasEvicted = q.removeAt(0), true
		item.start = max(q.virtual, q.finish[item.Organisation])
	}
	q.finish[item.Organisation] = item.start + share(&item)
	q.cost += item.Cost
	at := sort.Search(len(q.items), func(i int) bool { return compare(&item, &q.items[i]) > 0 })
	q.items = slices.Insert(q.items, at, item)
	return evicted, hasEvicted, true
}

// CostAhead is the estimated cost of what would run before an item pushed now.
func (q *Queue[T]) CostAhead(item *Item[T]) int64 {
	start := max(q.virtual, q.finish[item.Organisation])
	var ahead int64
	for i := range q.items {
		waiting := &q.items[i]
		if waiting.Priority > item.Priority || (waiting.Priority == item.Priority && waiting.start <= start) {
			ahead += waiting.Cost
		}
	}
	return ahead
}

// Pop takes the next item in fair order.
func (q *Queue[T]) Pop() (Item[T], bool) {
	var item Item[T]
	if len(q.items) == 0 {
		return item, false
	}
	last := len(q.items) - 1
	item = q.items[last]
	q.items = slices.Delete(q.items, last, last+1)
	q.cost -= item.Cost
	q.virtual = max(q.virtual, item.start)
	return item, true
}

// Expire removes the items that can't end in time if they still need the given
// span, and hands each to drop.
func (q *Queue[T]) Expire(now, needed clock.Millis, drop func(Item[T])) {
	q.RemoveIf(func(item *Item[T]) bool { return now+needed >= item.Expires }, drop)
}

// RemoveIf removes the items that match, and hands each to drop.
func (q *Queue[T]) RemoveIf(match func(*Item[T]) bool, drop func(Item[T])) {
	for i := len(q.items) - 1; i >= 0; i-- {
		if match(&q.items[i]) {
			drop(q.removeAt(i))
		}
	}
}

// removeAt removes an item that got no work and gives its organisation back
// what it was charged.
func (q *Queue[T]) removeAt(index int) Item[T] {
	item := q.items[index]
	q.items = slices.Delete(q.items, index, index+1)
	q.cost -= item.Cost
	if used, known := q.finish[item.Organisation]; known {
		q.finish[item.Organisation] = max(used-share(&item), 0)
	}
	return item
}

func share[T any](item *Item[T]) float64 {
	return float64(max(item.Cost, 1)) / float64(max(item.Weight, 1))
}

// forget drops organisations whose use lies in the past; they would start at
// the current virtual time anyway.
func (q *Queue[T]) forget() {
	if len(q.finish) <= maxShares {
		return
	}
	oldest, oldestUse := "", math.Inf(1)
	for organisation, used := range q.finish {
		if used <= q.virtual {
			delete(q.finish, organisation)
		} else if used < oldestUse {
			oldest, oldestUse = organisation, used
		}
	}
	if len(q.finish) > maxShares {
		delete(q.finish, oldest)
	}
}

// compare is negative when a goes before b.
func compare[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.start, b.start), cmp.Compare(a.seq, b.seq))
}
