package gate

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/detect"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// Guards against callers who return before the part of their prompt may be tried, and are refused
// again.
func TestCallersReturnWhenThePartMayBeTried(t *testing.T) {
	for _, wait := range []clock.Millis{-50, 0, 300, 1500, 30_000, 900_000} {
		for range 100 {
			got := partRetry(wait)
			assert.Assert(t, got >= max(wait, minPartRetry) && got <= max(wait, minPartRetry)*5/4+1, "%d for %d", got, wait)
		}
	}
}

// newPrompt is newChoice with a prompt of a shared and an own part.
func newPrompt(t *testing.T) (*Gate, *request) {
	t.Helper()
	g, req := newChoice(t)
	g.Detector = detect.New(detect.WithLog(log.New(io.Discard)))
	req.Parts = []spell.Part{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: 10}}
	req.partKeys = target.KeysOf(req.Parts)
	return g, req
}

// goneWriter is the connection of a caller who has gone.
type goneWriter struct{ http.ResponseWriter }

// Write implements io.Writer.
func (goneWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against a sound prompt that is suspected because its caller left as its first event came.
func TestFirstEventCountsAlthoughTheCallerHasGone(t *testing.T) {
	g, req := newPrompt(t)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") // fails if the test has ended
	}))
	defer engine.Close()
	address := engine.Listener.Addr().String()
	e := &view.Endpoint{ID: "i-0", StartedAt: 1, Address: address, Pool: req.pool.Name}
	now := g.Clock.Now()
	g.Detector.Parts().RecordCrash("i-1/1", "", [][]blame.Part{req.promptParts()}, now)
	assert.Equal(t, len(g.Detector.Parts().Check(req.promptParts(), "", now).Held), 1)
	at := g.targets.Get(e)
	reply, err := at.Send(t.Context(), &conn.Request{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: " + address + "\r\n\r\n")})
	assert.NilError(t, err)
	defer reply.Finish()
	l := g.addLoad(at, req, choice{target: at})
	defer l.release()
	_, cancel := context.WithCancel(t.Context())
	defer cancel()
	timer := g.startStallTimer(t.Context(), req, cancel)
	defer timer.Stop()
	result := g.passEvents(goneWriter{httptest.NewRecorder()}, req, at, reply, l, timer)
	var refused *fault.RefusalError
	assert.Assert(t, errors.As(result.err, &refused) && refused.Reason == fault.Cancelled, "%v", result.err)
	assert.Equal(t, req.attemptEvents, 1)
	assert.Equal(t, len(g.Detector.Parts().Check(req.promptParts(), "", now).Held), 0)
}

// Guards against a quarantined request that stays refused because a part of its prompt, which was held
// back, used up its only trial.
func TestHeldPartLeavesTheTrialOfTheRequest(t *testing.T) {
	g, req := newPrompt(t)
	now := g.Clock.Now()
	for _, engine := range []string{"i-1/1", "i-2/1", "i-3/1"} {
		g.Detector.Requests().RecordCrash(req.crashKey(), engine, now-10*clock.Second)
	}
	g.Detector.Parts().RecordCrash("i-1/1", "", [][]blame.Part{req.promptParts()}, now)
	assert.Assert(t, g.Detector.Requests().TrialDue(req.crashKey(), now))
	req.quarantineTrial = true
	err := g.runAttempts(t.Context(), httptest.NewRecorder(), req)
	var refused *fault.RefusalError
	assert.Assert(t, errors.As(err, &refused) && refused.Reason == fault.Quarantined, "%v", err)
	assert.Assert(t, g.Detector.Requests().TrialDue(req.crashKey(), now))
}
