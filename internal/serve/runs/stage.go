package runs

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/budget"
	"github.com/jujubescale/jujubescale/internal/flow/stage"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/affin"
	"github.com/jujubescale/jujubescale/internal/route/pick"
	"github.com/jujubescale/jujubescale/internal/route/pool"
	"github.com/jujubescale/jujubescale/internal/serve/peers"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
)

// job is one stage of one request.
type job struct {
	call     wire.Call // without attempt number and time left
	pool     string
	stream   bool
	affine   bool
	prefix   affin.Keys
	plan     budget.Plan
	times    budget.Times
	deadline clock.Millis
	sink     func([]byte)
	record   *trace.Record
}

// result is the complete answer of a stage.
type result struct {
	bytes  []byte
	end    *wire.End
	wasted clock.Millis
}

// attempt is one attempt at an endpoint.
type attempt struct {
	id       token.Attempt
	endpoint *pool.Endpoint
	link     *peers.Link
	sentAt   clock.Millis
	open     bool
}

// stageRun executes the actions of the state machine of one stage.
type stageRun struct {
	*Runs
	job         *job
	machine     *stage.Machine
	eventQueue  *peers.EventQueue
	peerPool    *peers.Pool
	attempts    []attempt // by number
	avoid       pick.Avoid
	beganAt     clock.Millis
	failedZone  string       // availability zone of the attempt that failed last
	refused     bool         // an endpoint has refused this stage
	retryReason fault.Reason // why the next attempt is a retry; empty for the first attempt

	events    []peers.Event
	timerAt   clock.Millis
	timer     <-chan struct{}
	stopTimer func()
}

// run executes one stage until it has an answer or a refusal.
func (r *Runs) run(ctx context.Context, j *job) (result, error) {
	peerPool, _ := r.peers.View(j.pool)
	config := stage.Config{
		Idempotent: j.call.Idempotent, Stream: j.stream, Retries: peerPool.Retries, Hedges: peerPool.Hedges,
		Plan: j.plan, Times: j.times, Deadline: j.deadline,
	}
	if r.baseline {
		config.Retries, config.Hedges = r.unlimited, nil
		config.Plan = budget.Plan{Limit: j.plan.Limit, AttemptTimeout: j.plan.Limit}
		config.Times = budget.Times{}
	}
	x := &stageRun{
		Runs: r, job: j, machine: stage.New(config), eventQueue: peers.NewEventQueue(), peerPool: peerPool,
		beganAt: r.clock.Now(), stopTimer: func() {},
	}
	defer x.closeAll()
	x.machine.Begin(x.beganAt)
	for x.runActions(); !x.machine.Over(); x.runActions() {
		x.wait(ctx)
	}
	if !x.machine.Answered() {
		refusal := x.machine.Refusal()
		return result{wasted: x.machine.Wasted()}, &refusal
	}
	return result{bytes: x.machine.Bytes(), end: x.machine.End(), wasted: x.machine.Wasted()}, nil
}

// wait passes the next event, timeout or cancellation to the machine.
func (x *stageRun) wait(ctx context.Context) {
	if at := x.machine.WakeAt(); x.timer == nil || at != x.timerAt {
		x.stopTimer()
		x.timerAt = at
		x.timer, x.stopTimer = x.clock.After(at - x.clock.Now())
	}
	select {
	case <-x.eventQueue.Ready():
		x.events = x.eventQueue.Swap(x.events)
		for i := range x.events {
			x.handleEvent(&x.events[i])
			x.runActions()
		}
	case <-x.timer:
		x.timer = nil
		x.machine.Tick(x.clock.Now())
	case <-ctx.Done():
		x.machine.Abort(fault.Cancelled)
	}
}

func (x *stageRun) handleEvent(event *peers.Event) {
	now := x.clock.Now()
	switch event.Kind {
	case peers.EventFrame:
		if event.Frame.Kind == wire.KindRefuse {
			x.refused = true
			x.failedZone = x.attempts[event.Attempt].endpoint.AvailabilityZone
			x.closeAttempt(event.Attempt, trace.Refused, event.Frame.Refuse.Reason)
		}
		x.machine.HandleFrame(now, event.Session, event.Attempt, event.Frame)
	case peers.EventSessionLost:
		x.failedZone = x.attempts[event.Attempt].endpoint.AvailabilityZone
		x.machine.SessionLost(now, event.Attempt)
	case peers.EventSessionRestored:
		x.machine.SessionRestored(event.Attempt, event.Session)
	case peers.EventAgentGone:
		x.machine.AgentGone(now, event.Attempt)
	}
}

// runActions executes the pending actions of the machine.
func (x *stageRun) runActions() {
	for action, found := x.machine.Next(); found; action, found = x.machine.Next() {
		switch action.Kind {
		case stage.Send:
			x.send(action)
		case stage.Ask:
			a := &x.attempts[action.Attempt]
			a.link.Ask(a.id, action.Offset)
		case stage.Cancel:
			x.cancelAttempt(action.Attempt)
		case stage.Ack:
			x.ackAttempt(action.Attempt)
		case stage.Emit:
			x.job.sink(action.Bytes)
		case stage.Drop:
			x.meter.Drop(action.Drop)
		case stage.Hedged:
			x.meter.Hedge(x.job.pool, action.Outcome)
		case stage.Retried:
			x.retryReason = action.Reason
		case stage.Finish, stage.Fail:
		}
	}
}

