// Package gate takes requests by host and path and brings each to an endpoint
// of its route's pool: it checks key and limits, runs the stages that go
// before, chooses the endpoint, passes the answer on unchanged, and says
// truthfully what became of a request that gets none.
package gate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/flow/extra"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
	"github.com/jujubescale/jujubescale/internal/flow/recall"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/place"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// Settings are what a Gate needs.
type Settings struct {
	Clock    *clock.Clock
	Log      *log.Logger
	Spelling *spell.Spelling
	Registry prometheus.Registerer
	// Name of this process, and the availability zone that it stands in.
	Name string
	Zone string
	// Table and View return the newest routes and endpoints, nil before the first.
	Table func() *table.Table
	View  func() *view.Snapshot
	// Starting reports whether routes and endpoints are being read for the first
	// time and will probably be there in a moment.
	Starting func() bool
	// Deploy carries out rollouts, nil where there are none.
	Deploy *deploy.Controller
}

// Bounds are what may change while a Gate serves.
type Bounds struct {
	// ExtraShare is the part of a pool's requests that may be sent once more,
	// over all processes, and ExtraSpare how many besides within ExtraWindow.
	ExtraShare  float64
	ExtraSpare  float64
	ExtraWindow clock.Millis
	// ColdShare is how far the rate of a cold endpoint may be exceeded, and
	// ColdSpare how many requests may come at once besides.
	ColdShare float64
	ColdSpare float64
}

// Gate serves callers.
type Gate struct {
	Settings
	mesh    *mesh.Mesh
	host    *host.Host
	meter   *Meter
	targets *target.Set
	extras  *extra.Budget
	// pieceExtras are those of the pools that this process owns.
	pieceExtras *extra.Budget
	prefixes    *target.Prefixes
	subsets     subsets
	inflow      *inflow.Tracker
	recall      *recall.Refusals
	crashes     *crash.Tracker
	watch       *crashWatch
	routes      byName[routeRecord]
	// rates holds how fast the engines of each pool read prompts.
	rates byName[place.Rate]
	// admitted counts the requests of all routes with stages.
	admitted reach.Admissions
	bounds   atomic.Pointer[Bounds]
	leaving  atomic.Bool
	refusing atomic.Bool
	open     sync.WaitGroup
	count    atomic.Int64
	cut      context.Context
	cutAll   context.CancelFunc
}

// New returns a gate. Join it to its mesh and host before it serves.
func New(settings Settings) *Gate {
	g := &Gate{
		Settings: settings, meter: NewMeter(settings.Registry), inflow: inflow.New(), recall: recall.New(),
		crashes: crash.New(), watch: newCrashWatch(),
	}
	g.bounds.Store(&Bounds{})
	g.targets = target.NewSet(g.Clock, g.mostConns, g.meter.dialed)
	g.prefixes = target.NewPrefixes(g.targets)
	g.extras = extra.New(g.Clock, g.extraBounds, func() int { return g.mesh.Count() })
	g.pieceExtras = extra.New(g.Clock, g.extraBounds, func() int { return g.View().MaxShards() + 1 })
	g.subsets.process, g.subsets.zone = settings.Name, settings.Zone
	g.subsets.processes = func() int { return g.mesh.Count() }
	g.cut, g.cutAll = context.WithCancel(context.Background())
	return g
}

// SetBounds changes what may change while the gate serves.
func (g *Gate) SetBounds(bounds Bounds) { g.bounds.Store(&bounds) }

// NotDraining reports whether no planned stop has begun.
func (g *Gate) NotDraining() bool { return !g.leaving.Load() }

// Sweep forgets endpoints that are gone and closes unused connections.
func (g *Gate) Sweep() { g.targets.Sweep() }

// EachUsedEndpoint calls visit for every endpoint that this process has used.
func (g *Gate) EachUsedEndpoint(visit func(*view.Endpoint)) { g.targets.Each(visit) }

// SubsetEndpoints returns the endpoints that this process uses normally, nil while it uses
// all of every pool.
func (g *Gate) SubsetEndpoints() []string { return g.subsets.interest(g.View(), g.Table()) }

// Conns returns the connections to an endpoint.
func (g *Gate) Conns(e *view.Endpoint) *conn.Group { return g.targets.Of(e).Conns }

func (g *Gate) extraBounds() extra.Bounds {
	bounds := g.bounds.Load()
	return extra.Bounds{Share: bounds.ExtraShare, Base: bounds.ExtraSpare, Window: bounds.ExtraWindow}
}

