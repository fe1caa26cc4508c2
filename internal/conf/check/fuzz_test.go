package check_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/check"
)

func asInvalidList(err error, list **fault.InvalidListError) bool { return errors.As(err, list) }

// Any input is either refused with a list of faults or gives a manifest that is
// accepted again, and is the same, after it was encoded.
func FuzzManifest(f *testing.F) {
	for _, pattern := range []string{"testdata/bad/*.json", "testdata/good/*.json", samples + "/*.json"} {
		files, err := filepath.Glob(pattern)
		assert.NilError(f, err)
		for _, file := range files {
			raw, err := os.ReadFile(file)
			assert.NilError(f, err)
			f.Add(raw)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := check.Manifest(raw)
		if err != nil {
			var list *fault.InvalidListError
			assert.Assert(t, asInvalidList(err, &list), "%v", err)
			assert.Assert(t, len(list.Faults) > 0)
			return
		}
		written, err := json.Marshal(m)
		assert.NilError(t, err)
		again, err := check.Manifest(written)
		assert.NilError(t, err)
		assert.DeepEqual(t, m, again)
	})
}
