package host

import (
	"cmp"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/guard/memory"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// usable returns how many engines of a pool take calls, and those of them that
// could take one now.
func (h *Host) usable(q *queue, pool *table.Batching) (all int, free []*engine) {
	if pool == nil {
		return 0, nil
	}
	return h.usableOf(q, pool, h.endpoints(q.name))
}

func (h *Host) usableOf(q *queue, pool *table.Batching, endpoints []*view.Endpoint) (all int, free []*engine) {
	now := h.Clock.Now()
	for _, endpoint := range endpoints {
		if endpoint.Unavailable() {
			continue
		}
		all++ // one that failed a moment ago, too: it is back before a queue of any length
		if endpoint.Blocked(now) {
			continue
		}
		e := q.engine(endpoint)
		if e.calls < max(pool.Calls, 1) {
			free = append(free, e)
		}
	}
	return all, free
}

// dispatch starts calls as long as pieces wait and engines are free.
func (h *Host) dispatch(q *queue) {
	pool := h.pool(q.name)
	if pool == nil {
		return
	}
	bounds, now := batch.BoundsOf(pool), h.Clock.Now()
	for _, late := range q.waiting.DropTooLate(bounds, now) {
		h.fail(late.Owner.(*Job), fault.DeadlinePassed)
	}
	for _, stuck := range q.waiting.DropStuck(now) {
		h.fail(stuck.Owner.(*Job), stuck.Owner.(*Job).failed)
	}
	for _, g := range q.waiting.DeferLate(bounds, now) {
		h.Log.Info("late work yields", "pool", q.name, logs.KeyRequest, g.Request, "stage", g.Stage,
			"lateMs", int64(now-g.NeededBy), "pieces", g.Queued(), "waiting", q.waiting.Pieces())
	}
	h.returnUnused(q, pool)
	if q.waiting.Pieces() == 0 {
		return
	}
	limits := limitsOf(pool)
	_, free := h.usable(q, pool)
	free = withoutSlow(h.ready(q, free, limits, now), q.waiting.Pieces(), bounds)
	slices.SortStableFunc(free, func(a, b *engine) int { return cmp.Compare(a.slow, b.slow) })
	tried := h.tried(q, pool, limits, now)
	for i, e := range free {
		if len(tried) > 0 && h.Deploy.DrawCandidate(h.poolOf(q.name), callsRoute) {
			e, tried = tried[0], tried[1:]
		}
		slot := batch.Slot{
			Zone: e.Zone, FreeBytes: e.memory.Available(limits, now), FreeEngines: len(free) - i,
			AllowRetryFunc: func() bool { return h.Retry(h.poolOf(q.name)) },
		}
		items := q.waiting.NextBatch(bounds, slot, now)
		if len(items) == 0 {
			continue
		}
		if q.waiting.Pieces() > 0 {
			q.fill = mix(q.fill, float64(len(items)))
		}
		h.start(q, e, pool, items)
	}
}

// ready returns those of some engines whose memory is known and not being cleared.
func (h *Host) ready(q *queue, free []*engine, limits memory.Limits, now clock.Millis) []*engine {
	return slices.DeleteFunc(free, func(e *engine) bool {
		return h.unknown(q, e, limits, now) || e.memory.Freeing(limits, now)
	})
}

// tried returns the free engines of the candidate version at which calls are tried,
// none while no rollout runs or all calls go there.
func (h *Host) tried(q *queue, pool *table.Batching, limits memory.Limits, now clock.Millis) []*engine {
	next := h.candidates(q.name)
	if len(next) == 0 || h.Deploy.Promoted(h.poolOf(q.name), callsRoute) {
		return nil
	}
	_, free := h.usableOf(q, pool, h.Deploy.ActiveCandidates(h.poolOf(q.name), next))
	return h.ready(q, free, limits, now)
}

// fillWeight is the part of the newest call in the usual fill of calls.
const fillWeight = 0.15

// mix moves a usual value by one that was seen.
func mix(usual, seen float64) float64 {
	if usual == 0 {
		return seen
	}
	return usual + fillWeight*(seen-usual)
}

// withoutSlow leaves slow engines out as long as one call to each of the others
// takes all that waits: what goes to a slow engine comes back late.
func withoutSlow(free []*engine, waiting int, bounds batch.Bounds) []*engine {
	fast := slices.DeleteFunc(slices.Clone(free), func(e *engine) bool { return e.slow >= slowFrom })
	if waiting <= len(fast)*bounds.Pieces {
		return fast
	}
	return free
}
