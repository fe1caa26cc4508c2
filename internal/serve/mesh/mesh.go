// Package mesh joins the processes of the system that take callers: each keeps
// a session with every other, over which they ask the owner of a pool for
// pieces, give results back, and tell each other their work at the endpoints.
// Who they are is learned from the platform's store; who is alive is what the
// sessions show.
package mesh

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/coming"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/route/owner"
)

const (
	// Heartbeats: an idle session that went silent is noticed after three
	// seconds, one with work in flight after three quarters of a second.
	beatIdle = clock.Second
	beatBusy = 250 * clock.Millis(1)
	// firstRedial and maxRedial bound the pause between two tries to reach a
	// process.
	firstRedial = 100 * clock.Millis(1)
	maxRedial   = 2 * clock.Second
	// ownerEvery is how often an owner tells the queues of its pools, by which all
	// others admit: several times within the stages of a request. Others tell
	// their loads every tellEvery, and at once when they send a long prompt. Each
	// message goes to every process, so that their number decides what a process
	// costs.
	ownerEvery = 100 * clock.Millis(1)
	tellEvery  = 250 * clock.Millis(1)
	// tellGap and hearGap are the shortest pauses between two times that loads
	// are told or added up.
	tellGap = 6 * clock.Millis(1)
	hearGap = 8 * clock.Millis(1)
)

// Member is one process of the system.
type Member struct {
	Name        string            `json:"name"`
	Address     string            `json:"address"`
	Incarnation token.Incarnation `json:"incarnation"`
	Zone        string            `json:"availabilityZone"`
	// Capacity is what the process may use of its host, in parts of a processor.
	Capacity float64 `json:"capacity,omitempty"`
}

// Reply is how a question for pieces is answered: that inputs were read, and
// what became of the pieces.
type Reply struct {
	FetchedFunc func()
	MadeFunc    func(*wire.Made)
}

// question is a question for pieces that waits for its answer.
type question struct {
	answer  chan *wire.Made
	fetched func()
}

// peer is one other process.
type peer struct {
	session *sess.Session
	leaving bool
	loads   *wire.Loads
	heard   clock.Millis // when loads came
	tickets map[uint64]*question
}

// told is what a peer said of a pool that it owns, and when that came.
type told struct {
	load wire.PoolLoad
	at   clock.Millis
}

// living are the processes that can own pools.
type living struct {
	names []string
	runs  []owner.Process
}

