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
	"github.com/jujubescale/jujubescale/internal/serve/permit"
)

// usableEngines returns the number of available engines of a pool, and those of them
// that can take a call now.
func (h *Host) usableEngines(q *queue, pool *table.Batching) (count int, free []*engine) {
	if pool == nil {
		return 0, nil
	}
	return h.usableAmong(q, pool, h.endpoints(q.name))
}

func (h *Host) usableAmong(q *queue, pool *table.Batching, endpoints []*view.Endpoint) (count int, free []*engine) {
	now := h.Clock.Now()
	callSeconds := batch.BoundsOf(pool).Duration(pool.Pieces) / float64(clock.Second)
	limited := 0
	for _, endpoint := range endpoints {
		if h.UnavailableFunc(endpoint) {
			continue
		}
		if h.RestFunc(endpoint, now) > 0 {
			limited = 1
			continue
		}
		if limit := h.LimitFunc(endpoint); limit == 0 || limit*callSeconds >= minCallShare {
			count++ // includes blocked engines, which are usable again before a queue gets long
		} else {
			limited = 1
		}
		if endpoint.Blocked(now) {
			continue
		}
		e := q.engine(endpoint)
		if e.calls < max(pool.Calls, 1) && e.handedUntil <= now && h.limitWait(e, now) == 0 {
			free = append(free, e)
		}
	}
	return max(count, limited), free
}

// minCallShare is the share of its time that an engine must be allowed to work by its limit
// to count as an engine when waits are estimated.
const minCallShare = 0.5

// dispatch starts calls as long as there are queued pieces and free engines. The
// caller holds the lock.
func (h *Host) dispatch(q *queue) {
	pool := h.pool(q.name)
	if pool == nil {
		return
	}
	bounds, now := batch.BoundsOf(pool), h.Clock.Now()
	for _, group := range q.queued.DropTooLate(bounds, now) {
		h.failJob(group.Owner.(*Job), fault.DeadlinePassed)
	}
	if h.allLeave(q) {
		h.refuseLeaving(q)
		return
	}
	if rest := h.restOfAll(q, now); rest > 0 {
		for _, group := range q.queued.DropTooLate(bounds, now+rest) {
			h.refuseResting(group.Owner.(*Job), rest)
		}
	}
	for _, g := range q.queued.DeferLate(bounds, now) {
		h.Log.Info("late work yields", "pool", q.name, logs.KeyRequest, g.Request, "stage", g.Stage,
			"lateMs", int64(now-g.NeededBy), "pieces", g.Queued(), "waiting", q.queued.Pieces())
	}
	h.freeUnused(q, pool)
	if q.queued.Pieces() == 0 {
		return
	}
	limits := limitsOf(pool)
	_, free := h.usableEngines(q, pool)
	free = q.keepOwn(free, pool, now)
	free = withoutSlow(h.readyEngines(q, free, limits, now), q.queued.Pieces(), bounds)
	slices.SortStableFunc(free, func(a, b *engine) int { return cmp.Compare(a.slowdown, b.slowdown) })
	candidates := q.keepOwn(h.activeCandidates(q, pool, limits, now), pool, now)
	defer h.dropStuck(q, len(free)+len(candidates) > 0, now)
	for i, e := range free {
		if len(candidates) > 0 && h.Deploy.DrawCandidate(h.poolOf(q.name), callsRoute) {
			e, candidates = candidates[0], candidates[1:]
		}
		slot := batch.Slot{
			Zone: e.Zone, FreeBytes: e.memory.Available(limits, now), FreeEngines: len(free) - i,
			AllowRetryFunc: func() bool { return h.Retry(h.poolOf(q.name)) },
		}
		if h.limitWait(e, now) > 0 {
			continue // a report or a release of results was sent meanwhile
		}
		items := q.queued.NextBatch(bounds, slot, now)
		if len(items) == 0 {
			continue
		}
		h.takeLimit(e, now)
		if q.queued.Pieces() > 0 {
			q.batchSize = smooth(q.batchSize, float64(len(items)))
		}
		h.startCall(q, e, pool, items)
	}
	h.giveBackRest(q)
}

// noEngineTime is the time without an engine that runs or can take a call after which requeued
// pieces fail nevertheless. Engines that have failed a call get another one before.
const noEngineTime = blockFailed + reportTimeout

