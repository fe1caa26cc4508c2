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

// subsetKey identifies a pool's endpoints of the version in force, or the candidates of its rollout.
type subsetKey struct {
	pool       string
	candidates bool
}

// choose returns the endpoints of a key and the indexes of those in this process's subset.
func (s *subsets) choose(endpoints *view.Snapshot, key subsetKey) (members []*view.Endpoint, chosen []int) {
	if members = endpoints.Pool(key.pool); key.candidates {
		members = endpoints.Candidates(key.pool)
	}
	current := s.current.Load()
	if current == nil || current.snapshot != endpoints {
		current = &poolSubsets{snapshot: endpoints}
		s.current.Store(current)
	}
	if known, found := current.byPool.Load(key); found {
		return members, known.([]int)
	}
	all := make([]subset.Endpoint, 0, len(members))
	for _, e := range members {
		all = append(all, subset.Endpoint{ID: e.ID, Zone: e.Zone})
	}
	chosen = subset.Of(s.process, s.zone, s.processes(), all)
	current.byPool.Store(key, chosen)
	return members, chosen
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
		members, chosen := s.choose(endpoints, subsetKey{pool: pool.Name})
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
