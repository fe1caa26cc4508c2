package devel

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// upOptions are the flags of `jujubedev up`.
type upOptions struct {
	listen    string
	endpoints int
	entries   int
	logLevel  string
}

func newUp() *cobra.Command {
	options := upOptions{listen: "127.0.0.1:8080", endpoints: 3, entries: 2, logLevel: "error"}
	command := &cobra.Command{
		Use:   "up",
		Short: "Runs the whole system on embedded stand-ins until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			level, err := log.ParseLevel(options.logLevel)
			if err != nil {
				return exit.With(exit.Usage, fmt.Errorf("--log-level %q: allowed: debug, info, warn, error", options.logLevel))
			}
			logger := log.NewWithOptions(command.ErrOrStderr(), log.Options{Level: level, Formatter: log.LogfmtFormatter})
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return runUp(ctx, command.OutOrStdout(), logger, options)
		},
	}
	command.Flags().StringVar(&options.listen, "listen", options.listen, "address of the first entry (IP:port)")
	command.Flags().IntVar(&options.endpoints, "endpoints", options.endpoints, "endpoints in each pool")
	command.Flags().StringVar(&options.logLevel, "log-level", options.logLevel, "minimum level of logged lines: debug, info, warn or error")
	command.Flags().IntVar(&options.entries, "entries", options.entries, "number of entries")
	return command
}

func runUp(ctx context.Context, out io.Writer, logger *log.Logger, options upOptions) error {
	system, err := whole.New(
		whole.WithListen(options.listen),
		whole.WithEndpoints(options.endpoints),
		whole.WithEntries(options.entries),
		whole.WithLog(logger),
	)
	if err != nil {
		return err
	}
	defer system.Close()
	if err := system.OpenOperators(); err != nil {
		return err
	}
	printUp(out, system)
	<-ctx.Done()
	return nil
}

// printUp prints the addresses of the system and example calls that can be copied.
func printUp(out io.Writer, system *whole.Whole) {
	for _, front := range system.Fronts {
		_, _ = fmt.Fprintf(out, "entry in availability zone %s on http://%s\n", front.Zone, front.Address)
	}
	_, _ = fmt.Fprintf(out, "platform stand-in on %s\n\n", system.PlatformURL)
	bearer := "-H 'Authorization: Bearer " + whole.SampleToken + "'"
	_, _ = fmt.Fprintf(out, "A pipeline, streamed:\n  curl -N %s %s/v1/services/setup-sheets -d '{\"input\":\"glue and fold 42\",\"stream\":true}'\n", bearer, system.URL())
	_, _ = fmt.Fprintf(out, "A call that must not be repeated:\n  curl %s -H 'Idempotency-Key: reel-1' %s/v1/services/orders/call/bookings -d '{\"reel\":1}'\n", bearer, system.URL())
	_, _ = fmt.Fprintf(out, "The status for operators:\n  go run ./cmd/jujubectl status --platform %s\n", system.PlatformURL)
}
