package zones

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// returnOptions are the arguments and flags of `availability-zone return`.
type returnOptions struct {
	changeFlags
	zone string
}

func newReturn(shared *reach.Options) *cobra.Command {
	var options returnOptions
	cmd := &cobra.Command{
		Use:   "return ZONE",
		Short: "Returns an availability zone to service: its work grows with the limits of its cold endpoints",
		Args:  exit.Args(cobra.ExactArgs(1)),

		ValidArgsFunction: completeZones(shared),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.zone = args[0]
			return runZone(cmd, shared, options, (*apply.Operator).ReturnZone)
		},
	}
	options.addFlags(cmd)
	return cmd
}

func newSettle(shared *reach.Options) *cobra.Command {
	var options returnOptions
	cmd := &cobra.Command{
		Use:   "settle ZONE",
		Short: "Ends the return of an availability zone: its state is in service again",
		Args:  exit.Args(cobra.ExactArgs(1)),

		ValidArgsFunction: completeZones(shared),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.zone = args[0]
			return runZone(cmd, shared, options, (*apply.Operator).SettleZone)
		},
	}
	options.addFlags(cmd)
	return cmd
}

// zoneAction is an action of apply.Operator on a zone.
type zoneAction func(o *apply.Operator, ctx context.Context, zone string, change apply.Change) (apply.Result, error)

func runZone(cmd *cobra.Command, shared *reach.Options, options returnOptions, act zoneAction) error {
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	config, err := current(cmd, client)
	if err != nil {
		return err
	}
	if err := checkZone(config, options.zone); err != nil {
		return err
	}
	result, err := act(client.Operator, cmd.Context(), options.zone, options.change(client, config.Head.Release))
	if err != nil {
		return err
	}
	return shared.Report(cmd, client, result, options.wait)
}