// PieceRetryBudget returns the budget for pieces that are sent once more to the
// stage engines of pools that this process owns. The owners of a pool's shards
// share it, and for some moments the owner before one of them.
func (g *Gate) PieceRetryBudget() *extra.Budget { return g.pieceExtras }

// UnsentPrefixes returns what peers have not been told yet of prompts that were sent.
func (g *Gate) UnsentPrefixes() []wire.PrefixUse { return g.prefixes.Untold() }

// PendingArrivals returns what requests under way will ask stage engines for.
func (g *Gate) PendingArrivals() []inflow.Load { return g.inflow.Loads(g.Clock.Now()) }

// AddPeerPrefixes remembers what a peer sent.
func (g *Gate) AddPeerPrefixes(uses []wire.PrefixUse) { g.prefixes.Take(uses, g.View().Find) }

// mostConns is this process's part of the connections that an endpoint accepts
// from everybody; an eighth is left for processes that start just now.
func (g *Gate) mostConns(name string) int {
	routes := g.Table()
	if routes == nil {
		return 1
	}
	pool := routes.Pool(name)
	if pool == nil || pool.MaxConns == 0 {
		return 1
	}
	return max(pool.MaxConns*7/8/max(g.mesh.Count(), 1), 2)
}

// Attach sets the processes that pools are shared with, and the host of the
// pools that this process owns.
func (g *Gate) Attach(m *mesh.Mesh, h *host.Host) { g.mesh, g.host = m, h }

// Handler serves callers: every method and path, since routes decide.
func (g *Gate) Handler() http.Handler { return http.HandlerFunc(g.serve) }

// ReadyHandler tells the platform whether this process takes callers.
func (g *Gate) ReadyHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(g.Spelling.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

// Ready reports whether this process can serve: it knows routes and endpoints
// and no planned stop has begun. It stays ready while the store is away,
// because what it knows goes on being right.
func (g *Gate) Ready() bool {
	return !g.leaving.Load() && g.Table() != nil && g.View().Complete()
}

// StartDrain begins a planned stop: the process is not ready any more, and asks
// callers to open new connections, which lead elsewhere.
func (g *Gate) StartDrain() { g.leaving.Store(true) }

// RefuseNew has requests refused that come from now on.
func (g *Gate) RefuseNew() { g.refusing.Store(true) }

// OpenRequests returns the number of requests that are not finished.
func (g *Gate) OpenRequests() int64 { return g.count.Load() }

// Wait returns once no request is open, or cuts those that are left when the
// context ends; it returns how many were cut.
func (g *Gate) Wait(ctx context.Context) int64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.open.Wait()
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
	}
	left := g.count.Load()
	g.cutAll()
	ended, forget := g.Clock.After(cutTime)
	defer forget()
	select {
	case <-done:
	case <-ended:
	}
	return left
}

// cutTime is how long requests that were cut may take to end: one whose body does
// not arrive ends only with its connection.
const cutTime = 150 * clock.Millis(1)

func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	g.count.Add(1)
	defer g.open.Done()
	defer g.count.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	began := g.Clock.Now()
	g.awaitReady(r.Context())
	req, refused := g.accept(w, r, began)
	if refused == nil && g.refusing.Load() {
		refused = fault.Refuse(fault.Leaving, "the process is being stopped")
	}
	if refused != nil {
		g.refuse(w, req, refused)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (req.deadline + answerMargin - began).Duration())
	defer cancel()
	stop := context.AfterFunc(g.cut, cancel)
	defer stop()
	g.run(ctx, w, req)
}

const (
	// startWait is how long a request waits for a process that is just reading
	// what it needs: longer than that takes on a host with an eighth of a processor
	// and a slow link.
	startWait = 600 * clock.Millis(1)
	startLook = 20 * clock.Millis(1)
)

// awaitReady waits a little while the process starts. One that does not reach
// the store refuses at once.
func (g *Gate) awaitReady(ctx context.Context) {
	until := g.Clock.Now() + startWait
	for !g.Ready() && !g.leaving.Load() && g.Starting() && g.Clock.Now() < until {
		if g.Clock.Sleep(ctx, startLook) != nil {
			return // the caller left; what follows notices it, too
		}
	}
}

// answerMargin is how long after the deadline the answer of an endpoint may
// still arrive that stopped at it: its own failure says more than one of ours.
const answerMargin = 60 * clock.Millis(1)
