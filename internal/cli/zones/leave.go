package zones

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/ops/room"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// leaveOptions are the arguments and flags of `availability-zone leave`.
type leaveOptions struct {
	changeFlags
	zone  string
	force bool
}

func newLeave(shared *reach.Options) *cobra.Command {
	var options leaveOptions
	cmd := &cobra.Command{
		Use:   "leave ZONE",
		Short: "Takes an availability zone out of service: it gets no new work",
		Long: "Takes an availability zone out of service: it gets no new work, running work is\n" +
			"finished there, and queued work runs elsewhere. First reads the load of all agents.\n" +
			"If the remaining endpoints can't bear it, nothing is changed without --force (exit code 7).",
		Args:              exit.Args(cobra.ExactArgs(1)),
		ValidArgsFunction: completeZones(shared),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.zone = args[0]
			return runLeave(cmd, shared, options)
		},
	}
	cmd.Flags().BoolVar(&options.force, "force", false, "take it out even if the remaining endpoints can't bear the load")
	options.addFlags(cmd)
	return cmd
}

func runLeave(cmd *cobra.Command, shared *reach.Options, options leaveOptions) error {
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
	pools, err := poolsAfter(cmd, client, config, func(e *room.Endpoint) bool { return e.AvailabilityZone == options.zone })
	if err != nil && !options.force {
		return err
	}
	if err := checkCapacity(cmd, pools, options.force); err != nil {
		return err
	}
	result, err := client.Operator.EvacuateZone(cmd.Context(), options.zone, options.change(client, config.Head.Release))
	if err != nil {
		return err
	}
	return shared.Report(cmd, client, result, options.wait)
}

// checkZone returns an error that lists the zones of the manifest if zone is not
// one of them.
func checkZone(config *apply.Config, zone string) error {
	known := config.Manifest.AvailabilityZones
	if slices.Contains(known, zone) {
		return nil
	}
	return exit.With(exit.NotFound, fmt.Errorf("availability zone %q is not allowed; allowed: %s", zone, strings.Join(known, ", ")))
}
