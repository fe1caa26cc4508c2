package conns

import (
	"bufio"
	"net"
	"net/http"
)

// closeAfterStop sets "Connection: close" on answers once the server stops, so that
// callers open another connection for their next request.
func (s *Server) closeAfterStop(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &responseWriter{ResponseWriter: w, server: s}
		handler.ServeHTTP(a, r)
		a.decideHead()
	})
}

// responseWriter is an http.ResponseWriter that decides whether the connection is closed
// when the head of the answer is written, because the stop may begin while the request
// is handled.
type responseWriter struct {
	http.ResponseWriter
	server      *Server
	headDecided bool
}

// decideHead sets "Connection: close" if the server is stopping and the head has not
// been written yet.
func (a *responseWriter) decideHead() {
	if !a.headDecided && a.server.stopping.Load() {
		a.Header().Set("Connection", "close")
	}
	a.headDecided = true
}

// WriteHeader implements http.ResponseWriter.
func (a *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.decideHead()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *responseWriter) Write(p []byte) (int, error) {
	a.decideHead()
	return a.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (a *responseWriter) Flush() { _ = a.FlushError() }

// FlushError does the same as Flush, for an http.ResponseController.
func (a *responseWriter) FlushError() error {
	a.decideHead()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Hijack implements http.Hijacker.
func (a *responseWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	a.headDecided = true
	return http.NewResponseController(a.ResponseWriter).Hijack()
}

// Unwrap returns the wrapped writer, for an http.ResponseController.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }
