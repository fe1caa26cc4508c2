// Package mesh connects the processes that serve callers. Over its sessions a
// process requests pieces from the owner of a pool, frees results, reports its
// work at the endpoints, and relays what it has read from the platform's store.
//
// The list of processes comes from the store. A process opens sessions only to
// the owners that it requests pieces from and to the aggregator that it reports
// to; see route/relay. The amount of data that it sends and keeps does not grow
// with the fleet.
package mesh

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/drain"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/pack"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/bulk"
)

const (
	// Heartbeat intervals. A broken idle session is detected after three seconds,
	// a broken session with calls in flight after 750 ms.
	idleHeartbeat = clock.Second
	busyHeartbeat = 250 * clock.Millis(1)
	// openTimeout bounds the opening of a session: a host without power sends no
	// reply, not even a refusal.
	openTimeout = 800 * clock.Millis(1)
	// firstRedialPause and maxRedialPause bound the pause between two attempts to
	// reach a process. redialTimeout bounds the time for all attempts.
	firstRedialPause = 100 * clock.Millis(1)
	maxRedialPause   = 4 * clock.Second
	redialTimeout    = clock.Minute
	// idleTimeout is how long a session that this process opened stays open
	// without use.
	idleTimeout = 30 * clock.Second
)

var (
	errReplaced  = errors.New("the peer opened a newer session")
	errStopped   = errors.New("this process is stopping")
	errIdle      = errors.New("the session is not needed any more")
	errWrongPeer = errors.New("a different process listens at the address")
	errRestarted = errors.New("the process was restarted")
)

// Member is one process of the fleet, as the store lists it.
type Member struct {
	Name        string            `json:"name"`
	Address     string            `json:"address"`
	Incarnation token.Incarnation `json:"incarnation"`
	Zone        string            `json:"availabilityZone"`
	// Capacity is the number of cores that the process may use.
	Capacity float64 `json:"capacity,omitempty"`
}

// Reply holds the functions that answer a request for pieces: InputsReadFunc
// reports that the inputs were read, ResultsFunc sends the results.
type Reply struct {
	InputsReadFunc func()
	ResultsFunc    func(*wire.Results)
}

// Follower connects the mesh to this process's copy of the store, which is read
// from the store itself or through a peer.
type Follower struct {
	// ProgressFunc returns, for each kind of objects, the revision that was read.
	ProgressFunc func() []wire.Progress
	// LackedFunc returns all objects of a kind of which a peer lacks changes, nil if it lacks none.
	LackedFunc func(peer wire.Revision) *wire.Update
	// ApplyFunc applies changes that a peer relays. ConfirmFunc takes the progress
	// of that peer as of an instant. Both return the kinds that lack changes.
	ApplyFunc   func(update *wire.Update, now clock.Millis) []string
	ConfirmFunc func(progress []wire.Progress, now clock.Millis) []string
	// ExpectFunc is called while objects of a kind are being transferred from a peer.
	ExpectFunc func(kind string)
	// HoldsFunc returns what the store has lost, if a peer has to be told, and the state to pass next time.
	HoldsFunc func(peer string, told uint64, first bool) ([]*wire.Update, uint64)
	// TakeHoldsFunc takes the same of a peer, which owns pools unless it has just started or leaves.
	TakeHoldsFunc func(message *wire.Sums, now clock.Millis)
	// MaxPeerAge bounds the age of the last store answer at a peer that this
	// process follows; MaxWatcherAge bounds it at this process while it is a
	// watcher. Both are in milliseconds.
	MaxPeerAge, MaxWatcherAge clock.Millis
	// DownFunc reports whether the last call to the store failed for any kind.
	DownFunc func() bool
	// ReceivingFunc reports whether an answer of the store is arriving.
	ReceivingFunc func() bool
	// NoUpstreamFunc is called when this process has to read the store itself.
	NoUpstreamFunc func()
}

