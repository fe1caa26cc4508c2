package sess_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// muteConn is a connection that something between the two ends loses track
// of: from then on nothing arrives, writes seem to work, and no end is seen.
type muteConn struct {
	net.Conn
	mute   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *muteConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	select {
	case <-c.mute:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *muteConn) Write(from []byte) (int, error) {
	select {
	case <-c.mute:
		return len(from), nil
	default:
		return c.Conn.Write(from)
	}
}

func (c *muteConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func dialMute(mute chan struct{}) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &muteConn{Conn: conn, mute: mute, closed: make(chan struct{})}, err
	}
}

// A session goes silent while calls are being sent all the time. If sending
// put off the check, the calls would hang until their deadlines.
func TestSilenceIsSeenWhileSending(t *testing.T) {
	mute := make(chan struct{})
	s, err := sess.Dial(t.Context(), listen(t, func(*sess.Session, *wire.Frame) {}),
		sess.WithDial(dialMute(mute)), sess.WithBeats(40, 10))
	assert.NilError(t, err)
	s.Busy(1)
	close(mute)
	for open := true; open; {
		select {
		case <-s.Done():
			open = false
		default:
			_ = s.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{}})
			time.Sleep(time.Millisecond) // the pace of the calls, not a wait for anything
		}
	}
	var silent *sess.SilentError
	assert.Assert(t, errors.As(s.Err(), &silent), "%v", s.Err())
}

// A session was idle for longer than a busy one may be silent. The first call
// on it must not be taken for a call on a dead connection.
func TestIdleSessionThatGetsBusyIsNotSilent(t *testing.T) {
	const idle, busy = 60 * clock.Minute, 50
	c := clock.New()
	s, err := sess.Dial(t.Context(), listen(t, func(*sess.Session, *wire.Frame) {}),
		sess.WithClock(c), sess.WithBeats(idle, busy))
	assert.NilError(t, err)
	wait(t, func() bool { return c.Since(s.LastHeard()) > 4*busy })
	before := s.LastHeard()
	s.Busy(1)
	wait(t, func() bool { return s.LastHeard() > before })
	select {
	case <-s.Done():
		t.Fatalf("session ended: %v", s.Err())
	default:
	}
}

// Guards against sessions that end as silent because this process got no processor
// time: the peer's sign of life has arrived and is not read yet.
func TestSessionOfAStarvedProcessIsNotSilent(t *testing.T) {
	const idle, busy = 60 * clock.Minute, 50 * clock.Millis(1)
	fake, mute := clock.NewFake(1000), make(chan struct{})
	s, err := sess.Dial(t.Context(), listen(t, func(*sess.Session, *wire.Frame) {}),
		sess.WithDial(dialMute(mute)), sess.WithClock(fake.Clock()), sess.WithBeats(idle, busy))
	assert.NilError(t, err)
	close(mute)
	s.Busy(1)
	// tick lets time pass at once, and waits until the session waits again.
	tick := func(span clock.Millis) {
		wait(t, func() bool { return fake.Pending() == 1 })
		fake.Advance(span)
	}
	ended := func() bool {
		select {
		case <-s.Done():
			return true
		default:
			return false
		}
	}
	tick(busy) // asks for a sign of life
	tick(20 * busy)
	wait(t, func() bool { return ended() || fake.Pending() == 1 })
	assert.Assert(t, !ended(), "%v", s.Err())
	for !ended() {
		tick(busy)
		wait(t, func() bool { return ended() || fake.Pending() == 1 })
	}
	var silent *sess.SilentError
	assert.Assert(t, errors.As(s.Err(), &silent), "%v", s.Err())
}

func wait(t *testing.T, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}
