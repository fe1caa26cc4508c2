// Package mesh joins the processes of the system that take callers. They ask
// the owner of a pool for pieces, give results back, report their work at the
// endpoints, and pass on what they read in the platform's store.
//
// Who they are is learned from the store. A process opens sessions to the few
// that it needs: the owners that it asks and the aggregator that it reports to;
// see route/relay. What it sends and keeps does not grow with the fleet.
package mesh

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// Heartbeats: an idle session that went silent is noticed after three
	// seconds, one with work in flight after three quarters of a second.
	beatIdle = clock.Second
	beatBusy = 250 * clock.Millis(1)
	// openTimeout bounds opening a session: a host without power does not answer.
	openTimeout = 800 * clock.Millis(1)
	// firstRedial and maxRedial bound the pause between two tries to reach a
	// process, redialFor how long it is tried.
	firstRedial = 100 * clock.Millis(1)
	maxRedial   = 4 * clock.Second
	redialFor   = clock.Minute
	// idleClose is how long a session to a process that is not asked any more is
	// kept open.
	idleClose = 30 * clock.Second
)

var (
	errReplaced  = errors.New("the peer opened a newer session")
	errStopped   = errors.New("this process stops")
	errIdle      = errors.New("the session was idle")
	errWrongPeer = errors.New("another process answers at the address")
	errRestarted = errors.New("the process was restarted")
)

// Member is one process of the system.
type Member struct {
	Name        string            `json:"name"`
	Address     string            `json:"address"`
	Incarnation token.Incarnation `json:"incarnation"`
	Zone        string            `json:"availabilityZone"`
	// Capacity is what the process may use of its host, in cores.
	Capacity float64 `json:"capacity,omitempty"`
}

// Reply is how a request for pieces is answered: that inputs were read, and what
// became of the pieces.
type Reply struct {
	FetchedFunc func()
	MadeFunc    func(*wire.Results)
}

// Follower is how this process follows the store, on its own and through peers.
type Follower struct {
	// SeenFunc returns how far each kind of objects was followed.
	SeenFunc func() []wire.Progress
	// WholeFunc returns all objects of a kind, nil before they were read.
	WholeFunc func(kind string) *wire.Update
	// TakeFunc takes changes from a peer, and ConfirmFunc how far that peer has
	// followed, as of an instant. Both return the kinds of which changes are
	// missing.
	TakeFunc    func(update *wire.Update, now clock.Millis) []string
	ConfirmFunc func(seen []wire.Progress, now clock.Millis) []string
	// Fresh bounds how long ago a peer that this process follows may have heard from
	// the store, Lost how long ago a watcher; in milliseconds.
	Fresh, Lost clock.Millis
	// DownFunc reports whether the last call to the store for some kind failed.
	DownFunc func() bool
	// AloneFunc is called when this process is to follow the store by itself.
	AloneFunc func()
}

// Mesh is this process's sessions with the others.
type Mesh struct {
	self    Member
	clock   *clock.Clock
	log     *log.Logger
	session []sess.Option

	piecesFunc  func(from string, pieces *wire.Pieces, reply Reply)
	droppedFunc func(from string, callID uint64)
	unusedFunc  func(unused *wire.Unused)
	loadsFunc   func() *wire.Loads
	workFunc    func(work []wire.Work, whole bool)
	prefixFunc  func([]wire.PrefixUse)
	refusedFunc func([]wire.Refused)
	crashesFunc func([]wire.Crash)
	lostFunc    func(peer string)
	endedFunc   func(peer string)
	ignoredFunc func(reason string)
	release     func() uint64
	newerFunc   func()
	follower    Follower

	book *sums.Totals
	view atomic.Pointer[view]
	// pools and inflow are what all peers report.
	pools  atomic.Pointer[map[string]sums.Pool]
	inflow atomic.Pointer[[]inflow.Load]
	trials atomic.Pointer[[]wire.Trial]
	next   atomic.Uint64
	// urgent says that this process has something to report at once, and wake
	// wakes the round that sends reports.
	urgent atomic.Bool
	wake   chan struct{}

	// workLock orders the calls of workFunc: what was added up first is passed on
	// first.
	workLock sync.Mutex

	// reports is the state of sending reports; only Run uses it.
	reports reports
	uplink  atomic.Pointer[uplink]

	mu      sync.Mutex
	members map[string]Member
	links   map[string]*link
	inbound map[string]*inbound
	// runs holds the newest run of each process that was ever seen.
	runs map[string]token.Incarnation
	// lost and leaving are the runs that this process can't reach, and those that
	// said that they own nothing.
	lost    map[string]token.Incarnation
	leaving map[string]token.Incarnation
	// absent are the runs that do not report to any aggregator.
	absent map[string]token.Incarnation
	// owns says that this process may own pools: it knows routes and endpoints,
	// and no planned stop has begun.
	owns    bool
	stopped bool
	base    context.Context
	group   sync.WaitGroup
}

