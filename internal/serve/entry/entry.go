// Package entry implements the entry process, which serves callers: it accepts
// their requests, checks which services they may call, and returns a complete
// answer or a refusal for each. Package runs executes the requests.
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

// Settings holds the identity and the limits of an entry. Limits that are zero
// take their defaults.
type Settings struct {
	// Process is the name of this process.
	Process string
	// Host is the name of the host that the process runs on.
	Host string
	// AvailabilityZone is the zone of the host.
	AvailabilityZone string
	// Address (host:port) is where other entries open sessions. If it is empty,
	// they open none.
	Address string
	// MaxBodyBytes is the largest request body, in bytes; 1 MiB by default.
	MaxBodyBytes int64
	// MemoryBytes is the memory of the process; 2 GiB by default. The bodies of open requests take a fifth of it.
	MemoryBytes int64
	// MaxOpen is the largest number of open requests of all callers; 10,000 by
	// default.
	MaxOpen int
	// MaxOpenPerOrganisation is the largest number of open requests of an
	// organisation for which the manifest sets no limit; a quarter of MaxOpen by
	// default.
	MaxOpenPerOrganisation int
	// BalancerLag is how long the load balancer may send new requests after
	// Leave, in milliseconds.
	BalancerLag clock.Millis
}

const (
	defaultMaxBody              = 1 << 20
	defaultMemory               = 2 << 30
	defaultMaxOpen              = 10_000
	defaultOrganisationFraction = 4
	// sweepInterval is the time between two sweeps of the bodies that are being read.
	sweepInterval = 100 * clock.Millis(1)
)

func (s Settings) withDefaults() Settings {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBody
	}
	if s.MemoryBytes == 0 {
		s.MemoryBytes = defaultMemory
	}
	if s.MaxOpen == 0 {
		s.MaxOpen = defaultMaxOpen
	}
	if s.MaxOpenPerOrganisation == 0 {
		s.MaxOpenPerOrganisation = max(s.MaxOpen/defaultOrganisationFraction, 1)
	}
	return s
}

// Entry is an entry process.
type Entry struct {
	settings     Settings
	clock        *clock.Clock
	log          *log.Logger
	holder       *spread.Holder
	incarnation  token.Incarnation
	registerer   prometheus.Registerer
	gate         func() *fault.RefusalError
	store        *store.Store
	claimOptions []claim.Option
	runOptions   []runs.Option
	peerOptions  []peers.Option

	meter  *meter.Entry
	peers  *peers.Peers
	runs   *runs.Runs
	claims *claim.Registry
	trace  *trace.Trace
	front  *front.Front

	sharing sharing

	startedAt clock.Millis
	leaving   atomic.Bool
	base      context.Context
	stop      context.CancelFunc
	sweepDone chan struct{} // closed when the sweep of old claims has ended
	// bodiesDone is closed when the sweep of stalled bodies has ended.
	bodiesDone chan struct{}
}

// Option configures an Entry.
type Option func(*Entry)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(e *Entry) { e.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(e *Entry) { e.log = l } }

// WithHolder sets the holder of the configuration in force.
func WithHolder(h *spread.Holder) Option { return func(e *Entry) { e.holder = h } }

// WithRegisterer sets the registerer of the metrics.
func WithRegisterer(r prometheus.Registerer) Option { return func(e *Entry) { e.registerer = r } }

// WithStore sets the platform's store, in which claims of idempotency keys are
// kept. Without it, calls that have a key and may not be repeated are refused.
func WithStore(s *store.Store, opts ...claim.Option) Option {
	return func(e *Entry) { e.store, e.claimOptions = s, opts }
}

// WithGate sets a function that returns a refusal while all new requests must be
// refused, for instance while this process is isolated, and else nil.
func WithGate(gate func() *fault.RefusalError) Option { return func(e *Entry) { e.gate = gate } }

// WithDial sets the function that opens connections to agents and other entries.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(e *Entry) {
		e.peerOptions = append(e.peerOptions, peers.WithDial(dial))
		e.sharing.session = append(e.sharing.session, sess.WithDial(dial))
	}
}

// WithTLS sets the function that returns the TLS configuration for connections
// to agents.
func WithTLS(config func() *tls.Config) Option {
	return func(e *Entry) { e.peerOptions = append(e.peerOptions, peers.WithTLS(config)) }
}

