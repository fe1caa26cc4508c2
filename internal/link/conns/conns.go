// Package conns serves HTTP on a listener and stops without losing requests.
//
// http.Server.Shutdown can lose requests: it closes connections that it regards as
// unused without checking whether a request has arrived on them, and it closes those
// whose request it reads after the shutdown has begun. A Server tracks its connections
// itself and calls Shutdown once they have ended.
package conns

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/limit"
)

const (
	// drainAcceptTimeout limits how long connections are accepted from the kernel's queue
	// once the server stops, and acceptPollInterval is the interval between checks.
	drainAcceptTimeout = clock.Second
	acceptPollInterval = 5 * clock.Millis(1)
)

// Unanswered describes a connection that this process closed although it had read
// bytes from the caller and written nothing in reply. Over TLS the alert that closes a
// connection counts as a reply.
type Unanswered struct {
	// Remote is the caller's address.
	Remote string
	// Bytes is the number of bytes read since the last answer, and Age the time since
	// the last of them was read.
	Bytes int
	Age   clock.Millis
	// Stopping is set if the server was being stopped.
	Stopping bool
}

// StillOpenError is returned if connections are still open when the context of a stop
// ends.
type StillOpenError struct {
	Connections int
}

// Error implements error.
func (e *StillOpenError) Error() string {
	return fmt.Sprintf("%d connections were still open", e.Connections)
}

// Server serves HTTP on one listener.
type Server struct {
	http     *http.Server
	listener *listener
	clock    *clock.Clock
	done     chan error
	// served is closed once the server has stopped accepting connections.
	served   chan struct{}
	stopping atomic.Bool
}

type options struct {
	clock          *clock.Clock
	unansweredFunc func(Unanswered)
	admitFunc      func(Arrival) bool
}

// Option configures a Server.
type Option func(*options)

// WithClock replaces the clock.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithUnanswered sets a function that is called for each connection that this process
// closes without an answer.
func WithUnanswered(report func(Unanswered)) Option {
	return func(o *options) { o.unansweredFunc = report }
}

// Serve serves a listener until Shutdown or Close. It replaces the server's ConnState
// and wraps its Handler. The server must have a ReadHeaderTimeout and an IdleTimeout.
func Serve(server *http.Server, inner net.Listener, opts ...Option) *Server {
	o := &options{clock: clock.New(), unansweredFunc: func(Unanswered) {}}
	for _, opt := range opts {
		opt(o)
	}
	s := &Server{http: server, clock: o.clock, done: make(chan error, 1), served: make(chan struct{})}
	s.listener = newListener(inner, o.clock, func(ended Unanswered) {
		ended.Stopping = s.stopping.Load()
		o.unansweredFunc(ended)
	})
	s.listener.admitFunc = o.admitFunc
	server.ConnState = s.listener.onStateChange
	server.Handler = s.closeAfterStop(server.Handler)
	go func() {
		defer close(s.served)
		s.done <- s.serve()
	}()
	return s
}

func (s *Server) serve() error {
	var err error
	if s.http.TLSConfig == nil {
		err = s.http.Serve(s.listener)
	} else {
		err = s.http.ServeTLS(s.listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) || (s.stopping.Load() && errors.Is(err, net.ErrClosed)) {
		return nil
	}
	return err
}

// Done returns a channel that receives one value when the server has stopped accepting
// connections: nil after Shutdown or Close, else the error.
func (s *Server) Done() <-chan error { return s.done }

// Shutdown stops accepting connections, ends unused ones and returns once each request
// that has arrived on an open connection is answered. If the context ends first, it
// returns a StillOpenError, and the remaining connections stay open until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	if !s.stopping.Swap(true) {
		s.listener.drain()
		s.stopAccepting(ctx)
	}
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	if s.listener.waitClosed(ctx) != nil {
		return &StillOpenError{Connections: s.listener.numOpen()}
	}
	return s.http.Shutdown(ctx) // ends HTTP/2 connections, without losing their requests
}

// stopAccepting closes the listener once the kernel's queue is empty, because closing
// it resets the connections in that queue.
func (s *Server) stopAccepting(ctx context.Context) {
	for end := s.clock.Now() + drainAcceptTimeout; limit.Pending(s.listener.Listener) && s.clock.Now() < end; {
		if s.clock.Sleep(ctx, acceptPollInterval) != nil {
			break
		}
	}
	_ = s.listener.Close() // Serve returns its error
}

// CloseLongestWaiting ends the connection that has waited for a complete head of a request for longest. It returns its caller
// and for how long it has, "" if all connections have a request that is not answered yet.
func (s *Server) CloseLongestWaiting() (remote string, waited clock.Millis) {
	return s.listener.closeLongestWaiting()
}

// Close stops the server and closes all its connections immediately.
func (s *Server) Close() {
	s.stopping.Store(true)
	_ = s.http.Close()
}
