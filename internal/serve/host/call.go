package host

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/guard/memory"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
)

const (
	// A call times out after callLimitFactor times its expected duration plus
	// callLimitMargin. An engine that takes several times as long as configured is
	// only slow; one that takes even longer is considered lost.
	callLimitFactor = 4
	callLimitMargin = 400 * clock.Millis(1)
	// blockFailed is how long an engine gets no calls after a call to it failed,
	// blockFull how long after it was full, which happens while another process also
	// sends it calls as an owner of its pool.
	blockFailed = clock.Second
	blockFull   = 60 * clock.Millis(1)
	// blockNoMemory is how long an engine gets no calls after it had no memory for
	// any piece of a call. Meanwhile some results are freed or expire.
	blockNoMemory = 100 * clock.Millis(1)
	// slowdownLimit is the slowdown from which on an engine gets calls only if the
	// faster engines can't take all queued pieces.
	slowdownLimit = 2.0
	// promptFactor is the ratio of actual to expected duration below which a call
	// didn't wait at the engine behind a call of another owner.
	promptFactor = 1.4
	// slowdownWeight is the weight of the newest call in the slowdown of an engine.
	slowdownWeight = 0.5
)

// startCall sends pieces to an engine in a new goroutine. The caller holds the lock.
func (h *Host) startCall(q *queue, e *engine, pool *table.Batching, items []batch.Item) {
	e.calls++
	e.callEndsAt = h.Clock.Now() + clock.Millis(e.slowdown*batch.BoundsOf(pool).Duration(len(items)))
	for _, item := range items {
		e.memory.Reserve(item.Group.ResultBytes)
		job := item.Group.Owner.(*Job)
		job.attempts[item.Piece]++
	}
	h.Meter.call(h.poolOf(q.name), len(items))
	attempt := h.Deploy.Begin(e.Endpoint, callsRoute, int64(len(items)), batch.BoundsOf(pool).Duration(len(items)))
	ended := make(chan struct{})
	if e.prompt {
		h.group.Add(1)
		go func() {
			defer h.group.Done()
			h.watchInputs(pool, items, ended)
		}()
	}
	h.group.Add(1)
	go func() {
		defer h.group.Done()
		defer close(ended)
		began := h.Clock.Now()
		done := h.call(q, e, pool, items, began)
		recordCall(attempt, done.results, done.err)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.finishCall(q, e, pool, items, done)
	}()
}

// recordCall records the answer to a call for a rollout. It is a failure if the
// engine failed the call or any piece of it. A refused call counts as cancelled, and so
// does one that failed because of a reused connection.
func recordCall(attempt *deploy.Attempt, results []spell.Result, err error) {
	var refused *RefusedError
	if errors.As(err, &refused) || isStale(err) {
		attempt.RecordCancel()
		return
	}
	failed := err != nil || slices.ContainsFunc(results, func(r spell.Result) bool { return r.Failure == spell.FailedWork })
	attempt.RecordAnswer(failed)
}

// watchInputs records after a part of the call time that the pieces of a call have
// read their inputs, unless the call has ended by then.
func (h *Host) watchInputs(pool *table.Batching, items []batch.Item, ended <-chan struct{}) {
	timer, stop := h.Clock.After(pool.CallTime / inputReadDivisor)
	defer stop()
	select {
	case <-timer:
		h.mu.Lock()
		defer h.mu.Unlock()
		recordInputsRead(items)
	case <-ended:
	}
}

// inputReadDivisor divides the fixed time of a call: after that part of it the
// inputs of the call count as read. Engines read the inputs at the beginning of a
// call, over links that transfer them within a few milliseconds, and then work for
// the whole fixed time. An engine whose last call took too long may have a second
// owner, whose call runs first; at such an engine, inputs count as read only when
// the call has ended. If an input is freed too early nevertheless, the previous
// stage runs again.
const inputReadDivisor = 2

// recordInputsRead records that pieces have read their inputs. The caller holds the
// lock.
func recordInputsRead(items []batch.Item) {
	for _, item := range items {
		job := item.Group.Owner.(*Job)
		job.unreadPieces--
		if job.unreadPieces == 0 && !job.ended && len(item.Group.Inputs) > 0 {
			job.inputsRead()
		}
	}
}

