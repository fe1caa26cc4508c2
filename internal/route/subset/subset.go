// Package subset chooses which endpoints of a large pool a process normally uses.
//
// Without subsets, each of hundreds of processes would open a connection to each of
// hundreds of endpoints and detect each failure on its own, and all processes would
// send to an idle endpoint at the same moment. A subset follows from names alone, and
// changes by one endpoint when one joins or leaves.
package subset

import (
	"cmp"
	"slices"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

const (
	// MaxWholePool is the size of the largest pool whose endpoints are all used.
	MaxWholePool = 30
	// usersPerEndpoint is the mean number of processes that use an endpoint. It is
	// large enough that practically no endpoint is unused.
	usersPerEndpoint = 10
	// minSubset and maxSubset limit the size of a subset. Half of a subset is in the
	// process's own availability zone.
	minSubset = 24
	maxSubset = 96
)

// Endpoint is an endpoint of a pool.
type Endpoint struct {
	ID   string
	Zone string
}

// Of returns the indexes of the endpoints that a process uses, in ascending order.
// processes is the number of processes that share the pool.
func Of(process, zone string, processes int, endpoints []Endpoint) []int {
	size := sizeOf(processes, len(endpoints))
	nearCount, farCount := size/2, size/2
	byZone := make(map[string][]int)
	for i, e := range endpoints {
		byZone[e.Zone] = append(byZone[e.Zone], i)
	}
	if len(endpoints) <= MaxWholePool {
		return allIndexes(endpoints)
	}
	otherZoneCount := len(byZone)
	if byZone[zone] != nil {
		otherZoneCount--
	}
	var chosen []int
	for name, members := range byZone {
		count := nearCount
		if name != zone {
			count = (farCount + otherZoneCount - 1) / otherZoneCount
			if byZone[zone] == nil {
				count += nearCount / otherZoneCount
			}
		}
		chosen = append(chosen, topWeighted(process, endpoints, members, count)...)
	}
	slices.Sort(chosen)
	return chosen
}

// sizeOf returns the size of the subsets of a pool.
func sizeOf(processes, endpoints int) int {
	return min(max(usersPerEndpoint*endpoints/max(processes, 1), minSubset), maxSubset)
}

// Users returns the mean number of processes that use an endpoint of a pool, rounded up, at least 1.
// A limit of an endpoint is divided by it.
func Users(processes, endpoints int) int {
	processes = max(processes, 1)
	if endpoints <= MaxWholePool {
		return processes
	}
	return min((processes*sizeOf(processes, endpoints)+endpoints-1)/endpoints, processes)
}

func allIndexes(endpoints []Endpoint) []int {
	all := make([]int, len(endpoints))
	for i := range all {
		all[i] = i
	}
	return all
}

// topWeighted returns the members with the highest weights for a process.
func topWeighted(process string, endpoints []Endpoint, members []int, count int) []int {
	type weighted struct {
		index  int
		weight uint64
	}
	all := make([]weighted, len(members))
	for i, index := range members {
		all[i] = weighted{index: index, weight: owner.Weight(process, endpoints[index].ID)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(endpoints[a.index].ID, endpoints[b.index].ID))
	})
	chosen := make([]int, min(count, len(all)))
	for i := range chosen {
		chosen[i] = all[i].index
	}
	return chosen
}
