package node

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/avail"
	"github.com/jujubescale/jujubescale/internal/share/peer"
	"github.com/jujubescale/jujubescale/internal/share/roster"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

const (
	// gatherLimit is how long a start waits for the slower of platform and
	// peers once it has a configuration.
	gatherLimit = 1 * clock.Second
	gatherStep  = 10 * clock.Millis(1)
	importEvery = 500 * clock.Millis(1)
	// announceAll is the number of sessions up to which every peer is told of
	// every release. Beyond it, agents whose part is the same hear of the
	// number with the next message.
	announceAll = 64
	// askRoster is followed by a pool; a peer answers with the hosts it knows.
	askRoster = "roster/"
)

// Entry is the sharing of an entry: it follows the platform or its peers,
// serves both peers and agents, and says which sessions to hold.
type Entry struct {
	base
	learner  *spread.Learner
	follower *spread.Follower
	roster   *roster.Roster
	links    *peer.Links
	// address is this process's own, which it does not dial.
	address  string
	told     atomic.Bool
	read     atomic.Bool
	previous atomic.Pointer[spread.Release]
}

// NewEntry returns the sharing of an entry. A caller must be given.
func NewEntry(self store.Host, holder *spread.Holder, opts ...Option) *Entry {
	e := &Entry{base: newBase(collect(opts), avail.Place{AvailabilityZone: self.AvailabilityZone}, holder), address: self.Address}
	e.learner = spread.NewLearner(holder, spread.WithCheck(e.check),
		spread.WithAccepted(e.inForce), spread.WithRegisterer(e.registerer))
	e.roster = roster.New(self, e.caller.Store(call.Roster), roster.WithClock(e.clock),
		roster.WithPools(e.pools), roster.WithChanged(e.sessions), roster.WithSize(e.sizeOr(roster.DefaultSize)),
		roster.WithRegisterer(e.registerer))
	e.follower = spread.NewFollower(e.learner, e.caller.Store(call.Zone), e.caller.Store(call.Config),
		spread.WithWatch(e.roster.Watches), spread.WithFollowClock(e.clock), spread.WithFollowLog(e.log),
		spread.WithFollowRegisterer(e.registerer))
	e.catch = peer.NewCatcher(e.clock, e.learner.Number, e.learn, e.follower.Kick)
	e.peers = peer.New(holder.Number, peer.WithServe(e.serve), peer.WithBehind(e.catch.Behind), peer.WithBeat(e.beat))
	e.links = peer.NewLinks(e.clock, e.dial)
	return e
}

func (e *Entry) sizeOr(otherwise int) int {
	if e.size == 0 {
		return otherwise
	}
	return e.size
}

// Run shares until the context ends; Done then closes.
func (e *Entry) Run(ctx context.Context) {
	e.want(ctx, e.seeds)
	e.run(ctx, e.start, e.follower.Run, func(ctx context.Context) {
		e.roster.Run(ctx)
		e.links.Wait()
	}, e.importHosts)
}

// start gathers the newest configuration of the platform and of peers before
// one comes into force: a stale read alone would bring an old one back.
func (e *Entry) start(ctx context.Context) {
	e.group.Go(func() {
		_, answered := e.follower.Read(ctx)
		e.read.Store(answered)
	})
	limit := e.clock.Now() + gatherLimit
	for {
		heard := e.read.Load() && (len(e.seeds) == 0 || e.told.Load())
		if e.learner.Number() > 0 && (heard || e.clock.Now() >= limit) {
			break
		}
		if e.clock.Sleep(ctx, gatherStep) != nil {
			return
		}
	}
	e.learner.Open()
}

// inForce tells the peers and the owner of a new release.
func (e *Entry) inForce(release *spread.Release) {
	old := e.previous.Swap(release)
	e.accepted(release)
	e.roster.Kick()
	sessions := e.peers.Sessions()
	changed := make(map[string]bool)
	for _, s := range sessions {
		pool := s.Peer().Pool
		if _, known := changed[pool]; !known {
			changed[pool] = pool == "" || len(sessions) <= announceAll || !spread.SamePart(old, release, pool)
		}
		if changed[pool] {
			peer.Tell(s)
		}
	}
}

