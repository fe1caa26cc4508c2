package study

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/drive"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/bench/tally"
	"github.com/jujubescale/jujubescale/internal/bench/trial"
)

// fakeRun returns an attainment of 0.75, and of 0.5 for the baseline.
func fakeRun(_ context.Context, e *plan.Experiment, system trial.System, _ func(drive.Progress)) (*tally.Result, error) {
	r := &tally.Result{System: system.Name, Attainment: 0.75, AttainableShare: e.AttainableShare(), WastedShare: 0.01}
	if system.Name == trial.Baseline().Name {
		r.Attainment, r.WastedShare = 0.5, 0.4
	}
	return r, nil
}

func TestStudyPairsEachRunWithItsReference(t *testing.T) {
	e, err := plan.Read("../../../samples/experiments/papierveda.json")
	assert.NilError(t, err)
	s := New(e, WithRepeats(3), WithCases("load 1.5"))
	s.runFunc = fakeRun
	findings, err := s.Run(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, len(findings[0].Measured), 3)
	assert.Equal(t, len(findings[0].Reference), 3)
	sum := Sum(&findings[0])
	assert.Equal(t, sum.AttainmentRatio, Spread{Median: 1.5, Min: 1.5, Max: 1.5})
	var out bytes.Buffer
	Table(&out, e.Name, []Summary{sum})
	assert.Assert(t, !strings.Contains(out.String(), "MISSING"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "| load 1.5 | 75.00 (75.00–75.00) | 50.00"), out.String())
}

func TestMedianOfEvenCountIsMeanOfMiddleValues(t *testing.T) {
	assert.Equal(t, newSpread([]float64{4, 1, 2, 3}), Spread{Median: 2.5, Min: 1, Max: 4})
}

func TestMissedTargetsAreReported(t *testing.T) {
	targets := Targets([]Summary{{Case: "zone leaves and returns", WorstSecond: Spread{Median: 0.98}, Cut: 1, LastNewWorkMs: 100}})
	met := make([]bool, 0, len(targets))
	for _, one := range targets {
		met = append(met, one.Met)
	}
	assert.DeepEqual(t, met, []bool{false, false, true, true})
}
