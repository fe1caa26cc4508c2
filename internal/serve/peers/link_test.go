package peers

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// An agent that has just started sends a hello with Leaving set and right after
// it a frame that revokes this. If the frame is handled before the endpoint of
// the hello is registered, the endpoint gets no work for as long as the session
// lasts.
func TestFrameAfterHelloWaitsUntilEndpointIsRegistered(t *testing.T) {
	replied := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(t.Context(), w, r,
			sess.WithHello(func() wire.Hello { return wire.Hello{Pool: "p", Endpoint: "e", Leaving: true} }),
			sess.WithHandler(func(_ *sess.Session, f *wire.Frame) {
				if f.Kind == wire.KindBeat && f.Beat.Reply {
					replied <- struct{}{}
				}
			}))
		if err == nil {
			_ = s.Send(&wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{Resumed: true}})
			_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{}})
			<-s.Done()
		}
	}))
	defer server.Close()
	p := New("za", &spread.Holder{}, meter.New(prometheus.NewRegistry()))
	defer p.Close()
	l := newLink(p, strings.TrimPrefix(server.URL, "http://"))
	registered := make(chan struct{})
	s, err := l.dial(t.Context(), registered)
	assert.NilError(t, err)
	defer s.Close(nil)
	select {
	case <-replied:
		t.Fatal("frames were handled before the endpoint was registered")
	case <-time.After(50 * time.Millisecond): // long enough for a frame that is handled too early to be detected
	}
	l.sessionOpened(s)
	close(registered)
	<-replied
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, view := p.View("p"); view.Len() == 1 {
			return poll.Success()
		}
		return poll.Continue("the endpoint still counts as leaving")
	}, poll.WithTimeout(time.Minute))
}
