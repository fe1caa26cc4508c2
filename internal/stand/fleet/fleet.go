// Package fleet runs a platform's stand-ins and gateways in the process of a test.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/gate"
	"github.com/jujubescale/jujubescale/internal/serve/router"
	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// Names of the deployment.
const (
	Models = "models"
	Org    = "one"
	Key    = "secret-of-one"
)

// Zones are the availability zones of the deployment.
var Zones = []string{"a", "b"}

// readyTimeout is the time within which all gateways must be ready.
const readyTimeout = 30 * time.Second

// Fleet is a deployment with gateways.
type Fleet struct {
	*stand.Deployment
	Client   *stand.Client
	Gateways []*Gateway

	t       *testing.T
	config  stand.Config
	logFunc func(name string) io.Writer
}

// Gateway is one gateway of a Fleet.
type Gateway struct {
	*router.Gateway
	Name string
	// Address is where callers connect.
	Address  string
	Registry *prometheus.Registry
	// CutOff makes all its calls to the store fail.
	CutOff atomic.Bool

	addresses [3]string
	stop      func()
}

// Option changes a Fleet before it starts.
type Option func(*Fleet)

// WithLog sets a function that returns where a gateway's log is written.
func WithLog(log func(name string) io.Writer) Option { return func(f *Fleet) { f.logFunc = log } }

// WithConfig sets the configuration instead of Config.
func WithConfig(config stand.Config) Option { return func(f *Fleet) { f.config = config } }

// Config returns a configuration with a pool of model engines and two routes to it: "draft"
// may be resumed and sent twice, "sum" not.
func Config() stand.Config {
	return stand.Config{
		Services: []stand.Service{{Name: Models, Kind: stand.Model, MaxConns: 256, ColdS: 3, ColdPerS: 1000}},
		Routes: []stand.Route{
			{Name: "draft", Host: "models.example", Prefix: "/draft/", Kind: "stream", Service: Models, TimeoutMs: 8000, SloMs: 2000, Attempts: 2, Resumable: true},
			{Name: "sum", Host: "models.example", Prefix: "/sum/", Kind: "stream", Service: Models, TimeoutMs: 8000, SloMs: 2000, Attempts: 1},
		},
		Tenants: []stand.Tenant{{Name: Org, Keys: []string{Key}}},
	}
}

// New starts a deployment with engines and gateways, and waits until they are ready. All ends
// with the test.
func New(t *testing.T, gateways, engines int, opts ...Option) *Fleet {
	t.Helper()
	f := &Fleet{config: Config(), t: t, logFunc: func(string) io.Writer { return io.Discard }}
	for _, opt := range opts {
		opt(f)
	}
	d, err := stand.New(f.config)
	assert.NilError(t, err)
	f.Deployment, f.Client = d, stand.NewClient(d.Ledger)
	t.Cleanup(f.close)
	for i := range engines {
		f.AddEngine(Zones[i%len(Zones)])
	}
	for i := range gateways {
		f.Gateways = append(f.Gateways, f.start(fmt.Sprintf("gateway-%d", i+1), i, [3]string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}))
	}
	f.AwaitReady()
	return f
}

// AddEngine starts a model engine.
func (f *Fleet) AddEngine(zone string) *stand.Engine {
	f.t.Helper()
	e, err := f.Add(&stand.Engine{
		Service: Models, Kind: stand.Model, Zone: zone,
		WorkTime: 20 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: 8,
	})
	assert.NilError(f.t, err)
	return e
}

func (f *Fleet) close() {
	f.Client.Close()
	for _, g := range f.Gateways {
		g.stop()
	}
	f.Close()
	for _, breach := range f.Ledger.Violations() {
		f.t.Errorf("breach: %s", breach)
	}
}

// Kill ends a gateway at once, with all its state.
func (f *Fleet) Kill(i int) { f.Gateways[i].stop() }

// Restart starts a gateway again that was killed, at the same addresses.
func (f *Fleet) Restart(i int) {
	killed := f.Gateways[i]
	f.Gateways[i] = f.start(killed.Name, i, killed.addresses)
}

// AwaitReady waits until each gateway can reach all others and knows all engines.
func (f *Fleet) AwaitReady() {
	f.t.Helper()
	engines := len(f.Engines(Models))
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, g := range f.Gateways {
			if alive := len(g.Alive()); alive != len(f.Gateways) {
				return poll.Continue("%s reaches %d of %d gateways", g.Name, alive, len(f.Gateways))
			}
			if known := g.KnownEndpoints(Models); known < engines {
				return poll.Continue("%s knows %d of %d engines", g.Name, known, engines)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(20*time.Millisecond))
}

type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (f *Fleet) start(name string, number int, addresses [3]string) *Gateway {
	f.t.Helper()
	listeners := make([]net.Listener, len(addresses))
	for i := range addresses {
		listeners[i] = f.listen(addresses[i])
		addresses[i] = listeners[i].Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{Name: name, Address: addresses[1], Registry: prometheus.NewRegistry(), addresses: addresses}
	log, err := logs.New(f.logFunc(name), "debug")
	assert.NilError(f.t, err)
	transport := &http.Transport{}
	toStore := roundTripFunc(func(r *http.Request) (*http.Response, error) {
		if g.CutOff.Load() {
			return nil, errors.New("cut off from the store")
		}
		return transport.RoundTrip(r)
	})
	g.Gateway = router.New(ctx, router.Settings{
		Name: name, Zone: Zones[number%len(Zones)], Address: addresses[0], ChangeWithin: 2 * clock.Second, LeaveWithin: 2 * clock.Second,
		Clock: clock.New(), Log: log, Registry: g.Registry, Dialect: platform.Dialect(),
		Store:  platform.NewStore("http://"+f.Address, &http.Client{Transport: toStore}, clock.Second, 300),
		Bounds: gate.Bounds{ExtraShare: 0.2, ExtraSpare: 50, ExtraWindow: 10 * clock.Second, ColdShare: 1.5, ColdSpare: 5},
	})
	servers := []*http.Server{
		serve(listeners[0], g.SessionHandler()), serve(listeners[1], g.Handler()), serve(listeners[2], g.ReadyHandler()),
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
	return g
}

// listen listens on an address, which a gateway that was killed may still use for a moment.
func (f *Fleet) listen(address string) net.Listener {
	f.t.Helper()
	var listener net.Listener
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		var err error
		if listener, err = net.Listen("tcp", address); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(10*time.Millisecond))
	return listener
}

func serve(listener net.Listener, handler http.Handler) *http.Server {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(listener) }() // ends with Close
	return s
}

// Draft returns a request of the route draft with the parts of its prompt, each as ID:TOKENS.
func Draft(prefix string) *stand.Request {
	return &stand.Request{
		ID: stand.NewID(), Method: http.MethodPost, Host: "models.example", Path: "/draft/sheet", Service: Models, Key: Key, Tenant: Org,
		Body: "draft " + stand.NewID(), DeadlineMs: 4000, Events: 8, PromptTokens: 200, PromptPrefix: prefix,
	}
}

// AwaitServed sends requests to the first gateway until one is served.
func (f *Fleet) AwaitServed(t *testing.T, request func() *stand.Request) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := f.Client.Do(t.Context(), f.Gateways[0].Address, request()); !got.Complete {
			return poll.Continue("%+v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(20*time.Millisecond))
}
