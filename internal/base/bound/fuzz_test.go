package bound_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/bound"
)

// Guards against heads that pass although a rule forbids them, and against a length or chunks that are read
// in another way than net/http reads them.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody", "HTTP/1.0 200 OK\n\nbody", "HTTP/1.1 204\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbody", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\nbody",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		request := &http.Request{Method: http.MethodGet}
		response, err := bound.New(bytes.NewReader(text), 4<<10).ReadResponse(request)
		if err != nil {
			return
		}
		assert.Assert(t, response.StatusCode >= http.StatusOK && bound.CheckResponse(response) == nil, "%+v", response)
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		from := bufio.NewReader(bytes.NewReader(text))
		for {
			other, err := http.ReadResponse(from, request)
			if err != nil {
				return // stricter in lists of equal lengths and long trailers
			}
			if !bound.IsFinal(other) {
				continue
			}
			assert.Equal(t, response.StatusCode, other.StatusCode)
			if got, err := io.ReadAll(other.Body); err == nil {
				assert.DeepEqual(t, body, got)
			}
			return
		}
	})
}
