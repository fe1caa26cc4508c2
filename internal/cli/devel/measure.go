package devel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/bench/chart"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/bench/study"
	"github.com/jujubescale/jujubescale/internal/bench/tally"
)

// measureOptions are the flags of `jujubedev measure`.
type measureOptions struct {
	repeats    int
	cases      []string
	out        string
	sequential bool
	seed       int64
}

// defaultExperiments returns the experiments that are measured if no file is given.
func defaultExperiments() []string {
	return []string{"samples/experiments/papierveda.json", "samples/experiments/helvetia.json"}
}

func newMeasure() *cobra.Command {
	options := measureOptions{repeats: 5}
	command := &cobra.Command{
		Use:   "measure [EXPERIMENT...]",
		Short: "Measures attainment, cost by stage and service during the loss of a zone against a baseline",
		Long: "Runs each case of each deployment and its reference in turn, on embedded systems.\n" +
			"If no file is given, measures both sample deployments; run it in the repository's root.",
		RunE: func(command *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			if len(args) == 0 {
				args = defaultExperiments()
			}
			return runMeasure(ctx, command.OutOrStdout(), command.ErrOrStderr(), args, options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.repeats, "repeats", options.repeats, "runs of each case")
	flags.StringSliceVar(&options.cases, "case", nil, "measure only this case (repeatable)")
	flags.StringVar(&options.out, "out", "", "directory for results (JSON) and charts (SVG)")
	flags.Int64Var(&options.seed, "seed", 0, "seed of the first repeat; overrides that of the experiment. Use different seeds if repeats are split over several commands")
	flags.BoolVar(&options.sequential, "sequential", false, "measure one deployment after the other, not concurrently")
	return command
}

// measurement is the result of the study of one deployment.
type measurement struct {
	Experiment string          `json:"experiment"`
	Summaries  []study.Summary `json:"summaries"`
	Targets    []study.Target  `json:"targets"`
	Findings   []study.Finding `json:"findings"`
}

func runMeasure(ctx context.Context, out, progress io.Writer, files []string, options measureOptions) error {
	progress = &lockedWriter{to: progress}
	found := make([]*measurement, len(files))
	errs := make([]error, len(files))
	var group sync.WaitGroup
	for i, file := range files {
		run := func() { found[i], errs[i] = measureOne(ctx, progress, file, options) }
		if options.sequential {
			run()
			continue
		}
		group.Go(run)
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, m := range found {
		study.Table(out, m.Experiment, m.Summaries)
		study.TargetTable(out, m.Experiment, m.Targets)
	}
	if options.out == "" {
		return nil
	}
	return writeMeasurements(options.out, found)
}

// lockedWriter makes writes safe for deployments that are measured concurrently.
type lockedWriter struct {
	mu sync.Mutex
	to io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to.Write(line)
}

func measureOne(ctx context.Context, progress io.Writer, file string, options measureOptions) (*measurement, error) {
	experiment, err := plan.Read(file)
	if err != nil {
		return nil, err
	}
	opts := []study.Option{
		study.WithRepeats(options.repeats), study.WithSeed(options.seed),
		study.WithProgress(func(line string) { _, _ = fmt.Fprintln(progress, line) }),
	}
	if len(options.cases) > 0 {
		opts = append(opts, study.WithCases(options.cases...))
	}
	findings, err := study.New(experiment, opts...).Run(ctx)
	if err != nil {
		return nil, err
	}
	m := &measurement{Experiment: experiment.Name, Findings: findings}
	for i := range findings {
		m.Summaries = append(m.Summaries, study.Sum(&findings[i]))
	}
	m.Targets = study.Targets(m.Summaries)
	return m, nil
}

func writeMeasurements(directory string, found []*measurement) error {
	const mode = 0o755
	if err := os.MkdirAll(directory, mode); err != nil {
		return err
	}
	for _, m := range found {
		if err := writeResult(filepath.Join(directory, m.Experiment+".json"), m); err != nil {
			return err
		}
		for i := range m.Findings {
			if err := drawFinding(directory, m.Experiment, &m.Findings[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// drawFinding draws charts of the first run of a case and of its reference.
func drawFinding(directory, name string, finding *study.Finding) error {
	results := []*tally.Result{finding.Measured[0]}
	if len(finding.Reference) > 0 {
		results = append(results, finding.Reference[0])
	}
	for kind, draw := range map[string]func(io.Writer, []*tally.Result) error{
		"attainment": chart.Attainment, "cost": chart.Cost,
	} {
		file := filepath.Join(directory, fmt.Sprintf("%s-%s-%s.svg", name, slug(finding.Case), kind))
		if err := drawFile(file, results, draw); err != nil {
			return err
		}
	}
	return nil
}

func drawFile(file string, results []*tally.Result, draw func(io.Writer, []*tally.Result) error) error {
	target, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := draw(target, results); err != nil {
		return errors.Join(err, target.Close())
	}
	return target.Close()
}

// slug returns the name of a case with spaces and dots replaced, for a file name.
func slug(name string) string {
	var out []rune
	for _, r := range name {
		if r == ' ' || r == '.' {
			r = '-'
		}
		out = append(out, r)
	}
	return string(out)
}
