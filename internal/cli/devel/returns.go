package devel

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/bench/soak"
)

// returnsOptions are the flags of `jujubedev returns`.
type returnsOptions struct {
	program  string
	folder   string
	seed     uint64
	seeds    int
	gateways int
	returns  int
	small    bool
	calm     bool
	keep     bool
	verbose  bool
}

// newReturns returns the command that brings the store back from copies again and again.
func newReturns() *cobra.Command {
	var options returnsOptions
	command := &cobra.Command{
		Use:   "returns --program PATH",
		Short: "Brings the platform's store back from copies, lets other writes get the numbers of the lost ones, and counts late requests",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runReturns(command, &options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.program, "program", "target/jujubed", "path of jujubed")
	flags.StringVar(&options.folder, "folder", "", "folder for settings and logs, kept for seeds that fail (default: a temporary one)")
	flags.Uint64Var(&options.seed, "seed", 1, "first seed")
	flags.IntVar(&options.seeds, "seeds", 1, "number of seeds")
	flags.IntVar(&options.gateways, "gateways", 3, "number of processes")
	flags.IntVar(&options.returns, "returns", 20, "number of returns in each run")
	flags.BoolVar(&options.small, "small", false, "let versions of the configuration have 3 KB instead of some 770 KB")
	flags.BoolVar(&options.calm, "calm", false, "start, stop, pause and cut off no processes")
	flags.BoolVar(&options.keep, "keep", false, "keep the logs of seeds that pass, too")
	flags.BoolVar(&options.verbose, "verbose", false, "print each return and each disturbance")
	return command
}

func runReturns(command *cobra.Command, options *returnsOptions) error {
	return runSeeds(options.folder, options.seed, options.seeds, func(seed uint64, folder string) (bool, error) {
		return returnSeed(command, options, seed, folder)
	})
}

// returnSeed plays one seed and reports whether it passed. If it passed, the folder is removed.
func returnSeed(command *cobra.Command, options *returnsOptions, seed uint64, folder string) (bool, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return false, err
	}
	out := io.Discard
	if options.verbose {
		out = command.ErrOrStderr()
	}
	report, err := soak.PlayReturns(command.Context(), soak.ReturnOptions{
		Seed: seed, Gateways: options.gateways, Returns: options.returns, Large: !options.small, Strikes: !options.calm,
		Program: options.program, Folder: folder, Out: out,
	})
	if err != nil {
		return false, err
	}
	command.Printf("seed %d: %v\n", seed, report)
	for _, violation := range report.Violations {
		command.Printf("  %s\n", violation)
	}
	if report.Late > 0 || report.NotApplied > 0 || len(report.Violations) > 0 {
		command.Printf("  logs are in %s\n", folder)
		return false, nil
	}
	if options.keep {
		return true, nil
	}
	return true, os.RemoveAll(folder)
}
