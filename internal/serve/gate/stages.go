package gate

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/spill"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// organisationPenalty and routePenalty put work behind that of the next
	// higher priority whose objective ends so much later.
	organisationPenalty = 200 * clock.Millis(1)
	routePenalty        = 500 * clock.Millis(1)
	// maxOwners is how many owners of a pool are asked when sessions break, and
	// ownerPause the time between them: sessions tell of a planned stop within
	// some milliseconds, and a restarted process has joined again by then.
	maxOwners  = 8
	ownerPause = 40 * clock.Millis(1)
	// maxRestarts is how often stages are made again because a result was lost.
	maxRestarts = 1
)

// runStages makes everything that the request reads.
func (g *Gate) runStages(ctx context.Context, req *request) error {
	if req.run == nil {
		return nil
	}
	began := g.Clock.Now()
	req.generation = g.plan(req)
	defer req.unplan()
	if err := g.begins(req); err != nil {
		return err
	}
	err := newProgress(g, req).run(ctx)
	req.stages = g.Clock.Since(began)
	if err == nil && !req.behind {
		g.routes.of(req.route.Name).correction.Observe(req.estimate, req.stages+req.generation, g.Clock.Now())
	}
	g.meter.stages.WithLabelValues(req.route.Name).Observe(seconds(req.stages))
	return err
}

// ask describes the pieces of one stage to their owner.
func (g *Gate) ask(req *request, stage int) *wire.Pieces {
	now := g.Clock.Now()
	inputs := req.run.Inputs(stage)
	after := g.after(req, stage)
	ask := &wire.Pieces{
		Pool: req.route.Stages[stage].Pool, Request: req.Request, Stage: stage, Count: req.run.Pieces(stage),
		Inputs: inputs, TimeLeft: req.deadline - now - after,
		Slack: req.objective - now - after, Bytes: req.route.Stages[stage].ResultBytes,
		Penalty: penalty(req),
	}
	g.near(req, ask)
	if len(req.route.Stages[stage].After) == 0 {
		ask.Key = req.PieceKey
	}
	return ask
}

const (
	// readBytes is the amount of inputs from which a stage runs where they lie.
	readBytes = 500_000
	// readShare is the part of the slack that a stage waits for an engine there,
	// and maxRead the longest. Requests whose stages before ran in a zone are as
	// many as its engines could serve, so that waiting costs little.
	readShare = 0.4
	maxRead   = 800 * clock.Millis(1)
	// holdPerMB is how long it is worth to wait for an engine where the results
	// are wanted, for each megabyte that would cross zones otherwise: what place
	// weighs a megabyte with.
	holdPerMB = 42 * clock.Millis(1)
	// holdShare is the part of the slack that may be spent on that, and maxHold
	// the longest: about a call.
	holdShare = 0.25
	maxHold   = 250 * clock.Millis(1)
)

// near chooses the availability zone for a stage: where its inputs lie if they
// weigh more than its results, else where the request will probably run. Each
// piece reads all inputs, so that a few small results read by many pieces weigh
// more than anything else.
func (g *Gate) near(req *request, ask *wire.Pieces) {
	var read int64
	for _, before := range req.route.Stages[ask.Stage].After {
		read += req.route.Stages[before].ResultBytes * int64(req.run.Pieces(before)*ask.Count)
	}
	made := ask.Bytes * int64(ask.Count)
	slack := float64(max(ask.Slack, 0))
	if req.behind {
		slack = float64(max(ask.TimeLeft, 0)) // it is late already; results that cross zones cost the same
	}
	switch {
	case read >= readBytes && read > made:
		ask.Zone = req.zoneOf(ask.Inputs)
		ask.Hold, ask.Firm = min(clock.Millis(readShare*slack), maxRead), true
	case !g.followed(req, ask.Stage):
		ask.Zone = req.wish
		ask.Hold = min(clock.Millis(float64(holdPerMB)*float64(made)/1e6), clock.Millis(holdShare*slack), maxHold)
	}
}

// followed reports whether another stage reads the results of one.
func (g *Gate) followed(req *request, stage int) bool {
	for i := range req.route.Stages {
		if req.run.Pieces(i) > 0 && req.run.DependsOn(i, stage) {
			return true
		}
	}
	return false
}

// zoneOf returns the availability zone where most of some references lie.
func (r *request) zoneOf(references []string) string {
	counts := make(map[string]int, 4)
	best := ""
	for _, reference := range references {
		zone := r.made[reference].zone
		counts[zone]++
		if counts[zone] > counts[best] || best == "" {
			best = zone
		}
	}
	return best
}

// make asks the owner of a pool for pieces, and its successor when the owner is
// lost or leaves: pieces may be made again. While hosts are restarted one after
// the other, processes see different owners for a moment, and the next one may
// just leave, too; asked again a little later, one of them stays.
func (g *Gate) make(ctx context.Context, req *request, ask *wire.Pieces, fetched func()) (*wire.Made, error) {
	tried := make(map[string]bool)
	pool, hold := ask.Pool, ask.Hold
	for try := range maxOwners {
		if err := g.pauseBefore(ctx, try); err != nil {
			return nil, err
		}
		ask.TimeLeft = req.deadline - g.Clock.Now() - g.after(req, ask.Stage)
		ask.Hold = hold
		g.chooseShard(ask, pool, tried)
		made, err := g.askOwner(ctx, ask, fetched)
		var lost *mesh.LostError
		switch {
		case errors.As(err, &lost):
			tried[ask.Pool] = true
			g.Log.Info("owner lost", "request", req.Request, "pool", ask.Pool, "peer", lost.Peer, "try", try)
		case err != nil:
			return nil, err
		case made.Reason == fault.Leaving:
		case made.Reason == fault.ZoneLeft:
			tried[ask.Pool] = true
			g.Log.Info("shard dissolved", "request", req.Request, "pool", ask.Pool, "try", try)
		case made.Reason != "":
			return nil, g.stageRefused(req, ask, made)
		default:
			return made, nil
		}
	}
	return nil, fault.Refuse(fault.NoEndpoint, "owners of "+pool+" were lost")
}

