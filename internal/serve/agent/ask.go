package agent

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/fence"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// cancel withdraws an attempt. One that has not arrived yet is fenced, so that
// its late frame starts nothing for a caller who has gone.
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
		a.gate.Remove(func(waiting *attempt) bool { return waiting == at })
		a.refuseWaiting(now, at, fault.Cancelled)
	}
}

// answerAsk tells what became of an attempt and moves its answer to this
// session, from the asked offset on.
func (a *Agent) answerAsk(now clock.Millis, s *sess.Session, ask *wire.Ask) {
	a.meter.asks.Inc()
	if at := a.open[ask.ID]; at != nil {
		at.session = s
		state := wire.StateQueued
		if at.stop != nil {
			state = wire.StateRunning
		}
		a.outcome(s, ask, state)
		a.sendPart(at, ask.Offset)
		return
	}
	if result := a.keep.Get(ask.ID); result != nil {
		a.resend(s, ask, result.Bytes, result.End, result.Refuse)
		return
	}
	a.answerGone(now, s, ask)
}

func (a *Agent) resend(s *sess.Session, ask *wire.Ask, bytes []byte, end *wire.End, refuse *wire.Refuse) {
	if refuse != nil {
		a.outcome(s, ask, wire.StateRefused)
		a.send(s, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
		return
	}
	a.outcome(s, ask, wire.StateEnded)
	for _, part := range partsOf(bytes, ask.Offset) {
		part.ID = ask.ID
		a.send(s, &wire.Frame{Kind: wire.KindPart, Part: part})
	}
	a.send(s, &wire.Frame{Kind: wire.KindEnd, End: end})
}

// answerGone answers for an attempt of which nothing is kept. Only the
// incarnation that the call was sent to can say that it never arrived, and only
// if it has forgotten nothing since; it then makes sure that it never runs.
func (a *Agent) answerGone(now clock.Millis, s *sess.Session, ask *wire.Ask) {
	state := a.fence.State(ask.ID)
	if state == fence.Unseen && ask.Target == a.incarnation && a.fence.Complete(now) && a.heardLately(now, s) {
		if a.fence.Set(now, ask.ID, fence.Refused) {
			state = fence.Refused
		}
	}
	if state != fence.Refused {
		a.outcome(s, ask, wire.StateUnknown)
		return
	}
	refuse := a.refusal(fault.EndpointFailed, fault.NotRun, "the call never arrived or was refused")
	refuse.ID = ask.ID
	a.meter.refuse(refuse)
	a.outcome(s, ask, wire.StateRefused)
	a.send(s, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
}

func (a *Agent) outcome(s *sess.Session, ask *wire.Ask, state wire.State) {
	a.send(s, &wire.Frame{Kind: wire.KindOutcome, Outcome: &wire.Outcome{ID: ask.ID, State: state}})
}

// heardLately reports whether the entry was heard on another session a short
// while ago. An entry that was paused for minutes may ask for what has ended and
// been forgotten here; "not run" would then be a lie about a booking that ran.
func (a *Agent) heardLately(now clock.Millis, asking *sess.Session) bool {
	incarnation := asking.Peer().Incarnation
	heard, known := a.parted[incarnation]
	for s := range a.sessions {
		if s != asking && s.Peer().Incarnation == incarnation {
			heard, known = max(heard, s.LastHeard()), true
		}
	}
	return known && now-heard <= fence.DefaultRetention/2
}
