package conns

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// firstGrace is how long after it was accepted a connection may wait for its
	// first request while the server stops, headGrace how long a head may take of
	// which some bytes have arrived.
	firstGrace = 250 * clock.Millis(1)
	headGrace  = clock.Second
)

// conn is one connection of a caller.
//
// What the server does on it shows in the read deadlines that it sets: one ahead
// while it waits for a request and reads its head, none once the head is read, and
// one in the past to end its own read.
type conn struct {
	net.Conn
	listener *listener
	accepted clock.Millis

	mu sync.Mutex
	// waiting says that no head has been read since the last answer, begun that
	// some bytes of it have, at beganAt.
	waiting bool
	begun   bool
	beganAt clock.Millis
	// deadline is what the server has set, and draining when the connection began to
	// be ended, 0 for never.
	deadline time.Time
	draining clock.Millis
	// unanswered are the bytes read of a request to which nothing has been written,
	// at the time of the last of them; answered says that something has been.
	unanswered int
	readAt     clock.Millis
	answered   bool
	// released connections are not followed: they ended, the caller left, or another
	// protocol than HTTP/1 is spoken.
	released bool
}

func newConn(inner net.Conn, l *listener) *conn {
	return &conn{Conn: inner, listener: l, accepted: l.clock.Now(), waiting: true}
}

// release stops following the connection.
func (c *conn) release() {
	c.mu.Lock()
	c.released = true
	c.applyDeadline()
	c.mu.Unlock()
	c.listener.forget(c)
}

// drain has the connection end when it waits for a request.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = c.listener.clock.Now()
	c.applyDeadline()
}

// applyDeadline sets the read deadline; the caller holds the lock.
func (c *conn) applyDeadline() {
	deadline := c.deadline
	if c.draining > 0 && c.waiting && !c.released {
		left := c.accepted + firstGrace
		if c.begun {
			left = max(c.beganAt, c.draining) + headGrace
		}
		own := time.Now().Add(max(left-c.listener.clock.Now(), 0).Duration())
		if deadline.IsZero() || own.Before(deadline) {
			deadline = own
		}
	}
	_ = c.Conn.SetReadDeadline(deadline) // a closed connection needs none
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case t.IsZero():
		c.waiting = false
	case !c.waiting && t.After(time.Now()):
		c.waiting, c.begun, c.answered = true, false, false
	}
	c.deadline = t
	c.applyDeadline()
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readArrived(p, err)
	}
	if n > 0 {
		if !c.answered {
			c.unanswered += n
		}
		c.readAt = c.listener.clock.Now()
		if c.waiting && !c.begun {
			c.begun, c.beganAt = true, c.readAt
			c.applyDeadline()
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.released = true
	}
	return n, err
}

// readArrived reads what has arrived, without waiting, once the time to wait is
// over: a process that got no processor time notices the deadline first. It
// returns the error of the deadline if there is nothing. The caller holds the
// lock.
func (c *conn) readArrived(p []byte, expired error) (int, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, expired
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, expired
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // or nothing could be read any more
	defer c.applyDeadline()
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), p) // no data is an error, too
		return true
	})
	if err != nil || n <= 0 {
		return 0, expired
	}
	return n, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered, c.answered = 0, true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	ended := Unanswered{Bytes: c.unanswered, Age: c.listener.clock.Since(c.readAt)}
	report := c.unanswered > 0 && !c.released
	c.released = true
	c.mu.Unlock()
	err := c.Conn.Close()
	c.listener.forget(c)
	if report {
		ended.Remote = c.RemoteAddr().String()
		c.listener.unansweredFunc(ended)
	}
	return err
}