// dropStuck fails the jobs with requeued pieces that the retry budget did not allow to be sent
// for too long. They don't fail while no engine can take a call: the budget was not asked then.
// The caller holds the lock.
func (h *Host) dropStuck(q *queue, ready bool, now clock.Millis) {
	if ready {
		q.readyAt = now
	} else if now-q.readyAt < noEngineTime {
		return
	}
	for _, group := range q.queued.DropStuck(now) {
		h.failJob(group.Owner.(*Job), group.Owner.(*Job).lastFailure)
	}
}

// allLeave reports whether all engines of a pool that the view lists have stated that they
// leave.
func (h *Host) allLeave(q *queue) bool {
	endpoints := h.endpoints(q.name)
	return len(endpoints) > 0 && !slices.ContainsFunc(endpoints, func(e *view.Endpoint) bool { return !h.UnavailableFunc(e) })
}

// retryAfterLeaving is the earliest time after which a caller may return whose pieces no
// engine takes, because all leave: others are listed within about a second of their start.
const retryAfterLeaving = 600 * clock.Millis(1)

// refuseLeaving fails the queued jobs of a pool whose engines all leave. The caller holds the
// lock.
func (h *Host) refuseLeaving(q *queue) {
	var queued []*Job
	q.queued.Each(func(g *batch.Group) { queued = append(queued, g.Owner.(*Job)) })
	for _, job := range queued {
		job.result.RetryAfter = permit.ReturnAfter(retryAfterLeaving)
		h.failJob(job, fault.NoEndpoint)
	}
	if len(queued) > 0 {
		h.Log.Info("all endpoints leave", "pool", q.name, "jobs", len(queued), logs.KeyRequest, queued[0].group.Request)
	}
}

// restOfAll returns the time in ms until the first engine of a pool takes calls again if all
// of them rest, and 0 otherwise.
func (h *Host) restOfAll(q *queue, now clock.Millis) clock.Millis {
	soonest := clock.Millis(0)
	for _, endpoint := range h.endpoints(q.name) {
		if h.UnavailableFunc(endpoint) {
			continue
		}
		rest := h.RestFunc(endpoint, now)
		if rest == 0 {
			return 0
		}
		if soonest == 0 || rest < soonest {
			soonest = rest
		}
	}
	return soonest
}

// refuseResting fails a job because all engines of its pool rest for too long. The caller
// holds the lock.
func (h *Host) refuseResting(job *Job, rest clock.Millis) {
	job.result.RetryAfter = permit.ReturnAfter(rest)
	h.Log.Info("all endpoints rest", "pool", job.queueName, logs.KeyRequest, job.group.Request, "waitMs", int64(rest),
		"retryAfterMs", int64(job.result.RetryAfter))
	h.failJob(job, fault.Overloaded)
}

// readyEngines returns the engines of free whose memory state is known and that
// aren't freeing results now.
func (h *Host) readyEngines(q *queue, free []*engine, limits memory.Limits, now clock.Millis) []*engine {
	return slices.DeleteFunc(free, func(e *engine) bool {
		return h.needsReport(q, e, limits, now) || e.memory.Freeing(limits, now)
	})
}

// activeCandidates returns the free engines of the candidate version that get a
// share of the calls. It returns none while no rollout runs or if all calls go to
// the candidate.
func (h *Host) activeCandidates(q *queue, pool *table.Batching, limits memory.Limits, now clock.Millis) []*engine {
	candidates := h.candidates(q.name)
	if len(candidates) == 0 || h.Deploy.Promoted(h.poolOf(q.name), callsRoute) {
		return nil
	}
	_, free := h.usableAmong(q, pool, h.Deploy.ActiveCandidates(h.poolOf(q.name), candidates))
	return h.readyEngines(q, free, limits, now)
}

// batchSizeWeight is the weight of the newest call in the average number of pieces per
// call.
const batchSizeWeight = 0.15

// smooth returns an exponential moving average after one more sample.
func smooth(average, sample float64) float64 {
	if average == 0 {
		return sample
	}
	return average + batchSizeWeight*(sample-average)
}

// withoutSlow removes slow engines if one call to each of the others takes all queued
// pieces, because results of a slow engine arrive late.
func withoutSlow(free []*engine, queuedPieces int, bounds batch.Bounds) []*engine {
	fast := slices.DeleteFunc(slices.Clone(free), func(e *engine) bool { return e.slowdown >= slowdownLimit })
	if queuedPieces <= len(fast)*bounds.Pieces {
		return fast
	}
	return free
}
