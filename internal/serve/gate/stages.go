package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/spill"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// organisationPenalty and routePenalty rank work as if its objective ended so much
	// later for each step of lower priority.
	organisationPenalty = 200 * clock.Millis(1)
	routePenalty        = 500 * clock.Millis(1)
	// maxOwnerAttempts is how often pieces are requested from an owner when sessions break,
	// and ownerRetryDelay the time between the attempts: sessions announce a planned stop
	// within some milliseconds, and a restarted process has joined again by then.
	maxOwnerAttempts = 8
	ownerRetryDelay  = 40 * clock.Millis(1)
	// maxStageRestarts is how often stages are run again because a result was lost.
	maxStageRestarts = 1
)

// runStages admits the request and runs its stages.
func (g *Gate) runStages(ctx context.Context, req *request) error {
	if req.run == nil {
		return nil
	}
	began := g.Clock.Now()
	req.generationEstimate = g.planEngine(req)
	defer req.cancelPlan()
	if err := g.admit(req); err != nil {
		return err
	}
	err := newProgress(g, req).run(ctx)
	req.stagesTime = g.Clock.Since(began)
	if err == nil && !req.admittedLate {
		g.routeStats.Get(req.route.Name).Correction.Observe(req.estimate, req.stagesTime+req.generationEstimate, g.Clock.Now())
	}
	g.meter.stages.WithLabelValues(req.route.Name).Observe(seconds(req.stagesTime))
	return err
}

// piecesRequest returns the message that requests the pieces of a stage from a pool's
// owner.
func (g *Gate) piecesRequest(req *request, stage int) *wire.Pieces {
	now := g.Clock.Now()
	inputs := req.run.Inputs(stage)
	after := g.minTimeAfter(req, stage)
	pieces := &wire.Pieces{
		Pool: req.route.Stages[stage].Pool, Request: req.Request, Stage: stage, Count: req.run.Pieces(stage),
		Inputs: inputs, TimeLeft: req.deadline - now - after,
		Slack: req.neededBy - now - after, Bytes: req.route.Stages[stage].ResultBytes,
		Penalty: penalty(req),
	}
	g.chooseZone(req, pieces)
	if len(req.route.Stages[stage].After) == 0 {
		pieces.Key = req.PieceKey
	}
	return pieces
}

const (
	// localInputBytes is the size of the inputs from which a stage runs in the zone where
	// they are stored.
	localInputBytes = 500_000
	// inputZoneWaitShare is the share of the slack that a stage waits for an engine in that
	// zone, and maxInputZoneWait the upper bound. The earlier stages ran there for no more
	// requests than the zone's engines could serve, so the wait costs little.
	inputZoneWaitShare = 0.4
	maxInputZoneWait   = 800 * clock.Millis(1)
	// resultZoneWaitPerMB is how long a stage waits for an engine in the zone where its
	// results are needed, for each megabyte that would otherwise cross zones. It equals the
	// weight of a megabyte in package place.
	resultZoneWaitPerMB = 42 * clock.Millis(1)
	// resultZoneWaitShare is the share of the slack that this wait may take, and
	// maxResultZoneWait the upper bound, about the time of a call.
	resultZoneWaitShare = 0.25
	maxResultZoneWait   = 250 * clock.Millis(1)
)

// chooseZone sets the availability zone for a stage: where its inputs are stored if they
// are larger than its results, else where the request will probably run. Each piece reads
// all inputs, so that even a few small inputs read by many pieces can outweigh everything
// else.
func (g *Gate) chooseZone(req *request, pieces *wire.Pieces) {
	var inputBytes int64
	for _, before := range req.route.Stages[pieces.Stage].After {
		inputBytes += req.route.Stages[before].ResultBytes * int64(req.run.Pieces(before)*pieces.Count)
	}
	resultBytes := pieces.Bytes * int64(pieces.Count)
	slack := float64(max(pieces.Slack, 0))
	if req.admittedLate {
		slack = float64(max(pieces.TimeLeft, 0)) // the request is already late; results that cross zones cost the same
	}
	switch {
	case inputBytes >= localInputBytes && inputBytes > resultBytes:
		pieces.Zone = req.mainZone(pieces.Inputs)
		pieces.Hold, pieces.HoldUnderLoad = min(clock.Millis(inputZoneWaitShare*slack), maxInputZoneWait), true
	case !g.hasReader(req, pieces.Stage):
		pieces.Zone = req.preferredZone
		pieces.Hold = min(clock.Millis(float64(resultZoneWaitPerMB)*float64(resultBytes)/1e6), clock.Millis(resultZoneWaitShare*slack), maxResultZoneWait)
	}
}

