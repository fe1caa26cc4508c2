// Package extra bounds how many requests are sent once more, for each pool. The
// bound holds for all processes together; each decides alone by its part of it.
package extra

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/quota"
)

// Shares of the budget for requests that are sent once more. The budget holds
// for all processes together, and each sees only its own part of the requests.
const (
	// ownShare of what a process's own requests earn is spent by it: the rest is
	// for requests that were counted here and sent again by another process.
	ownShare = 0.5
	// spareShare of the spare budget is divided among the processes, and
	// refillShare of it comes back within each window. A window sees at most both
	// of them; what a process spent that was restarted fits beside.
	spareShare  = 0.5
	refillShare = 0.25
	// firstExtras is what a process starts with: the one before it may have
	// spent the rest a moment ago.
	firstExtras = 1
	// perEvent is a whole extra in the quota's thousandths.
	perEvent = 1000
)

// Bounds are what all processes together may send once more.
type Bounds struct {
	// Share of a pool's requests, and Spare requests besides within each Window.
	Share  float64
	Base   float64
	Window clock.Millis
}

// part is this process's part for one pool.
type part struct {
	quota    *quota.Quota
	refilled clock.Millis
}

// Budget is this process's part, pool by pool.
type Budget struct {
	clock     *clock.Clock
	bounds    func() Bounds
	processes func() int

	mu     sync.Mutex
	byPool map[string]*part
}

// New returns a budget; processes is how many share the bounds.
func New(c *clock.Clock, bounds func() Bounds, processes func() int) *Budget {
	return &Budget{clock: c, bounds: bounds, processes: processes, byPool: make(map[string]*part)}
}

// of returns the quota of a pool with what time has added to it.
func (b *Budget) of(pool string) *quota.Quota {
	b.mu.Lock()
	defer b.mu.Unlock()
	bounds, now := b.bounds(), b.clock.Now()
	spare := bounds.Base / float64(max(b.processes(), 1))
	known := b.byPool[pool]
	if known == nil {
		most := max(int64(spareShare*spare), firstExtras)
		known = &part{quota: quota.New(int64(ownShare*bounds.Share*perEvent), firstExtras, most), refilled: now}
		b.byPool[pool] = known
	}
	if bounds.Window <= 0 {
		return known.quota
	}
	added := int64(refillShare * spare * perEvent * float64(now-known.refilled) / float64(bounds.Window))
	if added > 0 {
		known.quota.Add(added)
		known.refilled = now
	}
	return known.quota
}

// Earn counts one ordinary request to a pool.
func (b *Budget) Earn(pool string) { b.of(pool).Earn() }

// Take reports whether a request may be sent to a pool once more, and spends
// that.
func (b *Budget) Take(pool string) bool { return b.of(pool).Take() }
