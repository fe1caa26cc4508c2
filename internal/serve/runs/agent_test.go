package runs_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
	"github.com/jujubescale/jujubescale/internal/serve/peers"
	"github.com/jujubescale/jujubescale/internal/serve/runs"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// fakeAgent speaks the session protocol and lets a test handle the calls.
type fakeAgent struct {
	name, zone string
	calls      atomic.Int64
	// handle receives every frame except heartbeats.
	handle func(*sess.Session, *wire.Frame)
	server *httptest.Server
}

func startAgent(tb testing.TB, name, zone string, handle func(*fakeAgent, *sess.Session, *wire.Frame)) *fakeAgent {
	tb.Helper()
	a := &fakeAgent{name: name, zone: zone}
	a.handle = func(s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall {
			a.calls.Add(1)
		}
		handle(a, s, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	load := func() *wire.Load { return &wire.Load{Limit: 1000} }
	a.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(ctx, w, r, sess.WithHandler(a.handle), sess.WithLoad(load),
			sess.WithHello(func() wire.Hello {
				return wire.Hello{
					Process: name, Incarnation: 1, Role: "agent", Pool: "p", Endpoint: name,
					AvailabilityZone: zone, Load: load(),
				}
			}))
		if err == nil {
			<-s.Done()
		}
	}))
	tb.Cleanup(a.server.Close)
	tb.Cleanup(cancel)
	return a
}

func (a *fakeAgent) address() string { return strings.TrimPrefix(a.server.URL, "http://") }

// answer sends a complete answer.
func answer(s *sess.Session, id token.Attempt, text string) {
	_ = s.Send(&wire.Frame{Kind: wire.KindPart, Part: &wire.Part{ID: id, Bytes: []byte(text)}})
	_ = s.Send(&wire.Frame{Kind: wire.KindEnd, End: &wire.End{
		ID: id, Length: int64(len(text)), Digest: xxhash.Sum64String(text), Status: http.StatusOK,
		Load: &wire.Load{Limit: 1000},
	}})
}

func refuse(s *sess.Session, id token.Attempt, reason fault.Reason, ran fault.Ran) {
	_ = s.Send(&wire.Frame{Kind: wire.KindRefuse, Refuse: &wire.Refuse{ID: id, Reason: reason, Ran: ran}})
}

// echo answers each call with an output that names its request and stage.
func echo(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
	if f.Kind == wire.KindCall {
		answer(s, f.Call.ID, output(f.Call.ID))
	}
}

func output(id token.Attempt) string { return fmt.Sprintf(`{"output":"%s/%d"}`, id.Request, id.Stage) }

// fixture is the part of an entry that executes requests.
type fixture struct {
	clock    *clock.Clock
	holder   *spread.Holder
	registry *prometheus.Registry
	peers    *peers.Peers
	runs     *runs.Runs
	manifest *manif.Manifest
}

func newFixture(tb testing.TB, agents ...*fakeAgent) *fixture {
	tb.Helper()
	fx := &fixture{clock: clock.New(), holder: &spread.Holder{}, registry: prometheus.NewRegistry()}
	stages := []manif.Stage{
		{Name: "one", Kind: manif.KindEncode, Pool: "p"},
		{Name: "two", Kind: manif.KindRetrieve, Pool: "p"},
		{Name: "three", Kind: manif.KindRerank, Pool: "p"},
	}
	fx.manifest = &manif.Manifest{
		Pipelines: []manif.Pipeline{{Name: "line", DeadlineMs: 3000, Stages: stages}},
		Pools:     []manif.Pool{{Name: "p", Kind: manif.KindEncode}},
	}
	fx.holder.Accept(spread.New(1, fx.manifest, nil))
	m := meter.New(fx.registry)
	fx.peers = peers.New("za", fx.holder, m, peers.WithClock(fx.clock))
	tb.Cleanup(fx.peers.Close)
	fx.runs = runs.New(fx.peers, m, runs.WithClock(fx.clock))
	var addresses []string
	for _, a := range agents {
		addresses = append(addresses, a.address())
	}
	fx.peers.Connect(addresses)
	fx.waitUntil(tb, "not all sessions are open", func() bool {
		_, view := fx.peers.View("p")
		return view.Len() == len(agents)
	})
	return fx
}

func (fx *fixture) waitUntil(tb testing.TB, what string, done func() bool) {
	tb.Helper()
	poll.WaitOn(tb, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}

func (fx *fixture) request(left clock.Millis) *runs.Request {
	return &runs.Request{
		Deadline: fx.clock.Now() + left,
		Call:     wire.Call{ID: token.Attempt{Request: token.NewRequestID()}, Idempotent: true, Method: "GET", Path: "/"},
	}
}

// sumCounter returns the sum of a counter over all series with the given label
// value.
func (fx *fixture) sumCounter(tb testing.TB, name, label, value string) float64 {
	tb.Helper()
	families, err := fx.registry.Gather()
	if err != nil {
		tb.Fatal(err)
	}
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, pair := range metric.GetLabel() {
				if pair.GetName() == label && pair.GetValue() == value {
					total += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}
