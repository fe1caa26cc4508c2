// Package gate routes callers' requests by host and path and sends each to an endpoint of
// its route's pool. It checks the API key and the limits, runs the stages that precede the
// request, chooses the endpoint and passes its answer on unchanged. A request without an
// answer gets a refusal that states whether the request may have run.
package gate

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/push"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/extra"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
	"github.com/jujubescale/jujubescale/internal/flow/recall"
	"github.com/jujubescale/jujubescale/internal/guard/door"
	"github.com/jujubescale/jujubescale/internal/guard/grace"
	"github.com/jujubescale/jujubescale/internal/guard/spare"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/unread"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/internal/serve/detect"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
	"github.com/jujubescale/jujubescale/internal/serve/proof"
	"github.com/jujubescale/jujubescale/internal/serve/resume"
	"github.com/jujubescale/jujubescale/internal/serve/speeds"
	"github.com/jujubescale/jujubescale/internal/serve/spool"
	"github.com/jujubescale/jujubescale/internal/serve/target"
	"github.com/jujubescale/jujubescale/internal/serve/upload"
)

// Settings configure a Gate.
type Settings struct {
	Clock    *clock.Clock
	Log      *log.Logger
	Codec    *spell.Codec
	Registry prometheus.Registerer
	// Name of this process, and its availability zone.
	Name string
	Zone string
	// View returns the current endpoints, nil before the first were read.
	View func() *view.Snapshot
	// Starting reports whether the first read of the routes and endpoints is under way, Informed whether this process
	// knows what its peers know and the store has lost, and CatchingUp whether it has just stood still.
	Starting, Informed, CatchingUp func() bool
	// StartShare returns the share of a limit of starts per second at a warm endpoint, in a pool of a number of endpoints.
	StartShare func(limit float64, endpoints int) float64
	// DialFunc opens the connections to endpoints; nil for conn.Dial.
	DialFunc conn.DialFunc
	// Permits holds what endpoints state.
	Permits *permit.Book
	// Config holds the configuration that decides requests and what proves it.
	Config *proof.Book
	// Origins finds the version that began a stream.
	Origins *resume.Tracker
	// Detector finds out which endpoints crashed.
	Detector *detect.Detector
	// Deploy runs the rollouts; nil without rollouts.
	Deploy *deploy.Controller
	// ReuseFunc is host.Settings.ReuseFunc. It also shortens the unused part of idle
	// timeouts for idempotent routes, and divides the connections of an endpoint by use.
	ReuseFunc func(*view.Endpoint) bool
	// Uploads reads the bodies of requests.
	Uploads *upload.Book
	// Spool and Push limit what is held for slow callers and endpoints, Spare refuses what
	// the host can't serve; nil without limits.
	Spool *spool.Book
	Push  *push.Book
	Spare *spare.Book
	// Door learns what requests take.
	Door *door.Book
}

// Bounds are the limits that can be changed while a Gate serves.
type Bounds struct {
	// ExtraShare is the share of a pool's requests that all processes together may send a
	// second time. ExtraSpare is the number of further repeats allowed in each ExtraWindow.
	ExtraShare  float64
	ExtraSpare  float64
	ExtraWindow clock.Millis
	// ColdShare is the factor by which the rate of a cold endpoint may be exceeded, and
	// ColdSpare the number of requests allowed in one burst on top of that.
	ColdShare float64
	ColdSpare float64
}

// Gate serves callers' requests.
type Gate struct {
	Settings
	mesh        *mesh.Mesh
	host        *host.Host
	meter       *Meter
	targets     *target.Set
	retryBudget *extra.Budget
	// pieceRetryBudget is the budget of the pools that this process owns.
	pieceRetryBudget *extra.Budget
	prefixes         *target.Prefixes
	subsets          subsets
	arrivals         *inflow.Tracker
	refusals         *recall.Refusals
	limits           *permit.Book
	unread           *unread.Fields
	routeStats       reach.Routes
	speeds           *speeds.Tracker
	// admitted is the share of requests admitted over all routes with stages.
	admitted reach.Admissions
	bounds   atomic.Pointer[Bounds]
	stop     grace.Book
	open     *grace.Open
}

