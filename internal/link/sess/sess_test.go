package sess_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

func listen(t *testing.T, handler sess.Handler) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(ctx, w, r, sess.WithHandler(handler),
			sess.WithHello(func() wire.Hello { return wire.Hello{Process: "server"} }))
		if err == nil {
			<-s.Done()
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(cancel)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestFramesArriveInOrderBothWays(t *testing.T) {
	const frames = 1000
	address := listen(t, func(s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindAck {
			assert.Check(t, s.Send(f))
		}
	})
	got := make(chan int, frames)
	s, err := sess.Dial(t.Context(), address, sess.WithHandler(func(_ *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindAck {
			got <- f.Ack.ID.Try
		}
	}))
	assert.NilError(t, err)
	assert.Equal(t, s.Peer().Process, "server")
	for i := range frames {
		ack := &wire.Ack{ID: token.Attempt{Request: "r", Try: i}}
		assert.NilError(t, s.Send(&wire.Frame{Kind: wire.KindAck, Ack: ack}))
	}
	for i := range frames {
		assert.Equal(t, <-got, i)
	}
	s.Close(nil)
	<-s.Done()
}

// Guards against callers that wait for an answer that can't arrive, because the end of
// a peer process doesn't end its sessions on the other side.
func TestEndOfPeerEndsSession(t *testing.T) {
	address := listen(t, func(s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindLeave { // the first frame is the heartbeat that Dial sends
			s.Close(nil)
		}
	})
	s, err := sess.Dial(t.Context(), address)
	assert.NilError(t, err)
	assert.NilError(t, s.Send(&wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{}}))
	<-s.Done()
	var closed *sess.ClosedError
	err = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{}})
	assert.Assert(t, errors.As(err, &closed))
}