// Mesh holds this process's sessions with its peers and what they report.
type Mesh struct {
	self           Member
	clock          *clock.Clock
	log            *log.Logger
	sessionOptions []sess.Option

	piecesFunc      func(from string, pieces *wire.Pieces, reply Reply)
	droppedFunc     func(from string, callID uint64)
	unusedFunc      func(unused *wire.Unused)
	loadsFunc       func() *wire.Loads
	workFunc        func(work []wire.Work, whole bool)
	prefixFunc      func([]wire.PrefixUse)
	refusedFunc     func([]wire.Refused)
	crashesFunc     func([]wire.Crash, []wire.PartReport)
	limitsFunc      func([]wire.EndpointLimit)
	speedsFunc      func([]wire.Speed)
	permitFunc      func(*wire.PermitRequest) *wire.Permit
	handoverFunc    func(drain.Arrival)
	originsFunc     func(*wire.Origins)
	originFunc      func(*wire.OriginRequest) *wire.OriginAnswer
	searchFunc      func(context.Context, *wire.OriginRequest) *wire.OriginAnswer
	sessionLostFunc func(peer string)
	restartedFunc   func(peer string)
	ignoredFunc     func(reason string)
	releaseFunc     func() uint64
	peerReleaseFunc func(peer string, release uint64)
	follower        Follower

	// contents holds what peers request in chunks, downloads what this process does.
	contents  pack.Cache
	downloads downloads
	bulk      *bulk.Sender

	totals *sums.Totals
	view   atomic.Pointer[view]
	// pools, pendingArrivals and trials hold the sums of the reports of all peers.
	pools           sums.PoolTable
	pendingArrivals atomic.Pointer[[]inflow.Load]
	trials          atomic.Pointer[[]wire.Trial]
	lastCallID      atomic.Uint64
	// urgent is set when the loads have to be reported at once; wake starts a
	// round of reports.
	urgent atomic.Bool
	wake   chan struct{}

	// workLock makes the calls of workFunc follow the order in which the sums
	// were computed.
	workLock sync.Mutex

	// reports is the state of sending reports; only Run uses it.
	reports reports
	uplink  atomic.Pointer[uplink]

	mu      sync.Mutex
	members map[string]Member
	// superseded holds the listed incarnations that have ended according to a session with
	// a newer one.
	superseded map[string]token.Incarnation
	links      map[string]*link
	inbound    map[string]*inbound
	// incarnations holds the last known incarnation of each process.
	incarnations map[string]token.Incarnation
	// unreachable holds the incarnations that this process can't reach, leaving
	// those that announced that they own nothing.
	unreachable map[string]token.Incarnation
	leaving     map[string]token.Incarnation
	// absent holds the incarnations that report to no aggregator or may not own
	// pools.
	absent map[string]token.Incarnation
	// owns is set while this process may own pools: it has read routes and
	// endpoints, and no planned stop has begun.
	owns    bool
	stopped bool
	// searches counts the requests for which this process asks others now.
	searches   int
	base       context.Context
	goroutines sync.WaitGroup
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(m *Mesh) { m.log = l } }

// WithSession adds options to each session.
func WithSession(opts ...sess.Option) Option {
	return func(m *Mesh) { m.sessionOptions = append(m.sessionOptions, opts...) }
}

// WithPieces sets the handlers for a peer's request for pieces and for its
// withdrawal.
func WithPieces(pieces func(from string, pieces *wire.Pieces, reply Reply), dropped func(from string, callID uint64)) Option {
	return func(m *Mesh) { m.piecesFunc, m.droppedFunc = pieces, dropped }
}

// WithUnused sets the handler for results that a peer doesn't need any more.
func WithUnused(unused func(*wire.Unused)) Option { return func(m *Mesh) { m.unusedFunc = unused } }

// WithLoads sets the source of the loads that this process reports, and the
// handler for the work of all peers at endpoints: the endpoints that changed or,
// if whole is true, all of them.
func WithLoads(loads func() *wire.Loads, work func(work []wire.Work, whole bool)) Option {
	return func(m *Mesh) { m.loadsFunc, m.workFunc = loads, work }
}

// WithPrefixes sets the handler for the prompt prefixes that peers have sent to
// endpoints.
func WithPrefixes(take func([]wire.PrefixUse)) Option {
	return func(m *Mesh) { m.prefixFunc = take }
}

// WithRefused sets the handler for the callers that peers have refused with a
// time to retry.
func WithRefused(take func([]wire.Refused)) Option {
	return func(m *Mesh) { m.refusedFunc = take }
}

// WithCrashes sets the handler for the requests and the parts of prompts under which
// endpoints crashed at peers.
func WithCrashes(take func([]wire.Crash, []wire.PartReport)) Option {
	return func(m *Mesh) { m.crashesFunc = take }
}

// WithSpeeds sets the handler for changed speeds of endpoints, the sums of all peers.
func WithSpeeds(speeds func([]wire.Speed)) Option { return func(m *Mesh) { m.speedsFunc = speeds } }

