// Package stage is the state machine of one stage of one request: events in,
// actions out. It holds the attempts, gathers their answers and decides on
// retries, hedges, resumption after silence, and the end. It opens no sockets
// and reads no clock, so that tests can drive every order of events.
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
	// MaxAnswerBytes bounds the answer of one stage in bytes.
	MaxAnswerBytes = 16 << 20
	// resumeWait is how long an idempotent attempt waits for a new session
	// after its session was lost, before it is tried elsewhere. One that must
	// not run twice waits until the deadline.
	resumeWait clock.Millis = 150
	never                   = clock.Millis(1) << 60
)

// Kind is what the caller of the machine shall do.
type Kind uint8

// Things to do.
const (
	// Send a new attempt Try elsewhere, away from its zone if AvoidZone. Answer
	// with Sent or NoTarget.
	Send Kind = iota
	// Ask for the outcome of Try and its bytes from Offset on.
	Ask
	// Cancel Try.
	Cancel
	// Ack tells the agent that the end of Try has arrived.
	Ack
	// Emit Bytes to the caller.
	Emit
	// Drop counts a dropped frame by its Reason.
	Drop
	// Hedged counts how a hedge ended.
	Hedged
	// Retried counts a retry by the refusal's reason.
	Retried
	// Finish: the stage is answered; see Machine.Bytes and Machine.End.
	Finish
	// Fail: the stage is not answered; see Machine.Refusal.
	Fail
)

// Action is one thing to do.
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

// Config is what a stage is run with.
type Config struct {
	// Idempotent tells that the stage may run twice.
	Idempotent bool
	// Stream tells that bytes go to the caller as they come.
	Stream bool
	// Retries and Hedges are the quotas of the pool.
	Retries *quota.Quota
	Hedges  *quota.Quota
	// Plan and Times of this stage.
	Plan  budget.Plan
	Times budget.Times
	// Deadline of the request.
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
	try     int
	hedge   bool
	state   attemptState
	session uint64
	sentAt  clock.Millis
	lostAt  clock.Millis
	asked   bool
	answer  Answer
	end     *wire.End
}

// Machine runs one stage. Not safe for use by several goroutines.
type Machine struct {
	config   Config
	attempts []*attempt
	actions  []Action
	next     int

	hedgeAt    clock.Millis
	patienceAt clock.Millis
	hedged     bool

	leader *attempt // whose bytes go to the caller
	shown  []byte   // bytes that the caller has

	over     bool
	winner   *attempt
	last     fault.RefusalError // of the attempt that failed last
	refusal  fault.RefusalError // of the stage
	unproven bool               // an attempt may have run without an answer
	ran      bool               // an attempt did run
	wasted   clock.Millis
}

// New returns a machine. Call Begin next.
func New(config Config) *Machine {
	return &Machine{config: config, hedgeAt: never, patienceAt: never}
}

