// Package agent implements the agent process, which runs next to one endpoint.
// It alone admits work to the endpoint, runs it and keeps each result until the
// entry acknowledges it.
//
// One lock guards all state. The packages under internal/guard make every
// decision and have no side effects. The frames of one attempt are queued for
// sending under the same lock, so that they stay in order when an answer is
// resumed on another session.
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

// Settings identifies the agent and its endpoint.
type Settings struct {
	// Process is the name of this process.
	Process string
	// Host is the name of the host on which the process runs.
	Host string
	// AvailabilityZone is the availability zone of the host.
	AvailabilityZone string
	// Pool and Endpoint name the endpoint that the agent serves.
	Pool     string
	Endpoint string
	// Kind is the kind of the endpoint.
	Kind manif.StageKind
	// EndpointURL is the endpoint's base URL.
	EndpointURL string
	// EndpointIdle is how long unused connections to the endpoint are kept, in
	// milliseconds. It must be shorter than the idle timeout of the endpoint. 0
	// means 4 s.
	EndpointIdle clock.Millis
}

// defaultMaxSessions is the default maximum number of open sessions.
const defaultMaxSessions = 2048

// Agent serves the sessions of entries and runs their calls at its endpoint.
type Agent struct {
	settings     Settings
	clock        *clock.Clock
	log          *log.Logger
	holder       *spread.Holder
	registerer   prometheus.Registerer
	incarnation  token.Incarnation
	meter        *meter
	caller       *call.Caller
	poller       *load.Poller
	maxQueued    int
	gateOptions  []admit.Option
	maxSessions  int
	pollInterval clock.Millis
	started      clock.Millis
	nodeOptions  []node.Option
	orders       *orders
	node         *node.Agent

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
	// lastReceived is when the last message of each entry with an ended session
	// arrived.
	lastReceived map[token.Incarnation]clock.Millis
	// unconfirmed is the set of sessions whose entry has not yet confirmed the
	// planned stop.
	unconfirmed map[*sess.Session]bool
	watch       watch
	// isolatedAt is when this process was last isolated; 0 means never.
	isolatedAt    clock.Millis
	prefixEpoch   uint64
	reportedLimit int
	// closed is set when the agent closes. Frames that arrive later are ignored.
	closed bool
	// idle is closed during a planned stop once no attempt is open.
	idle chan struct{}
}

// Option configures an Agent.
type Option func(*Agent)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(a *Agent) { a.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

// WithHolder sets the holder of the configuration in force.
func WithHolder(h *spread.Holder) Option { return func(a *Agent) { a.holder = h } }

// WithRegisterer sets the registerer for the metrics.
func WithRegisterer(r prometheus.Registerer) Option { return func(a *Agent) { a.registerer = r } }

// WithMaxQueued sets the maximum number of queued calls.
func WithMaxQueued(count int) Option { return func(a *Agent) { a.maxQueued = count } }

// WithoutLimits disables concurrency limits, the queue and early refusals. It is
// the baseline in measurements.
func WithoutLimits() Option {
	return func(a *Agent) { a.gateOptions = append(a.gateOptions, admit.WithoutLimits()) }
}

// WithKeptBytes sets the memory for unacknowledged answers, in bytes.
func WithKeptBytes(bytes int) Option {
	return func(a *Agent) { a.keep = keep.New(keep.WithBound(bytes)) }
}

// WithMaxSessions sets the maximum number of open sessions.
func WithMaxSessions(count int) Option { return func(a *Agent) { a.maxSessions = count } }

// WithPollInterval sets the interval between two readings of the endpoint's load
// report.
func WithPollInterval(interval clock.Millis) Option {
	return func(a *Agent) { a.pollInterval = interval }
}

// New returns an agent and starts its background work, such as reading the load
// reports of its endpoint. Call Shutdown or Close to stop it.
func New(settings Settings, opts ...Option) *Agent {
	a := &Agent{
		settings:     settings,
		clock:        clock.New(),
		log:          log.Default(),
		holder:       &spread.Holder{},
		registerer:   prometheus.NewRegistry(),
		incarnation:  token.NewIncarnation(),
		maxQueued:    admit.DefaultQueue,
		maxSessions:  defaultMaxSessions,
		pollInterval: load.DefaultInterval,
		fence:        fence.New(),
		keep:         keep.New(),
		open:         make(map[token.Attempt]*attempt),
		sessions:     make(map[*sess.Session]bool),
		lastReceived: make(map[token.Incarnation]clock.Millis),
		unconfirmed:  make(map[*sess.Session]bool),
		idle:         make(chan struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.started = a.clock.Now()
	a.prefixEpoch = uint64(a.incarnation)
	a.meter = newMeter(a)
	a.gateOptions = append(a.gateOptions, admit.WithQueue(a.maxQueued), admit.WithOnDrop(a.recordColdDrop))
	a.gate = admit.New[*attempt](a.started, a.gateOptions...)
	a.base, a.stop = context.WithCancelCause(context.Background())
	a.initCaller()
	a.startSharing()
	a.startWatch()
	a.startOrders()
	return a
}

// initCaller creates the client of the endpoint. If the address of the endpoint
// cannot be used, it logs the error, and the agent refuses all work as not run.
func (a *Agent) initCaller() {
	opts := []call.Option{call.WithResumed(a.meter.resumed.Inc)}
	if a.settings.EndpointIdle > 0 {
		opts = append(opts, call.WithIdle(a.settings.EndpointIdle))
	}
	caller, err := call.New(a.settings.EndpointURL, opts...)
	if err != nil {
		a.log.Error("endpoint address cannot be used", "endpoint", a.settings.Endpoint, "error", err)
		return
	}
	a.caller = caller
}

// startWatch starts the maintenance loop and the reading of load reports.
func (a *Agent) startWatch() {
	a.mu.Lock()
	a.drain.Set(drain.CauseUnknownLoad, true)
	a.applyShared(a.started)
	a.mu.Unlock()
	a.group.Go(func() { a.runMaintenance(a.base) })
	if a.caller == nil {
		return
	}
	a.poller = load.New(a.settings.EndpointURL, a.observe,
		load.WithClock(a.clock), load.WithInterval(a.pollInterval, load.DefaultTimeout))
	a.poller.Start(a.base)
	a.group.Go(func() { <-a.poller.Done() })
}

// Handler returns the HTTP handler that accepts sessions.
func (a *Agent) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(sess.Path, a.accept)
	return router
}

// Close ends all sessions and all work at once, as if the process had crashed. It
// does not cancel the work at the endpoint.
func (a *Agent) Close() { a.closeWith(call.ErrAbandoned) }

func (a *Agent) closeWith(cause error) {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.stop(cause)
	a.group.Wait()
	<-a.node.Done()
	if a.caller != nil {
		a.caller.Close()
	}
}

func (a *Agent) accept(w http.ResponseWriter, r *http.Request) {
	if refusal := a.sessionRefusal(); refusal != "" {
		http.Error(w, refusal, http.StatusServiceUnavailable)
		a.meter.sessionsRefused.Inc()
		return
	}
	s, err := sess.Accept(a.base, w, r,
		sess.WithClock(a.clock),
		sess.WithHello(a.hello),
		sess.WithAccepted(a.addSession),
		sess.WithHandler(a.handleFrame),
		sess.WithRelease(a.holder.Number),
		sess.WithLoad(a.load),
		sess.WithOutside(a.node.Outside),
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
	a.node.SessionOpened(s)
	<-s.Done()
	a.node.SessionClosed(s)
}

// sessionRefusal returns why a new session is refused, or an empty string if it is
// accepted. During a planned stop, a session is accepted as long as another session
// or an attempt is open, because its entry may ask for an answer.
func (a *Agent) sessionRefusal() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case len(a.sessions) >= a.maxSessions:
		return "too many sessions"
	case a.drain.Has(drain.CauseLeaving) && len(a.open) == 0 && len(a.sessions) == 0:
		return "the process is stopping"
	default:
		return ""
	}
}

// Sessions returns the number of open sessions.
func (a *Agent) Sessions() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions)
}

