// Package relay decides through which processes reports and changes of the
// store travel, so that what one process sends and receives does not grow with
// the fleet: each process reports to one aggregator of its availability zone,
// aggregators exchange the sums of their groups, and a few of them watch the
// store for all others.
//
// Each process computes this alone from the member list. Where two processes
// see different members for a moment, a report takes another way; none is lost.
package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

const (
	// leastGroup is the smallest group that is worth an aggregator. Larger fleets
	// have groups of the square root of their size, so that an aggregator has as
	// many peers as members.
	leastGroup = 12
	// Watchers is how many processes watch the store.
	Watchers = 3
	// watchSubject ranks aggregators as watchers.
	watchSubject = "store watcher"
)

// Plan is who relays for whom, for one member list. It is immutable.
type Plan struct {
	// ByZone holds the aggregators of each availability zone, first choice first.
	ByZone map[string][]string
	// Aggregators of all zones, by name, and those of them that watch the store,
	// first choice first.
	Aggregators []string
	Watchers    []string
}

// New returns the plan for some processes.
func New(processes []owner.Process) *Plan {
	plan := &Plan{ByZone: make(map[string][]string)}
	zones := make(map[string][]owner.Process)
	for _, process := range processes {
		zones[process.Zone] = append(zones[process.Zone], process)
	}
	group := max(leastGroup, math.Sqrt(float64(len(processes))))
	for zone, members := range zones {
		count := int(math.Ceil(float64(len(members)) / group))
		names := first(ranked("aggregator/"+zone, owner.Eligible(members)), count)
		plan.ByZone[zone] = names
		plan.Aggregators = append(plan.Aggregators, names...)
	}
	slices.Sort(plan.Aggregators)
	var candidates []owner.Process
	for _, process := range processes {
		if slices.Contains(plan.Aggregators, process.Name) {
			candidates = append(candidates, process)
		}
	}
	plan.Watchers = first(ranked(watchSubject, candidates), Watchers)
	return plan
}

// IsAggregator reports whether a process is an aggregator.
func (p *Plan) IsAggregator(name string) bool {
	_, found := slices.BinarySearch(p.Aggregators, name)
	return found
}

// AggregatorFor returns the aggregator that a process reports to: one of its zone, or of
// any zone if its own has none. Avoid excludes aggregators that do not answer.
func (p *Plan) AggregatorFor(name, zone string, avoid func(aggregator string) bool) string {
	for _, candidates := range [][]string{p.ByZone[zone], p.Aggregators} {
		best := ""
		var top uint64
		for _, candidate := range candidates {
			if candidate == name || avoid(candidate) {
				continue
			}
			if weight := owner.Weight(name, candidate); best == "" || weight > top {
				best, top = candidate, weight
			}
		}
		if best != "" {
			return best
		}
	}
	return ""
}

// ranked returns processes by their weight for a subject, highest first.
func ranked(subject string, processes []owner.Process) []owner.Process {
	all := slices.Clone(processes)
	slices.SortFunc(all, func(a, b owner.Process) int {
		return cmp.Or(cmp.Compare(owner.Weight(subject, b.Key), owner.Weight(subject, a.Key)), cmp.Compare(a.Key, b.Key))
	})
	return all
}

func first(processes []owner.Process, count int) []string {
	var names []string
	for _, process := range processes[:min(count, len(processes))] {
		names = append(names, process.Name)
	}
	return names
}
