package check_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

const samples = "../../../samples"

// An operator applies a manifest with faults. Each file in testdata/bad has faults
// of one kind. The error must list all of them, each with its path, its value and the
// allowed values.
func TestBadManifests(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 30)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			assert.NilError(t, err)
			_, err = check.Manifest(raw)
			var list *fault.InvalidListError
			assert.Assert(t, asInvalidList(err, &list), "accepted")
			golden.Assert(t, list.Error()+"\n", "bad/"+strings.TrimSuffix(filepath.Base(file), ".json")+".golden")
		})
	}
}

func TestSamplesAreValid(t *testing.T) {
	for _, name := range []string{"papierveda", "helvetia"} {
		t.Run(name, func(t *testing.T) {
			m := sample(t, name)
			assert.Equal(t, len(m.Organisations), 5)
			assert.Equal(t, len(m.Services), 4)
		})
	}
}

func TestDefaults(t *testing.T) {
	raw, err := os.ReadFile("testdata/good/defaults.json")
	assert.NilError(t, err)
	m, err := check.Manifest(raw)
	assert.NilError(t, err)
	assert.Equal(t, m.Pools[3].Fencing, manif.FencingIgnored)
	assert.Equal(t, m.Pools[0].Fencing, manif.Fencing(""))
	assert.Equal(t, m.Pipelines[0].Stages[0].Cost, int64(1))
	assert.Equal(t, int(m.Services[1].DeadlineMs), manif.DefaultDeadlineMs)
	assert.Equal(t, m.Services[1].Calls[0].Cost, int64(1))
	assert.Equal(t, m.Organisations[0].Weight, 1)
}

// Fill must not change a manifest that it has filled before, because it runs before
// the manifest is written and again in every process that reads it.
func TestFillIsIdempotent(t *testing.T) {
	once := sample(t, "helvetia")
	twice := sample(t, "helvetia")
	assert.NilError(t, check.Fill(twice))
	assert.DeepEqual(t, once, twice)
}

func sample(t *testing.T, name string) *manif.Manifest {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(samples, name+".json"))
	assert.NilError(t, err)
	m, err := check.Manifest(raw)
	assert.NilError(t, err)
	return m
}
