package gate

import (
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/route/subset"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// subsets holds this process's subset of each pool for the current snapshot of the
// endpoints.
type subsets struct {
	process, zone string
	processes     func() int
	current       atomic.Pointer[poolSubsets]
}

type poolSubsets struct {
	snapshot *view.Snapshot
	// ids are the endpoints of all subsets; nil while every pool is used as a whole.
	ids    atomic.Pointer[[]string]
	byPool sync.Map // subsetKey to []int
}

// subsetKey identifies the endpoints of one version of a pool.
type subsetKey struct{ pool, version string }

// positions returns the indexes, within members, of the endpoints in this process's subset.
// All members are of one pool and version.
func (s *subsets) positions(endpoints *view.Snapshot, pool string, members []*view.Endpoint) []int {
	key := subsetKey{pool: pool}
	if len(members) > 0 {
		key.version = members[0].Version
	}
	current := s.current.Load()
	if current == nil || current.snapshot != endpoints {
		current = &poolSubsets{snapshot: endpoints}
		s.current.Store(current)
	}
	if chosen, found := current.byPool.Load(key); found {
		return chosen.([]int)
	}
	all := make([]subset.Endpoint, 0, len(members))
	for _, e := range members {
		all = append(all, subset.Endpoint{ID: e.ID, Zone: e.Zone})
	}
	chosen := subset.Of(s.process, s.zone, s.processes(), all)
	current.byPool.Store(key, chosen)
	return chosen
}

// endpointIDs returns the ids of the subset's endpoints over all pools that take requests,
// or nil while each pool is used as a whole.
func (s *subsets) endpointIDs(endpoints *view.Snapshot, routes *table.Table) []string {
	if endpoints == nil || routes == nil {
		return nil
	}
	if current := s.current.Load(); current != nil && current.snapshot == endpoints {
		if ids := current.ids.Load(); ids != nil {
			return *ids
		}
	}
	var ids []string
	divided := false
	for _, pool := range routes.Pools() {
		if pool.Batching != nil {
			continue
		}
		members := endpoints.Pool(pool.Name)
		chosen := s.positions(endpoints, pool.Name, members)
		divided = divided || len(chosen) < len(members)
		for _, position := range chosen {
			ids = append(ids, members[position].ID)
		}
	}
	if !divided {
		ids = nil
	}
	if current := s.current.Load(); current != nil && current.snapshot == endpoints {
		current.ids.Store(&ids)
	}
	return ids
}
