// Package deploy executes rollouts: operators order that a pool switches to another
// version of its endpoints, and the processes jointly determine whether that version
// is sound.
//
// Each process sends a part of its requests to the candidate, counts the answers of
// both versions and judges the sums over all processes; see route/canary. No process
// queries another one while it handles a request, and a process that finds the
// candidate bad stops using it by itself. Only the owner of a rollout, or a deputy if
// the owner fails to, records the result. It uses conditional writes, so having two
// owners for a short time is safe.
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
	// tickInterval is how often rollouts are judged and planned.
	tickInterval = 100 * clock.Millis(1)
	// minWriteBackoff and maxWriteBackoff limit the delay after a failed write.
	minWriteBackoff = 250 * clock.Millis(1)
	maxWriteBackoff = clock.Second
	// writeTimeout is the timeout of one write.
	writeTimeout = clock.Second
)

// Codec encodes and decodes rollouts in the format of a platform.
type Codec struct {
	// DecodeFunc decodes an operator's order and its recorded status. The status has
	// an empty state if none has been recorded.
	DecodeFunc func(name string, order, status []byte) (canary.Order, canary.Status, error)
	EncodeFunc func(canary.Status) ([]byte, error)
}

// Peers gives a Controller access to the other processes.
type Peers struct {
	// OwnsFunc reports whether this process owns a subject. TrialsFunc returns the
	// sums of the counts of the other processes.
	OwnsFunc   func(subject string) bool
	TrialsFunc func() []wire.Trial
	// UpToDateFunc reports whether these sums are current, not stale.
	UpToDateFunc func() bool
}

// Controller executes the rollouts of all pools.
type Controller struct {
	clock     *clock.Clock
	log       *log.Logger
	wallClock func() int64
	store     *store.Store
	kind      string
	codec     Codec
	bounds    canary.Bounds
	meter     *meter
	peers     Peers
	viewFunc  func() *view.Snapshot
	// applyFunc sets which versions get requests.
	applyFunc func([]view.Rollout)
	// inUseFunc reports whether a pool is in use, repeatableFunc whether requests of
	// one of its routes may be repeated.
	inUseFunc      func(pool string) bool
	repeatableFunc func(pool, route string) bool

	running atomic.Pointer[map[string]*rollout]

	mu sync.Mutex
	// byName holds the readable orders by the name of their object.
	byName map[string]*rollout
	listed bool
	// completed holds the last completed rollout by the name of its object.
	completed map[string]completion
}

// Option configures a Controller.
type Option func(*Controller)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(o *Controller) { o.clock = c } }

// WithWallClock sets the wall clock, which returns Unix milliseconds.
func WithWallClock(now func() int64) Option { return func(o *Controller) { o.wallClock = now } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(o *Controller) { o.log = l } }

// WithRegistry sets where metrics are registered.
func WithRegistry(r prometheus.Registerer) Option {
	return func(o *Controller) { o.meter = newMeter(r) }
}

// WithBounds sets the limits on what a candidate may get before the decision.
func WithBounds(bounds canary.Bounds) Option { return func(o *Controller) { o.bounds = bounds } }

// WithPeers sets the access to the other processes.
func WithPeers(peers Peers) Option { return func(o *Controller) { o.peers = peers } }

// WithPools sets which pools are in use, and for which of their routes requests may
// be repeated.
func WithPools(inUse func(pool string) bool, repeatable func(pool, route string) bool) Option {
	return func(o *Controller) { o.inUseFunc, o.repeatableFunc = inUse, repeatable }
}

// WithView sets the source of the endpoints, and the function that sets which
// versions get requests.
func WithView(snapshot func() *view.Snapshot, apply func([]view.Rollout)) Option {
	return func(o *Controller) { o.viewFunc, o.applyFunc = snapshot, apply }
}

// New returns a controller of the rollouts that a store holds as objects of one
// kind. The caller must call Run.
func New(kind string, s *store.Store, codec Codec, opts ...Option) *Controller {
	c := &Controller{
		kind: kind, store: s, codec: codec, clock: clock.New(), log: log.New(io.Discard), byName: make(map[string]*rollout), completed: make(map[string]completion),
		wallClock: func() int64 { return time.Now().UnixMilli() },
		meter:     newMeter(prometheus.NewRegistry()),
		viewFunc:  func() *view.Snapshot { return nil }, applyFunc: func([]view.Rollout) {},
		inUseFunc: func(string) bool { return true }, repeatableFunc: func(string, string) bool { return false },
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

// List replaces all orders with those that the store lists.
func (c *Controller) List(objects []store.Object, _ clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(objects))
	for _, object := range objects {
		present[object.Name] = true
		c.putOrder(object, !c.listed)
	}
	for name := range c.byName {
		if !present[name] {
			c.removeOrder(name)
		}
	}
	c.listed = true
	c.apply()
}

// Change processes orders that were written or deleted.
func (c *Controller) Change(changes []store.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			c.removeOrder(change.Object.Name)
			continue
		}
		c.putOrder(change.Object, false)
	}
	c.apply()
}

