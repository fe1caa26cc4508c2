package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/guard/memory"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
)

const (
	// slackTimes and slackMore bound a call: an engine that takes several times
	// as long as the configuration says is slow, one that takes longer is lost.
	slackTimes = 4
	slackMore  = 400 * clock.Millis(1)
	// barFailed keeps calls away from an engine that broke one off, barFull from
	// one that was full because it has another owner just now.
	barFailed = clock.Second
	barFull   = 60 * clock.Millis(1)
	// barNoRoom keeps calls away from an engine that had no memory for any piece
	// of one: some of it is given back or expires meanwhile.
	barNoRoom = 100 * clock.Millis(1)
	// slowFrom is how many times longer than expected calls take at an engine
	// that gets work only when the others have enough.
	slowFrom = 2.0
	// promptTimes is how many times longer than expected a call takes at most that
	// didn't wait behind one of another owner.
	promptTimes = 1.4
	// slowWeight is the part of the newest call in that figure.
	slowWeight = 0.5
	// reuseIdle bounds how long a connection for giving results back may have
	// been unused.
	reuseIdle = 4 * clock.Second
	// maxAnswerBytes bounds the answer to a call: some sixty references.
	maxAnswerBytes = 256 << 10
)

// start begins a call. The caller holds the lock.
func (h *Host) start(q *queue, e *engine, pool *table.Batching, items []batch.Item) {
	e.calls++
	for _, item := range items {
		e.memory.Reserve(item.Group.ResultBytes)
		job := item.Group.Owner.(*Job)
		job.tries[item.Piece]++
	}
	h.Meter.call(h.poolOf(q.name), len(items))
	trial := h.Deploy.Begin(e.Endpoint, callsRoute, int64(len(items)), batch.BoundsOf(pool).Duration(len(items)))
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
		results, err := h.call(e, pool, items, began)
		countCall(trial, results, err)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.finish(q, e, pool, items, results, err, began)
	}()
}

// countCall counts a call in a rollout: as a failure if the engine failed it or any
// piece of it.
func countCall(trial *deploy.Attempt, results []spell.Result, err error) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		trial.RecordCancel()
		return
	}
	failed := err != nil || slices.ContainsFunc(results, func(r spell.Result) bool { return r.Failure == spell.FailedWork })
	trial.RecordAnswer(failed)
}

// watchInputs notes after a while that the pieces of a call have read their
// inputs, unless the call has ended by then.
func (h *Host) watchInputs(pool *table.Batching, items []batch.Item, ended <-chan struct{}) {
	read, forget := h.Clock.After(pool.CallTime / fetchedAfter)
	defer forget()
	select {
	case <-read:
		h.mu.Lock()
		defer h.mu.Unlock()
		fetchedBy(items)
	case <-ended:
	}
}

// fetchedAfter is the part of a call's fixed time after which its inputs count
// as read: engines read them at its beginning, over links that carry them
// within a few milliseconds, and work for the whole of that time afterwards. An
// engine whose last call took too long may have another owner as well, whose call
// goes first: there, inputs count as read only once the call has ended. If one is
// given back too early after all, the stage before runs again.
const fetchedAfter = 2

// fetchedBy notes that pieces have read their inputs. The caller holds the lock.
func fetchedBy(items []batch.Item) {
	for _, item := range items {
		job := item.Group.Owner.(*Job)
		job.unread--
		if job.unread == 0 && !job.ended && len(item.Group.Inputs) > 0 {
			job.fetched()
		}
	}
}

// call sends pieces to an engine and returns a result for each of them.
func (h *Host) call(e *engine, pool *table.Batching, items []batch.Item, now clock.Millis) ([]spell.Result, error) {
	pieces := make([]spell.Piece, 0, len(items))
	var until clock.Millis
	for _, item := range items {
		g := item.Group
		until = max(until, g.Deadline)
		pieces = append(pieces, spell.Piece{
			Request: g.Request, Stage: g.Stage, Index: item.Piece, Left: g.Deadline - now, Key: g.Key, Inputs: g.Inputs,
		})
	}
	body, err := h.Spelling.PiecesFunc(pieces)
	if err != nil {
		return nil, err
	}
	expected := batch.BoundsOf(pool).Duration(len(items))
	limit := min(slackTimes*clock.Millis(expected)+slackMore, until-now+slackMore)
	ctx, cancel := context.WithTimeout(h.base, limit.Duration())
	defer cancel()
	raw, err := h.exchangeWatched(ctx, e.Endpoint, body, expected)
	if err != nil {
		return nil, err
	}
	return h.Spelling.ResultsFunc(raw, len(items))
}

// exchangeWatched sends pieces to an engine and watches that the answer isn't lost.
func (h *Host) exchangeWatched(ctx context.Context, endpoint *view.Endpoint, body []byte, expected float64) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		h.watchAnswer(ctx, cancel, endpoint, expected)
	}()
	raw, err := h.exchange(ctx, endpoint, http.MethodPost, h.Spelling.PiecesPath, body, 0)
	cancel(nil)
	<-watched
	var lost *LostAnswerError
	if err != nil && errors.As(context.Cause(ctx), &lost) {
		return nil, lost
	}
	return raw, err
}

// RefusedError says that an engine did not take a call and never will.
type RefusedError struct {
	Endpoint string
	Status   int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the call with status %d", e.Endpoint, e.Status)
}

// StatusError says that an engine failed a call in a way that proves nothing.
type StatusError struct {
	Endpoint string
	Status   int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered status %d", e.Endpoint, e.Status)
}

