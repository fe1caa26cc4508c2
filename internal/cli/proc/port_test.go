package proc_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/proc"
)

// testPort is an open port with the number of its connections that ended
// unanswered.
type testPort struct {
	*proc.Port
	unanswered prometheus.Counter
}

func open(t *testing.T, handler http.HandlerFunc) *testPort {
	t.Helper()
	unanswered := prometheus.NewCounter(prometheus.CounterOpts{Name: "unanswered"})
	port, err := proc.Open(t.Context(), proc.PortOptions{
		Name: "callers", Address: "127.0.0.1:0", Handler: handler, MaxConnections: 64, MaxHeaderBytes: 4 << 10,
		HeaderTimeout: time.Minute, IdleTimeout: time.Minute, Log: log.New(io.Discard), Unanswered: unanswered,
	})
	assert.NilError(t, err)
	t.Cleanup(port.Close)
	return &testPort{Port: port, unanswered: unanswered}
}

// caller is a connection to which the test writes raw bytes.
type caller struct {
	net.Conn
	replies *bufio.Reader
}

func (s *testPort) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &caller{Conn: c, replies: bufio.NewReader(c)}
}

func (c *caller) write(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// readResponse reads the next response with its body.
func (c *caller) readResponse() (*http.Response, error) {
	response, err := http.ReadResponse(c.replies, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, errors.Join(err, response.Body.Close())
}

const (
	head = "GET / HTTP/1.1\r\nHost: a.example\r\n"
	tail = "X-Last: 1\r\n\r\n"
)

// Guards against requests that get no answer because the process reads them after a
// planned stop has closed the port.
func TestRequestReadDuringAPlannedStopIsAnswered(t *testing.T) {
	cases := map[string]func(t *testing.T, c *caller){
		"new connection": func(*testing.T, *caller) {},
		"kept connection": func(t *testing.T, c *caller) {
			c.write(t, head+tail)
			_, err := c.readResponse()
			assert.NilError(t, err)
		},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			running, release := make(chan struct{}), make(chan struct{})
			s := open(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/long" {
					close(running)
					<-release
				}
				w.WriteHeader(http.StatusOK)
			})
			other, late := s.dial(t), s.dial(t)
			other.write(t, "GET /long HTTP/1.1\r\nHost: a.example\r\n\r\n")
			<-running
			before(t, late)
			late.write(t, head)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			awaitClosed(t, s)
			late.write(t, tail)
			response, err := late.readResponse()
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Assert(t, response.Close, "the answer doesn't close the connection")
			close(release)
			_, err = other.readResponse()
			assert.NilError(t, err)
			assert.NilError(t, <-stopped)
			assert.Equal(t, testutil.ToFloat64(s.unanswered), 0.0)
		})
	}
}

// awaitClosed returns when the port accepts no more connections.
func awaitClosed(t *testing.T, s *testPort) {
	t.Helper()
	for {
		c, err := net.DialTimeout("tcp", s.Address().String(), time.Second)
		if err != nil {
			return
		}
		_ = c.Close()
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

// Guards against stops that wait for connections on which callers send no request.
func TestPlannedStopEndsUnusedConnections(t *testing.T) {
	s := open(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	kept, unused := s.dial(t), s.dial(t)
	kept.write(t, head+tail)
	_, err := kept.readResponse()
	assert.NilError(t, err)
	assert.NilError(t, s.Shutdown(t.Context()))
	for _, c := range []*caller{kept, unused} {
		_, err := c.replies.ReadByte()
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, testutil.ToFloat64(s.unanswered), 0.0)
}

// Guards against stops that never end because a request doesn't end.
func TestPlannedStopEndsWithItsContext(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s := open(t, func(http.ResponseWriter, *http.Request) { close(running); <-release })
	defer close(release)
	c := s.dial(t)
	c.write(t, head+tail)
	<-running
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.Assert(t, s.Shutdown(ctx) != nil)
}

// Guards against requests that run but get no answer because they arrive at some
// point of a planned stop.
func TestEachRequestThatRunsDuringAPlannedStopIsAnswered(t *testing.T) {
	const callers = 100
	var ran, answered atomic.Int64
	s := open(t, func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		w.WriteHeader(http.StatusOK)
	})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for answered.Add(s.sendUntilClosed()); !s.closed(); {
				answered.Add(s.sendUntilClosed())
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, s.Shutdown(t.Context()))
	group.Wait()
	assert.Equal(t, answered.Load(), ran.Load())
	assert.Equal(t, testutil.ToFloat64(s.unanswered), 0.0)
}

// sendUntilClosed sends requests one after another on a new connection until it is
// closed, and returns the number of answers.
func (s *testPort) sendUntilClosed() (answered int64) {
	connection, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	c := &caller{Conn: connection, replies: bufio.NewReader(connection)}
	for {
		if _, err := io.WriteString(c, head+tail); err != nil {
			return answered
		}
		response, err := c.readResponse()
		if err != nil {
			return answered
		}
		answered++
		if response.Close {
			return answered
		}
		time.Sleep(time.Duration(rand.IntN(500)) * time.Microsecond)
	}
}

// closed reports whether the port accepts no more connections.
func (s *testPort) closed() bool {
	c, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		return true
	}
	_ = c.Close()
	return false
}
