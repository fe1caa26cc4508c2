package sess_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
