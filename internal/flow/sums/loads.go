package sums

import "github.com/jujubescale/jujubescale/internal/link/wire"

// Of converts the loads of one process to sums.
func Of(loads *wire.Loads, urgent bool) *wire.Sums {
	own := &wire.Sums{
		Whole: true, Urgent: urgent, Regular: true, Pools: loads.Pools, PendingArrivals: loads.PendingArrivals,
		Prefixes: loads.Prefixes, Refused: loads.Refused, Crashes: loads.Crashes, Parts: loads.Parts, Limits: loads.Limits, Owns: !loads.Leaving, HasTrials: true, Trials: loads.Trials, Speeds: loads.Speeds,
	}
	for _, load := range loads.Endpoints {
		work := wire.Work{
			Endpoint: load.Endpoint, Running: max(load.Running, 0), Prefill: max(load.Prefill, 0), Memory: max(load.Memory, 0),
			Planned: max(load.Planned, 0),
		}
		if !work.IsZero() {
			own.Work = append(own.Work, work)
		}
	}
	return own
}
