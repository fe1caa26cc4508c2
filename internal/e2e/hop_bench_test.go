package e2e_test

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// BenchmarkHops alternates calls of a plain service through entry and agent with
// the same calls sent directly to the endpoint. It reports both medians and
// their difference, the time that the two hops add.
func BenchmarkHops(b *testing.B) {
	system, err := whole.New(whole.WithEndpoints(2), whole.WithLog(log.New(io.Discard)),
		whole.WithShapes(whole.Shape{Pool: "orders", Endpoints: 2, WorkMs: 0.01}))
	assert.NilError(b, err)
	b.Cleanup(system.Close)
	client := &http.Client{}
	through := system.URL() + "/v1/services/orders/call/stock/reel"
	direct := system.Place("orders-0").URL + "/stock/reel"
	for getOK(b, client, through) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	var throughTimes, directTimes []time.Duration
	b.ResetTimer()
	for b.Loop() {
		throughTimes = append(throughTimes, getOK(b, client, through))
		directTimes = append(directTimes, getOK(b, client, direct))
	}
	slices.Sort(throughTimes)
	slices.Sort(directTimes)
	middle := len(throughTimes) / 2
	b.ReportMetric(float64(throughTimes[middle].Microseconds()), "through-µs")
	b.ReportMetric(float64(directTimes[middle].Microseconds()), "bare-µs")
	b.ReportMetric(float64((throughTimes[middle] - directTimes[middle]).Microseconds()), "added-µs")
}

// getOK returns the duration of a GET request, or 0 if its status is not 200.
func getOK(b *testing.B, client *http.Client, url string) time.Duration {
	b.Helper()
	request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
	assert.NilError(b, err)
	request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
	began := time.Now()
	response, err := client.Do(request)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0
	}
	return time.Since(began)
}
