package agent

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/fence"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// cancel cancels an attempt. If the attempt has not arrived yet, it is recorded as
// refused, so that its call starts no work when it arrives after all.
func (a *Agent) cancel(now clock.Millis, c *wire.Cancel) {
	at := a.open[c.ID]
	switch {
	case at == nil:
		if a.fence.State(c.ID) == fence.Unseen {
			a.fence.Set(now, c.ID, fence.Refused)
		}
	case at.stop != nil:
		at.stop(errCancelled)
	default:
		a.gate.Remove(func(queued *attempt) bool { return queued == at })
		a.refuseQueued(now, at, fault.Cancelled)
	}
}

// answerAsk sends the state of an attempt and moves its answer to this session,
// starting at the requested offset.
func (a *Agent) answerAsk(now clock.Millis, s *sess.Session, ask *wire.Ask) {
	a.meter.asks.Inc()
	if at := a.open[ask.ID]; at != nil {
		at.session = s
		state := wire.StateQueued
		if at.stop != nil {
			state = wire.StateRunning
		}
		a.sendOutcome(s, ask, state)
		a.sendPart(at, ask.Offset)
		return
	}
	if result := a.keep.Get(ask.ID); result != nil {
		a.resend(s, ask, result.Bytes, result.End, result.Refuse)
		return
	}
	a.answerWithoutResult(now, s, ask)
}

func (a *Agent) resend(s *sess.Session, ask *wire.Ask, bytes []byte, end *wire.End, refuse *wire.Refuse) {
	if refuse != nil {
		a.sendOutcome(s, ask, wire.StateRefused)
		a.send(s, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
		return
	}
	a.sendOutcome(s, ask, wire.StateEnded)
	for _, part := range splitParts(bytes, ask.Offset) {
		part.ID = ask.ID
		a.send(s, &wire.Frame{Kind: wire.KindPart, Part: part})
	}
	a.send(s, &wire.Frame{Kind: wire.KindEnd, End: end})
}

// answerWithoutResult answers a request about an attempt that is not open and has
// no kept result. An attempt that is recorded as refused is refused again as not
// run. So is an unseen attempt, but only if the call was sent to this incarnation,
// no record has been evicted early and a message of the entry arrived recently. The
// attempt is then recorded as refused, so that its call does not run if it still
// arrives.
func (a *Agent) answerWithoutResult(now clock.Millis, s *sess.Session, ask *wire.Ask) {
	state := a.fence.State(ask.ID)
	if state == fence.Unseen && ask.Target == a.incarnation && a.fence.Complete(now) && a.receivedRecently(now, s) {
		if a.fence.Set(now, ask.ID, fence.Refused) {
			state = fence.Refused
		}
	}
	if state != fence.Refused {
		a.sendOutcome(s, ask, wire.StateUnknown)
		return
	}
	refuse := a.newRefusal(fault.EndpointFailed, fault.NotRun, "the call never arrived or was refused")
	refuse.ID = ask.ID
	a.meter.countRefusal(refuse)
	a.sendOutcome(s, ask, wire.StateRefused)
	a.send(s, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
}

func (a *Agent) sendOutcome(s *sess.Session, ask *wire.Ask, state wire.State) {
	a.send(s, &wire.Frame{Kind: wire.KindOutcome, Outcome: &wire.Outcome{ID: ask.ID, State: state}})
}

// receivedRecently reports whether a message of the entry arrived recently on another
// session. An entry that was paused for minutes may ask about an attempt that has
// ended and whose record has expired. The answer "not run" would then be wrong for
// a booking that ran.
func (a *Agent) receivedRecently(now clock.Millis, asker *sess.Session) bool {
	incarnation := asker.Peer().Incarnation
	lastReceived, known := a.lastReceived[incarnation]
	for s := range a.sessions {
		if s != asker && s.Peer().Incarnation == incarnation {
			lastReceived, known = max(lastReceived, s.LastReceived()), true
		}
	}
	return known && now-lastReceived <= fence.DefaultRetention/2
}
