package sums

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Reporters returns the number of processes of the group, other than self, whose reports
// are not stale.
func (t *Totals) Reporters(self string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for from, state := range t.sources {
		if !from.OtherGroup && !state.stale && from.Process != self {
			count++
		}
	}
	return count
}

// WorkOfOthers returns the work at some endpoints of all processes except one.
func (t *Totals) WorkOfOthers(process string, endpoints []string) []wire.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.ownWork(process)
	others := make([]wire.Work, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if e := t.entries[endpoint]; e != nil {
			others = append(others, e.without(own, endpoint))
		}
	}
	return others
}

// AllWorkOfOthers is like WorkOfOthers for every endpoint.
func (t *Totals) AllWorkOfOthers(process string) []wire.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.ownWork(process)
	others := make([]wire.Work, 0, len(t.entries))
	for endpoint, e := range t.entries {
		others = append(others, e.without(own, endpoint))
	}
	return others
}

func (t *Totals) ownWork(process string) map[string]wire.Work {
	if state := t.sources[Source{Process: process}]; state != nil && !state.stale {
		return state.work
	}
	return nil
}

func (e *entry) without(own map[string]wire.Work, endpoint string) wire.Work {
	rest := e.all.Minus(own[endpoint])
	rest.Endpoint = endpoint
	return rest
}

// Pool is the load of a pool and the time of the owner's report.
type Pool struct {
	Load wire.PoolLoad
	At   clock.Millis
}

// Pools returns the pool loads reported by all sources except one process.
func (t *Totals) Pools(except string) []Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pools(func(from Source) bool { return from != (Source{Process: except}) })
}

func (t *Totals) pools(include func(Source) bool) []Pool {
	var pools []Pool
	for from, state := range t.sources {
		if state.stale || !include(from) {
			continue
		}
		for _, load := range state.pools {
			pools = append(pools, Pool{Load: load, At: state.regularAt - load.Age})
		}
	}
	return pools
}

// PendingArrivals returns the sum of the pending arrivals of all sources except one process.
func (t *Totals) PendingArrivals(except string) []inflow.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pendingArrivals(func(from Source) bool { return from != (Source{Process: except}) })
}

func (t *Totals) pendingArrivals(include func(Source) bool) []inflow.Load {
	var loads []inflow.Load
	for from, state := range t.sources {
		if state.stale || !include(from) {
			continue
		}
		loads = addInflow(loads, state.inflow)
	}
	return loads
}

// Trials returns the sums of the trials of all sources except one process.
func (t *Totals) Trials(except string) []wire.Trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trials(func(from Source) bool { return from != (Source{Process: except}) })
}

func (t *Totals) trials(include func(Source) bool) []wire.Trial {
	sums := make(map[wire.TrialKey]wire.Trial)
	for from, state := range t.sources {
		if state.stale || !include(from) {
			continue
		}
		for _, trial := range state.trials {
			sum := sums[trial.TrialKey]
			sum.TrialKey = trial.TrialKey
			sums[trial.TrialKey] = sum.Plus(trial)
		}
	}
	return slices.Collect(maps.Values(sums))
}

// Members returns all processes that report to this one or to another aggregator,
// sorted by name.
func (t *Totals) Members() []wire.Presence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members(func(Source) bool { return true })
}

// GroupMembers returns the processes that report to this one, sorted by name.
func (t *Totals) GroupMembers() []wire.Presence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members(func(from Source) bool { return !from.OtherGroup })
}

func (t *Totals) members(include func(Source) bool) []wire.Presence {
	var present []wire.Presence
	for from, state := range t.sources {
		if !state.stale && include(from) {
			present = append(present, state.members...)
		}
	}
	slices.SortFunc(present, func(a, b wire.Presence) int { return cmp.Compare(a.Process, b.Process) })
	return present
}

// StoreRevisions returns the revisions up to which a source has read the store, and when
// it reported them.
func (t *Totals) StoreRevisions(from Source) ([]wire.Progress, clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.sources[from]
	if state == nil {
		return nil, 0
	}
	return state.progress, state.regularAt
}
