// Package host hosts the stage engines of the pools that this process owns:
// beside a stage engine runs no process of the system, so one of the processes
// that take callers keeps the queue of its pool, puts calls together and looks
// after the memory for results.
//
// Two owners for a moment do no harm: an engine that is full refuses a call
// without running it, and a piece that is made twice is only paid for twice.
package host

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
	"github.com/jujubescale/jujubescale/internal/guard/memory"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/shard"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
)

const (
	// maxTries is how often one piece is sent; beyond it something is wrong that
	// another try doesn't mend.
	maxTries = 3
	// sweepEvery is how often queues are looked through for what came too late
	// and for engines that are usable again.
	sweepEvery = 50 * clock.Millis(1)
)

// Outcome is what became of a job.
type Outcome struct {
	References []string
	// Endpoints and Zones tell for each reference where it lies.
	Endpoints []string
	Zones     []string
	// Reason is empty for success.
	Reason     fault.Reason
	RetryAfter clock.Millis
}

// Message returns the outcome as a message.
func (o Outcome) Message() *wire.Made {
	if o.Reason != "" {
		return &wire.Made{Reason: o.Reason, RetryAfter: o.RetryAfter}
	}
	return &wire.Made{References: o.References, Endpoints: o.Endpoints, Zones: o.Zones}
}

// Job is one request for pieces.
type Job struct {
	group  *batch.Group
	pool   string
	result Outcome
	left   int
	tries  []uint8
	ended  bool
	// failed is why a piece was sent in vain last.
	failed fault.Reason
	done   func(Outcome)
	// unread is how many pieces have not read their inputs yet.
	unread  int
	fetched func()
}

// queue is one pool.
type queue struct {
	name    string
	waiting batch.Queue
	engines map[*view.Endpoint]*engine
	clock   *clock.Clock
	// fill is how many pieces calls hold lately when more wait than fit.
	fill float64
}

// Settings are what a Host needs.
type Settings struct {
	Clock    *clock.Clock
	Log      *log.Logger
	Spelling *spell.Spelling
	// Table and View return the newest routes and endpoints.
	Table func() *table.Table
	View  func() *view.Snapshot
	// Conns returns the connections to an endpoint.
	Conns func(*view.Endpoint) *conn.Group
	// Retry reports whether one more extra request to a pool is allowed, and
	// spends it.
	Retry func(pool string) bool
	// Earn counts one ordinary request to a pool, which pays for a part of an
	// extra one.
	Earn  func(pool string)
	Meter *Meter
	// Deploy carries out rollouts, nil where there are none.
	Deploy *deploy.Controller
}

// Host owns pools.
type Host struct {
	Settings
	base context.Context

	mu     sync.Mutex
	queues map[string]*queue
	group  sync.WaitGroup
}

// New returns a host whose calls end with the context.
func New(ctx context.Context, settings Settings) *Host {
	return &Host{Settings: settings, base: ctx, queues: make(map[string]*queue)}
}

// Submit takes a request for pieces. Done is called exactly once unless the
// job is dropped first; fetched is called at most once before, when all pieces
// have read their inputs. Neither may block or call the host.
func (h *Host) Submit(ask *wire.Pieces, fetched func(), done func(Outcome)) *Job {
	now := h.Clock.Now()
	job := &Job{
		pool: ask.Pool, left: ask.Count, done: done, unread: ask.Count, fetched: fetched, tries: make([]uint8, ask.Count),
		result: Outcome{
			References: make([]string, ask.Count), Endpoints: make([]string, ask.Count), Zones: make([]string, ask.Count),
		},
		group: &batch.Group{
			Request: ask.Request, Stage: ask.Stage, Key: ask.Key, Inputs: ask.Inputs, Count: ask.Count,
			Rank: now + ask.Slack + ask.Penalty, NeededBy: now + ask.Slack, Deadline: now + ask.TimeLeft, ResultBytes: ask.Bytes, Zone: ask.Zone,
			HoldUntil: now + ask.Hold, HoldUnderLoad: ask.Firm,
		},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queue(ask.Pool)
	if h.pool(q.name) == nil {
		h.fail(job, fault.NoEndpoint)
		return job
	}
	h.Earn(h.poolOf(q.name))
	job.group.Owner = job
	q.waiting.Add(job.group)
	h.dispatch(q)
	return job
}

// Drop withdraws a job whose request ended.
func (h *Host) Drop(job *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if job.ended {
		return
	}
	job.ended = true
	q := h.queue(job.pool)
	q.waiting.Drop(job.group)
	h.unusedOf(q, job)
}

// Abandon ends a job whose asker is gone, or asks another owner by now.
func (h *Host) Abandon(job *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fail(job, fault.Leaving)
}

// unusedOf gives back the results that a job already has.
func (h *Host) unusedOf(q *queue, job *Job) {
	for _, reference := range job.result.References {
		q.drop(memory.Result{Reference: reference, Bytes: job.group.ResultBytes})
	}
}

// MarkUnused takes results back that nobody needs any more, or, if they are spare,
// only once a stage fails.
func (h *Host) MarkUnused(unused *wire.Unused) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q, pool := h.queues[unused.Pool], h.pool(unused.Pool)
	if q == nil || pool == nil {
		return
	}
	now := h.Clock.Now()
	for i, reference := range unused.References {
		result := memory.Result{Reference: reference}
		if i < len(unused.Bytes) {
			result.Bytes = unused.Bytes[i]
		}
		e := q.holder(reference)
		if e == nil && i < len(unused.Endpoints) {
			e = h.foreign(q, unused.Endpoints[i], pool, now)
		}
		switch {
		case e == nil: // its maker is gone, and the result with it
		case unused.Spare:
			e.memory.MarkReclaimable(result, now+unused.Delay)
		default:
			e.memory.MarkUnused(result)
		}
	}
	h.dispatch(q)
}

