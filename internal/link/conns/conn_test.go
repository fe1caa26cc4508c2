package conns

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// accept returns a listener and both ends of a connection to it.
func accept(t *testing.T) (l *listener, accepted, caller net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l = newListener(inner, clock.New(), func(Unanswered) {})
	t.Cleanup(func() { _ = l.Close() })
	caller, err = net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return l, accepted, caller
}

func write(t *testing.T, to io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(to, text)
	assert.NilError(t, err)
}

// Guards against requests that are lost because the process had no processor time
// while they arrived, and sees the expired deadline of an unused connection first.
func TestArrivedRequestIsReadAfterTheDeadline(t *testing.T) {
	_, accepted, caller := accept(t)
	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(-time.Second)))
	got := make([]byte, len(request))
	_, err := accepted.Read(got)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	write(t, caller, request)
	_, err = io.ReadFull(accepted, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), request)
}

// Guards against connections that stay open for ever after a read deadline.
func TestPassedDeadlineStaysInForce(t *testing.T) {
	_, accepted, _ := accept(t)
	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(-time.Second)))
	for range 3 {
		_, err := accepted.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

func TestDrainEndsIdleConnections(t *testing.T) {
	l, accepted, caller := accept(t)
	failed := make(chan error, 1)
	go func() {
		_, err := accepted.Read(make([]byte, 1))
		failed <- err
	}()
	l.drain()
	assert.ErrorIs(t, <-failed, os.ErrDeadlineExceeded)
	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(time.Hour))) // as http.Server does between two requests
	_, err := accepted.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Equal(t, l.numOpen(), 1)
	assert.NilError(t, accepted.Close())
	assert.NilError(t, l.waitClosed(t.Context()))
	_, err = caller.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a drain that cuts a request whose first bytes have been read or whose
// answer is not complete.
func TestDrainKeepsAStartedRequest(t *testing.T) {
	l, accepted, caller := accept(t)
	assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(time.Hour)))
	write(t, caller, request[:1])
	_, err := accepted.Read(make([]byte, 1))
	assert.NilError(t, err)
	l.drain()
	write(t, caller, request[1:])
	_, err = io.ReadFull(accepted, make([]byte, len(request)-1))
	assert.NilError(t, err)
	assert.NilError(t, accepted.SetReadDeadline(time.Time{})) // as http.Server does after it has read a head
	time.AfterFunc(1200*time.Millisecond, func() { _, _ = io.WriteString(caller, "x") })
	_, err = accepted.Read(make([]byte, 1))
	assert.NilError(t, err)
}
