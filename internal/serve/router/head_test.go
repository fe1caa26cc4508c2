package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// cutEngine is an engine whose answers end after a number of bytes, with a reset if that is set.
type cutEngine struct {
	// head is the head of its answers with a verb for the id of the request.
	head  string
	cut   atomic.Int64
	reset bool
}

// start registers the engine for a service.
func (e *cutEngine) start(b *bench, service string) {
	listener := listen(b.t, "127.0.0.1:0")
	b.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.answer(c)
		}
	}()
	b.WriteEntry("i-cut", fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","state":"ready","version":"v1","seq":1,"born":1,"slots":64}`, service, listener.Addr()))
}

func (e *cutEngine) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	text := fmt.Sprintf(e.head, request.Header.Get(stand.HeaderRequest))
	_, _ = io.WriteString(c, text[:min(int(e.cut.Load()), len(text))])
	if e.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a caller that gets a success with an empty or a short body, framed as whole, because its
// engine stopped in the middle of the head and closed.
func TestHeadThatEndsInTheMiddleIsNoSuccess(t *testing.T) {
	id := stand.HeaderRequest + ": %s\r\n"
	heads := map[string]string{
		"length":        "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 15\r\n\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n",
		"neither":       "HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 15\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\n" + id + "\r\n",
	}
	for framing, head := range heads {
		for _, path := range []string{"/open/x", "/sum/x"} {
			t.Run(framing+path, func(t *testing.T) {
				t.Parallel()
				e := &cutEngine{head: head, reset: path == "/sum/x"}
				b := start(t, 1)
				service, host := orders, "orders.example"
				if path == "/sum/x" {
					service, host = models, "models.example"
				}
				for _, other := range b.Engines(service) {
					b.Remove(other)
				}
				e.start(b, service)
				b.awaitEndpoints(service, 1)
				whole, answered := len(fmt.Sprintf(head, stand.NewID())), 0
				for cut := 1; cut < whole; cut++ {
					e.cut.Store(int64(cut))
					got := b.rawUntilClosed(b.gateways[0], "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\nConnection: close\r\n"+stand.HeaderLines(stand.NewID(), key, 2000)+"\r\n")
					if response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil); err == nil {
						answered++
						_, err := io.Copy(io.Discard, response.Body)
						assert.Check(t, response.StatusCode >= http.StatusInternalServerError || err != nil, "cut at byte %d of %d: %q", cut, whole, got)
					}
				}
				assert.Check(t, answered > whole/2, "%d of %d requests were answered", answered, whole)
			})
		}
	}
}

// rawUntilClosed sends the bytes of a request and returns all that the gateway sends until it closes.
func (b *bench) rawUntilClosed(g *gateway, text string) string {
	b.t.Helper()
	c, err := net.Dial("tcp", g.address)
	assert.NilError(b.t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(b.t, c.SetDeadline(time.Now().Add(4*time.Second)))
	_, err = io.WriteString(c, text)
	assert.NilError(b.t, err)
	raw, _ := io.ReadAll(c) // a reset is an answer that breaks off
	return string(raw)
}
