package state

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/ops/record"
)

// traceOptions are the arguments of `request trace`.
type traceOptions struct {
	id string
}

func newTrace(shared *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID",
		Short: "Prints the history of a request from logs on standard input",
		Long: "Prints the history of a request from the logs of all processes, which it reads from\n" +
			"standard input in any order. It shows the lines that name the request, sorted by time,\n" +
			"and lines about changes of its endpoints from five seconds before the request on. Needs\n" +
			"no platform. Exit code 9 if no line names the request.",
		Example: "  cat /var/log/jujubescale/*.log | jujubectl request trace 9c41d07be2a35f68",
		Args:    exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runTrace(cmd, shared, traceOptions{id: args[0]})
		},
	}
}

func runTrace(cmd *cobra.Command, shared *reach.Options, options traceOptions) error {
	if options.id == "" {
		return exit.With(exit.Usage, fmt.Errorf("the request's id is empty"))
	}
	history, err := record.Read(cmd.InOrStdin(), options.id)
	if err != nil {
		return fmt.Errorf("reading the log: %w", err)
	}
	if len(history.Lines) == 0 {
		return exit.With(exit.NotFound, fmt.Errorf("no line names request %q; %d lines could not be read", options.id, history.Skipped))
	}
	return shared.Print(cmd.OutOrStdout(), history, func(out io.Writer) { writeHistory(out, &history) })
}

// writeHistory prints the log lines of a history, each with the time since the first
// one.
func writeHistory(out io.Writer, history *record.History) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	first := history.Lines[0].Time
	for i := range history.Lines {
		line := &history.Lines[i]
		_, _ = fmt.Fprintf(table, "%+d ms\t%s\t%s\t", line.Time.Sub(first).Milliseconds(), line.Process, line.Message)
		for _, pair := range line.Pairs {
			if pair.Value != "" && pair.Value != history.Request {
				_, _ = fmt.Fprintf(table, "%s=%s ", pair.Key, pair.Value)
			}
		}
		_, _ = fmt.Fprintln(table)
	}
	_ = table.Flush() // fails only if the output is closed
}
