// Package router puts a process together that takes callers by host and path:
// what it follows in the platform's store, its sessions with its peers, the
// pools that it hosts, and the gate that serves callers.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
	"github.com/jujubescale/jujubescale/internal/serve/gate"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// Dialect is how a platform writes what the gateway follows in its store.
type Dialect struct {
	Spelling *spell.Spelling
	// Kinds of objects: the configuration, the endpoints, the availability zones
	// that operators have emptied, and the gateways themselves.
	ConfigKind, EndpointKind, EmptiedKind, MemberKind string
	// QuarantineKind is the kind of requests that reach no endpoint any more.
	QuarantineKind string
	// RolloutKind is the kind of operators' orders that a pool go to another version,
	// and Rollouts how they are written.
	RolloutKind string
	Rollouts    deploy.Codec
	// ConfigName is the object that holds the newest configuration.
	ConfigName string
	TableFunc  func(raw []byte) (*table.Table, error)
	EntryFunc  func(name string, raw []byte) (view.Entry, error)
}

// Settings are what a Gateway needs.
type Settings struct {
	Name string
	Zone string
	// Address is where peers open sessions (IP:port).
	Address string
	// Capacity is what this process may use of its host, in parts of a processor;
	// it decides which processes own pools.
	Capacity float64
	// ChangeWithin is the time within which a change in the store must be in force,
	// LeaveWithin that after which an endpoint that leaves gets nothing more.
	ChangeWithin clock.Millis
	LeaveWithin  clock.Millis
	Clock        *clock.Clock
	Log          *log.Logger
	Registry     prometheus.Registerer
	Store        *store.Store
	Dialect      Dialect
	Bounds       gate.Bounds
	// Rollouts says that endpoints get work by their version, which rollouts change
	// within RolloutBounds.
	Rollouts      bool
	RolloutBounds canary.Bounds
}

const (
	// memberRest is the pause between two reads of the members' changes: each is
	// paid for.
	memberRest = 250 * clock.Millis(1)
	sweepEvery = 250 * clock.Millis(1)
)

// feeds are what a gateway follows in the store.
type feeds struct {
	config, endpoints, emptied, members, quarantines *feed.Feed
	// rollouts is nil where endpoints get work whatever their version is.
	rollouts *feed.Feed
}

func (f *feeds) all() []*feed.Feed {
	all := []*feed.Feed{f.config, f.endpoints, f.emptied, f.members, f.quarantines}
	if f.rollouts != nil {
		all = append(all, f.rollouts)
	}
	return all
}

// Gateway is one such process.
type Gateway struct {
	Settings
	incarnation token.Incarnation
	began       clock.Millis
	table       atomic.Pointer[table.Table]
	book        *view.Registry
	bookLock    sync.Mutex
	back        clock.Millis // when the store came back last
	member      atomic.Bool  // whether this process is listed

	gate  *gate.Gate
	mesh  *mesh.Mesh
	host  *host.Host
	meter *meter
	// deploy carries out rollouts, nil where there are none.
	deploy *deploy.Controller
	feeds  feeds

	jobs sync.Map // requests of peers: jobKey to *host.Job
	// handed holds the results that peers were handed lately.
	handed handed
	group  sync.WaitGroup
	stop   context.CancelFunc
	base   context.Context
}

// New builds a gateway; Start sets it to work. Its calls end with the context.
func New(ctx context.Context, settings Settings) *Gateway {
	g := &Gateway{Settings: settings, incarnation: token.NewIncarnation(), began: settings.Clock.Now(), base: ctx, meter: newMeter(settings.Registry)}
	g.makeBook()
	g.gate = gate.New(gate.Settings{
		Clock: g.Clock, Log: g.Log, Spelling: g.Dialect.Spelling, Registry: g.Registry, Name: g.Name, Zone: g.Zone,
		Table: g.table.Load, View: g.book.Snapshot, Starting: g.starting, Deploy: g.deploy,
	})
	g.SetBounds(settings.Bounds)
	g.host = host.New(ctx, host.Settings{
		Clock: g.Clock, Log: g.Log, Spelling: g.Dialect.Spelling, Table: g.table.Load, View: g.book.Snapshot,
		Conns: g.gate.Conns, Retry: g.gate.PieceRetryBudget().Take, Earn: g.gate.PieceRetryBudget().Earn, Meter: host.NewMeter(g.Registry),
		Deploy: g.deploy,
	})
	g.mesh = mesh.New(ctx, mesh.Member{Name: g.Name, Address: g.Address, Incarnation: g.incarnation, Zone: g.Zone, Capacity: g.Capacity},
		mesh.WithClock(g.Clock), mesh.WithLog(g.Log), mesh.WithPieces(g.takePieces, g.dropPieces),
		mesh.WithUnused(g.host.Unused),
		mesh.WithLoads(g.loads, g.setWork), mesh.WithPrefixes(g.gate.AddPeerPrefixes), mesh.WithRefused(g.gate.AddPeerRefusals),
		mesh.WithCrashes(g.gate.AddPeerCrashes),
		mesh.WithLost(g.abandon, g.clear), mesh.WithIgnored(g.meter.ignored), mesh.WithFollower(g.follower()),
		mesh.WithRelease(g.release, g.newerRelease))
	g.gate.Attach(g.mesh, g.host)
	g.makeFeeds()
	return g
}

