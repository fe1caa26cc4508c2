package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// processesVariable sets the number of processes of
// TestProcessesKeepAndUseLimitsTogether; the default is that of a small fleet.
const processesVariable = "SOAK_PROCESSES"

// Guards against a limit that separate processes exceed together, or leave unused, under
// uneven load: the first processes get most requests.
func TestProcessesKeepAndUseLimitsTogether(t *testing.T) {
	const settle, length = 4 * time.Second, 12 * time.Second
	count := 5
	if text := os.Getenv(processesVariable); text != "" {
		var err error
		count, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	program := filepath.Join(t.TempDir(), "jujubed")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/jujubed").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	r, err := newRun(Options{Seed: 1, Length: time.Minute, Program: program, Folder: t.TempDir(), Gateways: count, PerSecond: 1, Out: io.Discard})
	assert.NilError(t, err)
	defer r.close()
	assert.NilError(t, r.awaitReady(t.Context()))
	limits := []float64{1.2, 5, 10}
	limited := r.enginesOf("orders")[:len(limits)]
	for i, e := range limited {
		e.SetRate(limits[i])
	}
	r.started = time.Now()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for time.Since(r.started) < settle+length {
		<-ticker.C
		number := min(rand.IntN(count), rand.IntN(count))
		r.group.Go(func() {
			switch r.client.Do(t.Context(), r.callers[number].Address(), requests[1]()).Status {
			case http.StatusOK:
				r.served.Add(1)
			case http.StatusServiceUnavailable:
				r.refused.Add(1)
			default:
				r.failed.Add(1)
			}
		})
	}
	r.group.Wait()
	for i, e := range limited {
		total, most := e.Arrivals()
		// The engine counts from 3 s after it began to state its limit.
		seconds := (settle + length - 3*time.Second).Seconds()
		use := float64(total) / (limits[i] * seconds)
		t.Logf("%d processes, limit %v: %d requests in %.0f s, at most %d in 4 s, use %.2f", count, limits[i], total, seconds, most, use)
		assert.Check(t, use >= 0.9, "limit %v", limits[i])
	}
	t.Logf("served %d refused %d failed %d", r.served.Load(), r.refused.Load(), r.failed.Load())
	assert.Equal(t, len(r.deployment.Ledger.Violations()), 0, r.deployment.Ledger.Violations())
	assert.Equal(t, r.failed.Load(), int64(0))
}
