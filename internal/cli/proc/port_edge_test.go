package proc_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/proc"
)

// longHandler returns a handler that answers at once, but for the path /long: such a
// request sends to running and is answered when release is closed. If its context
// ends before, it sends to cancelled.
func longHandler() (handler http.HandlerFunc, running, release, cancelled chan struct{}) {
	running, release, cancelled = make(chan struct{}, 8), make(chan struct{}), make(chan struct{}, 8)
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if r.URL.Path == "/long" {
			running <- struct{}{}
			select {
			case <-release:
			case <-r.Context().Done():
				cancelled <- struct{}{}
				return
			}
		}
		w.WriteHeader(http.StatusOK)
	}, running, release, cancelled
}

const longHead = "GET /long HTTP/1.1\r\nHost: a.example\r\n\r\n"

// shutdownWithin starts the shutdown of a port with a time limit and returns a
// channel that receives its error.
func (s *testPort) shutdownWithin(t *testing.T, limit time.Duration) chan error {
	t.Helper()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	return stopped
}

// Guards against callers that send their next request on a closed connection because
// an answer written during the stop lacks "Connection: close".
func TestAnswerDuringPlannedStopClosesTheConnection(t *testing.T) {
	handler, running, release, _ := longHandler()
	s := open(t, handler)
	c := s.dial(t)
	c.write(t, longHead)
	<-running
	stopped := s.shutdownWithin(t, 10*time.Second)
	awaitClosed(t, s)
	close(release)
	response, err := c.readResponse()
	assert.NilError(t, err)
	assert.Assert(t, response.Close, "the answer lacks Connection: close")
	assert.NilError(t, <-stopped)
}

// Guards against a cancelled request: a request that arrives in the same bytes as the
// one before it must not be mistaken for the end of the connection.
func TestPipelinedRequestRunsOnDuringAPlannedStop(t *testing.T) {
	handler, running, release, cancelled := longHandler()
	s := open(t, handler)
	c := s.dial(t)
	c.write(t, head+tail+longHead)
	_, err := c.readResponse()
	assert.NilError(t, err)
	<-running
	stopped := s.shutdownWithin(t, 10*time.Second)
	awaitClosed(t, s)
	select {
	case <-cancelled:
		t.Fatal("the context of a running request ended although its caller is connected")
	case <-time.After(300 * time.Millisecond):
	}
	close(release)
	_, err = c.readResponse()
	assert.NilError(t, err)
	assert.NilError(t, <-stopped)
}

// Guards against callers that keep a connection forever with an incomplete pipelined
// request: the read deadline of the header timeout must stay set when the reader
// retries after it.
func TestHeaderTimeoutClosesAnIncompletePipelinedRequest(t *testing.T) {
	port, err := proc.Open(t.Context(), proc.PortOptions{
		Name: "callers", Address: "127.0.0.1:0", MaxConnections: 64, MaxHeaderBytes: 4 << 10,
		Handler:       http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond, Log: log.New(io.Discard),
	})
	assert.NilError(t, err)
	t.Cleanup(port.Close)
	c := (&testPort{Port: port}).dial(t)
	c.write(t, head+tail+head)
	_, err = c.readResponse()
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = c.replies.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "still open 25 times its header timeout later")
}

// Guards against stops that wait for the rest of an incomplete pipelined request.
func TestIncompletePipelinedRequestDoesNotHoldUpAStop(t *testing.T) {
	handler, running, release, _ := longHandler()
	s := open(t, handler)
	c := s.dial(t)
	c.write(t, longHead+head)
	<-running
	time.Sleep(300 * time.Millisecond) // longer than a stop waits for the first request of a new connection
	stopped := s.shutdownWithin(t, 4*time.Second)
	awaitClosed(t, s)
	close(release)
	_, err := c.readResponse()
	assert.NilError(t, err)
	assert.NilError(t, <-stopped)
}

// Guards against stops that take a blank line for the begin of a request. Some callers
// send one after a body, and http.Server ignores it.
func TestBlankLineBehindABodyDoesNotHoldUpAStop(t *testing.T) {
	handler, _, _, _ := longHandler()
	s := open(t, handler)
	c := s.dial(t)
	c.write(t, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab")
	_, err := c.readResponse()
	assert.NilError(t, err)
	c.write(t, "\r\n")
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, <-s.shutdownWithin(t, 3*time.Second))
}

