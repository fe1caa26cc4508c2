// Package entry is the process that callers talk to: it takes their requests,
// decides who may call what, and gives each its whole answer or one clear
// refusal. The requests themselves are carried out by package runs.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/claim"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/front"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
	"github.com/jujubescale/jujubescale/internal/serve/peers"
	"github.com/jujubescale/jujubescale/internal/serve/runs"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Settings says where the entry stands and what it bears. Zero bounds take
// their defaults.
type Settings struct {
	// Process is the name of this process.
	Process string
	// Host it runs on.
	Host string
	// AvailabilityZone of the host.
	AvailabilityZone string
	// Address (host:port) where other entries open sessions; empty for none.
	Address string
	// MaxBodyBytes bounds the body of a request; 1 MiB by default.
	MaxBodyBytes int64
	// MaxOpen bounds the open requests of all callers; 10,000 by default.
	MaxOpen int
	// MaxOpenPerOrganisation bounds the open requests of an organisation whose manifest
	// names no bound; a quarter of MaxOpen by default.
	MaxOpenPerOrganisation int
	// BalancerLag is how long the balancer may send new work after Leave, in
	// milliseconds.
	BalancerLag clock.Millis
}

const (
	defaultMaxBody  = 1 << 20
	defaultMaxOpen  = 10_000
	defaultEachPart = 4
)

func (s Settings) withDefaults() Settings {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBody
	}
	if s.MaxOpen == 0 {
		s.MaxOpen = defaultMaxOpen
	}
	if s.MaxOpenPerOrganisation == 0 {
		s.MaxOpenPerOrganisation = max(s.MaxOpen/defaultEachPart, 1)
	}
	return s
}

// Entry serves callers.
type Entry struct {
	settings    Settings
	clock       *clock.Clock
	log         *log.Logger
	holder      *spread.Holder
	incarnation token.Incarnation
	registerer  prometheus.Registerer
	gate        func() *fault.RefusalError
	store       *store.Store
	claims      []claim.Option
	runOptions  []runs.Option
	peerOptions []peers.Option

	meter *meter.Entry
	peers *peers.Peers
	runs  *runs.Runs
	book  *claim.Registry
	trace *trace.Trace
	front *front.Front

	sharing sharing

	began   clock.Millis
	leaving atomic.Bool
	base    context.Context
	stop    context.CancelFunc
	swept   chan struct{} // closes when no claims are cleaned any more
}

// Option changes an Entry while it is built.
type Option func(*Entry)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(e *Entry) { e.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(e *Entry) { e.log = l } }

// WithHolder sets where the configuration in force is kept.
func WithHolder(h *spread.Holder) Option { return func(e *Entry) { e.holder = h } }

// WithRegisterer sets where the metrics are registered.
func WithRegisterer(r prometheus.Registerer) Option { return func(e *Entry) { e.registerer = r } }

// WithStore sets the platform's store, for claims of idempotency keys. Without
// it calls that carry one and may not be repeated are refused.
func WithStore(s *store.Store, opts ...claim.Option) Option {
	return func(e *Entry) { e.store, e.claims = s, opts }
}

// WithGate sets who may refuse all new work, for instance while this process
// is isolated.
func WithGate(gate func() *fault.RefusalError) Option { return func(e *Entry) { e.gate = gate } }

// WithDial replaces how connections to agents and other entries are made.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(e *Entry) {
		e.peerOptions = append(e.peerOptions, peers.WithDial(dial))
		e.sharing.session = append(e.sharing.session, sess.WithDial(dial))
	}
}

// WithTLS sets the source of the TLS configuration towards agents.
func WithTLS(config func() *tls.Config) Option {
	return func(e *Entry) { e.peerOptions = append(e.peerOptions, peers.WithTLS(config)) }
}

// WithBeats sets the spans between heartbeats without and with calls in flight.
func WithBeats(idle, busy clock.Millis) Option {
	return func(e *Entry) { e.peerOptions = append(e.peerOptions, peers.WithBeats(idle, busy)) }
}

// WithPeers adds options to the sessions, for those who spread the
// configuration over them.
func WithPeers(opts ...peers.Option) Option {
	return func(e *Entry) { e.peerOptions = append(e.peerOptions, opts...) }
}

// WithRuns adds options to how requests are carried out.
func WithRuns(opts ...runs.Option) Option {
	return func(e *Entry) { e.runOptions = append(e.runOptions, opts...) }
}

// New returns an entry. Call Close to end it.
func New(settings Settings, opts ...Option) *Entry {
	e := &Entry{
		settings:    settings.withDefaults(),
		clock:       clock.New(),
		log:         log.Default(),
		holder:      &spread.Holder{},
		incarnation: token.NewIncarnation(),
		registerer:  prometheus.NewRegistry(),
		gate:        func() *fault.RefusalError { return nil },
		trace:       trace.New(trace.Capacity),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.began = e.clock.Now()
	e.base, e.stop = context.WithCancel(context.Background())
	e.meter = meter.New(e.registerer)
	base := []peers.Option{peers.WithClock(e.clock), peers.WithLog(e.log), peers.WithHello(e.hello)}
	base = append(base, e.share()...)
	e.peers = peers.New(settings.AvailabilityZone, e.holder, e.meter, append(base, e.peerOptions...)...)
	e.runs = runs.New(e.peers, e.meter, append([]runs.Option{runs.WithClock(e.clock)}, e.runOptions...)...)
	e.swept = make(chan struct{})
	if e.store == nil {
		close(e.swept)
	} else {
		e.book = claim.New(e.store, append([]claim.Option{claim.WithClock(e.clock)}, e.claims...)...)
		go func() {
			defer close(e.swept)
			e.book.Sweep(e.base)
		}()
	}
	e.front = front.New(front.Config{
		Clock: e.clock, Log: e.log, Holder: e.holder, Meter: e.meter, Trace: e.trace, Runs: e.runs, Claims: e.book,
		Gate: e.gate, Leaving: e.Leaving, Ready: e.serveReady, Base: e.base,
		MaxBodyBytes: e.settings.MaxBodyBytes, MaxOpen: e.settings.MaxOpen, MaxOpenPerOrganisation: e.settings.MaxOpenPerOrganisation,
	})
	e.begin(e.base)
	return e
}

func (e *Entry) hello() wire.Hello {
	return wire.Hello{
		Process: e.settings.Process, Incarnation: e.incarnation, Role: "entry", Host: e.settings.Host,
		AvailabilityZone: e.settings.AvailabilityZone, Leaving: e.leaving.Load(),
	}
}

// Connect keeps sessions to the agents at these addresses (host:port).
func (e *Entry) Connect(addresses []string) { e.peers.Connect(addresses) }

// Disconnect ends the sessions to the agents at these addresses.
func (e *Entry) Disconnect(addresses []string) { e.peers.Disconnect(addresses) }

// Sessions returns the open sessions to agents.
func (e *Entry) Sessions() []*sess.Session { return e.peers.Sessions() }

// Incarnation returns which run of the process this is.
func (e *Entry) Incarnation() token.Incarnation { return e.incarnation }

// Handler serves callers.
func (e *Entry) Handler() http.Handler { return e.front.Handler() }

// Close ends all sessions and all requests at once.
func (e *Entry) Close() {
	e.stop()
	e.sharing.wait()
	e.peers.Close()
	<-e.swept
}
