package state

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/ops/losses"
)

// lossesOptions are the flags of `losses`.
type lossesOptions struct {
	everyMs int64
	csv     bool
	chart   string
	files   []string
}

// defaultEvery is the length of an interval of the report, in milliseconds.
const defaultEvery = 2000

// NewLosses returns the losses command.
func NewLosses(shared *reach.Options) *cobra.Command {
	var options lossesOptions
	cmd := &cobra.Command{
		Use:   "losses [FILE...]",
		Short: "Reports from logs which requests were not answered in time, when and why",
		Long: "Reads the logs of all processes, in any order, from files or, if none is given, from\n" +
			"standard input. Each attempt that was refused, late or failed gets one main cause: the\n" +
			"reason that was returned to its caller, or the phase or event that made it late. Needs\n" +
			"no platform. Exit code 9 if no line records the end of a request.",
		Example: "  cat /var/log/jujubescale/*.log | jujubectl losses\n" +
			"  jujubectl losses --chart losses.svg gateway-*.log",
		RunE: func(cmd *cobra.Command, args []string) error {
			options.files = args
			return runLosses(cmd, shared, options)
		},
	}
	cmd.Flags().Int64Var(&options.everyMs, "every", defaultEvery, "length of the intervals, in milliseconds")
	cmd.Flags().BoolVar(&options.csv, "csv", false, "print the causes as comma-separated values")
	cmd.Flags().StringVar(&options.chart, "chart", "", "also write causes over time to this file, as SVG")
	return cmd
}

func runLosses(cmd *cobra.Command, shared *reach.Options, options lossesOptions) error {
	if options.everyMs < 1 {
		return exit.With(exit.Usage, fmt.Errorf("--every is %d, and has to be 1 ms or more", options.everyMs))
	}
	logs, closeAll, err := openAll(cmd.InOrStdin(), options.files)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	defer closeAll()
	report, err := losses.Read(logs, clock.Millis(options.everyMs))
	if err != nil {
		return fmt.Errorf("reading the logs: %w", err)
	}
	if len(report.Routes) == 0 {
		return exit.With(exit.NotFound, fmt.Errorf("none of %d lines records the end of a request; %d could not be read", report.Lines, report.Skipped))
	}
	if options.chart != "" {
		if err := drawLosses(options.chart, report); err != nil {
			return err
		}
	}
	if options.csv {
		return writeCauses(cmd.OutOrStdout(), report)
	}
	return shared.Print(cmd.OutOrStdout(), report, func(out io.Writer) { writeLosses(out, report) })
}

// openAll returns a reader of the concatenated files and a function that closes them.
// If names is empty, the reader is input.
func openAll(input io.Reader, names []string) (io.Reader, func(), error) {
	if len(names) == 0 {
		return input, func() {}, nil
	}
	var readers []io.Reader
	var files []*os.File
	closeAll := func() {
		for _, file := range files {
			_ = file.Close() // the files were only read
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, file)
		readers = append(readers, file, strings.NewReader("\n"))
	}
	return io.MultiReader(readers...), closeAll, nil
}

func drawLosses(name string, report *losses.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	if err := losses.Chart(file, report); err != nil {
		_ = file.Close() // the error of the drawing is returned instead
		return fmt.Errorf("drawing the chart: %w", err)
	}
	return file.Close()
}

// outcomes lists the outcomes in the order of the table columns.
var outcomes = []losses.Outcome{losses.InTime, losses.Late, losses.Refused, losses.Failed, losses.Excluded}

func writeLosses(out io.Writer, report *losses.Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "route\tattempts\tin time\tlate\trefused\tfailed\tleft")
	for _, route := range report.Routes {
		_, _ = fmt.Fprintf(table, "%s\t%d", route.Route, route.Attempts)
		for _, outcome := range outcomes {
			_, _ = fmt.Fprintf(table, "\t%d", route.ByOutcome[outcome])
		}
		_, _ = fmt.Fprintln(table)
	}
	_, _ = fmt.Fprintln(table, "\nroute\toutcome\tcause\tpool or stage\tattempts\tlate in all, ms")
	for _, cause := range report.Causes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", cause.Route, cause.Outcome, cause.Cause, cause.Pool, cause.Count, cause.LateMs)
	}
	_, _ = fmt.Fprintln(table, "\nroute\tphase\tp50 ms\tp90 ms\tp99 ms")
	for _, phase := range report.Phases {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\n", phase.Route, phase.Phase, phase.P50Ms, phase.P90Ms, phase.P99Ms)
	}
	_, _ = fmt.Fprintln(table, "\nfrom ms\tin time\tlate\trefused\tfailed\tleft\tmost for")
	for i := range report.Intervals {
		interval := &report.Intervals[i]
		_, _ = fmt.Fprintf(table, "%d", interval.FromMs)
		for _, outcome := range outcomes {
			_, _ = fmt.Fprintf(table, "\t%d", interval.ByOutcome[outcome])
		}
		_, _ = fmt.Fprintf(table, "\t%s\n", mostFrequentCause(interval))
	}
	_ = table.Flush() // fails only if the output is closed
	_, _ = fmt.Fprintf(out, "\n%d lines read, %d not readable, %d dropped by their processes, %d ends left out\n",
		report.Lines, report.Skipped, report.Dropped, report.LeftOut)
}

// mostFrequentCause returns the most frequent cause in an interval.
func mostFrequentCause(interval *losses.Interval) losses.Cause {
	var causes []losses.Cause
	for cause := range interval.Causes {
		causes = append(causes, cause)
	}
	if len(causes) == 0 {
		return ""
	}
	return slices.MaxFunc(causes, func(a, b losses.Cause) int {
		return cmp.Or(cmp.Compare(interval.Causes[a], interval.Causes[b]), cmp.Compare(b, a))
	})
}

func writeCauses(out io.Writer, report *losses.Report) error {
	table := csv.NewWriter(out)
	_ = table.Write([]string{"route", "outcome", "cause", "pool", "attempts", "lateMs"}) // table.Error returns the error
	for _, cause := range report.Causes {
		_ = table.Write([]string{
			cause.Route, string(cause.Outcome), string(cause.Cause), cause.Pool,
			strconv.Itoa(cause.Count), strconv.FormatInt(int64(cause.LateMs), 10),
		})
	}
	table.Flush()
	return table.Error()
}
