package plan_test

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
)

const samples = "../../../samples/experiments/"

func TestSampleExperimentsAreValid(t *testing.T) {
	files, err := filepath.Glob(samples + "*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 2)
	for _, file := range files {
		e, err := plan.Read(file)
		assert.NilError(t, err, file)
		assert.Assert(t, e.Capacity() > 0, file)
	}
}

func TestCapacityLimitsAttainableShare(t *testing.T) {
	e, err := plan.Read(samples + "papierveda.json")
	assert.NilError(t, err)
	assert.Equal(t, e.Rate(), 0.7*e.Capacity())
	assert.Assert(t, math.Abs(e.AttainableShare()-1) < 1e-9, e.AttainableShare())
	e.Load = 3
	assert.Assert(t, e.AttainableShare() > 0.33 && e.AttainableShare() < 0.6, e.AttainableShare())
}

func TestInvalidFieldsAreNamed(t *testing.T) {
	cases := []struct{ name, from, to, path string }{
		{"unknown field", `"load": 0.7`, `"lood": 0.7`, "lood"},
		{"negative load", `"load": 0.7`, `"load": -1`, "load"},
		{"unknown service", `"service": "shift-summaries"`, `"service": "shifts"`, "mix[1].service"},
		{"unknown fault", `"seed": 1`, `"faults": [{"atMs": 1, "fault": "quake"}]`, "faults[0].fault"},
		{"path missing", `, "path": "/v1/bookings"`, ``, "mix[3].path"},
	}
	raw, err := os.ReadFile(samples + "papierveda.json")
	assert.NilError(t, err)
	manifest, err := os.ReadFile(samples + "../papierveda.json")
	assert.NilError(t, err)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			root := t.TempDir()
			assert.Assert(t, strings.Contains(string(raw), c.from))
			assert.NilError(t, os.WriteFile(filepath.Join(root, "papierveda.json"), manifest, 0o600))
			assert.NilError(t, os.Mkdir(filepath.Join(root, "x"), 0o700))
			file := filepath.Join(root, "x", "e.json")
			assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(string(raw), c.from, c.to, 1)), 0o600))
			_, err := plan.Read(file)
			var list *fault.InvalidListError
			assert.Assert(t, errors.As(err, &list), "%v", err)
			assert.Equal(t, list.Faults[0].Path, c.path)
		})
	}
}
