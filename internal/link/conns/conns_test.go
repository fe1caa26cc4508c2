package conns_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/link/conns"
)

// serve starts a server and returns its address and what it reports.
func serve(t *testing.T, handler http.HandlerFunc) (address string, reports chan conns.Unanswered) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	reports = make(chan conns.Unanswered, 8)
	listener := conns.New(inner, conns.WithUnanswered(func(ended conns.Unanswered) { reports <- ended }))
	server := &http.Server{Handler: handler, ConnState: listener.State, ReadHeaderTimeout: time.Minute}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener) // ends with Close
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
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

// Guards against requests that end unanswered and leave no trace.
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
			_, err := io.WriteString(c, get)
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

// accept returns both ends of a connection.
func accept(t *testing.T) (l *conns.Listener, accepted, caller net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l = conns.New(inner)
	t.Cleanup(func() { _ = l.Close() })
	caller = dial(t, inner.Addr().String())
	accepted, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return l, accepted, caller
}

// Guards against requests that are lost because the process had no processor time
// while they arrived, and notices the end of an unused connection first.
func TestRequestThatArrivedOutlivesTheDeadline(t *testing.T) {
	_, accepted, caller := accept(t)
	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(-time.Second)))
	got := make([]byte, len(get))
	_, err := accepted.Read(got)
	assert.ErrorContains(t, err, "timeout")
	_, err = io.WriteString(caller, get)
	assert.NilError(t, err)
	_, err = io.ReadFull(accepted, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), get)
}

func TestDrainEndsConnectionsThatWait(t *testing.T) {
	l, accepted, caller := accept(t)
	failed := make(chan error, 1)
	go func() {
		_, err := accepted.Read(make([]byte, 1))
		failed <- err
	}()
	l.Drain()
	assert.ErrorContains(t, <-failed, "timeout")
	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(time.Hour))) // as a server does between two requests
	_, err := accepted.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	assert.Equal(t, l.Open(), 1)
	assert.NilError(t, accepted.Close())
	assert.NilError(t, l.Wait(t.Context()))
	_, err = caller.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against drains that cut a request whose first bytes have been read.
func TestDrainLeavesARequestThatHasBegun(t *testing.T) {
	l, accepted, caller := accept(t)
	_, err := io.WriteString(caller, get[:1])
	assert.NilError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	assert.NilError(t, err)
	l.Drain()
	_, err = io.WriteString(caller, get[1:])
	assert.NilError(t, err)
	_, err = io.ReadFull(accepted, make([]byte, len(get)-1))
	assert.NilError(t, err)
}
