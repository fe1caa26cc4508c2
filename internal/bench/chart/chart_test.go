package chart_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/chart"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/bench/tally"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

func TestChartsHaveLabels(t *testing.T) {
	result := &tally.Result{
		Experiment: "e", System: "s",
		Seconds: []tally.Second{{Second: 0}, {Second: 1, Counts: tally.Counts{Sent: 2, InTime: 1}}},
		Stages:  []tally.Stage{{Pool: "encoders", PerAnswerMs: 3}, {Pool: "engines", PerAnswerMs: 30}},
		Faults:  []plan.Fault{{AtMs: 500, Fault: whole.Fault{Name: whole.ZoneLeave, Target: "za-1"}}},
	}
	var out bytes.Buffer
	assert.NilError(t, chart.Attainment(&out, []*tally.Result{result}))
	assert.Assert(t, strings.Contains(out.String(), "zoneLeave za-1"))
	out.Reset()
	assert.NilError(t, chart.Cost(&out, []*tally.Result{result}))
	assert.Assert(t, strings.Contains(out.String(), "engines s"))
}