// putOrder adds or updates one order. If mayPredate is set, the order may be older
// than this process. The caller holds the lock.
func (c *Controller) putOrder(object store.Object, mayPredate bool) {
	known := c.byName[object.Name]
	if known != nil && object.Version.Before(known.revision) {
		return
	}
	order, status, err := c.decode(object)
	if err != nil {
		name := object.Name[strings.LastIndex(object.Name, "/")+1:]
		c.meter.event(name, "unreadable")
		c.log.Warn("rollout ignored", "pool", name, "revision", object.Version, logs.KeyError, err)
		c.removeOrder(object.Name)
		return
	}
	switch {
	case known == nil || known.order != order || known.isReplacedBy(&object, &status):
		known = c.begin(object, order, status, mayPredate)
	case known.revision == object.Version:
		return
	}
	status, corrected := c.restoreCompleted(object, order, status)
	if status.Order != order {
		// The status belongs to an earlier order, whose result is in force.
		previous := status.Previous
		if status.State == canary.Completed {
			previous = status.Version
		}
		status = canary.Status{Order: order, Previous: previous, Earlier: status.History()}
	}
	if known.statusLost = known.keepsStatus(object.Version, status); known.statusLost {
		known.revision = object.Version
		return
	}
	known.statusLost = corrected && status.State != ""
	if known.status.State != status.State {
		c.meter.event(order.Pool, string(status.State))
		c.log.Info("rollout recorded", "pool", order.Pool, "version", order.Version, "previous", status.Previous,
			"state", string(status.State), "reason", status.Reason, "revision", object.Version, "elapsedMs", int64(c.clock.Now()-known.began))
	}
	known.status, known.revision = status, object.Version
	known.startedAt.Store(status.StartedAt)
	c.recordCompleted(known)
}

// begin adds the rollout of an order that was not known. The caller holds the lock.
func (c *Controller) begin(object store.Object, order canary.Order, status canary.Status, mayPredate bool) *rollout {
	r := newRollout(object.Name, order, c.clock.Now())
	if mayPredate && status.Order == order && status.State == canary.Running {
		since := clock.Millis(c.wallClock() - status.StartedAt)
		r.began -= min(max(since, 0), order.Duration)
		r.restarted = true
	}
	c.byName[object.Name] = r
	c.log.Info("rollout ordered", "pool", order.Pool, "version", order.Version, "durationMs", int64(order.Duration),
		"revision", object.Version, "state", string(status.State))
	return r
}

// removeOrder removes an order. The caller holds the lock.
func (c *Controller) removeOrder(name string) {
	if known := c.byName[name]; known != nil {
		delete(c.byName, name)
		c.log.Info("rollout removed", "pool", known.order.Pool, "version", known.order.Version)
	}
}

// apply makes the current state of all rollouts effective. The caller holds the
// lock.
func (c *Controller) apply() {
	running := make(map[string]*rollout)
	var all []view.Rollout
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		r := c.byName[name]
		state := view.Rollout{
			Pool: r.order.Pool, Version: r.order.Version, Previous: r.status.Previous,
			Completed: r.status.State == canary.Completed, Canary: r.status.State == canary.Running && !r.suspended.Load(),
		}
		all = append(all, state)
		if r.status.State == canary.Running {
			running[r.order.Pool] = r
		}
	}
	c.running.Store(&running)
	c.applyFunc(all)
}

// runningRollout returns the running rollout of a pool, nil if there is none. A nil
// Controller has none.
func (c *Controller) runningRollout(pool string) *rollout {
	if c == nil {
		return nil
	}
	return (*c.running.Load())[pool]
}

// DrawCandidate decides at random whether a new request goes to the candidate
// version, with the planned share as probability.
func (c *Controller) DrawCandidate(pool, route string) bool {
	r := c.runningRollout(pool)
	if r == nil || r.suspended.Load() || !r.upToDate.Load() {
		return false
	}
	share := r.plan.Load().Share(route)
	return share > 0 && rand.Float64() < share
}

// Promoted reports whether all new requests of a route go to the candidate.
func (c *Controller) Promoted(pool, route string) bool {
	r := c.runningRollout(pool)
	return r != nil && !r.suspended.Load() && r.upToDate.Load() && r.plan.Load().Share(route) >= 1
}

// ActiveCandidates returns those of the candidate endpoints that currently get the
// candidate's share of the requests.
func (c *Controller) ActiveCandidates(pool string, candidates []*view.Endpoint) []*view.Endpoint {
	r := c.runningRollout(pool)
	if r == nil || len(candidates) == 0 {
		return nil
	}
	count := canary.ActiveEndpoints(r.plan.Load().DefaultShare, len(candidates))
	first := canary.FirstActive(c.clock.Since(r.began), count, len(candidates))
	active := make([]*view.Endpoint, 0, count)
	for i := range count {
		active = append(active, candidates[(first+i)%len(candidates)])
	}
	return active
}

// Begin counts requests sent to an endpoint of a pool. The expected duration is in
// milliseconds. It returns nil if the pool has no running rollout.
func (c *Controller) Begin(e *view.Endpoint, route string, count int64, expected float64) *Attempt {
	r := c.runningRollout(e.Pool)
	if r == nil {
		return nil
	}
	key := wire.TrialKey{Pool: r.order.Pool, Version: r.order.Version, Route: route}
	if e.Version == r.order.Version {
		key.Candidate, key.Endpoint = true, e.ID
	}
	now := c.clock.Now()
	a := &Attempt{controller: c, rollout: r, key: key, began: now, expected: expected, warmingUp: e.Cold(now) || now-e.Joined < warmUpTime}
	r.counter(key).sent.Add(count)
	if key.Candidate {
		c.meter.sent(key.Pool, key.Version)
	}
	r.open.Store(a, struct{}{})
	return a
}

// Trials returns the counts of this process.
func (c *Controller) Trials() []wire.Trial {
	var all []wire.Trial
	now := c.clock.Now()
	for _, r := range *c.running.Load() {
		all = append(all, r.trials(now)...)
	}
	return all
}

// Run judges and plans rollouts and records their states until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for c.clock.Sleep(ctx, tickInterval) == nil {
		for _, r := range c.allRollouts() {
			c.tick(ctx, r)
		}
	}
}

func (c *Controller) allRollouts() []*rollout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.byName))
}
