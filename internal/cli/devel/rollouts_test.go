package devel

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/orders"
)

func smallOptions() rolloutsOptions {
	return rolloutsOptions{orders: 1, duration: 3 * time.Second, share: 0.1, spare: 50, output: "text"}
}

func TestRolloutsPrintsEveryCase(t *testing.T) {
	options := smallOptions()
	options.chart = filepath.Join(t.TempDir(), "chart.svg")
	var out bytes.Buffer
	assert.NilError(t, runRollouts(&out, options))
	for _, c := range orders.Cases() {
		assert.Assert(t, strings.Contains(out.String(), c.Name), c.Name)
	}
	drawn, err := os.ReadFile(options.chart)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(drawn, []byte("<svg")))
	options.output = "json"
	out.Reset()
	assert.NilError(t, runRollouts(&out, options))
	var summaries []orders.Summary
	assert.NilError(t, json.Unmarshal(out.Bytes(), &summaries))
	assert.Equal(t, len(summaries), len(orders.Cases())*len(orders.Loads())*len(orders.Methods()))
}

func TestRolloutsRefusesBadArguments(t *testing.T) {
	for name, change := range map[string]func(*rolloutsOptions){
		"--orders":   func(o *rolloutsOptions) { o.orders = 0 },
		"--duration": func(o *rolloutsOptions) { o.duration = -time.Second },
		"--share":    func(o *rolloutsOptions) { o.share = 2 },
		"--spare":    func(o *rolloutsOptions) { o.spare = -1 },
		"--output":   func(o *rolloutsOptions) { o.output = "xml" },
	} {
		options := smallOptions()
		change(&options)
		assert.ErrorContains(t, runRollouts(&bytes.Buffer{}, options), name)
	}
}
