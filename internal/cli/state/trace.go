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
		Short: "Prints a request's history from logs on standard input",
		Long: "Prints a request's history from logs on standard input: those of all processes, in\n" +
			"any order. Lines that name the request stand in the order of time, together with\n" +
			"what processes learned about its endpoints from five seconds before it on. It\n" +
			"needs no platform (exit code 9 when no line names the request).",
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

// writeHistory prints a line for each one of the log, with the time since the
// first of them.
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
	_ = table.Flush() // a reader that is gone needs no table
}
