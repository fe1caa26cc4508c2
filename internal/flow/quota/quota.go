// Package quota bounds extra work (retries, hedges) as a share of ordinary
// work: each ordinary event earns a fraction of one extra.
package quota

import "sync/atomic"

// unit is one extra in the counter's units.
const unit = 1000

// Quota counts extras that may still be spent. It takes no lock.
type Quota struct {
	have  atomic.Int64
	share int64
	most  int64
}

// New returns a quota that earns share thousandths of an extra with each
// event, starts with some extras and saves up no more than most.
func New(share, start, most int64) *Quota {
	q := &Quota{share: share, most: most * unit}
	q.have.Store(start * unit)
	return q
}

// Earn adds the share of one event.
func (q *Quota) Earn() { q.Add(q.share) }

// Add adds thousandths of an extra that no event has earned.
func (q *Quota) Add(thousandths int64) {
	if q.have.Load() < q.most {
		q.have.Add(thousandths)
	}
}

// Take spends one extra and reports whether there was one.
func (q *Quota) Take() bool {
	for {
		have := q.have.Load()
		if have < unit {
			return false
		}
		if q.have.CompareAndSwap(have, have-unit) {
			return true
		}
	}
}
