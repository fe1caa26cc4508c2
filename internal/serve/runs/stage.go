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
	call     wire.Call // without try and time left
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

// result is the whole answer of a stage.
type result struct {
	bytes  []byte
	end    *wire.End
	wasted clock.Millis
}

// flight is one attempt at an endpoint, in the order of tries.
type flight struct {
	id       token.Attempt
	endpoint *pool.Endpoint
	link     *peers.Link
	sentAt   clock.Millis
	open     bool
}

// stageRun carries out the actions of one stage's machine.
type stageRun struct {
	*Runs
	job     *job
	machine *stage.Machine
	box     *peers.EventQueue
	member  *peers.Pool
	flights []flight
	avoid   pick.Avoid
	beganAt clock.Millis
	faulty  string       // availability zone of the attempt that failed last
	refused bool         // an endpoint has refused this stage
	retry   fault.Reason // why the next attempt is one more; empty for the first

	events  []peers.Event
	dueAt   clock.Millis
	due     <-chan struct{}
	stopDue func()
}

// run carries out one stage to its end.
func (r *Runs) run(ctx context.Context, j *job) (result, error) {
	member, _ := r.peers.View(j.pool)
	config := stage.Config{
		Idempotent: j.call.Idempotent, Stream: j.stream, Retries: member.Retries, Hedges: member.Hedges,
		Plan: j.plan, Times: j.times, Deadline: j.deadline,
	}
	if r.baseline {
		config.Retries, config.Hedges = r.unlimited, nil
		config.Plan = budget.Plan{Limit: j.plan.Limit, AttemptTimeout: j.plan.Limit}
		config.Times = budget.Times{}
	}
	x := &stageRun{
		Runs: r, job: j, machine: stage.New(config), box: peers.NewEventQueue(), member: member,
		beganAt: r.clock.Now(), stopDue: func() {},
	}
	defer x.settle()
	x.machine.Begin(x.beganAt)
	for x.act(); !x.machine.Over(); x.act() {
		x.wait(ctx)
	}
	if !x.machine.Answered() {
		refusal := x.machine.Refusal()
		return result{wasted: x.machine.Wasted()}, &refusal
	}
	return result{bytes: x.machine.Bytes(), end: x.machine.End(), wasted: x.machine.Wasted()}, nil
}

// wait takes in what happens next.
func (x *stageRun) wait(ctx context.Context) {
	if at := x.machine.WakeAt(); x.due == nil || at != x.dueAt {
		x.stopDue()
		x.dueAt = at
		x.due, x.stopDue = x.clock.After(at - x.clock.Now())
	}
	select {
	case <-x.box.Ready():
		x.events = x.box.Swap(x.events)
		for i := range x.events {
			x.event(&x.events[i])
			x.act()
		}
	case <-x.due:
		x.due = nil
		x.machine.Tick(x.clock.Now())
	case <-ctx.Done():
		x.machine.Abort(fault.Cancelled)
	}
}

func (x *stageRun) event(event *peers.Event) {
	now := x.clock.Now()
	switch event.Kind {
	case peers.EventFrame:
		if event.Frame.Kind == wire.KindRefuse {
			x.refused = true
			x.faulty = x.flights[event.Attempt].endpoint.AvailabilityZone
			x.close(event.Attempt, trace.Refused, event.Frame.Refuse.Reason)
		}
		x.machine.HandleFrame(now, event.Session, event.Attempt, event.Frame)
	case peers.EventSessionLost:
		x.faulty = x.flights[event.Attempt].endpoint.AvailabilityZone
		x.machine.SessionLost(now, event.Attempt)
	case peers.EventSessionRestored:
		x.machine.SessionRestored(event.Attempt, event.Session)
	case peers.EventAgentGone:
		x.machine.AgentGone(now, event.Attempt)
	}
}

// act carries out what the machine asks for.
func (x *stageRun) act() {
	for action, found := x.machine.Next(); found; action, found = x.machine.Next() {
		switch action.Kind {
		case stage.Send:
			x.send(action)
		case stage.Ask:
			f := &x.flights[action.Attempt]
			f.link.Ask(f.id, action.Offset)
		case stage.Cancel:
			x.withdraw(action.Attempt)
		case stage.Ack:
			x.ack(action.Attempt)
		case stage.Emit:
			x.job.sink(action.Bytes)
		case stage.Drop:
			x.meter.Drop(action.Drop)
		case stage.Hedged:
			x.meter.Hedge(x.job.pool, action.Outcome)
		case stage.Retried:
			x.retry = action.Reason
		case stage.Finish, stage.Fail:
		}
	}
}