// Mesh is this process's sessions with the others.
type Mesh struct {
	self    Member
	clock   *clock.Clock
	log     *log.Logger
	session []sess.Option

	piecesFunc  func(from string, pieces *wire.Pieces, reply Reply)
	droppedFunc func(from string, ticket uint64)
	unusedFunc  func(unused *wire.Unused)
	loadsFunc   func() *wire.Loads
	toldFunc    func(all []*wire.Loads)
	prefixFunc  func([]wire.PrefixUse)
	refusedFunc func([]wire.Refused)
	lostFunc    func(peer string)
	endedFunc   func(peer string)
	release     func() uint64
	newerFunc   func()

	tell  chan struct{} // this process has something to tell at once
	hear  chan struct{} // a peer has told something
	alive atomic.Pointer[living]
	pools atomic.Pointer[[]told]
	// coming is the work that all peers say will come.
	coming atomic.Pointer[[]coming.Load]
	next   atomic.Uint64

	mu      sync.Mutex
	peers   map[string]*peer
	dialing map[string]Member
	members map[string]Member
	// runs holds the newest run of each process that was ever a peer.
	runs map[string]token.Incarnation
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

// WithPieces sets who takes the questions of others, and their withdrawal.
func WithPieces(pieces func(from string, pieces *wire.Pieces, reply Reply), dropped func(from string, ticket uint64)) Option {
	return func(m *Mesh) { m.piecesFunc, m.droppedFunc = pieces, dropped }
}

// WithUnused sets who takes results back.
func WithUnused(unused func(*wire.Unused)) Option { return func(m *Mesh) { m.unusedFunc = unused } }

// WithLoads sets what is told to others, and who hears what they told; the
// latter gets the newest message of each peer.
func WithLoads(loads func() *wire.Loads, told func([]*wire.Loads)) Option {
	return func(m *Mesh) { m.loadsFunc, m.toldFunc = loads, told }
}

// WithPrefixes sets who hears which prompts peers have sent where.
func WithPrefixes(take func([]wire.PrefixUse)) Option {
	return func(m *Mesh) { m.prefixFunc = take }
}

// WithRefused sets who hears which callers peers have told to come back.
func WithRefused(take func([]wire.Refused)) Option {
	return func(m *Mesh) { m.refusedFunc = take }
}

// WithLost sets who hears that the session with a peer ended, whose questions
// are answered by nobody here any more, and who hears that a peer was restarted:
// the run of it before holds no request any more.
func WithLost(lost, ended func(peer string)) Option {
	return func(m *Mesh) { m.lostFunc, m.endedFunc = lost, ended }
}

// WithRelease sets the version of the routes in force here, which every frame
// carries, and who is told that a peer has a newer one.
func WithRelease(release func() uint64, newer func()) Option {
	return func(m *Mesh) { m.release, m.newerFunc = release, newer }
}

// New returns a mesh of this process alone.
func New(ctx context.Context, self Member, opts ...Option) *Mesh {
	m := &Mesh{
		self: self, clock: clock.New(), log: log.New(io.Discard), base: ctx,
		piecesFunc:  func(string, *wire.Pieces, Reply) {},
		droppedFunc: func(string, uint64) {},
		unusedFunc:  func(*wire.Unused) {},
		loadsFunc:   func() *wire.Loads { return &wire.Loads{} },
		toldFunc:    func([]*wire.Loads) {},
		prefixFunc:  func([]wire.PrefixUse) {},
		refusedFunc: func([]wire.Refused) {},
		lostFunc:    func(string) {},
		endedFunc:   func(string) {},
		release:     func() uint64 { return 0 },
		newerFunc:   func() {},
		tell:        make(chan struct{}, 1),
		hear:        make(chan struct{}, 1),
		peers:       make(map[string]*peer), dialing: make(map[string]Member), members: make(map[string]Member),
		runs: make(map[string]token.Incarnation),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.publish()
	return m
}

// Alive returns the names of the processes that can own pools, this one among
// them.
func (m *Mesh) Alive() []string { return m.alive.Load().names }

// Sessions returns the number of open sessions.
func (m *Mesh) Sessions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// Owner returns the process that owns a subject now.
func (m *Mesh) Owner(subject string) string { return owner.Of(subject, m.alive.Load().runs) }

// Self returns the name of this process.
func (m *Mesh) Self() string { return m.self.Name }

// Owns reports whether this process owns a subject now.
func (m *Mesh) Owns(subject string) bool { return m.Owner(subject) == m.self.Name }

// publish makes the list of the living; the caller holds the lock or is alone.
func (m *Mesh) publish() {
	alive := &living{}
	if m.owns {
		alive.add(m.self.Name, m.self.Incarnation, m.self.Capacity)
	}
	for name, p := range m.peers {
		if !p.leaving {
			hello := p.session.Peer()
			alive.add(name, hello.Incarnation, hello.Capacity)
		}
	}
	if len(alive.names) == 0 {
		alive.add(m.self.Name, m.self.Incarnation, m.self.Capacity)
	}
	slices.Sort(alive.names)
	m.alive.Store(alive)
}

func (l *living) add(name string, incarnation token.Incarnation, capacity float64) {
	l.names = append(l.names, name)
	l.runs = append(l.runs, owner.Process{Name: name, Key: name + "/" + incarnation.String(), Capacity: capacity})
}

// SetMembers takes the processes that the store lists. Of two processes, the
// one whose name comes first opens the session.
func (m *Mesh) SetMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]Member, len(members))
	for _, member := range members {
		listed[member.Name] = member
	}
	m.members = listed
	for name, member := range listed {
		if name <= m.self.Name || m.dialing[name] == member || m.base.Err() != nil {
			continue
		}
		m.dialing[name] = member
		m.group.Add(1)
		go func() {
			defer m.group.Done()
			m.keep(m.base, member)
		}()
	}
}

