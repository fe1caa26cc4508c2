package conn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
)

// endpoint starts a server that calls script with each connection and its number.
func endpoint(t testing.TB, script func(number int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(number, c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request including its body and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id"), err
}

func request(id string) *conn.Request {
	return &conn.Request{
		Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"),
		MatchFunc: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
		MaxIdle:   clock.Minute,
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func do(t *testing.T, g *conn.Group, id string) (string, error) {
	t.Helper()
	reply, err := g.Do(t.Context(), request(id))
	if err != nil {
		return "", err
	}
	defer reply.Finish()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

func TestConnectionsAreReused(t *testing.T) {
	opened := 0
	g := conn.New(endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, id))
		}
	}), conn.WithDialed(func() { opened++ }))
	for _, id := range []string{"a", "b", "c"} {
		body, err := do(t, g, id)
		assert.NilError(t, err)
		assert.Equal(t, body, id)
	}
	assert.Equal(t, opened, 1)
	fresh := request("d")
	fresh.MaxIdle = 0
	reply, err := g.Do(t.Context(), fresh)
	assert.NilError(t, err)
	reply.Finish()
	assert.Equal(t, opened, 2)
}

// Guards against returning the answer of another request: the endpoint answers a
// request twice, and the duplicate arrives after the next request was sent.
func TestDuplicateAnswerIsNotDelivered(t *testing.T) {
	secondRequest := make(chan struct{})
	g := conn.New(endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		first, _ := readRequest(r)
		_, _ = io.WriteString(c, answer(first, "one"))
		second, err := readRequest(r)
		if err != nil {
			return
		}
		close(secondRequest)
		_, _ = io.WriteString(c, answer(first, "one")+answer(second, "two"))
		_, _ = readRequest(r)
	}))
	body, err := do(t, g, "a")
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	body, err = do(t, g, "b")
	<-secondRequest
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
}

// Guards against taking surplus bytes after an answer for the answer to the next
// request: a connection that received such bytes must not be reused.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	opened := 0
	g := conn.New(endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(id, "x")+"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny")
		_, _ = readRequest(r)
	}), conn.WithDialed(func() { opened++ }))
	for _, id := range []string{"a", "b"} {
		body, err := do(t, g, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "x")
		time.Sleep(20 * time.Millisecond) // the surplus bytes may arrive after the answer
	}
	assert.Equal(t, opened, 2)
}

// Each failure after the request was sent must be a SentError: a NotSentError
// would let non-idempotent work run twice.
func TestErrorTypeShowsWhetherTheRequestWasSent(t *testing.T) {
	for name, script := range map[string]func(c net.Conn, r *bufio.Reader){
		"closed without an answer": func(_ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) },
		"invalid answer": func(c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, "what?\r\n\r\n")
		},
		"reset": func(c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"answers to other requests only": func(c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, strings.Repeat(answer("z", "zz"), 4))
			_, _ = readRequest(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := conn.New(endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) { script(c, r) }))
			_, err := do(t, g, "a")
			var sent *conn.SentError
			assert.Assert(t, errors.As(err, &sent), "%v", err)
		})
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	_, err = do(t, conn.New(closed.Addr().String()), "a")
	var notSent *conn.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
}

// An answer without a length ends with its connection. If the connection is
// reset, the answer is truncated and must not count as complete.
func TestResetAnswerIsIncomplete(t *testing.T) {
	for _, reset := range []bool{false, true} {
		g := conn.New(endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		}))
		reply, err := g.Do(t.Context(), request("a"))
		assert.NilError(t, err)
		body, err := io.ReadAll(reply.Body)
		assert.Equal(t, string(body), "part")
		assert.Equal(t, err == nil, !reset, "%v", err)
		assert.Equal(t, reply.Complete(), !reset)
		reply.Finish()
	}
}

// The endpoint refuses a long request before it has read the body. If the
// connection were reused, the endpoint would read the next request as the rest of
// that body.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	opened := 0
	g := conn.New(endpoint(t, func(number int, c net.Conn, r *bufio.Reader) {
		if number == 1 {
			_, _ = io.WriteString(c, answer("a", "no"))
			time.Sleep(time.Second)
			return
		}
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, answer(id, "ok"))
	}), conn.WithDialed(func() { opened++ }))
	long := request("a")
	long.Head = []byte("POST / HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 33554432\r\n\r\n")
	long.Body = make([]byte, 32<<20)
	reply, err := g.Do(t.Context(), long)
	assert.NilError(t, err)
	body, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "no")
	reply.Finish()
	next, err := do(t, g, "b")
	assert.NilError(t, err)
	assert.Equal(t, next, "ok")
	assert.Equal(t, opened, 2)
}

