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

// Causes that end a run early, besides its deadline.
var (
	errCancelled = errors.New("cancelled by the entry")
	errFailing   = errors.New("endpoint does not answer")
	errCut       = errors.New("cut by a stop that ran out of time")
)

// start runs an admitted attempt. The lock is held.
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
		Model: at.call.Model, Priority: at.call.Priority, Cut: a.doubt,
	}
	began := time.Now()
	answer, err := a.perform(ctx, request, func(bytes []byte) error { return a.part(at, bytes) })
	a.finish(at, &answer, ctx, err, time.Since(began))
}

// doubt is told of a stream that was cut. Its engine may have fallen over, and
// taking the stream up again takes a while; new work at the full limit would
// fell the engine again meanwhile. The next report tells which it was.
func (a *Agent) doubt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.MarkSuspect(a.clock.Now())
	a.poller.Poke()
}

func (a *Agent) perform(ctx context.Context, request *call.Request, take call.Taker) (call.Answer, error) {
	switch a.settings.Kind {
	case manif.KindGenerate:
		return a.caller.Generate(ctx, request, take)
	case manif.KindPlain:
		return a.caller.Plain(ctx, request, take)
	default:
		return a.caller.Run(ctx, request, take)
	}
}

// part keeps bytes of an answer and sends them on.
func (a *Agent) part(at *attempt, bytes []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.gate.MarkAlive(now)
	a.watch.heard = now
	offset, err := a.keep.Append(now, at.call.ID, bytes)
	if err != nil {
		return err
	}
	a.sendPart(at, offset)
	return nil
}

// sendPart sends the kept bytes from an offset on. They may be shared with the
// frame because kept bytes never change.
func (a *Agent) sendPart(at *attempt, offset int64) {
	for _, part := range partsOf(a.keep.Get(at.call.ID).Bytes, offset) {
		part.ID = at.call.ID
		a.send(at.session, &wire.Frame{Kind: wire.KindPart, Part: part})
	}
}

// partBytes bounds one part; a larger one would not fit into a message.
const partBytes = 256 << 10

func partsOf(bytes []byte, offset int64) []*wire.Part {
	var parts []*wire.Part
	for from := max(offset, 0); from < int64(len(bytes)); {
		to := min(from+partBytes, int64(len(bytes)))
		parts = append(parts, &wire.Part{Offset: from, Bytes: bytes[from:to:to]})
		from = to
	}
	return parts
}

// finish takes the end of a run, and starts what waited for its place.
func (a *Agent) finish(at *attempt, answer *call.Answer, ctx context.Context, err error, took time.Duration) { //nolint:revive // the context is a result here: its cause tells why the run ended
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	spent := max(answer.EngineTime, clock.FromDuration(took))
	a.gate.Done(now, at.ticket, outcomeOf(err))
	a.meter.engineTime(took, err == nil)
	if err == nil {
		a.finishWhole(now, at, answer, spent)
	} else {
		refuse := a.explain(ctx, err)
		refuse.EngineTime = spent
		a.refuseOpen(now, at, refuse)
	}
	a.pump(now)
}

func (a *Agent) finishWhole(now clock.Millis, at *attempt, answer *call.Answer, spent clock.Millis) {
	end := &wire.End{
		Status: answer.Status, ContentType: answer.ContentType, Tokens: answer.Tokens,
		EngineTime: spent, Load: a.loadNow(),
	}
	a.keep.Finish(at.call.ID, end)
	a.ended(now, at)
	a.watch.heard = now
	a.meter.answers.Inc()
	a.send(at.session, &wire.Frame{Kind: wire.KindEnd, End: end})
	a.close(at)
}

// outcomeOf is what the end of a run says about the endpoint.
func outcomeOf(err error) admit.Outcome {
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

// explain turns the error of a run into its refusal. Only a call that never
// got a connection may be said not to have run.
func (a *Agent) explain(ctx context.Context, err error) *wire.Refuse {
	var failed *call.FailedError
	var status *call.StatusError
	var invalid *fault.InvalidError
	var full *keep.FullError
	var large *call.TooLargeError
	switch {
	case errors.As(err, &failed) && failed.Ran == fault.NotRun:
		return a.refusal(fault.EndpointFailed, fault.NotRun, err.Error())
	case errors.As(err, &invalid):
		return a.refusal(fault.BadRequest, fault.NotRun, err.Error())
	case errors.As(err, &full), errors.As(err, &large):
		return a.refusal(fault.AnswerBroken, fault.DidRun, err.Error())
	case ctx.Err() != nil:
		return a.refusal(reasonOf(ctx), fault.MayHaveRun, context.Cause(ctx).Error())
	case errors.As(err, &failed):
		// Also when the engine says that it does not know the stream any more: it
		// restarted, and another endpoint can answer.
		return a.refusal(fault.EndpointFailed, fault.MayHaveRun, err.Error())
	case errors.As(err, &status):
		refuse := a.refusal(statusReason(status), fault.MayHaveRun, status.Body)
		refuse.Status = status.Status
		return refuse
	default:
		return a.refusal(fault.EndpointFailed, fault.MayHaveRun, err.Error())
	}
}

func reasonOf(ctx context.Context) fault.Reason {
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

func statusReason(status *call.StatusError) fault.Reason {
	if status.Status >= firstServerStatus && !status.Busy() {
		return fault.EndpointFailed
	}
	return fault.BackendRejected
}

// pump starts waiting work for which there is room now. The lock is held.
func (a *Agent) pump(now clock.Millis) {
	if a.closed {
		return
	}
	late := func(at *attempt) { a.refuseWaiting(now, at, fault.WontMakeIt) }
	for {
		at, ticket, ok := a.gate.Next(now, late)
		if !ok {
			return
		}
		a.meter.waited.Observe((now - at.arrived).Duration().Seconds())
		a.start(at, ticket)
	}
}
