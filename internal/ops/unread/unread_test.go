package unread_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/ops/unread"
)

// Answers that carry a new field with every request must not fill the log or memory.
func TestUnknownFieldsAreLoggedOnceAndBounded(t *testing.T) {
	var out bytes.Buffer
	registry := prometheus.NewRegistry()
	fields := unread.New(unread.WithLog(log.New(&out)), unread.WithRegistry(registry))
	for range 3 {
		fields.Record("i-1", []string{"Server-Mood"})
	}
	assert.Equal(t, strings.Count(out.String(), "Server-Mood"), 1)
	for i := range 200 {
		fields.Record("i-1", []string{fmt.Sprintf("X-%d-%s", i, strings.Repeat("n", 100))})
	}
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, len(families[0].GetMetric()), 33)
	sum := 0.0
	for _, metric := range families[0].GetMetric() {
		sum += metric.GetCounter().GetValue()
	}
	assert.Equal(t, sum, 203.0)
	assert.Equal(t, strings.Count(out.String(), "\n"), 32)
}
