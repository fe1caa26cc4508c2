package conns

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// listener follows the connections that it accepts.
type listener struct {
	net.Listener
	clock          *clock.Clock
	unansweredFunc func(Unanswered)

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

// drain has all connections end that wait for a request, also those that are
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

// openLook is how often wait looks whether connections are open.
const openLook = 10 * clock.Millis(1)

// wait returns once no connection is open, or with the context's error.
func (l *listener) wait(ctx context.Context) error {
	for l.numOpen() > 0 {
		if err := l.clock.Sleep(ctx, openLook); err != nil {
			return err
		}
	}
	return nil
}

// forget removes a connection that ended or is not followed any more.
func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// pending reports whether a connection waits to be accepted.
func (l *listener) pending() bool {
	source, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // an error means none
	})
	return err == nil && ready > 0
}

// state is a ConnState hook.
func (l *listener) state(c net.Conn, state http.ConnState) {
	multiplexed := false
	if wrapped, ok := c.(*tls.Conn); ok {
		multiplexed = wrapped.ConnectionState().NegotiatedProtocol == "h2"
		c = wrapped.NetConn()
	}
	if followed, ok := c.(*conn); ok && (state == http.StateHijacked || multiplexed) {
		followed.release()
	}
}
