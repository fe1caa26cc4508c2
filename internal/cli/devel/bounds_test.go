package devel

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/fluid"
	"github.com/jujubescale/jujubescale/internal/ops/losses"
)

func TestBoundsReadsEverySample(t *testing.T) {
	names, err := filepath.Glob("../../../samples/bounds/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		var out bytes.Buffer
		assert.NilError(t, runBounds(&out, name, boundsOptions{every: 2, output: "json"}), name)
		var bound fluid.Bound
		assert.NilError(t, json.Unmarshal(out.Bytes(), &bound), name)
		assert.Assert(t, len(bound.Intervals) > 1 && bound.Worth > 0 && bound.Worth <= 1, "%s: %v", name, bound.Worth)
	}
}

func TestBoundsShowsServedShare(t *testing.T) {
	directory := t.TempDir()
	model := filepath.Join(directory, "model.json")
	assert.NilError(t, os.WriteFile(model, []byte(`{"name":"m","seconds":4,
		"pools":[{"name":"encode","engines":1,"slots":1}],
		"routes":[{"name":"draft","perSecond":10,"worth":1,"objectiveMs":1,"uses":[{"pool":"encode","slotMs":200}]}]}`), 0o600))
	report, err := json.Marshal(losses.Report{Intervals: []losses.Interval{
		{ByOutcome: map[losses.Outcome]int{losses.InTime: 3, losses.Excluded: 5, losses.Late: 1}},
	}})
	assert.NilError(t, err)
	served := filepath.Join(directory, "losses.json")
	assert.NilError(t, os.WriteFile(served, report, 0o600))
	options := boundsOptions{every: 2, output: "text", losses: served, chart: filepath.Join(directory, "chart.svg")}
	var out bytes.Buffer
	assert.NilError(t, runBounds(&out, model, options))
	for _, part := range []string{"0.50", "10 of 20", "0.75", "encode"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%s lacks %s", out.String(), part)
	}
	drawn, err := os.ReadFile(options.chart)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(drawn, []byte("<svg")))
}

func TestBoundsRefusesBadArguments(t *testing.T) {
	sample := "../../../samples/bounds/papierveda.json"
	for text, options := range map[string]boundsOptions{
		"--every":     {every: 0, output: "text"},
		"intervals":   {every: 0.01, output: "text"},
		"--output":    {every: 2, output: "xml"},
		"none.json":   {every: 2, output: "text", losses: "none.json"},
		"no/such/dir": {every: 2, output: "text", chart: "no/such/dir/chart.svg"},
	} {
		assert.ErrorContains(t, runBounds(&bytes.Buffer{}, sample, options), text)
	}
	assert.ErrorContains(t, runBounds(&bytes.Buffer{}, "none.json", boundsOptions{every: 2, output: "text"}), "none.json")
}
