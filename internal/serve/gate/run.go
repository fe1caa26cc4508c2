package gate

import (
	"context"
	"errors"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
)

const (
	// maxUnsent is how many endpoints are tried that could not be reached.
	maxUnsent = 4
	// waitShare is the part of a request's objective for which it waits for an
	// endpoint that is only held back by its pace; waiting longer costs the
	// caller more than coming back.
	waitShare = 0.125
)

// end says how one attempt at an endpoint ended.
type end int

const (
	// answered: the caller has its whole answer.
	answered end = iota
	// unsent: nothing reached the endpoint.
	unsent
	// notRun: the endpoint refused the request and never runs it.
	notRun
	// inputsGone: as notRun, because a result that it reads no longer exists.
	inputsGone
	// broken: the endpoint may have run the request, and no whole answer came.
	broken
	// failed: the endpoint's own failure, which can be passed on or, where the
	// request may be repeated, tried elsewhere.
	failed
)

// run brings a request to its end.
func (g *Gate) run(ctx context.Context, w http.ResponseWriter, req *request) {
	err := g.runStages(ctx, req)
	if err == nil {
		err = g.attempts(ctx, w, req)
	}
	if req.run != nil {
		g.giveBack(req, req.run.References())
	}
	if err == nil {
		g.ended(req, nil)
		return
	}
	g.refuse(w, req, g.refusal(ctx, req, err))
}

// refusal says why a request gets no answer, and whether it may have run.
func (g *Gate) refusal(ctx context.Context, req *request, err error) *fault.RefusalError {
	refused := asRefusal(err, fault.EndpointFailed)
	switch {
	case g.cut.Err() != nil:
		refused = fault.Refuse(fault.Leaving, "the planned stop ended")
	case errors.Is(ctx.Err(), context.Canceled):
		refused = fault.Refuse(fault.Cancelled, "the caller left")
	case ctx.Err() != nil:
		refused = fault.Refuse(fault.WontMakeIt, "no time left")
	}
	if req.mayHaveRun {
		return mayHaveRun(refused)
	}
	refused.Ran = fault.NotRun
	return refused
}

// mayHaveRun turns a refusal into one that promises nothing: a status that
// stands for "not run" would make the caller send a booking again.
func mayHaveRun(refused *fault.RefusalError) *fault.RefusalError {
	reason := refused.Reason
	switch reason {
	case fault.Cancelled, fault.AnswerBroken, fault.EndpointFailed:
	case fault.WontMakeIt, fault.DeadlinePassed:
		reason = fault.DeadlinePassed
	default:
		reason = fault.OutcomeUnknown
	}
	return &fault.RefusalError{Reason: reason, Ran: fault.MayHaveRun, Detail: refused.Detail}
}

// attempts sends the request to one endpoint after the other until one
// answers or no other may be tried.
func (g *Gate) attempts(ctx context.Context, w http.ResponseWriter, req *request) error {
	for {
		chosen, err := g.await(ctx, req)
		if err != nil {
			return err
		}
		if req.sent == 0 {
			g.extras.Earn(req.pool.Name)
			req.held = g.Clock.Since(req.began)
		}
		if refused := g.refuseAttempt(req); refused != nil {
			return refused
		}
		result := g.attempt(ctx, w, req, chosen)
		if result.end == answered || ctx.Err() != nil {
			return result.err
		}
		if err := g.next(ctx, req, result); err != nil {
			return err
		}
	}
}

// next prepares another attempt, or returns why there is none.
func (g *Gate) next(ctx context.Context, req *request, result result) error {
	if result.end == unsent {
		req.missed++
		if req.missed >= maxUnsent {
			return fault.Refuse(fault.NoEndpoint, "no endpoint could be reached")
		}
		return nil
	}
	if !result.granted && !g.another(req, result) {
		return result.err
	}
	g.meter.retries.WithLabelValues(req.pool.Name, result.name()).Inc()
	if result.end != inputsGone && (req.run == nil || !req.run.ResultsMissing()) {
		return nil
	}
	req.restarts++
	if req.restarts > maxRestarts {
		return result.err
	}
	g.giveBack(req, req.run.Restart())
	return g.runStages(ctx, req)
}

// another reports whether the request may be sent to one more endpoint, and
// spends the budget for that.
func (g *Gate) another(req *request, result result) bool {
	repeats := req.route.Idempotent() || result.end == notRun || result.end == inputsGone
	if req.begun && (req.route.Kind != table.Stream || !req.route.Resumable) {
		return false
	}
	return repeats && req.sent < max(req.route.Attempts, 1) && g.extras.Take(req.pool.Name)
}

// await chooses an endpoint; if all are held back by their pace it waits a
// little for one.
func (g *Gate) await(ctx context.Context, req *request) (choice, error) {
	patience := g.Clock.Now() + clock.Millis(waitShare*float64(req.route.Objective))
	for {
		chosen := g.choose(req)
		if chosen.target != nil {
			now := g.Clock.Now()
			wait := chosen.target.Start(g.paceOf(req, chosen.target.Endpoint, now), now)
			if wait == 0 {
				return chosen, nil
			}
			chosen.wait = wait
		}
		switch {
		case chosen.wait == 0:
			return choice{}, &fault.RefusalError{Reason: fault.NoEndpoint, Ran: fault.NotRun, RetryAfter: spread(comeBackNone)}
		case g.Clock.Now()+chosen.wait > patience:
			return choice{}, &fault.RefusalError{Reason: fault.ColdStart, Ran: fault.NotRun, RetryAfter: spread(max(chosen.wait, comeBackCold))}
		}
		if err := g.Clock.Sleep(ctx, chosen.wait); err != nil {
			return choice{}, err
		}
	}
}

// Times to come back after refusals: an endpoint's entry appears within a
// second or so of its start, and a cold one takes another request soon.
const (
	comeBackNone = 600 * clock.Millis(1)
	comeBackCold = 250 * clock.Millis(1)
	comeBackFull = 200 * clock.Millis(1)
	// comeBackLoad leaves peers the time to hear of the refusal.
	comeBackLoad = 350 * clock.Millis(1)
)

// result is the end of one attempt, and the error for the caller if no other
// follows.
type result struct {
	end end
	err error
	// cause is why nothing reached the endpoint.
	cause error
	// granted says that the budget for another attempt has been spent already.
	granted bool
}

// name returns the end as a label.
func (r result) name() string {
	switch r.end {
	case notRun:
		return "notRun"
	case inputsGone:
		return "inputGone"
	case failed:
		return "failed"
	default:
		return "broken"
	}
}
