// Package router assembles the process that routes requests by host and path: it
// connects the feeds that follow the platform's store, the sessions with peers,
// the pools that this process owns, and the gate that serves callers.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/stall"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/guard/door"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/skip"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/internal/route/subset"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/internal/serve/detect"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
	"github.com/jujubescale/jujubescale/internal/serve/gate"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/intake"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
	"github.com/jujubescale/jujubescale/internal/serve/proof"
	"github.com/jujubescale/jujubescale/internal/serve/resume"
)

// Dialect describes how a platform's store names and encodes the objects that a Gateway
// follows.
type Dialect struct {
	Codec *spell.Codec
	// Kinds of objects: the configuration, the endpoints, the availability zones
	// that operators have evacuated, and the gateways.
	ConfigKind, EndpointKind, EvacuatedKind, MemberKind string
	// QuarantineKind is the kind of the objects that record crashes under a request.
	QuarantineKind string
	// OriginKind is the kind of the objects that record where streams began.
	OriginKind string
	// RolloutKind is the kind of operators' orders to roll out another version to a
	// pool; Rollouts decodes and encodes them.
	RolloutKind string
	Rollouts    deploy.Codec
	// ConfigName is the name of the object that holds the newest configuration.
	ConfigName string
	TableFunc  func(raw []byte) (*table.Table, error)
	EntryFunc  func(name string, raw []byte) (view.Entry, error)
}

// Settings configures a Gateway.
type Settings struct {
	Name string
	Zone string
	// Address is the IP:port at which this process accepts the sessions of peers.
	Address string
	// Capacity is the number of processors of its host that this process may use, which may be a
	// fraction. It decides which processes own pools, and how many new connections are accepted.
	Capacity float64
	// ProcessorFunc returns the processor time that this process has used, in seconds; nil if it is unknown.
	ProcessorFunc func() float64
	// ChangeWithin is the time within which a change in the store must be in force.
	// LeaveWithin is the time after which an endpoint that is drained must get no new
	// requests.
	ChangeWithin clock.Millis
	LeaveWithin  clock.Millis
	// DialFunc opens the connections of sessions with peers; nil for a plain dialer.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
	// EndpointDialFunc opens the connections to endpoints; nil for conn.Dial.
	EndpointDialFunc conn.DialFunc

	Clock    *clock.Clock
	Log      *log.Logger
	Registry prometheus.Registerer
	Store    *store.Store
	Dialect  Dialect
	Bounds   gate.Bounds
	// LinkMbps is the bandwidth of the host's link in megabits per second. If it is 0, only bodies of
	// requests are limited: MemoryMb is its memory in megabytes and MaxFds the number of its file
	// descriptors, 0 without limit.
	LinkMbps float64
	MemoryMb float64
	MaxFds   int
	// MaxConnections is the number of callers' connections that may be open, 0 without limit.
	MaxConnections int
	// Rollouts enables rollouts: endpoints then get requests by their version. A
	// candidate gets at most RolloutBounds before the rollout is decided.
	Rollouts      bool
	RolloutBounds canary.Bounds
	// ReuseCalls lets connections to stage engines carry several calls, with ReuseSharedOnly
	// only those of pools whose endpoints state that they share their hosts.
	ReuseCalls      bool
	ReuseSharedOnly bool
	// HandOver makes a process that stops hand its pools over to their successors.
	HandOver bool
}

// reuses reports whether connections to an endpoint carry several calls.
func (s *Settings) reuses(e *view.Endpoint) bool {
	return s.ReuseCalls && (!s.ReuseSharedOnly || e.Load.LearnedSlowdown() > 0)
}

const (
	// memberReadPause is the pause between two reads of changes of the member list. It
	// limits the number of calls, because each call to the store is charged for.
	memberReadPause = 250 * clock.Millis(1)
	sweepInterval   = 250 * clock.Millis(1)
)

// feeds holds one feed for each kind of objects that a gateway follows in the store.
type feeds struct {
	config, endpoints, evacuated, members, quarantines *feed.Feed
	// rollouts is nil if rollouts are disabled.
	rollouts *feed.Feed
}

func (f *feeds) all() feed.Set {
	all := feed.Set{f.config, f.endpoints, f.evacuated, f.members, f.quarantines}
	if f.rollouts != nil {
		all = append(all, f.rollouts)
	}
	return all
}

