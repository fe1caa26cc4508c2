package bound_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/bound"
)

// server starts a server that calls answer for each connection, with its request read up to its body.
func server(t *testing.T, answer func(c *net.TCPConn, r *bufio.Reader, request *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if request, err := http.ReadRequest(r); err == nil {
					answer(c.(*net.TCPConn), r, request)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// post sends a request with a body of a size and reads its answer.
func post(t *testing.T, transport http.RoundTripper, url string, size int) ([]byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, size)))
	assert.NilError(t, err)
	request.GetBody = nil
	response, err := (&http.Client{Transport: transport, Timeout: 20 * time.Second}).Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

// Guards against heads that the transport of net/http accepts and that an agent, a client of the store or
// a reader of statistics takes for an answer.
func TestTransportRefusesInvalidHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 4\r\n\r\n",
	} {
		url := server(t, func(c *net.TCPConn, _ *bufio.Reader, _ *http.Request) { _, _ = io.WriteString(c, head+"body") })
		body, err := post(t, bound.NewTransport(&http.Transport{}), url, 10)
		var invalid *bound.InvalidHeadError
		assert.Check(t, errors.As(err, &invalid), "%q: %q %v", head, body, err)
	}
}

// Guards against a part that counts as a whole answer because the write of the request gets the error of
// the reset.
func TestTransportReturnsNoPartOfAnAnswerThatIsResetDuringTheUpload(t *testing.T) {
	const size, count = 8 << 20, 20
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond} {
		url := server(t, func(c *net.TCPConn, r *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = c.SetReadDeadline(time.Now().Add(delay))
			_, _ = io.CopyN(io.Discard, r, size/4)
			_ = c.SetLinger(0)
		})
		whole := 0
		for range count {
			if _, err := post(t, bound.NewTransport(&http.Transport{}), url, size); err == nil {
				whole++
			}
		}
		assert.Check(t, whole == 0, "reset after %s: %d of %d whole", delay, whole, count)
	}
}

// Guards against sound answers that are refused because only the end of the connection ends them, or
// because they come before the request has been read.
func TestTransportReturnsSoundAnswers(t *testing.T) {
	for _, size := range []int{0, 100, 8 << 20} {
		for head, early := range map[string]bool{"HTTP/1.0 200 OK\r\n\r\n": false, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\n": true} {
			url := server(t, func(c *net.TCPConn, r *bufio.Reader, request *http.Request) {
				if early {
					_, _ = io.WriteString(c, head+"body")
				}
				_, _ = io.CopyN(io.Discard, r, request.ContentLength)
				if !early {
					_, _ = io.WriteString(c, head+"body")
				}
			})
			for range 20 {
				body, err := post(t, bound.NewTransport(&http.Transport{DisableKeepAlives: true}), url, size)
				assert.NilError(t, err, "%q after %d bytes", head, size)
				assert.Equal(t, string(body), "body")
			}
		}
	}
}
