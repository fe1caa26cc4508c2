package upload_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/body"
	"github.com/jujubescale/jujubescale/internal/serve/upload"
)

// result is what Read returned.
type result struct {
	bytes   []byte
	refused *fault.RefusalError
}

// serve starts a server that reads bodies and answers with 200, or with 503 if they are refused.
func serve(t *testing.T, limits body.Limits, maxBytes int64, within clock.Millis) (address string, results chan result) {
	t.Helper()
	local := clock.New()
	book := upload.New(body.New(limits), prometheus.NewRegistry(), upload.WithClock(local))
	results = make(chan result, 16)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read, refused := book.Read(w, r, maxBytes, local.Now()+within)
		defer read.Release()
		results <- result{bytes.Clone(read.Bytes), refused}
		if refused != nil {
			upload.Drain(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), results
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

// Bodies arrive as they were sent, with a length and in chunks, and the connection carries the next request.
func TestBodiesArriveAsTheyWereSent(t *testing.T) {
	address, results := serve(t, body.Limits{Memory: 400 << 20}, 8<<20, 20*clock.Second)
	c := dial(t, address)
	answers := bufio.NewReader(c)
	for _, size := range []int{0, 1, 511, 512, 513, body.FirstPart - 1, body.FirstPart, body.FirstPart + 1, 80_000, 64<<10 + body.FirstPart, 5 << 20} {
		sent := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
		for name, request := range map[string]string{
			"length": fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, sent),
			"chunks": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(sent, 7001) + "0\r\n\r\n",
		} {
			_, err := io.WriteString(c, request)
			assert.NilError(t, err)
			got := <-results
			assert.Assert(t, got.refused == nil, "%s of %d bytes: %v", name, size, got.refused)
			assert.Assert(t, bytes.Equal(got.bytes, sent), "%s of %d bytes: %d bytes arrived", name, size, len(got.bytes))
			response, err := http.ReadResponse(answers, nil)
			assert.NilError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
	}
}

func inChunks(all []byte, size int) string {
	var text strings.Builder
	for len(all) > 0 {
		n := min(size, len(all))
		_, _ = fmt.Fprintf(&text, "%x\r\n%s\r\n", n, all[:n])
		all = all[n:]
	}
	return text.String()
}

// Guards against a request that stays open for good because its body stops short of its end: it is refused at its deadline.
func TestBodyThatStopsIsRefusedAtTheDeadline(t *testing.T) {
	for name, request := range map[string]string{
		"length": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 99_999),
		"chunks": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(bytes.Repeat([]byte("a"), 30_000), 1),
		"none":   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, results := serve(t, body.Limits{}, 1<<20, 100)
			c := dial(t, address)
			_, err := io.WriteString(c, request)
			assert.NilError(t, err)
			got := <-results
			assert.Equal(t, got.refused.Reason, fault.DeadlineUnreachable)
			assert.Equal(t, got.refused.Ran, fault.NotRun)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			_, err = io.ReadAll(response.Body)
			assert.NilError(t, err, "the answer is whole")
			_, err = io.Copy(io.Discard, c)
			// What has arrived and was not read makes the kernel end the connection with a reset.
			assert.Assert(t, err == nil || errors.Is(err, syscall.ECONNRESET), "the connection is not closed: %v", err)
		})
	}
}

// Guards against memory that is allocated for bodies that don't come, or that have no room.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	const memory = 10 << 20 // 1.5 MB beyond first parts
	address, results := serve(t, body.Limits{Memory: memory}, 1<<20, 20*clock.Second)
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n"
	stalled := dial(t, address)
	_, err := io.WriteString(stalled, head+strings.Repeat("a", 100_000))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // until it has reserved its length
	late := dial(t, address)
	_, err = io.WriteString(late, head+strings.Repeat("a", 1<<20))
	assert.NilError(t, err)
	got := <-results
	assert.Equal(t, got.refused.Reason, fault.Overloaded)
	assert.Assert(t, got.refused.RetryAfter > 0)
	small := dial(t, address)
	_, err = io.WriteString(small, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello")
	assert.NilError(t, err)
	got = <-results
	assert.Equal(t, string(got.bytes), "hello")
}

func TestBodyAboveTheLimitIsDenied(t *testing.T) {
	address, results := serve(t, body.Limits{}, 1000, 20*clock.Second)
	for _, request := range []string{
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(bytes.Repeat([]byte("a"), 1001), 100),
	} {
		c := dial(t, address)
		_, err := io.WriteString(c, request)
		assert.NilError(t, err)
		assert.Equal(t, (<-results).refused.Reason, fault.BodyTooLarge)
	}
}
