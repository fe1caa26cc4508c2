package bound_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/bound"
)

// endless repeats a text and counts the bytes that were read.
type endless struct {
	start, text string
	read        int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		if at := e.read + i; at < len(e.start) {
			p[i] = e.start[at]
		} else {
			p[i] = e.text[(at-len(e.start))%len(e.text)]
		}
	}
	e.read += len(p)
	return len(p), nil
}

// Guards against memory that grows until the deadline while an endpoint sends a head without end.
func TestHeadsWithoutEndAreNotKept(t *testing.T) {
	for name, from := range map[string]*endless{
		"status line":           {start: "HTTP/1.1 200 ", text: "O"},
		"name of a header":      {start: "HTTP/1.1 200 OK\r\n", text: "a"},
		"value of a header":     {start: "HTTP/1.1 200 OK\r\nX: ", text: "a"},
		"continued value":       {start: "HTTP/1.1 200 OK\r\nX: a\r\n", text: " a\r\n"},
		"headers":               {start: "HTTP/1.1 200 OK\r\n", text: "X: a\r\n"},
		"informational answers": {text: "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		_, err := bound.New(from, 4<<10).ReadResponse(&http.Request{Method: http.MethodGet})
		var tooLarge *bound.HeadError
		var invalid *bound.InvalidHeadError
		folded := name == "continued value" // refused at its first line
		assert.Assert(t, errors.As(err, &tooLarge) != folded && errors.As(err, &invalid) == folded, "%s: %v", name, err)
		assert.Assert(t, from.read <= bound.MaxHeadBytes, "%s: %d bytes read", name, from.read)
	}
}

// Guards against answers that are refused because of the length of their bodies, and against heads
// of later answers on the same connection that are refused because of the earlier ones.
func TestOnlyHeadsAreLimited(t *testing.T) {
	const count = 10
	answer := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", bound.MaxHeadBytes/2) + "\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("b", 200_000)
	r := bound.New(strings.NewReader(strings.Repeat(answer, count)), 4<<10)
	for range count {
		response, err := r.ReadResponse(&http.Request{Method: http.MethodGet})
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(200_000))
		assert.NilError(t, response.Body.Close())
	}
}
