package state

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
)

// requestOptions are the arguments of `request show`.
type requestOptions struct {
	id string
}

// NewRequest returns the request command with its subcommands.
func NewRequest(shared *reach.Options) *cobra.Command {
	cmd := exit.Group(&cobra.Command{
		Use:   "request",
		Short: "Looks up single requests",
	})
	cmd.AddCommand(newShow(shared), newTrace(shared))
	return cmd
}

func newShow(shared *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Shows the records that daemons keep of a request",
		Long: "Shows the records that daemons keep of a request, by the id that its answer has in the\n" +
			"header X-Request-Id. Daemons keep records of the newest requests only, and lose them at\n" +
			"a restart (exit code 9 if no daemon has a record).",
		Args: exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runShow(cmd, shared, requestOptions{id: args[0]})
		},
	}
}

func runShow(cmd *cobra.Command, shared *reach.Options, options requestOptions) error {
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	hosts, err := client.Fleet.Hosts(cmd.Context(), "")
	if err != nil {
		return err
	}
	found := client.Fleet.Request(cmd.Context(), hosts, options.id)
	if len(found) == 0 {
		return exit.With(exit.NotFound, fmt.Errorf("none of %d daemons has a record of request %q", len(hosts), options.id))
	}
	return shared.Print(cmd.OutOrStdout(), found, func(out io.Writer) { writeRequests(out, found) })
}

func writeRequests(out io.Writer, found []admin.Request) {
	for i := range found {
		r := &found[i]
		_, _ = fmt.Fprintf(out, "%s: %s %s for %s, %s %s %s, %d ms ago\n",
			r.Process, r.RequestID, r.Service, r.Organisation, r.State, r.Reason, r.Ran, r.AgeMs)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, a := range r.Attempts {
			_, _ = fmt.Fprintf(table, "  stage %d try %d\t%s\t%s\t%s\t%s\t%d ms\n", a.Stage, a.Try, a.Pool, a.Endpoint, a.State, a.Reason, a.TookMs)
		}
		_ = table.Flush() // fails only if the output is closed
	}
}
