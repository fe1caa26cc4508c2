// Package extra limits how many requests are sent to a pool a second time. The
// limit holds for all processes together; each process applies its own part of it
// without coordination.
package extra

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/quota"
)

const (
	// localShare is the part of the extras earned by a process's own requests that
	// the process may use. The rest is for requests that were counted by one
	// process and sent again by another.
	localShare = 0.5
	// burstShare is the part of Bounds.Base that a process can save up, divided by
	// the number of processes, and refillShare the part that is refilled within
	// each window. At most their sum is used within a window; the remaining quarter
	// covers what a restarted process used before it stopped.
	burstShare  = 0.5
	refillShare = 0.25
	// initialExtras is the number of extras that a process starts with. It is
	// small, because the previous run of the process may have used its extras
	// just before.
	initialExtras = 1
	// thousandths is the number of quota units for one extra.
	thousandths = 1000
)

// Bounds limits the requests that all processes together may send a second time.
type Bounds struct {
	// Share is the allowed share of a pool's requests. Base is the number of
	// requests allowed in addition within each Window.
	Share  float64
	Base   float64
	Window clock.Millis
}

// poolPart is this process's part of the bounds for one pool.
type poolPart struct {
	quota      *quota.Quota
	refilledAt clock.Millis
	// movedOut is set once the part was moved to another process, which gets the refill
	// from then on.
	movedOut bool
}

// Budget is this process's part of the bounds, for each pool. It is safe for
// concurrent use.
type Budget struct {
	clock     *clock.Clock
	bounds    func() Bounds
	processes func() int

	mu     sync.Mutex
	byPool map[string]*poolPart
}

// New returns a budget. processes returns the number of processes that share the
// bounds.
func New(c *clock.Clock, bounds func() Bounds, processes func() int) *Budget {
	return &Budget{clock: c, bounds: bounds, processes: processes, byPool: make(map[string]*poolPart)}
}

// Drain sets this process's part for a pool to zero, which moves it to another process,
// and returns it in thousandths of an extra. The part is not refilled with time until
// Receive or Earn is called, because the other process has the refill.
func (b *Budget) Drain(pool string) int64 {
	q := b.refilledQuota(pool)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byPool[pool].movedOut = true
	return q.Drain()
}

// Receive adds to this process's part for a pool what another process moved to it with
// Drain. The part stays within its maximum; what exceeds it is lost.
func (b *Budget) Receive(pool string, thousandths int64) {
	q := b.refilledQuota(pool)
	b.reopen(pool)
	q.Add(max(thousandths, 0))
}

// reopen makes a part refill with time from now on, after it was moved.
func (b *Budget) reopen(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.byPool[pool]; p.movedOut {
		p.movedOut, p.refilledAt = false, b.clock.Now()
	}
}

// refilledQuota returns the quota of a pool after adding the extras that are due
// since the last call.
func (b *Budget) refilledQuota(pool string) *quota.Quota {
	b.mu.Lock()
	defer b.mu.Unlock()
	bounds, now := b.bounds(), b.clock.Now()
	base := bounds.Base / float64(max(b.processes(), 1))
	share, maximum := int64(localShare*bounds.Share*thousandths), max(int64(burstShare*base), initialExtras)
	p := b.byPool[pool]
	if p == nil {
		p = &poolPart{quota: quota.New(share, initialExtras, maximum), refilledAt: now}
		b.byPool[pool] = p
	}
	p.quota.SetBounds(share, maximum)
	if bounds.Window <= 0 || p.movedOut {
		return p.quota
	}
	added := int64(refillShare * base * thousandths * float64(now-p.refilledAt) / float64(bounds.Window))
	if added > 0 {
		p.quota.Add(added)
		p.refilledAt = now
	}
	return p.quota
}

// Earn counts one ordinary request to a pool, which adds to the budget. A part that was
// moved to another process is refilled with time again, because requests come here again.
func (b *Budget) Earn(pool string) {
	q := b.refilledQuota(pool)
	b.reopen(pool)
	q.Earn()
}

// Take takes one extra from a pool's budget and reports whether one was available,
// that is, whether a request may be sent again.
func (b *Budget) Take(pool string) bool { return b.refilledQuota(pool).Take() }

// Return gives back an extra of a pool's budget that was taken and not used.
func (b *Budget) Return(pool string) { b.refilledQuota(pool).Add(thousandths) }

// TakeMany takes a number of extras from a pool's budget, or none if fewer are available.
// It reports whether it took them.
func (b *Budget) TakeMany(pool string, count int) bool {
	return b.refilledQuota(pool).TakeMany(int64(count))
}
