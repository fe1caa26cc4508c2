// Package host queues pieces for the stage engines of the pools that this process
// owns, and calls the engines. No process of the system runs on the machines of
// stage engines. Instead, one of the processes that serve callers owns each pool or
// shard: it keeps the queue, forms batches and tracks the result memory of the
// engines.
//
// A pool may have two owners for a short time. This is safe: a full engine refuses a
// call without running it, and computing a piece twice only wastes engine time.
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
	// maxAttempts is how often a piece is sent. A piece that failed so often would
	// probably fail again.
	maxAttempts = 3
	// sweepInterval is how often queues are checked for pieces that are too late and
	// for engines that are usable again.
	sweepInterval = 50 * clock.Millis(1)
)

// Outcome is the result of a job.
type Outcome struct {
	References []string
	// Endpoints and Zones name for each reference the engine that stores the result,
	// and its availability zone.
	Endpoints []string
	Zones     []string
	// Reason is empty if the job succeeded.
	Reason     fault.Reason
	RetryAfter clock.Millis
}

// Message returns the outcome as a message to the process that sent the request.
func (o Outcome) Message() *wire.Results {
	if o.Reason != "" {
		return &wire.Results{Reason: o.Reason, RetryAfter: o.RetryAfter}
	}
	return &wire.Results{References: o.References, Endpoints: o.Endpoints, Zones: o.Zones}
}

// Job is one request for pieces. The lock of its Host guards it.
type Job struct {
	group     *batch.Group
	queueName string
	result    Outcome
	remaining int
	attempts  []uint8
	ended     bool
	// lastFailure is why the last attempt of a piece failed.
	lastFailure fault.Reason
	done        func(Outcome)
	// unreadPieces is the number of pieces that have not read their inputs yet.
	unreadPieces int
	inputsRead   func()
}

// queue holds the queued pieces and the engines of one pool or shard.
type queue struct {
	name    string
	queued  batch.Queue
	engines map[*view.Endpoint]*engine
	clock   *clock.Clock
	// batchSize is the moving average of the number of pieces per call while more pieces
	// are queued than fit into a call.
	batchSize float64
	// readyAt is when an engine could last take a call, or ended one.
	readyAt clock.Millis
	// handed is set once the queue was handed over because this process stops.
	handed *handedQueue
}

// Settings are the dependencies of a Host.
type Settings struct {
	Clock *clock.Clock
	Log   *log.Logger
	Codec *spell.Codec
	// Table and View return the current routes and endpoints.
	Table func() *table.Table
	View  func() *view.Snapshot
	// SendFunc sends a request to an endpoint. It returns a permit.HeldError if the endpoint
	// has stated that it wants none.
	SendFunc func(ctx context.Context, e *view.Endpoint, request *conn.Request) (*conn.Reply, error)
	// Retry reports whether the retry budget of a pool allows one more retry, and
	// takes it from the budget.
	Retry func(pool string) bool
	// RetryAll is Retry for a number of retries, which it takes all or none. It is used
	// with ReuseFunc only.
	RetryAll func(pool string, count int) bool
	// ReuseFunc reports whether connections to an engine carry several calls, and reports and
	// releases of results between them; nil for none.
	ReuseFunc func(*view.Endpoint) bool
	// Earn adds the share of one ordinary request to the retry budget of a pool.
	Earn  func(pool string)
	Meter *Meter
	// ObserveFunc decodes the head of an engine's answer to a request that was sent at an
	// instant, and records what it says about the engine.
	ObserveFunc func(e *view.Endpoint, reply *conn.Reply, request string, sentAt clock.Millis) spell.ResponseInfo
	// LimitFunc returns the number of requests per second that an engine accepts, 0 if it
	// states no limit.
	LimitFunc func(*view.Endpoint) float64
	// UnavailableFunc reports whether an engine gets no new requests because it leaves.
	UnavailableFunc func(*view.Endpoint) bool
	// RestFunc returns the time in ms in which an engine wants no requests, 0 for none.
	RestFunc func(e *view.Endpoint, now clock.Millis) clock.Millis
	// OwnsFunc reports whether this process owns a pool or shard now; nil if that never
	// changes.
	OwnsFunc func(name string) bool
	// Deploy controls the rollouts; nil if there are none.
	Deploy *deploy.Controller
}

// Host keeps the queues of the pools and shards that this process owns, and calls
// their engines.
type Host struct {
	Settings
	base context.Context

	mu     sync.Mutex
	queues map[string]*queue
	group  sync.WaitGroup
}

// New returns a host. The end of the context cancels its calls.
func New(ctx context.Context, settings Settings) *Host {
	return &Host{Settings: settings, base: ctx, queues: make(map[string]*queue)}
}

