package gate

import (
	"context"
	"errors"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/guard/grace"
	"github.com/jujubescale/jujubescale/internal/guard/room"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
	"github.com/jujubescale/jujubescale/internal/serve/spool"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// maxUnreachable bounds the number of unreachable endpoints that are tried for one
	// request.
	maxUnreachable = 4
	// paceWaitShare is the share of a request's objective for which it waits for an
	// endpoint whose rate limit holds it back. A longer wait would cost the caller more
	// than a retry.
	paceWaitShare = 0.125
	// maxRoomAsks is the number of owners that are asked for one attempt. While engines are
	// full, each further owner would be asked in vain, too.
	maxRoomAsks = 3
)

// outcome is the way in which an attempt at an endpoint ended.
type outcome int

const (
	// answered: the caller has the complete answer, or has disconnected while receiving it.
	answered outcome = iota
	// unsent: nothing reached the endpoint.
	unsent
	// notRun: the endpoint refused the request and will never run it.
	notRun
	// inputsGone: like notRun, because an input no longer exists.
	inputsGone
	// broken: the endpoint may have run the request, but sent no complete answer.
	broken
	// failed: the endpoint answered with a failure. It is passed on or, if the request may
	// be repeated, another endpoint is tried.
	failed
)

// run runs the stages and the attempts of a request and ends it.
func (g *Gate) run(ctx context.Context, w http.ResponseWriter, req *request) {
	defer func() { req.stream.End() }()
	err := g.findOrigin(ctx, req)
	if err == nil {
		err = g.refuseBeforeStages(req)
	}
	if err == nil {
		err = g.runStages(ctx, req)
	}
	if err == nil {
		err = g.runAttempts(ctx, w, req)
	}
	if req.run != nil {
		g.releaseResults(req, req.run.References())
	}
	if err == nil {
		req.body.Release() // a slow caller doesn't hold it
		if unread := spool.Finish(w); unread != nil {
			err = fault.Refuse(fault.Cancelled, unread.Error())
		}
	}
	if err == nil {
		g.recordEnd(req, nil)
		return
	}
	g.refuse(w, req, g.refusal(ctx, req, err))
}

// refusal returns the refusal for a request that failed with err. It states the reason and
// whether the request may have run.
func (g *Gate) refusal(ctx context.Context, req *request, err error) *fault.RefusalError {
	refused := asRefusal(err, fault.EndpointFailed)
	switch {
	case g.open.Context().Err() != nil:
		refused = fault.Refuse(fault.Leaving, "the request was still open at the end of the planned stop")
	case errors.Is(ctx.Err(), context.Canceled):
		refused = fault.Refuse(fault.Cancelled, "the caller closed the connection")
		var cut *spool.CutError
		if errors.As(context.Cause(ctx), &cut) {
			refused.Detail = cut.Error()
		}
	case ctx.Err() != nil:
		refused = fault.Refuse(fault.DeadlineUnreachable, "the request's deadline passed")
	}
	if req.mayHaveRun {
		return ambiguousRefusal(refused)
	}
	refused.Ran = fault.NotRun
	return refused
}

// ambiguousRefusal returns a refusal that leaves open whether the request ran. A status
// that means "not run" would make the caller repeat a request that must run once, such as a
// booking.
func ambiguousRefusal(refused *fault.RefusalError) *fault.RefusalError {
	reason := refused.Reason
	switch reason {
	case fault.Cancelled, fault.AnswerBroken, fault.EndpointFailed:
	case fault.DeadlineUnreachable, fault.DeadlinePassed:
		reason = fault.DeadlinePassed
	default:
		reason = fault.OutcomeUnknown
	}
	return &fault.RefusalError{Reason: reason, Ran: fault.MayHaveRun, Detail: refused.Detail}
}

// runAttempts sends the request to one endpoint after the other until one answers or no
// other may be tried.
func (g *Gate) runAttempts(ctx context.Context, w http.ResponseWriter, req *request) error {
	var chosen choice
	for {
		if chosen.target == nil {
			var err error
			if chosen, err = g.awaitEndpoint(ctx, req); err != nil {
				return err
			}
		}
		if req.sentCount == 0 {
			g.retryBudget.Earn(req.pool.Name)
			req.timeToSend = g.Clock.Since(req.began)
		}
		refused := g.refuseVersion(ctx, req, chosen.target.Version)
		if refused != nil && g.otherVersion(req) {
			chosen.room.Release()
			chosen = choice{}
			continue
		}
		if refused == nil {
			refused = g.refuseUnended(req, grace.Chosen)
		}
		if refused == nil {
			refused = g.refuseQuarantinedAttempt(req) // takes the only trial of the request
		}
		if refused != nil {
			chosen.room.Release()
			return refused
		}
		result := g.attempt(ctx, w, req, chosen)
		if result.outcome == answered || ctx.Err() != nil {
			result.next.room.Release()
			return result.err
		}
		g.awaitVerdict(ctx, result.verdict)
		chosen = result.next
		if err := g.prepareRetry(ctx, req, result); err != nil {
			chosen.room.Release()
			return err
		}
	}
}

// prepareRetry prepares the next attempt, or returns the error for the caller if there is
// none.
func (g *Gate) prepareRetry(ctx context.Context, req *request, result attemptResult) error {
	if result.outcome == unsent {
		req.unreachable++
		if req.unreachable >= maxUnreachable {
			return fault.Refuse(fault.NoEndpoint, "no endpoint could be reached")
		}
		return nil
	}
	if !result.retryGranted && !g.takeRetry(req, result) {
		return result.err
	}
	g.meter.retries.WithLabelValues(req.pool.Name, result.label()).Inc()
	if req.run == nil || (result.outcome != inputsGone && !req.run.ResultsMissing()) {
		return nil
	}
	req.stageRestarts++
	if req.stageRestarts > maxStageRestarts {
		return result.err
	}
	g.releaseResults(req, req.run.Restart())
	return g.runStages(ctx, req)
}

