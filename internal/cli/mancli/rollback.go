package mancli

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// rollbackOptions are the arguments and flags of `manifest rollback`.
type rollbackOptions struct {
	release uint64
	expect  uint64
	reason  string
	wait    reach.WaitFlags
}

func newRollback(shared *reach.Options) *cobra.Command {
	var options rollbackOptions
	cmd := &cobra.Command{
		Use:   "rollback RELEASE",
		Short: "Puts the manifest of an older release into force as a new release",
		Long: "Puts the manifest of an older release into force as a new release. Availability\n" +
			"zones and endpoints that were taken out of service since then stay out.",
		Args: exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			release, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return exit.With(exit.Usage, fmt.Errorf("release %q is not allowed; allowed: a number that `manifest history` lists", args[0]))
			}
			options.release = release
			return runRollback(cmd, shared, options)
		},
	}
	cmd.Flags().Uint64Var(&options.expect, "expect", 0, "release on which the change is based; the newest if 0")
	cmd.Flags().StringVar(&options.reason, "reason", "", "reason of the change, for the history")
	options.wait.AddFlags(cmd)
	return cmd
}

func runRollback(cmd *cobra.Command, shared *reach.Options, options rollbackOptions) error {
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	if options.expect, err = expected(cmd, client, options.expect); err != nil {
		return err
	}
	result, err := client.Operator.Rollback(cmd.Context(), options.release, apply.Change{
		Who: client.Who, Reason: options.reason, Expected: options.expect,
	})
	if err != nil {
		return err
	}
	return shared.Report(cmd, client, result, options.wait)
}
