package router_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/link/conns"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/internal/serve/gate"
	"github.com/jujubescale/jujubescale/internal/serve/router"
	"github.com/jujubescale/jujubescale/internal/stand/netw"
	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// Services of the deployment under test.
const (
	orders    = "orders"
	models    = "models"
	encode    = "encode"
	retrieval = "retrieve"
)

const (
	zoneA = "a"
	zoneB = "b"
	key   = "secret-of-one"
	org   = "one"
)

// bench is a deployment with gateways that run in the test process.
type bench struct {
	*stand.Deployment
	t        *testing.T
	client   *stand.Client
	gateways []*gateway
	// rollouts enables rollouts at the gateways.
	rollouts bool
	// admit lets gateways close new connections unread, as the daemon does.
	admit bool
	// reuseCalls lets connections to stage engines carry several calls. Engines close idle
	// connections after idleTimeout, 0 for never.
	reuseCalls  bool
	idleTimeout time.Duration
	// changeWithin is the time within which a change must be in force, 2 s if it is 0.
	changeWithin clock.Millis
	// hostFunc returns the host of a gateway by its index, nil for hosts without limits.
	hostFunc func(index int) benchHost
	// heldFunc returns what holds back a gateway by its index, nil for nothing.
	heldFunc func(index int) *held
	// decodeTime is how long gateways take to decode a configuration.
	decodeTime atomic.Int64
	// addresses holds the addresses for sessions, callers and readiness of gateways that are
	// started again.
	addresses map[string][3]string
}

// benchHost is the host of a gateway. A nil link has no limit. It carries the sessions with peers and
// the calls to the store, and those to engines if carriesAll is set.
type benchHost struct {
	capacity   float64
	link       *netw.Link
	carriesAll bool
	// linkMbps switches the limits of the host on; the others are the settings of the
	// gateway.
	linkMbps, memoryMb float64
	maxFds             int
}

// gateway is a router.Gateway with the listeners that a daemon opens for it.
type gateway struct {
	*router.Gateway
	address  string
	ready    string
	registry *prometheus.Registry
	stop     func()
	// cutOff makes all calls to the store fail.
	cutOff atomic.Bool
	// storeCalls counts its calls to the store.
	storeCalls atomic.Int64
	// upstreamEvents counts how often it changed its upstream or logged that no peer
	// relays changes.
	upstreamEvents atomic.Int64
	// rollouts are its log lines about rollouts, which failed tests print.
	mu       sync.Mutex
	rollouts []string
}

// Write implements io.Writer for the gateway's log.
func (g *gateway) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`msg="rollout `)) {
		g.mu.Lock()
		g.rollouts = append(g.rollouts, string(line))
		g.mu.Unlock()
	}
	if bytes.Contains(line, []byte("store followed through")) || bytes.Contains(line, []byte("peer relays no changes")) {
		g.upstreamEvents.Add(1)
	}
	return len(line), nil
}

// logRollouts prints the gateway's log lines about rollouts if the test has failed.
func (g *gateway) logRollouts(t *testing.T) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Failed() && len(g.rollouts) > 0 {
		t.Logf("%s", strings.Join(g.rollouts, ""))
	}
}