// takeRetry reports whether the request may be sent to one more endpoint, and takes that
// attempt from the retry budget.
func (g *Gate) takeRetry(req *request, result attemptResult) bool {
	repeatable := req.route.Idempotent() || result.outcome == notRun || result.outcome == inputsGone
	if req.headSent && (req.route.Kind != table.Stream || !req.route.Resumable) {
		return false
	}
	if !repeatable || req.sentCount >= max(req.route.Attempts, 1) || g.refuseUnended(req, grace.Chosen) != nil {
		return false
	}
	if req.headSent && !g.mayResume(req) {
		_ = g.versionGone(req) // the caller's answer breaks off with the error of the attempt
		return false
	}
	return g.retryBudget.Take(req.pool.Name)
}

// awaitEndpoint chooses an endpoint. If the rate limits of all endpoints hold the request
// back, or none has room for it, it waits for one, up to paceWaitShare of the objective. After
// that, or if maxRoomAsks owners had no room, it asks no more owners and chooses among the
// endpoints that need no permit.
func (g *Gate) awaitEndpoint(ctx context.Context, req *request) (choice, error) {
	waitUntil := g.Clock.Now() + clock.Millis(paceWaitShare*float64(req.route.Objective))
	req.unlimitedOnly = false
	// noRoom is the shortest wait that an owner without room has stated.
	var noRoom clock.Millis
	for asks := 1; ; asks++ {
		chosen := g.choose(req)
		now := g.Clock.Now()
		if chosen.target != nil {
			if chosen.room, chosen.wait = g.take(ctx, req, chosen.target); chosen.wait == 0 {
				return chosen, nil
			}
			if g.limits.WaitFor(chosen.target.Endpoint, req.need(), now) > 0 {
				noRoom = g.shortestNoRoom(noRoom, chosen.wait)
				if !req.unlimitedOnly {
					req.unlimitedOnly = g.Clock.Now() >= waitUntil || (asks >= maxRoomAsks && g.limits.Shared() > 0)
					continue // another endpoint may take the request now
				}
				chosen.limitedBy = chosen.target.Endpoint
			}
		}
		switch {
		case chosen.wait == 0 && req.origin != nil:
			return choice{}, g.versionGone(req)
		case chosen.wait == 0:
			return choice{}, &fault.RefusalError{Reason: fault.NoEndpoint, Ran: fault.NotRun, RetryAfter: jitter(retryAfterNoEndpoint)}
		case now+chosen.wait > waitUntil && chosen.limitedBy != nil:
			return choice{}, g.rateRefusal(req, chosen.limitedBy, max(chosen.wait, noRoom))
		case now+chosen.wait > waitUntil:
			return choice{}, &fault.RefusalError{Reason: fault.ColdStart, Ran: fault.NotRun, RetryAfter: jitter(max(chosen.wait, retryAfterCold))}
		}
		if err := g.Clock.Sleep(ctx, chosen.wait); err != nil {
			return choice{}, err
		}
		req.unlimitedOnly, asks = false, 0
	}
}

// shortestNoRoom returns the shorter of two waits for room, 0 for none if no engine shares its
// host.
func (g *Gate) shortestNoRoom(known, wait clock.Millis) clock.Millis {
	if g.limits.Shared() == 0 || (known > 0 && known <= wait) {
		return known
	}
	return wait
}

// take counts the start of the request at an endpoint and reserves what it takes there. It
// returns the time to wait if a rate limit of the endpoint or lack of room holds the request
// back.
func (g *Gate) take(ctx context.Context, req *request, t *target.Target) (permit.Reservation, clock.Millis) {
	reserved, wait := g.limits.Reserve(ctx, t.Endpoint, permit.Use{Request: req.Request, Need: req.need(), Deadline: req.deadline})
	if wait > 0 {
		return reserved, wait
	}
	now := g.Clock.Now()
	if wait = t.TryStart(g.startLimit(req.pool, t.Endpoint, now), now); wait > 0 {
		reserved.Release()
	}
	return reserved, wait
}

// need returns what the request can need at most of an engine.
func (r *request) need() room.Need {
	if r.pool.Generation == nil {
		return room.Need{}
	}
	// Callers state both values; without a bound their sum could overflow.
	return room.Need{Tokens: min(r.PromptTokens, room.Unlimited/2) + min(r.OutputTokens, room.Unlimited/2), Places: 1}
}

// Retry times of refusals: an endpoint's entry appears within about a second of its start,
// and a cold endpoint soon accepts another request.
const (
	retryAfterNoEndpoint = 600 * clock.Millis(1)
	retryAfterCold       = 250 * clock.Millis(1)
	retryAfterFull       = 200 * clock.Millis(1)
	// retryAfterLeaving is short, because every other gateway can serve the request at once.
	retryAfterLeaving = 50 * clock.Millis(1)
	// retryAfterOverload leaves time for the refusal to reach the peers.
	retryAfterOverload = 350 * clock.Millis(1)
)

// attemptResult is the outcome of one attempt, and the error for the caller if no other
// attempt follows.
type attemptResult struct {
	outcome outcome
	err     error
	// cause is the error that kept the request from reaching the endpoint.
	cause error
	// retryGranted is set if the retry budget for another attempt has already been taken, and
	// next is where that attempt goes if that is known.
	retryGranted bool
	next         choice
	// verdict is closed once the crash that broke off the attempt is counted; it may be nil.
	verdict <-chan struct{}
}

// label returns the outcome as a metric label.
func (r attemptResult) label() string {
	if r.next.target != nil {
		return "silent"
	}
	switch r.outcome {
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
