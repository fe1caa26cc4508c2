package host

import (
	"context"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/guard/memory"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// askTimeout bounds a request for an engine's memory.
const askTimeout = 400 * clock.Millis(1)

// unknown reports whether a call to an engine has to wait until its memory is
// known, and asks for it if it is time to.
func (h *Host) unknown(q *queue, e *engine, limits memory.Limits, now clock.Millis) bool {
	if e.memory.BeginQuery(now) {
		h.group.Add(1)
		go func() {
			defer h.group.Done()
			h.learnRoom(q, e, limits)
		}()
	}
	return e.memory.NeedsReport()
}

func (h *Host) learnRoom(q *queue, e *engine, limits memory.Limits) {
	report, err := h.askReport(e.Endpoint)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if err != nil {
		e.memory.RecordNoReport(now)
		h.Log.Info("memory of engine not known", "pool", q.name, "endpoint", e.ID, logs.KeyError, err)
	} else {
		// What it works on while no call of this owner is there was sent by another.
		others := report.Busy && e.calls == 0
		e.memory.RecordReport(limits, memory.Report{
			MinFree: report.FreeLeast, MaxFree: report.FreeMost, Pending: h.pending(q, others),
		}, now)
		h.Log.Info("memory of engine", "pool", q.name, "endpoint", e.ID, "freeBytes", report.FreeMost, "busy", report.Busy,
			"ownBytes", e.memory.OwnBytes(), "foreignBytes", e.memory.ForeignBytes(now))
		h.holdBusy(q, e, others, now)
	}
	h.dispatch(q)
}

// pending is what a call takes that an engine works on for the owner before: as
// far as is known a full one, with results like those that wait.
func (h *Host) pending(q *queue, others bool) int64 {
	pool := h.pool(q.name)
	if pool == nil || !others {
		return 0
	}
	return q.waiting.ResultBytes(pool.Pieces)
}

// holdBusy keeps calls away from an engine that works for the owner before and
// lets no call wait: it would refuse them, and each refusal is paid for from the
// budget for repeats, which a new owner hardly has.
func (h *Host) holdBusy(q *queue, e *engine, others bool, now clock.Millis) {
	pool := h.pool(q.name)
	if pool == nil || pool.Queue > 0 || !others {
		return
	}
	e.Block(now + barFull)
	e.memory.RequireReport()
}

func (h *Host) askReport(endpoint *view.Endpoint) (spell.StageReport, error) {
	ctx, cancel := context.WithTimeout(h.base, askTimeout.Duration())
	defer cancel()
	raw, err := h.exchange(ctx, endpoint, http.MethodGet, h.Spelling.ReportPath, nil, reuseIdle)
	if err != nil {
		return spell.StageReport{}, err
	}
	return h.Spelling.ReportFunc(raw)
}

// returnUnused gives results back to engines whose memory fills up.
func (h *Host) returnUnused(q *queue, pool *table.Batching) {
	now := h.Clock.Now()
	wanted := q.waiting.ResultBytes(pool.Pieces)
	for _, e := range q.engines {
		if e.Gone() {
			continue
		}
		references := e.memory.BeginFree(limitsOf(pool), wanted, now)
		if len(references) == 0 {
			continue
		}
		h.group.Add(1)
		go func() {
			defer h.group.Done()
			err := h.free(e.Endpoint, references)
			h.mu.Lock()
			defer h.mu.Unlock()
			e.memory.EndFree(err == nil)
			if err != nil {
				h.Log.Info("results not given back", "pool", q.name, "endpoint", e.ID, logs.KeyError, err)
				return
			}
			h.dispatch(q)
		}()
	}
}

// freeTimeout bounds a call that gives results back; it does no work.
const freeTimeout = 1500 * clock.Millis(1)

func (h *Host) free(endpoint *view.Endpoint, references []string) error {
	body, err := h.Spelling.UnusedFunc(references)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(h.base, freeTimeout.Duration())
	defer cancel()
	_, err = h.exchange(ctx, endpoint, http.MethodPost, h.Spelling.UnusedPath, body, reuseIdle)
	return err
}
