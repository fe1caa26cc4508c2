// Package mixed_test plays engines whose answers are not what they seem through a gateway.
package mixed_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/stand/fleet"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// maxBody is the largest upload, in bytes.
const maxBody = 8 << 20

// kinds are the kinds of routes, each with services of its own.
var kinds = []string{"unsafe", "safe", "stream"}

// play is a gateway with a single engine for each service.
type play struct {
	*fleet.Fleet
	engines []*engine
	logged  *lockedBuffer
}

// lockedBuffer keeps a log.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines that hold a text.
func (b *lockedBuffer) lines(text string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found strings.Builder
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, text) {
			found.WriteString(line)
		}
	}
	return found.String()
}

// scriptFunc answers a request on a connection whose request has been read up to its body.
type scriptFunc func(c *net.TCPConn, r *bufio.Reader, request *http.Request)

// engine answers by a script.
type engine struct {
	number int
	kind   string
	script atomic.Pointer[scriptFunc]
	asked  atomic.Int64
}

func (e *engine) service() string { return fmt.Sprintf("%s-%d", e.kind, e.number) }

func (e *engine) serve(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			if request, err := http.ReadRequest(r); err == nil {
				e.asked.Add(1)
				(*e.script.Load())(c.(*net.TCPConn), r, request)
			}
		}()
	}
}

// start starts a gateway and engines of each kind.
func start(t *testing.T, engines int) *play {
	t.Helper()
	p := &play{logged: &lockedBuffer{}}
	config := stand.Config{MaxBodyBytes: maxBody, Tenants: []stand.Tenant{{Name: fleet.Org, Keys: []string{fleet.Key}}}}
	for number := range engines {
		for _, kind := range kinds {
			e := &engine{number: number, kind: kind}
			serviceKind := stand.Plain
			if kind == "stream" {
				serviceKind = stand.Model
			}
			config.Services = append(config.Services, stand.Service{Name: e.service(), Kind: serviceKind, MaxConns: 64})
			config.Routes = append(config.Routes, stand.Route{
				Name: e.service(), Host: "mixed.example", Prefix: "/" + e.service() + "/", Kind: kind, Service: e.service(), TimeoutMs: 8000, SloMs: 2000, Attempts: 1,
			})
			p.engines = append(p.engines, e)
		}
	}
	p.Fleet = fleet.New(t, 1, 0, fleet.WithConfig(config), fleet.WithLog(func(string) io.Writer { return p.logged }))
	for _, e := range p.engines {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go e.serve(listener)
		p.WriteEntry("i-"+e.service(), fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","state":"ready","version":"v1","seq":1,"born":1,"slots":64}`, e.service(), listener.Addr()))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range p.engines {
			if p.Gateways[0].KnownEndpoints(e.service()) == 0 {
				return poll.Continue("%s is not known", e.service())
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return p
}

// outcome is what a caller got.
type outcome struct {
	id     string
	head   string
	status int
	header http.Header
	body   []byte
	// err is set if the answer breaks off.
	err error
}

// send sends a request until the engine gets it, because an engine that failed is blocked for a while.
func (p *play) send(t *testing.T, e *engine, method string, size int, script scriptFunc) outcome {
	t.Helper()
	return p.sendWithin(t, e, method, size, 6*time.Second, script)
}

// sendWithin is send with a deadline of the request.
func (p *play) sendWithin(t *testing.T, e *engine, method string, size int, deadline time.Duration, script scriptFunc) outcome {
	t.Helper()
	e.script.Store(&script)
	var got outcome
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		asked := e.asked.Load()
		if got = p.sendOnce(t, e, method, size, deadline); e.asked.Load() == asked {
			return poll.Continue("the engine was not asked: %d %s", got.status, got.body)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	return got
}

func (p *play) sendOnce(t *testing.T, e *engine, method string, size int, deadline time.Duration) outcome {
	t.Helper()
	c, err := net.Dial("tcp", p.Gateways[0].Address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	got := outcome{id: stand.NewID()}
	head := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: mixed.example\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n", method, e.service(), size, stand.HeaderLines(got.id, fleet.Key, int(deadline.Milliseconds())))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(append([]byte(head), make([]byte, size)...)) // fails if the gateway answers early
	}()
	defer func() { _ = c.Close(); <-written }()
	var raw bytes.Buffer
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), request)
	if err != nil {
		got.err = err
		return got
	}
	got.status, got.header = response.StatusCode, response.Header
	got.body, got.err = io.ReadAll(response.Body)
	got.head, _, _ = strings.Cut(raw.String(), "\r\n\r\n")
	return got
}

// text returns the body of an answer of at least a size.
func text(e *engine, id string, size int) string {
	if e.kind == "stream" {
		var events strings.Builder
		for number := 1; events.Len() < size; number++ {
			events.WriteString(stand.EventText(id, number, "v1"))
		}
		return events.String()
	}
	return strings.Repeat("body ", size/5+1)
}

// Guards against a caller that gets the part of an answer that its engine reset during the upload as a
// whole answer, with a length that the gateway made up.
func TestPartOfAnAnswerThatIsResetDuringTheUploadIsNotPassedAsWhole(t *testing.T) {
	p := start(t, 1)
	for _, e := range p.engines {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s reset after %s", e.kind, delay), func(t *testing.T) {
				whole, count := 0, 10
				for range count {
					got := p.send(t, e, http.MethodPost, 4<<20, func(c *net.TCPConn, r *bufio.Reader, request *http.Request) {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+stand.AnswerLines(request.Header.Get(stand.HeaderRequest))+"Connection: close\r\n\r\n"+text(e, request.Header.Get(stand.HeaderRequest), 1000))
						_ = c.SetReadDeadline(time.Now().Add(delay))
						_, _ = io.CopyN(io.Discard, r, 1<<20)
						_ = c.SetLinger(0)
					})
					if got.err == nil && got.status == http.StatusOK {
						whole++
						continue
					}
					assert.Check(t, got.err != nil || got.status == http.StatusBadGateway, "%d %s", got.status, got.body)
					assert.Check(t, p.logged.lines(got.id) != "", "nothing logged of %s", got.id)
				}
				assert.Equal(t, whole, 0, "parts passed as whole answers, of %d", count)
			})
		}
	}
}

