package host

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/flow/drain"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// handedQueue is the state of a queue that was handed over to the successor of this process.
type handedQueue struct {
	// keptUntil holds the engines that still work for this process, and until when.
	keptUntil map[*engine]clock.Millis
	// retired is set once the peers know that this process owns nothing.
	retired bool
}

// Queues returns the names of the owned pools and shards that have had work in this process.
func (h *Host) Queues(owned func(string) bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for name := range h.queues {
		if owned(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// PoolOf returns the pool of a shard, or the name itself if it is a pool.
func (h *Host) PoolOf(name string) string { return h.poolOf(name) }

// HandOver prepares a queue for its successor and returns the engines that still work for
// this process. From then on this process sends calls only to them, and only calls that end within
// the stated times. Retire follows once the peers know the successor.
func (h *Host) HandOver(name string) []wire.EngineCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	q, pool := h.queues[name], h.pool(name)
	if q == nil || pool == nil {
		return nil
	}
	now, bounds := h.Clock.Now(), batch.BoundsOf(pool)
	work := drain.Work{CallPieces: pool.Pieces, CallTime: clock.Millis(bounds.Duration(pool.Pieces))}
	var kept []*engine
	for _, e := range q.engines {
		if e.calls > 0 {
			kept, work.EndsAt = append(kept, e), append(work.EndsAt, e.callEndsAt)
		}
	}
	q.queued.Each(func(g *batch.Group) {
		if isStarted(g) {
			work.Pieces += g.Queued()
		}
	})
	q.handed = &handedQueue{keptUntil: make(map[*engine]clock.Millis, len(kept))}
	calls := make([]wire.EngineCall, 0, len(kept))
	for i, left := range work.Left(now) {
		q.handed.keptUntil[kept[i]] = now + left
		calls = append(calls, wire.EngineCall{Endpoint: kept[i].ID, StartedAt: kept[i].StartedAt, Left: left})
	}
	return calls
}

// isStarted reports whether a stopping owner completes a group: some of its pieces have been
// sent, and none waits for the retry budget, which moves to the successor.
func isStarted(g *batch.Group) bool { return g.Queued() < g.Count && g.Requeued() == 0 }

// TakeOver records which engines of a pool or shard still work for its previous owner. They
// get no calls until the stated times have passed, and then only once their reports say that
// they are idle. It returns how many engines that concerns.
func (h *Host) TakeOver(handover *wire.Handover) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pool(handover.Pool) == nil {
		return 0
	}
	q, now, count := h.queue(handover.Pool), h.Clock.Now(), 0
	for _, call := range handover.Engines {
		endpoint := h.View().Find(call.Endpoint)
		if endpoint == nil || endpoint.StartedAt != call.StartedAt || endpoint.Pool != h.poolOf(q.name) {
			continue // another incarnation doesn't work for the previous owner
		}
		e := q.engine(endpoint)
		e.handedUntil = max(e.handedUntil, now+call.Left)
		e.memory.RequireReport()
		count++
	}
	return count
}

// refusesHanded reports whether a new job has to go to the successor because the queue was
// handed over. A queue that this process owns again is its own: all other processes have
// ended. The caller holds the lock.
func (h *Host) refusesHanded(q *queue) bool {
	if q.handed == nil || !q.handed.retired {
		return false
	}
	if h.OwnsFunc != nil && h.OwnsFunc(q.name) {
		q.handed = nil
		return false
	}
	return true
}

// keepOwn removes the engines to which this process may not send another call because it has
// handed over the queue: all but those that it keeps for as long as a call takes.
func (q *queue) keepOwn(free []*engine, pool *table.Batching, now clock.Millis) []*engine {
	if q.handed == nil {
		return free
	}
	end := now + clock.Millis(batch.BoundsOf(pool).Duration(min(pool.Pieces, q.queued.Pieces())))
	return slices.DeleteFunc(free, func(e *engine) bool {
		until, kept := q.handed.keptUntil[e]
		return !kept || until < end
	})
}

// giveBackRest fails the jobs of a queue that was handed over if none of its calls runs any
// more: the successor has the engines. The caller holds the lock.
func (h *Host) giveBackRest(q *queue) {
	if q.handed == nil || !q.handed.retired || q.queued.Pieces() == 0 {
		return
	}
	for _, e := range q.engines {
		if e.calls > 0 {
			return
		}
	}
	h.giveBack(q, func(*batch.Group) bool { return true })
}

// giveBack fails the queued jobs for which the function returns true, so that their senders
// repeat the requests at the next owner. The caller holds the lock.
func (h *Host) giveBack(q *queue, matches func(*batch.Group) bool) {
	var jobs []*Job
	q.queued.Each(func(g *batch.Group) {
		if matches(g) {
			jobs = append(jobs, g.Owner.(*Job))
		}
	})
	for _, job := range jobs {
		h.failJob(job, fault.Leaving)
	}
	request := ""
	if len(jobs) > 0 {
		request = jobs[0].group.Request
	}
	h.Log.Info("queue given back", "pool", q.name, "jobs", len(jobs), "pieces", q.queued.Pieces(), logs.KeyRequest, request)
}
