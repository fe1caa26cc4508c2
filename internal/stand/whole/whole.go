// Package whole runs the whole system in one process on loopback: the
// stand-ins of platform and endpoints, an agent beside each endpoint, the
// entries, and the network between availability zones.
package whole

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
	"github.com/jujubescale/jujubescale/internal/serve/entry"
	"github.com/jujubescale/jujubescale/internal/stand/engine"
	"github.com/jujubescale/jujubescale/internal/stand/netw"
	"github.com/jujubescale/jujubescale/internal/stand/plain"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

// Whole is a running system.
type Whole struct {
	Platform    *plat.Plat
	PlatformURL string
	Places      []*Place
	Fronts      []*Front
	Ledger      *plain.Ledger
	Weights     *engine.Weights
	// Net is the network between zones, Clients that between callers and entries.
	Net     *netw.Net
	Clients *netw.Net

	options  settings
	platform *Server
}

// Shape says how many endpoints a pool has and how they behave; a zero takes
// the stand-in's default.
type Shape struct {
	// Pool of the manifest.
	Pool string `json:"pool"`
	// Endpoints it has, spread over the zones in turn.
	Endpoints int `json:"endpoints"`
	// WorkMs is the engine time of one run of an encoder, retriever, reranker
	// or plain service at full load, in milliseconds.
	WorkMs float64 `json:"workMs,omitempty"`
	// PrefillMs and CachedMs are the engine time of a prompt without and with a
	// cached prefix.
	PrefillMs float64 `json:"prefillMs,omitempty"`
	CachedMs  float64 `json:"cachedMs,omitempty"`
	// TokenMs is the engine time of one token.
	TokenMs float64 `json:"tokenMs,omitempty"`
	// Tokens an answer has.
	Tokens int `json:"tokens,omitempty"`
	// CacheSize is how many prefixes one engine holds.
	CacheSize int `json:"cacheSize,omitempty"`
	// ColdWorkMs is the engine time of finished work after which a started
	// endpoint is warm.
	ColdWorkMs float64 `json:"coldWorkMs,omitempty"`
	// LoadLagMs is how old the load report is.
	LoadLagMs float64 `json:"loadLagMs,omitempty"`
}

type settings struct {
	manifest       *manif.Manifest
	shapes         []Shape
	endpoints      int
	entries        int
	listen         string
	platform       string
	outside        bool
	agentHost      string
	firstPort      int
	log            *log.Logger
	between        time.Duration
	clientDistance time.Duration
	loadWeights    time.Duration
	entryOptions   []entry.Option
	agentOptions   []agent.Option
}

// Option changes a Whole while it is built.
type Option func(*settings)

// WithManifest sets the manifest; Sample is the default.
func WithManifest(m *manif.Manifest) Option { return func(s *settings) { s.manifest = m } }

// WithShapes sets size and behaviour of pools.
func WithShapes(shapes ...Shape) Option { return func(s *settings) { s.shapes = shapes } }

// WithEndpoints sets how many endpoints a pool without a shape has.
func WithEndpoints(count int) Option { return func(s *settings) { s.endpoints = count } }

// WithEntries sets how many entries there are, spread over the zones in turn.
func WithEntries(count int) Option { return func(s *settings) { s.entries = count } }

// WithListen sets the address of the first entry.
func WithListen(address string) Option { return func(s *settings) { s.listen = address } }

// WithOutsideDaemons starts the stand-ins alone: entries and agents are
// processes of their own. The agent of the n-th endpoint listens on
// agentHost:(firstPort+n), and the platform on the given address.
func WithOutsideDaemons(platform, agentHost string, firstPort int) Option {
	return func(s *settings) {
		s.outside = true
		s.platform = platform
		s.agentHost = agentHost
		s.firstPort = firstPort
	}
}

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(s *settings) { s.log = l } }

// WithDistances sets the one-way delay between zones, and between callers and
// entries.
func WithDistances(between, clients time.Duration) Option {
	return func(s *settings) { s.between, s.clientDistance = between, clients }
}

// WithWeightLoad sets how long one model's weights take to load alone.
func WithWeightLoad(span time.Duration) Option { return func(s *settings) { s.loadWeights = span } }

// WithEntryOptions adds options to each entry.
func WithEntryOptions(opts ...entry.Option) Option {
	return func(s *settings) { s.entryOptions = append(s.entryOptions, opts...) }
}

// WithAgentOptions adds options to each agent.
func WithAgentOptions(opts ...agent.Option) Option {
	return func(s *settings) { s.agentOptions = append(s.agentOptions, opts...) }
}

const anyPort = "127.0.0.1:0"

// New starts a system. Close ends it.
func New(opts ...Option) (*Whole, error) {
	o := settings{
		manifest: Sample(), endpoints: 3, entries: 1, listen: anyPort, platform: anyPort, log: log.Default(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	w := &Whole{
		Platform: plat.New(), Ledger: plain.NewLedger(), Weights: engine.NewWeights(o.loadWeights),
		Net: netw.New(o.between), Clients: netw.New(o.clientDistance), options: o,
	}
	if err := w.start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *Whole) start() error {
	var err error
	err = as(rolePlatform, func() error {
		w.platform, err = Serve(w.options.platform, w.Platform.Handler())
		return err
	})
	if err != nil {
		return err
	}
	w.PlatformURL = w.platform.URL()
	w.Net.SetZone(w.platform.Address(), platformZone)
	if err := w.publish(); err != nil {
		return err
	}
	for i := range w.options.manifest.Pools {
		if err := w.startPool(&w.options.manifest.Pools[i]); err != nil {
			return err
		}
	}
	w.announce()
	if w.options.outside {
		return nil
	}
	for i := range w.options.entries {
		if err := w.addEntry(i); err != nil {
			return err
		}
	}
	w.announce()
	return w.WaitInForce(1)
}

func (w *Whole) zone(i int) string {
	zones := w.options.manifest.AvailabilityZones
	return zones[i%len(zones)]
}

// announce puts the endpoints' hosts on the platform's list.
func (w *Whole) announce() {
	var hosts []store.Host
	for _, place := range w.Places {
		if place.gone {
			continue
		}
		hosts = append(hosts, store.Host{
			Name: "host-" + place.Endpoint, Address: place.Address, AvailabilityZone: place.Zone,
			Role: "agent", Pool: place.Pool, Endpoint: place.Endpoint, State: store.HostLive,
			Operators: addressOf(place.operators),
		})
	}
	for _, front := range w.Fronts {
		hosts = append(hosts, store.Host{
			Name: "host-" + front.Name, Address: front.Sessions, AvailabilityZone: front.Zone,
			Role: "entry", State: store.HostLive, Operators: addressOf(front.operators),
		})
	}
	w.Platform.SetHosts(hosts)
}

// URL returns the base URL of the first entry.
func (w *Whole) URL() string { return "http://" + w.Fronts[0].Address }

// Close ends everything at once.
func (w *Whole) Close() {
	for _, front := range w.Fronts {
		w.stopEntry(front)
		front.operators.Close()
	}
	for _, place := range w.Places {
		if place.Agent != nil {
			place.Agent.Close()
		}
		place.process.Close()
		place.endpoint.Close()
		place.operators.Close()
	}
	w.platform.Close()
}
