// Package deploy carries out rollouts: operators order that a pool go to another
// version of its endpoints, and the processes find out together whether the
// version is sound.
//
// Each process sends a part of its own requests to the candidate, counts the
// answers of both versions, and judges the sums of all processes; see
// route/canary. None asks another one on a request's path, and one that finds the
// candidate bad stops by itself. The owner of a rollout alone records how it ends,
// by conditional writes, so that two owners for a moment do no harm.
package deploy

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// tickEvery is how often rollouts are judged and planned.
	tickEvery = 100 * clock.Millis(1)
	// firstPause and longestPause bound the pause after a write that failed.
	firstPause   = 250 * clock.Millis(1)
	longestPause = clock.Second
	// writeTimeout bounds one write.
	writeTimeout = clock.Second
)

// Codec is how a platform writes rollouts.
type Codec struct {
	// DecodeFunc decodes an operator's order and what was recorded of it; no status
	// has no state.
	DecodeFunc func(name string, order, status []byte) (canary.Order, canary.Status, error)
	EncodeFunc func(canary.Status) ([]byte, error)
}

// Peers are the other processes, as a Controller sees them.
type Peers struct {
	// OwnsFunc reports whether this process owns a subject, TrialsFunc returns the
	// sums of what the others count.
	OwnsFunc   func(subject string) bool
	TrialsFunc func() []wire.Trial
	// UpToDateFunc reports whether these sums are new.
	UpToDateFunc func() bool
}

// Controller carries out the rollouts of all pools.
type Controller struct {
	clock    *clock.Clock
	log      *log.Logger
	wall     func() int64
	store    *store.Store
	kind     string
	codec    Codec
	bounds   canary.Bounds
	meter    *meter
	peers    Peers
	viewFunc func() *view.Snapshot
	// setFunc puts in force which versions get work.
	setFunc func([]view.Rollout)
	// knownFunc reports whether a pool is in use, repeatsFunc whether requests of one
	// of its routes may run again.
	knownFunc   func(pool string) bool
	repeatsFunc func(pool, route string) bool

	running atomic.Pointer[map[string]*rollout]

	mu sync.Mutex
	// byName holds all orders that can be read, by the name of their object.
	byName map[string]*rollout
	listed bool
}

// Option changes a Controller while it is built.
type Option func(*Controller)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(o *Controller) { o.clock = c } }

// WithWallClock sets the wall clock, in milliseconds.
func WithWallClock(wall func() int64) Option { return func(o *Controller) { o.wall = wall } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(o *Controller) { o.log = l } }

// WithRegistry sets where metrics are registered.
func WithRegistry(r prometheus.Registerer) Option {
	return func(o *Controller) { o.meter = newMeter(r) }
}

// WithBounds sets what a candidate may get before it is decided.
func WithBounds(bounds canary.Bounds) Option { return func(o *Controller) { o.bounds = bounds } }

// WithPeers sets the other processes.
func WithPeers(peers Peers) Option { return func(o *Controller) { o.peers = peers } }

// WithPools sets which pools are in use, and which of their routes' requests may
// run again.
func WithPools(known func(pool string) bool, repeats func(pool, route string) bool) Option {
	return func(o *Controller) { o.knownFunc, o.repeatsFunc = known, repeats }
}

// WithView sets the endpoints, and who puts in force which versions get work.
func WithView(now func() *view.Snapshot, set func([]view.Rollout)) Option {
	return func(o *Controller) { o.viewFunc, o.setFunc = now, set }
}

// New returns a controller of the rollouts that a store holds as objects of one
// kind. Run sets it to work.
func New(kind string, in *store.Store, codec Codec, opts ...Option) *Controller {
	c := &Controller{
		kind: kind, store: in, codec: codec, clock: clock.New(), log: log.New(io.Discard), byName: make(map[string]*rollout),
		wall:     func() int64 { return time.Now().UnixMilli() },
		meter:    newMeter(prometheus.NewRegistry()),
		viewFunc: func() *view.Snapshot { return nil }, setFunc: func([]view.Rollout) {},
		knownFunc: func(string) bool { return true }, repeatsFunc: func(string, string) bool { return false },
		peers: Peers{
			OwnsFunc: func(string) bool { return true }, TrialsFunc: func() []wire.Trial { return nil },
			UpToDateFunc: func() bool { return true },
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.running.Store(&map[string]*rollout{})
	return c
}

// List takes all orders as the store lists them.
func (c *Controller) List(objects []store.Object, _ clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	there := make(map[string]bool, len(objects))
	for _, object := range objects {
		there[object.Name] = true
		c.put(object, !c.listed)
	}
	for name := range c.byName {
		if !there[name] {
			c.remove(name)
		}
	}
	c.listed = true
	c.publish()
}

// Change takes orders that were written or removed.
func (c *Controller) Change(changes []store.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			c.remove(change.Object.Name)
			continue
		}
		c.put(change.Object, false)
	}
	c.publish()
}

