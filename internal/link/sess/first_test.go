package sess_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// heldConn is a connection whose writes wait while it is held.
type heldConn struct {
	net.Conn
	held *sync.Mutex
}

func (c *heldConn) Write(p []byte) (int, error) {
	c.held.Lock()
	defer c.held.Unlock()
	return c.Conn.Write(p)
}

// Guards against confirmations that seem older and older because only their sender states ages on a session.
func TestDiallingSideIsMeasuredAgain(t *testing.T) {
	var elapsed atomic.Int64
	soon := func(clock.Millis) (<-chan struct{}, func()) {
		expired := make(chan struct{})
		timer := time.AfterFunc(time.Millisecond, func() { close(expired) })
		return expired, func() { timer.Stop() }
	}
	now := clock.New(clock.WithNow(func() clock.Millis { return 1000 + clock.Millis(elapsed.Load()) }), clock.WithAfter(soon))
	beats := make(chan *wire.Stamp, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(t.Context(), w, r, sess.WithClock(now), sess.WithHeartbeats(100_000, 100_000), sess.WithHandler(func(_ *sess.Session, frame *wire.Frame) {
			beats <- frame.Stamp
		}))
		if err != nil {
			return
		}
		for s.Send(&wire.Frame{Kind: wire.KindRenew}) == nil { // the peer receives something all the time
			select {
			case <-s.Done():
				return
			case <-time.After(time.Millisecond):
			}
		}
	}))
	defer server.Close()
	s, err := sess.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), sess.WithClock(now), sess.WithHeartbeats(100_000, 100_000))
	assert.NilError(t, err)
	defer s.Close(nil)
	<-beats // at the opening
	elapsed.Add(60_000)
	for stamp := <-beats; stamp.SentAt < 61_000; stamp = <-beats {
	}
}

// Guards against a copy that seems fresh because the first confirmation on a new session waited in the queue of its sender or on
// a narrow link.
func TestFirstFrameOfASessionIsNoYoungerThanItsWait(t *testing.T) {
	const waited = 900
	var elapsed atomic.Int64
	now := clock.New(clock.WithNow(func() clock.Millis { return 1000 + clock.Millis(elapsed.Load()) }))
	transits := make(chan clock.Millis, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(t.Context(), w, r, sess.WithClock(now), sess.WithHandler(func(_ *sess.Session, frame *wire.Frame) {
			if frame.Kind == wire.KindReport {
				transits <- frame.Transit
			}
		}))
		if err == nil {
			<-s.Done()
		}
	}))
	defer server.Close()
	var held sync.Mutex
	s, err := sess.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), sess.WithClock(now), sess.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &heldConn{Conn: c, held: &held}, err
	}))
	assert.NilError(t, err)
	defer s.Close(nil)
	held.Lock()
	assert.NilError(t, s.Send(&wire.Frame{Kind: wire.KindReport, Sums: &wire.Sums{AsOf: now.Now()}}))
	elapsed.Add(waited)
	held.Unlock()
	assert.Assert(t, <-transits >= waited)
}

// Guards against connections that take megabytes each before they have said which process they are of.
func TestFirstMessageIsShort(t *testing.T) {
	const long = 1 << 20
	accepted := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := sess.Accept(t.Context(), w, r)
		accepted <- err
	}))
	t.Cleanup(server.Close)
	conn, response, err := websocket.DefaultDialer.DialContext(t.Context(), "ws"+strings.TrimPrefix(server.URL, "http")+sess.Path, nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	t.Cleanup(func() { _ = conn.Close() })
	w, err := conn.NextWriter(websocket.BinaryMessage)
	assert.NilError(t, err)
	_, _ = w.Write(make([]byte, long)) // fails if the other side has closed already; the message stays open
	assert.ErrorIs(t, <-accepted, websocket.ErrReadLimit)

	upgrader := websocket.Upgrader{}
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := upgrader.Upgrade(w, r, nil)
		if assert.Check(t, err) {
			_ = conn.WriteMessage(websocket.BinaryMessage, make([]byte, long))
		}
	}))
	t.Cleanup(peer.Close)
	_, err = sess.Dial(t.Context(), strings.TrimPrefix(peer.URL, "http://"))
	assert.ErrorIs(t, err, websocket.ErrReadLimit)
}