// Gateway is a process that routes requests by host and path.
type Gateway struct {
	Settings
	incarnation token.Incarnation
	startedAt   clock.Millis
	// config holds the configuration in force and what proves it.
	config      *proof.Book
	intake      *intake.Intake
	endpoints   *view.Registry
	endpointsMu sync.Mutex
	storeBackAt clock.Millis             // when the store was reachable again after its last outage
	owning      atomic.Bool              // whether this process has begun to own pools
	listed      atomic.Bool              // whether the store's member list holds this process
	memberCount atomic.Int64             // the number of processes in that list
	compared    compared                 // which peers have stated their configuration since the store was restored
	statedPools atomic.Pointer[[]string] // the shared pools that the entry of this process states
	refreshedAt atomic.Int64             // when refreshConfig last requested the configuration
	// membersChanged wakes register.
	membersChanged chan struct{}
	inform         inform

	gate *gate.Gate
	// origins holds at which software versions streams began.
	origins *resume.Tracker
	// detector holds which endpoints crashed under which requests.
	detector *detect.Detector
	mesh     *mesh.Mesh
	host     *host.Host
	meter    *meter
	// share divides limits of the whole fleet by the requests that processes get.
	share subset.Share
	// skipped counts objects of the store that can't be read.
	skipped *skip.Book
	stall   *stall.Watch
	// deploy carries out rollouts; nil if they are disabled.
	deploy *deploy.Controller
	limits hostLimits
	// door decides on new connections of callers; doorLogged is when it was last logged.
	door       *door.Book
	doorLogged atomic.Int64
	feeds      feeds

	jobs      sync.Map // requests of peers: jobKey to *host.Job
	handovers handovers
	// delivered holds the results that were recently sent to peers.
	delivered deliveredResults
	group     sync.WaitGroup
	stop      context.CancelFunc
	baseCtx   context.Context
}

