package conns

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	accepted clock.Millis

	mu sync.Mutex
	// waiting says that no byte of the next request has been read.
	waiting bool
	// readLimit is the read deadline that the server has set, and ending when a
	// connection that waits ends sooner than that, zero for never.
	readLimit time.Time
	ending    time.Time
	// unanswered are the bytes read since the last answer, at the time of the last
	// of them.
	unanswered int
	readAt     clock.Millis
	// released connections are not followed: they ended, the caller left, or another
	// protocol than HTTP/1 is spoken.
	released bool
}

func newConn(inner net.Conn, l *Listener) *conn {
	return &conn{Conn: inner, listener: l, accepted: l.clock.Now(), waiting: true}
}

// release stops following the connection.
func (c *conn) release() {
	c.mu.Lock()
	c.released = true
	c.mu.Unlock()
	c.listener.forget(c)
}

// awaitNext notes that the last request was answered.
func (c *conn) awaitNext() {
	c.mu.Lock()
	c.waiting = true
	c.mu.Unlock()
	if c.listener.isDraining() {
		c.endUnused()
	}
}

// endUnused has the connection end while it waits for a request.
func (c *conn) endUnused() {
	left := max(c.accepted+newGrace-c.listener.clock.Now(), 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = time.Now().Add(left.Duration())
	c.limitRead()
}

// limitRead sets the read deadline; the caller holds the lock.
func (c *conn) limitRead() {
	limit := c.readLimit
	if c.waiting && !c.released && !c.ending.IsZero() && (limit.IsZero() || c.ending.Before(limit)) {
		limit = c.ending
	}
	_ = c.Conn.SetReadDeadline(limit) // a closed connection needs none
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLimit = t
	c.limitRead()
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && isTimeout(err) {
		n, err = c.readArrived(p, err)
	}
	if n > 0 {
		c.unanswered += n
		c.readAt = c.listener.clock.Now()
		if c.waiting {
			c.waiting = false
			c.limitRead()
		}
	}
	if err != nil && !isTimeout(err) {
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

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = 0
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
