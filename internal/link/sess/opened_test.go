package sess_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
)

// Guards against a session that its dialer uses, or refers to on another session,
// before the accepting process has registered it, for example because that process is
// slow at this moment.
func TestSessionIsRegisteredBeforeDialReturns(t *testing.T) {
	const slow = 50 * time.Millisecond
	var registered atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(t.Context(), w, r, sess.WithAccepted(func(*sess.Session) {
			time.Sleep(slow)
			registered.Store(true)
		}))
		if err == nil {
			<-s.Done()
		}
	}))
	defer server.Close()
	s, err := sess.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	assert.Assert(t, registered.Load())
	s.Close(nil)
	<-s.Done()
}

// Guards against a session that stays registered for ever because the dialing process
// ended before it received the hello.
func TestSessionThatEndsBeforeItsHelloIsReturned(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var registered *sess.Session
		s, err := sess.Accept(t.Context(), w, r, sess.WithAccepted(func(s *sess.Session) {
			registered = s
			s.Abort()
		}))
		if s == nil || s != registered {
			t.Errorf("returned %p for %p", s, registered)
			return
		}
		<-s.Done()
		ended <- err
	}))
	defer server.Close()
	_, err := sess.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	assert.Assert(t, err != nil)
	assert.Assert(t, <-ended != nil)
}

// endlessHead is a connection to a peer whose answer to the opening of a session never ends.
type endlessHead struct {
	net.Conn
	read atomic.Int64
}

// Read implements net.Conn. It ends after 4 MB, so that a failed test doesn't fill the memory.
func (c *endlessHead) Read(p []byte) (int, error) {
	if c.read.Load() > 4<<20 {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat("X: a\r\n", len(p)/6+1))
	if c.read.Load() == 0 {
		n = copy(p, "HTTP/1.1 101 Switching Protocols\r\n")
	}
	c.read.Add(int64(n))
	return n, nil
}

// Write implements net.Conn.
func (c *endlessHead) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *endlessHead) Close() error { return nil }

// SetDeadline implements net.Conn.
func (c *endlessHead) SetDeadline(time.Time) error { return nil }

// Guards against memory that grows while another process at the address of a peer answers the opening
// of a session without end.
func TestAnswerWithoutEndOpensNoSession(t *testing.T) {
	c := &endlessHead{}
	_, err := sess.Dial(t.Context(), "127.0.0.1:1", sess.WithDial(func(context.Context, string, string) (net.Conn, error) { return c, nil }))
	assert.Assert(t, err != nil)
	assert.Assert(t, c.read.Load() <= bound.MaxHeadBytes, "%d bytes read", c.read.Load())
}

// Guards against a planned stop that takes longer than it may because a peer stands still while a session with it
// is opened.
func TestOpeningASessionEndsWithItsContext(t *testing.T) {
	upgrader := websocket.Upgrader{}
	for name, answer := range map[string]func(w http.ResponseWriter, r *http.Request){
		"no answer": func(http.ResponseWriter, *http.Request) {},
		"no hello":  func(w http.ResponseWriter, r *http.Request) { _, _ = upgrader.Upgrade(w, r, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			reached, done := make(chan struct{}), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				answer(w, r)
				close(reached)
				<-done
			}))
			defer server.Close()
			defer close(done)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() {
				_, err := sess.Dial(ctx, strings.TrimPrefix(server.URL, "http://"), sess.WithOpenTimeout(clock.Minute))
				ended <- err
			}()
			<-reached
			cancel()
			select {
			case err := <-ended:
				assert.Assert(t, err != nil)
			case <-time.After(10 * time.Second):
				t.Fatal("still opening")
			}
		})
	}
}
