// Package quar holds the subcommands of `jujubectl quarantine`.
package quar

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/router"
	"github.com/jujubescale/jujubescale/platform"
)

// New returns the quarantine command with its subcommands.
func New(options *reach.Options) *cobra.Command {
	cmd := exit.Group(&cobra.Command{
		Use:   "quarantine",
		Short: "Lists requests and parts of prompts under which endpoints crashed, and lifts their quarantine",
	})
	cmd.AddCommand(newList(options), newLift(options))
	return cmd
}

// Quarantine is one request, or one part of prompts, under which several endpoints crashed.
type Quarantine struct {
	// Key identifies the request or the part, also in log lines.
	Key string `json:"key"`
	router.Quarantine
	Unreadable string `json:"unreadable,omitempty"`
}

func quarantineOf(object store.Object) Quarantine {
	q := Quarantine{Key: strings.TrimPrefix(object.Name, platform.KindQuarantines+"/")}
	if err := json.Unmarshal(object.Value, &q.Quarantine); err != nil {
		q.Unreadable = err.Error()
	}
	return q
}

func newList(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Lists requests and parts of prompts under which endpoints crashed, newest first",
		Long: "Lists requests and parts of prompts under which two endpoints or more crashed, newest\n" +
			"first. A request with three crashes or more is sent to no endpoint for a quarter of an hour.\n" +
			"Requests with a part are held back but for trials, until an endpoint answers one.",
		Args: exit.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			objects, err := options.RoutedStore()
			if err != nil {
				return err
			}
			listing, err := objects.Scan(cmd.Context(), platform.KindQuarantines)
			if err != nil {
				return err
			}
			all := make([]Quarantine, 0, len(listing.Objects))
			for _, object := range listing.Objects {
				all = append(all, quarantineOf(object))
			}
			slices.SortStableFunc(all, func(a, b Quarantine) int { return cmp.Compare(b.SinceMs, a.SinceMs) })
			return options.Print(cmd.OutOrStdout(), all, func(out io.Writer) { write(out, all) })
		},
	}
}

func write(out io.Writer, all []Quarantine) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "KEY\tLAST\tCRASHES\tENDPOINTS\tPART\tANSWERED BY")
	for _, q := range all {
		since := time.UnixMilli(q.SinceMs).UTC().Format(time.RFC3339)
		part, answeredBy := "", ""
		if q.Part != nil {
			part, answeredBy = q.Part.ID, q.Part.AnsweredBy
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", q.Key, since, len(q.Endpoints), strings.Join(q.Endpoints, " ")+q.Unreadable, part, answeredBy)
	}
	_ = table.Flush() // fails only if the output is closed
}

func newLift(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "lift KEY",
		Short: "Ends the quarantine of a request or a part",
		Long: "Deletes the recorded crashes of a request or of a part of prompts, which is sent to\n" +
			"endpoints again within half a minute. After three more crashes a request is quarantined\n" +
			"again, after the next one a part that no endpoint has answered.",
		Args: exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error { return lift(cmd, options, args[0]) },
	}
}

func lift(cmd *cobra.Command, options *reach.Options, text string) error {
	key, err := crash.ParseKey(text)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	objects, err := options.RoutedStore()
	if err != nil {
		return err
	}
	name := platform.KindQuarantines + "/" + key.String()
	object, err := objects.Get(cmd.Context(), name)
	if err != nil {
		return err
	}
	if object.Version.IsZero() {
		return exit.With(exit.NotFound, fmt.Errorf("no crashes are recorded for %s", key))
	}
	if err := objects.Delete(cmd.Context(), name, object.Version); err != nil {
		return err
	}
	lifted := []Quarantine{quarantineOf(object)}
	return options.Print(cmd.OutOrStdout(), lifted, func(out io.Writer) { write(out, lifted) })
}
