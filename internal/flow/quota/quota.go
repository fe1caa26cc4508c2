// Package quota limits extra work, such as retries and hedges, to a share of the
// ordinary work: each ordinary event adds a fraction of one extra to a counter.
package quota

import "sync/atomic"

// unitsPerExtra is the number of counter units for one extra.
const unitsPerExtra = 1000

// Quota counts the extras that are available. It is safe for concurrent use and
// takes no lock.
type Quota struct {
	available atomic.Int64
	share     atomic.Int64
	maximum   atomic.Int64
}

// New returns a quota that starts with the given number of extras and adds share
// thousandths of an extra for each event. Nothing is added while the maximum is
// available.
func New(share, start, maximum int64) *Quota {
	q := &Quota{}
	q.SetBounds(share, maximum)
	q.available.Store(start * unitsPerExtra)
	return q
}

// SetBounds replaces the share and the maximum. Extras above the new maximum are lost.
func (q *Quota) SetBounds(share, maximum int64) {
	q.share.Store(share)
	q.maximum.Store(maximum * unitsPerExtra)
	q.Add(0)
}

// Earn adds the share of one event.
func (q *Quota) Earn() { q.Add(q.share.Load()) }

// Add adds thousandths of an extra without an event, up to the maximum.
func (q *Quota) Add(thousandths int64) {
	for {
		available := q.available.Load()
		maximum := q.maximum.Load()
		sum := min(available+min(thousandths, maximum), maximum) // thousandths may be stated by a peer
		if sum == available || q.available.CompareAndSwap(available, sum) {
			return
		}
	}
}

// Take takes one extra and reports whether one was available.
func (q *Quota) Take() bool { return q.TakeMany(1) }

// TakeMany takes a number of extras, or none if fewer are available. It reports whether
// it took them.
func (q *Quota) TakeMany(count int64) bool {
	for {
		available := q.available.Load()
		if available < count*unitsPerExtra {
			return false
		}
		if q.available.CompareAndSwap(available, available-count*unitsPerExtra) {
			return true
		}
	}
}

// Drain takes everything that is available and returns it, in thousandths of an extra.
func (q *Quota) Drain() int64 { return q.available.Swap(0) }