// hasReader reports whether another stage reads the results of a stage.
func (g *Gate) hasReader(req *request, stage int) bool {
	for i := range req.route.Stages {
		if req.run.Pieces(i) > 0 && req.run.DependsOn(i, stage) {
			return true
		}
	}
	return false
}

// mainZone returns the availability zone where most of the given references are stored.
func (r *request) mainZone(references []string) string {
	counts := make(map[string]int, 4)
	best := ""
	for _, reference := range references {
		zone := r.results[reference].zone
		counts[zone]++
		if counts[zone] > counts[best] || best == "" {
			best = zone
		}
	}
	return best
}

// requestPieces requests pieces from the owner of a pool, and from its successor if the
// owner is lost or leaves; computing pieces twice is safe. While hosts are restarted one
// after the other, processes briefly disagree on the owner, and the next owner may be
// leaving too. After a delay, some owner is found that does not leave.
func (g *Gate) requestPieces(ctx context.Context, req *request, pieces *wire.Pieces, inputsRead func()) (*wire.Results, error) {
	tried := make(map[string]bool)
	pool, hold := pieces.Pool, pieces.Hold
	for attempt := range maxOwnerAttempts {
		if err := g.waitBeforeOwner(ctx, attempt); err != nil {
			return nil, err
		}
		pieces.TimeLeft = req.deadline - g.Clock.Now() - g.minTimeAfter(req, pieces.Stage)
		pieces.Hold = hold
		g.chooseShard(pieces, pool, tried)
		results, err := g.sendToOwner(ctx, pieces, inputsRead)
		var lost *mesh.LostError
		switch {
		case errors.As(err, &lost):
			tried[pieces.Pool] = true
			g.Log.Info("owner lost", "request", req.Request, "pool", pieces.Pool, "peer", lost.Peer, "try", attempt)
		case err != nil:
			return nil, err
		case results.Reason == fault.Leaving:
		case results.Reason == fault.ZoneEvacuated:
			tried[pieces.Pool] = true
			g.Log.Info("shard dissolved", "request", req.Request, "pool", pieces.Pool, "try", attempt)
		case g.hasOtherShard(pool, pieces.Pool, results, tried):
			tried[pieces.Pool] = true
			g.Log.Info("shard held", "request", req.Request, "pool", pieces.Pool, "try", attempt, "reason", results.Reason, "retryAfterMs", int64(results.RetryAfter))
		case results.Reason != "":
			return nil, g.stageRefusal(req, pieces, results)
		default:
			return results, nil
		}
	}
	return nil, fault.Refuse(fault.NoEndpoint, "no owner of pool "+pool+" is available")
}

// hasOtherShard reports whether a shard has refused pieces because all of its engines leave
// or rest, and another shard of the pool was not tried yet.
func (g *Gate) hasOtherShard(pool, refusing string, results *wire.Results, tried map[string]bool) bool {
	if results.RetryAfter == 0 || (results.Reason != fault.NoEndpoint && results.Reason != fault.Overloaded) {
		return false
	}
	return slices.ContainsFunc(g.View().Shards(pool), func(s view.Shard) bool { return s.Name != refusing && !tried[s.Name] })
}

// chooseShard sets the shard of the pool that computes the pieces. A shard outside the
// requested zone places them at any of its engines.
func (g *Gate) chooseShard(pieces *wire.Pieces, pool string, tried map[string]bool) {
	poolShards, batching := g.View().Shards(pool), g.Config.Table().Batching(pool)
	if len(poolShards) == 0 || batching == nil {
		pieces.Pool = pool
		return
	}
	if len(poolShards) == 1 {
		pieces.Pool = poolShards[0].Name
		return
	}
	preference := spill.Preference{Zone: pieces.Zone, ExtraWait: pieces.Hold}
	if preference.Zone == "" {
		preference.Zone = g.Zone
	}
	shards := make([]spill.Shard, len(poolShards))
	for i := range poolShards {
		q, known := g.shardQueue(&poolShards[i], batching)
		shards[i] = spill.Shard{
			Zone: poolShards[i].Zone, Wait: q.Wait(pieces.Slack+pieces.Penalty, 0), Known: known, Staleness: clock.Millis(q.Staleness), Tried: tried[poolShards[i].Name],
		}
	}
	index := spill.Choose(shards, preference, rand.IntN)
	if index == spill.None {
		clear(tried)
		index = rand.IntN(len(poolShards))
	}
	pieces.Pool = poolShards[index].Name
	if poolShards[index].Zone != pieces.Zone {
		pieces.Hold = 0
	}
}

