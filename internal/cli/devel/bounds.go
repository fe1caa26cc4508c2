package devel

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/bench/chart"
	"github.com/jujubescale/jujubescale/internal/bench/fluid"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/ops/losses"
)

// boundsOptions are the flags of `jujubedev bounds`.
type boundsOptions struct {
	every  float64
	losses string
	output string
	chart  string
}

// maxIntervals bounds the number of intervals, and with it the time and memory for the
// calculation.
const maxIntervals = 200

func newBounds() *cobra.Command {
	options := boundsOptions{every: 2, output: "text"}
	command := &cobra.Command{
		Use:   "bounds FILE",
		Short: "Prints an upper bound of the load that a deployment's engines can serve, by route and time",
		Long: "Reads a deployment and its load over time (samples/bounds) and prints an upper bound of\n" +
			"what its engines can serve, as if requests could be divided and calls were always full.\n" +
			"With --losses, a report of `jujubectl losses --output json`, it also prints what was served.",
		Example: "  jujubedev bounds samples/bounds/papierveda.json",
		Args:    exit.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			return runBounds(command.OutOrStdout(), args[0], options)
		},
	}
	flags := command.Flags()
	flags.Float64Var(&options.every, "every", options.every, "length of the intervals, in seconds")
	flags.StringVar(&options.losses, "losses", "", "report of jujubectl losses as JSON, with intervals of the same length")
	flags.StringVar(&options.output, "output", options.output, "text or json")
	flags.StringVar(&options.chart, "chart", "", "also write the bound over time to this file, as SVG")
	return command
}

// boundsReport holds the bound and the share of requests answered in time in each
// interval.
type boundsReport struct {
	*fluid.Bound
	InTime []float64 `json:"inTime,omitempty"`
}

func runBounds(out io.Writer, name string, options boundsOptions) error {
	if !(options.every > 0) {
		return exit.With(exit.Usage, fmt.Errorf("--every is %v, and has to be above 0", options.every))
	}
	if options.output != "text" && options.output != "json" {
		return exit.With(exit.Usage, fmt.Errorf("--output is %q, and has to be text or json", options.output))
	}
	model, err := readModel(name)
	if err != nil {
		return exit.With(exit.Invalid, fmt.Errorf("%s: %w", name, err))
	}
	if intervals := model.Seconds / options.every; intervals > maxIntervals {
		return exit.With(exit.Usage, fmt.Errorf("--every %v makes %.0f intervals in %v s; at most %d are allowed", options.every, intervals, model.Seconds, maxIntervals))
	}
	report := boundsReport{Bound: fluid.NewBound(model, options.every)}
	if options.losses != "" {
		if report.InTime, err = readInTime(options.losses, len(report.Intervals)); err != nil {
			return exit.With(exit.Invalid, fmt.Errorf("%s: %w", options.losses, err))
		}
	}
	if options.chart != "" {
		if err := drawBounds(options.chart, report); err != nil {
			return err
		}
	}
	if options.output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return writeBounds(out, report)
}

func readModel(name string) (*fluid.Model, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	return fluid.Read(file)
}

// readInTime reads a losses report and returns the share of attempts answered in time
// in each interval.
func readInTime(name string, maxCount int) ([]float64, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var report losses.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return nil, err
	}
	var shares []float64
	for _, interval := range report.Intervals[:min(maxCount, len(report.Intervals))] {
		all := 0
		for outcome, count := range interval.ByOutcome {
			if outcome != losses.Excluded {
				all += count
			}
		}
		shares = append(shares, float64(interval.ByOutcome[losses.InTime])/float64(max(all, 1)))
	}
	return shares, nil
}

func writeBounds(out io.Writer, report boundsReport) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "from s\tworth at best")
	for _, route := range report.Routes {
		_, _ = fmt.Fprintf(table, "\t%s", route)
	}
	_, _ = fmt.Fprintln(table, "\tin time\tbinding")
	for i, interval := range report.Intervals {
		_, _ = fmt.Fprintf(table, "%g\t%.2f", interval.FromS, interval.Worth)
		for r := range report.Routes {
			_, _ = fmt.Fprintf(table, "\t%.0f of %.0f", interval.Served[r], interval.Offered[r])
		}
		inTime := ""
		if i < len(report.InTime) {
			inTime = fmt.Sprintf("%.2f", report.InTime[i])
		}
		_, _ = fmt.Fprintf(table, "\t%s\t%s\n", inTime, interval.BottleneckText())
	}
	_, _ = fmt.Fprintf(table, "all\t%.3f", report.Worth)
	for r := range report.Routes {
		_, _ = fmt.Fprintf(table, "\t%.3f", report.ByRoute[r])
	}
	_, _ = fmt.Fprintln(table, "\t\t")
	return table.Flush()
}

func drawBounds(name string, report boundsReport) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	lines := []chart.Line{{Label: "worth at best"}, {Label: "answered in time"}}
	for i, interval := range report.Intervals {
		lines[0].X, lines[0].Y = append(lines[0].X, interval.FromS), append(lines[0].Y, interval.Worth)
		if i < len(report.InTime) {
			lines[1].X, lines[1].Y = append(lines[1].X, interval.FromS), append(lines[1].Y, report.InTime[i])
		}
	}
	if len(lines[1].X) == 0 {
		lines = lines[:1]
	}
	err = chart.Lines(file, report.Name+": share of the offered load", lines)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
