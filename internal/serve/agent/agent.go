// Package agent is the process beside one endpoint: the only one that admits
// work to it, runs that work and keeps each result until it is acknowledged.
//
// All state stands behind one lock, and every decision is taken by the pure
// packages under internal/guard. The frames of one attempt are queued for
// sending under the same lock, so that an answer taken up again on another
// session never overtakes itself.
package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/engine/call"
	"github.com/jujubescale/jujubescale/internal/engine/load"
	"github.com/jujubescale/jujubescale/internal/guard/admit"
	"github.com/jujubescale/jujubescale/internal/guard/drain"
	"github.com/jujubescale/jujubescale/internal/guard/fence"
	"github.com/jujubescale/jujubescale/internal/guard/keep"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/share/node"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Settings says where the agent stands and what it stands beside.
type Settings struct {
	// Process is the name of this process.
	Process string
	// Host it runs on.
	Host string
	// AvailabilityZone of the host.
	AvailabilityZone string
	// Pool and Endpoint it serves.
	Pool     string
	Endpoint string
	// Kind of the endpoint.
	Kind manif.StageKind
	// EndpointURL is the endpoint's base URL.
	EndpointURL string
	// EndpointIdle is how long unused connections to the endpoint are kept, in
	// milliseconds; shorter than the endpoint's own idle timeout. 0 is 4 s.
	EndpointIdle clock.Millis
}

// defaultSessions is how many sessions are served at once.
const defaultSessions = 2048

// Agent serves the sessions of entries.
type Agent struct {
	settings    Settings
	clock       *clock.Clock
	log         *log.Logger
	holder      *spread.Holder
	registerer  prometheus.Registerer
	incarnation token.Incarnation
	meter       *meter
	caller      *call.Caller
	poller      *load.Poller
	queue       int
	gateOptions []admit.Option
	maxSessions int
	interval    clock.Millis
	started     clock.Millis
	sharing     []node.Option
	orders      *orders
	shared      *node.Agent

	base  context.Context
	stop  context.CancelCauseFunc
	group sync.WaitGroup

	applied atomic.Pointer[spread.Release]

	mu       sync.Mutex
	gate     *admit.Gate[*attempt]
	fence    *fence.Fence
	keep     *keep.Store
	drain    drain.Drain
	open     map[token.Attempt]*attempt
	sessions map[*sess.Session]bool
	// parted is when each entry whose session ended was last heard.
	parted map[token.Incarnation]clock.Millis
	// unsure are sessions whose entry has not confirmed that it heard of a
	// planned stop.
	unsure map[*sess.Session]bool
	watch  watch
	// cutOff is when this process last was isolated; 0 is never.
	cutOff clock.Millis
	epoch  uint64
	stated int
	// closed is set at the end: frames that still come are not looked at.
	closed bool
	// idle closes when a planned stop has seen the last open attempt end.
	idle chan struct{}
}

