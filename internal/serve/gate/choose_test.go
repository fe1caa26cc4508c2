package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/guard/room"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
	"github.com/jujubescale/jujubescale/internal/serve/proof"
)

// inForce returns a configuration in force.
func inForce(routes *table.Table) *proof.Book {
	config := proof.New(context.Background(), 2*clock.Second, 0)
	config.Put(&store.Object{}, routes, nil)
	return config
}

// newChoice returns a gate with 48 model engines and a request for them.
func newChoice(t testing.TB) (*Gate, *request) {
	t.Helper()
	log, err := logs.New(io.Discard, "error")
	assert.NilError(t, err)
	pool := &table.Pool{Name: "m", Generation: &table.Generation{Slots: 64, Tokens: 232_000}}
	registry := view.New()
	for i := range 48 {
		registry.Put(view.Entry{ID: fmt.Sprintf("i-%d", i), StartedAt: 1, Address: fmt.Sprintf("10.0.0.%d:80", i), Pool: "m", Zone: "a", Slots: 64}, 1)
	}
	registry.Publish()
	g := New(Settings{
		Clock: clock.New(), Log: log, Registry: prometheus.NewRegistry(), Name: "g", Zone: "a",
		Config: inForce(&table.Table{}), View: registry.Snapshot,
	})
	g.Attach(mesh.New(context.Background(), mesh.Member{Name: "g", Incarnation: token.NewIncarnation()}), nil)
	req := &request{RequestInfo: spell.RequestInfo{Request: "r", PromptTokens: 2000, OutputTokens: 500}, pool: pool, route: &table.Route{Name: "r", Objective: 440}}
	return g, req
}

// newSharedChoice is newChoice with engines that share their hosts, of which the other gateways
// have everything but the share of this one.
func newSharedChoice(t testing.TB) (*Gate, *request) {
	t.Helper()
	g, req := newChoice(t)
	limits := room.Limits{Tokens: 40_000, Places: 64}
	g.limits = permit.New(permit.WithPeers(permit.Peers{
		Self: "g", OwnerFunc: func(string) string { return "other" }, ReportFunc: func() {},
		AskFunc: func(context.Context, string, *wire.PermitRequest) (*wire.Permit, error) {
			return &wire.Permit{Room: &wire.Room{Valid: room.Duration, Wait: 900}}, nil
		},
	}), permit.WithRooms(permit.Rooms{
		EngineFunc: func(endpoint string) (*view.Endpoint, room.Limits) { return g.View().Find(endpoint), limits },
		CountFunc:  func() int { return 5 },
	}))
	for _, e := range g.View().Pool("m") {
		g.limits.Observe(e, http.StatusOK, spell.ResponseInfo{Slowdown: 1}, "r", 1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.limits.Run(ctx) // learns the number of processes
	return g, req
}

// Guards against requests that are sent to engines without room for them, and against a request
// that waits although nothing is expected to be free in time.
func TestRequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	g, req := newSharedChoice(t)
	sent := make(map[*view.Endpoint]int)
	for range 48 {
		chosen, err := g.awaitEndpoint(t.Context(), req)
		assert.NilError(t, err)
		sent[chosen.target.Endpoint]++
	}
	assert.Equal(t, len(sent), 48, "each has room for one request of this process")
	began := g.Clock.Now()
	_, err := g.awaitEndpoint(t.Context(), req)
	var refused *fault.RefusalError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Reason, fault.Overloaded)
	assert.Equal(t, refused.Ran, fault.NotRun)
	assert.Assert(t, refused.RetryAfter >= 50, refused.RetryAfter)
	assert.Assert(t, g.Clock.Since(began) < 10*clock.Second, "it was refused, and not at its deadline")
}

func BenchmarkChoose48Shared(b *testing.B) {
	g, req := newSharedChoice(b)
	for b.Loop() {
		g.choose(req)
	}
}

func BenchmarkChoose48(b *testing.B) {
	g, req := newChoice(b)
	b.ReportAllocs()
	for b.Loop() {
		if g.choose(req).target == nil {
			b.Fatal("no engine chosen")
		}
	}
}