// WithLimits sets two handlers: limits takes the limits of endpoints that peers have
// learned, and permit answers a peer's request for a permit. It must not block. A request
// for which it returns nil gets no answer.
func WithLimits(limits func([]wire.EndpointLimit), permit func(*wire.PermitRequest) *wire.Permit) Option {
	return func(m *Mesh) { m.limitsFunc, m.permitFunc = limits, permit }
}

// WithLost sets two handlers: lost is called when the session that a peer opened
// has ended, so that its requests can't be answered any more; ended is called
// when a peer was restarted, so that its previous incarnation has no requests
// any more.
func WithLost(lost, ended func(peer string)) Option {
	return func(m *Mesh) { m.sessionLostFunc, m.restartedFunc = lost, ended }
}

// WithIgnored sets the counter of ignored reports, by reason.
func WithIgnored(ignored func(reason string)) Option {
	return func(m *Mesh) { m.ignoredFunc = ignored }
}

// WithRelease sets the source of the version of the routes in force, which every
// frame carries, and the handler of the one in each frame of a peer.
func WithRelease(release func() uint64, peer func(name string, release uint64)) Option {
	return func(m *Mesh) { m.releaseFunc, m.peerReleaseFunc = release, peer }
}

// WithFollower connects the mesh to this process's copy of the store.
func WithFollower(follower Follower) Option { return func(m *Mesh) { m.follower = follower } }

// WithBulk sets the sender of chunks and of requests for them. Without it, they are sent at
// once.
func WithBulk(sender *bulk.Sender) Option { return func(m *Mesh) { m.bulk = sender } }

// New returns a mesh without peers; SetMembers adds them.
func New(ctx context.Context, self Member, opts ...Option) *Mesh {
	m := &Mesh{
		self: self, clock: clock.New(), log: log.New(io.Discard), base: ctx,
		piecesFunc:      func(string, *wire.Pieces, Reply) {},
		droppedFunc:     func(string, uint64) {},
		unusedFunc:      func(*wire.Unused) {},
		loadsFunc:       func() *wire.Loads { return &wire.Loads{} },
		workFunc:        func([]wire.Work, bool) {},
		prefixFunc:      func([]wire.PrefixUse) {},
		refusedFunc:     func([]wire.Refused) {},
		crashesFunc:     func([]wire.Crash, []wire.PartReport) {},
		limitsFunc:      func([]wire.EndpointLimit) {},
		speedsFunc:      func([]wire.Speed) {},
		permitFunc:      func(*wire.PermitRequest) *wire.Permit { return nil },
		handoverFunc:    func(drain.Arrival) {},
		originsFunc:     func(*wire.Origins) {},
		originFunc:      func(*wire.OriginRequest) *wire.OriginAnswer { return &wire.OriginAnswer{} },
		searchFunc:      func(context.Context, *wire.OriginRequest) *wire.OriginAnswer { return &wire.OriginAnswer{} },
		sessionLostFunc: func(string) {},
		restartedFunc:   func(string) {},
		ignoredFunc:     func(string) {},
		releaseFunc:     func() uint64 { return 0 },
		peerReleaseFunc: func(string, uint64) {},
		follower: Follower{
			ProgressFunc:   func() []wire.Progress { return nil },
			LackedFunc:     func(wire.Revision) *wire.Update { return nil },
			ApplyFunc:      func(*wire.Update, clock.Millis) []string { return nil },
			ConfirmFunc:    func([]wire.Progress, clock.Millis) []string { return nil },
			ExpectFunc:     func(string) {},
			DownFunc:       func() bool { return false },
			NoUpstreamFunc: func() {},
			MaxPeerAge:     defaultMaxPeerAge,
			MaxWatcherAge:  defaultMaxWatcherAge,
		},
		totals:  sums.New(),
		wake:    make(chan struct{}, 1),
		members: make(map[string]Member), superseded: make(map[string]token.Incarnation), links: make(map[string]*link), inbound: make(map[string]*inbound),
		incarnations: make(map[string]token.Incarnation), unreachable: make(map[string]token.Incarnation),
		leaving: make(map[string]token.Incarnation), absent: make(map[string]token.Incarnation),
	}
	m.reports.init()
	m.downloads.byKind = make(map[string]*download)
	m.uplink.Store(&uplink{})
	for _, opt := range opts {
		opt(m)
	}
	m.updateView()
	return m
}

// Upstream returns the peer that relays changes of the store to this process, "" for
// none.
func (m *Mesh) Upstream() string { return m.uplink.Load().upstream }

