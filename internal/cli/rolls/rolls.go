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

// New returns the rollout command with its subcommands.
func New(options *reach.Options) *cobra.Command {
	cmd := exit.Group(&cobra.Command{
		Use:   "rollout",
		Short: "Moves a pool to another version of its endpoints",
	})
	cmd.AddCommand(newStart(options), newStatus(options), newWatch(options), newHistory(options), newAbort(options))
	return cmd
}

// Rollout is one order with its recorded state and counts.
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

// Route holds the counts of both versions on one route, up to the decision on the
// order.
type Route struct {
	Route             string `json:"route"`
	Requests          int64  `json:"requests"`
	Answers           int64  `json:"answers"`
	Failures          int64  `json:"failures"`
	CandidateRequests int64  `json:"candidateRequests"`
	CandidateAnswers  int64  `json:"candidateAnswers"`
	CandidateFailures int64  `json:"candidateFailures"`
}

// stateOrdered is the state of an order that no gateway has started yet.
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

// read returns the order of a pool. It returns an error with the code NotFound if the
// pool has none.
func read(ctx context.Context, objects *store.Store, pool string) (store.Object, error) {
	object, err := objects.Get(ctx, nameOf(pool))
	if err == nil && object.Version.IsZero() {
		err = exit.With(exit.NotFound, fmt.Errorf("pool %q has no rollout", pool))
	}
	return object, err
}

func newStart(options *reach.Options) *cobra.Command {
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "start POOL VERSION",
		Short: "Orders a rollout of a version on a pool",
		Long: "Orders a rollout of a version on a pool. The endpoints of the version have to run\n" +
			"beside those of the version in force. They get a small part of the requests until\n" +
			"shortly before the deadline; then the order is completed, or rolled back if the version\n" +
			"is bad. An order that is still running has to be aborted first (exit code 4).",
		Example: "  jujubectl rollout start models v2 --duration 60s",
		Args:    exit.Args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runStart(cmd, options, canary.Order{Pool: args[0], Version: args[1], Duration: clock.Millis(duration.Milliseconds())})
		},
	}
	cmd.Flags().DurationVar(&duration, "duration", time.Minute, "time until the order is decided")
	return cmd
}

// minDuration and maxDuration bound the duration of an order. A shorter one does not
// give enough evidence about a version, and a longer one is never useful.
const (
	minDuration = 5 * clock.Second
	maxDuration = 24 * 60 * clock.Minute
)

func runStart(cmd *cobra.Command, options *reach.Options, order canary.Order) error {
	switch {
	case order.Pool == "" || strings.Contains(order.Pool, "/"):
		return exit.With(exit.Usage, fmt.Errorf("POOL is %q, and has to be a name without slashes", order.Pool))
	case order.Version == "":
		return exit.With(exit.Usage, errors.New("VERSION is empty"))
	case order.Duration < minDuration || order.Duration > maxDuration:
		return exit.With(exit.Usage, fmt.Errorf("--duration is %d ms, and has to be from %d to %d", order.Duration, minDuration, maxDuration))
	}
	objects, err := options.RoutedStore()
	if err != nil {
		return err
	}
	previous, err := objects.Get(cmd.Context(), nameOf(order.Pool))
	if err != nil {
		return err
	}
	if r := rolloutOf(previous); !previous.Version.IsZero() && (r.State == stateOrdered || r.State == string(canary.Running)) {
		return exit.With(exit.Conflict, fmt.Errorf("pool %q already has a rollout to version %q", r.Pool, r.Version))
	}
	raw, err := platform.EncodeOrder(order)
	if err != nil {
		return err
	}
	object, err := objects.Put(cmd.Context(), nameOf(order.Pool), previous.Version, raw)
	if err != nil {
		return err
	}
	return show(cmd, options, []Rollout{rolloutOf(store.Object{Name: nameOf(order.Pool), Version: object.Version, Value: raw})})
}

func newStatus(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "status [POOL]",
		Short: "Shows the state of the order of one pool or of all pools",
		Args:  exit.Args(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			objects, err := options.RoutedStore()
			if err != nil {
				return err
			}
			if len(args) == 1 {
				object, err := read(cmd.Context(), objects, args[0])
				if err != nil {
					return err
				}
				return showOne(cmd, options, rolloutOf(object))
			}
			listing, err := objects.Scan(cmd.Context(), platform.KindRollouts)
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

// watchWait is the time that one watch call waits for changes.
const watchWait = 5 * clock.Second

func newWatch(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "watch POOL",
		Short: "Shows each change of an order until it is decided",
		Long:  "Shows each change of an order until it is decided (exit code 8 if it is rolled back).",
		Args:  exit.Args(cobra.ExactArgs(1)),
		RunE:  func(cmd *cobra.Command, args []string) error { return runWatch(cmd, options, args[0]) },
	}
}

func runWatch(cmd *cobra.Command, options *reach.Options, pool string) error {
	objects, err := options.RoutedStore()
	if err != nil {
		return err
	}
	listing, err := objects.Scan(cmd.Context(), platform.KindRollouts)
	if err != nil {
		return err
	}
	object, err := read(cmd.Context(), objects, pool)
	if err != nil {
		return err
	}
	revision := listing.Revision
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
		if object, revision, err = await(cmd.Context(), objects, pool, revision); err != nil {
			return err
		}
	}
}

// await waits for the next change of a pool's order after a revision. It returns the
// changed object and the revision up to which the changes were read, or an error with
// the code NotFound if the order was deleted.
func await(ctx context.Context, objects *store.Store, pool string, revision store.Revision) (store.Object, store.Revision, error) {
	for {
		changes, err := objects.Follow(ctx, platform.KindRollouts, revision, watchWait)
		if err != nil {
			return store.Object{}, revision, err
		}
		if changes.Revision.Era != revision.Era {
			object, err := read(ctx, objects, pool)
			return object, changes.Revision, err
		}
		revision = store.Latest(revision, changes.Revision)
		for _, change := range changes.Changes {
			switch {
			case change.Object.Name != nameOf(pool):
			case change.Deleted:
				return store.Object{}, revision, exit.With(exit.NotFound, fmt.Errorf("the rollout of pool %q was aborted", pool))
			default:
				return change.Object, revision, nil
			}
		}
	}
}

func newAbort(options *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "abort POOL",
		Short: "Removes an order: the version in force stays in force",
		Long: "Removes an order. The version in force stays in force, and the other one gets no\n" +
			"more requests. A completed order can't be removed (exit code 4), because the\n" +
			"endpoints of the old version have been stopped.",
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
			r := rolloutOf(object)
			if r.State == string(canary.Completed) {
				return exit.With(exit.Conflict, fmt.Errorf("the rollout of pool %q to version %q is completed", r.Pool, r.Version))
			}
			if err := objects.Delete(cmd.Context(), object.Name, object.Version); err != nil {
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
	_ = table.Flush() // fails only if the output is closed
}
