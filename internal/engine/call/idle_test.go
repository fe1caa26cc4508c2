package call_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/call"
)

// BenchmarkIdleTimeouts counts calls that fail only because the endpoint closed
// an idle connection just as a call was sent on it. Callers pause for about as
// long as the idle timeout of the endpoint (20 ms here).
// docs/design/sessions.md quotes the result.
func BenchmarkIdleTimeouts(b *testing.B) {
	const callers = 32
	cases := []struct {
		name       string
		keep       clock.Millis
		idempotent bool
	}{
		{"keptLonger", 200, true},
		{"keptShorter", 10, true},
		{"ownConnection", 200, false},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			endpoint := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "{}")
			}))
			endpoint.Config.IdleTimeout = 20 * time.Millisecond
			endpoint.Start()
			defer endpoint.Close()
			caller, err := call.New(endpoint.URL, call.WithIdle(tc.keep))
			assert.NilError(b, err)
			defer caller.Close()
			var failed, left atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for left.Add(-1) >= 0 {
						request := &call.Request{ID: "r/0/0", Idempotent: tc.idempotent, Method: http.MethodPost, Path: "/", Body: []byte("{}")}
						if _, err := caller.Plain(b.Context(), request, discard); err != nil {
							failed.Add(1)
						}
						time.Sleep(19*time.Millisecond + time.Duration(rand.Int64N(int64(2*time.Millisecond))))
					}
				})
			}
			group.Wait()
			b.ReportMetric(1000*float64(failed.Load())/float64(b.N), "failed/1000")
		})
	}
}