// Self returns the name of this process.
func (m *Mesh) Self() string { return m.self.Name }

// Sessions returns the number of peers with an open session.
func (m *Mesh) Sessions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := len(m.inbound)
	for name, l := range m.links {
		if l.session != nil && m.inbound[name] == nil {
			open++
		}
	}
	return open
}

// SetMembers replaces the list of processes with the one from the store.
func (m *Mesh) SetMembers(members []Member) {
	var restarted []string
	m.mu.Lock()
	before := m.members
	m.members = make(map[string]Member, len(members))
	for _, member := range members {
		if member.Name == m.self.Name {
			continue
		}
		member = m.newest(member, before)
		m.members[member.Name] = member
		if m.recordIncarnation(member.Name, member.Incarnation) {
			restarted = append(restarted, member.Name)
		}
	}
	maps.DeleteFunc(m.superseded, func(name string, _ token.Incarnation) bool { _, listed := m.members[name]; return !listed })
	m.updateView()
	m.mu.Unlock()
	for _, name := range restarted {
		m.restartedFunc(name)
	}
}

// recordIncarnation stores the incarnation of a process and reports whether it
// replaces another one. The caller holds the lock.
func (m *Mesh) recordIncarnation(name string, incarnation token.Incarnation) bool {
	previous, known := m.incarnations[name]
	m.incarnations[name] = incarnation
	return known && previous != incarnation
}

func (m *Mesh) newSessionOptions(handler sess.Handler, more ...sess.Option) []sess.Option {
	opts := []sess.Option{
		sess.WithClock(m.clock), sess.WithHello(m.hello), sess.WithHandler(handler),
		sess.WithHeartbeats(idleHeartbeat, busyHeartbeat), sess.WithRelease(m.releaseFunc),
	}
	return append(append(opts, m.sessionOptions...), more...)
}

func (m *Mesh) hello() wire.Hello {
	return wire.Hello{
		Process: m.self.Name, Incarnation: m.self.Incarnation, Role: "gateway", AvailabilityZone: m.self.Zone,
		Leaving: !m.mayOwn(), Capacity: m.self.Capacity, Relays: true, Chunks: true, Handovers: true, Origins: true,
	}
}

func (m *Mesh) mayOwn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owns
}

// StartOwning announces to the peers that this process may own pools from now
// on. A process that is restarted during an outage of the store is reached by its
// peers before it has read any endpoint; as an owner it would refuse all work of
// its pools.
func (m *Mesh) StartOwning() { m.setOwns(true, &wire.Leave{Resumed: true}) }

// StopOwning announces to the peers that this process owns no pools from now on.
func (m *Mesh) StopOwning() { m.setOwns(false, &wire.Leave{Reason: "planned stop"}) }

func (m *Mesh) setOwns(owns bool, leave *wire.Leave) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owns == owns {
		return
	}
	m.owns = owns
	m.updateView()
	for _, s := range m.openSessions() {
		_ = s.Send(&wire.Frame{Kind: wire.KindLeave, Leave: leave}) // a session that can't send is ending
	}
	m.ReportNow()
}

// openSessions returns all open sessions; the caller holds the lock.
func (m *Mesh) openSessions() []*sess.Session {
	var all []*sess.Session
	for _, l := range m.links {
		if l.session != nil {
			all = append(all, l.session)
		}
	}
	for _, in := range m.inbound {
		all = append(all, in.session)
	}
	return all
}

// setLeaving records whether a peer may not own pools.
func (m *Mesh) setLeaving(hello wire.Hello, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnation, known := m.leaving[hello.Process]
	if leaving == (known && incarnation == hello.Incarnation) {
		return
	}
	if leaving {
		m.leaving[hello.Process] = hello.Incarnation
	} else {
		delete(m.leaving, hello.Process)
	}
	m.updateView()
}

// Handler returns the HTTP handler that accepts sessions from peers.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(m.base, w, r, m.newSessionOptions(m.handleInboundFrame, sess.WithAccepted(m.addInbound))...)
		if s == nil {
			m.log.Debug("session not opened", "error", err)
			return
		}
		<-s.Done()
		m.removeInbound(s)
	})
}

// Stop ends all sessions and waits for their goroutines.
func (m *Mesh) Stop() {
	m.mu.Lock()
	m.stopped = true
	for _, s := range m.openSessions() {
		s.Close(errStopped)
	}
	m.mu.Unlock()
	m.bulk.Close()
	m.goroutines.Wait()
}
