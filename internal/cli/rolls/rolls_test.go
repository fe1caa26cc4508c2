package rolls_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/cli/rolls"
	"github.com/jujubescale/jujubescale/platform/stand"
)

func deployment(t *testing.T) *stand.Deployment {
	t.Helper()
	d, err := stand.New(stand.Config{})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

func run(t *testing.T, d *stand.Deployment, args ...string) (code exit.Code, out, errs string) {
	t.Helper()
	root := &cobra.Command{Use: "jujubectl"}
	options := reach.New()
	options.AddFlags(root)
	root.AddCommand(rolls.New(options))
	var stdout, stderr bytes.Buffer
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	code = exit.RunContext(t.Context(), root, append([]string{"rollout", "--platform", "http://" + d.Address}, args...))
	return code, stdout.String(), stderr.String()
}

func TestRolloutFromOrderToEnd(t *testing.T) {
	d := deployment(t)
	code, out, errs := run(t, d, "start", "orders", "v2", "--duration", "12s")
	assert.Equal(t, code, exit.OK, errs)
	assert.Assert(t, strings.Contains(out, "ordered"), out)
	code, _, errs = run(t, d, "start", "orders", "v3")
	assert.Equal(t, code, exit.Conflict)
	assert.Assert(t, strings.Contains(errs, `"v2"`), errs)
	d.WriteRolloutStatus("orders", `{"state":"running","to":"v2","from":"v1","durationS":12}`)
	time.AfterFunc(100*time.Millisecond, func() {
		d.WriteRolloutStatus("orders", `{"state":"rolled_back","to":"v2","from":"v1","durationS":12,"reason":"9 of 40"}`)
	})
	code, out, errs = run(t, d, "watch", "orders")
	assert.Equal(t, code, exit.NotInForce, errs)
	assert.Assert(t, strings.Contains(out, "running") && strings.Contains(out, "rolledBack") && strings.Contains(errs, "9 of 40"), out)
	_, out, _ = run(t, d, "status", "--output=json")
	var all []rolls.Rollout
	assert.NilError(t, json.Unmarshal([]byte(out), &all))
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].State, "rolledBack")
	code, _, errs = run(t, d, "start", "orders", "v3")
	assert.Equal(t, code, exit.OK, errs)
	code, _, errs = run(t, d, "abort", "orders")
	assert.Equal(t, code, exit.OK, errs)
	code, _, _ = run(t, d, "status", "orders")
	assert.Equal(t, code, exit.NotFound)
}

func TestHistoryKeepsEarlierOrders(t *testing.T) {
	d := deployment(t)
	code, _, _ := run(t, d, "history", "orders")
	assert.Equal(t, code, exit.NotFound)
	_, _, _ = run(t, d, "start", "orders", "v3", "--duration", "12s")
	d.WriteRolloutStatus("orders", `{"state":"rolled_back","to":"v3","from":"v1","durationS":12,"beganMs":1765000000000,"reason":"9 of 40",
		"requests":500,"routes":[{"route":"book","requests":450,"answers":449,"failures":2,"candidateRequests":41,"candidateAnswers":40,"candidateFailures":9}],
		"earlier":[{"state":"completed","to":"v1","from":"v0"},{"state":"running","to":"v0"}]}`)
	code, out, errs := run(t, d, "history", "orders")
	assert.Equal(t, code, exit.OK, errs)
	for _, part := range []string{"2025-12-06T05:46:40Z", "rolledBack", "9 of 40", "completed", "replaced"} {
		assert.Assert(t, strings.Contains(out, part), "%q lacks %s", out, part)
	}
	_, out, _ = run(t, d, "status", "orders")
	assert.Assert(t, strings.Contains(out, "book") && strings.Contains(out, "9 of 40"), out)
	_, out, _ = run(t, d, "history", "orders", "--output=json")
	var all []rolls.Entry
	assert.NilError(t, json.Unmarshal([]byte(out), &all))
	assert.Equal(t, len(all), 3)

	// A new order keeps the history.
	_, _, errs = run(t, d, "start", "orders", "v4", "--duration", "12s")
	assert.Equal(t, errs, "")
	_, out, _ = run(t, d, "history", "orders", "--output=json")
	assert.NilError(t, json.Unmarshal([]byte(out), &all))
	assert.Equal(t, len(all), 4)
	assert.Equal(t, all[0].State, "ordered")
	assert.Equal(t, all[1].Version, "v3")
}

// Guards against an abort that leaves a pool without a version: after a completed
// rollout the endpoints of the old version have been stopped.
func TestCompletedRolloutStays(t *testing.T) {
	d := deployment(t)
	_, _, _ = run(t, d, "start", "orders", "v2", "--duration", "12s")
	d.WriteRolloutStatus("orders", `{"state":"completed","to":"v2","from":"v1","durationS":12}`)
	code, _, errs := run(t, d, "abort", "orders")
	assert.Equal(t, code, exit.Conflict, errs)
	code, _, errs = run(t, d, "watch", "orders")
	assert.Equal(t, code, exit.OK, errs)
}

func TestRolloutRefusesBadArguments(t *testing.T) {
	d := deployment(t)
	for _, args := range [][]string{
		{"start", "orders"},
		{"start", "a/b", "v2"},
		{"start", "orders", ""},
		{"start", "orders", "v2", "--duration", "1s"},
		{"start", "orders", "v2", "--duration", "soon"},
		{"status", "a", "b"},
		{"abort"},
		{"watch"},
		{"history"},
		{"status", "--output=xml"},
		{"undo"},
	} {
		code, _, _ := run(t, d, args...)
		assert.Equal(t, code, exit.Usage, "%v", args)
	}
	d.WriteOrder("orders", `{"service":"orders"}`)
	code, out, _ := run(t, d, "status")
	assert.Equal(t, code, exit.OK)
	assert.Assert(t, strings.Contains(out, "unreadable"), out)
	code, _, _ = run(t, d, "watch", "nothing")
	assert.Equal(t, code, exit.NotFound)
}