// addSession registers a session before the hello is sent to its entry. If it did
// so later, the entry could already ask about a call on another session, and the
// agent would have no record that the entry was connected a moment ago. Changes
// after the registration are sent to the session as frames. A planned stop that has
// already begun is sent as a frame too, because the frame holds more than the hello.
func (a *Agent) addSession(s *sess.Session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sessions[s] = true
	if a.drain.Has(drain.CauseLeaving) {
		a.send(s, a.leaveFrame())
	}
}

// leaveFrame returns the frame that states whether the agent accepts new work, and
// the reason if it does not.
func (a *Agent) leaveFrame() *wire.Frame {
	reason := a.drain.Reason()
	return &wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{
		Reason: string(reason), Resumed: reason == "", Closing: a.drain.Has(drain.CauseLeaving),
	}}
}

func (a *Agent) removeSession(s *sess.Session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s)
	now := a.clock.Now()
	for incarnation, lastReceived := range a.lastReceived {
		if now-lastReceived > fence.DefaultRetention {
			delete(a.lastReceived, incarnation)
		}
	}
	a.lastReceived[s.Peer().Incarnation] = max(s.LastReceived(), a.lastReceived[s.Peer().Incarnation])
	delete(a.unconfirmed, s)
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
		Load:             a.currentLoad(),
		Leaving:          a.drain.Reason() != "",
	}
}

func (a *Agent) load() *wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.currentLoad()
}

// currentLoad returns the load of the endpoint. The caller holds the lock.
func (a *Agent) currentLoad() *wire.Load {
	return &wire.Load{
		Running:     a.gate.Running(),
		Queued:      a.gate.Queued(),
		Limit:       a.gate.Limit(),
		Cold:        a.gate.Cold(),
		Cost:        a.gate.Cost(),
		ServiceTime: a.gate.ServiceTime(),
		PrefixEpoch: a.prefixEpoch,
	}
}

func (a *Agent) handleFrame(s *sess.Session, frame *wire.Frame) {
	if a.node.HandleFrame(s, frame) {
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
		a.handleCall(now, s, frame.Call)
	case wire.KindAck:
		a.keep.Ack(frame.Ack.ID)
	case wire.KindCancel:
		a.cancel(now, frame.Cancel)
	case wire.KindAsk:
		a.answerAsk(now, s, frame.Ask)
	case wire.KindBeat:
		if frame.Beat.Reply && frame.Beat.Mark == leaveBeatMark {
			delete(a.unconfirmed, s)
		}
	default:
	}
}

// send queues a frame for sending. If the queue is full because the peer reads too
// slowly, it closes the session. An entry would detect a missing part only at the
// end of the answer; on a new session it requests the missing bytes at once.
func (a *Agent) send(s *sess.Session, frame *wire.Frame) {
	if s == nil {
		return
	}
	if err := s.Send(frame); err != nil {
		a.meter.dropped.WithLabelValues("unsent").Inc()
		s.Close(err)
	}
}
