package conns

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	clock          *clock.Clock
	unansweredFunc func(Unanswered)
	// admitFunc is set by WithAdmit; it may be nil.
	admitFunc func(Arrival) bool

	mu       sync.Mutex
	open     map[*conn]struct{}
	draining bool
}

func newListener(inner net.Listener, c *clock.Clock, unanswered func(Unanswered)) *listener {
	return &listener{Listener: inner, clock: c, unansweredFunc: unanswered, open: make(map[*conn]struct{})}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
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
		c.drain()
	}
	return c, nil
}

// numOpen returns the number of open connections.
func (l *listener) numOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// closeLongestWaiting ends the connection that has waited for a complete head of a request for longest. A request that arrives at
// this moment is answered. It returns the caller and for how long it has waited, "" if there is none.
func (l *listener) closeLongestWaiting() (remote string, waited clock.Millis) {
	l.mu.Lock()
	var longest *conn
	var from clock.Millis
	for c := range l.open {
		if since, waits := c.waitingSince(); waits && (longest == nil || since < from) {
			longest, from = c, since
		}
	}
	l.mu.Unlock()
	if longest == nil {
		return "", 0
	}
	longest.replace()
	return longest.RemoteAddr().String(), l.clock.Since(from)
}

// drain ends all connections that wait for a request, including those that are
// accepted later.
func (l *listener) drain() {
	l.mu.Lock()
	l.draining = true
	all := make([]*conn, 0, len(l.open))
	for c := range l.open {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		c.drain()
	}
}

// closedPollInterval is the interval at which waitClosed checks for open connections.
const closedPollInterval = 10 * clock.Millis(1)

// waitClosed waits until no tracked connection is open, or returns the context's error.
func (l *listener) waitClosed(ctx context.Context) error {
	for l.numOpen() > 0 {
		if err := l.clock.Sleep(ctx, closedPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// remove removes a connection that has ended or is no longer tracked.
func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// onStateChange stops tracking hijacked and HTTP/2 connections. It is a ConnState hook of
// http.Server.
func (l *listener) onStateChange(c net.Conn, state http.ConnState) {
	multiplexed := false
	if wrapped, ok := c.(*tls.Conn); ok {
		multiplexed = wrapped.ConnectionState().NegotiatedProtocol == "h2"
		c = wrapped.NetConn()
	}
	if tracked, ok := c.(*conn); ok && (state == http.StateHijacked || multiplexed) {
		tracked.untrack()
	}
}
