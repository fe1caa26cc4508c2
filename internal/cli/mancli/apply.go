package mancli

import (
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// applyOptions are the arguments and flags of `manifest apply`.
type applyOptions struct {
	file   string
	expect uint64
	reason string
	wait   reach.WaitFlags
}

func newApply(shared *reach.Options) *cobra.Command {
	var options applyOptions
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Puts a manifest into force as a new release",
		Long: "Puts a manifest into force as a new release. The write fails if the manifest was changed\n" +
			"after the release given with --expect or, without that flag, after the start of this\n" +
			"command; the error then names the other changes and their authors (exit code 4).\n" +
			"If the answer to the write is lost, the command reads the platform again to find out\n" +
			"whether the write took effect. It ends with code 6 only if the platform doesn't answer.",
		Args: exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.file = args[0]
			return runApply(cmd, shared, options)
		},
	}
	cmd.Flags().Uint64Var(&options.expect, "expect", 0, "release on which the change is based; the newest if 0")
	cmd.Flags().StringVar(&options.reason, "reason", "", "reason of the change, for the history")
	options.wait.AddFlags(cmd)
	return cmd
}

func runApply(cmd *cobra.Command, shared *reach.Options, options applyOptions) error {
	manifest, err := read(cmd, options.file)
	if err != nil {
		return err
	}
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	if options.expect, err = expected(cmd, client, options.expect); err != nil {
		return err
	}
	result, err := client.Operator.Apply(cmd.Context(), manifest, apply.Change{
		Who: client.Who, Reason: options.reason, Expected: options.expect,
	})
	if err != nil {
		return err
	}
	return shared.Report(cmd, client, result, options.wait)
}

// expected returns the release on which a change is based: requested if it is not 0,
// or else the newest. It returns 0 if there is no release yet.
func expected(cmd *cobra.Command, client *reach.Client, requested uint64) (uint64, error) {
	if requested != 0 {
		return requested, nil
	}
	config, err := client.Operator.Current(cmd.Context())
	if err != nil || config == nil {
		return 0, err
	}
	return config.Head.Release, nil
}
