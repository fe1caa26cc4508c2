package host

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/guard/memory"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// engine is what the owner knows of one stage engine.
type engine struct {
	*view.Endpoint
	calls  int
	memory *memory.Account
	// slow is how many times longer than expected its calls take.
	slow float64
	// prompt says that the last call began when it was sent: no other owner's was
	// before it.
	prompt bool
}

// foreign returns the engine where a result lies that this owner doesn't know,
// because it was made for the owner before; nil when this process has owned the
// pool for so long that the result must have been given back already.
func (h *Host) foreign(q *queue, endpoint string, pool *table.Batching, now clock.Millis) *engine {
	e := q.engine(h.View().Find(endpoint))
	if e == nil || !e.memory.MayHold(limitsOf(pool), now) {
		return nil
	}
	return e
}

// limitsOf returns the bounds of an engine's memory for results.
func limitsOf(pool *table.Batching) memory.Limits {
	return memory.Limits{Capacity: pool.Room, Retention: pool.Keep}
}

// engine returns what is kept for an endpoint, nil for none.
func (q *queue) engine(endpoint *view.Endpoint) *engine {
	if endpoint == nil {
		return nil
	}
	e := q.engines[endpoint]
	if e == nil {
		e = &engine{Endpoint: endpoint, memory: memory.New(q.clock.Now()), slow: 1}
		q.engines[endpoint] = e
	}
	return e
}

// holder returns the engine where a result lies, nil when it isn't known.
func (q *queue) holder(reference string) *engine {
	for _, e := range q.engines {
		if e.memory.Holds(reference) {
			return e
		}
	}
	return nil
}

// callsRoute is the name under which calls of all stages are counted in rollouts:
// a call holds pieces of many requests.
const callsRoute = "calls"

// endpoints returns the engines of a pool or of a shard of it.
func (h *Host) endpoints(name string) []*view.Endpoint {
	if pool := h.poolOf(name); h.Deploy.Promoted(pool, callsRoute) {
		if next := h.candidates(name); len(next) > 0 {
			return next
		}
	}
	if part := h.View().Shard(name); part != nil {
		return part.Endpoints
	}
	return h.View().Pool(name)
}

// candidates returns the engines of the version that the pool's rollout goes to, of
// a pool or of the zone of a shard of it.
func (h *Host) candidates(name string) []*view.Endpoint {
	all := h.View().Candidates(h.poolOf(name))
	part := h.View().Shard(name)
	if part == nil || part.Zone == "" {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e *view.Endpoint) bool { return e.Zone != part.Zone })
}
