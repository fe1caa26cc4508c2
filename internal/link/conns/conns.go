// Package conns follows the connections that a port accepts, and ends them
// without losing a request. http.Server.Shutdown does lose some: it closes
// connections that it holds for unused without looking at what has arrived, and
// ends those whose request it reads after it has begun.
package conns

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// newGrace is how long after it was accepted a connection may wait for its first
// request while the listener drains.
const newGrace = 250 * clock.Millis(1)

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

	mu       sync.Mutex
	open     map[*conn]struct{}
	draining bool
	// awaited says that Wait was called, empty is closed once no connection is open
	// after that.
	awaited   bool
	empty     chan struct{}
	emptyOnce sync.Once
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
	l := &Listener{
		Listener: inner, clock: clock.New(), unansweredFunc: func(Unanswered) {},
		open: make(map[*conn]struct{}), empty: make(chan struct{}),
	}
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
	c := newConn(inner, l)
	l.mu.Lock()
	l.open[c] = struct{}{}
	draining := l.draining
	l.mu.Unlock()
	if draining {
		c.endUnused()
	}
	return c, nil
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Drain has every connection end that waits for a request, at once or as soon as
// it waits for its next one. What has arrived by then is served. Connections are
// accepted until Close.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.draining = true
	waiting := make([]*conn, 0, len(l.open))
	for c := range l.open {
		waiting = append(waiting, c)
	}
	l.mu.Unlock()
	for _, c := range waiting {
		c.endUnused()
	}
}

// Wait returns once no connection is open, or with the context's error. Call it
// after Drain and the end of the loop that accepts: connections that come later are
// not awaited.
func (l *Listener) Wait(ctx context.Context) error {
	l.mu.Lock()
	l.awaited = true
	l.signalEmpty()
	l.mu.Unlock()
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// forget removes a connection that ended or is not followed any more.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	l.signalEmpty()
}

func (l *Listener) signalEmpty() {
	if l.awaited && len(l.open) == 0 {
		l.emptyOnce.Do(func() { close(l.empty) })
	}
}

// State is a ConnState hook.
func (l *Listener) State(c net.Conn, state http.ConnState) {
	multiplexed := false
	if wrapped, ok := c.(*tls.Conn); ok {
		multiplexed = wrapped.ConnectionState().NegotiatedProtocol == "h2"
		c = wrapped.NetConn()
	}
	followed, ok := c.(*conn)
	switch {
	case !ok:
	case state == http.StateHijacked || multiplexed:
		followed.release()
	case state == http.StateIdle:
		followed.awaitNext()
	}
}

func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}
