package agent

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/guard/admit"
	"github.com/jujubescale/jujubescale/internal/guard/fair"
	"github.com/jujubescale/jujubescale/internal/guard/fence"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// maxTimeLeft bounds what a call may claim, so that a broken entry can't
	// make the agent keep answers for days.
	maxTimeLeft = clock.Millis(manif.MaxDeadlineMs)
	maxCost     = 1 << 20
)

// attempt is one call that waits or runs.
type attempt struct {
	call *wire.Call
	// session gets the answer; asking on another session moves it there.
	session *sess.Session
	key     string
	arrived clock.Millis
	expires clock.Millis
	ticket  admit.Ticket
	// stop ends the run; nil while the attempt waits.
	stop context.CancelCauseFunc
}

// offer decides about a call that has arrived. The lock is held.
func (a *Agent) offer(now clock.Millis, s *sess.Session, c *wire.Call) {
	a.meter.calls.Inc()
	a.follow(now)
	if a.doubled(now, s, c) {
		return
	}
	if refuse := a.check(now, c); refuse != nil {
		a.refuseNew(now, s, c, refuse)
		return
	}
	at := a.enter(now, s, c)
	decision := a.gate.Offer(now, a.item(at))
	if decision.Probe {
		a.poller.Poke()
	}
	if decision.HasEvicted {
		a.refuseWaiting(now, decision.Evicted, fault.QueueFull)
	}
	switch decision.Verdict {
	case admit.Admitted:
		a.start(at, decision.Ticket)
	case admit.Queued:
	case admit.Refused:
		refuse := a.refusal(decision.Reason, fault.NotRun, "")
		refuse.RetryAfter = decision.RetryAfter
		a.refuseOpen(now, at, refuse)
	}
}

