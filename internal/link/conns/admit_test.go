package conns_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/link/conns"
)

// Guards against a connection that is closed after its request was read, or that is served although
// it was not admitted.
func TestConnectionIsClosedUnread(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var admits atomic.Bool
	var handled, unanswered atomic.Int64
	var waited, sizes atomic.Int64
	server := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })}
	s := conns.Serve(server, listener, conns.WithUnanswered(func(conns.Unanswered) { unanswered.Add(1) }), conns.WithAdmit(func(arrived conns.Arrival) bool {
		waited.Store(int64(arrived.Wait))
		sizes.Store(int64(arrived.Bytes))
		return admits.Load() && arrived.Open > 0
	}))
	defer s.Close()
	send := func() error {
		c, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		for range 2 { // later requests of a connection are not decided on
			if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
				return err
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return err
			}
			_ = response.Body.Close()
		}
		return nil
	}
	assert.Assert(t, send() != nil)
	assert.Equal(t, handled.Load()+unanswered.Load(), int64(0))
	admits.Store(true)
	assert.NilError(t, send())
	assert.Equal(t, handled.Load(), int64(2))
	assert.Assert(t, waited.Load() < 1000)
	assert.Equal(t, sizes.Load(), int64(len("GET / HTTP/1.1\r\nHost: a\r\n\r\n")))
}
