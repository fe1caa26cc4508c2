package gate

import (
	"context"
	"errors"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/span"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// stageEvent reports that a stage has ended or, if inputsRead is set, that it has read its
// inputs.
type stageEvent struct {
	stage      int
	began      clock.Millis
	inputsRead bool
	// pool is the shard whose owner computed the pieces.
	pool    string
	results *wire.Results
	err     error
}

// progress runs the stages of one request.
type progress struct {
	g   *Gate
	req *request
	// stageEvents has room for all events, so that senders never block: each stage may run
	// twice, with two events for each run.
	stageEvents chan stageEvent
	running     int
	restarts    int
	// failure is the error after which no further stage starts.
	failure error
	// arrivals holds the pending arrivals of each stage, nil for none.
	arrivals []*inflow.Work
	// postponed marks the stages that were postponed at least once.
	postponed []bool
	// nextCheck is when the postponed stages are considered again, 0 for none.
	nextCheck clock.Millis
}

func newProgress(g *Gate, req *request) *progress {
	stages := len(req.route.Stages)
	return &progress{g: g, req: req, stageEvents: make(chan stageEvent, 4*stages), arrivals: make([]*inflow.Work, stages), postponed: make([]bool, stages)}
}

// addPendingArrivals registers the pieces of stages that will run later, so that all
// processes take them into account when they admit requests.
func (p *progress) addPendingArrivals() {
	for stage := range p.arrivals {
		if p.arrivals[stage] != nil || !p.req.run.Waiting(stage) || len(p.req.route.Stages[stage].After) == 0 {
			continue
		}
		p.arrivals[stage] = &inflow.Work{
			Pool: p.req.route.Stages[stage].Pool, Pieces: p.req.run.Pieces(stage),
			Rank: p.req.neededBy - p.g.minTimeAfter(p.req, stage) + penalty(p.req),
		}
		p.g.arrivals.Add(p.arrivals[stage])
	}
}

// removePendingArrivals removes the pieces of a stage from the pending arrivals.
func (p *progress) removePendingArrivals(stage int) {
	if p.arrivals[stage] != nil {
		p.g.arrivals.Remove(p.arrivals[stage])
		p.arrivals[stage] = nil
	}
}

// run runs the stages and returns once none runs and none is left to start.
func (p *progress) run(ctx context.Context) error {
	p.addPendingArrivals()
	defer func() {
		for stage := range p.arrivals {
			p.removePendingArrivals(stage)
		}
	}()
	for {
		if p.failure == nil {
			p.failure = p.g.checkDeadline(p.req)
		}
		if p.failure == nil {
			p.startReady(ctx)
		}
		if p.running == 0 {
			return p.failure
		}
		p.awaitEvent()
	}
}

// startReady starts the stages that can run, except those that are better postponed. If no
// other stage runs, it starts one in any case.
func (p *progress) startReady(ctx context.Context) {
	p.nextCheck = 0
	ready := p.req.run.Ready()
	r := p.g.reachRequest(p.req)
	for _, stage := range ready {
		wait := r.StageDelay(stage, p.g.poolQueue)
		if wait > 0 && (p.running > 0 || len(ready) > 1) {
			p.postpone(stage, wait)
			continue
		}
		p.start(ctx, stage)
	}
	if p.running == 0 && len(ready) > 0 {
		p.start(ctx, ready[0])
	}
}

// postpone schedules another check of a stage. It logs the first postponement.
func (p *progress) postpone(stage int, wait clock.Millis) {
	p.nextCheck = earlier(p.nextCheck, p.g.Clock.Now()+wait)
	if p.postponed[stage] {
		return
	}
	p.postponed[stage] = true
	p.g.Log.Info("stage put off", "request", p.req.Request, "stage", stage, "pool", p.req.route.Stages[stage].Pool,
		"waitMs", int64(wait), "resultBytes", p.req.route.Stages[stage].ResultBytes, "pieces", p.req.run.Pieces(stage))
}

// earlier returns the earlier of two instants, where 0 means none.
func earlier(a, b clock.Millis) clock.Millis {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (p *progress) start(ctx context.Context, stage int) {
	p.req.run.Begin(stage)
	p.removePendingArrivals(stage)
	p.running++
	pieces := p.g.piecesRequest(p.req, stage)
	began := p.g.Clock.Now()
	go func() {
		inputsRead := func() { p.stageEvents <- stageEvent{stage: pieces.Stage, inputsRead: true} }
		results, err := p.g.requestPieces(ctx, p.req, pieces, inputsRead)
		p.stageEvents <- stageEvent{stage: pieces.Stage, began: began, pool: pieces.Pool, results: results, err: err}
	}()
}

// awaitEvent handles the next event, or returns when postponed stages are to be considered
// again.
func (p *progress) awaitEvent() {
	var checkDue <-chan struct{}
	if p.nextCheck > 0 {
		due, stopTimer := p.g.Clock.After(max(p.nextCheck-p.g.Clock.Now(), 1))
		defer stopTimer()
		checkDue = due
	}
	select {
	case event := <-p.stageEvents:
		p.handle(event)
	case <-checkDue:
	}
}

func (p *progress) handle(event stageEvent) {
	run := p.req.run
	if event.inputsRead {
		run.MarkInputsRead(event.stage)
		p.g.sendUnused(p.req, run.Reclaimable(), wire.Unused{Reclaimable: true})
		return
	}
	p.running--
	p.req.spans = append(p.req.spans, span.Span{Stage: event.stage, Start: event.began - p.req.began, Duration: p.g.Clock.Since(event.began), Failed: event.err != nil})
	switch {
	case event.err == nil:
		p.recordResults(event)
	case isInputGone(event.err) && p.restarts < maxStageRestarts && p.failure == nil:
		p.restarts++
		p.g.releaseResults(p.req, run.ResetStage(event.stage))
	default:
		p.failure = errors.Join(p.failure, event.err)
	}
}

func isInputGone(err error) bool {
	var refused *fault.RefusalError
	return errors.As(err, &refused) && refused.Reason == fault.InputLost
}

// recordResults stores the locations of a stage's results and releases those that are no
// longer needed.
func (p *progress) recordResults(event stageEvent) {
	stage := p.req.route.Stages[event.stage]
	for i, reference := range event.results.References {
		location := resultLocation{pool: event.pool, bytes: stage.ResultBytes}
		if i < len(event.results.Zones) && i < len(event.results.Endpoints) {
			location.zone, location.endpoint = event.results.Zones[i], event.results.Endpoints[i]
		}
		p.req.results[reference] = location
	}
	p.req.run.Finish(event.stage, event.results.References)
	p.g.releaseResults(p.req, p.req.run.ReleaseConsumed())
}