func testConfig() stand.Config {
	return stand.Config{
		Services: []stand.Service{
			{Name: orders, Kind: stand.Plain, MaxConns: 64},
			{Name: models, Kind: stand.Model, MaxConns: 64, ColdS: 3, ColdPerS: 5},
			{Name: encode, Kind: stand.Stage, MaxConns: 64, Batch: 4, CallMs: 20, ItemMs: 1},
			{Name: retrieval, Kind: stand.Stage, MaxConns: 64, Batch: 8, CallMs: 20, ItemMs: 1},
		},
		Routes: []stand.Route{
			{Name: "book", Host: "orders.example", Prefix: "/book/", Kind: "unsafe", Service: orders, TimeoutMs: 3000, SloMs: 300, Attempts: 1, Priority: 1},
			{Name: "look", Host: "orders.example", Prefix: "/look/", Kind: "safe", Service: orders, TimeoutMs: 3000, SloMs: 300, Attempts: 2, Priority: 1},
			{
				Name: "draft", Host: "models.example", Prefix: "/draft/", Kind: "stream", Service: models, TimeoutMs: 8000, SloMs: 2000, Attempts: 2, Resumable: true,
				Stages: []stand.RouteStage{{Service: encode, Bytes: 1000}, {Service: retrieval, After: []int{0}, Bytes: 1000}},
			},
			{Name: "sum", Host: "models.example", Prefix: "/sum/", Kind: "stream", Service: models, TimeoutMs: 8000, SloMs: 2000, Attempts: 1},
			{Name: "open", Host: "orders.example", Prefix: "/open/", Kind: "safe", Service: orders, TimeoutMs: 3000, SloMs: 300, Attempts: 1, Public: true},
		},
		Tenants: []stand.Tenant{{Name: org, Keys: []string{key}}},
	}
}

// addEngines starts the engines that most tests need: two of each service, one in
// each zone.
func (b *bench) addEngines() {
	for _, zone := range []string{zoneA, zoneB} {
		for _, e := range []*stand.Engine{
			{Service: orders, Kind: stand.Plain, WorkTime: 5 * time.Millisecond},
			{Service: models, Kind: stand.Model, WorkTime: 5 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: 8},
			{Service: encode, Kind: stand.Stage, WorkTime: 20 * time.Millisecond},
			{Service: retrieval, Kind: stand.Stage, WorkTime: 20 * time.Millisecond},
		} {
			e.Zone, e.IdleTimeout = zone, b.idleTimeout
			_, err := b.Add(e)
			assert.NilError(b.t, err)
		}
	}
}

// start returns a deployment with a number of ready gateways.
func start(t *testing.T, gateways int) *bench {
	t.Helper()
	return startWith(t, gateways, false)
}

// startWith is start with rollouts enabled or disabled.
func startWith(t *testing.T, gateways int, rollouts bool) *bench {
	t.Helper()
	c := testConfig()
	if rollouts {
		c.Services[1].ColdPerS = 200 // the engines are not cold, and the bound of cold engines would limit the load
	}
	return startBench(t, gateways, c, &bench{rollouts: rollouts})
}

// startBench starts a deployment with a configuration and the settings of b.
func startBench(t *testing.T, gateways int, c stand.Config, b *bench) *bench {
	t.Helper()
	d, err := stand.New(c)
	assert.NilError(t, err)
	b.Deployment, b.t, b.client, b.addresses = d, t, stand.NewClient(d.Ledger), make(map[string][3]string)
	t.Cleanup(func() {
		b.client.Close()
		for _, g := range b.gateways {
			g.stop()
			g.logRollouts(t)
		}
		d.Close()
		for _, breach := range d.Ledger.Violations() {
			t.Errorf("breach: %s", breach)
		}
	})
	b.addEngines()
	for range gateways {
		b.startGateway()
	}
	for _, g := range b.gateways {
		b.awaitPeers(g, gateways)
	}
	return b
}

// startOnHosts is start with a host for each gateway, and with the time within which a change
// must be in force; 0 is the default.
func startOnHosts(t *testing.T, gateways int, changeWithin clock.Millis, hostFunc func(index int) benchHost) *bench {
	t.Helper()
	d, err := stand.New(testConfig())
	assert.NilError(t, err)
	b := &bench{Deployment: d, t: t, client: stand.NewClient(d.Ledger), changeWithin: changeWithin, hostFunc: hostFunc, addresses: make(map[string][3]string)}
	t.Cleanup(func() {
		b.client.Close()
		for _, g := range b.gateways {
			g.stop()
		}
		d.Close()
	})
	b.addEngines()
	for range gateways {
		b.startGateway()
	}
	for _, g := range b.gateways {
		b.awaitPeers(g, gateways)
	}
	return b
}

