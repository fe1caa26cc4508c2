package devel

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/bench/drive"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/bench/tally"
	"github.com/jujubescale/jujubescale/internal/bench/trial"
)

// loadOptions are the flags of `jujubedev load`.
type loadOptions struct {
	urls     []string
	load     float64
	rate     float64
	duration int
	result   string
	profile  string
}

func newLoad() *cobra.Command {
	var options loadOptions
	command := &cobra.Command{
		Use:   "load EXPERIMENT",
		Short: "Sends the load of an experiment to an embedded system or to running entries",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return runLoad(ctx, command.OutOrStdout(), command.ErrOrStderr(), args[0], options)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.urls, "url", nil, "base URL of a running entry (repeatable); an embedded system is used if empty")
	flags.Float64Var(&options.load, "load", 0, "offered load as a share of capacity; overrides that of the experiment")
	flags.Float64Var(&options.rate, "rate", 0, "offered requests per second; overrides the load of the experiment")
	flags.IntVar(&options.duration, "duration-ms", 0, "length of the measurement; overrides that of the experiment")
	flags.StringVar(&options.result, "result", "", "file for the result as JSON")
	flags.StringVar(&options.profile, "cpu-profile", "", "file for a CPU profile; `go tool pprof -tags FILE` shows it by role")
	return command
}

func runLoad(ctx context.Context, out, progress io.Writer, file string, options loadOptions) error {
	experiment, err := plan.Read(file)
	if err != nil {
		return err
	}
	if err := options.apply(experiment); err != nil {
		return err
	}
	stop, err := startProfile(options.profile)
	if err != nil {
		return err
	}
	result, err := runOne(ctx, experiment, options.urls, progress)
	stop()
	if err != nil {
		return err
	}
	printResult(out, result)
	if options.result == "" {
		return nil
	}
	return writeResult(options.result, result)
}

// startProfile writes a CPU profile to a file until the returned function is called. If
// file is empty, it does nothing.
func startProfile(file string) (func(), error) {
	if file == "" {
		return func() {}, nil
	}
	target, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(target); err != nil {
		return nil, errors.Join(err, target.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = target.Close()
	}, nil
}

// apply overrides settings of the experiment with the flags that are set.
func (o *loadOptions) apply(e *plan.Experiment) error {
	if o.load > 0 {
		e.Load, e.RatePerSecond = o.load, 0
	}
	if o.rate > 0 {
		e.RatePerSecond = o.rate
	}
	if o.duration > 0 {
		e.DurationMs = o.duration
	}
	return plan.Fill(e)
}

func runOne(ctx context.Context, e *plan.Experiment, urls []string, progress io.Writer) (*tally.Result, error) {
	show := func(p drive.Progress) {
		_, _ = fmt.Fprintf(progress, "\r%s: %.0f of %.0f s, about %d requests sent ",
			e.Name, p.Elapsed.Seconds(), p.Total.Seconds(), p.Sent)
	}
	defer func() { _, _ = fmt.Fprintln(progress) }()
	if len(urls) > 0 {
		return trial.Remote(ctx, e, urls, show)
	}
	return trial.Run(ctx, e, trial.Product(), show)
}

func writeResult(file string, result any) error {
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	const mode = 0o644
	return os.WriteFile(file, append(encoded, '\n'), mode)
}

// printResult writes the summary of one run.
func printResult(out io.Writer, r *tally.Result) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(out, format+"\n", values...) }
	line("%s, %s: %.1f requests a second, %.1f%% allowed by capacity", r.Experiment, r.System, r.RatePerSecond, 100*r.AttainableShare)
	line("in time %.2f%% (worst second %.1f%%) of %d; late %d, refused %d, cut %d, wrong %d",
		100*r.Attainment, 100*r.WorstSecond, r.Sent, r.Late, r.Refused, r.Cut, r.Wrong)
	line("doubled %d, false notRun %d, falls of cold endpoints %d", r.Doubled, r.FalseNotRun, r.Falls)
	line("latency ms p50 %.0f p95 %.0f p99 %.0f; first token p50 %.0f p95 %.0f",
		r.LatencyMs.P50, r.LatencyMs.P95, r.LatencyMs.P99, r.FirstMs.P50, r.FirstMs.P95)
	line("engine time wasted %.2f%%", 100*r.WastedShare)
	for _, stage := range r.Stages {
		line("  %-20s %8.1f ms an answer, %5.2f%% wasted", stage.Pool, stage.PerAnswerMs, 100*stage.Wasted())
	}
	for _, refusal := range r.Refusals {
		line("  refused %-16s %-12s %d", refusal.Reason, refusal.Ran, refusal.Count)
	}
	for _, detail := range r.Details {
		line("  %s %d: %s", detail.Outcome, detail.Count, detail.Detail)
	}
	for _, zone := range r.Zones {
		line("  last new work in %s %d ms after it was taken out", zone.Zone, zone.LastNewWorkMs)
	}
}
