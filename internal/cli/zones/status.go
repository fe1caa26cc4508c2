package zones

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/ops/fleet"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// Zone is the state of one availability zone.
type Zone struct {
	Name      string         `json:"name"`
	State     head.ZoneState `json:"state"`
	ChangedBy string         `json:"changedBy,omitempty"`
	Reason    string         `json:"reason,omitempty"`
	// Entries and Agents count the daemons of the zone that answered, Unreachable those
	// that did not.
	Entries     int `json:"entries"`
	Agents      int `json:"agents"`
	Unreachable int `json:"notSeen"`
	// Running and Queued count the calls at the endpoints of the zone. Limit is the
	// sum of the endpoints' limits.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
}

func newStatus(shared *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Shows the state and the work of each availability zone",
		Args:  exit.Args(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return runStatus(cmd, shared) },
	}
}

func runStatus(cmd *cobra.Command, shared *reach.Options) error {
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	config, err := current(cmd, client)
	if err != nil {
		return err
	}
	hosts, err := client.Fleet.Hosts(cmd.Context(), "")
	if err != nil {
		return err
	}
	zones := countByZone(config, client.Fleet.Statuses(cmd.Context(), hosts))
	return shared.Print(cmd.OutOrStdout(), zones, func(out io.Writer) { writeZones(out, zones) })
}

func countByZone(config *apply.Config, answers []fleet.Answer) []Zone {
	zones := make([]Zone, 0, len(config.Manifest.AvailabilityZones))
	for _, name := range config.Manifest.AvailabilityZones {
		zone := Zone{Name: name, State: config.Head.ZoneState(name)}
		for _, changed := range config.Head.Zones {
			if changed.Name == name {
				zone.ChangedBy, zone.Reason = changed.ChangedBy, changed.Reason
			}
		}
		for i := range answers {
			if answers[i].Host.AvailabilityZone == name {
				zone.add(&answers[i])
			}
		}
		zones = append(zones, zone)
	}
	return zones
}

func (z *Zone) add(answer *fleet.Answer) {
	if answer.Cause != nil {
		z.Unreachable++
		return
	}
	if answer.Host.Role == "entry" {
		z.Entries++
		return
	}
	z.Agents++
	if endpoint := answer.Status.Endpoint; endpoint != nil {
		z.Running += endpoint.Running
		z.Queued += endpoint.Queued
		z.Limit += endpoint.Limit
	}
}

func writeZones(out io.Writer, zones []Zone) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ZONE\tSTATE\tENTRIES\tAGENTS\tNOT SEEN\tRUNNING\tQUEUED\tLIMIT\tBY\tREASON")
	for i := range zones {
		z := &zones[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
			z.Name, z.State, z.Entries, z.Agents, z.Unreachable, z.Running, z.Queued, z.Limit, z.ChangedBy, z.Reason)
	}
	_ = table.Flush() // fails only if the output is closed
}