// learn takes the configuration of a peer that showed a newer release. An
// agent holds only a part, so the platform is asked instead.
func (e *Entry) learn(ctx context.Context, s *sess.Session) error {
	if s.Peer().Role == RoleAgent {
		e.follower.Kick()
		if e.learner.Number() == 0 {
			return nil
		}
		_, _ = e.follower.Read(ctx)
		return nil
	}
	err := e.peers.Document(ctx, s, e.learner)
	if err != nil {
		e.log.Debug("configuration of peer not taken", "peer", s.Peer().Process, "error", err)
	}
	return err
}

func (e *Entry) serve(fetch *wire.Fetch) *wire.Section {
	pool, asked := strings.CutPrefix(fetch.Name, askRoster)
	if !asked {
		return e.learner.Serve(fetch)
	}
	raw, err := e.roster.Export(pool)
	return &wire.Section{Name: fetch.Name, Found: err == nil, Bytes: raw}
}

// Opened takes in a session to any process at an address (host:port; empty
// when the peer dialled).
func (e *Entry) Opened(s *sess.Session, address string) {
	if e.roster.Opened(address, s.Peer().Incarnation) {
		e.log.Info("process restarted", "process", s.Peer().Process, "address", address)
	}
	e.opened(s)
}

// Closed forgets a session.
func (e *Entry) Closed(s *sess.Session, address string) {
	e.peers.Closed(s)
	e.roster.Lost(address)
}

// Newer notes that a peer showed a newer release.
func (e *Entry) Newer(s *sess.Session, release uint64) { e.catch.Behind(s, release) }

// Other takes the frames of a session to an agent that belong to no request.
func (e *Entry) Other(s *sess.Session, frame *wire.Frame) { e.peers.Take(s, frame) }

// take looks at each frame of a session to another entry.
func (e *Entry) take(s *sess.Session, frame *wire.Frame) {
	e.told.Store(true)
	e.peers.Take(s, frame)
}

// Accept serves a session that another entry opens. It returns when the
// session has ended.
func (e *Entry) Accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	s, err := sess.Accept(ctx, w, r, e.sessionOptions()...)
	if err != nil {
		e.log.Warn("session refused", "from", r.RemoteAddr, "error", err)
		return
	}
	e.opened(s)
	<-s.Done()
	e.peers.Closed(s)
}

func (e *Entry) sessionOptions() []sess.Option {
	return append(slices.Clone(e.session),
		sess.WithClock(e.clock), sess.WithRelease(e.holder.Number), sess.WithOutside(e.Outside),
		sess.WithHandler(e.take))
}

// dial holds one session to another entry until it ends.
func (e *Entry) dial(ctx context.Context, address string) error {
	s, err := sess.Dial(ctx, address, e.sessionOptions()...)
	if err != nil {
		return err
	}
	e.Opened(s, address)
	<-s.Done()
	e.Closed(s, address)
	return nil
}

// sessions passes on which sessions to hold: those to entries are held here.
func (e *Entry) sessions(pool string, hosts []store.Host) {
	if pool != "" {
		e.endpoints(pool, hosts)
		return
	}
	e.caller.SetFleetSize(len(e.roster.Entries()))
	addresses := slices.Clone(e.seeds)
	for _, host := range hosts {
		if !slices.Contains(addresses, host.Address) {
			addresses = append(addresses, host.Address)
		}
	}
	e.want(context.Background(), addresses)
}

func (e *Entry) want(ctx context.Context, addresses []string) {
	e.links.Want(ctx, slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == e.address }))
}

// pools returns the pools that pipelines and services use.
func (e *Entry) pools() []string {
	release := e.holder.Current()
	if release == nil {
		return nil
	}
	var names []string
	for i := range release.Manifest.Pools {
		names = append(names, release.Manifest.Pools[i].Name)
	}
	return names
}

// importHosts asks peers for hosts while the platform has not named any: a
// process that starts during an outage of the platform gets them there.
func (e *Entry) importHosts(ctx context.Context) {
	for e.clock.Sleep(ctx, importEvery) == nil {
		for _, pool := range e.pools() {
			if e.roster.Missing(pool) {
				e.importPool(ctx, pool)
			}
		}
	}
}

func (e *Entry) importPool(ctx context.Context, pool string) {
	for _, s := range e.peers.Sessions() {
		if s.Peer().Role != RoleEntry {
			continue
		}
		answer, err := e.peers.Ask(ctx, s, wire.Fetch{Name: askRoster + pool})
		if err == nil && answer.Found {
			if err := e.roster.Import(pool, answer.Bytes); err != nil {
				e.log.Warn("hosts of peer not taken", "peer", s.Peer().Process, "error", err)
			}
		}
	}
}
