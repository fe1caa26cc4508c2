package whole

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/link/conns"
)

// Server is one HTTP server on loopback.
type Server struct {
	listener net.Listener
	http     *conns.Server
}

// Serve starts a server on an address (IP:port).
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	return &Server{listener: listener, http: conns.Serve(server, listener)}, nil
}

// Range of the ports of the stand-ins. It lies below the ports that the kernel
// assigns to outgoing connections (32768 and up), and above the ports that tests
// of separate processes use. Otherwise, an outgoing connection could take the
// port of a server while it restarts, and the test that restarts it would fail.
const (
	firstPort = 30_000
	lastPort  = 32_700
	portTries = 100
)

// listen listens on an address. For anyPort it tries random ports of the range,
// portTries times at most.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	if address != anyPort {
		return listenWithRetry(address)
	}
	var err error
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		var listener net.Listener
		listener, err = config.Listen(context.Background(), "tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// While a server is stopped, another system on this machine may take its port.
// A restart retries for portInUseTimeout, with pauses of portRetryInterval.
const (
	portInUseTimeout  = 60 * time.Second
	portRetryInterval = 20 * time.Millisecond
)

// listenWithRetry listens on an address, and retries while the port is in use.
func listenWithRetry(address string) (net.Listener, error) {
	var config net.ListenConfig
	for deadline := time.Now().Add(portInUseTimeout); ; time.Sleep(portRetryInterval) {
		listener, err := config.Listen(context.Background(), "tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// Address returns the server's address (IP:port).
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Shutdown stops accepting connections and waits until open requests are
// answered or the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the server and its connections immediately. A second call has no
// effect.
func (s *Server) Close() {
	if s == nil || s.http == nil {
		return
	}
	s.http.Close()
	if err := <-s.http.Done(); err != nil {
		log.Warn("server ended", "error", err)
	}
	s.http = nil
}
