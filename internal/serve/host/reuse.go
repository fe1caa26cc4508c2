package host

import (
	"errors"
	"net/http"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// finishedCall is a call that has ended.
type finishedCall struct {
	results []spell.Result
	err     error
	began   clock.Millis
	// again is set if the call was sent a second time because the first was sent on a
	// reused connection that failed.
	again bool
}

// call sends pieces to an engine and returns one result for each of them. If a reused
// connection fails, it sends them again at once on a new one, if the retry budget and the
// limit of the engine allow it.
func (h *Host) call(q *queue, e *engine, pool *table.Batching, items []batch.Item, began clock.Millis) finishedCall {
	results, err := h.callOnce(e, pool, items, began, h.mayReuse(e, items))
	var malformed *conn.MalformedError
	if !isStale(err) || errors.As(err, &malformed) {
		return finishedCall{results: results, err: err, began: began}
	}
	now := h.Clock.Now()
	again := h.takeSecondCall(q, e, len(items), now)
	h.Log.Info("reused connection failed", "pool", q.name, "endpoint", e.ID, "pieces", len(items), "tookMs", int64(now-began),
		"sentAgain", again, logs.KeyRequest, items[0].Group.Request, logs.KeyError, err)
	if !again {
		return finishedCall{err: err, began: began}
	}
	h.Meter.sentAgain(h.poolOf(q.name))
	results, err = h.callOnce(e, pool, items, now, false)
	return finishedCall{results: results, err: err, began: now, again: true}
}

// mayReuse reports whether a call may be sent on a reused connection. A piece that was sent
// before may have the result that an earlier answer on the connection holds, which would
// look like a duplicate.
func (h *Host) mayReuse(e *engine, items []batch.Item) bool {
	if !h.reuses(e.Endpoint) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(items, func(item batch.Item) bool { return item.Group.Owner.(*Job).attempts[item.Piece] > 1 })
}

func (h *Host) reuses(e *view.Endpoint) bool { return h.ReuseFunc != nil && h.ReuseFunc(e) }

// takeSecondCall takes a second call from the limit of the engine and its pieces from the
// retry budget, and reports whether both allow it. Otherwise the pieces go back to the queue.
func (h *Host) takeSecondCall(q *queue, e *engine, pieces int, now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if q.handed != nil || h.UnavailableFunc(e.Endpoint) || h.limitWait(e, now) > 0 || !h.RetryAll(h.poolOf(q.name), pieces) {
		return false
	}
	return h.takeLimit(e, now)
}

// isStale reports whether a request failed because it was sent on a reused connection.
func isStale(err error) bool {
	var sent *conn.SentError
	return errors.As(err, &sent) && sent.Stale
}

// verifyCall returns a function that checks the answer to a call of count pieces. Only an
// answer that holds a reference differs from all others: an engine gives each result
// another one.
func (h *Host) verifyCall(count int) func(int, http.Header, []byte) conn.Verdict {
	return func(status int, header http.Header, body []byte) conn.Verdict {
		if status != http.StatusOK || h.Codec.ResponseInfoFunc(header).NotRun {
			return conn.Ambiguous
		}
		results, err := h.Codec.ResultsFunc(body, count)
		if err != nil {
			return conn.Malformed
		}
		if slices.ContainsFunc(results, func(r spell.Result) bool { return r.Reference != "" }) {
			return conn.Unique
		}
		return conn.Ambiguous
	}
}

// verifyReport checks an engine's report. Two reports may be equal; an older one is out of
// date by the time between them at most.
func (h *Host) verifyReport(status int, _ http.Header, body []byte) conn.Verdict {
	if status != http.StatusOK {
		return conn.Ambiguous
	}
	if _, err := h.Codec.ReportFunc(body); err != nil {
		return conn.Malformed
	}
	return conn.Harmless
}

// verifyRelease checks the answer to a release of results, which states nothing. An engine
// handles the requests of a connection in order, so that the results are freed before it
// reads the next call.
func verifyRelease(status int, _ http.Header, _ []byte) conn.Verdict {
	if status != http.StatusOK {
		return conn.Ambiguous
	}
	return conn.Immaterial
}
