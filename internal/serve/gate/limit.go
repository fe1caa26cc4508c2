package gate

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
)

// Limits returns the limits that endpoints state.
func (g *Gate) Limits() *permit.Book { return g.limits }

// refuseBeforeStages refuses a request with stages if all endpoints that could run it after
// them have stated that they leave, or are held back by their limits or rests for longer than
// the request can wait. The work of its stages would be lost.
func (g *Gate) refuseBeforeStages(req *request) error {
	if req.run == nil || !g.limits.Holding() {
		return nil
	}
	now := g.Clock.Now()
	var soonest clock.Millis
	var limitedBy *view.Endpoint
	endpoints := g.View().Pool(req.pool.Name)
	if req.origin != nil {
		endpoints = g.resumeEndpoints(req)
	}
	for _, e := range endpoints {
		if g.limits.Unavailable(e) {
			continue
		}
		wait := g.limits.Wait(e, now)
		if wait == 0 {
			return nil
		}
		if soonest == 0 || wait < soonest {
			soonest, limitedBy = wait, e
		}
	}
	switch {
	case limitedBy == nil && g.allLeave(req.pool.Name):
		g.Log.Info("all endpoints leave", "request", req.Request, "pool", req.pool.Name)
		return &fault.RefusalError{Reason: fault.NoEndpoint, Ran: fault.NotRun, RetryAfter: jitter(retryAfterNoEndpoint)}
	case limitedBy == nil || now+soonest <= req.neededBy:
		return nil
	}
	return g.rateRefusal(req, limitedBy, soonest)
}

// allLeave reports whether all endpoints of a pool that the view lists have stated that they
// leave. It is false for a pool without endpoints: others may be listed before the stages end.
func (g *Gate) allLeave(pool string) bool {
	endpoints := slices.Concat(g.View().Pool(pool), g.View().Candidates(pool))
	return len(endpoints) > 0 && !slices.ContainsFunc(endpoints, func(e *view.Endpoint) bool { return !g.limits.Unavailable(e) })
}

// rateRefusal refuses a request that no endpoint can take because of the limits that they
// state, one of which is limitedBy, or because they rest or have no room. An endpoint may take
// one after wait.
func (g *Gate) rateRefusal(req *request, limitedBy *view.Endpoint, wait clock.Millis) error {
	if g.limits.Rest(limitedBy, g.Clock.Now()) > 0 {
		after := permit.ReturnAfter(wait)
		g.Log.Info("all endpoints rest", "request", req.Request, "pool", req.pool.Name, "endpoint", limitedBy.ID, "waitMs", int64(wait), "retryAfterMs", int64(after))
		return &fault.RefusalError{Reason: fault.Overloaded, Ran: fault.NotRun, RetryAfter: after}
	}
	if g.limits.Limit(limitedBy) == 0 {
		need, after := req.need(), permit.ReturnAfter(max(wait, retryAfterFull))
		g.Log.Info("no engine has room", "request", req.Request, "pool", req.pool.Name, "endpoint", limitedBy.ID, "tokens", need.Tokens,
			"waitMs", int64(wait), "retryAfterMs", int64(after))
		return &fault.RefusalError{Reason: fault.Overloaded, Ran: fault.NotRun, RetryAfter: after}
	}
	limit := 0.0
	for _, e := range g.View().Pool(req.pool.Name) {
		limit += g.limits.Limit(e)
	}
	after := g.limits.ReturnAfter(req.pool.Name, wait, limit/float64(max(g.mesh.Count(), 1)))
	g.Log.Info("request rate limited", "request", req.Request, "pool", req.pool.Name, "endpoint", limitedBy.ID, "waitMs", int64(wait),
		"limit", limit, "retryAfterMs", int64(after))
	return &fault.RefusalError{Reason: fault.RateLimited, Ran: fault.NotRun, RetryAfter: after}
}