// ack ends an attempt whose end has arrived; one that was refused is closed
// already.
func (x *stageRun) ack(try int) {
	f := &x.flights[try]
	f.link.Ack(f.id)
	x.close(try, trace.Answered, "")
}

func (x *stageRun) withdraw(try int) {
	f := &x.flights[try]
	f.link.Cancel(f.id)
	x.close(try, trace.Withdrawn, "")
}

// maxChoices bounds the endpoints that are looked at for one attempt.
const maxChoices = 8

// send chooses an endpoint for an attempt and sends it there.
func (x *stageRun) send(action stage.Action) {
	x.flights = append(x.flights, flight{})
	if action.AvoidZone {
		x.avoid.Zone = x.faulty
	}
	for range maxChoices {
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

func (x *stageRun) choose(now clock.Millis, action stage.Action) *pool.Endpoint {
	_, view := x.peers.View(x.job.pool)
	if x.job.affine && action.Attempt == 0 && !x.baseline {
		if preferred := x.member.Prefix.Prefer(now, view, x.job.prefix); preferred != nil {
			return preferred
		}
	}
	endpoint := x.picker.Pick(now, view, &x.avoid)
	if endpoint == nil && !action.Hedge && !x.refused && action.Attempt > 0 {
		// Every endpoint of a small pool was tried and given up as a straggler, and
		// none has refused: all of them were slow for a moment. Were the request
		// refused now, a short stall of the pool would fail requests that have
		// most of their time left.
		x.avoid = pick.Avoid{}
		endpoint = x.picker.Pick(now, view, &x.avoid)
	}
	if action.Hedge && endpoint != nil && endpoint.Utilisation(now) > pick.Full {
		return nil // a hedge must not push an endpoint over what it bears
	}
	return endpoint
}

// sendTo reports whether the attempt is on its way.
func (x *stageRun) sendTo(now clock.Millis, action stage.Action, endpoint *pool.Endpoint) bool {
	link := x.peers.Link(endpoint)
	if link == nil {
		return false
	}
	call := x.job.call
	call.ID.Try = action.Attempt
	call.Endpoint = endpoint.Name
	call.TimeLeft = min(x.job.deadline, x.beganAt+x.job.plan.Limit) - now
	// Noted before it is sent: the answer may come first.
	x.flights[action.Attempt] = flight{id: call.ID, endpoint: endpoint, link: link, sentAt: now, open: true}
	session, err := link.Call(&call, x.box, action.Attempt)
	if err != nil {
		x.flights[action.Attempt] = flight{}
		return false
	}
	endpoint.RecordSend()
	if x.retry != "" {
		x.meter.Retried.WithLabelValues(x.job.pool, string(x.retry)).Inc()
		x.retry = ""
	}
	x.job.record.Sent(trace.Attempt{
		Stage: call.ID.Stage, Try: action.Attempt, Pool: x.job.pool, Endpoint: endpoint.Name,
		AvailabilityZone: endpoint.AvailabilityZone, Hedge: action.Hedge, SentAt: now,
	})
	x.machine.Sent(now, action.Attempt, session)
	return true
}

// close ends the interest in an attempt.
func (x *stageRun) close(try int, state trace.State, reason fault.Reason) {
	f := &x.flights[try]
	if !f.open {
		return
	}
	f.open = false
	f.link.Forget(f.id)
	now := x.clock.Now()
	switch state {
	case trace.Answered:
		f.endpoint.RecordAnswer(now, max(now-f.sentAt, 1))
		if x.job.affine {
			x.member.Prefix.Record(x.job.prefix, f.endpoint)
		}
	case trace.Withdrawn:
		f.endpoint.RecordCancel(now, now-f.sentAt)
	default:
		f.endpoint.RecordAnswer(now, 0)
	}
	x.job.record.Ended(f.id.Stage, try, now, state, reason)
}

// settle ends the interest in all attempts that are left.
func (x *stageRun) settle() {
	x.stopDue()
	for try := range x.flights {
		x.close(try, trace.Withdrawn, "")
	}
}