// startGateway starts another gateway and waits until it is ready.
func (b *bench) startGateway() *gateway {
	b.t.Helper()
	g := b.startUnreadyGateway()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if b.isReady(g) {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return g
}

// startUnreadyGateway starts another gateway and does not wait until it is ready.
func (b *bench) startUnreadyGateway() *gateway {
	b.t.Helper()
	return b.startNamedGateway(fmt.Sprintf("gateway-%d", len(b.gateways)+1))
}

// startNamedGateway is startUnreadyGateway with a name. Of two gateways, the one whose
// name sorts first opens the session.
func (b *bench) startNamedGateway(name string) *gateway {
	b.t.Helper()
	if _, known := b.addresses[name]; !known {
		b.addresses[name] = [3]string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}
	}
	at := b.addresses[name]
	sessions, callers, ready := listen(b.t, at[0]), listen(b.t, at[1]), listen(b.t, at[2])
	b.addresses[name] = [3]string{sessions.Addr().String(), callers.Addr().String(), ready.Addr().String()}
	at = b.addresses[name]
	var host benchHost
	if b.hostFunc != nil {
		host = b.hostFunc(len(b.gateways))
	}
	storeDial := conn.Dial
	var peerDial, engineDial conn.DialFunc
	if host.link != nil {
		sessions = host.link.Listen(sessions)
		storeDial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := conn.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return host.link.Attach(c), nil
		}
		peerDial = storeDial
		if host.carriesAll {
			engineDial = storeDial
		}
	}
	now := clock.New()
	if b.heldFunc != nil {
		if h := b.heldFunc(len(b.gateways)); h != nil {
			peersIn, peersOut, storeHeld := func(h *held) bool { return h.peersIn }, func(h *held) bool { return h.peersOut }, func(h *held) bool { return h.store }
			now, callers, ready, sessions = h.clock(), h.listen(callers, never, never), h.listen(ready, never, never), h.listen(sessions, peersIn, peersOut)
			storeDial, peerDial, engineDial = h.dial(conn.Dial, storeHeld, storeHeld), h.dial(conn.Dial, peersIn, peersOut), h.dial(conn.Dial, never, never)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &gateway{address: at[1], ready: at[2], registry: prometheus.NewRegistry()}
	log, err := logs.New(g, "debug")
	assert.NilError(b.t, err)
	transport := &http.Transport{DialContext: storeDial}
	storeTransport := roundTripFunc(func(r *http.Request) (*http.Response, error) {
		g.storeCalls.Add(1)
		if g.cutOff.Load() {
			return nil, errors.New("cut off from the store")
		}
		return transport.RoundTrip(r)
	})
	g.Gateway = router.New(ctx, router.Settings{
		Name: name, Zone: []string{zoneA, zoneB}[len(b.gateways)%2], Address: sessions.Addr().String(), ChangeWithin: cmp.Or(b.changeWithin, 2*clock.Second), LeaveWithin: 2 * clock.Second, Clock: now, Log: log,
		Capacity: host.capacity, DialFunc: peerDial, EndpointDialFunc: engineDial, LinkMbps: host.linkMbps, MemoryMb: host.memoryMb, MaxFds: host.maxFds,
		Registry: g.registry, Dialect: b.dialect(),
		Store:    platform.NewStore("http://"+b.Address, &http.Client{Transport: storeTransport}, clock.Second, 300),
		Bounds:   gate.Bounds{ExtraShare: 0.2, ExtraSpare: 50, ExtraWindow: 10 * clock.Second, ColdShare: 1.5, ColdSpare: 5},
		Rollouts: b.rollouts, RolloutBounds: canary.Bounds{Share: rolloutShare, Base: rolloutBase},
		ReuseCalls: b.reuseCalls, HandOver: true,
	})
	callersServer := &http.Server{Handler: g.Handler(), ReadHeaderTimeout: time.Minute, ConnContext: g.ConnContext}
	servers := []*http.Server{serve(sessions, g.SessionHandler()), callersServer, serve(ready, g.ReadyHandler())}
	if b.admit {
		callersServer.IdleTimeout = time.Minute
		conns.Serve(callersServer, callers, conns.WithAdmit(g.AdmitConnection))
	} else {
		go func() { _ = callersServer.Serve(callers) }() // ends with Close
	}
	g.Start(ctx)
	g.stop = func() {
		cancel()
		for _, s := range servers {
			_ = s.Close()
		}
		g.Stop()
		transport.CloseIdleConnections()
	}
	b.gateways = append(b.gateways, g)
	return g
}

// dialect returns the platform's dialect with a decoder that takes decodeTime.
func (b *bench) dialect() router.Dialect {
	dialect := platform.Dialect()
	decode := dialect.TableFunc
	dialect.TableFunc = func(raw []byte) (*table.Table, error) {
		time.Sleep(time.Duration(b.decodeTime.Load()))
		return decode(raw)
	}
	return dialect
}

// Bounds of the requests that a candidate gets before its rollout is decided.
const (
	rolloutShare = 0.1
	rolloutBase  = 50.0
)

// roundTripFunc is a function that implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// awaitPeers waits until a gateway can reach count gateways, itself included.
func (b *bench) awaitPeers(g *gateway, count int) {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if len(g.Alive()) == count {
			return poll.Success()
		}
		return poll.Continue("%d of %d peers", len(g.Alive()), count)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (b *bench) isReady(g *gateway) bool {
	response, err := http.Get("http://" + g.ready + platform.Codec().ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return listener
}

func serve(listener net.Listener, handler http.Handler) *http.Server {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(listener) }() // ends with Close
	return s
}

// send sends a request to a gateway and returns its answer.
func (b *bench) send(g *gateway, s *stand.Request) stand.Outcome {
	b.t.Helper()
	return b.client.Do(b.t.Context(), g.address, s)
}

// sendUntil sends requests until an answer fulfils a condition, and returns that answer.
func (b *bench) sendUntil(g *gateway, request func() *stand.Request, done func(stand.Outcome) bool) stand.Outcome {
	b.t.Helper()
	var got stand.Outcome
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if got = b.send(g, request()); done(got) {
			return poll.Success()
		}
		return poll.Continue("got %+v", got)
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(20*time.Millisecond))
	return got
}

func booking() *stand.Request {
	return &stand.Request{
		ID: stand.NewID(), Method: http.MethodPost, Host: "orders.example", Path: "/book/reel?size=4", Service: orders, Key: key, Tenant: org,
		Body: strings.Repeat("kraft ", 20), DeadlineMs: 2500, AtMostOnce: true,
	}
}

func lookup() *stand.Request {
	return &stand.Request{
		ID: stand.NewID(), Method: http.MethodGet, Host: "orders.example", Path: "/look/stock", Service: orders, Key: key, Tenant: org, DeadlineMs: 2500,
	}
}

func draft() *stand.Request {
	return &stand.Request{
		ID: stand.NewID(), Method: http.MethodPost, Host: "models.example", Path: "/draft/sheet", Service: models, Key: key, Tenant: org,
		Body: strings.Repeat("glue and fold ", 900), DeadlineMs: 8000, Events: 8,
		Pieces: []int{3, 2}, After: [][]int{nil, {0}}, PieceKey: "sheet-7", PromptTokens: 900, PromptPrefix: "aa:500,bb:300,cc:100",
	}
}

func summary() *stand.Request {
	return &stand.Request{
		ID: stand.NewID(), Method: http.MethodPost, Host: "models.example", Path: "/sum/log", Service: models, Key: key, Tenant: org,
		Body: "shift log", DeadlineMs: 8000, Events: 8, AtMostOnce: true, PromptTokens: 200, PromptPrefix: "aa:100,dd:100",
	}
}

// counterSum returns the sum of a counter over all its labels.
func (g *gateway) counterSum(t *testing.T, name string) float64 {
	t.Helper()
	families, err := g.registry.Gather()
	assert.NilError(t, err)
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}