// Option changes a Mesh while it is built.
type Option func(*Mesh)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(m *Mesh) { m.log = l } }

// WithSession adds options to each session.
func WithSession(opts ...sess.Option) Option {
	return func(m *Mesh) { m.session = append(m.session, opts...) }
}

// WithPieces sets who takes the requests for pieces of others, and their
// withdrawal.
func WithPieces(pieces func(from string, pieces *wire.Pieces, reply Reply), dropped func(from string, callID uint64)) Option {
	return func(m *Mesh) { m.piecesFunc, m.droppedFunc = pieces, dropped }
}

// WithUnused sets who takes results back.
func WithUnused(unused func(*wire.Unused)) Option { return func(m *Mesh) { m.unusedFunc = unused } }

// WithLoads sets what is reported, and who takes the work of all peers at
// endpoints: what changed, or, if whole is set, all of it.
func WithLoads(loads func() *wire.Loads, work func(work []wire.Work, whole bool)) Option {
	return func(m *Mesh) { m.loadsFunc, m.workFunc = loads, work }
}

// WithPrefixes sets who takes which prompts peers have sent where.
func WithPrefixes(take func([]wire.PrefixUse)) Option {
	return func(m *Mesh) { m.prefixFunc = take }
}

// WithRefused sets who takes which callers peers have told to come back.
func WithRefused(take func([]wire.Refused)) Option {
	return func(m *Mesh) { m.refusedFunc = take }
}

// WithCrashes sets who takes which requests crashed endpoints at peers.
func WithCrashes(take func([]wire.Crash)) Option {
	return func(m *Mesh) { m.crashesFunc = take }
}

// WithLost sets who is told that the session of a peer ended, whose requests are
// answered by nobody here any more, and who is told that a peer was restarted:
// the run of it before holds no request any more.
func WithLost(lost, ended func(peer string)) Option {
	return func(m *Mesh) { m.lostFunc, m.endedFunc = lost, ended }
}

// WithIgnored sets who counts reports that were ignored, by reason.
func WithIgnored(ignored func(reason string)) Option {
	return func(m *Mesh) { m.ignoredFunc = ignored }
}

// WithRelease sets the version of the routes in force here, which every frame
// carries, and who is told that a peer has a newer one.
func WithRelease(release func() uint64, newer func()) Option {
	return func(m *Mesh) { m.release, m.newerFunc = release, newer }
}

// WithFollower sets how the store is followed.
func WithFollower(follower Follower) Option { return func(m *Mesh) { m.follower = follower } }

// New returns a mesh of this process alone.
func New(ctx context.Context, self Member, opts ...Option) *Mesh {
	m := &Mesh{
		self: self, clock: clock.New(), log: log.New(io.Discard), base: ctx,
		piecesFunc:  func(string, *wire.Pieces, Reply) {},
		droppedFunc: func(string, uint64) {},
		unusedFunc:  func(*wire.Unused) {},
		loadsFunc:   func() *wire.Loads { return &wire.Loads{} },
		workFunc:    func([]wire.Work, bool) {},
		prefixFunc:  func([]wire.PrefixUse) {},
		refusedFunc: func([]wire.Refused) {},
		crashesFunc: func([]wire.Crash) {},
		lostFunc:    func(string) {},
		endedFunc:   func(string) {},
		ignoredFunc: func(string) {},
		release:     func() uint64 { return 0 },
		newerFunc:   func() {},
		follower: Follower{
			SeenFunc:    func() []wire.Progress { return nil },
			WholeFunc:   func(string) *wire.Update { return nil },
			TakeFunc:    func(*wire.Update, clock.Millis) []string { return nil },
			ConfirmFunc: func([]wire.Progress, clock.Millis) []string { return nil },
			DownFunc:    func() bool { return false },
			AloneFunc:   func() {},
			Fresh:       defaultFresh,
			Lost:        defaultLost,
		},
		book:    sums.New(),
		wake:    make(chan struct{}, 1),
		members: make(map[string]Member), links: make(map[string]*link), inbound: make(map[string]*inbound),
		runs: make(map[string]token.Incarnation), lost: make(map[string]token.Incarnation),
		leaving: make(map[string]token.Incarnation), absent: make(map[string]token.Incarnation),
	}
	m.reports.init()
	m.uplink.Store(&uplink{})
	for _, opt := range opts {
		opt(m)
	}
	m.publish()
	return m
}

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

