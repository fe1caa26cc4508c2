package mancli

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// historyOptions are the flags of `manifest history`.
type historyOptions struct {
	limit int
}

// Entry is one release of the history.
type Entry struct {
	Release         uint64      `json:"release"`
	Action          head.Action `json:"action"`
	Subject         string      `json:"subject,omitempty"`
	ChangedBy       string      `json:"changedBy"`
	ChangedAt       string      `json:"changedAt,omitempty"`
	Reason          string      `json:"reason,omitempty"`
	ManifestRelease uint64      `json:"manifestRelease"`
}

const defaultHistory = 20

func newHistory(shared *reach.Options) *cobra.Command {
	var options historyOptions
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Lists the newest releases with author, time and reason of each change",
		Args:  exit.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runHistory(cmd, shared, options)
		},
	}
	cmd.Flags().IntVar(&options.limit, "limit", defaultHistory, "maximum number of releases to list")
	return cmd
}

func runHistory(cmd *cobra.Command, shared *reach.Options, options historyOptions) error {
	client, err := shared.Connect()
	if err != nil {
		return err
	}
	heads, err := client.Operator.History(cmd.Context(), options.limit)
	if err != nil {
		return err
	}
	entries := make([]Entry, 0, len(heads))
	for _, h := range heads {
		entries = append(entries, Entry{
			Release: h.Release, Action: h.Action, Subject: h.Subject, ChangedBy: h.ChangedBy,
			ChangedAt: h.ChangedAt, Reason: h.Reason, ManifestRelease: h.ManifestRelease,
		})
	}
	return shared.Print(cmd.OutOrStdout(), entries, func(out io.Writer) { writeHistory(out, entries) })
}

func writeHistory(out io.Writer, entries []Entry) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "RELEASE\tACTION\tSUBJECT\tBY\tAT\tREASON")
	for _, e := range entries {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", e.Release, e.Action, e.Subject, e.ChangedBy, e.ChangedAt, e.Reason)
	}
	_ = table.Flush() // fails only if the output is closed
}
