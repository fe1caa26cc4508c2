// Package relay decides through which processes reports and store changes travel, so
// that the traffic of a process does not grow with the fleet: each process reports to
// one aggregator in its availability zone, aggregators exchange the sums of their
// groups, and a few of them watch the store for all others.
//
// Each process computes the plan alone from the list of members. While two processes
// see different members, a report takes another route; none is lost.
package relay

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

const (
	// minGroup is the smallest group that has its own aggregator. In larger fleets,
	// the group size is the square root of the number of processes, so that an
	// aggregator has as many peers as members.
	minGroup = 12
	// Watchers is the number of processes that watch the store.
	Watchers = 3
	// minWatchers is the number of watchers in fleets with fewer aggregators on large hosts: one
	// may end, and the others need a peer that still relays changes.
	minWatchers = 2
	// minKeepers is the number of processes that keep the origins of streams in fleets with
	// fewer aggregators: two of them may end at the same moment.
	minKeepers = 6
	// keepSubject is the hash subject that ranks the processes that keep origins besides the
	// aggregators.
	keepSubject = "origin keeper"
	// watchSubject is the hash subject that ranks aggregators as watchers.
	watchSubject = "store watcher"
)

// Plan assigns the aggregators and watchers for one list of members. It is immutable.
type Plan struct {
	// ByZone holds the aggregators of each availability zone by rank.
	ByZone map[string][]string
	// Aggregators holds the names of the aggregators in all zones, sorted. Watchers
	// holds those that watch the store, by rank.
	Aggregators []string
	Watchers    []string
	// Keepers holds the processes that keep the origins of streams, sorted: the aggregators
	// and, in small fleets, others.
	Keepers []string
	// id tells plans apart in logs.
	id string
}

// New returns the plan for a list of processes.
func New(processes []owner.Process) *Plan {
	plan := &Plan{ByZone: make(map[string][]string)}
	zones := make(map[string][]owner.Process)
	for _, process := range processes {
		zones[process.Zone] = append(zones[process.Zone], process)
	}
	group := max(minGroup, math.Sqrt(float64(len(processes))))
	for zone, members := range zones {
		count := int(math.Ceil(float64(len(members)) / group))
		names := firstNames(rankByWeight("aggregator/"+zone, owner.Eligible(members)), count)
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
	plan.Watchers = watchers(candidates)
	plan.Keepers = keepers(plan.Aggregators, processes)
	plan.id = fmt.Sprintf("%04x", uint16(owner.Weight(strings.Join(plan.Aggregators, " "), strings.Join(plan.Watchers, " "))))
	return plan
}

// Role returns the role of a process and four hexadecimal digits that tell the plan apart from others, such as "watcher:3f0a".
// Processes that log different ones for the same instant see different members.
func (p *Plan) Role(name string) string {
	role := "follower"
	switch {
	case slices.Contains(p.Watchers, name):
		role = "watcher"
	case p.IsAggregator(name):
		role = "aggregator"
	}
	return role + ":" + p.id
}

// minLiveKeepers is the number of keepers of origins below which processes that are absent or
// leaving keep them, too: while all processes are being stopped, these still serve.
const minLiveKeepers = 3

// KeepersWith returns the keepers, or those of the plan that includes processes which are absent or leaving.
func (p *Plan) KeepersWith(others func() *Plan) []string {
	if len(p.Keepers) < minLiveKeepers {
		return others().Keepers
	}
	return p.Keepers
}

// watchers returns the aggregators that watch the store. One on a small host, whose zone has no
// larger one, only watches if there are fewer than minWatchers others.
func watchers(aggregators []owner.Process) []string {
	ranked := rankByWeight(watchSubject, owner.Eligible(aggregators))
	if len(ranked) < minWatchers {
		ranked = rankByWeight(watchSubject, aggregators)
		slices.SortStableFunc(ranked, func(a, b owner.Process) int { return cmp.Compare(b.Capacity, a.Capacity) })
		ranked = ranked[:min(minWatchers, len(ranked))]
	}
	return firstNames(ranked, Watchers)
}

// keepers returns the aggregators and, if these are fewer than minKeepers, other processes.
func keepers(aggregators []string, processes []owner.Process) []string {
	if len(aggregators) >= minKeepers {
		return aggregators
	}
	names := slices.Clone(aggregators)
	for _, process := range rankByWeight(keepSubject, owner.Eligible(processes)) {
		if len(names) < minKeepers && !slices.Contains(names, process.Name) {
			names = append(names, process.Name)
		}
	}
	slices.Sort(names)
	return names
}

// IsAggregator reports whether a process is an aggregator.
func (p *Plan) IsAggregator(name string) bool {
	_, found := slices.BinarySearch(p.Aggregators, name)
	return found
}

// AggregatorFor returns the aggregator that a process reports to: one in its zone or,
// if there is none, in any zone. It returns "" if no aggregator is left. avoid reports
// the aggregators to skip, such as those that don't answer.
func (p *Plan) AggregatorFor(name, zone string, avoid func(aggregator string) bool) string {
	for _, candidates := range [][]string{p.ByZone[zone], p.Aggregators} {
		best := ""
		var topWeight uint64
		for _, candidate := range candidates {
			if candidate == name || avoid(candidate) {
				continue
			}
			if weight := owner.Weight(name, candidate); best == "" || weight > topWeight {
				best, topWeight = candidate, weight
			}
		}
		if best != "" {
			return best
		}
	}
	return ""
}

// rankByWeight returns the processes by their weight for a subject, highest first.
func rankByWeight(subject string, processes []owner.Process) []owner.Process {
	all := slices.Clone(processes)
	slices.SortFunc(all, func(a, b owner.Process) int {
		return cmp.Or(cmp.Compare(owner.Weight(subject, b.Key), owner.Weight(subject, a.Key)), cmp.Compare(a.Key, b.Key))
	})
	return all
}

func firstNames(processes []owner.Process, count int) []string {
	var names []string
	for _, process := range processes[:min(count, len(processes))] {
		names = append(names, process.Name)
	}
	return names
}
