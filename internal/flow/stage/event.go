package stage

import (
	"bytes"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// HandleFrame processes a frame for an attempt that was received on a session.
// Frames of another session, of an ended attempt or of an unknown attempt are dropped
// and counted, because their bytes could end up in the wrong answer.
func (m *Machine) HandleFrame(now clock.Millis, session uint64, index int, frame *wire.Frame) {
	a, reason := m.openAttempt(session, index)
	if reason != "" {
		m.enqueue(Action{Kind: Drop, Drop: reason})
		return
	}
	switch frame.Kind {
	case wire.KindPart:
		m.handlePart(now, a, frame.Part)
	case wire.KindEnd:
		m.handleEnd(now, a, frame.End)
	case wire.KindRefuse:
		refuse := frame.Refuse
		m.wasted += refuse.EngineTime
		m.enqueue(Action{Kind: Ack, Attempt: a.index})
		m.attemptFailed(now, a, fault.RefusalError{
			Reason: refuse.Reason, Ran: refuse.Ran, RetryAfter: refuse.RetryAfter, Detail: refuse.Detail,
		})
	case wire.KindOutcome:
		m.handleOutcome(now, a, frame.Outcome.State)
	default:
	}
}

// openAttempt returns the attempt that a frame belongs to, or the reason to drop the
// frame.
func (m *Machine) openAttempt(session uint64, index int) (*attempt, DropReason) {
	if index < 0 || index >= len(m.attempts) || m.attempts[index].state == stateNew {
		return nil, DropUnknown
	}
	a := m.attempts[index]
	switch {
	case m.over || a.state == stateOver:
		return nil, DropLate
	case a.session != session || a.state == stateLost:
		return nil, DropSession
	default:
		return a, ""
	}
}

func (m *Machine) handlePart(now clock.Millis, a *attempt, part *wire.Part) {
	if reason := a.answer.AddPart(part.Offset, part.Bytes); reason != "" {
		m.enqueue(Action{Kind: Drop, Drop: reason})
		m.requestMissing(a, reason)
		return
	}
	a.asked = false
	if a.answer.Length() > MaxAnswerBytes {
		m.enqueue(Action{Kind: Cancel, Attempt: a.index})
		m.attemptFailed(now, a, invalidAnswer("the answer is larger than allowed"))
		return
	}
	if m.config.Stream {
		m.emit(a)
	}
}

// requestMissing requests missing bytes, at most once until the next part arrives.
func (m *Machine) requestMissing(a *attempt, reason DropReason) {
	if reason == DropGap && !a.asked {
		m.ask(a)
	}
}

// emit passes new bytes to the caller. The first attempt with bytes becomes the leader
// and the others are cancelled. After a retry, the new attempt has to repeat the bytes
// that the caller already has. If they differ, the stage fails, because the two answers
// cannot be joined.
func (m *Machine) emit(a *attempt) {
	if m.leader != a {
		m.leader = a
		m.hedgeAt, m.timeoutAt = never, never
		m.cancelExcept(a)
	}
	received := a.answer.Bytes()
	common := min(len(received), len(m.emitted))
	if !bytes.Equal(received[:common], m.emitted[:common]) {
		m.enqueue(Action{Kind: Cancel, Attempt: a.index})
		m.mayHaveRun = true
		a.state = stateOver
		m.fail(invalidAnswer("another attempt gave another answer"))
		return
	}
	if len(received) > len(m.emitted) {
		m.enqueue(Action{Kind: Emit, Attempt: a.index, Bytes: received[len(m.emitted):]})
		m.emitted = received
	}
}

func invalidAnswer(detail string) fault.RefusalError {
	return fault.RefusalError{Reason: fault.AnswerBroken, Ran: fault.DidRun, Detail: detail}
}

func (m *Machine) handleEnd(now clock.Millis, a *attempt, end *wire.End) {
	if end.Length > a.answer.Length() {
		// Parts are missing. The agent still has them.
		m.enqueue(Action{Kind: Drop, Drop: DropGap})
		m.requestMissing(a, DropGap)
		return
	}
	if !a.answer.Matches(end.Length, end.Digest) {
		m.enqueue(Action{Kind: Drop, Drop: DropInvalid})
		m.wasted += end.EngineTime
		m.attemptFailed(now, a, invalidAnswer("length or digest differ"))
		return
	}
	if m.config.Stream && a.answer.Length() < int64(len(m.emitted)) {
		m.attemptFailed(now, a, invalidAnswer("another attempt gave a shorter answer"))
		return
	}
	m.finish(a, end)
}

func (m *Machine) handleOutcome(now clock.Millis, a *attempt, state wire.State) {
	if state != wire.StateUnknown {
		return
	}
	// The answer is from a later incarnation of the agent. The one that received
	// the call has ended, and it is unknown whether the call ran.
	m.attemptFailed(now, a, fault.RefusalError{
		Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun, Detail: "the agent was restarted",
	})
}

// Tick handles deadlines and timeouts that have passed by now.
func (m *Machine) Tick(now clock.Millis) {
	if m.over {
		return
	}
	if now >= m.config.Deadline {
		m.fail(fault.RefusalError{Reason: fault.DeadlinePassed})
		return
	}
	m.expireLost(now)
	if !m.over && now >= m.hedgeAt {
		m.sendHedge(now)
	}
	if !m.over && now >= m.timeoutAt {
		m.replaceSlow(now)
	}
}

// expireLost fails an idempotent attempt whose session was not restored in time.
func (m *Machine) expireLost(now clock.Millis) {
	for _, a := range m.attempts {
		if m.config.Idempotent && a.state == stateLost && now >= a.lostAt+resumeWait {
			m.attemptFailed(now, a, fault.RefusalError{
				Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun, Detail: "the session was lost",
			})
			return
		}
	}
}

// sendHedge sends a hedge if only one attempt was made, it has not returned any bytes
// and the budget allows it.
func (m *Machine) sendHedge(now clock.Millis) {
	m.hedgeAt = never
	if m.leader != nil || len(m.attempts) > 1 {
		return
	}
	if !m.config.Hedges.Take() {
		m.enqueue(Action{Kind: Hedged, Outcome: hedge.NoBudget})
		return
	}
	m.hedged = true
	m.send(now, false, true)
}

// replaceSlow cancels an attempt that has used up its time if a retry is allowed.
// Otherwise the attempt continues.
func (m *Machine) replaceSlow(now clock.Millis) {
	m.timeoutAt = never
	slow := m.pendingAttempt()
	if m.leader != nil || slow == nil {
		return
	}
	refusal := fault.RefusalError{Reason: fault.EndpointFailed, Ran: fault.MayHaveRun, Detail: "too slow"}
	if !m.decide(now, refusal).Retry {
		return
	}
	m.cancelExcept(nil)
	m.enqueue(Action{Kind: Retried, Reason: fault.DeadlineUnreachable})
	m.send(now, false, false)
}