// New returns a gate. Attach must be called before it serves.
func New(settings Settings) *Gate {
	g := &Gate{
		Settings: settings, meter: NewMeter(settings.Registry), arrivals: inflow.New(), refusals: recall.New(),
		speeds: speeds.New(speeds.WithClock(settings.Clock), speeds.WithLog(settings.Log), speeds.WithRegistry(settings.Registry), speeds.WithView(settings.View)),
		unread: unread.New(unread.WithLog(settings.Log), unread.WithRegistry(settings.Registry)), open: grace.NewOpen(settings.Clock),
	}
	g.bounds.Store(&Bounds{})
	g.limits = cmp.Or(settings.Permits, permit.New())
	g.Detector = cmp.Or(settings.Detector, detect.New(detect.WithClock(settings.Clock), detect.WithLog(settings.Log)))
	g.Door = cmp.Or(settings.Door, door.New(door.Limits{}, nil))
	g.Origins = cmp.Or(settings.Origins, resume.New(resume.WithClock(settings.Clock)))
	g.targets = target.NewSet(target.Settings{
		Clock: g.Clock, Log: g.Log, Registry: g.Registry, Table: g.Config.Table, Check: g.limits.Check, ByUse: g.reuses, Push: g.Push, DialFunc: g.DialFunc,
		Processes: func() int { return g.mesh.Count() }, UpToDate: func() bool { return g.mesh.UpToDate() },
	})
	g.prefixes = target.NewPrefixes(g.targets)
	g.retryBudget = extra.New(g.Clock, g.budgetBounds, func() int { return g.mesh.Count() })
	g.pieceRetryBudget = extra.New(g.Clock, g.budgetBounds, func() int { return g.View().MaxShards() + 1 })
	g.subsets.process, g.subsets.zone = settings.Name, settings.Zone
	g.subsets.processes = func() int { return g.mesh.Count() }
	return g
}

func (g *Gate) reuses(e *view.Endpoint) bool { return g.ReuseFunc != nil && g.ReuseFunc(e) }

// SetBounds replaces the limits; it can be called while the gate serves.
func (g *Gate) SetBounds(bounds Bounds) { g.bounds.Store(&bounds) }

// NotDraining reports whether no planned stop has begun.
func (g *Gate) NotDraining() bool { return !g.stop.Draining() }

// Sweep drops the state of removed endpoints and closes unused connections.
func (g *Gate) Sweep() {
	g.targets.Sweep()
	g.speeds.Refresh()
	g.limits.Sweep(g.View().Find)
	g.Spool.Sweep()
	g.Uploads.Sweep()
}

// ObserveAnswer records what the head of an endpoint's answer says about the endpoint, and
// returns it. The request was sent at an instant.
func (g *Gate) ObserveAnswer(e *view.Endpoint, reply *conn.Reply, request string, sentAt clock.Millis) spell.ResponseInfo {
	info := g.Codec.ResponseInfoFunc(reply.Header)
	g.limits.Observe(e, reply.Status, info, request, sentAt)
	g.speeds.Observe(e, &info)
	if names := g.Codec.UnreadFunc(reply.Header); len(names) > 0 {
		g.unread.Record(e.ID, names)
	}
	return info
}

// EachUsedEndpoint calls visit for every endpoint that this process has used, with the
// number of running requests to report.
func (g *Gate) EachUsedEndpoint(visit func(e *view.Endpoint, running int64)) { g.targets.Each(visit) }

// SubsetEndpoints returns the ids of the endpoints in this process's subsets, or nil while
// it uses every pool as a whole.
func (g *Gate) SubsetEndpoints() []string { return g.subsets.endpointIDs(g.View(), g.Config.Table()) }

// Speeds returns the speeds of the endpoints.
func (g *Gate) Speeds() *speeds.Tracker { return g.speeds }

// Send sends a request to an endpoint.
func (g *Gate) Send(ctx context.Context, e *view.Endpoint, request *conn.Request) (*conn.Reply, error) {
	return g.targets.Get(e).Send(ctx, request)
}

func (g *Gate) budgetBounds() extra.Bounds {
	bounds := g.bounds.Load()
	return extra.Bounds{Share: bounds.ExtraShare, Base: bounds.ExtraSpare, Window: bounds.ExtraWindow}
}

// PieceRetryBudget returns the budget for repeated pieces at the stage engines of pools
// that this process owns. The owners of a pool's shards share it; when a shard changes its
// owner, the previous owner briefly uses it too.
func (g *Gate) PieceRetryBudget() *extra.Budget { return g.pieceRetryBudget }

// UnsentPrefixes returns the prompt prefixes used here that peers have not been sent yet.
func (g *Gate) UnsentPrefixes() []wire.PrefixUse { return g.prefixes.TakeUnsent() }

