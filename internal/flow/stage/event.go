package stage

import (
	"bytes"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// HandleFrame takes in a frame of an attempt that came on a session. What does not
// fit is dropped and counted: a frame of another session, of an attempt that
// is over, or of none would otherwise put bytes into the wrong answer.
func (m *Machine) HandleFrame(now clock.Millis, session uint64, try int, frame *wire.Frame) {
	a, reason := m.fits(session, try)
	if reason != "" {
		m.do(Action{Kind: Drop, Drop: reason})
		return
	}
	switch frame.Kind {
	case wire.KindPart:
		m.part(now, a, frame.Part)
	case wire.KindEnd:
		m.end(now, a, frame.End)
	case wire.KindRefuse:
		refuse := frame.Refuse
		m.wasted += refuse.EngineTime
		m.do(Action{Kind: Ack, Attempt: a.try})
		m.attemptFailed(now, a, fault.RefusalError{
			Reason: refuse.Reason, Ran: refuse.Ran, RetryAfter: refuse.RetryAfter, Detail: refuse.Detail,
		})
	case wire.KindOutcome:
		m.outcome(now, a, frame.Outcome.State)
	default:
	}
}

func (m *Machine) fits(session uint64, try int) (*attempt, DropReason) {
	if try < 0 || try >= len(m.attempts) || m.attempts[try].state == stateNew {
		return nil, DropUnknown
	}
	a := m.attempts[try]
	switch {
	case m.over || a.state == stateOver:
		return nil, DropLate
	case a.session != session || a.state == stateLost:
		return nil, DropSession
	default:
		return a, ""
	}
}

func (m *Machine) part(now clock.Millis, a *attempt, part *wire.Part) {
	if reason := a.answer.AddPart(part.Offset, part.Bytes); reason != "" {
		m.do(Action{Kind: Drop, Drop: reason})
		m.repair(a, reason)
		return
	}
	a.asked = false
	if a.answer.Length() > MaxAnswerBytes {
		m.do(Action{Kind: Cancel, Attempt: a.try})
		m.attemptFailed(now, a, broken("the answer is larger than allowed"))
		return
	}
	if m.config.Stream {
		m.emit(a)
	}
}

// repair asks once for bytes that are missing.
func (m *Machine) repair(a *attempt, reason DropReason) {
	if reason == DropGap && !a.asked {
		m.ask(a)
	}
}

// emit passes bytes on to the caller. The first attempt that brings any leads,
// and the others are withdrawn. After a retry the new attempt has to repeat
// what the caller already has; one that differs can't be joined to it.
func (m *Machine) emit(a *attempt) {
	if m.leader != a {
		m.leader = a
		m.hedgeAt, m.patienceAt = never, never
		m.withdraw(a)
	}
	have := a.answer.Bytes()
	known := min(len(have), len(m.shown))
	if !bytes.Equal(have[:known], m.shown[:known]) {
		m.do(Action{Kind: Cancel, Attempt: a.try})
		m.unproven = true
		a.state = stateOver
		m.fail(broken("another attempt gave another answer"))
		return
	}
	if len(have) > len(m.shown) {
		m.do(Action{Kind: Emit, Attempt: a.try, Bytes: have[len(m.shown):]})
		m.shown = have
	}
}

func broken(detail string) fault.RefusalError {
	return fault.RefusalError{Reason: fault.AnswerBroken, Ran: fault.DidRun, Detail: detail}
}

func (m *Machine) end(now clock.Millis, a *attempt, end *wire.End) {
	if end.Length > a.answer.Length() {
		// Parts are missing; the agent still has them.
		m.do(Action{Kind: Drop, Drop: DropGap})
		m.repair(a, DropGap)
		return
	}
	if !a.answer.Matches(end.Length, end.Digest) {
		m.do(Action{Kind: Drop, Drop: DropInvalid})
		m.wasted += end.EngineTime
		m.attemptFailed(now, a, broken("length or digest differ"))
		return
	}
	if m.config.Stream && a.answer.Length() < int64(len(m.shown)) {
		m.attemptFailed(now, a, broken("another attempt gave a shorter answer"))
		return
	}
	m.finish(a, end)
}

func (m *Machine) outcome(now clock.Millis, a *attempt, state wire.State) {
	if state != wire.StateUnknown {
		return
	}
	// Another incarnation answers: the one that got the call is gone, and
	// nobody knows whether it ran.
	m.attemptFailed(now, a, fault.RefusalError{
		Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun, Detail: "the agent was restarted",
	})
}

// Tick takes in that time has passed.
func (m *Machine) Tick(now clock.Millis) {
	if m.over {
		return
	}
	if now >= m.config.Deadline {
		m.fail(fault.RefusalError{Reason: fault.DeadlinePassed})
		return
	}
	m.tickLost(now)
	if !m.over && now >= m.hedgeAt {
		m.tickHedge(now)
	}
	if !m.over && now >= m.patienceAt {
		m.tickPatience(now)
	}
}

func (m *Machine) tickLost(now clock.Millis) {
	for _, a := range m.attempts {
		if m.config.Idempotent && a.state == stateLost && now >= a.lostAt+resumeWait {
			m.attemptFailed(now, a, fault.RefusalError{
				Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun, Detail: "the session was lost",
			})
			return
		}
	}
}

func (m *Machine) tickHedge(now clock.Millis) {
	m.hedgeAt = never
	if m.leader != nil || len(m.attempts) > 1 {
		return
	}
	if !m.config.Hedges.Take() {
		m.do(Action{Kind: Hedged, Outcome: hedge.NoBudget})
		return
	}
	m.hedged = true
	m.send(now, false, true)
}

// tickPatience gives up an attempt that used up the stage's share of the time,
// if another may start; otherwise it goes on waiting.
func (m *Machine) tickPatience(now clock.Millis) {
	m.patienceAt = never
	slow := m.alive()
	if m.leader != nil || slow == nil {
		return
	}
	refusal := fault.RefusalError{Reason: fault.EndpointFailed, Ran: fault.MayHaveRun, Detail: "too slow"}
	if !m.decide(now, refusal).Retry {
		return
	}
	m.withdraw(nil)
	m.do(Action{Kind: Retried, Reason: fault.WontMakeIt})
	m.send(now, false, false)
}