// Guards against stops that wait for the rest of a request of which one byte arrived.
func TestOneByteDoesNotHoldUpAStop(t *testing.T) {
	for _, kept := range []bool{true, false} {
		handler, _, _, _ := longHandler()
		s := open(t, handler)
		c := s.dial(t)
		if kept {
			c.write(t, head+tail)
			_, err := c.readResponse()
			assert.NilError(t, err)
		}
		c.write(t, "G")
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		err := <-s.shutdownWithin(t, 8*time.Second)
		t.Logf("kept=%v: %v after %v", kept, err, time.Since(began).Round(10*time.Millisecond))
		if err != nil {
			t.Fail()
		}
	}
}

// openTLS opens a port with the certificate of an httptest.Server and returns it with
// the TLS configuration of a client.
func openTLS(t *testing.T, handler http.HandlerFunc) (*testPort, *tls.Config) {
	t.Helper()
	certified := httptest.NewUnstartedServer(nil)
	certified.EnableHTTP2 = true
	certified.StartTLS()
	t.Cleanup(certified.Close)
	unanswered := prometheus.NewCounter(prometheus.CounterOpts{Name: "unanswered"})
	port, err := proc.Open(t.Context(), proc.PortOptions{
		Name: "callers", Address: "127.0.0.1:0", Handler: handler, MaxConnections: 64, MaxHeaderBytes: 4 << 10,
		TLS:           &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12},
		HeaderTimeout: time.Minute, IdleTimeout: time.Minute, Log: log.New(io.Discard), Unanswered: unanswered,
	})
	assert.NilError(t, err)
	t.Cleanup(port.Close)
	client := certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	client.ServerName = "example.com"
	return &testPort{Port: port, unanswered: unanswered}, client
}

func (s *testPort) dialTLS(t *testing.T, config *tls.Config, protos ...string) *tls.Conn {
	t.Helper()
	config = config.Clone()
	config.NextProtos = protos
	c, err := tls.Dial("tcp", s.Address().String(), config)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

// Guards against stops that wait for TLS connections without a request, which callers
// open in advance: the bytes of the handshake must not count as a request.
func TestUnusedTLSConnectionDoesNotHoldUpAStop(t *testing.T) {
	s, config := openTLS(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.dialTLS(t, config)
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	err := <-s.shutdownWithin(t, 8*time.Second)
	t.Logf("%v after %v, unanswered counted: %v", err, time.Since(began), testutil.ToFloat64(s.unanswered))
	assert.NilError(t, err)
}

// Guards against stops that wait for idle TLS connections of HTTP/1.
func TestKeptTLSConnectionDoesNotHoldUpAStop(t *testing.T) {
	s, config := openTLS(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	c := s.dialTLS(t, config)
	_, err := io.WriteString(c, head+tail)
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	began := time.Now()
	assert.NilError(t, <-s.shutdownWithin(t, 8*time.Second))
	t.Logf("after %v", time.Since(began))
}

func TestHTTP2RequestRunsOnDuringAPlannedStop(t *testing.T) {
	handler, running, release, _ := longHandler()
	s, config := openTLS(t, handler)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}
	failed := make(chan error, 1)
	go func() {
		response, err := client.Get("https://" + s.Address().String() + "/long")
		if err == nil {
			assert.Check(t, response.ProtoMajor == 2)
			_ = response.Body.Close()
		}
		failed <- err
	}()
	<-running
	stopped := s.shutdownWithin(t, 10*time.Second)
	awaitClosed(t, s)
	time.Sleep(200 * time.Millisecond)
	close(release)
	assert.NilError(t, <-failed)
	assert.NilError(t, <-stopped)
}

func TestIdleHTTP2DoesNotHoldUpAStop(t *testing.T) {
	handler, _, _, _ := longHandler()
	s, config := openTLS(t, handler)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}
	response, err := client.Get("https://" + s.Address().String() + "/")
	assert.NilError(t, err)
	_ = response.Body.Close()
	began := time.Now()
	assert.NilError(t, <-s.shutdownWithin(t, 8*time.Second))
	t.Logf("after %v", time.Since(began))
}

func TestBodyAndContinueDuringAPlannedStop(t *testing.T) {
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		handler, _, _, _ := longHandler()
		s := open(t, handler)
		c := s.dial(t)
		c.write(t, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"+expect+"\r\n")
		if expect == "" {
			c.write(t, "ab")
		}
		time.Sleep(50 * time.Millisecond)
		stopped := s.shutdownWithin(t, 10*time.Second)
		awaitClosed(t, s)
		time.Sleep(300 * time.Millisecond)
		if expect == "" {
			c.write(t, "cd")
		} else {
			line, err := c.replies.ReadString('\n')
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(line, "100"), line)
			_, _ = c.replies.ReadString('\n')
			c.write(t, "abcd")
		}
		response, err := c.readResponse()
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		assert.NilError(t, <-stopped)
	}
}

