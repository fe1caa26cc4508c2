package sess_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// silentConn is a connection whose state a device between the two ends has lost. Once
// silent is closed nothing arrives, writes seem to succeed, and no close is received.
type silentConn struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silentConn) Write(from []byte) (int, error) {
	select {
	case <-c.silent:
		return len(from), nil
	default:
		return c.Conn.Write(from)
	}
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func dialSilent(silent chan struct{}) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &silentConn{Conn: conn, silent: silent, closed: make(chan struct{})}, err
	}
}

// Guards against calls that hang until their deadlines because a session that sends
// all the time never checks whether its connection is silent.
func TestSilenceIsDetectedWhileSending(t *testing.T) {
	silence := make(chan struct{})
	s, err := sess.Dial(t.Context(), listen(t, func(*sess.Session, *wire.Frame) {}),
		sess.WithDial(dialSilent(silence)), sess.WithHeartbeats(40, 10))
	assert.NilError(t, err)
	s.AddInFlight(1)
	close(silence)
	for open := true; open; {
		select {
		case <-s.Done():
			open = false
		default:
			_ = s.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{}})
			time.Sleep(time.Millisecond) // the interval between calls
		}
	}
	var silent *sess.SilentError
	assert.Assert(t, errors.As(s.Err(), &silent), "%v", s.Err())
}

// Guards against a session that ends as silent at its first call, because it was idle
// for longer than a session with calls in flight may receive nothing.
func TestIdleSessionThatGetsBusyIsNotSilent(t *testing.T) {
	const idle, busy = 60 * clock.Minute, 50
	c := clock.New()
	s, err := sess.Dial(t.Context(), listen(t, func(*sess.Session, *wire.Frame) {}),
		sess.WithClock(c), sess.WithHeartbeats(idle, busy))
	assert.NilError(t, err)
	wait(t, func() bool { return c.Since(s.LastReceived()) > 4*busy })
	before := s.LastReceived()
	s.AddInFlight(1)
	wait(t, func() bool { return s.LastReceived() > before })
	select {
	case <-s.Done():
		t.Fatalf("session ended: %v", s.Err())
	default:
	}
}

// Guards against sessions that end as silent because this process got no processor
// time: the reply of the peer may have arrived and not been read yet.
func TestSessionOfAStarvedProcessIsNotSilent(t *testing.T) {
	const idle, busy = 60 * clock.Minute, 50 * clock.Millis(1)
	fake, silence := clock.NewFake(1000), make(chan struct{})
	s, err := sess.Dial(t.Context(), listen(t, func(*sess.Session, *wire.Frame) {}),
		sess.WithDial(dialSilent(silence)), sess.WithClock(fake.Clock()), sess.WithHeartbeats(idle, busy))
	assert.NilError(t, err)
	close(silence)
	s.AddInFlight(1)
	// tick advances the clock once the session is waiting for it.
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
	tick(busy) // the session sends a heartbeat
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

// Guards against a silent session that is found only after several idle intervals although other
// sessions have already turned out silent.
func TestProbeEndsASilentSessionSoon(t *testing.T) {
	const idle, busy = 60 * clock.Minute, 50 * clock.Millis(1)
	fake, silence := clock.NewFake(1000), make(chan struct{})
	s, err := sess.Dial(t.Context(), listen(t, func(*sess.Session, *wire.Frame) {}),
		sess.WithDial(dialSilent(silence)), sess.WithClock(fake.Clock()), sess.WithHeartbeats(idle, busy))
	assert.NilError(t, err)
	wait(t, func() bool { return fake.Pending() == 1 })
	fake.Advance(1)
	before := s.LastReceived()
	fake.Advance(2 * busy)
	s.Probe()
	wait(t, func() bool { return s.LastReceived() > before }) // a peer that lives answers at once
	close(silence)
	fake.Advance(2 * busy)
	s.Probe()
	ended := func() bool {
		select {
		case <-s.Done():
			return true
		default:
			return false
		}
	}
	for began := fake.Clock().Now(); !ended(); {
		assert.Assert(t, fake.Clock().Now()-began < clock.Minute, "still open")
		wait(t, func() bool { return ended() || fake.Pending() == 1 })
		fake.Advance(busy)
	}
	var silent *sess.SilentError
	assert.Assert(t, errors.As(s.Err(), &silent), "%v", s.Err())
}

// slowConn delivers one byte for each value of a channel once slow is set.
type slowConn struct {
	net.Conn
	slow  *atomic.Bool
	bytes chan struct{}
}

// Read implements net.Conn.
func (c *slowConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into[:1])
	if c.slow.Load() {
		<-c.bytes
	}
	return n, err
}

// Guards against a session that ends as silent while a message arrives over a link that is filled
// by other data.
func TestSessionWithAMessageUnderWayIsNotSilent(t *testing.T) {
	const busy = 50 * clock.Millis(1)
	fake := clock.NewFake(1000)
	var slow atomic.Bool
	bytes := make(chan struct{})
	defer close(bytes)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &slowConn{Conn: conn, slow: &slow, bytes: bytes}, err
	}
	replied := make(chan struct{})
	var once sync.Once
	s, err := sess.Dial(t.Context(), listen(t, func(s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindAck {
			_ = s.Send(&wire.Frame{Kind: wire.KindUpdate, Update: &wire.Update{Kind: strings.Repeat("k", 1000)}})
		}
	}), sess.WithDial(dial), sess.WithClock(fake.Clock()), sess.WithHeartbeats(busy, busy),
		sess.WithHandler(func(*sess.Session, *wire.Frame) { once.Do(func() { close(replied) }) }))
	assert.NilError(t, err)
	<-replied // the rest of the reply to the first heartbeat can be shorter than what the loop reads
	slow.Store(true)
	assert.NilError(t, s.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{}}))
	for range 20 {
		fake.Advance(1)
		select {
		case bytes <- struct{}{}:
		case <-s.Done():
			t.Fatal(s.Err())
		}
		now := fake.Clock().Now()
		wait(t, func() bool { return s.PartReceivedAt() == now && fake.Pending() == 1 })
		fake.Advance(busy)
		select {
		case <-s.Done():
			t.Fatal(s.Err())
		case <-time.After(5 * time.Millisecond): // a session that ends does so meanwhile
		}
	}
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
