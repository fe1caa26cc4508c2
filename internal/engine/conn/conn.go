// Package conn keeps HTTP/1.1 connections to endpoints and sends one request at a
// time on each.
//
// It replaces the transport of net/http for three reasons. That transport repeats
// some requests automatically, while a request that may run at most once must be
// written only once. It returns the next answer on a connection without a check
// that the answer belongs to the request. And its errors don't tell whether a
// failed request may have reached the endpoint. Answers are parsed with net/http.
package conn

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/push"
)

const (
	// dialTimeout is the timeout for opening a connection, which takes a few
	// milliseconds within a region. If an endpoint is unreachable or drops the
	// opening packet, another one should be tried, since nothing was sent yet.
	dialTimeout = 300 * clock.Millis(1)
	// probeAfter and unackedTimeout detect connections that fail without a reset:
	// the kernel sends keep-alive probes after probeAfter without traffic, and
	// closes the connection if data or probes stay unacknowledged for
	// unackedTimeout.
	probeAfter     = clock.Second
	unackedTimeout = 1500 * clock.Millis(1)
	// defaultIdle is the idle timeout of a connection if the endpoint announces
	// none. An announced timeout is shortened by idleMargin, which allows for the
	// transmission time of a request.
	defaultIdle = 4 * clock.Second
	idleMargin  = 700 * clock.Millis(1)
	// inlineBytes is the largest request that is written before the answer is
	// read. The write of a larger one may block if the peer answers before it has
	// read the whole request, so a separate goroutine does it.
	inlineBytes = 4 << 10
	readBuffer  = 4 << 10
	// maxStrays is the number of answers to other requests that are skipped on
	// one connection before the request fails.
	maxStrays = 2
	// maxStrayBytes is the maximum size of the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// distrustPeriod is the time for which the connections to an endpoint carry no
	// second verified request after the endpoint sent a duplicate or malformed answer,
	// because such an endpoint usually sends more of them.
	distrustPeriod = 10 * clock.Second
	// maxDigests is the number of verified answers after which a connection is closed.
	// Up to then it remembers all of them, in half a kilobyte.
	maxDigests = 64
)

// NotSentError is returned when no part of the request reached the endpoint.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// SentError is returned when the request may have reached the endpoint and run
// there.
type SentError struct {
	Address string
	Cause   error
	// Stale is set if the request was sent on a reused connection that then ended
	// without any byte of an answer, or carried what is no answer. The failure says
	// nothing about the endpoint's ability to run the request.
	Stale bool
}