// put takes one order, and whether it may be older than this process; the caller
// holds the lock.
func (c *Controller) put(object store.Object, old bool) {
	known := c.byName[object.Name]
	if known != nil && known.revision >= object.Version {
		return
	}
	name := object.Name[strings.LastIndex(object.Name, "/")+1:]
	order, status, err := c.codec.DecodeFunc(name, object.Value, object.Status)
	if err != nil {
		c.meter.event(name, "unreadable")
		c.log.Warn("rollout ignored", "pool", name, "revision", object.Version, logs.KeyError, err)
		c.remove(object.Name)
		return
	}
	if known == nil || known.order != order {
		known = newRollout(object.Name, order, c.clock.Now())
		if old && status.Order == order && status.State == canary.Running {
			since := clock.Millis(c.wall() - status.StartedAt)
			known.began -= min(max(since, 0), order.Duration)
			known.restarted = true
		}
		c.byName[object.Name] = known
		c.log.Info("rollout ordered", "pool", order.Pool, "version", order.Version, "durationMs", int64(order.Duration),
			"revision", object.Version, "state", string(status.State))
	}
	if status.Order != order {
		// It is of an order before this one. What that came to is in force.
		previous := status.Previous
		if status.State == canary.Completed {
			previous = status.Version
		}
		status = canary.Status{Order: order, Previous: previous, Earlier: status.History()}
	}
	if known.status.State != status.State {
		c.meter.event(order.Pool, string(status.State))
		c.log.Info("rollout recorded", "pool", order.Pool, "version", order.Version, "previous", status.Previous,
			"state", string(status.State), "reason", status.Reason, "revision", object.Version, "elapsedMs", int64(c.clock.Now()-known.began))
	}
	known.status, known.revision = status, object.Version
}

// remove forgets an order; the caller holds the lock.
func (c *Controller) remove(name string) {
	if known := c.byName[name]; known != nil {
		delete(c.byName, name)
		c.log.Info("rollout removed", "pool", known.order.Pool, "version", known.order.Version)
	}
}

// publish puts the rollouts in force; the caller holds the lock.
func (c *Controller) publish() {
	running := make(map[string]*rollout)
	var all []view.Rollout
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		r := c.byName[name]
		own := view.Rollout{
			Pool: r.order.Pool, Version: r.order.Version, Previous: r.status.Previous,
			Completed: r.status.State == canary.Completed, Canary: r.status.State == canary.Running && !r.suspended.Load(),
		}
		all = append(all, own)
		if r.status.State == canary.Running {
			running[r.order.Pool] = r
		}
	}
	c.running.Store(&running)
	c.setFunc(all)
}

// of returns the rollout of a pool that is running, nil for none. A nil Controller
// has none.
func (c *Controller) of(pool string) *rollout {
	if c == nil {
		return nil
	}
	return (*c.running.Load())[pool]
}

// DrawCandidate reports whether a new request is to be tried at the candidate version.
func (c *Controller) DrawCandidate(pool, route string) bool {
	r := c.of(pool)
	if r == nil || r.suspended.Load() || !r.inTouch.Load() {
		return false
	}
	share := r.plan.Load().Share(route)
	return share > 0 && rand.Float64() < share
}

// Promoted reports whether all new requests of a route go to the candidate.
func (c *Controller) Promoted(pool, route string) bool {
	r := c.of(pool)
	return r != nil && !r.suspended.Load() && r.inTouch.Load() && r.plan.Load().Share(route) >= 1
}

// ActiveCandidates returns the endpoints among some of the candidate version that requests
// are tried at now.
func (c *Controller) ActiveCandidates(pool string, candidates []*view.Endpoint) []*view.Endpoint {
	r := c.of(pool)
	if r == nil || len(candidates) == 0 {
		return nil
	}
	tried := canary.ActiveEndpoints(r.plan.Load().DefaultShare, len(candidates))
	first := canary.FirstActive(c.clock.Since(r.began), tried, len(candidates))
	some := make([]*view.Endpoint, 0, tried)
	for i := range tried {
		some = append(some, candidates[(first+i)%len(candidates)])
	}
	return some
}

// Begin counts requests that are sent to an endpoint of a pool and are expected to
// take so long, in milliseconds. It returns nil if no rollout of the pool runs.
func (c *Controller) Begin(e *view.Endpoint, route string, count int64, expected float64) *Attempt {
	r := c.of(e.Pool)
	if r == nil {
		return nil
	}
	key := wire.TrialKey{Pool: r.order.Pool, Version: r.order.Version, Route: route}
	if e.Version == r.order.Version {
		key.Candidate, key.Endpoint = true, e.ID
	}
	now := c.clock.Now()
	a := &Attempt{controller: c, rollout: r, key: key, began: now, expected: expected, fresh: e.Cold(now) || now-e.Joined < warmUp}
	r.counter(key).sent.Add(count)
	if key.Candidate {
		c.meter.sent(key.Pool, key.Version)
	}
	r.open.Store(a, struct{}{})
	return a
}

// Trials returns what this process has counted.
func (c *Controller) Trials() []wire.Trial {
	var all []wire.Trial
	now := c.clock.Now()
	for _, r := range *c.running.Load() {
		all = append(all, r.trials(now)...)
	}
	return all
}

// Run judges, plans and records until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for c.clock.Sleep(ctx, tickEvery) == nil {
		for _, r := range c.all() {
			c.tick(ctx, r)
		}
	}
}

func (c *Controller) all() []*rollout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.byName))
}
