// Package stage is the state machine of one stage of one request. It receives events
// and returns actions. It manages the attempts, collects their answers and decides on
// retries, hedges, resumption after a lost session, and the result. It opens no sockets
// and reads no clock, so that tests can generate any order of events.
package stage

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/budget"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/flow/quota"
	"github.com/jujubescale/jujubescale/internal/flow/retry"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// MaxAnswerBytes limits the answer of one stage.
	MaxAnswerBytes = 16 << 20
	// resumeWait is how long an idempotent attempt waits for a new session after its
	// session was lost, before it is retried elsewhere. An attempt that must not run
	// twice waits until the deadline.
	resumeWait clock.Millis = 150
	never                   = clock.Millis(1) << 60
)

// Kind is the kind of an action.
type Kind uint8

// Kinds of actions.
const (
	// Send starts the new attempt Attempt, outside the zone of the previous one if
	// AvoidZone is set. The result is reported with Sent or NoTarget.
	Send Kind = iota
	// Ask requests the outcome of Attempt and its bytes from Offset on.
	Ask
	// Cancel cancels Attempt.
	Cancel
	// Ack confirms to the agent that the end of Attempt was received.
	Ack
	// Emit sends Bytes to the caller.
	Emit
	// Drop counts a dropped frame by the reason in Drop.
	Drop
	// Hedged counts the outcome of a hedge.
	Hedged
	// Retried counts a retry by the reason of the refusal.
	Retried
	// Finish reports that the stage is answered, see Machine.Bytes and Machine.End.
	Finish
	// Fail reports that the stage has failed, see Machine.Refusal.
	Fail
)

// Action is one action that the caller of the machine has to perform.
type Action struct {
	Kind      Kind
	Attempt   int
	Offset    int64
	Bytes     []byte
	AvoidZone bool
	Hedge     bool
	Reason    fault.Reason
	Drop      DropReason
	Outcome   hedge.Outcome
}

// Config is the configuration of a stage.
type Config struct {
	// Idempotent is set if the stage may run twice.
	Idempotent bool
	// Stream is set if bytes are sent to the caller as they arrive.
	Stream bool
	// Retries and Hedges are the retry and hedge budgets of the pool.
	Retries *quota.Quota
	Hedges  *quota.Quota
	// Plan and Times are the time limits and the usual durations of this stage.
	Plan  budget.Plan
	Times budget.Times
	// Deadline is the deadline of the request.
	Deadline clock.Millis
}

type attemptState uint8

const (
	stateNew attemptState = iota
	stateLive
	stateLost
	stateOver
)

type attempt struct {
	index   int
	hedge   bool
	state   attemptState
	session uint64
	sentAt  clock.Millis
	lostAt  clock.Millis
	asked   bool
	answer  Answer
	end     *wire.End
}

// Machine runs one stage. It is not safe for concurrent use.
type Machine struct {
	config   Config
	attempts []*attempt
	actions  []Action
	next     int

	hedgeAt   clock.Millis
	timeoutAt clock.Millis
	hedged    bool

	leader  *attempt // attempt whose bytes are sent to the caller
	emitted []byte   // bytes that were sent to the caller

	over        bool
	winner      *attempt
	lastRefusal fault.RefusalError // of the last failed attempt
	refusal     fault.RefusalError // of the stage
	mayHaveRun  bool               // an unanswered attempt may have run
	didRun      bool               // an unanswered attempt has run
	wasted      clock.Millis
}

// New returns a machine. Begin has to be called next.
func New(config Config) *Machine {
	return &Machine{config: config, hedgeAt: never, timeoutAt: never}
}

// Begin starts the first attempt.
func (m *Machine) Begin(now clock.Millis) {
	if m.config.Plan.TooLate {
		m.fail(fault.RefusalError{Reason: fault.DeadlineUnreachable, Ran: fault.NotRun})
		return
	}
	if m.config.Hedges != nil {
		m.config.Hedges.Earn()
		delay, due := hedge.Delay(m.config.Idempotent, m.config.Times.Typical, m.config.Times.Slow, m.config.Plan.Limit)
		if due {
			m.hedgeAt = now + delay
		}
	}
	m.send(now, false, false)
}

// send adds an attempt and the action that sends it.
func (m *Machine) send(now clock.Millis, avoidZone, asHedge bool) {
	a := &attempt{index: len(m.attempts), hedge: asHedge, sentAt: now}
	m.attempts = append(m.attempts, a)
	m.enqueue(Action{Kind: Send, Attempt: a.index, AvoidZone: avoidZone, Hedge: asHedge})
}

func (m *Machine) enqueue(action Action) { m.actions = append(m.actions, action) }

// Next returns the next action, and false if there is none.
func (m *Machine) Next() (Action, bool) {
	if m.next == len(m.actions) {
		m.actions, m.next = m.actions[:0], 0
		return Action{}, false
	}
	m.next++
	return m.actions[m.next-1], true
}

// Over reports whether the stage is answered or has failed.
func (m *Machine) Over() bool { return m.over }

// Answered reports whether the stage is answered.
func (m *Machine) Answered() bool { return m.winner != nil }

// Bytes returns the complete answer. It may be called after Finish.
func (m *Machine) Bytes() []byte { return m.winner.answer.Bytes() }

// End returns the end frame of the answer. It may be called after Finish.
func (m *Machine) End() *wire.End { return m.winner.end }

// Winner returns the index of the attempt that answered. It may be called after
// Finish.
func (m *Machine) Winner() int { return m.winner.index }

// Refusal returns the reason of the failure after Fail. Its field Ran covers all
// attempts of the stage.
func (m *Machine) Refusal() fault.RefusalError { return m.refusal }