// New returns a gateway that is not running yet. Its calls to endpoints and peers end
// with the context.
func New(ctx context.Context, settings Settings) *Gateway {
	g := &Gateway{Settings: settings, incarnation: token.NewIncarnation(), startedAt: settings.Clock.Now(), baseCtx: ctx, membersChanged: make(chan struct{}, 1)}
	g.config = proof.New(ctx, g.ChangeWithin, clock.Millis(callShare*float64(g.ChangeWithin)), proof.WithClock(g.Clock), proof.WithLog(g.Log),
		proof.WithStore(proof.Store{
			AwayFunc:    func() clock.Millis { return g.feeds.config.AwayFor() },
			OverdueFunc: func() clock.Millis { return g.feeds.config.OverdueFor() },
			RefusedFunc: func() bool { return g.feeds.config.Refused() },
			RunsForFunc: func() clock.Millis { return g.stall.RunsFor() },
			SourceFunc:  func() string { return g.mesh.Upstream() }, RoleFunc: func() string { return g.mesh.Role() },
		}))
	g.intake = intake.New(g.Dialect.ConfigKind+"/"+g.Dialect.ConfigName, g.config, g.Dialect.TableFunc,
		intake.WithClock(g.Clock), intake.WithLog(g.Log), intake.WithInForce(func() { g.startOwningIfReady() }))
	g.stall = stall.New(stall.WithClock(g.Clock), stall.WithLog(g.Log), stall.WithAlone(g.isAlone))
	g.skipped = skip.New(skip.WithLog(g.Log), skip.WithRegistry(g.Registry))
	g.meter = newMeter(settings.Registry, g.config.Age, g.Store.Era, g.lostObjects)
	g.makeEndpoints()
	g.limits = g.newHostLimits(ctx)
	g.origins = g.newOrigins()
	g.detector = detect.New(detect.WithClock(g.Clock), detect.WithLog(g.Log), detect.WithRegistry(g.Registry),
		detect.WithPeers(detect.Peers{
			Self: g.Name, OwnerFunc: func(subject string) string { return g.mesh.Owner(subject) }, ReportFunc: func() { g.mesh.ReportNow() },
			AskFunc: func(ctx context.Context, to string, request *wire.PermitRequest) (*wire.Permit, error) {
				return g.mesh.RequestPermit(ctx, to, request)
			},
		}))
	g.gate = gate.New(gate.Settings{
		Clock: g.Clock, Log: g.Log, Codec: g.Dialect.Codec, Registry: g.Registry, Name: g.Name, Zone: g.Zone,
		Config: g.config, StartShare: g.startShare, View: g.endpoints.Snapshot, Starting: g.starting, Informed: g.isInformed, CatchingUp: g.stall.CatchingUp, Deploy: g.deploy,
		ReuseFunc: g.reuses, DialFunc: g.EndpointDialFunc,
		Permits:  g.newPermits(),
		Origins:  g.origins,
		Detector: g.detector,
		Uploads:  g.limits.uploads, Spool: g.limits.spool, Push: g.limits.push, Spare: g.limits.spare, Door: g.door,
	})
	g.SetBounds(settings.Bounds)
	g.host = host.New(ctx, host.Settings{
		Clock: g.Clock, Log: g.Log, Codec: g.Dialect.Codec, Table: g.config.Table, View: g.endpoints.Snapshot,
		SendFunc: g.gate.Send, Retry: g.gate.PieceRetryBudget().Take, Earn: g.gate.PieceRetryBudget().Earn, Meter: host.NewMeter(g.Registry),
		RetryAll: g.gate.PieceRetryBudget().TakeMany, ReuseFunc: g.reuses,
		Deploy: g.deploy, ObserveFunc: g.gate.ObserveAnswer, LimitFunc: g.gate.Limits().Limit, UnavailableFunc: g.gate.Limits().Unavailable, RestFunc: g.gate.Limits().Rest,
		OwnsFunc: func(name string) bool { return g.owns(name) },
	})
	g.mesh = mesh.New(ctx, mesh.Member{Name: g.Name, Address: g.Address, Incarnation: g.incarnation, Zone: g.Zone, Capacity: g.Capacity},
		mesh.WithClock(g.Clock), mesh.WithLog(g.Log), mesh.WithPieces(g.acceptPieces, g.cancelPieces),
		mesh.WithUnused(g.host.MarkUnused), mesh.WithHandovers(g.takeHandover),
		mesh.WithLoads(g.collectLoads, g.setPeerWork), mesh.WithPrefixes(g.gate.AddPeerPrefixes), mesh.WithRefused(g.gate.AddPeerRefusals),
		mesh.WithCrashes(g.detector.AddPeers), mesh.WithLimits(g.gate.Limits().ApplyPeer, g.answerPermitRequest),
		mesh.WithSpeeds(g.gate.Speeds().ApplyPeers), mesh.WithOrigins(g.origins.Take, g.origins.Answer, g.origins.Search), mesh.WithLost(g.abandonRequests, g.reclaimResults), mesh.WithIgnored(g.meter.countIgnored), mesh.WithFollower(g.follower()),
		mesh.WithRelease(g.config.Version, g.comparePeer), mesh.WithBulk(g.limits.bulk), mesh.WithSession(g.sessionOptions()...))
	g.gate.Attach(g.mesh, g.host)
	g.makeFeeds()
	return g
}

func (g *Gateway) sessionOptions() []sess.Option {
	if g.DialFunc == nil {
		return nil
	}
	return []sess.Option{sess.WithDial(g.DialFunc)}
}

// answerPermitRequest answers a peer that asks for a permit of an endpoint or for the trial of
// parts of a prompt.
func (g *Gateway) answerPermitRequest(request *wire.PermitRequest) *wire.Permit {
	if request.Trial != nil {
		return g.detector.AnswerTrial(request.Trial)
	}
	return g.gate.Limits().Grant(request)
}

// makeEndpoints creates the registry of endpoints and, if rollouts are enabled, the
// controller that carries them out.
func (g *Gateway) makeEndpoints() {
	if !g.Rollouts {
		g.endpoints = view.New()
		return
	}
	g.endpoints = view.New(view.WithVersions())
	g.deploy = deploy.New(g.Dialect.RolloutKind, g.Store, g.Dialect.Rollouts,
		deploy.WithClock(g.Clock), deploy.WithLog(g.Log), deploy.WithRegistry(g.Registry), deploy.WithBounds(g.RolloutBounds),
		deploy.WithView(g.endpoints.Snapshot, g.setRollouts),
		deploy.WithPools(g.hasPool, g.isRepeatable),
		deploy.WithPeers(deploy.Peers{
			OwnsFunc: func(subject string) bool { return g.mesh.Owns(subject) }, TrialsFunc: func() []wire.Trial { return g.mesh.Trials() },
			UpToDateFunc: func() bool { return g.mesh.UpToDate() },
		}))
}

// startupTime is the time that a process may take after its start to read routes and
// endpoints while the store is reachable. Processes that start at the same time
// share the store's capacity.
const startupTime = 1500 * clock.Millis(1)