// Option changes an Agent while it is built.
type Option func(*Agent)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(a *Agent) { a.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

// WithHolder sets where the configuration in force is kept.
func WithHolder(h *spread.Holder) Option { return func(a *Agent) { a.holder = h } }

// WithRegisterer sets where the metrics are registered.
func WithRegisterer(r prometheus.Registerer) Option { return func(a *Agent) { a.registerer = r } }

// WithQueue bounds the waiting work.
func WithQueue(bound int) Option { return func(a *Agent) { a.queue = bound } }

// WithBaseline is the kept baseline of measurements: no limits, no queue, and
// no early refusals.
func WithBaseline() Option {
	return func(a *Agent) { a.gateOptions = append(a.gateOptions, admit.WithoutLimits()) }
}

// WithKept bounds the memory for answers that nobody has acknowledged yet, in bytes.
func WithKept(bytes int) Option { return func(a *Agent) { a.keep = keep.New(keep.WithBound(bytes)) } }

// WithSessions bounds the sessions that are served at once.
func WithSessions(most int) Option { return func(a *Agent) { a.maxSessions = most } }

// WithPolls sets the span between two readings of the endpoint's load report.
func WithPolls(interval clock.Millis) Option { return func(a *Agent) { a.interval = interval } }

// New returns an agent that has begun to watch its endpoint. Call Shutdown or
// Close to end it.
func New(settings Settings, opts ...Option) *Agent {
	a := &Agent{
		settings:    settings,
		clock:       clock.New(),
		log:         log.Default(),
		holder:      &spread.Holder{},
		registerer:  prometheus.NewRegistry(),
		incarnation: token.NewIncarnation(),
		queue:       admit.DefaultQueue,
		maxSessions: defaultSessions,
		interval:    load.DefaultInterval,
		fence:       fence.New(),
		keep:        keep.New(),
		open:        make(map[token.Attempt]*attempt),
		sessions:    make(map[*sess.Session]bool),
		parted:      make(map[token.Incarnation]clock.Millis),
		unsure:      make(map[*sess.Session]bool),
		idle:        make(chan struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.started = a.clock.Now()
	a.epoch = uint64(a.incarnation)
	a.meter = newMeter(a)
	a.gateOptions = append(a.gateOptions, admit.WithQueue(a.queue), admit.WithOnDrop(a.coldDrop))
	a.gate = admit.New[*attempt](a.started, a.gateOptions...)
	a.base, a.stop = context.WithCancelCause(context.Background())
	a.connect()
	a.share()
	a.begin()
	a.beginOrders()
	return a
}

// connect prepares the calls to the endpoint. An address that can't be used is
// logged, and all work is refused as not run.
func (a *Agent) connect() {
	opts := []call.Option{call.WithResumed(a.meter.resumed.Inc)}
	if a.settings.EndpointIdle > 0 {
		opts = append(opts, call.WithIdle(a.settings.EndpointIdle))
	}
	caller, err := call.New(a.settings.EndpointURL, opts...)
	if err != nil {
		a.log.Error("endpoint can't be called", "endpoint", a.settings.Endpoint, "error", err)
		return
	}
	a.caller = caller
}

// begin starts the watch over endpoint, configuration and waiting work.
func (a *Agent) begin() {
	a.mu.Lock()
	a.drain.Set(drain.CauseUnknownLoad, true)
	a.follow(a.started)
	a.mu.Unlock()
	a.group.Go(func() { a.tend(a.base) })
	if a.caller == nil {
		return
	}
	a.poller = load.New(a.settings.EndpointURL, a.observe,
		load.WithClock(a.clock), load.WithInterval(a.interval, load.DefaultTimeout))
	a.poller.Start(a.base)
	a.group.Go(func() { <-a.poller.Done() })
}

// Handler serves sessions.
func (a *Agent) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(sess.Path, a.accept)
	return router
}

// Close ends all sessions and all work at once, as if the process had died:
// the endpoint isn't told.
func (a *Agent) Close() { a.end(call.ErrAbandoned) }

func (a *Agent) end(cause error) {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.stop(cause)
	a.group.Wait()
	<-a.shared.Done()
	if a.caller != nil {
		a.caller.Close()
	}
}

func (a *Agent) accept(w http.ResponseWriter, r *http.Request) {
	if refusal := a.refusesSession(); refusal != "" {
		http.Error(w, refusal, http.StatusServiceUnavailable)
		a.meter.sessionsRefused.Inc()
		return
	}
	s, err := sess.Accept(a.base, w, r,
		sess.WithClock(a.clock),
		sess.WithHello(a.hello),
		sess.WithOpened(a.addSession),
		sess.WithHandler(a.take),
		sess.WithRelease(a.holder.Number),
		sess.WithLoad(a.load),
		sess.WithOutside(a.shared.Outside),
		sess.WithDropped(func(reason string) { a.meter.dropped.WithLabelValues(reason).Inc() }),
	)
	if s != nil {
		defer a.removeSession(s)
	}
	if err != nil {
		a.meter.sessionsRefused.Inc()
		a.log.Warn("session refused", "from", r.RemoteAddr, "error", err)
		return
	}
	a.log.Debug("session open", "peer", s.Peer().Process)
	a.shared.SessionOpened(s)
	<-s.Done()
	a.shared.SessionClosed(s)
}

// refusesSession returns why no session is taken now, or nothing. A process that
// ends takes those that may still ask for an answer while others do.
func (a *Agent) refusesSession() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case len(a.sessions) >= a.maxSessions:
		return "too many sessions"
	case a.drain.Has(drain.CauseLeaving) && len(a.open) == 0 && len(a.sessions) == 0:
		return "the process ends"
	default:
		return ""
	}
}

