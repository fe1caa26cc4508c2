// Package whole runs the whole system in one process on loopback: stand-ins for
// the platform and the endpoints, an agent for each endpoint, the entries, and a
// simulated network between availability zones.
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
	// Net is the network between zones, Clients the one between callers and
	// entries.
	Net     *netw.Net
	Clients *netw.Net

	options  settings
	platform *Server
}

// Shape is the number of endpoints of a pool and their behaviour. Zero selects
// the stand-in's default, except for Endpoints.
type Shape struct {
	// Pool is the name of a pool of the manifest.
	Pool string `json:"pool"`
	// Endpoints is the number of endpoints, assigned to the zones in turn.
	Endpoints int `json:"endpoints"`
	// WorkMs is the engine time of one run of an encoder, retriever, reranker
	// or plain service at full load, in milliseconds.
	WorkMs float64 `json:"workMs,omitempty"`
	// PrefillMs and CachedMs are the engine time of a prompt without and with a
	// cached prefix, in milliseconds.
	PrefillMs float64 `json:"prefillMs,omitempty"`
	CachedMs  float64 `json:"cachedMs,omitempty"`
	// TokenMs is the engine time of one token, in milliseconds.
	TokenMs float64 `json:"tokenMs,omitempty"`
	// Tokens is the number of tokens of an answer.
	Tokens int `json:"tokens,omitempty"`
	// CacheSize is the capacity of the prefix cache of an engine, in prefixes.
	CacheSize int `json:"cacheSize,omitempty"`
	// ColdWorkMs is the engine time of finished work after which a cold endpoint
	// is warm, in milliseconds.
	ColdWorkMs float64 `json:"coldWorkMs,omitempty"`
	// LoadLagMs is the age of the load report, in milliseconds.
	LoadLagMs float64 `json:"loadLagMs,omitempty"`
}

type settings struct {
	manifest       *manif.Manifest
	shapes         []Shape
	endpoints      int
	entries        int
	listen         string
	platform       string
	outsideDaemons bool
	agentHost      string
	firstPort      int
	log            *log.Logger
	zoneDelay      time.Duration
	clientDelay    time.Duration
	weightLoadTime time.Duration
	entryOptions   []entry.Option
	agentOptions   []agent.Option
}

// Option configures a Whole.
type Option func(*settings)

// WithManifest sets the manifest. The default is Sample.
func WithManifest(m *manif.Manifest) Option { return func(s *settings) { s.manifest = m } }

// WithShapes sets the size and behaviour of pools.
func WithShapes(shapes ...Shape) Option { return func(s *settings) { s.shapes = shapes } }

// WithEndpoints sets the number of endpoints of a pool without a shape.
func WithEndpoints(count int) Option { return func(s *settings) { s.endpoints = count } }

// WithEntries sets the number of entries, which are assigned to the zones in
// turn.
func WithEntries(count int) Option { return func(s *settings) { s.entries = count } }

// WithListen sets the listen address of the first entry.
func WithListen(address string) Option { return func(s *settings) { s.listen = address } }

// WithOutsideDaemons starts only the stand-ins. Entries and agents are separate
// processes that the caller starts. The agent of the n-th endpoint, counted from
// 0, must listen on agentHost:(firstPort+n). The platform listens on the given
// address.
func WithOutsideDaemons(platform, agentHost string, firstPort int) Option {
	return func(s *settings) {
		s.outsideDaemons = true
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
	return func(s *settings) { s.zoneDelay, s.clientDelay = between, clients }
}

// WithWeightLoad sets the load time of one model's weights while no other load
// runs.
func WithWeightLoad(span time.Duration) Option { return func(s *settings) { s.weightLoadTime = span } }

// WithEntryOptions adds options to each entry.
func WithEntryOptions(opts ...entry.Option) Option {
	return func(s *settings) { s.entryOptions = append(s.entryOptions, opts...) }
}

// WithAgentOptions adds options to each agent.
func WithAgentOptions(opts ...agent.Option) Option {
	return func(s *settings) { s.agentOptions = append(s.agentOptions, opts...) }
}

const anyPort = "127.0.0.1:0"

// New starts a system and waits until its manifest is in force. Call Close to
// stop it.
func New(opts ...Option) (*Whole, error) {
	o := settings{
		manifest: Sample(), endpoints: 3, entries: 1, listen: anyPort, platform: anyPort, log: log.Default(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	w := &Whole{
		Platform: plat.New(), Ledger: plain.NewLedger(), Weights: engine.NewWeights(o.weightLoadTime),
		Net: netw.New(o.zoneDelay), Clients: netw.New(o.clientDelay), options: o,
	}
	if err := w.start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *Whole) start() error {
	var err error
	err = withRole(rolePlatform, func() error {
		w.platform, err = Serve(w.options.platform, w.Platform.Handler())
		return err
	})
	if err != nil {
		return err
	}
	w.PlatformURL = w.platform.URL()
	w.Net.SetZone(w.platform.Address(), platformZone)
	if err := w.applyManifest(); err != nil {
		return err
	}
	for i := range w.options.manifest.Pools {
		if err := w.startPool(&w.options.manifest.Pools[i]); err != nil {
			return err
		}
	}
	w.publishHosts()
	if w.options.outsideDaemons {
		return nil
	}
	for i := range w.options.entries {
		if err := w.addEntry(i); err != nil {
			return err
		}
	}
	w.publishHosts()
	return w.WaitInForce(1)
}

func (w *Whole) zone(i int) string {
	zones := w.options.manifest.AvailabilityZones
	return zones[i%len(zones)]
}

// publishHosts publishes the hosts of endpoints and entries in the platform's list.
func (w *Whole) publishHosts() {
	var hosts []store.Host
	for _, place := range w.Places {
		if place.removed {
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

// Close stops all processes and stand-ins immediately.
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
