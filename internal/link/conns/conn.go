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
	// firstRequestGrace is the time from accepting a connection until its first request
	// must arrive while the server stops, and headGrace the time in which a head must
	// be complete, from its first bytes or from the start of the drain if that is later.
	firstRequestGrace = 250 * clock.Millis(1)
	headGrace         = clock.Second
	// fullGrace is the time in which a head must begin, and the time in which it must be complete, while another connection waits for a
	// place on a full port.
	fullGrace = 50 * clock.Millis(1)
)

// conn is a connection of a caller.
//
// It derives the state of the server from the read deadlines that the server sets:
// a deadline in the future while the server waits for a request and reads its head,
// none after it has read the head, and one in the past to end its own read.
type conn struct {
	net.Conn
	listener *listener
	accepted clock.Millis

	mu sync.Mutex
	// awaitsHead is set if no complete head has been read since the last answer, which was at awaitsSince, and
	// headStarted if some bytes of it have been read, the first at headStartedAt.
	awaitsHead    bool
	awaitsSince   clock.Millis
	headStarted   bool
	headStartedAt clock.Millis
	// deadline is the read deadline set by the server, and drainStart the instant at
	// which draining began, or 0.
	deadline   time.Time
	drainStart clock.Millis
	// replaced is set once the connection has to make room for another one unless a head arrives within fullGrace.
	replaced bool
	// unansweredBytes counts the bytes read since something was last written, the last of
	// them at readAt. answered is set if something has been written for the current
	// request.
	unansweredBytes int
	readAt          clock.Millis
	answered        bool
	// untracked is set for connections that are no longer tracked because they have
	// ended, the caller has left, or they don't use HTTP/1.
	untracked bool
	// unadmitted is set until the first bytes have arrived, if connections may be refused.
	unadmitted bool
}

func newConn(inner net.Conn, l *listener) *conn {
	now := l.clock.Now()
	return &conn{Conn: inner, listener: l, accepted: now, awaitsSince: now, awaitsHead: true, unadmitted: l.admitFunc != nil}
}

// untrack stops tracking the connection.
func (c *conn) untrack() {
	c.mu.Lock()
	c.untracked = true
	c.applyDeadline()
	c.mu.Unlock()
	c.listener.remove(c)
}

// drain ends the connection when it waits for a request.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainStart = c.listener.clock.Now()
	c.applyDeadline()
}

// replace ends the connection unless a head is complete within fullGrace, counted from the start of its wait, or of the head.
func (c *conn) replace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaced = true
	c.applyDeadline()
}

// applyDeadline sets the read deadline. The caller must hold c.mu.
func (c *conn) applyDeadline() {
	deadline := c.deadline
	if (c.drainStart > 0 || c.replaced) && c.awaitsHead && !c.untracked {
		until := c.accepted + firstRequestGrace
		switch {
		case c.replaced:
			until = max(c.awaitsSince, c.headStartedAt) + fullGrace
		case c.headStarted:
			until = max(c.headStartedAt, c.drainStart) + headGrace
		}
		drainDeadline := time.Now().Add(max(until-c.listener.clock.Now(), 0).Duration())
		if deadline.IsZero() || drainDeadline.Before(deadline) {
			deadline = drainDeadline
		}
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only if the connection is closed
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case t.IsZero():
		c.awaitsHead, c.replaced = false, false
	case !c.awaitsHead && t.After(time.Now()):
		c.awaitsHead, c.headStarted, c.headStartedAt, c.answered = true, false, 0, false
		c.awaitsSince = c.listener.clock.Now()
	}
	c.deadline = t
	c.applyDeadline()
	return nil
}

// waitingSince returns since when the connection has waited for a complete head, and whether it does and is not being ended.
func (c *conn) waitingSince() (since clock.Millis, waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaitsSince, c.awaitsHead && !c.untracked && !c.replaced && c.drainStart == 0
}

// SyscallConn implements syscall.Conn if the inner connection does.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return source.SyscallConn()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.unadmitted { // only the first read of the server, which nothing else runs beside
		c.unadmitted = false
		if !c.admit() {
			return 0, errNotAdmitted
		}
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsHead && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readBuffered(p, err)
	}
	if n > 0 {
		if !c.answered {
			c.unansweredBytes += n
		}
		c.readAt = c.listener.clock.Now()
		if c.awaitsHead && !c.headStarted {
			c.headStarted, c.headStartedAt = true, c.readAt
			c.applyDeadline()
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.untracked = true
	}
	return n, err
}

// readBuffered reads bytes that have already arrived, without blocking, after the read
// deadline has expired: a process that got no processor time sees the expired deadline
// before it sees the bytes. It returns the error expired if there are none. The caller
// must hold c.mu.
func (c *conn) readBuffered(p []byte, expired error) (int, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, expired
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, expired
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // raw.Read fails while the deadline is expired
	defer c.applyDeadline()
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), p) // also fails if there is no data
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
	c.unansweredBytes, c.answered = 0, true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	unanswered := Unanswered{Bytes: c.unansweredBytes, Age: c.listener.clock.Since(c.readAt)}
	report := c.unansweredBytes > 0 && !c.untracked && !c.replaced // half a head is no request
	c.untracked = true
	c.mu.Unlock()
	err := c.Conn.Close()
	c.listener.remove(c)
	if report {
		unanswered.Remote = c.RemoteAddr().String()
		c.listener.unansweredFunc(unanswered)
	}
	return err
}
