// Package state holds the subcommands of jujubectl that only read: status, request and
// losses.
package state

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/ops/fleet"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// statusOptions are the flags of `status`.
type statusOptions struct {
	role string
}

// Status is the state of the whole system.
type Status struct {
	// Release is the release that the platform holds, or 0 if there is none.
	Release   uint64   `json:"release"`
	ChangedBy string   `json:"changedBy,omitempty"`
	ChangedAt string   `json:"changedAt,omitempty"`
	Daemons   []Daemon `json:"daemons"`
}

// Daemon is the state of one daemon.
type Daemon struct {
	Host             string       `json:"host"`
	Role             string       `json:"role"`
	AvailabilityZone string       `json:"availabilityZone"`
	Process          string       `json:"process,omitempty"`
	Version          string       `json:"version,omitempty"`
	Release          uint64       `json:"release"`
	Ready            bool         `json:"ready"`
	NotReady         string       `json:"notReady,omitempty"`
	Leaving          bool         `json:"leaving,omitempty"`
	Open             int          `json:"open"`
	Sessions         int          `json:"sessions"`
	UptimeMs         clock.Millis `json:"uptimeMs"`
	// Error is the reason why the daemon did not answer.
	Error string `json:"error,omitempty"`
}

// NewStatus returns the status command.
func NewStatus(shared *reach.Options) *cobra.Command {
	var options statusOptions
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Shows the release and the status of each daemon",
		Args:  exit.Args(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return runStatus(cmd, shared, options) },
	}
	cmd.Flags().StringVar(&options.role, "role", "", "show only daemons of this role: entry or agent")
	return cmd
}

func runStatus(cmd *cobra.Command, shared *reach.Options, options statusOptions) error {
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	config, err := client.Operator.Current(cmd.Context())
	if err != nil {
		return err
	}
	hosts, err := client.Fleet.Hosts(cmd.Context(), options.role)
	if err != nil {
		return err
	}
	status := statusOf(config, client.Fleet.Statuses(cmd.Context(), hosts))
	return shared.Print(cmd.OutOrStdout(), status, func(out io.Writer) { writeStatus(out, &status) })
}

func statusOf(config *apply.Config, answers []fleet.Answer) Status {
	status := Status{Daemons: make([]Daemon, 0, len(answers))}
	if config != nil {
		status.Release, status.ChangedBy, status.ChangedAt = config.Head.Release, config.Head.ChangedBy, config.Head.ChangedAt
	}
	for i := range answers {
		status.Daemons = append(status.Daemons, daemonOf(&answers[i]))
	}
	return status
}

func daemonOf(answer *fleet.Answer) Daemon {
	status := &answer.Status
	d := Daemon{
		Host: answer.Host.Name, Role: answer.Host.Role, AvailabilityZone: answer.Host.AvailabilityZone,
		Process: status.Process, Version: status.Version, Release: status.Release, Ready: status.Ready, NotReady: status.NotReady,
		Leaving: status.Leaving, Open: status.Open, Sessions: len(status.Sessions), UptimeMs: status.UptimeMs,
	}
	if answer.Cause != nil {
		d.Error = answer.Cause.Error()
	}
	return d
}

func writeStatus(out io.Writer, status *Status) {
	_, _ = fmt.Fprintf(out, "release %d by %s at %s\n", status.Release, status.ChangedBy, status.ChangedAt)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "HOST\tROLE\tZONE\tRELEASE\tSTATE\tOPEN\tSESSIONS\tVERSION")
	for i := range status.Daemons {
		d := &status.Daemons[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\n",
			d.Host, d.Role, d.AvailabilityZone, d.Release, d.state(), d.Open, d.Sessions, d.Version)
	}
	_ = table.Flush() // fails only if the output is closed
}

func (d *Daemon) state() string {
	switch {
	case d.Error != "":
		return "not seen: " + d.Error
	case d.Ready:
		return "ready"
	default:
		return "not ready: " + d.NotReady
	}
}