// Wasted returns the reported engine time of attempts without an answer.
func (m *Machine) Wasted() clock.Millis { return m.wasted }

// WakeAt returns the time of the next call of Tick.
func (m *Machine) WakeAt() clock.Millis {
	at := min(m.config.Deadline, m.hedgeAt, m.timeoutAt)
	for _, a := range m.attempts {
		if a.state == stateLost && m.config.Idempotent {
			at = min(at, a.lostAt+resumeWait)
		}
	}
	return at
}

// Sent reports that an attempt was sent on a session.
func (m *Machine) Sent(now clock.Millis, index int, session uint64) {
	a := m.attempts[index]
	a.state, a.session, a.sentAt = stateLive, session, now
	plan := m.config.Plan
	if m.config.Idempotent && plan.AttemptTimeout < plan.Limit && m.leader == nil {
		m.timeoutAt = now + plan.AttemptTimeout
	}
}

// NoTarget reports that there is no endpoint left for an attempt.
func (m *Machine) NoTarget(index int) {
	a := m.attempts[index]
	a.state = stateOver
	if a.hedge {
		m.enqueue(Action{Kind: Hedged, Outcome: hedge.NoEndpoint})
		return
	}
	if m.pendingAttempt() == nil && !m.over {
		if m.lastRefusal.Reason == "" {
			m.lastRefusal.Reason = fault.NoEndpoint
		}
		m.fail(m.lastRefusal)
	}
}

// SessionLost reports that the session of an attempt has ended or timed out.
func (m *Machine) SessionLost(now clock.Millis, index int) {
	if a := m.attempts[index]; a.state == stateLive {
		a.state, a.lostAt = stateLost, now
	}
}

// AgentGone reports that the process that ran an attempt no longer exists, so that
// the outcome of the attempt cannot be found out.
func (m *Machine) AgentGone(now clock.Millis, index int) {
	if a := m.attempts[index]; a.state == stateLost && !m.over {
		m.attemptFailed(now, a, fault.RefusalError{
			Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun, Detail: "the agent is gone",
		})
	}
}

// SessionRestored reports a new session to the endpoint of an attempt.
func (m *Machine) SessionRestored(index int, session uint64) {
	a := m.attempts[index]
	if a.state != stateLost || m.over {
		return
	}
	a.state, a.session = stateLive, session
	m.ask(a)
}

func (m *Machine) ask(a *attempt) {
	a.asked = true
	m.enqueue(Action{Kind: Ask, Attempt: a.index, Offset: a.answer.Length()})
}

// Abort ends the stage because the caller disconnected or the request was cancelled.
func (m *Machine) Abort(reason fault.Reason) {
	if !m.over {
		m.fail(fault.RefusalError{Reason: reason})
	}
}

// pendingAttempt returns an attempt that may still answer, or nil.
func (m *Machine) pendingAttempt() *attempt {
	for _, a := range m.attempts {
		if a.state != stateOver {
			return a
		}
	}
	return nil
}

// cancelExcept cancels all open attempts except one.
func (m *Machine) cancelExcept(except *attempt) {
	for _, a := range m.attempts {
		if a == except || a.state == stateOver {
			continue
		}
		if a.state != stateNew {
			m.mayHaveRun = true
			m.enqueue(Action{Kind: Cancel, Attempt: a.index})
		}
		a.state = stateOver
	}
}

func (m *Machine) finish(a *attempt, end *wire.End) {
	a.end = end
	m.over, m.winner = true, a
	m.cancelExcept(a)
	a.state = stateOver
	m.enqueue(Action{Kind: Ack, Attempt: a.index})
	if m.hedged {
		outcome := hedge.Lost
		if a.hedge {
			outcome = hedge.Won
		}
		m.enqueue(Action{Kind: Hedged, Outcome: outcome})
	}
	m.config.Retries.Earn()
	m.enqueue(Action{Kind: Finish})
}

// fail ends the stage. The refusal reports "not run" only if no attempt can have run.
func (m *Machine) fail(refusal fault.RefusalError) {
	m.over = true
	m.cancelExcept(nil)
	switch {
	case m.mayHaveRun:
		refusal.Ran = fault.MayHaveRun
	case m.didRun:
		refusal.Ran = fault.DidRun
	default:
		refusal.Ran = fault.NotRun
	}
	m.refusal = refusal
	m.enqueue(Action{Kind: Fail})
}

// attemptFailed records the failure of an attempt. If no other attempt is pending, it
// retries or ends the stage.
func (m *Machine) attemptFailed(now clock.Millis, a *attempt, refusal fault.RefusalError) {
	a.state = stateOver
	switch refusal.Ran {
	case fault.MayHaveRun:
		m.mayHaveRun = true
	case fault.DidRun:
		m.didRun = true
	default:
	}
	m.lastRefusal = refusal
	if m.pendingAttempt() != nil {
		return
	}
	decision := m.decide(now, refusal)
	if !decision.Retry {
		refusal.Reason = decision.Reason
		m.fail(refusal)
		return
	}
	m.enqueue(Action{Kind: Retried, Reason: refusal.Reason})
	m.send(now, decision.AvoidZone, false)
}

func (m *Machine) decide(now clock.Millis, refusal fault.RefusalError) retry.Decision {
	return retry.Decide(retry.Failure{
		Reason: refusal.Reason, Ran: refusal.Ran, RetryAfter: refusal.RetryAfter,
		Idempotent: m.config.Idempotent, Attempts: len(m.attempts),
		Left: m.config.Deadline - now, Need: m.config.Plan.Need, HasAlternative: true,
	}, m.config.Retries)
}
