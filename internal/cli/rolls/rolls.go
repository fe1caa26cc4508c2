// Package rolls holds the subcommands of `jujubectl rollout`.
package rolls

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/platform"
)

// New returns the command.
func New(options *reach.Options) *cobra.Command {
	cmd := exit.Group(&cobra.Command{
		Use:   "rollout",
		Short: "Moves a pool to another version of its endpoints",
	})
	cmd.AddCommand(newStart(options), newStatus(options), newWatch(options), newHistory(options), newAbort(options))
	return cmd
}

// Rollout is one order and what has been recorded of it.
type Rollout struct {
	Pool       string  `json:"pool"`
	Version    string  `json:"version"`
	DurationS  float64 `json:"durationSeconds"`
	State      string  `json:"state"`
	Previous   string  `json:"previous,omitempty"`
	BeganMs    int64   `json:"beganMs,omitempty"`
	Reason     string  `json:"reason,omitempty"`
	Requests   int64   `json:"requests,omitempty"`
	Candidate  int64   `json:"candidateRequests,omitempty"`
	Answers    int64   `json:"candidateAnswers,omitempty"`
	Unreadable string  `json:"unreadable,omitempty"`

	Routes  []Route `json:"routes,omitempty"`
	Earlier []Entry `json:"earlier,omitempty"`
}

// Route compares both versions on one route, until the order was decided.
type Route struct {
	Route             string `json:"route"`
	Requests          int64  `json:"requests"`
	Answers           int64  `json:"answers"`
	Failures          int64  `json:"failures"`
	CandidateRequests int64  `json:"candidateRequests"`
	CandidateAnswers  int64  `json:"candidateAnswers"`
	CandidateFailures int64  `json:"candidateFailures"`
}

// stateOrdered is that of an order that nobody has begun.
const stateOrdered = "ordered"

func rolloutOf(object store.Object) Rollout {
	name := strings.TrimPrefix(object.Name, platform.KindRollouts+"/")
	order, status, err := platform.DecodeRollout(name, object.Value, object.Status)
	if err != nil {
		return Rollout{Pool: name, State: "unreadable", Unreadable: err.Error()}
	}
	r := Rollout{Pool: order.Pool, Version: order.Version, DurationS: float64(order.Duration) / float64(clock.Second), State: stateOrdered}
	if status.Order == order {
		r.State, r.Previous, r.BeganMs, r.Reason = string(status.State), status.Previous, status.StartedAt, status.Reason
		r.Requests, r.Candidate, r.Answers = status.Sent, status.CandidateSent, status.CandidateAnswers
		for _, route := range status.Routes {
			r.Routes = append(r.Routes, Route{
				Route: route.Route, Requests: route.Sent, Answers: route.Answers, Failures: route.Failed,
				CandidateRequests: route.CandidateSent, CandidateAnswers: route.CandidateAnswers, CandidateFailures: route.CandidateFailed,
			})
		}
		r.Earlier = entries(status.Earlier)
	} else {
		r.Earlier = entries(status.History())
	}
	return r
}

func nameOf(pool string) string { return platform.KindRollouts + "/" + pool }

// read returns the order of a pool.
func read(ctx context.Context, from *store.Store, pool string) (store.Object, error) {
	object, err := from.Get(ctx, nameOf(pool))
	if err == nil && object.Version == 0 {
		err = exit.With(exit.NotFound, fmt.Errorf("pool %q has no rollout", pool))
	}
	return object, err
}

func newStart(options *reach.Options) *cobra.Command {
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "start POOL VERSION",
		Short: "Orders that a pool go to a version",
		Long: "Orders that a pool go to a version, whose endpoints run beside those of the version\n" +
			"in force. Until shortly before the deadline they get a small part of the requests;\n" +
			"then the order is completed, or rolled back if the version is bad. An order that\n" +
			"still runs has to be aborted first (exit code 4).",
		Example: "  jujubectl rollout start models v2 --duration 60s",
		Args:    exit.Args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runStart(cmd, options, canary.Order{Pool: args[0], Version: args[1], Duration: clock.Millis(duration.Milliseconds())})
		},
	}
	cmd.Flags().DurationVar(&duration, "duration", time.Minute, "time until the order is decided")
	return cmd
}

// leastDuration and mostDuration bound what is ordered: a version is not known
// within less, and nobody waits for longer.
const (
	leastDuration = 5 * clock.Second
	mostDuration  = 24 * 60 * clock.Minute
)

