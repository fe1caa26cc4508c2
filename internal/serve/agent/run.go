package agent

import (
	"context"
	"errors"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/engine/call"
	"github.com/jujubescale/jujubescale/internal/guard/admit"
	"github.com/jujubescale/jujubescale/internal/guard/keep"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Reasons other than the deadline why a run is stopped early.
var (
	errCancelled = errors.New("cancelled by the entry")
	errFailing   = errors.New("endpoint does not answer")
	errCut       = errors.New("cut at the time limit of a planned stop")
)

// start starts the run of an admitted attempt. The caller holds the lock.
func (a *Agent) start(at *attempt, ticket admit.Ticket) {
	at.ticket = ticket
	ctx, stop := context.WithCancelCause(a.base)
	at.stop = stop
	left := at.expires - ticket.Began
	a.group.Go(func() {
		ctx, done := context.WithTimeout(ctx, left.Duration())
		defer done()
		defer stop(nil)
		a.run(ctx, at, left)
	})
}

func (a *Agent) run(ctx context.Context, at *attempt, left clock.Millis) {
	request := &call.Request{
		ID: at.call.ID.String(), Idempotent: at.call.Idempotent, Key: at.call.Key, TimeLeft: left,
		Method: at.call.Method, Path: at.call.Path, Body: at.call.Body,
		Model: at.call.Model, Priority: at.call.Priority, OnCut: a.markSuspect,
	}
	began := time.Now()
	answer, err := a.callEndpoint(ctx, request, func(bytes []byte) error { return a.appendPart(at, bytes) })
	a.finish(at, &answer, ctx, err, time.Since(began))
}

// markSuspect handles the interruption of an engine stream. The engine may have
// restarted and be cold, and new work at the full limit would overload it again
// while the stream is being resumed. At most the cold limit applies until the next
// liveness signal. The load report that is requested here shows whether the engine
// restarted.
func (a *Agent) markSuspect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.MarkSuspect(a.clock.Now())
	a.poller.PollNow()
}

func (a *Agent) callEndpoint(ctx context.Context, request *call.Request, appendBytes call.Sink) (call.Answer, error) {
	switch a.settings.Kind {
	case manif.KindGenerate:
		return a.caller.Generate(ctx, request, appendBytes)
	case manif.KindPlain:
		return a.caller.Plain(ctx, request, appendBytes)
	default:
		return a.caller.Run(ctx, request, appendBytes)
	}
}

// appendPart stores bytes of an answer and sends them to the entry.
func (a *Agent) appendPart(at *attempt, bytes []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.gate.MarkAlive(now)
	a.watch.lastByteAt = now
	offset, err := a.keep.Append(now, at.call.ID, bytes)
	if err != nil {
		return err
	}
	a.sendPart(at, offset)
	return nil
}

// sendPart sends the stored bytes of an answer from an offset on. The frames share
// the memory of the stored bytes, which never change.
func (a *Agent) sendPart(at *attempt, offset int64) {
	for _, part := range splitParts(a.keep.Get(at.call.ID).Bytes, offset) {
		part.ID = at.call.ID
		a.send(at.session, &wire.Frame{Kind: wire.KindPart, Part: part})
	}
}

// maxPartBytes is the maximum length of a part. A larger part would not fit into a
// message.
const maxPartBytes = 256 << 10

func splitParts(bytes []byte, offset int64) []*wire.Part {
	var parts []*wire.Part
	for from := max(offset, 0); from < int64(len(bytes)); {
		to := min(from+maxPartBytes, int64(len(bytes)))
		parts = append(parts, &wire.Part{Offset: from, Bytes: bytes[from:to:to]})
		from = to
	}
	return parts
}

