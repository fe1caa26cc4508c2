package mancli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/conf/delta"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// diffOptions are the arguments and flags of `manifest diff`.
type diffOptions struct {
	file     string
	against  uint64
	exitCode bool
}

// Diff holds the differences between a release and a manifest.
type Diff struct {
	// Release is the compared release, which can be passed to apply as --expect.
	Release uint64         `json:"release"`
	Changes []delta.Change `json:"changes"`
}

func newDiff(shared *reach.Options) *cobra.Command {
	var options diffOptions
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Shows what would change if a manifest were applied",
		Args:  exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.file = args[0]
			return runDiff(cmd, shared, options)
		},
	}
	cmd.Flags().Uint64Var(&options.against, "against", 0, "release to compare with; the newest if 0")
	cmd.Flags().BoolVar(&options.exitCode, "exit-code", false, "end with code 12 if something differs")
	return cmd
}

var errDiffers = errors.New("manifests differ")

func runDiff(cmd *cobra.Command, shared *reach.Options, options diffOptions) error {
	manifest, err := read(cmd, options.file)
	if err != nil {
		return err
	}
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	release, old, err := load(cmd, client, options.against)
	if err != nil {
		return err
	}
	changes, err := delta.Compare(old, manifest)
	if err != nil {
		return err
	}
	err = shared.Print(cmd.OutOrStdout(), Diff{Release: release, Changes: changes}, func(out io.Writer) {
		for _, change := range changes {
			_, _ = fmt.Fprintln(out, change)
		}
		_, _ = fmt.Fprintf(out, "%d changes against release %d\n", len(changes), release)
	})
	if err == nil && options.exitCode && len(changes) > 0 {
		return exit.With(exit.Differs, errDiffers)
	}
	return err
}

// load reads a release, or the newest if release is 0, and returns its number and its
// manifest. It returns 0 and nil if there is no release yet.
func load(cmd *cobra.Command, client *reach.Client, release uint64) (uint64, *manif.Manifest, error) {
	var config *apply.Config
	var err error
	if release == 0 {
		config, err = client.Operator.Current(cmd.Context())
	} else {
		config, err = client.Operator.At(cmd.Context(), release)
	}
	if err != nil || config == nil {
		return 0, nil, err
	}
	return config.Head.Release, config.Manifest, nil
}
