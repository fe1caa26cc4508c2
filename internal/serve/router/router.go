// Package router puts a process together that takes callers by host and path:
// what it follows in the platform's store, its sessions with its peers, the
// pools that it hosts, and the gate that serves callers.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/view"
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
	Clock    *clock.Clock
	Log      *log.Logger
	Registry prometheus.Registerer
	Store    *store.Store
	Dialect  Dialect
	Bounds   gate.Bounds
}

const (
	// leastRest and mostRest bound the pause between two reads of the endpoints'
	// changes, so that those of a zone that leaves or returns are read together.
	// What leaves must be known within two seconds. Each change is read by every
	// process, and each read is paid for.
	leastRest  = 120 * clock.Millis(1)
	mostRest   = 850 * clock.Millis(1)
	memberRest = 250 * clock.Millis(1)
	// memberWait may be long: a new process is reached by those that know it,
	// and whoever is gone is noticed by its session.
	memberWait = 10 * clock.Second
	sweepEvery = 250 * clock.Millis(1)
)

// Gateway is one such process.
type Gateway struct {
	Settings
	incarnation token.Incarnation
	began       clock.Millis
	table       atomic.Pointer[table.Table]
	book        *view.Book
	bookLock    sync.Mutex
	back        clock.Millis // when the store came back last
	member      atomic.Bool  // whether this process is listed

	gate  *gate.Gate
	mesh  *mesh.Mesh
	host  *host.Host
	feeds struct{ config, endpoints, emptied, members *feed.Feed }

	jobs sync.Map // questions of peers: jobKey to *host.Job
	// handed holds the results that peers were handed lately.
	handed handed
	group  sync.WaitGroup
	stop   context.CancelFunc
}

// New builds a gateway; Start sets it to work. Its calls end with the context.
func New(ctx context.Context, settings Settings) *Gateway {
	g := &Gateway{Settings: settings, incarnation: token.NewIncarnation(), began: settings.Clock.Now(), book: view.New()}
	g.gate = gate.New(gate.Settings{
		Clock: g.Clock, Log: g.Log, Spelling: g.Dialect.Spelling, Registry: g.Registry, Zone: g.Zone,
		Table: g.table.Load, View: g.book.Now, Starting: g.starting,
	})
	g.SetBounds(settings.Bounds)
	g.host = host.New(ctx, host.Settings{
		Clock: g.Clock, Log: g.Log, Spelling: g.Dialect.Spelling, Table: g.table.Load, View: g.book.Now,
		Conns: g.gate.Conns, Retry: g.gate.PieceExtras().Take, Earn: g.gate.PieceExtras().Earn, Meter: host.NewMeter(g.Registry),
	})
	g.mesh = mesh.New(ctx, mesh.Member{Name: g.Name, Address: g.Address, Incarnation: g.incarnation, Zone: g.Zone, Capacity: g.Capacity},
		mesh.WithClock(g.Clock), mesh.WithLog(g.Log), mesh.WithPieces(g.takePieces, g.dropPieces),
		mesh.WithUnused(g.host.Unused),
		mesh.WithLoads(g.loads, g.told), mesh.WithPrefixes(g.gate.TakePrefixes), mesh.WithRefused(g.gate.TakeRefused), mesh.WithLost(g.abandon, g.clear), mesh.WithRelease(g.release, func() { g.feeds.config.Again() }))
	g.gate.Join(g.mesh, g.host)
	g.makeFeeds()
	return g
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
func (g *Gateway) Alive() []string { return g.mesh.Alive() }

// Peers returns the number of open sessions with other processes.
func (g *Gateway) Peers() int { return g.mesh.Sessions() }

// Open returns the number of requests that are not finished.
func (g *Gateway) Open() int64 { return g.gate.Open() }

// SetBounds changes what may change while the process runs.
func (g *Gateway) SetBounds(bounds gate.Bounds) { g.gate.SetBounds(bounds) }

func (g *Gateway) release() uint64 {
	if routes := g.table.Load(); routes != nil {
		return routes.Version
	}
	return 0
}

func (g *Gateway) makeFeeds() {
	common := []feed.Option{feed.WithClock(g.Clock), feed.WithLog(g.Log), feed.WithWait(g.watchWait), feed.WithOutage(feed.NewOutage())}
	with := func(kind string, more ...feed.Option) *feed.Feed {
		return feed.New(kind, g.Store, append(append([]feed.Option{}, common...), more...)...)
	}
	g.feeds.config = with(g.Dialect.ConfigKind, feed.WithList(g.listConfig), feed.WithChanges(g.changeConfig))
	g.feeds.endpoints = with(g.Dialect.EndpointKind, feed.WithRest(g.endpointRest),
		feed.WithList(g.listEndpoints), feed.WithChanges(g.changeEndpoints))
	zones := newNames(func(names []string) { g.setEmptied(names) })
	g.feeds.emptied = with(g.Dialect.EmptiedKind, feed.WithList(zones.list), feed.WithChanges(zones.change))
	members := newMembers(g.setMembers)
	g.feeds.members = with(g.Dialect.MemberKind, feed.WithRest(func() clock.Millis { return memberRest }),
		feed.WithWait(func() clock.Millis { return memberWait }), feed.WithList(members.list), feed.WithChanges(members.change))
}

const (
	// leastWait is how long a watch waits in a small fleet. A change must be in
	// force within two seconds, also if the store has forgotten the watch.
	leastWait = 900 * clock.Millis(1)
	// mostWait bounds the wait in a large one.
	mostWait = 20 * clock.Second
	// watchers is how many processes' watches together end in leastWait; all
	// others hear from them. It keeps the calls to the store the same however
	// large the fleet is.
	watchers = 4
)

// endpointRest grows with the fleet: each change is read by every process, and
// each read is paid for.
func (g *Gateway) endpointRest() clock.Millis {
	return min(leastRest*clock.Millis(max(len(g.mesh.Alive()), watchers))/watchers, mostRest)
}

// watchWait spreads the watches of all processes over time: each call that
// returns is paid for, and whoever notices a change tells all others.
func (g *Gateway) watchWait() clock.Millis { return watchSpan(len(g.mesh.Alive()), rand.Float64()) }

// watchSpan returns how long a watch waits in a fleet of so many processes, by a
// number from 0 to 1. A change wakes all watches at once, and the next one may
// come while the store forgets them: drawn from the least wait on, some watch of
// a large fleet still ends soon, while the mean, and so the calls to the store,
// stay the same. Drawn around the mean, the first of many may end after seconds,
// and keys that have been taken away work until then.
func watchSpan(processes int, draw float64) clock.Millis {
	mean := leastWait * clock.Millis(max(processes, watchers)) / watchers
	spread := 2*(mean-leastWait) + leastWait/2
	return min(leastWait*3/4+clock.Millis(draw*float64(spread)), mostWait)
}

// Start begins to follow the store and to work. Stop ends it.
func (g *Gateway) Start(ctx context.Context) {
	ctx, g.stop = context.WithCancel(ctx)
	for _, run := range []func(context.Context){
		g.feeds.config.Run, g.feeds.endpoints.Run, g.feeds.emptied.Run, g.feeds.members.Run,
		g.host.Run, g.mesh.Run, g.sweep, g.enlist,
	} {
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
	g.gate.Leave()
	g.mesh.Leave()
	g.host.Retire()
}

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
