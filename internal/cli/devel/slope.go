package devel

import (
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/bench/slope"
)

// slopeOptions are the flags of `jujubedev slope`.
type slopeOptions struct {
	repeats int
	result  string
}

func newSlope() *cobra.Command {
	options := slopeOptions{repeats: 3}
	command := &cobra.Command{
		Use:   "slope",
		Short: "Measures the cost of one additional session, endpoint, organisation or change",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			out := command.OutOrStdout()
			_, _ = fmt.Fprint(out, "| what | slope | error | base | R² |\n|---|---|---|---|---|\n")
			var results []*slope.Result
			probes := slope.Probes()
			for i := range probes {
				result, err := slope.Run(ctx, &probes[i], options.repeats)
				if err != nil {
					return err
				}
				printSlope(out, result)
				results = append(results, result)
			}
			if options.result == "" {
				return nil
			}
			return writeResult(options.result, results)
		},
	}
	command.Flags().IntVar(&options.repeats, "repeats", options.repeats, "number of measurements at each size")
	command.Flags().StringVar(&options.result, "result", "", "file for all points as JSON")
	return command
}

func printSlope(out io.Writer, r *slope.Result) {
	_, _ = fmt.Fprintf(out, "| %s | %.4g %s for each of %s | ±%.2g | %.4g | %.3f |\n",
		r.Name, r.Line.Slope, r.Y, r.X, r.Line.Error, r.Line.Base, r.Line.R2)
}
