package gate

import (
	"context"
	"errors"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// stageEnd is the end of one stage, or the news that it has read its inputs.
type stageEnd struct {
	stage   int
	began   clock.Millis
	fetched bool
	// pool is the shard whose owner made the pieces.
	pool string
	made *wire.Made
	err  error
}

// progress brings the stages of one request to their end.
type progress struct {
	g   *Gate
	req *request
	// ends holds what happened: each stage may run twice, and tells of its inputs
	// and of its end.
	ends     chan stageEnd
	running  int
	restarts int
	// failed is why no further stage is begun.
	failed error
	// inflow holds the pending arrivals of each stage, nil for none.
	inflow []*inflow.Work
	// delayed tells which stages have been put off.
	delayed []bool
	// look is when a stage that was put off is looked at again, 0 for none.
	look clock.Millis
}

func newProgress(g *Gate, req *request) *progress {
	stages := len(req.route.Stages)
	return &progress{g: g, req: req, ends: make(chan stageEnd, 4*stages), inflow: make([]*inflow.Work, stages), delayed: make([]bool, stages)}
}

// announce enters the stages that will run later, so that all processes count
// them when they admit others.
func (p *progress) announce() {
	for stage := range p.inflow {
		if p.inflow[stage] != nil || !p.req.run.Waiting(stage) || len(p.req.route.Stages[stage].After) == 0 {
			continue
		}
		p.inflow[stage] = &inflow.Work{
			Pool: p.req.route.Stages[stage].Pool, Pieces: p.req.run.Pieces(stage),
			Rank: p.req.objective - p.g.after(p.req, stage) + penalty(p.req),
		}
		p.g.inflow.Add(p.inflow[stage])
	}
}

// arrived takes a stage out of the work to come.
func (p *progress) arrived(stage int) {
	if p.inflow[stage] != nil {
		p.g.inflow.Remove(p.inflow[stage])
		p.inflow[stage] = nil
	}
}

// run returns once no stage runs and none is left to begin.
func (p *progress) run(ctx context.Context) error {
	p.announce()
	defer func() {
		for stage := range p.inflow {
			p.arrived(stage)
		}
	}()
	for {
		if p.failed == nil {
			p.failed = p.g.goesOn(p.req)
		}
		if p.failed == nil {
			p.begin(ctx)
		}
		if p.running == 0 {
			return p.failed
		}
		p.await()
	}
}

// begin begins the stages that can run, but for those that are put off. One
// that nothing else runs beside is never put off.
func (p *progress) begin(ctx context.Context) {
	p.look = 0
	ready := p.req.run.Ready()
	r := p.g.reachOf(p.req)
	for _, stage := range ready {
		wait := r.StageDelay(stage, p.g.queue)
		if wait > 0 && (p.running > 0 || len(ready) > 1) {
			p.putOff(stage, wait)
			continue
		}
		p.start(ctx, stage)
	}
	if p.running == 0 && len(ready) > 0 {
		p.start(ctx, ready[0])
	}
}

// putOff has a stage looked at again after a while. The first time is logged.
func (p *progress) putOff(stage int, wait clock.Millis) {
	p.look = soonest(p.look, p.g.Clock.Now()+wait)
	if p.delayed[stage] {
		return
	}
	p.delayed[stage] = true
	p.g.Log.Info("stage put off", "request", p.req.Request, "stage", stage, "pool", p.req.route.Stages[stage].Pool,
		"waitMs", int64(wait), "resultBytes", p.req.route.Stages[stage].ResultBytes, "pieces", p.req.run.Pieces(stage))
}

// soonest returns the earlier of two instants, of which 0 is none.
func soonest(a, b clock.Millis) clock.Millis {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (p *progress) start(ctx context.Context, stage int) {
	p.req.run.Begin(stage)
	p.arrived(stage)
	p.running++
	ask := p.g.ask(p.req, stage)
	began := p.g.Clock.Now()
	go func() {
		fetched := func() { p.ends <- stageEnd{stage: ask.Stage, fetched: true} }
		made, err := p.g.make(ctx, p.req, ask, fetched)
		p.ends <- stageEnd{stage: ask.Stage, began: began, pool: ask.Pool, made: made, err: err}
	}()
}

// await takes the next thing that happens, or returns when a stage that was put
// off is to be looked at again.
func (p *progress) await() {
	var again <-chan struct{}
	if p.look > 0 {
		expired, forget := p.g.Clock.After(max(p.look-p.g.Clock.Now(), 1))
		defer forget()
		again = expired
	}
	select {
	case end := <-p.ends:
		p.take(end)
	case <-again:
	}
}

func (p *progress) take(end stageEnd) {
	run := p.req.run
	if end.fetched {
		run.MarkFetched(end.stage)
		p.g.give(p.req, run.Reclaimable(), wire.Unused{Spare: true})
		return
	}
	p.running--
	p.req.spans = append(p.req.spans, span{stage: end.stage, from: end.began - p.req.began, took: p.g.Clock.Since(end.began), failed: end.err != nil})
	switch {
	case end.err == nil:
		p.finish(end)
	case isInputGone(end.err) && p.restarts < maxRestarts && p.failed == nil:
		p.restarts++
		p.g.giveBack(p.req, run.ResetStage(end.stage))
	default:
		p.failed = errors.Join(p.failed, end.err)
	}
}

func isInputGone(err error) bool {
	var refused *fault.RefusalError
	return errors.As(err, &refused) && refused.Reason == fault.InputGone
}

// finish notes where the results of a stage lie.
func (p *progress) finish(end stageEnd) {
	stage := p.req.route.Stages[end.stage]
	for i, reference := range end.made.References {
		at := madeAt{pool: end.pool, bytes: stage.ResultBytes}
		if i < len(end.made.Zones) && i < len(end.made.Endpoints) {
			at.zone, at.endpoint = end.made.Zones[i], end.made.Endpoints[i]
		}
		p.req.made[reference] = at
	}
	p.req.run.Finish(end.stage, end.made.References)
	p.g.giveBack(p.req, p.req.run.ReleaseConsumed())
}