func (g *Gateway) starting() bool {
	return g.Clock.Since(g.startedAt) < startupTime && !g.feeds.config.Down() && !g.feeds.endpoints.Down()
}

// Incarnation returns the identifier of this run of the process.
func (g *Gateway) Incarnation() string { return g.incarnation.String() }

// Handler returns the handler of callers' requests.
func (g *Gateway) Handler() http.Handler { return g.gate.Handler() }

// ReadyHandler returns the handler that reports to the load balancer whether this
// process takes requests.
func (g *Gateway) ReadyHandler() http.Handler { return g.gate.ReadyHandler() }

// SessionHandler returns the handler that accepts the sessions of peers.
func (g *Gateway) SessionHandler() http.Handler { return g.mesh.Handler() }

// Alive returns the names of the processes that this one can reach.
func (g *Gateway) Alive() []string { return g.mesh.LiveProcesses() }

// Owner returns the name of the process that owns a subject, as computed from the
// processes that this one can reach.
func (g *Gateway) Owner(subject string) string { return g.mesh.Owner(subject) }

// Sessions returns the number of open sessions with other processes.
func (g *Gateway) Sessions() int { return g.mesh.Sessions() }

// KnownEndpoints returns the number of endpoints of a pool that this process knows.
func (g *Gateway) KnownEndpoints(pool string) int { return len(g.endpoints.Snapshot().Pool(pool)) }

// OpenRequests returns the number of requests that are not finished.
func (g *Gateway) OpenRequests() int64 { return g.gate.OpenRequests() }

// SetBounds replaces the bounds, also while the process runs.
func (g *Gateway) SetBounds(bounds gate.Bounds) { g.gate.SetBounds(bounds) }

// comparePeer takes the version of the configuration that a peer states in each message.
func (g *Gateway) comparePeer(peer string, version uint64) {
	own := g.config.Version()
	if version > own {
		g.config.RecordPeer(version)
		g.refreshConfig()
	}
	era, restored := g.config.Era()
	if version < own && len(g.feeds.config.Lost()) > 0 {
		g.compared.recordLack(peer, era)
	}
	if restored && g.compared.record(peer, g.Name, era) {
		g.config.RecordCompared(era)
	}
}

// refreshConfig is called when a peer has a newer configuration. It reads the
// configuration from the store unless a peer relays changes, because then the newer
// one usually arrives without a call.
func (g *Gateway) refreshConfig() {
	now, last := g.Clock.Now(), g.refreshedAt.Load()
	if g.feeds.config.Relayed() || now-clock.Millis(last) < minRefreshPause || !g.refreshedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	g.feeds.config.RequestList()
}

// minRefreshPause is the shortest pause between two reads because a peer has a newer configuration.
// The store may not have it: after it came back from a copy, only processes know it.
const minRefreshPause = 300 * clock.Millis(1)

// watchWait returns how long a call waits for changes that have to be known within a limit.
func watchWait(limit clock.Millis) clock.Millis { return clock.Millis(watchWaitShare * float64(limit)) }

// unlessSeekingPeers returns a pause that is left out while this process seeks peers.
func (g *Gateway) unlessSeekingPeers(pause func() clock.Millis) func() clock.Millis {
	return func() clock.Millis {
		if g.seeksPeers() {
			return 0
		}
		return pause()
	}
}

