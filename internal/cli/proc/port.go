package proc

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/conns"
	"github.com/jujubescale/jujubescale/internal/link/limit"
)

// PortOptions are the settings of one port.
type PortOptions struct {
	// Name of the port in logs and errors.
	Name string
	// Address to listen on (IP:port).
	Address string
	Handler http.Handler
	// TLS is nil for a port without TLS.
	TLS *tls.Config
	// MaxConnections bounds the number of open connections, and MaxHeaderBytes the
	// headers of one request.
	MaxConnections int
	MaxHeaderBytes int
	// ReceiveBytes is about what the kernel holds of each connection that the process has not read, 0 for its default of
	// some megabytes.
	ReceiveBytes int
	// HeaderTimeout bounds the time to read the headers of a request. An idle
	// connection is closed after IdleTimeout.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// WriteTimeout bounds the time from the head of a request to the end of its answer, 0 for none.
	WriteTimeout time.Duration
	// RequestInterval is the least time between two requests on one connection, in milliseconds, 0 for none. With it, a connection
	// ends with its answer while others wait for a place.
	RequestInterval clock.Millis
	// ConnContext changes the context of the requests of a new connection. It may be nil.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// AdmitFunc decides whether a new connection is served; see conns.WithAdmit. It may be nil.
	AdmitFunc func(conns.Arrival) bool
	Log       *log.Logger
	// Unanswered counts connections that end with a request that got no answer. It
	// may be nil.
	Unanswered prometheus.Counter
}

// Port is one listening address of the daemon.
type Port struct {
	name   string
	server *conns.Server
	actual net.Addr
}

// Open listens on the address and serves requests until Close or Shutdown. It
// returns an error if it can't listen.
func Open(ctx context.Context, options PortOptions) (*Port, error) {
	config := net.ListenConfig{Control: limitReceived(options.ReceiveBytes)}
	listener, err := config.Listen(ctx, "tcp", options.Address)
	if err != nil {
		return nil, err
	}
	limited := limit.New(listener, options.MaxConnections)
	handler := options.Handler
	if options.RequestInterval > 0 {
		handler = paced(handler, limited.Full)
	}
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         options.TLS,
		MaxHeaderBytes:    options.MaxHeaderBytes,
		ReadHeaderTimeout: options.HeaderTimeout,
		IdleTimeout:       options.IdleTimeout,
		WriteTimeout:      options.WriteTimeout,
		ConnContext:       options.connContext(),
		ErrorLog:          options.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	served := conns.Serve(server, limited, conns.WithUnanswered(reportUnanswered(&options)), conns.WithAdmit(options.AdmitFunc))
	limited.OnFull(makeRoom(served, &options))
	return &Port{name: options.Name, actual: listener.Addr(), server: served}, nil
}

// limitReceived returns a function that limits what the kernel holds of each connection to a listening socket, nil without
// limit. Connections take it over, which tells their senders the limit from the first packet on.
func limitReceived(bytes int) func(network, address string, c syscall.RawConn) error {
	if bytes == 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// The kernel doubles the value. If it fails, the kernel holds more.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2)
		})
	}
}

// makeRoomLogInterval is the shortest time between two log lines about connections that were closed for others.
const makeRoomLogInterval = time.Second

// makeRoom returns a function that closes the connection which has waited for a request for longest, so that callers who open
// connections and send nothing, or half a head, don't keep all others out.
func makeRoom(served *conns.Server, options *PortOptions) func() {
	var loggedAt time.Time // only the goroutine that accepts connections uses it
	closed := 0
	return func() {
		remote, waited := served.CloseLongestWaiting()
		if remote == "" {
			return
		}
		if closed++; time.Since(loggedAt) >= makeRoomLogInterval {
			options.Log.Info("connection closed for another one", "port", options.Name, "caller", remote, "waitedMs", int64(waited),
				"maxConnections", options.MaxConnections, "closed", closed)
			loggedAt = time.Now()
		}
	}
}

// reportUnanswered returns a function that logs and counts a connection that ended
// without an answer.
func reportUnanswered(options *PortOptions) func(conns.Unanswered) {
	return func(ended conns.Unanswered) {
		options.Log.Warn("connection ended unanswered", "port", options.Name, "caller", ended.Remote,
			"bytes", ended.Bytes, "readMs", int64(ended.Age), "stopping", ended.Stopping)
		if options.Unanswered != nil {
			options.Unanswered.Inc()
		}
	}
}

// Address returns the address on which the port listens.
func (p *Port) Address() net.Addr { return p.actual }

// Shutdown stops accepting and returns once each request that has arrived on an open
// connection is answered, or with a conns.StillOpenError when the context ends.
func (p *Port) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }

// Close closes the port and all its connections at once. It does nothing on a nil
// port, that is, one that was never opened.
func (p *Port) Close() {
	if p != nil {
		p.server.Close()
	}
}