// Guards against requests that get no answer because the caller closes its side of the
// connection right after them, during the stop.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	handler, _, _, _ := longHandler()
	s := open(t, handler)
	c := s.dial(t)
	c.write(t, head)
	time.Sleep(20 * time.Millisecond)
	stopped := s.shutdownWithin(t, 10*time.Second)
	awaitClosed(t, s)
	c.write(t, tail)
	assert.NilError(t, c.Conn.(*net.TCPConn).CloseWrite())
	_, err := c.readResponse()
	assert.NilError(t, err)
	assert.NilError(t, <-stopped)
}

// Guards against requests that get no answer because their connection waits in the
// kernel's accept queue: the port already has the maximum number of connections.
func TestCallerInTheAcceptQueueIsAnswered(t *testing.T) {
	handler, running, release, _ := longHandler()
	port, err := proc.Open(t.Context(), proc.PortOptions{
		Name: "callers", Address: "127.0.0.1:0", Handler: handler, MaxConnections: 1, MaxHeaderBytes: 4 << 10,
		HeaderTimeout: time.Minute, IdleTimeout: time.Minute, Log: log.New(io.Discard),
	})
	assert.NilError(t, err)
	t.Cleanup(port.Close)
	s := &testPort{Port: port}
	first, second := s.dial(t), s.dial(t)
	first.write(t, longHead)
	<-running
	second.write(t, head+tail)
	stopped := s.shutdownWithin(t, 10*time.Second)
	time.Sleep(300 * time.Millisecond)
	close(release)
	_, err = first.readResponse()
	assert.NilError(t, err)
	_, err = second.readResponse()
	assert.NilError(t, err)
	assert.NilError(t, <-stopped)
}

func TestHijackedConnectionSurvivesAPlannedStop(t *testing.T) {
	taken := make(chan net.Conn, 1)
	s := open(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err == nil)
		taken <- c
	})
	c := s.dial(t)
	c.write(t, head+tail)
	hijacked := <-taken
	assert.NilError(t, <-s.shutdownWithin(t, 5*time.Second))
	go func() { time.Sleep(300 * time.Millisecond); _, _ = io.WriteString(c, "x") }()
	_, err := hijacked.Read(make([]byte, 1))
	assert.NilError(t, err)
}

func TestSecondShutdownAndClose(t *testing.T) {
	handler, running, release, _ := longHandler()
	defer close(release)
	s := open(t, handler)
	c := s.dial(t)
	c.write(t, longHead)
	<-running
	one, two := s.shutdownWithin(t, 10*time.Second), s.shutdownWithin(t, 10*time.Second)
	time.Sleep(30 * time.Millisecond)
	s.Close()
	for _, stopped := range []chan error{one, two} {
		select {
		case err := <-stopped:
			t.Logf("ended: %v", err)
		case <-time.After(3 * time.Second):
			t.Fatal("Shutdown has not returned after Close")
		}
	}
}

func TestShutdownOfAClosedPort(t *testing.T) {
	handler, _, _, _ := longHandler()
	s := open(t, handler)
	s.Close()
	assert.NilError(t, <-s.shutdownWithin(t, 3*time.Second))
}
