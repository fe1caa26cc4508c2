package client_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/accept"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

func TestStandInPassesTheContract(t *testing.T) {
	accept.Run(t, func(t *testing.T) accept.Subject {
		platform := plat.New()
		server := httptest.NewServer(platform.Handler())
		t.Cleanup(server.Close)
		return accept.Subject{
			Store: client.New(server.URL).Store(), Prefix: "contract/", SetHosts: platform.SetHosts,
		}
	})
}

// The type of the error decides what the caller does next: it repeats a write
// without an effect and first reads back a write that may have had one. A wrong
// UnavailableError leads to a second write, and a wrong UnknownError makes an
// operator wait.
func TestErrorTypeShowsWhetherAWriteMayHaveTakenEffect(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		unknown bool
		after   clock.Millis
	}{
		{"rate limit exceeded", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After-Ms", "70")
			w.WriteHeader(http.StatusTooManyRequests)
		}, false, 70},
		{"service unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, false, 0},
		{"internal error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, true, 0},
		{"gateway timeout", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, true, 0},
		{"connection closed before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true, 0},
		{"answer without a version", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				c.handler(w, r)
			}))
			defer server.Close()
			_, err := client.New(server.URL).Store().Put(t.Context(), "a", store.At(1), []byte("x"))
			var unknown *store.UnknownError
			var unavailable *store.UnavailableError
			assert.Equal(t, errors.As(err, &unknown), c.unknown, "got %v", err)
			assert.Equal(t, errors.As(err, &unavailable), !c.unknown, "got %v", err)
			if unavailable != nil {
				assert.Equal(t, unavailable.RetryAfter, c.after)
			}
			assert.Equal(t, calls.Load(), int64(1))
		})
	}
}

// If nothing listens at the platform's address, a write cannot have taken effect.
func TestNoConnectionMeansNoEffect(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := client.New(server.URL).Store().Put(t.Context(), "a", store.Revision{}, []byte("x"))
	var unavailable *store.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "got %v", err)
}
