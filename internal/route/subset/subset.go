// Package subset chooses which endpoints of a large pool a process normally uses.
//
// With hundreds of processes and endpoints, a process that considers all of them
// opens a connection to each, learns of each failure by itself, and sees an idle
// endpoint at the same moment as all other processes, which then all send to it.
// A subset is stable: it follows from names alone, and changes by one endpoint
// when one joins or leaves.
package subset

import (
	"cmp"
	"slices"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

const (
	// MaxWholePool is the largest pool that is used as a whole.
	MaxWholePool = 30
	// users is how many processes an endpoint should have on average, so that none
	// is left without any.
	users = 10
	// least and most bound a subset. Half of it stands in the process's own
	// availability zone.
	least = 24
	most  = 96
)

// Endpoint is one endpoint of a pool.
type Endpoint struct {
	ID   string
	Zone string
}

// Of returns the positions of the endpoints that one of some processes uses, by
// its name and availability zone, in ascending order.
func Of(process, zone string, processes int, endpoints []Endpoint) []int {
	size := min(max(users*len(endpoints)/max(processes, 1), least), most)
	near, far := size/2, size/2
	byZone := make(map[string][]int)
	for i, e := range endpoints {
		byZone[e.Zone] = append(byZone[e.Zone], i)
	}
	if len(endpoints) <= MaxWholePool {
		return everyone(endpoints)
	}
	others := len(byZone)
	if byZone[zone] != nil {
		others--
	}
	var chosen []int
	for name, members := range byZone {
		count := near
		if name != zone {
			count = (far + others - 1) / others
			if byZone[zone] == nil {
				count += near / others
			}
		}
		chosen = append(chosen, top(process, endpoints, members, count)...)
	}
	slices.Sort(chosen)
	return chosen
}

func everyone(endpoints []Endpoint) []int {
	all := make([]int, len(endpoints))
	for i := range all {
		all[i] = i
	}
	return all
}

// top returns the members with the highest weights for a process.
func top(process string, endpoints []Endpoint, members []int, count int) []int {
	type weighted struct {
		at     int
		weight uint64
	}
	all := make([]weighted, len(members))
	for i, at := range members {
		all[i] = weighted{at: at, weight: owner.Weight(process, endpoints[at].ID)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(endpoints[a.at].ID, endpoints[b.at].ID))
	})
	chosen := make([]int, min(count, len(all)))
	for i := range chosen {
		chosen[i] = all[i].at
	}
	return chosen
}