// WithHeartbeats sets the intervals between heartbeats, in milliseconds, without and
// with calls in flight.
func WithHeartbeats(idle, busy clock.Millis) Option {
	return func(e *Entry) { e.peerOptions = append(e.peerOptions, peers.WithHeartbeats(idle, busy)) }
}

// WithPeers adds options for the sessions to agents, for example to distribute
// the configuration over them.
func WithPeers(opts ...peers.Option) Option {
	return func(e *Entry) { e.peerOptions = append(e.peerOptions, opts...) }
}

// WithRuns adds options for the execution of requests.
func WithRuns(opts ...runs.Option) Option {
	return func(e *Entry) { e.runOptions = append(e.runOptions, opts...) }
}

// New returns an Entry. Call Close to end it.
func New(settings Settings, opts ...Option) *Entry {
	e := &Entry{
		settings:    settings.withDefaults(),
		clock:       clock.New(),
		log:         log.Default(),
		holder:      &spread.Holder{},
		incarnation: token.NewIncarnation(),
		registerer:  prometheus.NewRegistry(),
		gate:        func() *fault.RefusalError { return nil },
		trace:       trace.New(trace.DefaultCapacity),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.startedAt = e.clock.Now()
	e.base, e.stop = context.WithCancel(context.Background())
	e.meter = meter.New(e.registerer)
	base := []peers.Option{peers.WithClock(e.clock), peers.WithLog(e.log), peers.WithHello(e.hello)}
	base = append(base, e.initSharing()...)
	e.peers = peers.New(settings.AvailabilityZone, e.holder, e.meter, append(base, e.peerOptions...)...)
	e.runs = runs.New(e.peers, e.meter, append([]runs.Option{runs.WithClock(e.clock)}, e.runOptions...)...)
	e.sweepDone = make(chan struct{})
	if e.store == nil {
		close(e.sweepDone)
	} else {
		e.claims = claim.New(e.store, append([]claim.Option{claim.WithClock(e.clock)}, e.claimOptions...)...)
		go func() {
			defer close(e.sweepDone)
			e.claims.Sweep(e.base)
		}()
	}
	e.front = front.New(front.Config{
		Clock: e.clock, Log: e.log, Holder: e.holder, Meter: e.meter, Trace: e.trace, Runs: e.runs, Claims: e.claims,
		Gate: e.gate, Leaving: e.Leaving, Ready: e.serveReady, Base: e.base,
		MaxBodyBytes: e.settings.MaxBodyBytes, MaxOpen: e.settings.MaxOpen, MaxOpenPerOrganisation: e.settings.MaxOpenPerOrganisation,
		MemoryBytes: e.settings.MemoryBytes, Registerer: e.registerer,
	})
	e.bodiesDone = make(chan struct{})
	go func() {
		defer close(e.bodiesDone)
		for e.clock.Sleep(e.base, sweepInterval) == nil {
			e.front.Sweep()
		}
	}()
	e.startSharing(e.base)
	return e
}

func (e *Entry) hello() wire.Hello {
	return wire.Hello{
		Process: e.settings.Process, Incarnation: e.incarnation, Role: "entry", Host: e.settings.Host,
		AvailabilityZone: e.settings.AvailabilityZone, Leaving: e.leaving.Load(),
	}
}

// Connect opens a session to the agent at each address (host:port), and opens it
// again whenever it ends.
func (e *Entry) Connect(addresses []string) { e.peers.Connect(addresses) }

// Disconnect ends the sessions to the agents at these addresses.
func (e *Entry) Disconnect(addresses []string) { e.peers.Disconnect(addresses) }

// Sessions returns the open sessions to agents.
func (e *Entry) Sessions() []*sess.Session { return e.peers.Sessions() }

// Incarnation returns the identifier of this run of the process.
func (e *Entry) Incarnation() token.Incarnation { return e.incarnation }

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler { return e.front.Handler() }

// Close cancels all requests, ends all sessions and waits until they have ended.
func (e *Entry) Close() {
	e.stop()
	e.sharing.wait()
	e.peers.Close()
	<-e.sweepDone
	<-e.bodiesDone
}
