package host

import (
	"context"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// askTimeout bounds a question for an engine's memory.
const askTimeout = 400 * clock.Millis(1)

// room returns the memory for results that a call may fill, in bytes.
func (e *engine) room(pool *table.Batching, now clock.Millis) int64 {
	room := int64(roomShare*float64(pool.Room)) - e.bytes
	if e.foreignUntil > now {
		room -= e.foreign
	}
	return max(room, 0)
}

// unknown reports whether a call to an engine has to wait until its memory is
// known. A new owner knows nothing of the results that the one before had made,
// which lie there until they are given back or expire; calls that don't count
// with them fail piece by piece for want of memory, each after its full time.
func (h *Host) unknown(q *queue, e *engine, pool *table.Batching, now clock.Millis) bool {
	first := e.asked == 0
	again := e.foreign > 0 && now < e.foreignUntil && now-e.asked >= askAgain
	if (first || again) && !e.asking {
		e.asked, e.asking = now, true
		h.group.Add(1)
		go func() {
			defer h.group.Done()
			h.learnRoom(q, e, pool)
		}()
	}
	return first && e.asking
}

// askAgain is the pause between two questions while results of others lie at an
// engine: their requests end one after the other.
const askAgain = 300 * clock.Millis(1)

func (h *Host) learnRoom(q *queue, e *engine, pool *table.Batching) {
	free, err := h.askRoom(e.Endpoint)
	h.mu.Lock()
	defer h.mu.Unlock()
	e.asking = false
	if err != nil {
		h.logInfo("memory of engine not known", "pool", q.name, "endpoint", e.ID, logs.KeyError, err)
	} else {
		e.foreign = max(pool.Room-free-e.bytes, 0)
		if e.foreignUntil == 0 {
			e.foreignUntil = h.clock.Now() + pool.Keep
		}
		h.logInfo("memory of engine", "pool", q.name, "endpoint", e.ID, "freeBytes", free, "ownBytes", e.bytes, "foreignBytes", e.foreign)
	}
	h.dispatch(q)
}

func (h *Host) askRoom(endpoint *view.Endpoint) (int64, error) {
	ctx, cancel := context.WithTimeout(h.base, askTimeout.Duration())
	defer cancel()
	raw, err := h.exchange(ctx, endpoint, http.MethodGet, h.spelling.ReportPath, nil, reuseIdle)
	if err != nil {
		return 0, err
	}
	return h.spelling.RoomFunc(raw)
}

// lacksRoom notes that an engine had no memory for so many bytes: results lie
// there that this owner doesn't know of. It asks again, and until it knows
// better it counts with as much less.
func (e *engine) lacksRoom(bytes int64, pool *table.Batching, now clock.Millis) {
	e.foreign = min(max(e.foreign, bytes), pool.Room/2)
	e.foreignUntil = now + pool.Keep/2
	e.asked = min(e.asked, now-askAgain)
}
