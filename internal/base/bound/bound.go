// Package bound limits the bytes that are read of the head of an answer. The parser of net/http
// keeps a line of any length, so an endpoint that sends bytes without end would fill the memory.
package bound

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
)

// MaxHeadBytes is the largest head of an answer, with all informational answers before it. It is
// the limit of most servers and proxies.
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

// ReadResponse reads the head of the final answer to a request and skips informational ones. It
// returns a HeadError if they are too large. The body is not limited.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	r.from.left = MaxHeadBytes - r.Buffered()
	defer func() { r.from.left = unlimited }()
	for {
		response, err := http.ReadResponse(r.Reader, request)
		if err != nil && r.from.left <= 0 {
			return nil, &HeadError{Max: MaxHeadBytes}
		}
		if err != nil || response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
	}
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
