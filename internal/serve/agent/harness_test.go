package agent_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

const testTimeout = 30 * time.Second

// newHolder returns a holder with a release that has one pool with these limits.
func newHolder(kind manif.StageKind, cold, warm int, zones ...spread.Zone) *spread.Holder {
	h := &spread.Holder{}
	h.Accept(spread.New(1, &manif.Manifest{
		Pools:         []manif.Pool{{Name: "p", Kind: kind, Limit: warm, ColdLimit: cold}},
		Organisations: []manif.Organisation{{Name: "small"}, {Name: "large"}},
	}, zones))
	return h
}

// setZone changes the state of the agent's availability zone, as operators do.
func setZone(h *spread.Holder, state spread.ZoneState) {
	current := h.Current()
	h.Accept(spread.New(current.Number+1, current.Manifest, []spread.Zone{{Name: "za", State: state}}))
}

// startAgent starts an agent for the endpoint and returns it with its address.
func startAgent(t *testing.T, kind manif.StageKind, endpoint string, opts ...agent.Option) (running *agent.Agent, address string) {
	t.Helper()
	a := agent.New(agent.Settings{
		Process: "agent", Pool: "p", Endpoint: "e", Kind: kind, EndpointURL: endpoint, AvailabilityZone: "za",
	}, append([]agent.Option{agent.WithLog(log.New(io.Discard)), agent.WithPollInterval(10), agent.WithHolder(newHolder(kind, 2, 8))}, opts...)...)
	server := httptest.NewServer(a.Handler())
	t.Cleanup(func() { a.Close(); server.CloseClientConnections(); server.Close() })
	return a, strings.TrimPrefix(server.URL, "http://")
}

// testEntry is an entry with one session to the agent.
type testEntry struct {
	t      *testing.T
	s      *sess.Session
	frames chan *wire.Frame
	// address of the agent.
	address string
}

// attemptNumber makes the attempts of all entries unique.
var attemptNumber atomic.Int64

func dial(t *testing.T, address string, opts ...sess.Option) *testEntry {
	t.Helper()
	p := &testEntry{t: t, address: address, frames: make(chan *wire.Frame, 1<<16)}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := sess.Dial(ctx, address, append([]sess.Option{sess.WithHandler(func(_ *sess.Session, f *wire.Frame) { p.frames <- f })}, opts...)...)
	assert.NilError(t, err)
	p.s = s
	t.Cleanup(func() { cancel(); <-s.Done() })
	return p
}

// awaitReady waits until the agent accepts work.
func (p *testEntry) awaitReady() *testEntry {
	p.t.Helper()
	if !p.s.Peer().Leaving {
		return p
	}
	timeout := time.After(testTimeout)
	for {
		select {
		case f := <-p.frames:
			if f.Kind == wire.KindLeave && f.Leave.Resumed {
				return p
			}
		case <-timeout:
			p.t.Fatal("the agent does not accept work")
		}
	}
}

// send sends a call and returns its attempt.
func (p *testEntry) send(c wire.Call) token.Attempt {
	if c.ID.Request == "" {
		c.ID = token.Attempt{Request: fmt.Sprintf("%s-%d", p.t.Name(), attemptNumber.Add(1))}
	}
	if c.Organisation == "" {
		c.Organisation = "small"
	}
	if c.TimeLeft == 0 {
		c.TimeLeft = 60_000
	}
	if c.Body == nil {
		c.Body = []byte(`{"input":{}}`)
	}
	assert.NilError(p.t, p.s.Send(&wire.Frame{Kind: wire.KindCall, Call: &c}))
	return c.ID
}

// receive waits for the next frame of one of the kinds that belongs to the attempt.
func (p *testEntry) receive(id token.Attempt, kinds ...wire.Kind) *wire.Frame {
	p.t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case f := <-p.frames:
			if attemptID(f) == id {
				for _, kind := range kinds {
					if f.Kind == kind {
						return f
					}
				}
			}
		case <-timeout:
			p.t.Fatalf("no frame of kinds %v for %s", kinds, id)
		}
	}
}

func attemptID(f *wire.Frame) token.Attempt {
	switch f.Kind {
	case wire.KindPart:
		return f.Part.ID
	case wire.KindEnd:
		return f.End.ID
	case wire.KindRefuse:
		return f.Refuse.ID
	case wire.KindOutcome:
		return f.Outcome.ID
	default:
		return token.Attempt{}
	}
}

func (p *testEntry) refusal(id token.Attempt) *wire.Refuse {
	p.t.Helper()
	return p.receive(id, wire.KindRefuse).Refuse
}

// result returns how a call ended. Exactly one of the results is not nil.
func (p *testEntry) result(id token.Attempt) (*wire.End, *wire.Refuse) {
	p.t.Helper()
	f := p.receive(id, wire.KindEnd, wire.KindRefuse)
	return f.End, f.Refuse
}

func (p *testEntry) ask(id token.Attempt, target token.Incarnation, offset int64) wire.State {
	p.t.Helper()
	assert.NilError(p.t, p.s.Send(&wire.Frame{Kind: wire.KindAsk, Ask: &wire.Ask{ID: id, Target: target, Offset: offset}}))
	return p.receive(id, wire.KindOutcome).Outcome.State
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

// startServer starts an endpoint and returns its URL.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	// server.Close would wait for calls that an unresponsive endpoint never answers.
	t.Cleanup(func() { assert.Check(t, server.Config.Close()) })
	return server.URL
}
