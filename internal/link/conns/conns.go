// Package conns serves HTTP on a listener and stops without losing a request.
//
// http.Server.Shutdown does lose some: it closes connections that it holds for
// unused without looking at what has arrived on them, and ends those whose request
// it reads after it has begun. A Server follows its connections by itself and calls
// Shutdown once they have ended.
package conns

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// acceptTime bounds how long connections are accepted from the kernel's queue
	// once the server stops, acceptLook is the pause between two looks.
	acceptTime = clock.Second
	acceptLook = 5 * clock.Millis(1)
)

// Unanswered describes a connection that this process closed after it had read
// bytes from its caller that nothing was written in reply to. Over TLS the alert that
// closes a connection counts as a reply.
type Unanswered struct {
	// Remote is the caller's address.
	Remote string
	// Bytes were read since the last answer, the last of them Age ago.
	Bytes int
	Age   clock.Millis
	// Stopping says that the server was being stopped.
	Stopping bool
}

// StillOpenError says that connections were open when the time of a stop was over.
type StillOpenError struct {
	Connections int
}

// Error implements error.
func (e *StillOpenError) Error() string {
	return fmt.Sprintf("%d connections were still open", e.Connections)
}

// Server serves one listener.
type Server struct {
	http     *http.Server
	listener *listener
	clock    *clock.Clock
	done     chan error
	// served is closed once no more connections are accepted.
	served   chan struct{}
	stopping atomic.Bool
}

type options struct {
	clock          *clock.Clock
	unansweredFunc func(Unanswered)
}

// Option changes a Server while it is built.
type Option func(*options)

// WithClock replaces the clock.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithUnanswered sets what is called when a connection ends unanswered.
func WithUnanswered(ended func(Unanswered)) Option {
	return func(o *options) { o.unansweredFunc = ended }
}

// Serve serves a listener until Shutdown or Close. It takes over the server's
// ConnState and wraps its Handler. The server needs a ReadHeaderTimeout and an
// IdleTimeout.
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
	server.ConnState = s.listener.state
	server.Handler = s.closing(server.Handler)
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

// Done returns a channel that gets one value when no more connections are accepted:
// nil after Shutdown or Close, else why.
func (s *Server) Done() <-chan error { return s.done }

// Shutdown stops accepting, ends unused connections and returns once each request
// that has arrived on an open connection is answered. When the context ends first it
// returns a StillOpenError, and the connections that are left stay open until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	if !s.stopping.Swap(true) {
		s.listener.drain()
		s.stopAccepting(ctx)
	}
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	if s.listener.wait(ctx) != nil {
		return &StillOpenError{Connections: s.listener.numOpen()}
	}
	return s.http.Shutdown(ctx) // ends those of HTTP/2, which it does not cut
}

// stopAccepting closes the listener once the kernel's queue is empty: what waits
// there would be reset.
func (s *Server) stopAccepting(ctx context.Context) {
	for end := s.clock.Now() + acceptTime; s.listener.pending() && s.clock.Now() < end; {
		if s.clock.Sleep(ctx, acceptLook) != nil {
			break
		}
	}
	_ = s.listener.Close() // Serve returns its error
}

// Close ends the server with all its connections at once.
func (s *Server) Close() {
	s.stopping.Store(true)
	_ = s.http.Close()
}
