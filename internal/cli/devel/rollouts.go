package devel

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/bench/chart"
	"github.com/jujubescale/jujubescale/internal/bench/orders"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

// rolloutsOptions are the flags of `jujubedev rollouts`.
type rolloutsOptions struct {
	orders   int
	duration time.Duration
	share    float64
	spare    float64
	output   string
	chart    string
}

// maxOrders bounds the number of simulated orders of each case; a thousand take seconds.
const maxOrders = 100_000

func newRollouts() *cobra.Command {
	options := rolloutsOptions{orders: 200, duration: 12 * time.Second, share: 0.1, spare: 50, output: "text"}
	command := &cobra.Command{
		Use:   "rollouts",
		Short: "Simulates rollouts of good and bad versions with several methods of decision",
		Long: "Simulates rollouts in memory: good and bad versions of several kinds, on pools of two\n" +
			"sizes, with the method of the gateways and with simpler ones. For each it prints how many\n" +
			"were decided wrongly, how many candidates got more requests than allowed, and when bad\n" +
			"versions were rolled back.",
		Args: exit.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return runRollouts(command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.orders, "orders", options.orders, "number of orders of each case")
	flags.DurationVar(&options.duration, "duration", options.duration, "time from an order to its deadline")
	flags.Float64Var(&options.share, "share", options.share, "share of the requests that a candidate may get")
	flags.Float64Var(&options.spare, "spare", options.spare, "number of requests that a candidate may get in addition to the share")
	flags.StringVar(&options.output, "output", options.output, "text or json")
	flags.StringVar(&options.chart, "chart", "", "also write the wrong decisions to this file, as SVG")
	return command
}

func (o *rolloutsOptions) check() error {
	switch {
	case o.orders < 1 || o.orders > maxOrders:
		return fmt.Errorf("--orders is %d, and has to be from 1 to %d", o.orders, maxOrders)
	case o.duration < time.Second || o.duration > time.Hour:
		return fmt.Errorf("--duration is %v, and has to be from 1s to 1h", o.duration)
	case !(o.share > 0) || o.share > 1:
		return fmt.Errorf("--share is %v, and has to be above 0 and at most 1", o.share)
	case !(o.spare >= 0):
		return fmt.Errorf("--spare is %v, and has to be 0 or more", o.spare)
	case o.output != "text" && o.output != "json":
		return fmt.Errorf("--output is %q, and has to be text or json", o.output)
	}
	return nil
}

func runRollouts(out io.Writer, options rolloutsOptions) error {
	if err := options.check(); err != nil {
		return exit.With(exit.Usage, err)
	}
	summaries := simulateOrders(options)
	if options.chart != "" {
		if err := drawOrders(options.chart, summaries); err != nil {
			return err
		}
	}
	if options.output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(summaries)
	}
	return writeOrders(out, summaries)
}

// simulateOrders simulates all cases, several concurrently.
func simulateOrders(options rolloutsOptions) []orders.Summary {
	bounds := canary.Bounds{Share: options.share, Base: options.spare}
	duration := clock.Millis(options.duration.Milliseconds())
	var tasks []func() orders.Summary
	for _, load := range orders.Loads() {
		for _, c := range orders.Cases() {
			for _, method := range orders.Methods() {
				tasks = append(tasks, func() orders.Summary {
					return orders.Run(method, load, c, bounds, duration, options.orders)
				})
			}
		}
	}
	summaries := make([]orders.Summary, len(tasks))
	var group sync.WaitGroup
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for i, task := range tasks {
		group.Go(func() {
			slots <- struct{}{}
			summaries[i] = task()
			<-slots
		})
	}
	group.Wait()
	return summaries
}

func writeOrders(out io.Writer, summaries []orders.Summary) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "load\tversion\tmethod\twrong\tmore than its share\tdecided after ms\tbad answers\t9 of 10 below")
	for _, s := range summaries {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d\t%d\t%d\t%d\t%d\n",
			s.Load, s.Case, s.Method, s.Wrong, s.Orders, s.Exceeded, s.MedianMs, s.MedianBad, s.NinetiethBad)
	}
	return table.Flush()
}

func drawOrders(name string, summaries []orders.Summary) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	var bars []chart.Bar
	for _, s := range summaries {
		bars = append(bars, chart.Bar{Label: s.Case + ", " + s.Method, Value: float64(s.Wrong) / float64(s.Orders)})
	}
	err = chart.Shares(file, "share of orders decided wrongly", bars)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
