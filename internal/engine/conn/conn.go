// Package conn keeps HTTP/1.1 connections to endpoints and carries one request
// at a time on each.
//
// The transport of net/http does not fit: it repeats some requests by itself,
// while a request that may run once must be written once; it hands out the
// next answer on a connection whoever it belongs to; and it doesn't tell
// whether a failed request can have reached the endpoint. Parsing is that of
// net/http all the same.
package conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// dialTimeout bounds the opening of a connection. Within a region it takes a few
	// milliseconds; an endpoint that is dark or that drops the opening packet is
	// better left for another one, since nothing was sent to it yet.
	dialTimeout = 300 * clock.Millis(1)
	// probeAfter and unackedFor make a connection fail that went silent without
	// a reset: after a second of silence the kernel asks for a sign of life, and
	// data or probes that stay unacknowledged for so long end the connection.
	probeAfter = clock.Second
	unackedFor = 1500 * clock.Millis(1)
	// defaultIdle is how long an unused connection is kept when the endpoint
	// doesn't say; idleMargin is how much earlier than it says this side stops
	// using it, for the time that a request is on its way.
	defaultIdle = 4 * clock.Second
	idleMargin  = 700 * clock.Millis(1)
	// inlineBytes is the largest request that is written before reading the
	// answer. A larger one may block on a peer that answers before it has read
	// everything, so it is written by a goroutine of its own.
	inlineBytes = 4 << 10
	readBuffer  = 4 << 10
	// maxStrays is how many answers to other requests are skipped on one
	// connection before it is given up.
	maxStrays = 2
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

// NotSentError says that nothing of the request reached the endpoint.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// SentError says that the request may have reached the endpoint, which may
// have run it.
type SentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *SentError) Error() string {
	return fmt.Sprintf("no whole answer from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Cause }

// FullError says that this process already has as many connections to the
// endpoint as it may.
type FullError struct {
	Max int
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("all %d connections are in use", e.Max) }

// StrayError says that the connection carried answers to other requests only.
type StrayError struct{}

// Error implements error.
func (*StrayError) Error() string { return "answers of other requests came instead" }

// Request is one request as bytes.
type Request struct {
	Method string
	// Head is the request line and all header lines with the blank line.
	Head []byte
	Body []byte
	// MatchFunc reports whether an answer belongs to the request. An endpoint may
	// send one answer twice, and the second one then stands where the answer to
	// the next request is expected. Nil takes any.
	MatchFunc func(header http.Header, fresh bool) bool
	// MaxIdle bounds how long the connection may have been unused; 0 wants a
	// new one. What is written to a connection that the endpoint has just
	// dropped may or may not have run.
	MaxIdle clock.Millis
}

// Group is the connections to one endpoint.
type Group struct {
	address string
	clock   *clock.Clock
	most    func() int
	dialed  func()

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// Option changes a Group while it is built.
type Option func(*Group)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(g *Group) { g.clock = c } }

// WithMaxOpen sets the largest number of open connections.
func WithMaxOpen(most func() int) Option { return func(g *Group) { g.most = most } }

// WithDialed sets who counts new connections.
func WithDialed(dialed func()) Option { return func(g *Group) { g.dialed = dialed } }

// New returns the connections to the endpoint at an address (IP:port); it
// opens none yet.
func New(address string, opts ...Option) *Group {
	const unbounded = 1 << 20
	g := &Group{address: address, clock: clock.New(), most: func() int { return unbounded }, dialed: func() {}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	fresh  bool
	used   clock.Millis
	until  clock.Millis // when the endpoint may close it
	// spoiled connections carried an answer to another request.
	spoiled bool
}

// Close closes the unused connections; those in use close after their answer.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, c := range g.idle {
		g.discard(c)
	}
	g.idle = nil
}

// Sweep closes connections that were unused for too long.
func (g *Group) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	kept := g.idle[:0]
	for _, c := range g.idle {
		if c.until > now {
			kept = append(kept, c)
			continue
		}
		g.discard(c)
	}
	clear(g.idle[len(kept):])
	g.idle = kept
}

// discard closes a connection; the caller holds the lock.
func (g *Group) discard(c *conn) {
	g.open--
	_ = c.Close() // nothing is expected on it any more
}

// take returns an unused connection, or nil with leave to open one.
func (g *Group) take(maxIdle clock.Millis) (*conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for len(g.idle) > 0 && maxIdle > 0 {
		last := len(g.idle) - 1
		c := g.idle[last]
		if now-c.used > maxIdle {
			break // the others were unused for longer
		}
		g.idle = g.idle[:last]
		if c.until > now && quiet(c) {
			return c, nil
		}
		g.discard(c)
	}
	if most := g.most(); g.open >= most {
		if len(g.idle) == 0 {
			return nil, &FullError{Max: most}
		}
		g.discard(g.idle[0])
		g.idle = g.idle[1:]
	}
	g.open++
	return nil, nil
}

// quiet reports whether nothing has arrived on an unused connection: neither
// its end nor bytes that belong to no request.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, peeked := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = errors.Is(peeked, unix.EAGAIN)
		return true
	})
	return err == nil && nothing
}

func (g *Group) dial(ctx context.Context) (*conn, error) {
	opened, err := Dial(ctx, "tcp", g.address)
	if err != nil {
		g.mu.Lock()
		g.open--
		g.mu.Unlock()
		return nil, err
	}
	g.dialed()
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), fresh: true}, nil
}

// Dial opens a connection that fails when it goes silent without a reset: a
// host without power or behind a partition answers nothing, and neither does a
// connection that something between the two ends has forgotten.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter.Duration(), Interval: probeAfter.Duration(), Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without it a connection still works, only its silence lasts longer.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor))
			})
		},
	}
	return dialer.DialContext(ctx, network, address)
}

// Do sends a request once and returns the beginning of its answer. It fails
// with a NotSentError or a SentError. The context bounds the whole exchange,
// the body included: when it ends, so does the connection, and with it most
// endpoints' work.
func (g *Group) Do(ctx context.Context, request *Request) (*Reply, error) {
	c, err := g.take(request.MaxIdle)
	if err == nil && c == nil {
		c, err = g.dial(ctx)
	}
	if err != nil {
		return nil, &NotSentError{Address: g.address, Cause: err}
	}
	r := &Reply{group: g, conn: c}
	if err := ctx.Err(); err != nil {
		r.Finish()
		return nil, &NotSentError{Address: g.address, Cause: err}
	}
	past := time.Unix(1, 0)
	r.stop = context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(past) // the reader sees the error
	})
	if err := r.exchange(request); err != nil {
		r.eof = nil
		r.Finish()
		return nil, &SentError{Address: g.address, Cause: err}
	}
	return r, nil
}

func (g *Group) put(c *conn, sound bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if !sound || g.closed || c.until <= now {
		g.discard(c)
		return
	}
	c.fresh, c.used = false, now
	g.idle = append(g.idle, c)
}
