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

// The accepting process is slow just when a session opens. The process that
// dialed may use the session at once, or speak of it on another one; it must
// not get that far before the accepting process has entered the session.
func TestSessionIsEnteredBeforeTheDialerHears(t *testing.T) {
	const slow = 50 * time.Millisecond
	var entered atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(t.Context(), w, r, sess.WithAccepted(func(*sess.Session) {
			time.Sleep(slow)
			entered.Store(true)
		}))
		if err == nil {
			<-s.Done()
		}
	}))
	defer server.Close()
	s, err := sess.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	assert.Assert(t, entered.Load())
	s.Close(nil)
	<-s.Done()
}

// The process that dialed is gone before it gets the hello. Whoever entered the
// session is told that it has ended, or it would stay entered for good.
func TestSessionThatEndsBeforeItsHelloIsReturned(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var entered *sess.Session
		s, err := sess.Accept(t.Context(), w, r, sess.WithAccepted(func(s *sess.Session) {
			entered = s
			s.Abort()
		}))
		if s == nil || s != entered {
			t.Errorf("returned %p for %p", s, entered)
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