// callOnce sends pieces to an engine and returns one result for each of them. It uses a new
// connection unless mayReuse is set.
func (h *Host) callOnce(e *engine, pool *table.Batching, items []batch.Item, now clock.Millis, mayReuse bool) ([]spell.Result, error) {
	pieces := make([]spell.Piece, 0, len(items))
	var until clock.Millis
	for _, item := range items {
		g := item.Group
		until = max(until, g.Deadline)
		pieces = append(pieces, spell.Piece{
			Request: g.Request, Stage: g.Stage, Index: item.Piece, Left: g.Deadline - now, Key: g.Key, Inputs: g.Inputs,
		})
	}
	body, err := h.Codec.PiecesFunc(pieces)
	if err != nil {
		return nil, err
	}
	m := &message{method: http.MethodPost, path: h.Codec.PiecesPath, work: workCall, body: body, verify: h.verifyCall(len(items))}
	if mayReuse {
		m.maxIdle = maxReuseIdle
	}
	expected := batch.BoundsOf(pool).Duration(len(items))
	limit := min(callLimitFactor*clock.Millis(expected)+callLimitMargin, until-now+callLimitMargin)
	ctx, cancel := context.WithTimeout(h.base, limit.Duration())
	defer cancel()
	raw, err := h.exchangeWatched(ctx, e, m, expected)
	if err != nil {
		return nil, err
	}
	return h.Codec.ResultsFunc(raw, len(items))
}

// exchangeWatched sends pieces to an engine and returns the body of its answer. It
// returns a LostAnswerError if the engine has ended the call and no answer arrived.
func (h *Host) exchangeWatched(ctx context.Context, e *engine, m *message, expected float64) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		h.watchAnswer(ctx, cancel, e, expected)
	}()
	raw, err := h.exchange(ctx, e.Endpoint, m)
	cancel(nil)
	<-watchEnded
	var lost *LostAnswerError
	if err != nil && errors.As(context.Cause(ctx), &lost) {
		return nil, lost
	}
	return raw, err
}

// finishCall processes the results or the error of a call. The caller holds the
// lock.
func (h *Host) finishCall(q *queue, e *engine, pool *table.Batching, items []batch.Item, done finishedCall) {
	now, results, err, began := h.Clock.Now(), done.results, done.err, done.began
	e.calls--
	e.prompt = false
	q.readyAt = now
	expected := batch.BoundsOf(pool).Duration(len(items))
	h.Log.Info("pieces made", "pool", q.name, "endpoint", e.ID, "pieces", len(items), "tookMs", int64(now-began),
		"expectedMs", int64(expected), "waiting", q.queued.Pieces(), "failed", countFailures(results),
		"ownBytes", e.memory.OwnBytes(), "foreignBytes", e.memory.ForeignBytes(now), "request", items[0].Group.Request, logs.KeyError, err)
	if err != nil {
		h.callFailed(q, e, items, err, now)
	} else {
		e.prompt = float64(now-began) < promptFactor*expected
		e.slowdown += slowdownWeight * (float64(now-began)/expected - e.slowdown)
		e.slowdown = max(e.slowdown, 1)
		for i, item := range items {
			h.finishPiece(q, e, pool, item, results[i], now)
		}
		e.recordShortage(items, results, limitsOf(pool), now)
	}
	if done.again {
		// The engine may have run the pieces of the first call, too, and store their results.
		e.memory.RequireReport()
	}
	h.dispatch(q)
}

// countFailures formats how many pieces of a call have no result, by reason.
func countFailures(results []spell.Result) string {
	counts := make(map[spell.Failure]int)
	for _, result := range results {
		if result.Failure != "" {
			counts[result.Failure]++
		}
	}
	if len(counts) == 0 {
		return ""
	}
	return fmt.Sprint(counts)
}

