package gate

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
	"github.com/jujubescale/jujubescale/internal/guard/grace"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// minGenerationTime is the time of a generation to its first event without queueing and
// without reading its prompt: some steps of the engine and the fetch of the inputs.
const minGenerationTime = 60 * clock.Millis(1)

// latePenalty is the penalty that ranks a request admitted late behind those in time. It
// exceeds the lateness of any such request, whose other penalties are the same as those of
// requests in time.
const latePenalty = 2 * batch.LatePenalty

// admit returns a refusal if the request would probably miss its objective, before any
// engine has worked for it. A request sent again after a refusal may be admitted late.
func (g *Gate) admit(req *request) error {
	r := g.reachRequest(req)
	remaining := r.Remaining(g.poolQueue)
	req.estimate = clock.Millis(remaining)
	now := g.Clock.Now()
	stats := g.routeStats.Get(req.route.Name)
	r.Correction = stats.Correction.Value(now)
	r.ReservedShare = reach.ReservedShare(req.route.Priority, stats.Admitted.Share(now), g.admitted.Share(now))
	inTime := r.Admissible(remaining)
	stats.Admitted.Count(inTime, now)
	g.admitted.Count(inTime, now)
	if inTime {
		return nil
	}
	if req.afterRefusal {
		r.Penalty += latePenalty
		if r.AdmissibleLate(r.Remaining(g.poolQueue)) {
			req.admittedLate = true
			g.Log.Info("request begun late", "request", req.Request, "route", req.route.Name, "estimateMs", int64(remaining),
				"slackMs", int64(r.Slack), "timeLeftMs", int64(r.Left))
			return nil
		}
	}
	req.bottleneck = r.Bottleneck(g.poolQueue)
	g.Log.Info("request not begun", "request", req.Request, "route", req.route.Name, "estimateMs", int64(remaining),
		"correctionMs", int64(r.Correction), "yield", r.ReservedShare, "pool", req.bottleneck, "slackMs", int64(r.Slack), "timeLeftMs", int64(r.Left))
	return &fault.RefusalError{
		Reason: fault.Overloaded, Ran: fault.NotRun, RetryAfter: jitter(max(r.Excess(remaining), retryAfterOverload)),
		Detail: "the stages' queues are too long",
	}
}

// checkDeadline returns a refusal if the request will not have its answer within its
// deadline.
func (g *Gate) checkDeadline(req *request) error {
	if refused := g.refuseUnended(req, grace.Chosen); refused != nil {
		return refused
	}
	r := g.reachRequest(req)
	remaining := r.Remaining(g.poolQueue)
	if r.MeetsDeadline(remaining) {
		return nil
	}
	g.Log.Info("request given up", "request", req.Request, "route", req.route.Name, "estimateMs", int64(remaining),
		"timeLeftMs", int64(r.Left))
	return &fault.RefusalError{
		Reason: fault.DeadlineUnreachable, Ran: fault.NotRun, RetryAfter: jitter(retryAfterFull), Detail: "not enough time left for the stages",
	}
}

func (g *Gate) reachRequest(req *request) *reach.Request {
	now := g.Clock.Now()
	r := &reach.Request{
		Stages: req.route.Stages, Pieces: req.Pieces, Done: make([]bool, len(req.route.Stages)),
		Slack: req.neededBy - now, Left: req.deadline - now, Penalty: penalty(req), Returned: req.afterRefusal, Generation: float64(req.generationEstimate),
	}
	for i := range r.Done {
		r.Done[i] = !req.run.Waiting(i)
	}
	return r
}

// penalty returns the time by which a request is ranked behind others. It is the sum of one
// penalty for the priority of the organisation (that of the route if the organisation has
// none), one for the priority of the route, and latePenalty for a request admitted late.
func penalty(req *request) clock.Millis {
	base := clock.Millis(0)
	if req.admittedLate {
		base = latePenalty
	}
	return base + clock.Millis(max(req.priority, 0))*organisationPenalty + clock.Millis(max(req.route.Priority, 0))*routePenalty
}

// poolQueue returns the state of a pool's queue over all its shards, or nil if the pool's
// engines compute no pieces.
func (g *Gate) poolQueue(name string) *reach.Queue {
	batching := g.Config.Table().Batching(name)
	if batching == nil {
		return nil
	}
	var shards []*reach.Queue
	for _, shard := range g.View().Shards(name) {
		q, _ := g.shardQueue(&shard, batching)
		shards = append(shards, q)
	}
	q := reach.Merge(shards)
	q.Bounds, q.ResultMemory = batch.BoundsOf(batching), batching.ResultMemory
	q.PendingArrivals = inflow.AddClasses(g.arrivals.PoolPieces(name, g.Clock.Now()), g.mesh.PendingArrivals(name))
	return q
}

// shardQueue returns the state of a shard's queue: from this process if it owns the shard,
// else from the owner's last report. If there is no report yet, known is false.
func (g *Gate) shardQueue(shard *view.Shard, batching *table.Batching) (q *reach.Queue, known bool) {
	load, staleness, known := g.shardLoad(shard)
	q = &reach.Queue{Bounds: batch.BoundsOf(batching), ResultMemory: batching.ResultMemory}
	if known {
		q.Engines, q.Free, q.BatchSize, q.Queued = load.Engines, load.Free, load.BatchSize, load.Queued
		q.Staleness = float64(staleness)
		return q, true
	}
	// Without a report the queue is taken to be empty.
	q.Engines = max(len(shard.Endpoints), 1)
	q.Free = q.Engines
	return q, false
}

func (g *Gate) shardLoad(shard *view.Shard) (load wire.PoolLoad, staleness clock.Millis, known bool) {
	if g.ownerOf(shard.Name) == g.mesh.Self() {
		load, known = g.host.Load(shard.Name)
		return load, 0, known
	}
	return g.mesh.PoolLoad(shard.Name)
}

// ownerOf returns the process that owns a shard, or a pool that is not divided into shards.
func (g *Gate) ownerOf(name string) string {
	zone := ""
	if shard := g.View().Shard(name); shard != nil {
		zone = shard.Zone
	}
	return g.mesh.OwnerIn(name, zone)
}

// minTimeAfter returns the time that the stages after the given one, and the request
// itself, take if nothing is queued.
func (g *Gate) minTimeAfter(req *request, stage int) clock.Millis {
	r := g.reachRequest(req)
	for i := range r.Done {
		r.Done[i] = !req.run.DependsOn(i, stage)
	}
	return clock.Millis(r.Remaining(func(name string) *reach.Queue {
		batching := g.Config.Table().Batching(name)
		if batching == nil {
			return nil
		}
		return &reach.Queue{Bounds: batch.BoundsOf(batching), Free: 1, Engines: 1}
	}))
}
