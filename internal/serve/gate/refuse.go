package gate

import (
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/span"
	"github.com/jujubescale/jujubescale/internal/guard/grace"
	"github.com/jujubescale/jujubescale/internal/serve/front"
	"github.com/jujubescale/jujubescale/internal/serve/spool"
)

// refuse ends a request that gets no complete answer from an endpoint.
func (g *Gate) refuse(w http.ResponseWriter, req *request, refused *fault.RefusalError) {
	refused.RequestID = req.Request
	if req.headSent {
		// The caller has received a part of the answer. Only a broken connection shows the
		// caller that the rest is missing.
		g.recordEnd(req, refused)
		_ = spool.Finish(w) // the answer breaks off after what is ready
		panic(http.ErrAbortHandler)
	}
	if refused.Reason == fault.Cancelled {
		g.recordEnd(req, refused)
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	if refused.Reason == fault.BodyTooLarge || refused.Reason == fault.BadRequest {
		w.Header().Set("Connection", "close")
	}
	g.recordRefusal(req, refused)
	req.status = front.Refuse(w, refused)
	g.recordEnd(req, refused)
}

// refuseLacking refuses a request for which the host lacks memory, file descriptors or
// bandwidth.
func (g *Gate) refuseLacking() *fault.RefusalError {
	lack := g.Spare.Check(g.Clock.Now())
	if lack == nil {
		return nil
	}
	g.meter.lacking.WithLabelValues(string(lack.Resource)).Inc()
	return &fault.RefusalError{Reason: fault.Overloaded, Ran: fault.NotRun, RetryAfter: jitter(lack.RetryAfter), Detail: lack.String()}
}

// refuseUnended refuses a request that is not expected to end before a planned stop cuts it. Another process serves
// it at once. A stream that its caller has begun to read goes on here: what it still gets is not lost by a cut.
func (g *Gate) refuseUnended(req *request, step grace.Step) *fault.RefusalError {
	work := grace.Work{Kind: req.kind(step), EndsBy: req.deadline + answerMargin, OnceOnly: !req.route.Idempotent()}
	if req.headSent || g.stop.MayBegin(work, g.Clock.Now()) {
		return nil
	}
	g.meter.unended.WithLabelValues(string(step)).Inc()
	const detail = "the process is being stopped before the request can be expected to end"
	return &fault.RefusalError{Reason: fault.Leaving, Ran: fault.NotRun, RetryAfter: jitter(retryAfterLeaving), Detail: detail}
}

// kind returns the requests whose times tell how long this one takes from a step on.
func (r *request) kind(step grace.Step) grace.Kind {
	return grace.Kind{Route: r.route.Name, Pool: r.pool.Name, Step: step}
}

// jitter returns a random time between 3/4 and 5/4 of base, so that callers refused
// together don't return together.
func jitter(base clock.Millis) clock.Millis {
	return base*3/4 + rand.N(base/2+1)
}

// recordEnd logs and counts the end of a request.
func (g *Gate) recordEnd(req *request, refused *fault.RefusalError) {
	took := g.Clock.Since(req.began)
	reason, ran, detail, route, endpoint, maxGap := "", "", "", "", "", clock.Millis(0)
	if refused != nil {
		reason, ran, detail = string(refused.Reason), string(refused.Ran), refused.LogDetail()
	}
	if req.route != nil {
		route, maxGap = req.route.Name, req.route.MaxGap
	}
	if refused == nil || refused.Reason == fault.DeadlinePassed {
		g.stop.Record(req.kind(grace.Arrived), took, g.Clock.Now())
	}
	if req.lastEndpoint != nil {
		endpoint = req.lastEndpoint.ID
	}
	g.meter.requestEnded(route, reason, req.status, took)
	g.Log.Info("request ended", "request", req.Request, "configuration", g.Config.VersionOf(&req.decision), "configurationAgeMs", int64(req.decision.Age()), "claim", g.Config.Claim(&req.decision), "status", req.status, "reason", reason, "detail", detail,
		"route", route, "organisation", req.organisation, "ran", ran,
		"tookMs", int64(took), "estimateMs", int64(req.estimate), "stagesMs", int64(req.stagesTime), "heldMs", int64(req.timeToSend), "firstMs", int64(req.firstEventTime),
		"objectiveMs", int64(req.neededBy-req.firstArrival), "sinceFirstMs", int64(req.began-req.firstArrival), "pool", req.bottleneck, "spans", span.Format(req.spans),
		"sent", req.sentCount, "endpoint", endpoint, "events", req.eventCount, "longestGapMs", int64(req.gaps.Longest), "maxGapMs", int64(maxGap),
		"timeLeftMs", int64(req.deadline-g.Clock.Now()))
}

// asRefusal returns the refusal in err, or a refusal with the given reason.
func asRefusal(err error, otherwise fault.Reason) *fault.RefusalError {
	var refused *fault.RefusalError
	if errors.As(err, &refused) {
		return refused
	}
	return fault.Refuse(otherwise, err.Error())
}
