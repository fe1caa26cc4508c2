package host

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/guard/memory"
	"github.com/jujubescale/jujubescale/internal/guard/rate"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// engine is the state of one stage engine at the owner of its pool.
type engine struct {
	*view.Endpoint
	// calls is the number of running calls.
	calls  int
	memory *memory.Account
	// slowdown is the moving average of the ratio of actual to expected duration of
	// its calls, at least 1.
	slowdown float64
	// bucket grants the requests to an engine that states a limit. This process is the
	// only one that sends it requests.
	bucket rate.Bucket
	// callEndsAt is the expected end of the last call.
	callEndsAt clock.Millis
	// handedUntil is until when the engine works for the previous owner, as that stated.
	handedUntil clock.Millis
	// prompt is set if the last call started without waiting behind a call of
	// another owner.
	prompt bool
}

// limitWait returns the time until the rest of an engine is over and its limit allows another
// request, 0 for now.
func (h *Host) limitWait(e *engine, now clock.Millis) clock.Millis {
	rest := h.RestFunc(e.Endpoint, now)
	if limit := h.LimitFunc(e.Endpoint); limit > 0 {
		return max(e.bucket.Wait(limit, now), rest)
	}
	return rest
}

// takeLimit counts a request to an engine and reports whether its limit allows the request
// and it doesn't rest.
func (h *Host) takeLimit(e *engine, now clock.Millis) bool {
	if h.RestFunc(e.Endpoint, now) > 0 {
		return false
	}
	limit := h.LimitFunc(e.Endpoint)
	return limit == 0 || e.bucket.Take(limit, now) == 0
}

// foreignHolder returns the engine that stores a result of a previous owner. It
// returns nil if the endpoint is gone, or if this process has owned the pool for so
// long that the result must have been freed already.
func (h *Host) foreignHolder(q *queue, endpoint string, pool *table.Batching, now clock.Millis) *engine {
	e := q.engine(h.View().Find(endpoint))
	if e == nil || !e.memory.MayHold(limitsOf(pool), now) {
		return nil
	}
	return e
}

// limitsOf returns the limits of the result memory of a pool's engines.
func limitsOf(pool *table.Batching) memory.Limits {
	return memory.Limits{Capacity: pool.ResultMemory, Retention: pool.Retention}
}

// engine returns the engine of an endpoint and creates it if necessary. It returns
// nil for a nil endpoint.
func (q *queue) engine(endpoint *view.Endpoint) *engine {
	if endpoint == nil {
		return nil
	}
	e := q.engines[endpoint]
	if e == nil {
		e = &engine{Endpoint: endpoint, memory: memory.New(q.clock.Now()), slowdown: 1}
		q.engines[endpoint] = e
	}
	return e
}

// holder returns the engine that stores a result of this process, nil if there is
// none.
func (q *queue) holder(reference string) *engine {
	for _, e := range q.engines {
		if e.memory.Holds(reference) {
			return e
		}
	}
	return nil
}

// callsRoute is the route under which rollouts count the calls of all stages. Calls
// can't be counted by route, because one call holds pieces of many requests.
const callsRoute = "calls"

// endpoints returns the endpoints of a pool or shard: those of the candidate version
// once a rollout sends it all calls.
func (h *Host) endpoints(name string) []*view.Endpoint {
	if pool := h.poolOf(name); h.Deploy.Promoted(pool, callsRoute) {
		if candidates := h.candidates(name); len(candidates) > 0 {
			return candidates
		}
	}
	if found := h.View().Shard(name); found != nil {
		return found.Endpoints
	}
	return h.View().Pool(name)
}

// candidates returns the endpoints of the candidate version of a pool's rollout. For
// a shard it returns only those in the zone of the shard.
func (h *Host) candidates(name string) []*view.Endpoint {
	all := h.View().Candidates(h.poolOf(name))
	found := h.View().Shard(name)
	if found == nil || found.Zone == "" {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e *view.Endpoint) bool { return e.Zone != found.Zone })
}
