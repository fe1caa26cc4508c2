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
	// gatherTimeout is how long the start waits for the platform and a peer to
	// answer, once it has a configuration.
	gatherTimeout  = 1 * clock.Second
	gatherInterval = 10 * clock.Millis(1)
	importInterval = 500 * clock.Millis(1)
	// maxAnnounceAll is the number of sessions up to which every release is sent
	// to every peer. With more sessions, agents whose part is unchanged get the
	// release number with the next frame.
	maxAnnounceAll = 64
	// rosterPrefix is followed by a pool. The document holds the hosts of the pool
	// in the roster of a peer.
	rosterPrefix = "roster/"
)

// Entry is the node of an entry. It gets the configuration from the platform or
// from peers, serves it to peers and agents, and chooses the sessions to hold.
type Entry struct {
	base
	learner  *spread.Learner
	follower *spread.Follower
	roster   *roster.Roster
	links    *peer.Links
	// address is the process's own address, which it must not dial.
	address          string
	peerAnswered     atomic.Bool
	platformAnswered atomic.Bool
	previous         atomic.Pointer[spread.Release]
}

// NewEntry returns the node of an entry. The option WithCaller is required.
func NewEntry(self store.Host, holder *spread.Holder, opts ...Option) *Entry {
	e := &Entry{base: newBase(newOptions(opts), avail.Place{AvailabilityZone: self.AvailabilityZone}, holder), address: self.Address}
	e.learner = spread.NewLearner(holder, spread.WithCheck(e.check),
		spread.WithAccepted(e.releaseAccepted), spread.WithRegisterer(e.registerer))
	e.roster = roster.New(self, e.caller.Store(call.Roster), roster.WithClock(e.clock),
		roster.WithPools(e.pools), roster.WithChanged(e.updateSessions), roster.WithSize(e.sizeOr(roster.DefaultSize)),
		roster.WithRegisterer(e.registerer))
	e.follower = spread.NewFollower(e.learner, e.caller.Store(call.Zone), e.caller.Store(call.Config),
		spread.WithWatch(e.roster.IsWatcher), spread.WithFollowClock(e.clock), spread.WithFollowLog(e.log),
		spread.WithFollowRegisterer(e.registerer))
	e.syncer = peer.NewSyncer(e.clock, e.learner.Number, e.fetchConfig, e.follower.Trigger)
	e.peers = peer.New(holder.Number, peer.WithServe(e.serve), peer.WithNewerRelease(e.syncer.NewerRelease), peer.WithBeat(e.handleBeat))
	e.links = peer.NewLinks(e.clock, e.dial)
	return e
}

func (e *Entry) sizeOr(defaultSize int) int {
	if e.size == 0 {
		return defaultSize
	}
	return e.size
}

// Run starts the node. It stops when the context ends; see Done.
func (e *Entry) Run(ctx context.Context) {
	e.setPeers(ctx, e.seeds)
	e.run(ctx, e.gather, e.follower.Run, func(ctx context.Context) {
		e.roster.Run(ctx)
		e.links.Wait()
	}, e.importHosts)
}

// gather waits for the newest configuration from the platform and from peers
// before one comes into force. A single read can be stale and return an old one.
func (e *Entry) gather(ctx context.Context) {
	e.group.Go(func() {
		_, answered := e.follower.Read(ctx)
		e.platformAnswered.Store(answered)
	})
	deadline := e.clock.Now() + gatherTimeout
	for {
		complete := e.platformAnswered.Load() && (len(e.seeds) == 0 || e.peerAnswered.Load())
		if e.learner.Number() > 0 && (complete || e.clock.Now() >= deadline) {
			break
		}
		if e.clock.Sleep(ctx, gatherInterval) != nil {
			return
		}
	}
	e.learner.Activate()
}

// releaseAccepted passes a new release to the callback and announces it to the
// peers.
func (e *Entry) releaseAccepted(release *spread.Release) {
	old := e.previous.Swap(release)
	e.accepted(release)
	e.roster.Trigger()
	sessions := e.peers.Sessions()
	changed := make(map[string]bool)
	for _, s := range sessions {
		pool := s.Peer().Pool
		if _, known := changed[pool]; !known {
			changed[pool] = pool == "" || len(sessions) <= maxAnnounceAll || !spread.SamePart(old, release, pool)
		}
		if changed[pool] {
			peer.SendRelease(s)
		}
	}
}