// SetMembers takes the processes that the store lists.
func (m *Mesh) SetMembers(members []Member) {
	var restarted []string
	m.mu.Lock()
	m.members = make(map[string]Member, len(members))
	for _, member := range members {
		if member.Name == m.self.Name {
			continue
		}
		m.members[member.Name] = member
		if m.newRun(member.Name, member.Incarnation) {
			restarted = append(restarted, member.Name)
		}
	}
	m.publish()
	m.mu.Unlock()
	for _, name := range restarted {
		m.endedFunc(name)
	}
}

// newRun notes a run of a process and reports whether it replaces another. The
// caller holds the lock.
func (m *Mesh) newRun(name string, run token.Incarnation) bool {
	last, known := m.runs[name]
	m.runs[name] = run
	return known && last != run
}

func (m *Mesh) options(handler sess.Handler, more ...sess.Option) []sess.Option {
	opts := []sess.Option{
		sess.WithClock(m.clock), sess.WithHello(m.hello), sess.WithHandler(handler),
		sess.WithHeartbeats(beatIdle, beatBusy), sess.WithRelease(m.release),
	}
	return append(append(opts, m.session...), more...)
}

func (m *Mesh) hello() wire.Hello {
	return wire.Hello{
		Process: m.self.Name, Incarnation: m.self.Incarnation, Role: "gateway", AvailabilityZone: m.self.Zone,
		Leaving: !m.mayOwn(), Capacity: m.self.Capacity, Relays: true,
	}
}

func (m *Mesh) mayOwn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owns
}

// Open tells peers that this process owns its pools from now on. A process that
// is restarted while the store is away is reached by its peers before it knows
// any endpoint; as an owner it would refuse all work of its pools.
func (m *Mesh) Open() { m.setOwns(true, &wire.Leave{Resumed: true}) }

// Leave tells peers that this process owns nothing from now on.
func (m *Mesh) Leave() { m.setOwns(false, &wire.Leave{Reason: "planned stop"}) }

func (m *Mesh) setOwns(owns bool, leave *wire.Leave) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owns == owns {
		return
	}
	m.owns = owns
	m.publish()
	for _, s := range m.sessions() {
		_ = s.Send(&wire.Frame{Kind: wire.KindLeave, Leave: leave}) // a session that can't send is ending
	}
	m.Tell()
}

// sessions returns all open sessions; the caller holds the lock.
func (m *Mesh) sessions() []*sess.Session {
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

// leaves notes that a peer may own pools no longer, or again.
func (m *Mesh) leaves(hello wire.Hello, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	run, known := m.leaving[hello.Process]
	if leaving == (known && run == hello.Incarnation) {
		return
	}
	if leaving {
		m.leaving[hello.Process] = hello.Incarnation
	} else {
		delete(m.leaving, hello.Process)
	}
	m.publish()
}

// Handler accepts the sessions that others open.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(m.base, w, r, m.options(m.takeInbound, sess.WithAccepted(m.accepted))...)
		if s == nil {
			m.log.Debug("session not opened", "error", err)
			return
		}
		<-s.Done()
		m.inboundEnded(s)
	})
}

// Stop ends all sessions and waits for their goroutines.
func (m *Mesh) Stop() {
	m.mu.Lock()
	m.stopped = true
	for _, s := range m.sessions() {
		s.Close(errStopped)
	}
	m.mu.Unlock()
	m.group.Wait()
}
