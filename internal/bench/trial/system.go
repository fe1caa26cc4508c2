package trial

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/bench/drive"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/bench/tally"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
	"github.com/jujubescale/jujubescale/internal/serve/entry"
	"github.com/jujubescale/jujubescale/internal/serve/runs"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// Product is the system as it is.
func Product() System { return System{Name: "jujubescale"} }

// Baseline is round robin with plain retries and without limits at the agents.
func Baseline() System {
	return System{Name: "baseline", Options: []whole.Option{
		whole.WithEntryOptions(entry.WithRuns(runs.WithBaseline())),
		whole.WithAgentOptions(agent.WithoutLimits()),
	}}
}

// Remote puts the load of an experiment on running entries. Cost by stage and
// runs are seen by the endpoints alone and stay empty; faults are not caused.
func Remote(ctx context.Context, e *plan.Experiment, urls []string, progress func(drive.Progress)) (*tally.Result, error) {
	driver := drive.New(func() []string { return urls }, drive.WithProgress(progress))
	if err := driver.Probe(ctx, e); err != nil {
		return nil, err
	}
	records := driver.Run(ctx, e, func() {})
	result := &tally.Result{Experiment: e.Name, System: "running", RatePerSecond: e.Rate(), Allowed: e.Allows()}
	const second = 1000
	result.Requests(records, (e.DurationMs+second-1)/second)
	return result, nil
}
