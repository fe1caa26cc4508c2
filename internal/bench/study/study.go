package study

import (
	"context"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/bench/drive"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/bench/tally"
	"github.com/jujubescale/jujubescale/internal/bench/trial"
)

// Finding holds the results of all runs of one case.
type Finding struct {
	Case      string          `json:"case"`
	Measured  []*tally.Result `json:"measured"`
	Reference []*tally.Result `json:"reference,omitempty"`
}

// Study measures one deployment.
type Study struct {
	experiment *plan.Experiment
	repeats    int
	cases      []Case
	progress   func(line string)
	runFunc    func(context.Context, *plan.Experiment, trial.System, func(drive.Progress)) (*tally.Result, error)
}

// Option configures a Study.
type Option func(*Study)

// WithRepeats sets the number of runs of each case.
func WithRepeats(repeats int) Option { return func(s *Study) { s.repeats = repeats } }

// WithSeed sets the seed of the first repeat; each further repeat increments it.
func WithSeed(seed int64) Option {
	return func(s *Study) {
		if seed > 0 {
			changed := *s.experiment
			changed.Seed = seed
			s.experiment = &changed
		}
	}
}

// WithCases selects the cases with the given names, which may be extra cases.
func WithCases(names ...string) Option {
	return func(s *Study) {
		var kept []Case
		for _, one := range append(s.cases, ExtraCases(s.experiment)...) {
			for _, name := range names {
				if one.Name == name {
					kept = append(kept, one)
				}
			}
		}
		s.cases = kept
	}
}

// WithProgress sets the function that receives a line at the start of each run.
func WithProgress(progress func(line string)) Option { return func(s *Study) { s.progress = progress } }

const defaultRepeats = 5

// New returns the study of a deployment.
func New(e *plan.Experiment, opts ...Option) *Study {
	s := &Study{
		experiment: e, repeats: defaultRepeats, cases: Cases(e), progress: func(string) {}, runFunc: trial.Run,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run measures all cases. It interleaves the repeats of all cases; measured and reference
// run first in alternate repeats.
func (s *Study) Run(ctx context.Context) ([]Finding, error) {
	findings := make([]Finding, len(s.cases))
	for repeat := range s.repeats {
		for i := range s.cases {
			one := &s.cases[i]
			findings[i].Case = one.Name
			s.progress(fmt.Sprintf("%s: repeat %d of %d, %s", s.experiment.Name, repeat+1, s.repeats, one.Name))
			if err := s.runPair(ctx, one, repeat, &findings[i]); err != nil {
				return nil, fmt.Errorf("%s, %s: %w", s.experiment.Name, one.Name, err)
			}
		}
	}
	return findings, nil
}

func (s *Study) runPair(ctx context.Context, one *Case, repeat int, finding *Finding) error {
	measured := func() error { return s.runOnce(ctx, one, &one.Measured, repeat, &finding.Measured) }
	reference := func() error {
		if one.Reference == nil {
			return nil
		}
		return s.runOnce(ctx, one, one.Reference, repeat, &finding.Reference)
	}
	order := []func() error{measured, reference}
	if repeat%2 == 1 {
		order = []func() error{reference, measured}
	}
	for _, run := range order {
		if err := run(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Study) runOnce(ctx context.Context, one *Case, variant *Variant, repeat int, into *[]*tally.Result) error {
	e := *s.experiment
	e.Load, e.RatePerSecond = one.Load, 0
	e.WarmupMs, e.DurationMs, e.CooldownMs = one.WarmupMs, one.DurationMs, one.CooldownMs
	e.Faults = variant.Faults
	e.Seed += int64(repeat)
	result, err := s.runFunc(ctx, &e, variant.System, func(drive.Progress) {})
	if err != nil {
		return err
	}
	*into = append(*into, result)
	return nil
}
