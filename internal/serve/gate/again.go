package gate

import (
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/recall"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// refusalKey returns a key that all attempts of one caller's request on a route share,
// derived from the key of their pieces. It is 0 for a request without a piece key.
func refusalKey(req *request) uint64 {
	if req.PieceKey == "" || req.route == nil {
		return 0
	}
	return recall.KeyOf(req.route.Name, req.organisation, req.PieceKey)
}

// applyEarlierRefusal checks whether the caller was refused earlier with a retry time. If
// so, the time to the objective counts from the caller's first attempt.
func (g *Gate) applyEarlierRefusal(req *request) {
	refusal, found := g.refusals.Lookup(refusalKey(req), req.began)
	if !found {
		return
	}
	req.firstArrival, req.afterRefusal = refusal.FirstArrival, true
	req.neededBy = req.firstArrival + req.route.Objective
	g.meter.returns.WithLabelValues(req.route.Name).Inc()
	g.Log.Info("caller came back", "request", req.Request, "route", req.route.Name, "firstMs", int64(req.began-req.firstArrival),
		"slackMs", int64(req.neededBy-req.began))
}

// recordRefusal records that a caller was refused with a retry time.
func (g *Gate) recordRefusal(req *request, refused *fault.RefusalError) {
	key := refusalKey(req)
	if key == 0 || refused.Ran != fault.NotRun || refused.RetryAfter == 0 {
		return
	}
	now := g.Clock.Now()
	g.refusals.Add(recall.Refusal{Key: key, FirstArrival: req.firstArrival, RetryAt: now + refused.RetryAfter}, now)
}

// UnsentRefusals returns the refusals with a retry time that peers have not been sent yet.
func (g *Gate) UnsentRefusals() []wire.Refused {
	now := g.Clock.Now()
	var refused []wire.Refused
	for _, refusal := range g.refusals.TakeUnsent() {
		refused = append(refused, wire.Refused{Key: refusal.Key, Age: now - refusal.FirstArrival, Wait: refusal.RetryAt - now})
	}
	return refused
}

// AddPeerRefusals records the refusals with a retry time that a peer reported.
func (g *Gate) AddPeerRefusals(refused []wire.Refused) {
	now := g.Clock.Now()
	refusals := make([]recall.Refusal, 0, len(refused))
	for _, r := range refused {
		refusals = append(refusals, recall.Refusal{Key: r.Key, FirstArrival: now - max(r.Age, 0), RetryAt: now + r.Wait})
	}
	g.refusals.AddRemote(refusals, now)
}
