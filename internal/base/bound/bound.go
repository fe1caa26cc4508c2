// Package bound reads answers from other processes. It limits the bytes that are read of a head,
// because an endpoint that sends bytes without end would fill the memory, and decides whether a head
// is one that RFC 9110 and 9112 allow and where its body ends.
package bound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// MaxHeadBytes is the largest head of an answer, with all informational answers before it.
const MaxHeadBytes = 64 << 10

// HeadError is returned for a head of an answer above Max bytes.
type HeadError struct {
	Max int
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("the head of the answer exceeds %d bytes", e.Max)
}

// Reader reads answers from a connection. It is not safe for concurrent use.
type Reader struct {
	*bufio.Reader
	from *limited
}

// New returns a Reader with a buffer of a size.
func New(from io.Reader, size int) *Reader {
	l := &limited{from: from, left: MaxHeadBytes}
	return &Reader{Reader: bufio.NewReaderSize(l, size), from: l}
}

// Limit bounds what is read until Unlimit is called, which is the head of one answer.
func (r *Reader) Limit() { r.from.left = MaxHeadBytes - r.Buffered() }

// Unlimit ends the bound: what follows is a body.
func (r *Reader) Unlimit() { r.from.left = unlimited }

// ReadResponse reads the head of the final answer to a request and skips informational ones. It
// returns a HeadError if they are too large. The body is not limited.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	r.Limit()
	defer r.Unlimit()
	for {
		response, err := r.ReadHead(request)
		if err != nil || IsFinal(response) {
			return response, err
		}
	}
}

// IsFinal reports whether no other answer to the request follows.
func IsFinal(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK
}

const unlimited = int(^uint(0) >> 1)

// limited reads at most left bytes.
type limited struct {
	from io.Reader
	left int
}

// Read implements io.Reader.
func (l *limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, &HeadError{Max: MaxHeadBytes}
	}
	n, err := l.from.Read(p[:min(len(p), l.left)])
	if l.left != unlimited {
		l.left -= n
	}
	return n, err
}

// Conn is a connection of which at most MaxHeadBytes are read until Unlimit is called.
type Conn struct {
	net.Conn
	from limited
}

// NewConn returns a limited connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, from: limited{from: c, left: MaxHeadBytes}} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.from.Read(p) }

// Unlimit ends the bound. It is called before the next read.
func (c *Conn) Unlimit() { c.from.left = unlimited }
