package rolls

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

// Entry is one rollout order in the history of a pool.
type Entry struct {
	Version  string `json:"version"`
	State    string `json:"state"`
	Previous string `json:"previous,omitempty"`
	BeganMs  int64  `json:"beganMs,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// stateReplaced is the state of an order that was replaced by another one before it
// was decided.
const stateReplaced = "replaced"

func entries(decisions []canary.Decision) []Entry {
	var all []Entry
	for _, d := range decisions {
		e := Entry{Version: d.Version, State: string(d.State), Previous: d.Previous, BeganMs: d.StartedAt, Reason: d.Reason}
		if d.State == canary.Running {
			e.State = stateReplaced
		}
		all = append(all, e)
	}
	return all
}

func newHistory(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "history POOL",
		Short: "Shows the orders of a pool, newest first",
		Long: "Shows the newest order of a pool and up to twenty earlier ones. The history is stored\n" +
			"with the newest order, so that abort deletes it, too.",
		Args: exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			objects, err := options.RoutedStore()
			if err != nil {
				return err
			}
			object, err := read(cmd.Context(), objects, args[0])
			if err != nil {
				return err
			}
			return showHistory(cmd, options, rolloutOf(object))
		},
	}
}

func showHistory(cmd *cobra.Command, options *reach.Options, r Rollout) error {
	all := append([]Entry{{Version: r.Version, State: r.State, Previous: r.Previous, BeganMs: r.BeganMs, Reason: r.Reason + r.Unreadable}}, r.Earlier...)
	return options.Print(cmd.OutOrStdout(), all, func(out io.Writer) {
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(table, "BEGAN\tVERSION\tSTATE\tFROM\tREASON")
		for _, e := range all {
			began := "-"
			if e.BeganMs > 0 {
				began = time.UnixMilli(e.BeganMs).UTC().Format(time.RFC3339)
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", began, e.Version, e.State, e.Previous, e.Reason)
		}
		_ = table.Flush() // fails only if the output is closed
	})
}

// showOne prints one order. Text output also has the counts of its routes.
func showOne(cmd *cobra.Command, options *reach.Options, r Rollout) error {
	return options.Print(cmd.OutOrStdout(), []Rollout{r}, func(out io.Writer) {
		writeOrders(out, []Rollout{r})
		if len(r.Routes) == 0 {
			return
		}
		_, _ = fmt.Fprintln(out)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(table, "ROUTE\tREQUESTS\tFAILED\tCANDIDATE\tFAILED")
		for _, route := range r.Routes {
			_, _ = fmt.Fprintf(table, "%s\t%d\t%d of %d\t%d\t%d of %d\n", route.Route, route.Requests, route.Failures, route.Answers,
				route.CandidateRequests, route.CandidateFailures, route.CandidateAnswers)
		}
		_ = table.Flush() // fails only if the output is closed
	})
}
