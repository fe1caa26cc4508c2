package conns_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/link/conns"
	"github.com/jujubescale/jujubescale/internal/link/limit"
)

// serve starts a server. It returns the server's address and a channel of its reports
// of unanswered connections.
func serve(t *testing.T, handler http.HandlerFunc) (address string, reports chan conns.Unanswered) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	reports = make(chan conns.Unanswered, 8)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	s := conns.Serve(server, inner, conns.WithUnanswered(func(ended conns.Unanswered) { reports <- ended }))
	t.Cleanup(func() {
		s.Close()
		assert.NilError(t, <-s.Done())
	})
	return inner.Addr().String(), reports
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

const get = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// Guards against callers that open as many connections as a port allows, send half a head or nothing, and keep all others out.
func TestFullPortClosesTheConnectionThatWaitsForLongest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	const allowed = 2
	limited := limit.New(inner, allowed)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	s := conns.Serve(server, limited)
	limited.OnFull(func() { s.CloseLongestWaiting() })
	t.Cleanup(s.Close)
	half := dial(t, inner.Addr().String())
	_, err = io.WriteString(half, get[:5])
	assert.NilError(t, err)
	for range 3 * allowed {
		c := dial(t, inner.Addr().String())
		_, err := io.WriteString(c, get)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		_ = response.Body.Close()
	}
	_, err = io.ReadAll(half) // it was closed
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against requests that end without an answer and without a report.
func TestConnectionThatEndsUnansweredIsReported(t *testing.T) {
	address, reports := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c := dial(t, address)
	_, err := io.WriteString(c, get)
	assert.NilError(t, err)
	rest, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
	ended := <-reports
	assert.Equal(t, ended.Bytes, len(get))
	assert.Equal(t, ended.Remote, c.LocalAddr().String())
}

func TestOrdinaryEndsAreNotReported(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"answered": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") },
		"begun": func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"hijacked": func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = c.Close()
			}
		},
		"answered before the body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusUnauthorized)
		},
		"caller left": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); panic(http.ErrAbortHandler) },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			address, reports := serve(t, func(w http.ResponseWriter, r *http.Request) {
				defer close(done)
				handler(w, r)
			})
			c := dial(t, address)
			request := get
			if name == "answered before the body" {
				request = "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000)
			}
			_, err := io.WriteString(c, request)
			assert.NilError(t, err)
			if name == "caller left" {
				assert.NilError(t, c.Close())
			}
			<-done
			_, _ = io.ReadAll(c) // until the server has closed
			select {
			case ended := <-reports:
				t.Fatalf("reported %+v", ended)
			default:
			}
		})
	}
}
