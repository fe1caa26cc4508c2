package proc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Guards against a caller who takes the processor from all others with requests that follow each other on one connection.
func TestRequestsOnOneConnectionAreSpaced(t *testing.T) {
	fake := clock.NewFake(1000)
	p := &pace{clock: fake.Clock(), interval: 20}
	assert.NilError(t, p.wait(t.Context()))
	left, leave := context.WithCancel(t.Context())
	leave()
	assert.ErrorIs(t, p.wait(left), context.Canceled, "the second request has to wait")
	fake.Advance(40)
	assert.NilError(t, p.wait(t.Context()))
}

// Guards against a full port whose connections are kept by callers who send one request after the other, so that the balancer's checks
// wait for a place.
func TestConnectionsOfAFullPortEndWithTheirAnswer(t *testing.T) {
	for full, want := range map[bool]string{true: "close", false: ""} {
		served := 0
		handler := paced(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }), func() bool { return full })
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
		assert.Equal(t, answer.Header().Get("Connection"), want)
		assert.Equal(t, served, 1)
	}
}