// listed reports whether a process is still to be dialed. A process that is
// listed no longer may be in the middle of a planned stop: its session goes on
// until that ends, because it still owes answers.
func (m *Mesh) listed(member Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.members[member.Name] == member && !m.stopped {
		return true
	}
	if m.dialing[member.Name] == member {
		delete(m.dialing, member.Name)
	}
	return false
}

// keep holds a session with a process as long as it is listed.
func (m *Mesh) keep(ctx context.Context, member Member) {
	pause := firstRedial
	for ctx.Err() == nil && m.listed(member) {
		s, err := sess.Dial(ctx, member.Address, m.options()...)
		if err != nil {
			_ = m.clock.Sleep(ctx, pause) // the loop sees the end of the context
			pause = min(2*pause, maxRedial)
			continue
		}
		pause = firstRedial
		m.joined(s)
		<-s.Done()
		m.ended(s)
	}
}

func (m *Mesh) options() []sess.Option {
	return append([]sess.Option{
		sess.WithClock(m.clock), sess.WithHello(m.hello), sess.WithHandler(m.take),
		sess.WithBeats(beatIdle, beatBusy), sess.WithRelease(m.release),
	}, m.session...)
}

func (m *Mesh) hello() wire.Hello {
	return wire.Hello{
		Process: m.self.Name, Incarnation: m.self.Incarnation, Role: "gateway", AvailabilityZone: m.self.Zone,
		Leaving: !m.mayOwn(), Capacity: m.self.Capacity,
	}
}

func (m *Mesh) mayOwn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owns
}

// Handler accepts the sessions that others open.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := sess.Accept(m.base, w, r, m.options()...)
		if err != nil {
			return // the session's errors say why; the other side tries again
		}
		m.joined(s)
		<-s.Done()
		m.ended(s)
	})
}

func (m *Mesh) joined(s *sess.Session) {
	name := s.Peer().Process
	m.mu.Lock()
	before := m.peers[name]
	m.peers[name] = &peer{session: s, leaving: s.Peer().Leaving, tickets: make(map[uint64]*question)}
	m.publish()
	if before != nil {
		before.fail()
	}
	run := s.Peer().Incarnation
	last, known := m.runs[name]
	m.runs[name] = run
	stopped := m.stopped
	m.mu.Unlock()
	if stopped {
		// It opened while Stop closed the others, and Stop waits for its end.
		s.Close(errStopped)
	}
	if before != nil {
		before.session.Close(errReplaced)
		m.lostFunc(name)
	}
	if known && last != run {
		m.endedFunc(name)
	}
	m.Tell()
	m.log.Info("peer joined", "peer", name, logs.KeyIncarnation, s.Peer().Incarnation)
}

func (m *Mesh) ended(s *sess.Session) {
	name := s.Peer().Process
	m.mu.Lock()
	p := m.peers[name]
	current := p != nil && p.session == s
	if current {
		delete(m.peers, name)
		m.publish()
		p.fail()
	}
	m.mu.Unlock()
	if current {
		m.lostFunc(name)
		m.log.Info("peer lost", "peer", name, logs.KeyError, s.Err())
	}
}

// fail tells everyone who waits for the peer that no answer will come; the
// caller holds the lock.
func (p *peer) fail() {
	for _, asked := range p.tickets {
		close(asked.answer)
	}
	p.tickets = nil
}

// Stop ends all sessions and waits for their goroutines.
func (m *Mesh) Stop() {
	m.mu.Lock()
	m.stopped = true
	for _, p := range m.peers {
		p.session.Close(errStopped)
	}
	m.mu.Unlock()
	m.group.Wait()
}
