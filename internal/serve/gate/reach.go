package gate

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// generationTime is what a generation takes to its first event besides reading
// its prompt and what waits before it: some steps of the engine, and fetching
// inputs.
const generationTime = 60 * clock.Millis(1)

// lateBehind is how far a request that begins late is put behind others: it is
// late by less than this and has no other penalty than requests in time have.
const lateBehind = 2 * batch.LatePenalty

// begins refuses a request that would probably miss its objective, before any
// engine has worked for it.
func (g *Gate) begins(req *request) error {
	r := g.reachOf(req)
	remaining := r.Remaining(g.queue)
	req.estimate = clock.Millis(remaining)
	now := g.Clock.Now()
	record := g.routes.of(req.route.Name)
	r.Correction = record.correction.Value(now)
	r.ReservedShare = reach.ReservedShare(req.route.Priority, record.admitted.Share(now), g.admitted.Share(now))
	begins := r.Admissible(remaining)
	record.admitted.Count(begins, now)
	g.admitted.Count(begins, now)
	if begins {
		return nil
	}
	if req.returned {
		r.Penalty += lateBehind
		if r.AdmissibleLate(r.Remaining(g.queue)) {
			req.behind = true
			g.Log.Info("request begun late", "request", req.Request, "route", req.route.Name, "estimateMs", int64(remaining),
				"slackMs", int64(r.Slack), "timeLeftMs", int64(r.Left))
			return nil
		}
	}
	req.binding = r.Bottleneck(g.queue)
	g.Log.Info("request not begun", "request", req.Request, "route", req.route.Name, "estimateMs", int64(remaining),
		"correctionMs", int64(r.Correction), "yield", r.ReservedShare, "pool", req.binding, "slackMs", int64(r.Slack), "timeLeftMs", int64(r.Left))
	return &fault.RefusalError{
		Reason: fault.Overloaded, Ran: fault.NotRun, RetryAfter: spread(max(r.Excess(remaining), comeBackLoad)),
		Detail: "the stages' queues are too long",
	}
}

// goesOn gives up a request that will not have its answer within its deadline.
func (g *Gate) goesOn(req *request) error {
	r := g.reachOf(req)
	remaining := r.Remaining(g.queue)
	if r.MeetsDeadline(remaining) {
		return nil
	}
	g.Log.Info("request given up", "request", req.Request, "route", req.route.Name, "estimateMs", int64(remaining),
		"timeLeftMs", int64(r.Left))
	return &fault.RefusalError{
		Reason: fault.WontMakeIt, Ran: fault.NotRun, RetryAfter: spread(comeBackFull), Detail: "no time left for the stages",
	}
}

func (g *Gate) reachOf(req *request) *reach.Request {
	now := g.Clock.Now()
	r := &reach.Request{
		Stages: req.route.Stages, Pieces: req.Pieces, Done: make([]bool, len(req.route.Stages)),
		Slack: req.objective - now, Left: req.deadline - now, Penalty: penalty(req), Returned: req.returned, Generation: float64(req.generation),
	}
	for i := range r.Done {
		r.Done[i] = !req.run.Waiting(i)
	}
	return r
}

// penalty puts a request behind others: by its organisation's priority, which
// takes precedence, and among requests of organisations of one priority by its
// route's.
func penalty(req *request) clock.Millis {
	behind := clock.Millis(0)
	if req.behind {
		behind = lateBehind
	}
	return behind + clock.Millis(max(req.priority, 0))*organisationPenalty + clock.Millis(max(req.route.Priority, 0))*routePenalty
}

// queue returns what is known of the queue of a pool, over all its shards; nil if
// it makes no pieces.
func (g *Gate) queue(name string) *reach.Queue {
	batching := g.Table().Batching(name)
	if batching == nil {
		return nil
	}
	var parts []*reach.Queue
	for _, part := range g.View().Shards(name) {
		q, _ := g.shardQueue(&part, batching)
		parts = append(parts, q)
	}
	q := reach.Merge(parts)
	q.Bounds, q.ResultMemory = batch.BoundsOf(batching), batching.Room
	q.PendingArrivals = inflow.AddClasses(g.inflow.PoolPieces(name, g.Clock.Now()), g.mesh.PendingArrivals(name))
	return q
}

// shardQueue returns what is known of the queue of a shard: from this process if
// it owns the shard, else from what the owner reported last.
func (g *Gate) shardQueue(part *view.Shard, batching *table.Batching) (q *reach.Queue, known bool) {
	load, late, known := g.load(part)
	q = &reach.Queue{Bounds: batch.BoundsOf(batching), ResultMemory: batching.Room}
	if known {
		q.Engines, q.Free, q.BatchSize, q.Queued = load.Engines, load.Free, load.Fill, load.Waiting
		q.Staleness = float64(late)
		return q, true
	}
	// Nobody has told of it yet: as far as is known, nothing waits.
	q.Engines = max(len(part.Endpoints), 1)
	q.Free = q.Engines
	return q, false
}

func (g *Gate) load(part *view.Shard) (load wire.PoolLoad, late clock.Millis, known bool) {
	if g.ownerOf(part.Name) == g.mesh.Self() {
		load, known = g.host.Load(part.Name)
		return load, 0, known
	}
	return g.mesh.PoolLoad(part.Name)
}

// ownerOf returns the process that owns a shard, or a pool that is not divided.
func (g *Gate) ownerOf(name string) string {
	zone := ""
	if part := g.View().Shard(name); part != nil {
		zone = part.Zone
	}
	return g.mesh.OwnerIn(name, zone)
}

// after is what the stages behind one, and the request itself, take at least
// when nothing waits.
func (g *Gate) after(req *request, stage int) clock.Millis {
	r := g.reachOf(req)
	for i := range r.Done {
		r.Done[i] = !req.run.DependsOn(i, stage)
	}
	return clock.Millis(r.Remaining(func(name string) *reach.Queue {
		batching := g.Table().Batching(name)
		if batching == nil {
			return nil
		}
		return &reach.Queue{Bounds: batch.BoundsOf(batching), Free: 1, Engines: 1}
	}))
}