// Reclaim gives back those of some results that this process still accounts for,
// because whoever was handed them has ended.
func (h *Host) Reclaim(unused *wire.Unused) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[unused.Pool]
	if q == nil {
		return
	}
	for i, reference := range unused.References {
		q.drop(memory.Result{Reference: reference, Bytes: unused.Bytes[i]})
	}
	h.dispatch(q)
}

// drop notes that nobody needs a result any more, if it lies at an engine.
func (q *queue) drop(result memory.Result) {
	if e := q.holder(result.Reference); e != nil {
		e.memory.MarkUnused(result)
	}
}

// Retire gives back what waits here, because this process leaves: whoever asked
// asks the next owner. Calls that are under way end here.
func (h *Host) Retire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range h.queues {
		var waiting []*Job
		q.waiting.Each(func(g *batch.Group) {
			if g.Queued() == g.Count {
				waiting = append(waiting, g.Owner.(*Job))
			}
		})
		for _, job := range waiting {
			h.fail(job, fault.Leaving)
		}
		h.Log.Info("queue given back", "pool", q.name, "jobs", len(waiting), "pieces", q.waiting.Pieces())
	}
}

// Loads returns the queues of all pools that have had work here.
func (h *Host) Loads(owned func(string) bool) []wire.PoolLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	var loads []wire.PoolLoad
	for name, q := range h.queues {
		if owned(name) {
			loads = append(loads, h.load(q))
		}
	}
	return loads
}

// Load returns the queue of one pool, false when it never had work here.
func (h *Host) Load(name string) (wire.PoolLoad, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[name]
	if q == nil {
		return wire.PoolLoad{}, false
	}
	return h.load(q), true
}

func (h *Host) load(q *queue) wire.PoolLoad {
	all, free := h.usable(q, h.pool(q.name))
	load := wire.PoolLoad{Pool: q.name, Engines: all, Free: len(free), Fill: q.fill}
	if q.waiting.Pieces() == 0 {
		return load
	}
	now := h.Clock.Now()
	load.Waiting = make([]int, len(reach.RankEdges)+1)
	q.waiting.Each(func(g *batch.Group) { load.Waiting[reach.Class(g.Rank-now)] += g.Queued() })
	return load
}

func (h *Host) queue(name string) *queue {
	q := h.queues[name]
	if q == nil {
		q = &queue{name: name, clock: h.Clock, engines: make(map[*view.Endpoint]*engine)}
		h.queues[name] = q
	}
	return q
}

// pool returns what the engines of a pool, or of a shard of it, bear, nil when
// they make no pieces.
func (h *Host) pool(name string) *table.Batching { return h.Table().Batching(h.poolOf(name)) }

// poolOf returns the pool of a shard. A name that the table knows is a pool's.
func (h *Host) poolOf(name string) string {
	if h.Table().Batching(name) != nil {
		return name
	}
	return shard.PoolOf(name)
}

// dissolve ends the jobs of a shard that has no engines left, because its zone was
// emptied or the pool is divided otherwise now: another shard makes their pieces.
func (h *Host) dissolve(q *queue) {
	if h.poolOf(q.name) == q.name || h.View().Shard(q.name) != nil || q.waiting.Pieces() == 0 {
		return
	}
	var waiting []*Job
	q.waiting.Each(func(g *batch.Group) { waiting = append(waiting, g.Owner.(*Job)) })
	for _, job := range waiting {
		h.fail(job, fault.ZoneLeft)
	}
	h.Log.Info("shard dissolved", "pool", q.name, "jobs", len(waiting))
}

// Run looks through the queues until the context ends, and then waits for the
// calls that are under way.
func (h *Host) Run(ctx context.Context) {
	for h.Clock.Sleep(ctx, sweepEvery) == nil {
		h.mu.Lock()
		for _, q := range h.queues {
			h.sweep(q)
			h.dissolve(q)
			h.dispatch(q)
		}
		h.mu.Unlock()
	}
	h.group.Wait()
}

// sweep forgets engines that are gone and results that have expired.
func (h *Host) sweep(q *queue) {
	pool, now := h.pool(q.name), h.Clock.Now()
	for endpoint, e := range q.engines {
		if endpoint.Gone() && e.calls == 0 {
			delete(q.engines, endpoint)
			continue
		}
		if pool != nil {
			e.memory.Expire(limitsOf(pool), now)
		}
	}
}
