package skip_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/ops/skip"
)

// Guards against a log that one odd object fills, and against one that names none.
func TestEachObjectIsLoggedAndCountedOnce(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "info")
	assert.NilError(t, err)
	registry := prometheus.NewRegistry()
	b := skip.New(skip.WithLog(log), skip.WithRegistry(registry))
	for range 3 {
		b.Record("servers", "odd", errors.New("nested too deeply"))
		b.Record("servers", "", errors.New("no name"))
	}
	assert.Equal(t, strings.Count(out.String(), "object left out"), 2, "%s", out.String())
	assert.Assert(t, strings.Contains(out.String(), "name=odd"))
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, families[0].GetMetric()[0].GetCounter().GetValue(), 2.0)
}

// Guards against memory and log lines without a bound.
func TestManyObjectsAndLongNamesAreBounded(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "info")
	assert.NilError(t, err)
	b := skip.New(skip.WithLog(log))
	for i := range 3000 {
		b.Record("servers", fmt.Sprintf("%d-%s", i, strings.Repeat("x", 1000)), errors.New(strings.Repeat("y", 100_000)))
	}
	assert.Assert(t, strings.Count(out.String(), "object left out") < 1001)
	assert.Assert(t, out.Len() < 400_000, "%d bytes", out.Len())
}