func (h *Host) callFailed(q *queue, e *engine, items []batch.Item, err error, now clock.Millis) {
	var refused *RefusedError
	blockTime := blockFailed
	if errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable {
		blockTime = blockFull
	}
	var lost *LostAnswerError
	stale := isStale(err)
	if errors.As(err, &lost) || stale {
		// The engine may store the results, but their references are unknown.
		e.memory.RequireReport()
		var malformed *conn.MalformedError
		if errors.As(err, &malformed) {
			e.Block(max(e.callEndsAt, now+blockFull)) // the engine probably runs the call, and would refuse another
		}
	} else {
		e.Block(now + blockTime)
	}
	h.Meter.failed(h.poolOf(q.name))
	for _, item := range items {
		e.memory.Release(item.Group.ResultBytes)
		if stale {
			item.Group.Owner.(*Job).attempts[item.Piece]-- // the connection failed, not the piece
		}
		h.retryPiece(q, item, fault.EndpointFailed, now)
	}
}

// finishPiece processes the result of one piece. The caller holds the lock.
func (h *Host) finishPiece(q *queue, e *engine, pool *table.Batching, item batch.Item, result spell.Result, now clock.Millis) {
	job := item.Group.Owner.(*Job)
	if result.Reference == "" {
		e.memory.Release(item.Group.ResultBytes)
		switch result.Failure {
		case spell.FailedInput:
			h.failJob(job, fault.InputLost)
		case spell.FailedLate:
			h.failJob(job, fault.DeadlinePassed)
		case spell.FailedMemory:
			job.attempts[item.Piece]-- // the piece did not run
			h.retryPiece(q, item, fault.Overloaded, now)
		default:
			h.retryPiece(q, item, fault.EndpointFailed, now)
		}
		return
	}
	stored := memory.Result{Reference: result.Reference, Bytes: item.Group.ResultBytes}
	e.memory.Add(stored, now+pool.Retention)
	if job.ended {
		e.memory.MarkUnused(stored)
		return
	}
	job.result.References[item.Piece] = result.Reference
	job.result.Endpoints[item.Piece] = e.ID
	job.result.Zones[item.Piece] = e.Zone
	job.remaining--
	if job.remaining == 0 {
		job.ended = true
		job.done(job.result)
	}
}

// recordShortage records that an engine had no memory for some pieces of a call. The
// caller holds the lock.
func (e *engine) recordShortage(items []batch.Item, results []spell.Result, limits memory.Limits, now clock.Millis) {
	smallest, failed := int64(0), 0
	for i, result := range results {
		if result.Failure != spell.FailedMemory {
			continue
		}
		failed++
		if size := items[i].Group.ResultBytes; smallest == 0 || size < smallest {
			smallest = size
		}
	}
	if smallest > 0 {
		e.memory.RecordShortage(limits, smallest, now)
	}
	if failed == len(results) {
		// The engine answers such a call immediately. Without a pause it would get
		// hundreds of calls per second, and the pieces would soon reach maxAttempts.
		e.Block(now + blockNoMemory)
	}
}

// retryPiece puts a piece back into the queue, or fails its job if the piece has
// been sent maxAttempts times. The caller holds the lock.
func (h *Host) retryPiece(q *queue, item batch.Item, reason fault.Reason, now clock.Millis) {
	job := item.Group.Owner.(*Job)
	if job.ended {
		return
	}
	if job.attempts[item.Piece] >= maxAttempts {
		h.failJob(job, reason)
		return
	}
	if q.handed != nil {
		h.failJob(job, fault.Leaving) // the successor has the retry budget
		return
	}
	job.lastFailure = reason
	q.queued.Requeue(item, now)
}

// failJob ends a job without results and marks those that it already has as unused.
// The caller holds the lock.
func (h *Host) failJob(job *Job, reason fault.Reason) {
	if job.ended {
		return
	}
	job.ended = true
	q := h.queue(job.queueName)
	q.queued.Drop(job.group)
	h.markResultsUnused(q, job)
	h.Meter.refused(h.poolOf(job.queueName), reason)
	job.done(Outcome{Reason: reason, RetryAfter: job.result.RetryAfter})
}
