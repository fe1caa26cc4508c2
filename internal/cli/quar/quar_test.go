package quar_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/quar"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

func run(t *testing.T, d *stand.Deployment, args ...string) (code exit.Code, out, errs string) {
	t.Helper()
	root := &cobra.Command{Use: "jujubectl"}
	options := reach.New()
	options.AddFlags(root)
	root.AddCommand(quar.New(options))
	var stdout, stderr bytes.Buffer
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	code = exit.RunContext(t.Context(), root, append([]string{"quarantine", "--platform", "http://" + d.Address}, args...))
	return code, stdout.String(), stderr.String()
}

func TestQuarantinesAreListedAndLifted(t *testing.T) {
	d, err := stand.New(stand.Config{})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	older := crash.KeyOf("baker", "POST", "a.example", "/", []byte("x")).String()
	newer := crash.KeyOf("baker", "POST", "a.example", "/", []byte("y")).String()
	d.Store.Put(platform.KindQuarantines, older, map[string]any{"sinceMs": 1765000000000, "endpoints": []string{"i-1/7", "i-2/8"}})
	d.Store.Put(platform.KindQuarantines, newer, map[string]any{"sinceMs": 1765000001000})
	d.Store.PutRaw(platform.KindQuarantines, "other", json.RawMessage(`7`))

	code, out, errs := run(t, d, "list")
	assert.Equal(t, code, exit.OK, errs)
	assert.Assert(t, strings.Contains(out, older+"  2025-12-06T05:46:40Z  2        i-1/7 i-2/8"), out)
	assert.Assert(t, strings.Index(out, newer) < strings.Index(out, older), out)
	_, out, _ = run(t, d, "list", "--output=json")
	var all []quar.Quarantine
	assert.NilError(t, json.Unmarshal([]byte(out), &all))
	assert.Equal(t, len(all), 3)
	assert.Assert(t, all[2].Unreadable != "", "%+v", all)

	code, _, errs = run(t, d, "lift", older)
	assert.Equal(t, code, exit.OK, errs)
	code, _, errs = run(t, d, "lift", older)
	assert.Equal(t, code, exit.NotFound)
	assert.Assert(t, strings.Contains(errs, older), errs)
	code, _, errs = run(t, d, "lift", "other")
	assert.Equal(t, code, exit.Usage)
	assert.Assert(t, strings.Contains(errs, `"other"`), errs)
}

// Guards against a part of prompts whose crashes or answer operators can't see or lift.
func TestPartsAreListedAndLifted(t *testing.T) {
	d, err := stand.New(stand.Config{})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	key := crash.PartKeyOf("models", "m", "5c1e").String()
	d.Store.Put(platform.KindQuarantines, key, map[string]any{
		"sinceMs": 1765000000000, "endpoints": []string{"i-1/7", "i-2/8"},
		"part": map[string]any{"id": "5c1e", "answeredBy": "i-3/9", "answeredMs": 1765000001000},
	})
	code, out, errs := run(t, d, "list")
	assert.Equal(t, code, exit.OK, errs)
	assert.Assert(t, strings.Contains(out, key+"  2025-12-06T05:46:40Z  2        i-1/7 i-2/8  5c1e  i-3/9"), out)
	code, _, errs = run(t, d, "lift", key)
	assert.Equal(t, code, exit.OK, errs)
	assert.Equal(t, len(d.Store.Names(platform.KindQuarantines)), 0)
}