func (g *Gateway) makeFeeds() {
	common := []feed.Option{
		feed.WithClock(g.Clock), feed.WithLog(g.Log), feed.WithOutage(feed.NewOutage()), feed.WithBackoff(g.longestStoreBackoff),
		feed.WithForward(g.mesh.Forward), feed.WithSkipped(g.recordSkipped), feed.WithIncarnation(g.incarnation),
	}
	newFeed := func(kind string, limit clock.Millis, more ...feed.Option) *feed.Feed {
		wait := watchWait(limit)
		own := []feed.Option{
			feed.WithMaxAge(clock.Millis(maxAgeShare * float64(limit))),
			feed.WithWait(func() clock.Millis { return randomWatchWait(wait, rand.Float64()) }),
			feed.WithPeerWait(func() clock.Millis { return g.relayTimeout(wait) }, g.firstListDelay),
		}
		return feed.New(kind, g.Store, slices.Concat(common, own, more)...)
	}
	pause := clock.Millis(readPauseShare * float64(g.LeaveWithin))
	g.feeds.config = newFeed(g.Dialect.ConfigKind, g.ChangeWithin, feed.WithList(g.intake.TakeList), feed.WithChanges(g.intake.TakeChanges),
		feed.WithRestore(g.intake.Restore()), feed.WithProof(g.intake.Confirm), feed.WithOneObject())
	g.feeds.endpoints = newFeed(g.Dialect.EndpointKind, g.LeaveWithin, feed.WithPause(func() clock.Millis { return pause }),
		feed.WithList(g.onEndpointList), feed.WithChanges(g.onEndpointChanges), feed.WithRestore(g.restoreEndpoints()))
	zones := newNames(func(names []string) { g.setEvacuated(names) })
	g.feeds.evacuated = newFeed(g.Dialect.EvacuatedKind, g.ChangeWithin, feed.WithList(zones.onList), feed.WithChanges(zones.onChanges),
		feed.WithRestore(feed.Restore{KeepMissing: keepLostEvacuation}))
	members, memberWait := newMembers(g.setMembers, g.skipped), watchWait(g.ChangeWithin)
	g.feeds.members = newFeed(g.Dialect.MemberKind, g.ChangeWithin,
		feed.WithPause(g.unlessSeekingPeers(func() clock.Millis { return memberReadPause })),
		feed.WithPeerWait(g.unlessSeekingPeers(func() clock.Millis { return g.relayTimeout(memberWait) }), g.firstListDelay),
		feed.WithList(members.onList), feed.WithChanges(members.onChanges), feed.WithRestore(feed.Restore{KeepMissing: keepLostMember}))
	quarantines := newQuarantines(g.detector, g.skipped)
	g.feeds.quarantines = newFeed(g.Dialect.QuarantineKind, quarantineChangeWithin, feed.WithoutAge(),
		feed.WithList(quarantines.onList), feed.WithChanges(quarantines.onChanges), feed.WithRestore(restoreQuarantines()))
	if g.deploy != nil {
		g.feeds.rollouts = newFeed(g.Dialect.RolloutKind, g.ChangeWithin, feed.WithList(g.deploy.List), feed.WithChanges(g.deploy.Change),
			feed.WithRestore(g.restoreRollouts()))
	}
}

// Shares of the time within which a change must be in force. If the store loses its
// watches, a process can only detect that when the wait of its watch is over; it
// reads the list then.
const (
	// watchWaitShare is the mean wait of a watch, readPauseShare the pause between
	// two reads of changes of endpoints.
	watchWaitShare = proof.LongestWatch * 8 / 9
	readPauseShare = 0.1
	// upstreamAgeShare is the highest age of the progress of a peer that is used as
	// upstream, and maxAgeShare the age above which relayed progress is not used at
	// all. A watcher whose own progress is older than watcherAgeShare is cut off from
	// the store. upstreamAgeShare is longer than a watch and a pause together;
	// otherwise a process would change its upstream all the time.
	upstreamAgeShare = 0.65
	maxAgeShare      = 0.75
	watcherAgeShare  = 0.9
	// callShare is left for a call to the store, from its start until the change is in force: at an age
	// of maxAgeShare the process calls the store. A denial waits as long for the answer.
	callShare = 1 - maxAgeShare
)

// WatchMargin is the time that a watch call may take in addition to its wait. A watch without
// a reply is given up after it.
const WatchMargin = 450 * clock.Millis(1)

const (
	// backoffPerProcess is the time that each process of the fleet adds to the longest
	// pause after a failed call, within minLongestBackoff and maxLongestBackoff. It
	// keeps the total rate of calls to an unreachable store the same for 30 and for
	// 300 processes.
	backoffPerProcess = 60 * clock.Millis(1)
	minLongestBackoff = 800 * clock.Millis(1)
	maxLongestBackoff = 6 * clock.Second
	// firstPeerWait is the time for which a starting process waits for the lists from
	// its peers before it reads them from the store. It checks for the member list
	// every peerPollInterval.
	firstPeerWait    = 350 * clock.Millis(1)
	peerPollInterval = 10 * clock.Millis(1)
	// startupPeerWait is the pause after the first read of a list while a process
	// starts. Processes that start at the same time have registered by then.
	startupPeerWait = 400 * clock.Millis(1)
)

// randomWatchWait returns the wait of one watch, between 7/8 and 9/8 of the mean, for
// a random number from 0 to 1. A change wakes all watches at once. If the store loses
// the watches that follow, a change after that shows only when a watch ends. Waits of
// different lengths let some watch end soon.
func randomWatchWait(mean clock.Millis, random float64) clock.Millis {
	return mean*7/8 + clock.Millis(random*float64(mean/4))
}