// Begin asks for the first attempt.
func (m *Machine) Begin(now clock.Millis) {
	if m.config.Plan.TooLate {
		m.fail(fault.RefusalError{Reason: fault.WontMakeIt, Ran: fault.NotRun})
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

// send adds an attempt and asks for it to be sent.
func (m *Machine) send(now clock.Millis, avoidZone, asHedge bool) {
	a := &attempt{try: len(m.attempts), hedge: asHedge, sentAt: now}
	m.attempts = append(m.attempts, a)
	m.do(Action{Kind: Send, Attempt: a.try, AvoidZone: avoidZone, Hedge: asHedge})
}

func (m *Machine) do(action Action) { m.actions = append(m.actions, action) }

// Next returns the next action, in order.
func (m *Machine) Next() (Action, bool) {
	if m.next == len(m.actions) {
		m.actions, m.next = m.actions[:0], 0
		return Action{}, false
	}
	m.next++
	return m.actions[m.next-1], true
}

// Over reports whether the stage is answered or refused.
func (m *Machine) Over() bool { return m.over }

// Answered reports whether the stage is answered.
func (m *Machine) Answered() bool { return m.winner != nil }

// Bytes returns the whole answer after Finish.
func (m *Machine) Bytes() []byte { return m.winner.answer.Bytes() }

// End returns the end mark after Finish.
func (m *Machine) End() *wire.End { return m.winner.end }

// Winner returns the try that answered after Finish.
func (m *Machine) Winner() int { return m.winner.try }

// Refusal returns why the stage was not answered after Fail. Its Ran speaks of
// all attempts of the stage.
func (m *Machine) Refusal() fault.RefusalError { return m.refusal }

// Wasted returns the engine time of attempts that gave no answer, as far as
// their agents told.
func (m *Machine) Wasted() clock.Millis { return m.wasted }

// WakeAt returns when Tick is due next.
func (m *Machine) WakeAt() clock.Millis {
	at := min(m.config.Deadline, m.hedgeAt, m.patienceAt)
	for _, a := range m.attempts {
		if a.state == stateLost && m.config.Idempotent {
			at = min(at, a.lostAt+resumeWait)
		}
	}
	return at
}

// Sent tells that an attempt went out on a session.
func (m *Machine) Sent(now clock.Millis, try int, session uint64) {
	a := m.attempts[try]
	a.state, a.session, a.sentAt = stateLive, session, now
	plan := m.config.Plan
	if m.config.Idempotent && plan.AttemptTimeout < plan.Limit && m.leader == nil {
		m.patienceAt = now + plan.AttemptTimeout
	}
}

// NoTarget tells that no endpoint is left for an attempt.
func (m *Machine) NoTarget(try int) {
	a := m.attempts[try]
	a.state = stateOver
	if a.hedge {
		m.do(Action{Kind: Hedged, Outcome: hedge.NoEndpoint})
		return
	}
	if m.alive() == nil && !m.over {
		if m.last.Reason == "" {
			m.last.Reason = fault.NoEndpoint
		}
		m.fail(m.last)
	}
}

// SessionLost tells that the session of an attempt has ended or gone silent.
func (m *Machine) SessionLost(now clock.Millis, try int) {
	if a := m.attempts[try]; a.state == stateLive {
		a.state, a.lostAt = stateLost, now
	}
}

// AgentGone tells that the process that held an attempt is gone for good, so that
// nobody can tell any more what became of it.
func (m *Machine) AgentGone(now clock.Millis, try int) {
	if a := m.attempts[try]; a.state == stateLost && !m.over {
		m.attemptFailed(now, a, fault.RefusalError{
			Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun, Detail: "the agent is gone",
		})
	}
}

// SessionRestored tells that there is a new session to the endpoint of an attempt.
func (m *Machine) SessionRestored(try int, session uint64) {
	a := m.attempts[try]
	if a.state != stateLost || m.over {
		return
	}
	a.state, a.session = stateLive, session
	m.ask(a)
}

func (m *Machine) ask(a *attempt) {
	a.asked = true
	m.do(Action{Kind: Ask, Attempt: a.try, Offset: a.answer.Length()})
}

// Abort tells that the caller went away or the request was withdrawn.
func (m *Machine) Abort(reason fault.Reason) {
	if !m.over {
		m.fail(fault.RefusalError{Reason: reason})
	}
}

// alive returns an attempt that may still answer.
func (m *Machine) alive() *attempt {
	for _, a := range m.attempts {
		if a.state != stateOver {
			return a
		}
	}
	return nil
}

// withdraw cancels every attempt but one.
func (m *Machine) withdraw(but *attempt) {
	for _, a := range m.attempts {
		if a == but || a.state == stateOver {
			continue
		}
		if a.state != stateNew {
			m.unproven = true
			m.do(Action{Kind: Cancel, Attempt: a.try})
		}
		a.state = stateOver
	}
}

func (m *Machine) finish(a *attempt, end *wire.End) {
	a.end = end
	m.over, m.winner = true, a
	m.withdraw(a)
	a.state = stateOver
	m.do(Action{Kind: Ack, Attempt: a.try})
	if m.hedged {
		outcome := hedge.Lost
		if a.hedge {
			outcome = hedge.Won
		}
		m.do(Action{Kind: Hedged, Outcome: outcome})
	}
	m.config.Retries.Earn()
	m.do(Action{Kind: Finish})
}

// fail ends the stage. "Not run" is said only if every attempt proved it.
func (m *Machine) fail(refusal fault.RefusalError) {
	m.over = true
	m.withdraw(nil)
	switch {
	case m.unproven:
		refusal.Ran = fault.MayHaveRun
	case m.ran:
		refusal.Ran = fault.DidRun
	default:
		refusal.Ran = fault.NotRun
	}
	m.refusal = refusal
	m.do(Action{Kind: Fail})
}

// attemptFailed takes in that one attempt gives no answer, and decides.
func (m *Machine) attemptFailed(now clock.Millis, a *attempt, refusal fault.RefusalError) {
	a.state = stateOver
	switch refusal.Ran {
	case fault.MayHaveRun:
		m.unproven = true
	case fault.DidRun:
		m.ran = true
	default:
	}
	m.last = refusal
	if m.alive() != nil {
		return
	}
	decision := m.decide(now, refusal)
	if !decision.Retry {
		refusal.Reason = decision.Reason
		m.fail(refusal)
		return
	}
	m.do(Action{Kind: Retried, Reason: refusal.Reason})
	m.send(now, decision.AvoidZone, false)
}

func (m *Machine) decide(now clock.Millis, refusal fault.RefusalError) retry.Decision {
	return retry.Decide(retry.Failure{
		Reason: refusal.Reason, Ran: refusal.Ran, RetryAfter: refusal.RetryAfter,
		Idempotent: m.config.Idempotent, Attempts: len(m.attempts),
		Left: m.config.Deadline - now, Need: m.config.Plan.Need, HasAlternative: true,
	}, m.config.Retries)
}