// makeBook makes the book of endpoints, and what carries out rollouts if there may
// be any.
func (g *Gateway) makeBook() {
	if !g.Rollouts {
		g.book = view.New()
		return
	}
	g.book = view.New(view.WithVersions())
	g.deploy = deploy.New(g.Dialect.RolloutKind, g.Store, g.Dialect.Rollouts,
		deploy.WithClock(g.Clock), deploy.WithLog(g.Log), deploy.WithRegistry(g.Registry), deploy.WithBounds(g.RolloutBounds),
		deploy.WithView(g.book.Snapshot, g.setRollouts),
		deploy.WithPools(g.knowsPool, g.repeats),
		deploy.WithPeers(deploy.Peers{
			OwnsFunc: func(subject string) bool { return g.mesh.Owns(subject) }, TrialsFunc: func() []wire.Trial { return g.mesh.Trials() },
			InTouchFunc: func() bool { return g.mesh.ReceivesReports() },
		}))
}

// startSpan is how long after its start a process may still be reading what it
// needs, with the store in reach: processes that start together share it.
const startSpan = 1500 * clock.Millis(1)

func (g *Gateway) starting() bool {
	return g.Clock.Since(g.began) < startSpan && !g.feeds.config.Down() && !g.feeds.endpoints.Down()
}

// Incarnation tells two runs of a process apart.
func (g *Gateway) Incarnation() string { return g.incarnation.String() }

// Handler serves callers.
func (g *Gateway) Handler() http.Handler { return g.gate.Handler() }

// ReadyHandler tells the balancer whether this process takes callers.
func (g *Gateway) ReadyHandler() http.Handler { return g.gate.ReadyHandler() }

// SessionHandler accepts the sessions of peers.
func (g *Gateway) SessionHandler() http.Handler { return g.mesh.Handler() }

// Alive returns the names of the processes that this one sees.
func (g *Gateway) Alive() []string { return g.mesh.LiveProcesses() }

// Owner returns the process that owns a subject as this one sees it.
func (g *Gateway) Owner(subject string) string { return g.mesh.Owner(subject) }

// Peers returns the number of open sessions with other processes.
func (g *Gateway) Peers() int { return g.mesh.Sessions() }

// Open returns the number of requests that are not finished.
func (g *Gateway) Open() int64 { return g.gate.OpenRequests() }

// SetBounds changes what may change while the process runs.
func (g *Gateway) SetBounds(bounds gate.Bounds) { g.gate.SetBounds(bounds) }

func (g *Gateway) release() uint64 {
	if routes := g.table.Load(); routes != nil {
		return routes.Version
	}
	return 0
}

// newerRelease is called when a peer has a newer configuration. Mostly it is on
// its way here.
func (g *Gateway) newerRelease() {
	if !g.feeds.config.Relayed() {
		g.feeds.config.RequestList()
	}
}

func (g *Gateway) makeFeeds() {
	common := []feed.Option{
		feed.WithClock(g.Clock), feed.WithLog(g.Log), feed.WithOutage(feed.NewOutage()), feed.WithBackoff(g.storeBackoff),
		feed.WithForward(g.mesh.Forward),
	}
	with := func(kind string, bound clock.Millis, more ...feed.Option) *feed.Feed {
		wait := clock.Millis(watchShare * float64(bound))
		own := []feed.Option{
			feed.WithMaxAge(clock.Millis(maxAgeShare * float64(bound))),
			feed.WithWait(func() clock.Millis { return watchSpan(wait, rand.Float64()) }),
			feed.WithPeerWait(func() clock.Millis { return g.relayGrace(wait) }, g.firstWait),
		}
		return feed.New(kind, g.Store, slices.Concat(common, own, more)...)
	}
	rest := clock.Millis(restShare * float64(g.LeaveWithin))
	g.feeds.config = with(g.Dialect.ConfigKind, g.ChangeWithin, feed.WithList(g.listConfig), feed.WithChanges(g.changeConfig))
	g.feeds.endpoints = with(g.Dialect.EndpointKind, g.LeaveWithin, feed.WithPause(func() clock.Millis { return rest }),
		feed.WithList(g.listEndpoints), feed.WithChanges(g.changeEndpoints))
	zones := newNames(func(names []string) { g.setEmptied(names) })
	g.feeds.emptied = with(g.Dialect.EmptiedKind, g.ChangeWithin, feed.WithList(zones.list), feed.WithChanges(zones.change))
	members := newMembers(g.setMembers)
	g.feeds.members = with(g.Dialect.MemberKind, g.ChangeWithin, feed.WithPause(func() clock.Millis { return memberRest }),
		feed.WithList(members.list), feed.WithChanges(members.change))
	quarantines := newQuarantines(g.gate.SetQuarantines)
	g.feeds.quarantines = with(g.Dialect.QuarantineKind, quarantineRead, feed.WithoutAge(),
		feed.WithList(quarantines.list), feed.WithChanges(quarantines.change))
	if g.deploy != nil {
		g.feeds.rollouts = with(g.Dialect.RolloutKind, g.ChangeWithin, feed.WithList(g.deploy.List), feed.WithChanges(g.deploy.Change))
	}
}