// PendingArrivals returns the pieces that open requests will send to stage engines.
func (g *Gate) PendingArrivals() []inflow.Load { return g.arrivals.Loads(g.Clock.Now()) }

// AddPeerPrefixes records the prompt prefixes that a peer reported.
func (g *Gate) AddPeerPrefixes(uses []wire.PrefixUse) { g.prefixes.Apply(uses, g.View().Find) }

// Attach sets the mesh of peer processes and the host of the pools that this process owns.
func (g *Gate) Attach(m *mesh.Mesh, h *host.Host) { g.mesh, g.host = m, h }

// Handler serves callers. It accepts every method and path, because the routes are
// configured at run time.
func (g *Gate) Handler() http.Handler { return http.HandlerFunc(g.serve) }

// ReadyHandler serves the readiness check of the platform: 200 if the process accepts
// callers, else 503.
func (g *Gate) ReadyHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(g.Codec.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// Ready reports whether this process can serve: routes and endpoints are loaded and no
// planned stop has begun. It stays true while the store is unreachable, because the loaded
// data remains valid.
func (g *Gate) Ready() bool {
	return g.NotDraining() && g.mayServe()
}

func (g *Gate) mayServe() bool {
	return g.Config.Table() != nil && g.View().Complete() && (g.Informed == nil || g.Informed())
}

// StartDrain begins a planned stop. The process reports that it is not ready, and its
// answers request that callers close their connections and reconnect to another process. From now on it refuses
// requests that are not expected to end before cutAt, when Wait cuts them; 0 if it never does.
func (g *Gate) StartDrain(cutAt clock.Millis) {
	g.stop.Start(cutAt)
	g.limits.Leave()
}

// RefuseNew makes the gate refuse every request that arrives from now on.
func (g *Gate) RefuseNew() { g.stop.RefuseNew() }

// OpenRequests returns the number of requests that have not ended.
func (g *Gate) OpenRequests() int64 { return g.open.Count() }

// Wait returns once no request is open. When the context ends first, it cancels the
// remaining requests and returns their number.
func (g *Gate) Wait(ctx context.Context) int64 { return g.open.Wait(ctx) }

func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	defer g.open.Begin()()
	if !g.NotDraining() {
		w.Header().Set("Connection", "close")
	}
	began := g.Clock.Now()
	g.Door.Begin(began)
	g.awaitReady(r.Context())
	req, refused := g.accept(w, r, began)
	received := len(req.body.Bytes)
	defer func() {
		g.Door.End(received, req.status < http.StatusInternalServerError)
		req.body.Release()
	}()
	if refused == nil {
		refused = g.refuseUnended(req, grace.Arrived) // its body may have taken long
	}
	if refused != nil {
		upload.Drain(w, r)
		g.refuse(w, req, refused)
		return
	}
	ctx, w, abort := g.Spool.Wrap(r.Context(), w, req.Request)
	defer abort()
	ctx, cancel := context.WithTimeout(ctx, (req.deadline + answerMargin - began).Duration())
	defer cancel()
	stop := context.AfterFunc(g.open.Context(), cancel)
	defer stop()
	g.run(ctx, w, req)
	if spool.Finish(w) != nil {
		panic(http.ErrAbortHandler) // the caller has a part of the answer
	}
}

const (
	// maxStartWait bounds how long a request waits while the process loads its
	// configuration. Loading takes less than this even on a host with an eighth of a
	// processor and a slow link.
	maxStartWait = 600 * clock.Millis(1)
	startPoll    = 20 * clock.Millis(1)
)

// awaitReady waits up to maxStartWait while the process starts or catches up. If it starts and can't
// reach the store, or refuses all requests, it returns at once and the request is refused.
func (g *Gate) awaitReady(ctx context.Context) {
	until := g.Clock.Now() + maxStartWait
	for !g.stop.Refusing() && (g.CatchingUp != nil && g.CatchingUp() || !g.Ready() && g.NotDraining() && g.Starting()) && g.Clock.Now() < until {
		if g.Clock.Sleep(ctx, startPoll) != nil {
			return // the caller closed the connection; later steps detect that too
		}
	}
}

// answerMargin is added to the deadline for an endpoint's answer: an endpoint that stops at
// the deadline sends a failure of its own, which is more precise than a refusal sent here.
const answerMargin = 60 * clock.Millis(1)