// ackAttempt acknowledges the end of an attempt. It has no effect on the record of
// an attempt that was refused, because that is closed already.
func (x *stageRun) ackAttempt(number int) {
	a := &x.attempts[number]
	a.link.Ack(a.id)
	x.closeAttempt(number, trace.Answered, "")
}

// cancelAttempt cancels an attempt at its endpoint.
func (x *stageRun) cancelAttempt(number int) {
	a := &x.attempts[number]
	a.link.Cancel(a.id)
	x.closeAttempt(number, trace.Withdrawn, "")
}

// maxPicks is the maximum number of endpoints that are tried for one attempt.
const maxPicks = 8

// send chooses an endpoint for an attempt and sends the call to it.
func (x *stageRun) send(action stage.Action) {
	x.attempts = append(x.attempts, attempt{})
	if action.AvoidZone {
		x.avoid.Zone = x.failedZone
	}
	for range maxPicks {
		now := x.clock.Now()
		endpoint := x.choose(now, action)
		if endpoint == nil {
			break
		}
		x.avoid.Add(endpoint)
		if x.sendTo(now, action, endpoint) {
			return
		}
	}
	x.machine.NoTarget(action.Attempt)
}

// choose returns the endpoint for an attempt, nil if there is none.
func (x *stageRun) choose(now clock.Millis, action stage.Action) *pool.Endpoint {
	_, view := x.peers.View(x.job.pool)
	if x.job.affine && action.Attempt == 0 && !x.baseline {
		if preferred := x.peerPool.Prefix.Prefer(now, view, x.job.prefix); preferred != nil {
			return preferred
		}
	}
	endpoint := x.picker.Pick(now, view, &x.avoid)
	if endpoint == nil && !action.Hedge && !x.refused && action.Attempt > 0 {
		// Attempts at all endpoints of a small pool were cancelled as stragglers and
		// none was refused, so all endpoints were slow for a moment. They are tried
		// again: otherwise a short stall of the pool would fail requests that have
		// most of their time left.
		x.avoid = pick.Avoid{}
		endpoint = x.picker.Pick(now, view, &x.avoid)
	}
	if action.Hedge && endpoint != nil && endpoint.Utilisation(now) > pick.Full {
		return nil // a hedge must not overload an endpoint
	}
	return endpoint
}

// sendTo sends an attempt to an endpoint and reports whether it was sent.
func (x *stageRun) sendTo(now clock.Millis, action stage.Action, endpoint *pool.Endpoint) bool {
	link := x.peers.Link(endpoint)
	if link == nil {
		return false
	}
	call := x.job.call
	call.ID.Try = action.Attempt
	call.Endpoint = endpoint.Name
	call.TimeLeft = min(x.job.deadline, x.beganAt+x.job.plan.Limit) - now
	// Recorded before sending, because the answer may arrive before Call returns.
	x.attempts[action.Attempt] = attempt{id: call.ID, endpoint: endpoint, link: link, sentAt: now, open: true}
	session, err := link.Call(&call, x.eventQueue, action.Attempt)
	if err != nil {
		x.attempts[action.Attempt] = attempt{}
		return false
	}
	endpoint.RecordSend()
	if x.retryReason != "" {
		x.meter.Retried.WithLabelValues(x.job.pool, string(x.retryReason)).Inc()
		x.retryReason = ""
	}
	x.job.record.AddAttempt(trace.Attempt{
		Stage: call.ID.Stage, Try: action.Attempt, Pool: x.job.pool, Endpoint: endpoint.Name,
		AvailabilityZone: endpoint.AvailabilityZone, Hedge: action.Hedge, SentAt: now,
	})
	x.machine.Sent(now, action.Attempt, session)
	return true
}

// closeAttempt stops receiving frames for an attempt and records its outcome.
func (x *stageRun) closeAttempt(number int, state trace.State, reason fault.Reason) {
	a := &x.attempts[number]
	if !a.open {
		return
	}
	a.open = false
	a.link.Forget(a.id)
	now := x.clock.Now()
	switch state {
	case trace.Answered:
		a.endpoint.RecordAnswer(now, max(now-a.sentAt, 1))
		if x.job.affine {
			x.peerPool.Prefix.Record(x.job.prefix, a.endpoint)
		}
	case trace.Withdrawn:
		a.endpoint.RecordCancel(now, now-a.sentAt)
	default:
		a.endpoint.RecordAnswer(now, 0)
	}
	x.job.record.EndAttempt(a.id.Stage, number, now, state, reason)
}

// closeAll stops the timer and closes all attempts that are still open.
func (x *stageRun) closeAll() {
	x.stopTimer()
	for number := range x.attempts {
		x.closeAttempt(number, trace.Withdrawn, "")
	}
}
