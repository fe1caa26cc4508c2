package devel

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/bench/soak"
)

// soakOptions are the flags of `jujubedev soak`.
type soakOptions struct {
	program   string
	folder    string
	seed      uint64
	seeds     int
	seconds   int
	gateways  int
	perSecond int
	versions  bool
	parts     bool
	restores  bool
	reuse     bool
	outages   bool
	routes    bool
	moves     bool
	storms    bool
	odd       bool
	lose      bool
	without   bool
	uneven    bool
	quotas    bool
	slow      bool
	only      []string
	memory    int64
	keep      bool
	verbose   bool
}

func newSoak() *cobra.Command {
	var options soakOptions
	command := &cobra.Command{
		Use:   "soak --program PATH",
		Short: "Runs gateways as processes, injects faults drawn from seeds and checks invariants",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runSoak(command, options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.program, "program", "target/jujubed", "path of jujubed")
	flags.StringVar(&options.folder, "folder", "", "folder for settings and logs, kept for seeds that fail (default: a temporary one)")
	flags.Uint64Var(&options.seed, "seed", 1, "first seed")
	flags.IntVar(&options.seeds, "seeds", 1, "number of seeds")
	flags.IntVar(&options.seconds, "seconds", 26, "length of each run")
	flags.IntVar(&options.gateways, "gateways", 3, "number of processes")
	flags.IntVar(&options.perSecond, "per-second", 40, "requests per second")
	flags.BoolVar(&options.versions, "versions", false, "run engines of several software versions side by side and replace them, instead of rollouts")
	flags.BoolVar(&options.parts, "parts", false, "add parts of prompts that crash engines, an uneven balancer and answers without length, instead of rollouts")
	flags.BoolVar(&options.restores, "restores", false, "bring the platform's store back from copies that lack its last writes")
	flags.BoolVar(&options.reuse, "reuse", false, "as --restores, and let other contents have the numbers of the lost writes before these are written again")
	flags.BoolVar(&options.outages, "outages", false, "let all hosts lose their power at once and silence the connections between processes, instead of rollouts")
	flags.BoolVar(&options.routes, "routes", false, "add, move and remove routes in series, ask all processes for them, and throttle and pause processes, instead of rollouts")
	flags.BoolVar(&options.moves, "moves", false, "as --routes, and move routes between services in versions of some 750 KB, and check which services ran each request")
	flags.BoolVar(&options.slow, "slow-orders", false, "let engines of the service orders take 0.5 to 3.5 s and stop one process after the other, instead of rollouts")
	flags.BoolVar(&options.storms, "storms", false, "as --moves, and publish series of 3 to 12 versions a second for 2 to 4 s")
	flags.BoolVar(&options.odd, "odd-answers", false, "let the store answer watches in all ways that its interface allows or doesn't rule out")
	flags.BoolVar(&options.lose, "lose-large", false, "take the largest hosts of one zone, two or all away for some seconds, again and again, with --quotas")
	flags.BoolVar(&options.without, "without-large", false, "take all of the largest hosts away for the whole run, with --quotas")
	flags.BoolVar(&options.uneven, "uneven", false, "send one in four requests to one process, on a host of 0.352 of a processor and 25 Mbit/s with --quotas")
	flags.BoolVar(&options.quotas, "quotas", false, "run the processes on hosts of three sizes, with limits of processor time, link, memory and file descriptors")
	flags.StringSliceVar(&options.only, "only", nil, "kinds of disturbances of the run, such as powerLoss (default: all that the other flags add)")
	flags.Int64Var(&options.memory, "memory", 0, "memory of a model engine in tokens (default: some eight of the largest requests)")
	flags.BoolVar(&options.keep, "keep", false, "keep the logs of seeds that pass, too")
	flags.BoolVar(&options.verbose, "verbose", false, "print each fault when it is injected")
	return command
}

// SoakError is returned if the runs of some seeds violated an invariant.
type SoakError struct {
	Seeds []uint64
}

// Error implements error.
func (e *SoakError) Error() string { return fmt.Sprintf("seeds that failed: %v", e.Seeds) }

func runSoak(command *cobra.Command, options soakOptions) error {
	return runSeeds(options.folder, options.seed, options.seeds, func(seed uint64, folder string) (bool, error) {
		return soakSeed(command, options, seed, folder)
	})
}

// runSeeds calls run for a number of seeds, with a folder for each. It returns a SoakError with those that did not pass.
func runSeeds(folder string, first uint64, count int, run func(seed uint64, folder string) (passed bool, err error)) error {
	if folder == "" {
		temporary, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		folder = temporary
	}
	var failed []uint64
	for i := range count {
		seed := first + uint64(i)
		passed, err := run(seed, filepath.Join(folder, fmt.Sprint(seed)))
		if err != nil {
			return err
		}
		if !passed {
			failed = append(failed, seed)
		}
	}
	if len(failed) > 0 {
		return &SoakError{Seeds: failed}
	}
	return nil
}

// soakSeed runs one seed and reports whether it passed. If it passed, the folder is
// removed.
func soakSeed(command *cobra.Command, options soakOptions, seed uint64, folder string) (bool, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return false, err
	}
	out := io.Discard
	if options.verbose {
		out = command.ErrOrStderr()
	}
	var only []soak.Kind
	for _, kind := range options.only {
		only = append(only, soak.Kind(kind))
	}
	report, err := soak.Run(command.Context(), soak.Options{
		Seed: seed, Length: time.Duration(options.seconds) * time.Second, Program: options.program, Folder: folder,
		Gateways: options.gateways, PerSecond: options.perSecond, Versions: options.versions, Parts: options.parts, Restores: options.restores, Reuse: options.reuse, Outages: options.outages, Routes: options.routes, Moves: options.moves, Storms: options.storms, OddAnswers: options.odd, LoseLarge: options.lose, WithoutLarge: options.without, Uneven: options.uneven, Quotas: options.quotas, SlowOrders: options.slow, Only: only, Memory: options.memory, Out: out,
	})
	if err != nil {
		return false, err
	}
	command.Printf("seed %d: sent %d served %d refused %d failed %d, kept %d crossed %d, in the calm %d of %d, breaches %d\n", seed, report.Sent,
		report.Served, report.Refused, report.Failed, report.Kept, report.Crossed, report.SettledServed, report.SettledSent, len(report.Violations))
	if options.slow {
		command.Printf("  %d planned stops, %d requests after SIGTERM that may run once only, %d of them cut\n", report.Stops, report.OnceOnly, report.Cut)
	}
	if report.Resumes != "" {
		command.Printf("  streams: %s\n", report.Resumes)
	}
	if report.Routes != "" {
		command.Printf("  routes: %s\n", report.Routes)
	}
	if report.Moves != "" {
		command.Printf("  moves: %s\n  lags: %s\n", report.Moves, report.DescribeLags())
	}
	if report.HostUse != "" {
		command.Printf("  hosts: %s\n", report.HostUse)
	}
	if report.BadParts > 0 {
		command.Printf("  %d parts crashed %d engines\n", report.BadParts, report.BadCrashes)
	}
	if report.Outages > 0 {
		command.Printf("  %d outages, %d judged by %d checks; %d of %d requests served from 3 s after the return on\n",
			report.Outages, report.OutagesJudged, report.OutageProbes, report.ReturnedServed, report.Returned)
	}
	if report.Restores > 0 {
		command.Printf("  %d returns of the store, %d checks\n", report.Restores, report.RestoreProbes)
	}
	return endSeed(command, options, report.Violations, folder)
}

// endSeed prints the violations of a seed, and removes its logs if there are none.
func endSeed(command *cobra.Command, options soakOptions, violations []string, folder string) (passed bool, err error) {
	for _, violation := range violations {
		command.Printf("  %s\n", violation)
	}
	switch {
	case len(violations) > 0:
		command.Printf("  logs: %s\n", folder)
		return false, nil
	case options.keep:
		return true, nil
	}
	return true, os.RemoveAll(folder)
}
