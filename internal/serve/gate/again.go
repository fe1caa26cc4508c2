package gate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/recall"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// recallKey names a caller's request: all its attempts have the same key for
// their pieces, on the same route. 0 for a request without one.
func recallKey(req *request) uint64 {
	if req.PieceKey == "" || req.route == nil {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{req.route.Name, req.organisation, req.PieceKey} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// recognise takes up a request where its caller was told to come back: its
// objective counts from the first attempt.
func (g *Gate) recognise(req *request) {
	refusal, returned := g.recall.Lookup(recallKey(req), req.began)
	if !returned {
		return
	}
	req.arrived, req.returned = refusal.FirstArrival, true
	req.objective = req.arrived + req.route.Objective
	g.meter.returns.WithLabelValues(req.route.Name).Inc()
	g.Log.Info("caller came back", "request", req.Request, "route", req.route.Name, "firstMs", int64(req.began-req.arrived),
		"slackMs", int64(req.objective-req.began))
}

// remember notes that a caller was told to come back.
func (g *Gate) remember(req *request, refused *fault.RefusalError) {
	key := recallKey(req)
	if key == 0 || refused.Ran != fault.NotRun || refused.RetryAfter == 0 {
		return
	}
	now := g.Clock.Now()
	g.recall.Add(recall.Refusal{Key: key, FirstArrival: req.arrived, RetryAt: now + refused.RetryAfter}, now)
}

// UnsentRefusals returns the callers told to come back that peers don't know of yet.
func (g *Gate) UnsentRefusals() []wire.Refused {
	now := g.Clock.Now()
	var refused []wire.Refused
	for _, refusal := range g.recall.TakeUnsent() {
		refused = append(refused, wire.Refused{Key: refusal.Key, Age: now - refusal.FirstArrival, Wait: refusal.RetryAt - now})
	}
	return refused
}

// AddPeerRefusals remembers callers that a peer told to come back.
func (g *Gate) AddPeerRefusals(refused []wire.Refused) {
	now := g.Clock.Now()
	refusals := make([]recall.Refusal, 0, len(refused))
	for _, r := range refused {
		refusals = append(refusals, recall.Refusal{Key: r.Key, FirstArrival: now - max(r.Age, 0), RetryAt: now + r.Wait})
	}
	g.recall.AddRemote(refusals, now)
}
