package zones

import (
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/ops/room"
)

const endpointArguments = 2

// endpointOptions are the arguments and flags of `endpoint leave` and
// `endpoint return`.
type endpointOptions struct {
	changeFlags
	pool     string
	endpoint string
	force    bool
}

func newEndpointLeave(shared *reach.Options) *cobra.Command {
	var options endpointOptions
	cmd := &cobra.Command{
		Use:   "leave POOL ENDPOINT",
		Short: "Takes one endpoint out of service: it gets no new work",
		Args:  exit.Args(cobra.ExactArgs(endpointArguments)),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.pool, options.endpoint = args[0], args[1]
			return runEndpointLeave(cmd, shared, options)
		},
	}
	cmd.Flags().BoolVar(&options.force, "force", false, "take it out even if the remaining endpoints can't bear the load")
	options.addFlags(cmd)
	return cmd
}

func runEndpointLeave(cmd *cobra.Command, shared *reach.Options, options endpointOptions) error {
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	config, err := current(cmd, client)
	if err != nil {
		return err
	}
	pools, err := poolsAfter(cmd, client, config, func(e *room.Endpoint) bool {
		return e.Pool == options.pool && e.Endpoint == options.endpoint
	})
	if err != nil && !options.force {
		return err
	}
	if err := checkCapacity(cmd, pools, options.force); err != nil {
		return err
	}
	result, err := client.Operator.DisableEndpoint(cmd.Context(), options.pool, options.endpoint, options.change(client, config.Head.Release))
	if err != nil {
		return err
	}
	return shared.Report(cmd, client, result, options.wait)
}

func newEndpointReturn(shared *reach.Options) *cobra.Command {
	var options endpointOptions
	cmd := &cobra.Command{
		Use:   "return POOL ENDPOINT",
		Short: "Returns one endpoint to service",
		Args:  exit.Args(cobra.ExactArgs(endpointArguments)),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.pool, options.endpoint = args[0], args[1]
			return runEndpointReturn(cmd, shared, options)
		},
	}
	options.addFlags(cmd)
	return cmd
}

func runEndpointReturn(cmd *cobra.Command, shared *reach.Options, options endpointOptions) error {
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	result, err := client.Operator.EnableEndpoint(cmd.Context(), options.pool, options.endpoint, options.change(client, 0))
	if err != nil {
		return err
	}
	return shared.Report(cmd, client, result, options.wait)
}