// When a caller cancels, the connection must be closed at once. Otherwise the
// engine continues a generation whose answer is not needed.
func TestContextEndClosesTheConnection(t *testing.T) {
	noticed := make(chan struct{})
	g := conn.New(endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 10\r\n\r\nx")
		_, _ = r.ReadByte()
		close(noticed)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	reply, err := g.Do(ctx, request("a"))
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(reply.Body)
	assert.Assert(t, err != nil)
	reply.Finish()
	select {
	case <-noticed:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint did not see the connection close")
	}
}

func TestOpenConnectionsAreLimited(t *testing.T) {
	g := conn.New(endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, "x"))
		}
	}), conn.WithMaxOpen(func() int { return 1 }))
	reply, err := g.Do(t.Context(), request("a"))
	assert.NilError(t, err)
	_, err = do(t, g, "b")
	var full *conn.FullError
	assert.Assert(t, errors.As(err, &full), "%v", err)
	_, err = io.ReadAll(reply.Body)
	assert.NilError(t, err)
	reply.Finish()
	_, err = do(t, g, "c")
	assert.NilError(t, err)
}

// Guards against a call that has to wait because all connections are in use, and against
// connections beyond the limit that stay open.
func TestSpareConnectionIsClosedAfterItsAnswer(t *testing.T) {
	opened := 0
	g := conn.New(endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, id))
		}
	}), conn.WithDialed(func() { opened++ }), conn.WithMaxOpen(func() int { return 1 }))
	held, err := g.Do(t.Context(), request("a"))
	assert.NilError(t, err)
	_, err = do(t, g, "b")
	var full *conn.FullError
	assert.Assert(t, errors.As(err, &full))
	for range 2 {
		spare := request("c")
		spare.Spare = true
		reply, err := g.Do(t.Context(), spare)
		assert.NilError(t, err)
		_, err = g.Do(t.Context(), spare)
		assert.Assert(t, errors.As(err, &full))
		_, _ = io.ReadAll(reply.Body)
		reply.Finish()
	}
	held.Finish()
	assert.Equal(t, opened, 3)
}

// Guards against an endpoint that is replaced unnoticed: the last connection to a process fails when
// that process ends.
func TestFailureOfTheLastConnectionIsReported(t *testing.T) {
	var closed []bool
	g := conn.New(endpoint(t, func(number int, c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		if number == 2 {
			_, _ = io.WriteString(c, answer(id, "long")[:20])
			return
		}
		if number == 3 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nup to the end")
			return
		}
		_, _ = io.WriteString(c, answer(id, id))
		_, _ = readRequest(r)
	}), conn.WithLastClosed(func(failed bool) { closed = append(closed, failed) }))
	_, err := do(t, g, "a")
	assert.NilError(t, err)
	g.Close()
	assert.DeepEqual(t, closed, []bool{false})
	_, err = do(t, g, "b")
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, closed, []bool{false, true})
	_, err = do(t, g, "c")
	assert.NilError(t, err)
	assert.DeepEqual(t, closed, []bool{false, true, true})
}

// endlessConn is a connection on which an answer never ends.
type endlessConn struct {
	net.Conn
	start, text string
	read        atomic.Int64
}

// Read implements net.Conn. It ends after 64 MB, so that a failed test doesn't fill the memory.
func (c *endlessConn) Read(p []byte) (int, error) {
	if c.read.Load() > 64<<20 {
		return 0, io.EOF
	}
	for i := range p {
		if at := int(c.read.Load()) + i; at < len(c.start) {
			p[i] = c.start[at]
		} else {
			p[i] = c.text[(at-len(c.start))%len(c.text)]
		}
	}
	c.read.Add(int64(len(p)))
	return len(p), nil
}

// Write implements net.Conn.
func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *endlessConn) Close() error { return nil }

// SetDeadline implements net.Conn.
func (c *endlessConn) SetDeadline(time.Time) error { return nil }

// Guards against requests that wait until their deadline, and memory that grows meanwhile, because an
// endpoint sends bytes that are no answer without end.
func TestBytesWithoutEndAreRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]*endlessConn{
		"no answer": {text: "a"}, "no answer with lines": {text: "a\r\n"}, "zeros": {text: "\x00"},
		"status line": {start: "HTTP/1.1 200 ", text: "O"}, "headers": {start: "HTTP/1.1 200 OK\r\n", text: "X: a\r\n"},
		"informational answers": {text: "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		g := conn.New("127.0.0.1:1", conn.WithDial(func(context.Context, string, string) (net.Conn, error) { return c, nil }))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := g.Do(ctx, &conn.Request{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\n\r\n")})
		assert.NilError(t, ctx.Err(), name)
		cancel()
		var sent *conn.SentError
		assert.Assert(t, errors.As(err, &sent), "%s: %v", name, err)
		assert.Assert(t, c.read.Load() <= bound.MaxHeadBytes, "%s: %d bytes read", name, c.read.Load())
	}
}

// Guards against a request that waits until its deadline because an endpoint sends bytes that are no
// answer, and no end of a line, after an informational answer.
func TestBytesAfterAnInformationalAnswerAreRefusedAtOnce(t *testing.T) {
	for name, verify := range map[string]func(int, http.Header, []byte) conn.Verdict{"verified": verdictOf, "not verified": nil} {
		address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = c.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\nno answer"))
			_, _ = r.ReadByte() // until the caller closes
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, err := conn.New(address).Do(ctx, &conn.Request{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\n\r\n"), VerifyFunc: verify, MaxBytes: 100})
		assert.NilError(t, ctx.Err(), name)
		cancel()
		var sent *conn.SentError
		assert.Assert(t, errors.As(err, &sent), "%s: %v", name, err)
	}
}