// fetchConfig gets the configuration from a peer that has a newer release. An
// agent has only a part of it, so in that case the head is read from the
// platform.
func (e *Entry) fetchConfig(ctx context.Context, s *sess.Session) error {
	if s.Peer().Role == RoleAgent {
		e.follower.Trigger()
		if e.learner.Number() == 0 {
			return nil
		}
		_, _ = e.follower.Read(ctx)
		return nil
	}
	err := e.peers.FetchConfig(ctx, s, e.learner)
	if err != nil {
		e.log.Debug("configuration of peer not accepted", "peer", s.Peer().Process, "error", err)
	}
	return err
}

func (e *Entry) serve(fetch *wire.Fetch) *wire.Section {
	pool, isRoster := strings.CutPrefix(fetch.Name, rosterPrefix)
	if !isRoster {
		return e.learner.Serve(fetch)
	}
	raw, err := e.roster.Export(pool)
	return &wire.Section{Name: fetch.Name, Found: err == nil, Bytes: raw}
}

// SessionOpened adds a session to a process. The address (host:port) is empty if
// the peer dialled.
func (e *Entry) SessionOpened(s *sess.Session, address string) {
	if e.roster.SessionOpened(address, s.Peer().Incarnation) {
		e.log.Info("process restarted", "process", s.Peer().Process, "address", address)
	}
	e.sessionOpened(s)
}

// SessionClosed removes a session.
func (e *Entry) SessionClosed(s *sess.Session, address string) {
	e.peers.Remove(s)
	e.roster.SessionEnded(address)
}

// NewerRelease records that a peer has a newer release.
func (e *Entry) NewerRelease(s *sess.Session, release uint64) { e.syncer.NewerRelease(s, release) }

// HandleFrame handles a frame from an agent that belongs to no request.
func (e *Entry) HandleFrame(s *sess.Session, frame *wire.Frame) { e.peers.HandleFrame(s, frame) }

// handlePeerFrame handles each frame from another entry.
func (e *Entry) handlePeerFrame(s *sess.Session, frame *wire.Frame) {
	e.peerAnswered.Store(true)
	e.peers.HandleFrame(s, frame)
}

// Accept serves a session that another entry opens. It returns after the session
// has ended.
func (e *Entry) Accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	s, err := sess.Accept(ctx, w, r, e.sessionOptions()...)
	if err != nil {
		e.log.Warn("session refused", "from", r.RemoteAddr, "error", err)
		return
	}
	e.sessionOpened(s)
	<-s.Done()
	e.peers.Remove(s)
}

func (e *Entry) sessionOptions() []sess.Option {
	return append(slices.Clone(e.session),
		sess.WithClock(e.clock), sess.WithRelease(e.holder.Number), sess.WithOutside(e.Outside),
		sess.WithHandler(e.handlePeerFrame))
}

// dial opens a session to another entry and waits until it ends.
func (e *Entry) dial(ctx context.Context, address string) error {
	s, err := sess.Dial(ctx, address, e.sessionOptions()...)
	if err != nil {
		return err
	}
	e.SessionOpened(s, address)
	<-s.Done()
	e.SessionClosed(s, address)
	return nil
}

// updateSessions receives the hosts to hold sessions to. It passes endpoints on to
// the callback and connects to the entries itself.
func (e *Entry) updateSessions(pool string, hosts []store.Host) {
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
	e.setPeers(context.Background(), addresses)
}

func (e *Entry) setPeers(ctx context.Context, addresses []string) {
	e.links.SetAddresses(ctx, slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == e.address }))
}

// pools returns the names of all pools in the manifest.
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

// importHosts requests hosts from peers for each pool without known hosts, so
// that a process can start during an outage of the platform.
func (e *Entry) importHosts(ctx context.Context) {
	for e.clock.Sleep(ctx, importInterval) == nil {
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
		answer, err := e.peers.Fetch(ctx, s, wire.Fetch{Name: rosterPrefix + pool})
		if err == nil && answer.Found {
			if err := e.roster.Import(pool, answer.Bytes); err != nil {
				e.log.Warn("hosts of peer not imported", "peer", s.Peer().Process, "error", err)
			}
		}
	}
}