// Sessions is the number of open sessions.
func (a *Agent) Sessions() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions)
}

// addSession enters a session before its entry hears the hello. Entered later,
// an entry could already ask for one of its calls on another session, and the
// agent would not know that it heard that entry a moment ago. Changes from here
// on are told by frames of their own. A planned stop is told in any case,
// because its frame says more than the hello does.
func (a *Agent) addSession(s *sess.Session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sessions[s] = true
	if a.drain.Has(drain.CauseLeaving) {
		a.send(s, a.leaveFrame())
	}
}

// leaveFrame says whether new work is taken, and why not.
func (a *Agent) leaveFrame() *wire.Frame {
	reason := a.drain.Reason()
	return &wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{
		Reason: string(reason), Back: reason == "", Closing: a.drain.Has(drain.CauseLeaving),
	}}
}

func (a *Agent) removeSession(s *sess.Session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s)
	now := a.clock.Now()
	for incarnation, heard := range a.parted {
		if now-heard > fence.DefaultRetention {
			delete(a.parted, incarnation)
		}
	}
	a.parted[s.Peer().Incarnation] = max(s.LastHeard(), a.parted[s.Peer().Incarnation])
	delete(a.unsure, s)
}

func (a *Agent) hello() wire.Hello {
	a.mu.Lock()
	defer a.mu.Unlock()
	return wire.Hello{
		Process:          a.settings.Process,
		Incarnation:      a.incarnation,
		Role:             "agent",
		Host:             a.settings.Host,
		AvailabilityZone: a.settings.AvailabilityZone,
		Pool:             a.settings.Pool,
		Endpoint:         a.settings.Endpoint,
		Load:             a.loadNow(),
		Leaving:          a.drain.Reason() != "",
	}
}

func (a *Agent) load() *wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadNow()
}

// loadNow is the load as the agent knows it. The lock is held.
func (a *Agent) loadNow() *wire.Load {
	return &wire.Load{
		Running:     a.gate.Running(),
		Queued:      a.gate.Queued(),
		Limit:       a.gate.Limit(),
		Cold:        a.gate.Cold(),
		Cost:        a.gate.Cost(),
		ServiceTime: a.gate.ServiceTime(),
		PrefixEpoch: a.epoch,
	}
}

func (a *Agent) take(s *sess.Session, frame *wire.Frame) {
	if a.shared.HandleFrame(s, frame) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	now := a.clock.Now()
	switch frame.Kind {
	case wire.KindCall:
		a.offer(now, s, frame.Call)
	case wire.KindAck:
		a.keep.Ack(frame.Ack.ID)
	case wire.KindCancel:
		a.cancel(now, frame.Cancel)
	case wire.KindAsk:
		a.answerAsk(now, s, frame.Ask)
	case wire.KindBeat:
		if frame.Beat.Reply && frame.Beat.Mark == leaveMark {
			delete(a.unsure, s)
		}
	default:
	}
}

// send queues a frame. A session whose peer takes frames too slowly is ended:
// a part that was left out would only show at the end of its answer, while a
// new session lets the entry ask for what it lacks at once.
func (a *Agent) send(s *sess.Session, frame *wire.Frame) {
	if s == nil {
		return
	}
	if err := s.Send(frame); err != nil {
		a.meter.dropped.WithLabelValues("unsent").Inc()
		s.Close(err)
	}
}