func runStart(cmd *cobra.Command, options *reach.Options, order canary.Order) error {
	switch {
	case order.Pool == "" || strings.Contains(order.Pool, "/"):
		return exit.With(exit.Usage, fmt.Errorf("POOL is %q, and has to be a name without slashes", order.Pool))
	case order.Version == "":
		return exit.With(exit.Usage, errors.New("VERSION is empty"))
	case order.Duration < leastDuration || order.Duration > mostDuration:
		return exit.With(exit.Usage, fmt.Errorf("--duration is %d ms, and has to be from %d to %d", order.Duration, leastDuration, mostDuration))
	}
	to, err := options.RoutedStore()
	if err != nil {
		return err
	}
	known, err := to.Get(cmd.Context(), nameOf(order.Pool))
	if err != nil {
		return err
	}
	if r := rolloutOf(known); known.Version > 0 && (r.State == stateOrdered || r.State == string(canary.Running)) {
		return exit.With(exit.Conflict, fmt.Errorf("pool %q is on its way to version %q", r.Pool, r.Version))
	}
	raw, err := platform.EncodeOrder(order)
	if err != nil {
		return err
	}
	object, err := to.Put(cmd.Context(), nameOf(order.Pool), known.Version, raw)
	if err != nil {
		return err
	}
	return show(cmd, options, []Rollout{rolloutOf(store.Object{Name: nameOf(order.Pool), Version: object.Version, Value: raw})})
}

func newStatus(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "status [POOL]",
		Short: "Shows what became of orders",
		Args:  exit.Args(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			from, err := options.RoutedStore()
			if err != nil {
				return err
			}
			if len(args) == 1 {
				object, err := read(cmd.Context(), from, args[0])
				if err != nil {
					return err
				}
				return showOne(cmd, options, rolloutOf(object))
			}
			listing, err := from.Scan(cmd.Context(), platform.KindRollouts)
			if err != nil {
				return err
			}
			all := make([]Rollout, 0, len(listing.Objects))
			for _, object := range listing.Objects {
				all = append(all, rolloutOf(object))
			}
			return show(cmd, options, all)
		},
	}
}

// watchWait is how long one call waits for changes.
const watchWait = 5 * clock.Second

func newWatch(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "watch POOL",
		Short: "Shows each change of an order until it is decided",
		Long:  "Shows each change of an order until it is decided (exit code 8 when it was rolled back).",
		Args:  exit.Args(cobra.ExactArgs(1)),
		RunE:  func(cmd *cobra.Command, args []string) error { return runWatch(cmd, options, args[0]) },
	}
}

func runWatch(cmd *cobra.Command, options *reach.Options, pool string) error {
	from, err := options.RoutedStore()
	if err != nil {
		return err
	}
	listing, err := from.Scan(cmd.Context(), platform.KindRollouts)
	if err != nil {
		return err
	}
	object, err := read(cmd.Context(), from, pool)
	if err != nil {
		return err
	}
	since := listing.Revision
	for {
		r := rolloutOf(object)
		if err := show(cmd, options, []Rollout{r}); err != nil {
			return err
		}
		switch r.State {
		case string(canary.Completed):
			return nil
		case string(canary.RolledBack):
			return exit.With(exit.NotInForce, fmt.Errorf("pool %q was rolled back: %s", pool, r.Reason))
		}
		if object, since, err = await(cmd.Context(), from, pool, since); err != nil {
			return err
		}
	}
}

// await returns the next change of a pool's order after a revision.
func await(ctx context.Context, from *store.Store, pool string, since uint64) (store.Object, uint64, error) {
	for {
		changes, err := from.Follow(ctx, platform.KindRollouts, since, watchWait)
		if err != nil {
			return store.Object{}, since, err
		}
		since = max(since, changes.Revision)
		for _, change := range changes.Changes {
			switch {
			case change.Object.Name != nameOf(pool):
			case change.Deleted:
				return store.Object{}, since, exit.With(exit.NotFound, fmt.Errorf("the rollout of pool %q was aborted", pool))
			default:
				return change.Object, since, nil
			}
		}
	}
}

func newAbort(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "abort POOL",
		Short: "Removes an order: the version in force goes on",
		Long: "Removes an order that nobody has decided. The version in force goes on, and the\n" +
			"other one gets nothing more. A completed order stays (exit code 4): its old\n" +
			"endpoints have been stopped.",
		Args: exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			from, err := options.RoutedStore()
			if err != nil {
				return err
			}
			object, err := read(cmd.Context(), from, args[0])
			if err != nil {
				return err
			}
			r := rolloutOf(object)
			if r.State == string(canary.Completed) {
				return exit.With(exit.Conflict, fmt.Errorf("pool %q has gone to version %q", r.Pool, r.Version))
			}
			if err := from.Delete(cmd.Context(), object.Name, object.Version); err != nil {
				return err
			}
			r.State = "aborted"
			return show(cmd, options, []Rollout{r})
		},
	}
}

func show(cmd *cobra.Command, options *reach.Options, all []Rollout) error {
	return options.Print(cmd.OutOrStdout(), all, func(out io.Writer) { writeOrders(out, all) })
}

func writeOrders(out io.Writer, all []Rollout) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "POOL\tVERSION\tSTATE\tFROM\tREQUESTS\tCANDIDATE\tREASON")
	for _, r := range all {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", r.Pool, r.Version, r.State, r.Previous, r.Requests, r.Candidate, r.Reason+r.Unreadable)
	}
	_ = table.Flush() // a reader that left reads nothing
}