// Shares of the time within which a change must be in force. A store that has
// forgotten a watch shows only when its wait is over; the list is read then.
const (
	// watchShare is how long a watch waits on average, restShare the pause between
	// two reads of changes of endpoints.
	watchShare = 0.4
	restShare  = 0.1
	// freshShare is how old the word of a peer that is followed may be, maxAgeShare
	// how old it counts at all, and lostShare how old a watcher's own is once it is
	// cut off. The first is longer than a watch and a pause together: a follower
	// would change its peer all the time otherwise.
	freshShare  = 0.65
	maxAgeShare = 0.75
	lostShare   = 0.9
)

const (
	// backoffEach is what each process of the fleet adds to the longest pause
	// after a failed call: a store that is away is asked as often by three hundred
	// processes as by thirty.
	backoffEach   = 60 * clock.Millis(1)
	leastBackoff  = 800 * clock.Millis(1)
	longestPauses = 6 * clock.Second
	// peersFirst is how long a process that starts waits for what its peers know
	// before it reads the lists, peersLook how often it looks for them.
	peersFirst = 350 * clock.Millis(1)
	peersLook  = 10 * clock.Millis(1)
	// settleWait is the pause after a list while a process starts: the others have
	// listed themselves by then.
	settleWait = 400 * clock.Millis(1)
)

// watchSpan returns how long one watch waits, by a number from 0 to 1. A change
// wakes all watches at once, and the next one may come while the store forgets
// them: drawn from a span, some watch ends soon.
func watchSpan(mean clock.Millis, draw float64) clock.Millis {
	return mean*3/4 + clock.Millis(draw*float64(mean/2))
}

// relayGrace is how long a process awaits its peers' word before it asks the store
// itself. Watchers do not: all others hear from them. When all processes start at
// once, each seems to be alone at first; it looks again who is there before it
// watches anything.
func (g *Gateway) relayGrace(wait clock.Millis) clock.Millis {
	switch {
	case g.Clock.Since(g.began) < startSpan:
		return settleWait
	case g.mesh.IsWatcher():
		return 0
	}
	return wait
}

// firstWait is how long a feed waits for what peers know when its process starts.
// It reads who they are at once. When many start at once, those that others will
// hear from read the other lists at once, too.
func (g *Gateway) firstWait(kind string) clock.Millis {
	if kind == g.Dialect.MemberKind {
		return 0
	}
	for began := g.Clock.Now(); g.Clock.Since(began) < peersFirst; {
		if g.feeds.members.Listed() {
			if g.mesh.MayRelay() {
				return 0
			}
			return peersFirst - g.Clock.Since(began)
		}
		if g.Clock.Sleep(g.base, peersLook) != nil {
			return 0
		}
	}
	return 0
}

// storeBackoff is the longest pause after a failed call to the store. Watchers
// ask often, because all others hear from them.
func (g *Gateway) storeBackoff() clock.Millis {
	if g.mesh.IsWatcher() {
		return leastBackoff
	}
	return min(max(backoffEach*clock.Millis(g.mesh.Count()), leastBackoff), longestPauses)
}

// Start begins to follow the store and to work. Stop ends it.
func (g *Gateway) Start(ctx context.Context) {
	ctx, g.stop = context.WithCancel(ctx)
	runs := []func(context.Context){g.host.Run, g.mesh.Run, g.sweep, g.enlist, g.gate.WatchCrashes, g.keepQuarantines}
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

// Stop ends everything at once.
func (g *Gateway) Stop() {
	if g.stop != nil {
		g.stop()
	}
	g.mesh.Stop()
	g.group.Wait()
}

// Leave begins a planned stop: not ready any more, and no owner of pools. The
// process stays listed until Withdraw: one that starts meanwhile finds it, and
// serves as owner for the requests that are still open here.
func (g *Gateway) Leave() {
	g.gate.StartDrain()
	g.mesh.StopOwning()
	g.host.Retire()
}

// Refuse has requests refused that still come, after Leave: callers are to go
// elsewhere, where nothing cuts them.
func (g *Gateway) Refuse() { g.gate.RefuseNew() }

// Wait returns once no request is open; those that are left when the context
// ends are cut, and counted.
func (g *Gateway) Wait(ctx context.Context) int64 { return g.gate.Wait(ctx) }

// sweep does from time to time what no event asks for.
func (g *Gateway) sweep(ctx context.Context) {
	for g.Clock.Sleep(ctx, sweepEvery) == nil {
		g.bookLock.Lock()
		changes := g.book.Expire(g.Clock.Now())
		if len(changes) > 0 {
			g.book.Publish()
		}
		g.bookLock.Unlock()
		g.logChanges(changes)
		g.gate.Sweep()
	}
}
