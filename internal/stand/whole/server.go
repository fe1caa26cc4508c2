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

// Ports that the stand-ins draw from. They lie below those that the kernel
// gives to outgoing connections (32768 and up), and above those that tests of
// separate processes use: a server that is restarted at
// its address would otherwise find it taken now and then by a connection that
// was opened meanwhile, and the test that restarted it would fail.
const (
	firstPort = 30_000
	lastPort  = 32_700
	portTries = 100
)

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	if address != anyPort {
		return listenAgain(address)
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

// Spans of waiting for a port that is in use: between stop and start another
// system on this machine may have drawn it.
const (
	portWait  = 60 * time.Second
	portPause = 20 * time.Millisecond
)

func listenAgain(address string) (net.Listener, error) {
	var config net.ListenConfig
	for end := time.Now().Add(portWait); ; time.Sleep(portPause) {
		listener, err := config.Listen(context.Background(), "tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
	}
}

// Address returns where the server listens (IP:port).
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Shutdown stops accepting and waits for open requests until the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close ends the server and its connections at once. A second call does nothing.
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
