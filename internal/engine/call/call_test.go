package call_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/engine/call"
)

// endpoint is a server that counts the requests that it has read completely and
// can close connections at a chosen moment.
type endpoint struct {
	listener net.Listener
	runs     atomic.Int64
	// serve handles one request and reports whether the connection stays open.
	serve func(conn net.Conn, n int64) bool
}

func newEndpoint(t *testing.T, serve func(conn net.Conn, n int64) bool) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &endpoint{listener: listener, serve: serve}
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.handle(conn)
		}
	}()
	return e
}

func (e *endpoint) url() string { return "http://" + e.listener.Addr().String() }

func (e *endpoint) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.serve(conn, e.runs.Add(1)) {
			return
		}
	}
}

func answer(conn net.Conn, body string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+"2"+"\r\n\r\n"+body)
	return err == nil
}

func discard([]byte) error { return nil }

// Guards against running non-idempotent work twice: the endpoint closes the
// connection after it has read the request, and the standard transport would
// repeat the request while the counters show one call.
func TestWorkRunsAtMostOnce(t *testing.T) {
	closings := []struct {
		name  string
		serve func(conn net.Conn, n int64) bool
	}{
		{"closes without an answer", func(net.Conn, int64) bool { return false }},
		{"closes in the middle of the answer", func(conn net.Conn, _ int64) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha")
			return false
		}},
		{"closes a reused connection", func(conn net.Conn, n int64) bool { return n == 1 && answer(conn, "ok") }},
	}
	requests := []struct {
		name   string
		method string
		body   string
	}{
		{"no body", http.MethodGet, ""},
		{"delete without body", http.MethodDelete, ""},
		{"body", http.MethodPost, `{"reel":1}`},
	}
	for _, closing := range closings {
		for _, request := range requests {
			t.Run(closing.name+"/"+request.name, func(t *testing.T) {
				e := newEndpoint(t, closing.serve)
				caller, err := call.New(e.url())
				assert.NilError(t, err)
				defer caller.Close()
				one := &call.Request{ID: "r/0/0", Key: "k", Method: request.method, Path: "/book", Body: []byte(request.body)}
				_, err = caller.Plain(t.Context(), one, discard)
				if err == nil { // the first call only opened a connection
					assert.Equal(t, e.runs.Load(), int64(1))
					_, err = caller.Plain(t.Context(), one, discard)
					assert.Equal(t, e.runs.Load(), int64(2))
				} else {
					assert.Equal(t, e.runs.Load(), int64(1))
				}
				var failed *call.FailedError
				assert.Assert(t, errors.As(err, &failed))
				assert.Equal(t, failed.Ran, fault.MayHaveRun)
				assert.Assert(t, failed.Reset)
			})
		}
	}
}

// Shows the behaviour that the package avoids: the standard client sends one
// request twice.
func TestStandardTransportRepeats(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, n int64) bool { return n != 2 && answer(conn, "ok") })
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.url(), http.NoBody)
		assert.NilError(t, err)
		request.Header.Set("Idempotency-Key", "k")
		response, err := client.Do(request)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	assert.Equal(t, e.runs.Load(), int64(3))
}

func TestDialFailureMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	for _, idempotent := range []bool{true, false} {
		caller, err := call.New("http://" + address)
		assert.NilError(t, err)
		_, err = caller.Plain(t.Context(), &call.Request{Method: "POST", Path: "/", Idempotent: idempotent}, discard)
		var failed *call.FailedError
		assert.Assert(t, errors.As(err, &failed))
		assert.Equal(t, failed.Ran, fault.NotRun)
	}
}

// The endpoint reads the call and never answers. The end of the context must end
// the call on both kinds of connection, and the error must not claim that the
// work did not run.
func TestUnresponsiveEndpoint(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		release := make(chan struct{})
		e := newEndpoint(t, func(net.Conn, int64) bool { cancel(); <-release; return false })
		caller, err := call.New(e.url())
		assert.NilError(t, err)
		_, err = caller.Plain(ctx, &call.Request{Method: "POST", Path: "/", Idempotent: idempotent}, discard)
		close(release)
		var failed *call.FailedError
		assert.Assert(t, errors.As(err, &failed))
		assert.Equal(t, failed.Ran, fault.MayHaveRun)
		assert.Assert(t, !failed.Reset)
	}
}

// Guards against gaps, repeated tokens and a second run of the generation when
// the connection of an engine's stream breaks between tokens.
func TestStreamResumes(t *testing.T) {
	var bodies []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		bodies = append(bodies, string(body))
		if len(bodies) == 1 {
			_, _ = io.WriteString(w, "{\"index\":0,\"token\":\"a\"}\n{\"index\":1,\"token\":\"b\"}\n{\"ind")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "{\"index\":2,\"token\":\"c\"}\n{\"done\":true,\"tokens\":3,\"engineMs\":7}\n")
	}))
	defer server.Close()
	resumed := 0
	caller, err := call.New(server.URL, call.WithResumed(func() { resumed++ }))
	assert.NilError(t, err)
	var text strings.Builder
	got, err := caller.Generate(t.Context(), &call.Request{ID: "r/0/0", Idempotent: true, Body: []byte(`{"input":{}}`)},
		func(part []byte) error { text.Write(part); return nil })
	assert.NilError(t, err)
	assert.Equal(t, text.String(), "abc")
	assert.Equal(t, got.Tokens, int64(3))
	assert.Equal(t, resumed, 1)
	assert.Assert(t, strings.Contains(bodies[1], `"from":2`))
}

func TestBrokenStreams(t *testing.T) {
	cases := []struct{ name, stream string }{
		{"token out of order", "{\"index\":1,\"token\":\"a\"}\n"},
		{"tokens missing at the end", "{\"index\":0,\"token\":\"a\"}\n{\"done\":true,\"tokens\":2}\n"},
		{"no JSON", "boom\n"},
		{"no end line", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cancelled := make(chan struct{}, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodDelete {
					cancelled <- struct{}{}
					return
				}
				_, _ = io.WriteString(w, tc.stream)
			}))
			defer server.Close()
			caller, err := call.New(server.URL)
			assert.NilError(t, err)
			_, err = caller.Generate(t.Context(), &call.Request{ID: "r/0/0", Idempotent: true, Body: []byte(`{}`)}, discard)
			assert.Assert(t, err != nil)
			<-cancelled // the engine must not continue a generation whose answer is unusable
		})
	}
}

func TestPathOfAnotherHostIsRefused(t *testing.T) {
	caller, err := call.New("http://127.0.0.1:1")
	assert.NilError(t, err)
	_, err = caller.Plain(t.Context(), &call.Request{Method: "POST", Path: "http://127.0.0.1:2/x"}, discard)
	var invalid *fault.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
}
