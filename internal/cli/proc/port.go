package proc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/conns"
	"github.com/jujubescale/jujubescale/internal/link/limit"
)

// PortOptions says how one port serves.
type PortOptions struct {
	// Name in messages.
	Name string
	// Address to listen on (IP:port).
	Address string
	Handler http.Handler
	// TLS is nil for a plain port.
	TLS *tls.Config
	// MaxConnections and MaxHeaderBytes bound what callers can use up.
	MaxConnections int
	MaxHeaderBytes int
	// HeaderTimeout is the time to send headers, IdleTimeout how long an idle
	// connection stays.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	Log           *log.Logger
	// Unanswered counts connections that end with a request that got no answer; nil
	// counts none.
	Unanswered prometheus.Counter
}

// Port is one listening address of the daemon.
type Port struct {
	name    string
	server  *http.Server
	callers *conns.Listener
	actual  net.Addr
	clock   *clock.Clock
	done    chan error
	// served is closed once no more connections are accepted.
	served chan struct{}
	// stopping says that Shutdown or Close was called.
	stopping atomic.Bool
}

// OpenError says that connections of callers were open when the time of a planned
// stop was over.
type OpenError struct {
	Port        string
	Connections int
}

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("port %s: %d connections were still open", e.Port, e.Connections)
}

// Open listens and serves until Close or Shutdown; done then has one value.
func Open(ctx context.Context, options PortOptions) (*Port, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", options.Address)
	if err != nil {
		return nil, err
	}
	p := &Port{
		name:   options.Name,
		actual: listener.Addr(),
		clock:  clock.New(),
		done:   make(chan error, 1),
		served: make(chan struct{}),
		server: &http.Server{
			TLSConfig:         options.TLS,
			MaxHeaderBytes:    options.MaxHeaderBytes,
			ReadHeaderTimeout: options.HeaderTimeout,
			IdleTimeout:       options.IdleTimeout,
			ErrorLog:          options.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		},
	}
	p.callers = conns.New(limit.New(listener, options.MaxConnections), conns.WithClock(p.clock), conns.WithUnanswered(p.unanswered(&options)))
	p.server.ConnState = p.callers.State
	p.server.Handler = p.closing(options.Handler)
	go func() {
		defer close(p.served)
		p.done <- p.serve(p.callers)
	}()
	return p, nil
}

// closing has callers open another connection for their next request once the
// port is being closed.
func (p *Port) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// unanswered returns what logs and counts connections that end without an answer.
func (p *Port) unanswered(options *PortOptions) func(conns.Unanswered) {
	return func(ended conns.Unanswered) {
		options.Log.Warn("connection ended unanswered", "port", p.name, "caller", ended.Remote,
			"bytes", ended.Bytes, "readMs", int64(ended.Age), "stopping", p.stopping.Load())
		if options.Unanswered != nil {
			options.Unanswered.Inc()
		}
	}
}

func (p *Port) serve(listener net.Listener) error {
	var err error
	if p.server.TLSConfig == nil {
		err = p.server.Serve(listener)
	} else {
		err = p.server.ServeTLS(listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) || (p.stopping.Load() && errors.Is(err, net.ErrClosed)) {
		return nil
	}
	return err
}

// Address returns where the port listens.
func (p *Port) Address() net.Addr { return p.actual }

// acceptTime is how long connections are still accepted when a port is being
// closed: the kernel has completed some that the process has not seen yet.
const acceptTime = 100 * clock.Millis(1)

// Shutdown stops accepting and returns once each request that was sent on an open
// connection is answered, or with an OpenError when the context ends.
func (p *Port) Shutdown(ctx context.Context) error {
	if !p.stopping.Swap(true) {
		p.callers.Drain()
		_ = p.clock.Sleep(ctx, acceptTime) // the context ends the rest, too
		_ = p.callers.Close()
	}
	select {
	case <-p.served:
	case <-ctx.Done():
	}
	if p.callers.Wait(ctx) != nil {
		return &OpenError{Port: p.name, Connections: p.callers.Open()}
	}
	return p.server.Shutdown(ctx) // connections of HTTP/2 are left
}

// Close ends the port with all its connections at once. A port that was never
// opened is nil.
func (p *Port) Close() {
	if p != nil {
		p.stopping.Store(true)
		_ = p.server.Close()
	}
}
