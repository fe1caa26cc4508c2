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

const patience = 30 * time.Second

// holderOf returns a release with one pool of these limits.
func holderOf(kind manif.StageKind, cold, warm int, zones ...spread.Zone) *spread.Holder {
	h := &spread.Holder{}
	h.Accept(spread.New(1, &manif.Manifest{
		Pools:         []manif.Pool{{Name: "p", Kind: kind, Limit: warm, ColdLimit: cold}},
		Organisations: []manif.Organisation{{Name: "small"}, {Name: "large"}},
	}, zones))
	return h
}

// setZone is what operators do with the agent's availability zone.
func setZone(h *spread.Holder, state spread.ZoneState) {
	current := h.Current()
	h.Accept(spread.New(current.Number+1, current.Manifest, []spread.Zone{{Name: "za", State: state}}))
}

// startAgent starts an agent beside the endpoint, ready to take work, and
// returns its address.
func startAgent(t *testing.T, kind manif.StageKind, endpoint string, opts ...agent.Option) (running *agent.Agent, address string) {
	t.Helper()
	a := agent.New(agent.Settings{
		Process: "agent", Pool: "p", Endpoint: "e", Kind: kind, EndpointURL: endpoint, AvailabilityZone: "za",
	}, append([]agent.Option{agent.WithLog(log.New(io.Discard)), agent.WithPollInterval(10), agent.WithHolder(holderOf(kind, 2, 8))}, opts...)...)
	server := httptest.NewServer(a.Handler())
	t.Cleanup(func() { a.Close(); server.CloseClientConnections(); server.Close() })
	return a, strings.TrimPrefix(server.URL, "http://")
}

// peer is an entry as the agent sees it.
type peer struct {
	t      *testing.T
	s      *sess.Session
	frames chan *wire.Frame
	// address of the agent.
	address string
}

// next numbers the attempts of all peers.
var next atomic.Int64

func dial(t *testing.T, address string, opts ...sess.Option) *peer {
	t.Helper()
	p := &peer{t: t, address: address, frames: make(chan *wire.Frame, 1<<16)}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := sess.Dial(ctx, address, append([]sess.Option{sess.WithHandler(func(_ *sess.Session, f *wire.Frame) { p.frames <- f })}, opts...)...)
	assert.NilError(t, err)
	p.s = s
	t.Cleanup(func() { cancel(); <-s.Done() })
	return p
}

// ready waits until the agent takes work.
func (p *peer) ready() *peer {
	p.t.Helper()
	if !p.s.Peer().Leaving {
		return p
	}
	timeout := time.After(patience)
	for {
		select {
		case f := <-p.frames:
			if f.Kind == wire.KindLeave && f.Leave.Back {
				return p
			}
		case <-timeout:
			p.t.Fatal("the agent takes no work")
		}
	}
}

// send sends a call and returns its attempt.
func (p *peer) send(c wire.Call) token.Attempt {
	if c.ID.Request == "" {
		c.ID = token.Attempt{Request: fmt.Sprintf("%s-%d", p.t.Name(), next.Add(1))}
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

// take waits for the next frame of a kind that belongs to the attempt.
func (p *peer) take(id token.Attempt, kinds ...wire.Kind) *wire.Frame {
	p.t.Helper()
	timeout := time.After(patience)
	for {
		select {
		case f := <-p.frames:
			if attemptOf(f) == id {
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

func attemptOf(f *wire.Frame) token.Attempt {
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

func (p *peer) refusal(id token.Attempt) *wire.Refuse {
	p.t.Helper()
	return p.take(id, wire.KindRefuse).Refuse
}

// result is how one call ended: exactly one of both is set.
func (p *peer) result(id token.Attempt) (*wire.End, *wire.Refuse) {
	p.t.Helper()
	f := p.take(id, wire.KindEnd, wire.KindRefuse)
	return f.End, f.Refuse
}

func (p *peer) ask(id token.Attempt, target token.Incarnation, offset int64) wire.State {
	p.t.Helper()
	assert.NilError(p.t, p.s.Send(&wire.Frame{Kind: wire.KindAsk, Ask: &wire.Ask{ID: id, Target: target, Offset: offset}}))
	return p.take(id, wire.KindOutcome).Outcome.State
}

// until waits for a condition.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(time.Millisecond))
}

// serve serves an endpoint.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	// Close would wait for calls that a silent endpoint never answers.
	t.Cleanup(func() { assert.Check(t, server.Config.Close()) })
	return server.URL
}