// exchange sends one call. Answers to calls bear no attempt, so that a second
// copy of one could not be told from the answer to the next: calls whose answer
// matters want a connection of their own and give 0 for maxIdle.
func (h *Host) exchange(ctx context.Context, endpoint *view.Endpoint, method, path string, body []byte, maxIdle clock.Millis) ([]byte, error) {
	head := make([]byte, 0, 256)
	head = append(head, method+" "+path+" HTTP/1.1\r\nHost: "+endpoint.Address+"\r\nContent-Type: application/json\r\n"...)
	head = h.Spelling.InstanceFunc(head, endpoint.ID)
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, int64(len(body)), 10)
	if maxIdle == 0 {
		head = append(head, "\r\nConnection: close"...)
	}
	head = append(head, "\r\n\r\n"...)
	reply, err := h.Conns(endpoint).Do(ctx, &conn.Request{Method: method, Head: head, Body: body, MaxIdle: maxIdle})
	if err != nil {
		return nil, err
	}
	defer reply.Finish()
	raw, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return nil, &conn.SentError{Address: endpoint.Address, Cause: err}
	}
	marks := h.Spelling.MarksFunc(reply.Header)
	switch {
	case marks.NotRun || reply.Status == http.StatusMisdirectedRequest:
		return nil, &RefusedError{Endpoint: endpoint.ID, Status: reply.Status}
	case reply.Status != http.StatusOK:
		return nil, &StatusError{Endpoint: endpoint.ID, Status: reply.Status}
	}
	return raw, nil
}

// finish takes the end of a call. The caller holds the lock.
func (h *Host) finish(q *queue, e *engine, pool *table.Batching, items []batch.Item, results []spell.Result, err error, began clock.Millis) {
	now := h.Clock.Now()
	e.calls--
	e.prompt = false
	expected := batch.BoundsOf(pool).Duration(len(items))
	h.Log.Info("pieces made", "pool", q.name, "endpoint", e.ID, "pieces", len(items), "tookMs", int64(now-began),
		"expectedMs", int64(expected), "waiting", q.waiting.Pieces(), "failed", failures(results),
		"ownBytes", e.memory.OwnBytes(), "foreignBytes", e.memory.ForeignBytes(now), "request", items[0].Group.Request, logs.KeyError, err)
	if err != nil {
		h.callFailed(q, e, items, err, now)
	} else {
		e.prompt = float64(now-began) < promptTimes*expected
		e.slow += slowWeight * (float64(now-began)/expected - e.slow)
		e.slow = max(e.slow, 1)
		for i, item := range items {
			h.take(q, e, pool, item, results[i], now)
		}
		e.lacked(items, results, limitsOf(pool), now)
	}
	h.dispatch(q)
}

// failures tells why pieces of a call have no result, each reason with its count.
func failures(results []spell.Result) string {
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
	bar := barFailed
	if errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable {
		bar = barFull
	}
	var lost *LostAnswerError
	if errors.As(err, &lost) {
		// Its results lie in the engine's memory, though nobody knows their names.
		e.memory.RequireReport()
	} else {
		e.Block(now + bar)
	}
	h.Meter.failed(h.poolOf(q.name))
	for _, item := range items {
		e.memory.Release(item.Group.ResultBytes)
		h.again(q, item, fault.EndpointFailed, now)
	}
}

// take takes the result of one piece.
func (h *Host) take(q *queue, e *engine, pool *table.Batching, item batch.Item, result spell.Result, now clock.Millis) {
	job := item.Group.Owner.(*Job)
	if result.Reference == "" {
		e.memory.Release(item.Group.ResultBytes)
		switch result.Failure {
		case spell.FailedInput:
			h.fail(job, fault.InputGone)
		case spell.FailedLate:
			h.fail(job, fault.DeadlinePassed)
		case spell.FailedRoom:
			job.tries[item.Piece]-- // nobody worked on it
			h.again(q, item, fault.Overloaded, now)
		default:
			h.again(q, item, fault.EndpointFailed, now)
		}
		return
	}
	made := memory.Result{Reference: result.Reference, Bytes: item.Group.ResultBytes}
	e.memory.Add(made, now+pool.Keep)
	if job.ended {
		e.memory.MarkUnused(made)
		return
	}
	job.result.References[item.Piece] = result.Reference
	job.result.Endpoints[item.Piece] = e.ID
	job.result.Zones[item.Piece] = e.Zone
	job.left--
	if job.left == 0 {
		job.ended = true
		job.done(job.result)
	}
}

// lacked notes that an engine had no memory for some pieces of a call.
func (e *engine) lacked(items []batch.Item, results []spell.Result, limits memory.Limits, now clock.Millis) {
	least, failed := int64(0), 0
	for i, result := range results {
		if result.Failure != spell.FailedRoom {
			continue
		}
		failed++
		if size := items[i].Group.ResultBytes; least == 0 || size < least {
			least = size
		}
	}
	if least > 0 {
		e.memory.RecordShortage(limits, least, now)
	}
	if failed == len(results) {
		// It answered at once. Without a pause it would be asked hundreds of times
		// a second, and each piece would soon have been sent too often.
		e.Block(now + barNoRoom)
	}
}

// again puts a piece back into the queue, if it was not sent too often.
func (h *Host) again(q *queue, item batch.Item, reason fault.Reason, now clock.Millis) {
	job := item.Group.Owner.(*Job)
	if job.ended {
		return
	}
	if job.tries[item.Piece] >= maxTries {
		h.fail(job, reason)
		return
	}
	job.failed = reason
	q.waiting.Requeue(item, now)
}

// fail ends a job without results. The caller holds the lock.
func (h *Host) fail(job *Job, reason fault.Reason) {
	if job.ended {
		return
	}
	job.ended = true
	q := h.queue(job.pool)
	q.waiting.Drop(job.group)
	h.unusedOf(q, job)
	h.Meter.refused(h.poolOf(job.pool), reason)
	job.done(Outcome{Reason: reason})
}
