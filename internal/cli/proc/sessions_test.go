package proc_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/proc"
)

// Guards against callers who take the processor with requests at the sessions' port that open no session.
func TestRequestsAtTheSessionsPortAreSpaced(t *testing.T) {
	const requests = 10
	p := &proc.Process{Log: log.New(io.Discard)}
	port, err := p.OpenSessions(t.Context(), "127.0.0.1:0", http.NotFoundHandler(), 8)
	assert.NilError(t, err)
	t.Cleanup(port.Close)
	c, err := net.Dial("tcp", port.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	began := time.Now()
	_, err = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", requests))
	assert.NilError(t, err)
	answers := bufio.NewReader(c)
	for range requests {
		response, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	took, least := time.Since(began), (requests-1)*proc.SmallInterval.Duration()
	assert.Assert(t, took >= least-time.Millisecond, "%v for %d requests, %v is the least", took, requests, least)
}
