package conns

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// deadlineConn is a connection on which half a head arrives. It records the read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) Read(p []byte) (int, error) { return copy(p, "GET / HT"), nil }

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *deadlineConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// newWaiting returns a listener with one open connection.
func newWaiting() (*listener, *conn, *deadlineConn, *clock.Fake) {
	fake := clock.NewFake(1000)
	l := newListener(nil, fake.Clock(), func(Unanswered) {})
	inner := &deadlineConn{}
	waiting := newConn(inner, l)
	l.open[waiting] = struct{}{}
	return l, waiting, inner, fake
}

// Guards against a full port that lets in 20 connections a second beside callers who send half a head, so that the balancer's checks
// wait behind theirs.
func TestHalfAHeadMakesRoomAtOnce(t *testing.T) {
	l, waiting, half, fake := newWaiting()
	_, err := waiting.Read(make([]byte, 100))
	assert.NilError(t, err)
	fake.Advance(fullGrace)
	remote, waited := l.closeLongestWaiting()
	assert.Assert(t, remote != "")
	assert.Equal(t, waited, fullGrace)
	assert.Assert(t, !half.deadline.IsZero() && !half.deadline.After(time.Now()), "the connection ends only at %v", half.deadline)
	remote, _ = l.closeLongestWaiting()
	assert.Equal(t, remote, "", "the same connection is ended twice")
}

// Guards against a request that is cut because its connection was to make room and its head arrived at that moment.
func TestCompleteHeadKeepsItsPlace(t *testing.T) {
	l, waiting, inner, _ := newWaiting()
	_, _ = l.closeLongestWaiting()
	assert.Assert(t, inner.deadline.After(time.Now()), "it has fullGrace for its head")
	assert.NilError(t, waiting.SetReadDeadline(time.Time{})) // the server has read the head
	assert.Assert(t, inner.deadline.IsZero())
}

// Guards against the first request on a connection that was idle which is cut because its head arrives in two parts.
func TestHeadThatHasJustBegunHasTimeToArrive(t *testing.T) {
	l, idle, inner, fake := newWaiting()
	fake.Advance(10 * clock.Second)
	_, err := idle.Read(make([]byte, 100))
	assert.NilError(t, err)
	_, _ = l.closeLongestWaiting()
	assert.Assert(t, inner.deadline.After(time.Now()))
}