// waitBeforeOwner waits before the request to the owner is repeated. There is no wait before
// the second attempt, because the first successor is known at once.
func (g *Gate) waitBeforeOwner(ctx context.Context, attempt int) error {
	if attempt < 2 {
		return nil
	}
	return g.Clock.Sleep(ctx, ownerRetryDelay)
}

// stageRefusal returns the refusal of a request whose pieces the owner refused.
func (g *Gate) stageRefusal(req *request, pieces *wire.Pieces, results *wire.Results) error {
	g.Log.Info("stage refused", "request", req.Request, "pool", pieces.Pool, "stage", pieces.Stage,
		"reason", results.Reason, "timeLeftMs", int64(req.deadline-g.Clock.Now()))
	reason := results.Reason
	if reason == fault.EndpointFailed {
		reason = fault.NoEndpoint // EndpointFailed would mean that the request itself may have run
	}
	return &fault.RefusalError{Reason: reason, Ran: fault.NotRun, RetryAfter: results.RetryAfter, Detail: "refused by a stage in pool " + pieces.Pool}
}

func (g *Gate) sendToOwner(ctx context.Context, pieces *wire.Pieces, inputsRead func()) (*wire.Results, error) {
	if to := g.ownerOf(pieces.Pool); to != g.mesh.Self() {
		return g.mesh.RequestPieces(ctx, to, pieces, inputsRead)
	}
	answer := make(chan host.Outcome, 1)
	job := g.host.Submit(pieces, inputsRead, func(outcome host.Outcome) { answer <- outcome })
	select {
	case outcome := <-answer:
		return outcome.Message(), nil
	case <-ctx.Done():
		g.host.Drop(job)
		return nil, ctx.Err()
	}
}

// releaseResults notifies the owners of results that these are no longer needed.
func (g *Gate) releaseResults(req *request, references []string) {
	g.sendUnused(req, references, wire.Unused{})
}

// inputReadTime is how long a model engine with a free slot takes to read its inputs: some
// megabytes over links that carry a megabyte per millisecond, and the time until it starts
// the request.
const inputReadTime = 80 * clock.Millis(1)

// releaseInputsEarly notifies the owners that a request's inputs are soon reclaimable,
// because a model engine is reading them. Its first event, which proves that they were
// read, may come a second later, and until then the inputs would take memory from other
// calls. An engine without a free slot reads them only once it has one, so nothing is
// released early for it.
func (g *Gate) releaseInputsEarly(req *request, t *target.Target) {
	if req.run == nil || t.Load.Running.Load()+t.Load.PeerRunning.Load() >= int64(req.pool.Generation.Slots) {
		return
	}
	g.sendUnused(req, req.run.FinalResults(), wire.Unused{Reclaimable: true, Delay: inputReadTime})
}

// sendUnused sends the owners the list of results that are no longer needed. The other
// fields of each message are taken from common.
func (g *Gate) sendUnused(req *request, references []string, common wire.Unused) {
	byPool := make(map[string]*wire.Unused)
	for _, reference := range references {
		location := req.results[reference]
		unused := byPool[location.pool]
		if unused == nil {
			unused = &wire.Unused{Pool: location.pool, Reclaimable: common.Reclaimable, Delay: common.Delay}
			byPool[location.pool] = unused
		}
		unused.References = append(unused.References, reference)
		unused.Endpoints = append(unused.Endpoints, location.endpoint)
		unused.Bytes = append(unused.Bytes, location.bytes)
	}
	for pool, unused := range byPool {
		if to := g.ownerOf(pool); to != g.mesh.Self() {
			g.mesh.FreeResults(to, unused)
			continue
		}
		g.host.MarkUnused(unused)
	}
}
