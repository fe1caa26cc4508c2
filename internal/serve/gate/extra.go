package gate

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

// extras bounds, for each pool, how many requests are sent once more.
type extras struct {
	gate   *Gate
	mu     sync.Mutex
	byPool map[string]*quota.Quota
}

func (x *extras) init(g *Gate) {
	x.gate = g
	x.byPool = make(map[string]*quota.Quota)
}

func (x *extras) of(pool string) *quota.Quota {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.byPool[pool]
	if known == nil {
		alive := float64(max(len(x.gate.mesh.Alive()), 1))
		most := max(int64(spareShare*x.gate.bounds.Load().ExtraSpare/alive), firstExtras)
		known = quota.New(int64(ownShare*x.gate.bounds.Load().ExtraShare*perEvent), firstExtras, most)
		x.byPool[pool] = known
	}
	return known
}

// Earn counts one ordinary request to a pool.
func (g *Gate) Earn(pool string) { g.extras.of(pool).Earn() }

// Extra reports whether a request may be sent to a pool once more, and spends
// that.
func (g *Gate) Extra(pool string) bool { return g.extras.of(pool).Take() }
