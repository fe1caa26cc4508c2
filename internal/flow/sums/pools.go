package sums

import (
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// PoolTable holds the last reported loads of pools, by name. It can be used while it is replaced.
type PoolTable struct {
	pools atomic.Pointer[map[string]Pool]
}

// Set replaces the loads. If two owners report the same pool, the newer report counts.
func (t *PoolTable) Set(all []Pool) {
	pools := make(map[string]Pool, len(all))
	for _, pool := range all {
		if other, found := pools[pool.Load.Pool]; !found || other.At < pool.At {
			pools[pool.Load.Pool] = pool
		}
	}
	t.pools.Store(&pools)
}

// Find returns the load of a pool, and false if there is no report.
func (t *PoolTable) Find(name string) (pool Pool, known bool) {
	if pools := t.pools.Load(); pools != nil {
		pool, known = (*pools)[name]
	}
	return pool, known
}

// PoolsOf returns the loads of a total that arrived at an instant.
func PoolsOf(loads []wire.PoolLoad, now clock.Millis) []Pool {
	pools := make([]Pool, 0, len(loads))
	for _, load := range loads {
		pools = append(pools, Pool{Load: load, At: now - load.Age})
	}
	return pools
}
