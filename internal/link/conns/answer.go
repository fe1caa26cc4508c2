package conns

import (
	"bufio"
	"net"
	"net/http"
)

// closing has callers open another connection for their next request once the
// server stops.
func (s *Server) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &answer{ResponseWriter: w, server: s}
		handler.ServeHTTP(a, r)
		a.begin()
	})
}

// answer is a ResponseWriter that decides when the head is written whether the
// connection goes on: the stop may have begun after the request.
type answer struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

func (a *answer) begin() {
	if !a.begun && a.server.stopping.Load() {
		a.Header().Set("Connection", "close")
	}
	a.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.begin()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (a *answer) Flush() { _ = a.FlushError() }

// FlushError is Flush for an http.ResponseController.
func (a *answer) FlushError() error {
	a.begin()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Hijack implements http.Hijacker.
func (a *answer) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	a.begun = true
	return http.NewResponseController(a.ResponseWriter).Hijack()
}

// Unwrap is for an http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
