// Package extra bounds how many requests are sent once more, for each pool. The
// bound holds for all processes together; each decides alone by its part of it.
package extra

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/flow/quota"
)

// Shares of the budget for requests that are sent once more. The budget holds
// for all processes together, and each sees only its own part of the requests.
const (
	// ownShare of what a process's own requests earn is spent by it: the rest is
	// for requests that were counted here and sent again by another process.
	ownShare = 0.5
	// spareShare of the spare budget is divided among the processes.
	spareShare = 0.5
	// firstExtras is what a process starts with: the one before it may have
	// spent the rest a moment ago.
	firstExtras = 1
	// perEvent is a whole extra in the quota's thousandths.
	perEvent = 1000
)

// Bounds are what all processes together may send once more.
type Bounds struct {
	// Share of a pool's requests, and Spare requests besides.
	Share float64
	Spare float64
}

// Budget is this process's part, pool by pool.
type Budget struct {
	bounds    func() Bounds
	processes func() int

	mu     sync.Mutex
	byPool map[string]*quota.Quota
}

// New returns a budget; processes is how many share the bounds.
func New(bounds func() Bounds, processes func() int) *Budget {
	return &Budget{bounds: bounds, processes: processes, byPool: make(map[string]*quota.Quota)}
}

func (b *Budget) of(pool string) *quota.Quota {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.byPool[pool]
	if known == nil {
		bounds := b.bounds()
		most := max(int64(spareShare*bounds.Spare/float64(max(b.processes(), 1))), firstExtras)
		known = quota.New(int64(ownShare*bounds.Share*perEvent), firstExtras, most)
		b.byPool[pool] = known
	}
	return known
}

// Earn counts one ordinary request to a pool.
func (b *Budget) Earn(pool string) { b.of(pool).Earn() }

// Take reports whether a request may be sent to a pool once more, and spends
// that.
func (b *Budget) Take(pool string) bool { return b.of(pool).Take() }