// doubled handles a call whose attempt is known already: it starts nothing. One
// that was refused is refused again in the same words.
func (a *Agent) doubled(now clock.Millis, s *sess.Session, c *wire.Call) bool {
	state := a.fence.State(c.ID)
	if state == fence.Unseen {
		return false
	}
	a.meter.dropped.WithLabelValues(string(fault.DoubledFrame)).Inc()
	if state == fence.Refused {
		a.fence.Set(now, c.ID, fence.Refused)
		refuse := a.refusal(fault.DoubledFrame, fault.NotRun, "the attempt was refused before")
		refuse.ID = c.ID
		a.send(s, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
	}
	return true
}

// check returns why a new call can't be taken at all, or nil.
func (a *Agent) check(now clock.Millis, c *wire.Call) *wire.Refuse {
	switch {
	case c.ID.Request == "":
		return a.refusal(fault.BadRequest, fault.NotRun, "call without a request")
	case c.Endpoint != "" && c.Endpoint != a.settings.Endpoint:
		return a.refusal(fault.WrongEndpoint, fault.NotRun, "this is endpoint "+a.settings.Endpoint)
	case c.Target != 0 && c.Target != a.incarnation:
		// Whether the incarnation that was meant ran it can't be known here.
		return a.refusal(fault.WrongEndpoint, fault.MayHaveRun, "this is another incarnation")
	case c.TimeLeft <= 0:
		return a.refusal(fault.DeadlinePassed, fault.NotRun, "no time left")
	case a.drain.Reason() != "":
		return a.refusal(a.drain.Reason(), fault.NotRun, "")
	case a.caller == nil:
		return a.refusal(fault.EndpointFailed, fault.NotRun, "endpoint can't be called")
	case !a.keep.HasRoom(c.Organisation):
		return a.refusal(fault.Overloaded, fault.NotRun, "answers wait to be acknowledged")
	}
	return a.checkKey(now, c)
}

// checkKey holds the calls that may not be repeated to one run for each key.
func (a *Agent) checkKey(now clock.Millis, c *wire.Call) *wire.Refuse {
	if c.Idempotent {
		return nil
	}
	switch a.fence.KeyState(onceKey(c)) {
	case fence.Open:
		return a.refusal(fault.KeyInUse, fault.MayHaveRun, "a call with this key is open")
	case fence.Ended:
		return a.refusal(fault.KeyDone, fault.DidRun, "a call with this key has run")
	default:
		if !a.fence.SetKey(now, onceKey(c), fence.Open) {
			return a.refusal(fault.Overloaded, fault.NotRun, "too many keys are open")
		}
		return nil
	}
}

// onceKey is what a call that may not be repeated is known by: the caller's
// key within its organisation, or else the request's stage, so that a second
// try of it can't run either.
func onceKey(c *wire.Call) string {
	if c.Key != "" {
		return "key/" + c.Organisation + "/" + c.Path + "/" + c.Key
	}
	return "stage/" + token.Attempt{Request: c.ID.Request, Stage: c.ID.Stage}.String()
}

// enter opens the books for a call that may run.
func (a *Agent) enter(now clock.Millis, s *sess.Session, c *wire.Call) *attempt {
	at := &attempt{
		call: c, session: s, arrived: now,
		expires: now + min(c.TimeLeft, maxTimeLeft),
	}
	if !c.Idempotent {
		at.key = onceKey(c)
	}
	a.fence.Set(now, c.ID, fence.Open)
	a.keep.Open(c.ID, c.Organisation, at.expires)
	a.open[c.ID] = at
	return at
}

func (a *Agent) item(at *attempt) fair.Item[*attempt] {
	item := fair.Item[*attempt]{
		Organisation: at.call.Organisation, Weight: 1, Priority: at.call.Priority,
		Cost: max(1, min(at.call.Cost, maxCost)), Expires: at.expires, Work: at,
	}
	if release := a.applied.Load(); release != nil {
		if organisation := release.Organisation(at.call.Organisation); organisation != nil {
			item.Weight = max(organisation.Weight, 1)
		}
	}
	return item
}

// refusal builds a refusal without its attempt.
func (a *Agent) refusal(reason fault.Reason, ran fault.Ran, detail string) *wire.Refuse {
	return &wire.Refuse{Reason: reason, Ran: ran, Detail: detail, Load: a.loadNow()}
}

// refuseNew refuses a call that was never opened. The fence comes first: what
// is called not run must not run when a second copy of the frame arrives.
func (a *Agent) refuseNew(now clock.Millis, s *sess.Session, c *wire.Call, refuse *wire.Refuse) {
	if !a.fence.Set(now, c.ID, fence.Refused) && refuse.Ran == fault.NotRun {
		refuse.Ran = fault.MayHaveRun
	}
	refuse.ID = c.ID
	a.meter.refuse(refuse)
	a.send(s, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
}

// refuseOpen ends an open attempt without an answer.
func (a *Agent) refuseOpen(now clock.Millis, at *attempt, refuse *wire.Refuse) {
	refuse.ID = at.call.ID
	if refuse.Ran == fault.NotRun {
		a.fence.Set(now, at.call.ID, fence.Refused)
		if at.key != "" {
			a.fence.ReleaseKey(at.key)
		}
	} else {
		a.ended(now, at)
	}
	a.meter.refuse(refuse)
	a.keep.Refuse(at.call.ID, refuse)
	a.send(at.session, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
	a.close(at)
}

// ended marks an attempt and its key as run.
func (a *Agent) ended(now clock.Millis, at *attempt) {
	a.fence.Set(now, at.call.ID, fence.Ended)
	if at.key != "" {
		a.fence.SetKey(now, at.key, fence.Ended)
	}
}

func (a *Agent) refuseWaiting(now clock.Millis, at *attempt, reason fault.Reason) {
	a.refuseOpen(now, at, a.refusal(reason, fault.NotRun, "waited and did not run"))
}

// close takes an attempt out of the open ones.
func (a *Agent) close(at *attempt) {
	delete(a.open, at.call.ID)
	a.noteIdle()
}