// chooseShard directs a request for pieces to a shard of its pool. One in another
// zone than is wanted makes them anywhere.
func (g *Gate) chooseShard(ask *wire.Pieces, pool string, tried map[string]bool) {
	parts, batching := g.View().Shards(pool), g.Table().Batching(pool)
	if len(parts) == 0 || batching == nil {
		ask.Pool = pool
		return
	}
	if len(parts) == 1 {
		ask.Pool = parts[0].Name
		return
	}
	want := spill.Preference{Zone: ask.Zone, ExtraWait: ask.Hold}
	if want.Zone == "" {
		want.Zone = g.Zone
	}
	shards := make([]spill.Shard, len(parts))
	for i := range parts {
		q, known := g.shardQueue(&parts[i], batching)
		shards[i] = spill.Shard{
			Zone: parts[i].Zone, Wait: q.Wait(ask.Slack+ask.Penalty, 0), Known: known, Staleness: clock.Millis(q.Staleness), Tried: tried[parts[i].Name],
		}
	}
	at := spill.Choose(shards, want, rand.IntN)
	if at == spill.None {
		clear(tried)
		at = rand.IntN(len(parts))
	}
	ask.Pool = parts[at].Name
	if parts[at].Zone != ask.Zone {
		ask.Hold = 0
	}
}

// pauseBefore waits before another owner is asked. The first successor is known
// at once.
func (g *Gate) pauseBefore(ctx context.Context, try int) error {
	if try < 2 {
		return nil
	}
	return g.Clock.Sleep(ctx, ownerPause)
}

// stageRefused is the end of a request whose pieces the owner gave up.
func (g *Gate) stageRefused(req *request, ask *wire.Pieces, made *wire.Made) error {
	g.Log.Info("stage refused", "request", req.Request, "pool", ask.Pool, "stage", ask.Stage,
		"reason", made.Reason, "timeLeftMs", int64(req.deadline-g.Clock.Now()))
	reason := made.Reason
	if reason == fault.EndpointFailed {
		reason = fault.NoEndpoint // the request itself has not run
	}
	return &fault.RefusalError{Reason: reason, Ran: fault.NotRun, RetryAfter: made.RetryAfter, Detail: "stage in " + ask.Pool}
}

func (g *Gate) askOwner(ctx context.Context, ask *wire.Pieces, fetched func()) (*wire.Made, error) {
	if to := g.ownerOf(ask.Pool); to != g.mesh.Self() {
		return g.mesh.RequestPieces(ctx, to, ask, fetched)
	}
	answer := make(chan host.Outcome, 1)
	job := g.host.Submit(ask, fetched, func(outcome host.Outcome) { answer <- outcome })
	select {
	case outcome := <-answer:
		return outcome.Made(), nil
	case <-ctx.Done():
		g.host.Drop(job)
		return nil, ctx.Err()
	}
}

// giveBack returns results that nobody needs any more to their owners.
func (g *Gate) giveBack(req *request, references []string) { g.give(req, references, wire.Unused{}) }

// readTime is how long a model engine with a free slot takes to read its
// inputs: some megabytes over links that carry one in a millisecond, and the
// time until it looks at the request.
const readTime = 80 * clock.Millis(1)

// spareInputs tells the owners that a model engine reads a request's inputs
// now. Its first event, with which they are surely read, may come a second
// later, and meanwhile they would keep memory from other calls. One with no free
// slot reads them only once it has one.
func (g *Gate) spareInputs(req *request, t *target.Target) {
	if req.run == nil || t.Load.Running.Load()+t.Load.PeerRunning.Load() >= int64(req.pool.Generation.Slots) {
		return
	}
	g.give(req, req.run.FinalResults(), wire.Unused{Spare: true, Delay: readTime})
}

// give tells owners of results that are not needed any more, in the way that
// the message for each owner has in common.
func (g *Gate) give(req *request, references []string, common wire.Unused) {
	byPool := make(map[string]*wire.Unused)
	for _, reference := range references {
		at := req.made[reference]
		unused := byPool[at.pool]
		if unused == nil {
			unused = &wire.Unused{Pool: at.pool, Spare: common.Spare, Delay: common.Delay}
			byPool[at.pool] = unused
		}
		unused.References = append(unused.References, reference)
		unused.Endpoints = append(unused.Endpoints, at.endpoint)
		unused.Bytes = append(unused.Bytes, at.bytes)
	}
	for pool, unused := range byPool {
		if to := g.ownerOf(pool); to != g.mesh.Self() {
			g.mesh.FreeResults(to, unused)
			continue
		}
		g.host.Unused(unused)
	}
}