// Guards against answers that are passed on although their heads are not what RFC 9110 and 9112 allow.
func TestInvalidHeadsAreNotPassed(t *testing.T) {
	p := start(t, 1)
	for name, odd := range map[string]struct{ status, line string }{
		"status 000":                 {"HTTP/1.1 000 OK", "Content-Length: 6"},
		"status 099":                 {"HTTP/1.1 099 OK", "Content-Length: 6"},
		"status 600":                 {"HTTP/1.1 600 OK", "Content-Length: 6"},
		"status 1000":                {"HTTP/1.1 1000 OK", "Content-Length: 6"},
		"status 101":                 {"HTTP/1.1 101 Switching Protocols", "Upgrade: x"},
		"blank before colon, length": {"HTTP/1.1 200 OK", "Content-Length : 3"},
		"blank before colon, chunks": {"HTTP/1.1 200 OK", "Transfer-Encoding : chunked"},
		"blank before colon":         {"HTTP/1.1 200 OK", "Content-Length: 6\r\nX-Odd : a"},
		"blank within a name":        {"HTTP/1.1 200 OK", "Content-Length: 6\r\nX Odd: a"},
		"control byte in a name":     {"HTTP/1.1 200 OK", "Content-Length: 6\r\nX\x01Odd: a"},
		"tab in a name":              {"HTTP/1.1 200 OK", "Content-Length: 6\r\nX\tOdd: a"},
		"high byte in a name":        {"HTTP/1.1 200 OK", "Content-Length: 6\r\nX\x80Odd: a"},
		"empty name":                 {"HTTP/1.1 200 OK", "Content-Length: 6\r\n: a"},
		"control byte in a value":    {"HTTP/1.1 200 OK", "Content-Length: 6\r\nX-Odd: a\x00b"},
		"carriage return in a value": {"HTTP/1.1 200 OK", "Content-Length: 6\r\nX-Odd: a\rb"},
		"folded line":                {"HTTP/1.1 200 OK", "Content-Length: 6\r\nX-Odd: a\r\n b"},
		"two lengths":                {"HTTP/1.1 200 OK", "Content-Length: 6\r\nContent-Length: 3"},
		"length with a sign":         {"HTTP/1.1 200 OK", "Content-Length: +6"},
		"length and chunks":          {"HTTP/1.1 200 OK", "Content-Length: 6\r\nTransfer-Encoding: chunked"},
		"unknown coding":             {"HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked"},
		"chunks in HTTP/1.0":         {"HTTP/1.0 200 OK", "Transfer-Encoding: chunked"},
		"invalid informational":      {"HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 6"},
	} {
		for _, e := range p.engines {
			t.Run(name+" "+e.kind, func(t *testing.T) {
				got := p.send(t, e, http.MethodPost, 100, func(c *net.TCPConn, r *bufio.Reader, request *http.Request) {
					_, _ = io.CopyN(io.Discard, r, request.ContentLength)
					body := "6\r\nengine\r\n0\r\n\r\n"
					if strings.Contains(odd.line, "Content-Length") {
						body = "engine"
					}
					_, _ = io.WriteString(c, odd.status+"\r\n"+stand.AnswerLines(request.Header.Get(stand.HeaderRequest))+odd.line+"\r\n\r\n"+body)
				})
				assert.Check(t, got.status == http.StatusBadGateway && got.err == nil, "%q %q %v", got.head, got.body, got.err)
				assert.Check(t, !strings.Contains(got.head, "Odd") && !bytes.Contains(got.body, []byte("engine")), "%q %q", got.head, got.body)
				assert.Check(t, strings.Contains(p.logged.lines(got.id), "the head of the answer is invalid"), p.logged.lines(got.id))
			})
		}
	}
}

// Guards against answers without a body whose length a gateway makes up: 0 bytes were read, which isn't
// what the length of an answer to HEAD or of a 304 states, and a 204 has none.
func TestLengthsOfAnswersWithoutABodyAreThoseOfTheEngine(t *testing.T) {
	p := start(t, 1)
	e := p.engines[1]
	for name, c := range map[string]struct {
		method, head string
		want         []string
	}{
		"HEAD with a length":    {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n", []string{"10"}},
		"HEAD with no bytes":    {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", []string{"0"}},
		"HEAD without a length": {http.MethodHead, "HTTP/1.1 200 OK\r\n", nil},
		"304 with a length":     {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n", nil}, // net/http leaves it out,
		"304 without a length":  {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n", nil},
		"204":                   {http.MethodGet, "HTTP/1.1 204 No Content\r\n", nil},
		"204 with a length":     {http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n", nil},
		"no bytes":              {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", []string{"0"}},
	} {
		got := p.send(t, e, c.method, 0, func(conn *net.TCPConn, _ *bufio.Reader, request *http.Request) {
			_, _ = io.WriteString(conn, c.head+stand.AnswerLines(request.Header.Get(stand.HeaderRequest))+"\r\n")
		})
		assert.NilError(t, got.err, name)
		assert.Check(t, strings.HasPrefix(c.head, got.head[:len("HTTP/1.1 200")]), "%s: %q", name, got.head)
		assert.Check(t, len(got.body) == 0)
		assert.DeepEqual(t, got.header["Content-Length"], c.want)
	}
}
