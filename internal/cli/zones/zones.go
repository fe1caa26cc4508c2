// Package zones holds the subcommands of `jujubectl availability-zone` and
// `jujubectl endpoint`.
package zones

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/ops/fleet"
	"github.com/jujubescale/jujubescale/internal/ops/room"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// NewZone returns the command for availability zones.
func NewZone(options *reach.Options) *cobra.Command {
	cmd := exit.Group(&cobra.Command{
		Use:     "availability-zone",
		Aliases: []string{"zone", "az"},
		Short:   "Takes an availability zone out of service and returns it",
	})
	cmd.AddCommand(newLeave(options), newReturn(options), newSettle(options), newStatus(options))
	return cmd
}

// NewEndpoint returns the command for endpoints.
func NewEndpoint(options *reach.Options) *cobra.Command {
	cmd := exit.Group(&cobra.Command{
		Use:   "endpoint",
		Short: "Takes one endpoint out of service and returns it",
	})
	cmd.AddCommand(newEndpointLeave(options), newEndpointReturn(options))
	return cmd
}

// changeFlags are the flags that all subcommands with a change of a zone or an
// endpoint have.
type changeFlags struct {
	reason string
	wait   reach.WaitFlags
}

func (f *changeFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.reason, "reason", "", "reason of the change, for the history")
	f.wait.AddFlags(cmd)
}

func (f *changeFlags) change(client *reach.Client, expected uint64) apply.Change {
	return apply.Change{Who: client.Who, Reason: f.reason, Expected: expected}
}

var errNoConfiguration = errors.New("the platform holds no configuration")

// current reads the configuration in force. It returns an error if there is none.
func current(cmd *cobra.Command, client *reach.Client) (*apply.Config, error) {
	config, err := client.Operator.Current(cmd.Context())
	if err == nil && config == nil {
		err = exit.With(exit.NotFound, errNoConfiguration)
	}
	return config, err
}

// completeZones returns a function that completes availability zones in a shell.
func completeZones(options *reach.Options) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, _ string) ([]cobra.Completion, cobra.ShellCompDirective) {
		client, err := options.Connect()
		if err != nil || len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		config, err := client.Operator.Current(cmd.Context())
		if err != nil || config == nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return config.Manifest.AvailabilityZones, cobra.ShellCompDirectiveNoFileComp
	}
}

// poolsAfter reads the load of all agents and returns the load and the limits of
// each affected pool without the endpoints for which leaves returns true.
func poolsAfter(cmd *cobra.Command, client *reach.Client, config *apply.Config, leaves func(*room.Endpoint) bool) ([]room.Pool, error) {
	hosts, err := client.Fleet.Hosts(cmd.Context(), "agent")
	if err != nil {
		return nil, err
	}
	var endpoints []room.Endpoint
	for _, answer := range client.Fleet.Statuses(cmd.Context(), hosts) {
		endpoints = append(endpoints, endpointOf(&answer, config))
	}
	return room.CheckRemoval(endpoints, leaves), nil
}

func endpointOf(answer *fleet.Answer, config *apply.Config) room.Endpoint {
	host := &answer.Host
	e := room.Endpoint{
		Pool: host.Pool, Endpoint: host.Endpoint, AvailabilityZone: host.AvailabilityZone,
		OutOfService: isOutOfService(host, config),
	}
	if status := answer.Status.Endpoint; answer.Cause == nil && status != nil {
		e.Known, e.Running, e.Queued, e.Limit, e.Cold = true, status.Running, status.Queued, status.Limit, status.Cold
	}
	return e
}

// isOutOfService reports whether an endpoint gets no new work because its host leaves,
// or because operators took it or its zone out of service.
func isOutOfService(host *store.Host, config *apply.Config) bool {
	if host.State == store.HostLeaving || config.Head.ZoneState(host.AvailabilityZone) == head.ZoneEvacuated {
		return true
	}
	if config.Head.EndpointDisabled(host.Pool, host.Endpoint) {
		return true
	}
	for i := range config.Manifest.Pools {
		p := &config.Manifest.Pools[i]
		if p.Name == host.Pool && slices.Contains(p.LeftEndpoints, host.Endpoint) {
			return true
		}
	}
	return false
}

// UnsafeError is returned if the remaining endpoints would lack the capacity for the
// load.
type UnsafeError struct {
	Pools []room.Pool
}

// Error implements error.
func (e *UnsafeError) Error() string {
	text := "the remaining endpoints can't bear the load; nothing was changed; use --force to do it anyway:"
	for i := range e.Pools {
		if p := &e.Pools[i]; !p.Sufficient {
			text += fmt.Sprintf(" pool %s has %d calls for a limit of %d on %d endpoints;", p.Pool, p.Load, p.LimitAfter, p.EndpointsAfter)
		}
	}
	return text
}

// writePools prints the load and the limit before and after the change of each pool.
func writePools(out io.Writer, pools []room.Pool) {
	for i := range pools {
		p := &pools[i]
		verdict := "bears the load"
		if !p.Sufficient {
			verdict = "DOES NOT bear the load"
		}
		_, _ = fmt.Fprintf(out, "pool %s: %d calls, limit %d -> %d on %d endpoints, %s\n", p.Pool, p.Load, p.LimitBefore, p.LimitAfter, p.EndpointsAfter, verdict)
		if p.Unknown > 0 {
			_, _ = fmt.Fprintf(out, "  %d endpoints did not answer and count with a limit of 0\n", p.Unknown)
		}
	}
}

// checkCapacity returns an UnsafeError if the remaining endpoints lack the capacity for
// the load and force is false. It prints the pools to the error output before the change, so
// that JSON output stays one document.
func checkCapacity(cmd *cobra.Command, pools []room.Pool, force bool) error {
	writePools(cmd.ErrOrStderr(), pools)
	if force || room.AllSufficient(pools) {
		return nil
	}
	return exit.With(exit.Unsafe, &UnsafeError{Pools: pools})
}
