package whole

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
	"github.com/jujubescale/jujubescale/internal/share/spread"
	"github.com/jujubescale/jujubescale/internal/stand/engine"
	"github.com/jujubescale/jujubescale/internal/stand/plain"
	"github.com/jujubescale/jujubescale/internal/stand/pool"
	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// Place is one endpoint and its agent.
type Place struct {
	Pool     string
	Endpoint string
	Zone     string
	Kind     manif.StageKind
	// URL is the base URL of the endpoint, Address the host:port of its agent.
	URL     string
	Address string
	// One of Engine, Stage and Plain is set, depending on Kind.
	Engine *engine.Engine
	Stage  *pool.Pool
	Plain  *plain.Plain
	Agent  *agent.Agent
	Holder *spread.Holder

	endpoint *Server
	process  *Server
	// operators is the agent's operators' port; nil unless OpenOperators was
	// called.
	operators *Server
	removed   bool
}

// Slots returns the endpoint's capacity model.
func (p *Place) Slots() *slots.Slots {
	switch {
	case p.Engine != nil:
		return p.Engine.Slots
	case p.Plain != nil:
		return p.Plain.Slots
	default:
		return p.Stage.Slots
	}
}

// Frontend returns the HTTP front of the endpoint, which injects faults.
func (p *Place) Frontend() *slots.Frontend {
	switch {
	case p.Engine != nil:
		return p.Engine.Frontend
	case p.Plain != nil:
		return p.Plain.Frontend
	default:
		return p.Stage.Frontend
	}
}

// shape returns the configured shape of a pool, or the default shape.
func (w *Whole) shape(p *manif.Pool) Shape {
	shape := Shape{Pool: p.Name, Endpoints: w.options.endpoints}
	for _, one := range w.options.shapes {
		if one.Pool == p.Name {
			shape = one
		}
	}
	return shape
}

// EndpointName returns the name of a pool's n-th endpoint, counted from 0.
func EndpointName(pool string, n int) string { return fmt.Sprintf("%s-%d", pool, n) }

func (w *Whole) startPool(p *manif.Pool) error {
	shape := w.shape(p)
	for i := range shape.Endpoints {
		place := &Place{Pool: p.Name, Endpoint: EndpointName(p.Name, i), Zone: w.zone(i), Kind: p.Kind}
		w.Places = append(w.Places, place)
		if err := withRole(roleStandIn, func() error { return w.startEndpoint(place, p, shape) }); err != nil {
			return err
		}
		if w.options.outsideDaemons {
			port := w.options.firstPort + len(w.Places) - 1
			place.Address = net.JoinHostPort(w.options.agentHost, strconv.Itoa(port))
			continue
		}
		if err := w.startAgent(place, anyPort); err != nil {
			return err
		}
	}
	return nil
}

// Defaults for zero fields of manif.Pool and Shape.
const (
	defaultLimit      = 16
	defaultColdLimit  = 4
	defaultColdWorkMs = 400
	defaultWorkMs     = 5
	defaultPrefillMs  = 30
	defaultCachedMs   = 5
	defaultTokenMs    = 5
	defaultTokens     = 16
	defaultCacheSize  = 64
)

func millis(ms, fallback float64) time.Duration {
	if ms == 0 {
		ms = fallback
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func (w *Whole) startEndpoint(place *Place, p *manif.Pool, shape Shape) error {
	capacity := slots.Config{
		Limit: orDefault(p.Limit, defaultLimit), ColdLimit: orDefault(p.ColdLimit, defaultColdLimit),
		ColdWork: millis(shape.ColdWorkMs, defaultColdWorkMs),
	}
	lag := millis(shape.LoadLagMs, 0)
	var handler http.Handler
	switch place.Kind {
	case manif.KindGenerate:
		place.Engine = w.newEngine(p, shape, capacity)
		handler = place.Engine.Handler()
	case manif.KindPlain:
		place.Plain = plain.New(plain.WithLedger(w.Ledger), plain.WithCapacity(capacity),
			plain.WithWork(millis(shape.WorkMs, defaultWorkMs)), plain.WithLoadLag(lag))
		handler = place.Plain.Handler()
	default:
		place.Stage = pool.New(string(place.Kind), pool.WithCapacity(capacity),
			pool.WithWork(millis(shape.WorkMs, defaultWorkMs)), pool.WithLoadLag(lag))
		handler = place.Stage.Handler()
	}
	var err error
	if place.endpoint, err = Serve(anyPort, handler); err != nil {
		return err
	}
	place.URL = place.endpoint.URL()
	return nil
}

func (w *Whole) newEngine(p *manif.Pool, shape Shape, capacity slots.Config) *engine.Engine {
	opts := []engine.Option{
		engine.WithModels(modelNames(p)...),
		engine.WithCapacity(capacity),
		engine.WithTimes(millis(shape.PrefillMs, defaultPrefillMs), millis(shape.CachedMs, defaultCachedMs),
			millis(shape.TokenMs, defaultTokenMs)),
		engine.WithTokens(orDefault(shape.Tokens, defaultTokens)),
		engine.WithCacheSize(orDefault(shape.CacheSize, defaultCacheSize)),
		engine.WithLoadLag(millis(shape.LoadLagMs, 0)),
		engine.WithLoader(w.Weights.Load),
	}
	if p.Fencing == manif.FencingChecked {
		opts = append(opts, engine.WithFenceCheck())
	}
	return engine.New(opts...)
}

// modelNames lists the models as the engine reports them: name@version, and
// name@version+adapter for each adapter.
func modelNames(p *manif.Pool) []string {
	var names []string
	for _, model := range p.Models {
		name := model.Model + "@" + model.Version
		names = append(names, name)
		for _, adapter := range model.Adapters {
			names = append(names, name+"+"+adapter)
		}
	}
	return names
}

func (w *Whole) startAgent(place *Place, listen string) error {
	return withRole(roleAgent, func() error { return w.newAgent(place, listen) })
}

func (w *Whole) newAgent(place *Place, listen string) error {
	place.Holder = &spread.Holder{}
	opts := append([]agent.Option{
		agent.WithHolder(place.Holder), agent.WithLog(w.options.log),
		agent.WithOrders(w.newCaller(place.Zone), agent.DefaultWeightSlots),
	}, w.options.agentOptions...)
	place.Agent = agent.New(agent.Settings{
		Process:          "agent-" + place.Endpoint,
		Host:             "host-" + place.Endpoint,
		AvailabilityZone: place.Zone,
		Pool:             place.Pool,
		Endpoint:         place.Endpoint,
		Kind:             place.Kind,
		EndpointURL:      place.URL,
	}, opts...)
	var err error
	if place.process, err = Serve(listen, place.Agent.Handler()); err != nil {
		return err
	}
	if place.Address == "" {
		place.Address = place.process.Address()
	}
	w.Net.SetZone(place.Address, place.Zone)
	return nil
}