// Error implements error.
func (e *SentError) Error() string {
	return fmt.Sprintf("no complete answer from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Cause }

// FullError is returned when all Max connections that this process may have to
// the endpoint are in use.
type FullError struct {
	Max int
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("all %d connections are in use", e.Max) }

// StrayError is returned when the connection carried only answers to other
// requests.
type StrayError struct{}

// Error implements error.
func (*StrayError) Error() string { return "received only answers to other requests" }

// Request is one encoded request.
type Request struct {
	Method string
	// Head is the request line, all header lines and the blank line.
	Head []byte
	Body []byte
	// MatchFunc reports whether an answer belongs to the request. It is needed
	// because an endpoint may send an answer twice, and the duplicate then arrives
	// in place of the answer to the next request. Nil accepts any answer.
	MatchFunc func(header http.Header, fresh bool) bool
	// MaxIdle is the longest time for which a reused connection may have been idle;
	// 0 requires a new one. If the endpoint closes a connection just as a request
	// is written to it, it is unknown whether the request ran.
	MaxIdle clock.Millis
	// IdleMargin replaces idleMargin if it is not 0. Only requests that may run twice
	// without harm may have a smaller margin.
	IdleMargin clock.Millis
	// VerifyFunc checks the complete answer before it counts, for answers without an
	// id of their request. Nil accepts any answer. With it the answer is read before Do
	// returns, and one above MaxBytes is malformed.
	VerifyFunc func(status int, header http.Header, body []byte) Verdict
	MaxBytes   int64
	// Spare allows one connection beyond the limit, which is closed after the answer. It is for
	// short calls that can't wait until other requests have ended.
	Spare bool
	// Work is the kind of work, for metrics.
	Work string
}

// Group holds the connections to one endpoint.
type Group struct {
	address string
	clock   *clock.Clock
	maxOpen func() int
	dialed  func()
	used    func(work string, reused bool)
	skipped func(work string)
	// lastClosed is called when the last open connection is closed.
	lastClosed func(failed bool)
	// distrusted is called when a distrustPeriod begins while none runs.
	distrusted func(cause string)
	push       *push.Book
	dialFunc   DialFunc

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
	// distrustUntil is the end of the last distrustPeriod.
	distrustUntil clock.Millis
}

// Option configures a Group.
type Option func(*Group)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(g *Group) { g.clock = c } }

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithDial sets the function that opens connections; nil leaves Dial.
func WithDial(dial DialFunc) Option {
	return func(g *Group) {
		if dial != nil {
			g.dialFunc = dial
		}
	}
}

// WithMaxOpen sets the maximum number of open connections.
func WithMaxOpen(maxOpen func() int) Option { return func(g *Group) { g.maxOpen = maxOpen } }

// WithDialed sets a function that is called for each new connection.
func WithDialed(dialed func()) Option { return func(g *Group) { g.dialed = dialed } }

// WithUsed sets a function that is called for each request that gets a connection.
func WithUsed(used func(work string, reused bool)) Option {
	return func(g *Group) { g.used = used }
}

// WithSkipped sets a function that is called for each duplicate of a verified answer.
func WithSkipped(skipped func(work string)) Option {
	return func(g *Group) { g.skipped = skipped }
}

// WithDistrusted sets a function that is called when verified requests begin to need new
// connections because of what the endpoint sent. It must not call the group.
func WithDistrusted(distrusted func(cause string)) Option {
	return func(g *Group) { g.distrusted = distrusted }
}

// WithLastClosed sets a function that is called when no connection is open any more, with true if
// the last one failed or the endpoint closed it early. A process that ends closes all of its
// connections. The function must not call the group.
func WithLastClosed(lastClosed func(failed bool)) Option {
	return func(g *Group) { g.lastClosed = lastClosed }
}

// WithPush sets the limits of writes to endpoints that don't read; nil sets none.
func WithPush(p *push.Book) Option { return func(g *Group) { g.push = p } }

// New returns a Group for the endpoint at an address (IP:port) without opening a
// connection.
func New(address string, opts ...Option) *Group {
	const unbounded = 1 << 20
	g := &Group{
		address: address, clock: clock.New(), maxOpen: func() int { return unbounded }, dialed: func() {},
		used: func(string, bool) {}, skipped: func(string) {}, distrusted: func(string) {}, lastClosed: func(bool) {},
		dialFunc: Dial,
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

type conn struct {
	net.Conn
	reader    *bound.Reader
	fresh     bool
	spare     bool
	lastUsed  clock.Millis
	expiresAt clock.Millis // the endpoint may close the connection from this instant on
	// closesAt is when the endpoint closes the connection according to its statement,
	// 0 if it stated no idle timeout.
	closesAt clock.Millis
	// sawStray is set once the connection has carried an answer to another request.
	sawStray bool
	// verified is set if the answer to the last request was verified, and digests
	// holds those of all verified answers.
	verified bool
	digests  []answerDigest
}

// Close closes the idle connections. Connections in use are closed after their
// answer.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, c := range g.idle {
		g.discard(c, false)
	}
	g.idle = nil
}

// Sweep closes connections whose idle timeout has passed, or which the endpoint has closed.
func (g *Group) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	kept := g.idle[:0]
	for _, c := range g.idle {
		_, ended := pendingInput(c)
		if c.expiresAt > now && !ended {
			kept = append(kept, c)
			continue
		}
		g.discard(c, c.expiresAt > now)
	}
	clear(g.idle[len(kept):])
	g.idle = kept
}

// discard closes a connection, which may have failed. The caller must hold g.mu.
func (g *Group) discard(c *conn, failed bool) {
	_ = c.Close() // no answer is pending on it
	g.countClosed(failed)
}

