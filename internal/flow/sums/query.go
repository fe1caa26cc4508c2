package sums

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Reporters returns how many processes of the group are heard besides one.
func (b *Totals) Reporters(self string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for from, known := range b.sources {
		if !from.OtherGroup && !known.silent && from.Process != self {
			count++
		}
	}
	return count
}

// WorkOfOthers returns the work of all but one process of the group at some endpoints.
func (b *Totals) WorkOfOthers(process string, endpoints []string) []wire.Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.ownOf(process)
	others := make([]wire.Work, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if e := b.entries[endpoint]; e != nil {
			others = append(others, e.without(own, endpoint))
		}
	}
	return others
}

// AllWorkOfOthers is Others of every endpoint.
func (b *Totals) AllWorkOfOthers(process string) []wire.Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.ownOf(process)
	others := make([]wire.Work, 0, len(b.entries))
	for endpoint, e := range b.entries {
		others = append(others, e.without(own, endpoint))
	}
	return others
}

func (b *Totals) ownOf(process string) map[string]wire.Work {
	if known := b.sources[Source{Process: process}]; known != nil && !known.silent {
		return known.work
	}
	return nil
}

func (e *entry) without(own map[string]wire.Work, endpoint string) wire.Work {
	left := e.all.Minus(own[endpoint])
	left.Endpoint = endpoint
	return left
}

// Pool is what an owner said of a pool, and when.
type Pool struct {
	Load wire.PoolLoad
	At   clock.Millis
}

// Pools returns what all but one process of the group said of their pools.
func (b *Totals) Pools(except string) []Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pools(func(from Source) bool { return from != (Source{Process: except}) })
}

func (b *Totals) pools(take func(Source) bool) []Pool {
	var pools []Pool
	for from, known := range b.sources {
		if known.silent || !take(from) {
			continue
		}
		for _, load := range known.pools {
			pools = append(pools, Pool{Load: load, At: known.poolsAt - load.Age})
		}
	}
	return pools
}

// PendingArrivals returns the sum of what all but one process of the group say will come.
func (b *Totals) PendingArrivals(except string) []inflow.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inflow(func(from Source) bool { return from != (Source{Process: except}) })
}

func (b *Totals) inflow(take func(Source) bool) []inflow.Load {
	var loads []inflow.Load
	for from, known := range b.sources {
		if known.silent || !take(from) {
			continue
		}
		loads = addInflow(loads, known.inflow)
	}
	return loads
}

// Trials returns the sums of the trials of all but one process of the group.
func (b *Totals) Trials(except string) []wire.Trial {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.trials(func(from Source) bool { return from != (Source{Process: except}) })
}

func (b *Totals) trials(take func(Source) bool) []wire.Trial {
	sums := make(map[wire.TrialKey]wire.Trial)
	for from, known := range b.sources {
		if known.silent || !take(from) {
			continue
		}
		for _, trial := range known.trials {
			sum := sums[trial.TrialKey]
			sum.TrialKey = trial.TrialKey
			sums[trial.TrialKey] = sum.Plus(trial)
		}
	}
	return slices.Collect(maps.Values(sums))
}

// Members returns all processes that report to this one or to another
// aggregator.
func (b *Totals) Members() []wire.Presence {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.present(func(Source) bool { return true })
}

// GroupMembers returns the processes that report to this one.
func (b *Totals) GroupMembers() []wire.Presence {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.present(func(from Source) bool { return !from.OtherGroup })
}

func (b *Totals) present(take func(Source) bool) []wire.Presence {
	var present []wire.Presence
	for from, known := range b.sources {
		if !known.silent && take(from) {
			present = append(present, known.members...)
		}
	}
	slices.SortFunc(present, func(a, b wire.Presence) int { return cmp.Compare(a.Process, b.Process) })
	return present
}

// StoreRevisions returns how far a source has followed the store, and when it said so.
func (b *Totals) StoreRevisions(from Source) ([]wire.Seen, clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.sources[from]
	if known == nil {
		return nil, 0
	}
	return known.seen, known.poolsAt
}
