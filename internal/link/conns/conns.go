// Package conns follows the connections that a port accepts, so that none of
// them ends unnoticed with a request that got no answer.
package conns

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Unanswered describes a connection that this process closed after it had read
// bytes from its caller that nothing was written in reply to.
type Unanswered struct {
	// Remote is the caller's address.
	Remote string
	// Bytes were read since the last answer, the last of them Age ago.
	Bytes int
	Age   clock.Millis
}

// Listener follows the connections that it accepts. Give its State method to the
// http.Server that serves it.
type Listener struct {
	net.Listener
	clock          *clock.Clock
	unansweredFunc func(Unanswered)
}

// Option changes a Listener while it is built.
type Option func(*Listener)

// WithClock replaces the clock.
func WithClock(c *clock.Clock) Option { return func(l *Listener) { l.clock = c } }

// WithUnanswered sets what is called when a connection ends unanswered.
func WithUnanswered(ended func(Unanswered)) Option {
	return func(l *Listener) { l.unansweredFunc = ended }
}

// New follows the connections of a listener.
func New(inner net.Listener, options ...Option) *Listener {
	l := &Listener{Listener: inner, clock: clock.New(), unansweredFunc: func(Unanswered) {}}
	for _, option := range options {
		option(l)
	}
	return l
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, listener: l}, nil
}

// State is a ConnState hook.
func (l *Listener) State(c net.Conn, state http.ConnState) {
	if wrapped, ok := c.(*tls.Conn); ok {
		c = wrapped.NetConn()
	}
	followed, ok := c.(*conn)
	if !ok {
		return
	}
	if state == http.StateHijacked {
		followed.release()
	}
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// unanswered are the bytes read since the last answer, at the time of the last
	// of them.
	unanswered int
	readAt     clock.Millis
	// released connections are not followed: the caller left, or another protocol
	// than HTTP/1 is spoken.
	released bool
}

func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unanswered += n
		c.readAt = c.listener.clock.Now()
	}
	if err != nil && !isTimeout(err) {
		c.released = true
	}
	return n, err
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
	if report {
		ended.Remote = c.RemoteAddr().String()
		c.listener.unansweredFunc(ended)
	}
	return c.Conn.Close()
}