// Submit queues a request for pieces. It calls done exactly once unless the job is
// dropped first, and inputsRead at most once before that, when all pieces have read
// their inputs. Neither callback may block or call the host.
func (h *Host) Submit(request *wire.Pieces, inputsRead func(), done func(Outcome)) *Job {
	now := h.Clock.Now()
	job := &Job{
		queueName: request.Pool, remaining: request.Count, done: done, unreadPieces: request.Count, inputsRead: inputsRead,
		attempts: make([]uint8, request.Count),
		result: Outcome{
			References: make([]string, request.Count), Endpoints: make([]string, request.Count), Zones: make([]string, request.Count),
		},
		group: &batch.Group{
			Request: request.Request, Stage: request.Stage, Key: request.Key, Inputs: request.Inputs, Count: request.Count,
			Rank: now + request.Slack + request.Penalty, NeededBy: now + request.Slack, Deadline: now + request.TimeLeft,
			ResultBytes: request.Bytes, Zone: request.Zone,
			HoldUntil: now + request.Hold, HoldUnderLoad: request.HoldUnderLoad,
		},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queue(request.Pool)
	if h.pool(q.name) == nil {
		h.failJob(job, fault.NoEndpoint)
		return job
	}
	if h.refusesHanded(q) {
		h.failJob(job, fault.Leaving)
		return job
	}
	if q.handed == nil {
		h.Earn(h.poolOf(q.name))
	}
	job.group.Owner = job
	q.queued.Add(job.group)
	h.dispatch(q)
	return job
}

// Drop cancels a job whose request has ended. Its done callback isn't called.
func (h *Host) Drop(job *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if job.ended {
		return
	}
	job.ended = true
	q := h.queue(job.queueName)
	q.queued.Drop(job.group)
	h.markResultsUnused(q, job)
}

// Abandon fails a job whose requesting process has ended or has sent the request
// to another owner.
func (h *Host) Abandon(job *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failJob(job, fault.Leaving)
}

// markResultsUnused marks the results that a job already has as unused. The caller
// holds the lock.
func (h *Host) markResultsUnused(q *queue, job *Job) {
	for _, reference := range job.result.References {
		q.markUnused(memory.Result{Reference: reference, Bytes: job.group.ResultBytes})
	}
}

// MarkUnused records that results are no longer needed, or, if they are
// reclaimable, that they are needed again only if a stage fails.
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
			e = h.foreignHolder(q, unused.Endpoints[i], pool, now)
		}
		switch {
		case e == nil: // the engine is gone, and the result with it
		case unused.Reclaimable:
			e.memory.MarkReclaimable(result, now+unused.Delay)
		default:
			e.memory.MarkUnused(result)
		}
	}
	h.dispatch(q)
}

// Reclaim marks results as unused because the process that received them has ended.
// Results that this process doesn't track are skipped.
func (h *Host) Reclaim(unused *wire.Unused) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[unused.Pool]
	if q == nil {
		return
	}
	for i, reference := range unused.References {
		q.markUnused(memory.Result{Reference: reference, Bytes: unused.Bytes[i]})
	}
	h.dispatch(q)
}

// markUnused records that a result is no longer needed, if an engine of the queue
// stores it.
func (q *queue) markUnused(result memory.Result) {
	if e := q.holder(result.Reference); e != nil {
		e.memory.MarkUnused(result)
	}
}

// Retire fails all jobs of which no piece has been sent, because this process is
// stopping: their senders repeat the requests at the next owner. This process
// completes the other jobs, in queues that were handed over as far as its engines allow.
func (h *Host) Retire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range h.queues {
		if q.handed != nil {
			q.handed.retired = true
			h.giveBack(q, func(g *batch.Group) bool { return !isStarted(g) })
			h.giveBackRest(q)
			continue
		}
		h.giveBack(q, func(g *batch.Group) bool { return g.Queued() == g.Count })
	}
}

// Loads returns the loads of the owned pools and shards that have had work in this
// process.
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

// Load returns the load of one pool or shard, and false if it never had work in this
// process.
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
	count, free := h.usableEngines(q, h.pool(q.name))
	load := wire.PoolLoad{Pool: q.name, Engines: count, Free: len(free), BatchSize: q.batchSize}
	if q.queued.Pieces() == 0 {
		return load
	}
	now := h.Clock.Now()
	load.Queued = make([]int, len(reach.RankEdges)+1)
	q.queued.Each(func(g *batch.Group) { load.Queued[reach.Class(g.Rank-now)] += g.Queued() })
	return load
}

func (h *Host) queue(name string) *queue {
	q := h.queues[name]
	if q == nil {
		q = &queue{name: name, clock: h.Clock, engines: make(map[*view.Endpoint]*engine), readyAt: h.Clock.Now()}
		h.queues[name] = q
	}
	return q
}

// pool returns the batching configuration of a pool or of the pool of a shard, nil
// if its engines don't compute pieces.
func (h *Host) pool(name string) *table.Batching { return h.Table().Batching(h.poolOf(name)) }

// poolOf returns the pool of a shard. A name that the table contains is itself a
// pool.
func (h *Host) poolOf(name string) string {
	if h.Table().Batching(name) != nil {
		return name
	}
	return shard.PoolOf(name)
}

// dissolve fails the jobs of a shard that no longer exists, because its zone was
// evacuated or its pool is divided in another way now. Other shards compute their
// pieces. The caller holds the lock.
func (h *Host) dissolve(q *queue) {
	if h.poolOf(q.name) == q.name || h.View().Shard(q.name) != nil || q.queued.Pieces() == 0 {
		return
	}
	var queued []*Job
	q.queued.Each(func(g *batch.Group) { queued = append(queued, g.Owner.(*Job)) })
	for _, job := range queued {
		h.failJob(job, fault.ZoneEvacuated)
	}
	h.Log.Info("shard dissolved", "pool", q.name, "jobs", len(queued))
}

// Run maintains the queues until the context ends, and then waits for the running
// calls.
func (h *Host) Run(ctx context.Context) {
	for h.Clock.Sleep(ctx, sweepInterval) == nil {
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

// sweep removes engines that are gone and results that have expired. The caller
// holds the lock.
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
