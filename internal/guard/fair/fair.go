// Package fair implements a queue that orders work by priority, then by fair
// shares of estimated cost per organisation (start-time fair queueing). An
// organisation that sends many calls, or few but costly ones, does not make small
// organisations wait for all of its work.
package fair

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Item is one queued item.
type Item[T any] struct {
	Organisation string
	// Weight is the organisation's relative share, at least 1.
	Weight   int
	Priority int
	// Cost is the estimated cost, at least 1.
	Cost int64
	// Expires is the deadline of the work.
	Expires clock.Millis
	Work    T

	start float64
	seq   uint64
}

// maxOrganisations is the number of organisations above which idle ones are removed.
const maxOrganisations = 4096

// Queue is a bounded queue in fair order. It is not safe for concurrent use.
type Queue[T any] struct {
	bound int
	// items is sorted in reverse order: the next item is at the end, the item to
	// evict at the start. The queue is short, so that moving items costs less than
	// the allocations of a heap behind an interface.
	items       []Item[T]
	virtualTime float64
	seq         uint64
	// finish is the virtual finish time of the work of each organisation.
	finish map[string]float64
	cost   int64
}

// New returns an empty queue that holds at most bound items.
func New[T any](bound int) *Queue[T] {
	return &Queue[T]{bound: bound, items: make([]Item[T], 0, bound+1), finish: make(map[string]float64)}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cost returns the estimated cost of all queued items.
func (q *Queue[T]) Cost() int64 { return q.cost }

// Charge counts work that ran without queueing against its organisation's share,
// and returns its virtual start time. Otherwise an organisation that fills the
// endpoint just before the queue forms would get its full share of the queue in
// addition.
func (q *Queue[T]) Charge(organisation string, weight int, cost int64) float64 {
	start := max(q.virtualTime, q.finish[organisation])
	q.finish[organisation] = start + float64(max(cost, 1))/float64(max(weight, 1))
	if len(q.items) == 0 {
		q.virtualTime = start
	}
	q.pruneFinish()
	return start
}

// Push adds an item. If the queue is full, it drops the item that is last in the
// order, which has the lowest priority and is furthest beyond its organisation's
// share. This is either the new item, then fits is false, or a queued item, which
// is returned.
func (q *Queue[T]) Push(item Item[T]) (evicted Item[T], hasEvicted, fits bool) {
	item.start = max(q.virtualTime, q.finish[item.Organisation])
	q.seq++
	item.seq = q.seq
	if len(q.items) >= q.bound {
		if len(q.items) == 0 || compare(&item, &q.items[0]) >= 0 {
			return evicted, false, false
		}
		evicted, hasEvicted = q.removeAt(0), true
		item.start = max(q.virtualTime, q.finish[item.Organisation])
	}
	q.finish[item.Organisation] = item.start + normalisedCost(&item)
	q.pruneFinish()
	q.cost += item.Cost
	at := sort.Search(len(q.items), func(i int) bool { return compare(&item, &q.items[i]) > 0 })
	q.items = slices.Insert(q.items, at, item)
	return evicted, hasEvicted, true
}

// CostAhead returns the estimated cost of the queued items that would run before
// an item pushed now.
func (q *Queue[T]) CostAhead(item *Item[T]) int64 {
	start := max(q.virtualTime, q.finish[item.Organisation])
	var ahead int64
	for i := range q.items {
		queued := &q.items[i]
		if queued.Priority > item.Priority || (queued.Priority == item.Priority && queued.start <= start) {
			ahead += queued.Cost
		}
	}
	return ahead
}

// Pop removes and returns the next item in fair order.
func (q *Queue[T]) Pop() (Item[T], bool) {
	var item Item[T]
	if len(q.items) == 0 {
		return item, false
	}
	last := len(q.items) - 1
	item = q.items[last]
	q.items = slices.Delete(q.items, last, last+1)
	q.cost -= item.Cost
	q.virtualTime = max(q.virtualTime, item.start)
	return item, true
}

// Expire removes the items that would miss their deadline if they needed the given
// time, and passes each to drop.
func (q *Queue[T]) Expire(now, needed clock.Millis, drop func(Item[T])) {
	q.RemoveIf(func(item *Item[T]) bool { return now+needed >= item.Expires }, drop)
}

// RemoveIf removes the items that match, and passes each to drop.
func (q *Queue[T]) RemoveIf(match func(*Item[T]) bool, drop func(Item[T])) {
	for i := len(q.items) - 1; i >= 0; i-- {
		if match(&q.items[i]) {
			drop(q.removeAt(i))
		}
	}
}

// removeAt removes an item that did not run and refunds its cost to its
// organisation.
func (q *Queue[T]) removeAt(index int) Item[T] {
	item := q.items[index]
	q.items = slices.Delete(q.items, index, index+1)
	q.cost -= item.Cost
	if finish, known := q.finish[item.Organisation]; known {
		q.finish[item.Organisation] = max(finish-normalisedCost(&item), 0)
	}
	return item
}

// normalisedCost returns the cost of an item divided by its weight.
func normalisedCost[T any](item *Item[T]) float64 {
	return float64(max(item.Cost, 1)) / float64(max(item.Weight, 1))
}

// pruneFinish removes organisations whose finish time is in the past; they would
// start at the current virtual time anyway. If too many are left, it also removes
// the one with the earliest finish time.
func (q *Queue[T]) pruneFinish() {
	if len(q.finish) <= maxOrganisations {
		return
	}
	oldest, oldestFinish := "", math.Inf(1)
	for organisation, finish := range q.finish {
		if finish <= q.virtualTime {
			delete(q.finish, organisation)
		} else if finish < oldestFinish {
			oldest, oldestFinish = organisation, finish
		}
	}
	if len(q.finish) > maxOrganisations {
		delete(q.finish, oldest)
	}
}

// compare returns a negative number if a runs before b.
func compare[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.start, b.start), cmp.Compare(a.seq, b.seq))
}
