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

// reportTimeout is the timeout of a request for an engine's report.
const reportTimeout = 400 * clock.Millis(1)

// needsReport reports whether an engine can't get calls because its memory state is
// unknown, and queries it if a query is due. The caller holds the lock.
func (h *Host) needsReport(q *queue, e *engine, limits memory.Limits, now clock.Millis) bool {
	if h.limitWait(e, now) == 0 && e.memory.BeginQuery(now) {
		h.takeLimit(e, now)
		h.group.Add(1)
		go func() {
			defer h.group.Done()
			h.queryMemory(q, e, limits)
		}()
	}
	return e.memory.NeedsReport()
}

// queryMemory reads the memory state of an engine from its report.
func (h *Host) queryMemory(q *queue, e *engine, limits memory.Limits) {
	report, err := h.fetchReport(e.Endpoint)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if err != nil {
		e.memory.RecordNoReport(now)
		h.Log.Info("engine memory unknown", "pool", q.name, "endpoint", e.ID, logs.KeyError, err)
	} else {
		// A busy engine without a call of this owner runs a call of another one.
		foreign := report.Busy && e.calls == 0
		e.memory.RecordReport(limits, memory.Report{
			MinFree: report.MinFree, MaxFree: report.MaxFree, Pending: h.foreignPending(q, foreign),
		}, now)
		h.Log.Info("engine memory read", "pool", q.name, "endpoint", e.ID, "freeBytes", report.MaxFree, "busy", report.Busy,
			"ownBytes", e.memory.OwnBytes(), "foreignBytes", e.memory.ForeignBytes(now))
		h.blockBusy(q, e, foreign, now)
	}
	h.dispatch(q)
}

// foreignPending estimates the memory that the results of a running call of the
// previous owner will take: those of a full call, with results as large as the
// queued ones. It returns 0 if no such call runs.
func (h *Host) foreignPending(q *queue, foreign bool) int64 {
	pool := h.pool(q.name)
	if pool == nil || !foreign {
		return 0
	}
	return q.queued.ResultBytes(pool.Pieces)
}

// blockBusy blocks an engine that works for the previous owner and doesn't queue
// calls. It would refuse a call, and each refusal is charged to the retry budget,
// which is almost empty at a new owner.
func (h *Host) blockBusy(q *queue, e *engine, foreign bool, now clock.Millis) {
	pool := h.pool(q.name)
	if pool == nil || pool.Queue > 0 || !foreign {
		return
	}
	e.Block(now + blockFull)
	e.memory.RequireReport()
}

func (h *Host) fetchReport(endpoint *view.Endpoint) (spell.StageReport, error) {
	ctx, cancel := context.WithTimeout(h.base, reportTimeout.Duration())
	defer cancel()
	raw, err := h.exchangeAgain(ctx, endpoint, &message{
		method: http.MethodGet, path: h.Codec.ReportPath, work: workReport, maxIdle: maxReuseIdle, verify: h.verifyReport,
	})
	if err != nil {
		return spell.StageReport{}, err
	}
	return h.Codec.ReportFunc(raw)
}

// freeUnused frees unused results at engines whose memory is getting full. The
// caller holds the lock.
func (h *Host) freeUnused(q *queue, pool *table.Batching) {
	now := h.Clock.Now()
	needed := q.queued.ResultBytes(pool.Pieces)
	for _, e := range q.engines {
		if e.Gone() || h.UnavailableFunc(e.Endpoint) || h.limitWait(e, now) > 0 {
			continue
		}
		references := e.memory.BeginFree(limitsOf(pool), needed, now)
		if len(references) == 0 {
			continue
		}
		h.takeLimit(e, now)
		h.group.Add(1)
		go func() {
			defer h.group.Done()
			err := h.freeResults(e.Endpoint, references)
			h.mu.Lock()
			defer h.mu.Unlock()
			e.memory.EndFree(err == nil)
			if err != nil {
				h.Log.Info("results not freed", "pool", q.name, "endpoint", e.ID, logs.KeyError, err)
				return
			}
			h.dispatch(q)
		}()
	}
}

// freeTimeout is the timeout of a request to free results, which takes an engine no
// work.
const freeTimeout = 1500 * clock.Millis(1)

func (h *Host) freeResults(endpoint *view.Endpoint, references []string) error {
	body, err := h.Codec.FreeFunc(references)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(h.base, freeTimeout.Duration())
	defer cancel()
	_, err = h.exchangeAgain(ctx, endpoint, &message{
		method: http.MethodPost, path: h.Codec.FreePath, work: workRelease, body: body, maxIdle: maxReuseIdle, verify: verifyRelease,
	})
	return err
}