// finish handles the end of a run and starts queued attempts.
func (a *Agent) finish(at *attempt, answer *call.Answer, ctx context.Context, err error, took time.Duration) { //nolint:revive // the context is a result here: its cause is the reason why the run ended
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	engineTime := max(answer.EngineTime, clock.FromDuration(took))
	a.gate.Done(now, at.ticket, gateOutcome(err))
	a.meter.countEngineTime(took, err == nil)
	if err == nil {
		a.finishAnswered(now, at, answer, engineTime)
	} else {
		refuse := a.runRefusal(ctx, err)
		refuse.EngineTime = engineTime
		a.refuseOpen(now, at, refuse)
	}
	a.startQueued(now)
}

func (a *Agent) finishAnswered(now clock.Millis, at *attempt, answer *call.Answer, engineTime clock.Millis) {
	end := &wire.End{
		Status: answer.Status, ContentType: answer.ContentType, Tokens: answer.Tokens,
		EngineTime: engineTime, Load: a.currentLoad(),
	}
	a.keep.Finish(at.call.ID, end)
	a.markEnded(now, at)
	a.watch.lastByteAt = now
	a.meter.answers.Inc()
	a.send(at.session, &wire.Frame{Kind: wire.KindEnd, End: end})
	a.removeOpen(at)
}

// gateOutcome returns the outcome of a run for the admission gate.
func gateOutcome(err error) admit.Outcome {
	var failed *call.FailedError
	var status *call.StatusError
	switch {
	case err == nil:
		return admit.OutcomeCompleted
	case errors.As(err, &failed) && failed.Reset:
		return admit.OutcomeReset
	case errors.As(err, &status) && status.Busy():
		return admit.OutcomeRejected
	default:
		return admit.OutcomeCancelled
	}
}

// runRefusal returns the refusal for a run that failed. It states that the work did
// not run only if the request was invalid or no connection was established.
func (a *Agent) runRefusal(ctx context.Context, err error) *wire.Refuse {
	var failed *call.FailedError
	var status *call.StatusError
	var invalid *fault.InvalidError
	var full *keep.FullError
	var large *call.TooLargeError
	switch {
	case errors.As(err, &failed) && failed.Ran == fault.NotRun:
		return a.newRefusal(fault.EndpointFailed, fault.NotRun, err.Error())
	case errors.As(err, &invalid):
		return a.newRefusal(fault.BadRequest, fault.NotRun, err.Error())
	case errors.As(err, &full), errors.As(err, &large):
		return a.newRefusal(fault.AnswerBroken, fault.DidRun, err.Error())
	case ctx.Err() != nil:
		return a.newRefusal(contextReason(ctx), fault.MayHaveRun, context.Cause(ctx).Error())
	case errors.As(err, &failed):
		// This includes an engine that no longer has the stream. It has restarted,
		// and another endpoint can answer the call.
		return a.newRefusal(fault.EndpointFailed, fault.MayHaveRun, err.Error())
	case errors.As(err, &status):
		refuse := a.newRefusal(statusReason(status), fault.MayHaveRun, status.Body)
		refuse.Status = status.Status
		return refuse
	default:
		return a.newRefusal(fault.EndpointFailed, fault.MayHaveRun, err.Error())
	}
}

func contextReason(ctx context.Context) fault.Reason {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return fault.DeadlinePassed
	case errors.Is(cause, errFailing):
		return fault.EndpointFailed
	case errors.Is(cause, errCut), errors.Is(cause, call.ErrAbandoned):
		return fault.Leaving
	default:
		return fault.Cancelled
	}
}

const firstServerStatus = 500

func statusReason(err *call.StatusError) fault.Reason {
	if err.Status >= firstServerStatus && !err.Busy() {
		return fault.EndpointFailed
	}
	return fault.BackendRejected
}

// startQueued starts queued attempts as far as the limit allows. The caller holds
// the lock.
func (a *Agent) startQueued(now clock.Millis) {
	if a.closed {
		return
	}
	refuseLate := func(at *attempt) { a.refuseQueued(now, at, fault.DeadlineUnreachable) }
	for {
		at, ticket, ok := a.gate.Next(now, refuseLate)
		if !ok {
			return
		}
		a.meter.queueSeconds.Observe((now - at.arrived).Duration().Seconds())
		a.start(at, ticket)
	}
}
