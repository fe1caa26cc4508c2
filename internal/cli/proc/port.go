package proc

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

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
	name   string
	server *conns.Server
	actual net.Addr
}

// Open listens and serves until Close or Shutdown.
func Open(ctx context.Context, options PortOptions) (*Port, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", options.Address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           options.Handler,
		TLSConfig:         options.TLS,
		MaxHeaderBytes:    options.MaxHeaderBytes,
		ReadHeaderTimeout: options.HeaderTimeout,
		IdleTimeout:       options.IdleTimeout,
		ErrorLog:          options.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return &Port{
		name:   options.Name,
		actual: listener.Addr(),
		server: conns.Serve(server, limit.New(listener, options.MaxConnections), conns.WithUnanswered(unanswered(&options))),
	}, nil
}

// unanswered returns what logs and counts connections that end without an answer.
func unanswered(options *PortOptions) func(conns.Unanswered) {
	return func(ended conns.Unanswered) {
		options.Log.Warn("connection ended unanswered", "port", options.Name, "caller", ended.Remote,
			"bytes", ended.Bytes, "readMs", int64(ended.Age), "stopping", ended.Stopping)
		if options.Unanswered != nil {
			options.Unanswered.Inc()
		}
	}
}

// Address returns where the port listens.
func (p *Port) Address() net.Addr { return p.actual }

// Shutdown stops accepting and returns once each request that has arrived on an open
// connection is answered, or with a conns.StillOpenError when the context ends.
func (p *Port) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }

// Close ends the port with all its connections at once. A port that was never
// opened is nil.
func (p *Port) Close() {
	if p != nil {
		p.server.Close()
	}
}