// relayTimeout returns how long this process waits for changes from its peers before
// it reads the store. Watchers do not wait, because all others read changes through
// them. When all processes start at once, each finds no other one in the member list
// at first, so that a starting process waits for the others before it watches.
func (g *Gateway) relayTimeout(wait clock.Millis) clock.Millis {
	switch {
	case g.Clock.Since(g.startedAt) < startupTime:
		return startupPeerWait
	case g.mesh.IsWatcher():
		return 0
	}
	return wait
}

// firstListDelay returns how long a feed waits for its list from peers when its
// process starts. It blocks until the member list was read, at most firstPeerWait.
// The member list itself is read at once. When many processes start at once, those
// that relay changes to others read the other lists without delay, too.
func (g *Gateway) firstListDelay(kind string) clock.Millis {
	if kind == g.Dialect.MemberKind {
		return 0
	}
	for start := g.Clock.Now(); g.Clock.Since(start) < firstPeerWait; {
		if g.feeds.members.Listed() {
			if g.mesh.MayRelay() {
				return 0
			}
			return firstPeerWait - g.Clock.Since(start)
		}
		if g.Clock.Sleep(g.baseCtx, peerPollInterval) != nil {
			return 0
		}
	}
	return 0
}

// longestStoreBackoff returns the longest pause after a failed call to the store. It
// is short for watchers, because all others read changes through them.
func (g *Gateway) longestStoreBackoff() clock.Millis {
	if g.mesh.IsWatcher() {
		return minLongestBackoff
	}
	return min(max(backoffPerProcess*clock.Millis(g.mesh.Count()), minLongestBackoff), maxLongestBackoff)
}

// Start follows the store and runs the gateway in the background until Stop is called
// or the context ends.
func (g *Gateway) Start(ctx context.Context) {
	ctx, g.stop = context.WithCancel(ctx)
	runs := []func(context.Context){g.intake.Run, g.stall.Run, g.host.Run, g.mesh.Run, g.sweep, g.register, g.detector.Run, g.gate.Limits().Run, g.origins.Run, g.origins.RunStorage, g.syncQuarantines}
	for _, f := range g.feeds.all() {
		runs = append(runs, f.Run)
	}
	if g.deploy != nil {
		runs = append(runs, g.deploy.Run)
	}
	for _, run := range runs {
		g.group.Add(1)
		go func() {
			defer g.group.Done()
			run(ctx)
		}()
	}
}

// Stop ends the gateway at once, without a drain.
func (g *Gateway) Stop() {
	if g.stop != nil {
		g.stop()
	}
	g.mesh.Stop()
	g.group.Wait()
}

// StartDrain begins a planned stop that cuts open requests at an instant, never if it is 0: the
// process is no longer ready, hands over its pools and owns none. It returns once the successors have confirmed the handovers, within
// handoverTimeout.
// It stays in the member list until Deregister, so that a process that starts
// meanwhile connects to it and can be the owner for the requests that are still open
// here.
func (g *Gateway) StartDrain(cutAt clock.Millis) {
	g.gate.StartDrain(cutAt)
	if g.HandOver {
		g.handOver()
	}
	g.mesh.StopOwning()
	g.origins.HandOver()
	g.host.Retire()
}

// RefuseNew refuses all new requests. It is called after StartDrain, so that callers
// use another process, where the stop does not cut their requests.
func (g *Gateway) RefuseNew() { g.gate.RefuseNew() }

// Wait returns when no request is open. It cuts the requests that are still open when
// the context ends, and returns their number.
func (g *Gateway) Wait(ctx context.Context) int64 { return g.gate.Wait(ctx) }

// sweep periodically removes expired endpoints and the gate's state of removed ones.
func (g *Gateway) sweep(ctx context.Context) {
	for g.Clock.Sleep(ctx, sweepInterval) == nil {
		g.endpointsMu.Lock()
		changes := g.endpoints.Expire(g.Clock.Now())
		if len(changes) > 0 {
			g.endpoints.Publish()
		}
		g.endpointsMu.Unlock()
		g.handleChanges(changes)
		g.gate.Sweep()
		g.config.Check(clock.Millis(maxAgeShare * float64(g.ChangeWithin)))
		for _, f := range g.feeds.all() {
			f.Expire()
		}
	}
}