// countClosed counts a connection as closed. The caller must hold g.mu.
func (g *Group) countClosed(failed bool) {
	if g.open--; g.open == 0 {
		g.lastClosed(failed)
	}
}

// acquire returns an idle connection, or nil if the caller may open a new one,
// which it has then counted as open. The new one is a spare one if it is beyond the limit.
func (g *Group) acquire(request *Request) (reused *conn, spare bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for len(g.idle) > 0 && request.MaxIdle > 0 && (request.VerifyFunc == nil || now >= g.distrustUntil) {
		last := len(g.idle) - 1
		c := g.idle[last]
		if now-c.lastUsed > request.MaxIdle || !c.outlasts(request, now) {
			break // all others have been idle for longer
		}
		g.idle = g.idle[:last]
		surplus, ended := pendingInput(c)
		if c.expiresAt > now && !surplus && !ended {
			return c, false, nil
		}
		if surplus && c.verified {
			g.startDistrust(causeSurplus, now)
		}
		g.discard(c, ended && c.expiresAt > now)
	}
	if spare, err = g.makeRoom(request); err == nil {
		g.open++
	}
	return nil, spare, err
}

// makeRoom closes an idle connection if as many are open as may be. It reports whether the request
// needs a spare one. The caller must hold g.mu.
func (g *Group) makeRoom(request *Request) (spare bool, err error) {
	maxOpen := g.maxOpen()
	switch {
	case g.open < maxOpen:
		return false, nil
	case len(g.idle) > 0:
		g.discard(g.idle[0], false)
		g.idle = g.idle[1:]
		return false, nil
	case request.Spare && g.open == maxOpen:
		return true, nil
	}
	return false, &FullError{Max: maxOpen}
}

// Full reports whether all connections that may be open are in use.
func (g *Group) Full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open >= g.maxOpen() && len(g.idle) == 0
}

func (g *Group) dial(ctx context.Context, spare bool) (*conn, error) {
	opened, err := g.dialFunc(ctx, "tcp", g.address)
	if err != nil {
		g.mu.Lock()
		g.countClosed(ctx.Err() == nil)
		g.mu.Unlock()
		return nil, err
	}
	g.dialed()
	return &conn{Conn: opened, reader: bound.New(opened, readBuffer), fresh: true, spare: spare}, nil
}

// Dial opens a connection that also fails if the peer becomes unreachable without
// a reset, for instance because its host lost power, a network partition began,
// or a middlebox dropped the connection's state.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter.Duration(), Interval: probeAfter.Duration(), Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without this option, a failed connection is only detected later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
			})
		},
	}
	return dialer.DialContext(ctx, network, address)
}

// Do sends a request once and returns its answer, whose body is still to be read.
// It fails with a NotSentError or a SentError. The context applies to the whole
// exchange including the body. When it ends, the connection is closed, and most
// endpoints then stop the work.
func (g *Group) Do(ctx context.Context, request *Request) (*Reply, error) {
	c, spare, err := g.acquire(request)
	if err == nil && c == nil {
		c, err = g.dial(ctx, spare)
	}
	if err != nil {
		return nil, &NotSentError{Address: g.address, Cause: err}
	}
	g.used(request.Work, !c.fresh)
	c.verified = request.VerifyFunc != nil
	r := &Reply{group: g, conn: c}
	if err := ctx.Err(); err != nil {
		r.Finish()
		return nil, &NotSentError{Address: g.address, Cause: err}
	}
	inThePast := time.Unix(1, 0)
	r.stop = context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(inThePast) // pending reads then fail
	})
	if err := r.exchange(request); err != nil {
		r.eof = nil
		sent := &SentError{Address: g.address, Cause: err, Stale: !c.fresh && r.noAnswer && ctx.Err() == nil}
		r.Finish()
		return nil, sent
	}
	return r, nil
}

func (g *Group) release(c *conn, reusable, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if !reusable || g.closed || c.expiresAt <= now || (c.verified && now < g.distrustUntil) {
		g.discard(c, failed)
		return
	}
	c.fresh, c.lastUsed = false, now
	g.idle = append(g.idle, c)
}
