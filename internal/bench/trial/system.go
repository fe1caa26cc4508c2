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

// Product returns the unmodified system.
func Product() System { return System{Name: "jujubescale"} }

// Baseline returns a system with round-robin routing, simple retries and no limits at the
// agents.
func Baseline() System {
	return System{Name: "baseline", Options: []whole.Option{
		whole.WithEntryOptions(entry.WithRuns(runs.WithBaseline())),
		whole.WithAgentOptions(agent.WithoutLimits()),
	}}
}

// Remote sends the load of an experiment to running entries. It injects no faults. Costs by
// stage and counts of runs stay empty, because only the endpoints can measure them.
func Remote(ctx context.Context, e *plan.Experiment, urls []string, progress func(drive.Progress)) (*tally.Result, error) {
	driver := drive.New(func() []string { return urls }, drive.WithProgress(progress))
	if err := driver.AwaitReady(ctx, e); err != nil {
		return nil, err
	}
	records := driver.Run(ctx, e, func() {})
	result := &tally.Result{Experiment: e.Name, System: "running", RatePerSecond: e.Rate(), AttainableShare: e.AttainableShare()}
	const second = 1000
	result.AddRequests(records, (e.DurationMs+second-1)/second)
	return result, nil
}
