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
	// maxTimeLeft limits the time left of a call, so that a faulty entry cannot
	// make the agent keep answers for days.
	maxTimeLeft = clock.Millis(manif.MaxDeadlineMs)
	maxCost     = 1 << 20
)

// attempt is a queued or running call.
type attempt struct {
	call *wire.Call
	// session receives the answer. If the entry sends an Ask on another session, the
	// answer moves to that session.
	session *sess.Session
	key     string
	arrived clock.Millis
	expires clock.Millis
	ticket  admit.Ticket
	// stop cancels the run; it is nil while the attempt is queued.
	stop context.CancelCauseFunc
}

// handleCall admits, queues or refuses a call. The caller holds the lock.
func (a *Agent) handleCall(now clock.Millis, s *sess.Session, c *wire.Call) {
	a.meter.calls.Inc()
	a.applyShared(now)
	if a.handleDuplicate(now, s, c) {
		return
	}
	if refuse := a.check(now, c); refuse != nil {
		a.refuseNew(now, s, c, refuse)
		return
	}
	at := a.openAttempt(now, s, c)
	decision := a.gate.Offer(now, a.item(at))
	if decision.Probe {
		a.poller.PollNow()
	}
	if decision.HasEvicted {
		a.refuseQueued(now, decision.Evicted, fault.QueueFull)
	}
	switch decision.Verdict {
	case admit.Admitted:
		a.start(at, decision.Ticket)
	case admit.Queued:
	case admit.Refused:
		refuse := a.newRefusal(decision.Reason, fault.NotRun, "")
		refuse.RetryAfter = decision.RetryAfter
		a.refuseOpen(now, at, refuse)
	}
}

// handleDuplicate handles a call whose attempt is already recorded and reports
// whether it is. Such a call starts no work. If the attempt was refused as not run,
// it is refused again as not run.
func (a *Agent) handleDuplicate(now clock.Millis, s *sess.Session, c *wire.Call) bool {
	state := a.fence.State(c.ID)
	if state == fence.Unseen {
		return false
	}
	a.meter.dropped.WithLabelValues(string(fault.DuplicateFrame)).Inc()
	if state == fence.Refused {
		a.fence.Set(now, c.ID, fence.Refused)
		refuse := a.newRefusal(fault.DuplicateFrame, fault.NotRun, "the attempt was refused before")
		refuse.ID = c.ID
		a.send(s, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
	}
	return true
}

// check returns a refusal if a new call cannot be accepted, else nil.
func (a *Agent) check(now clock.Millis, c *wire.Call) *wire.Refuse {
	switch {
	case c.ID.Request == "":
		return a.newRefusal(fault.BadRequest, fault.NotRun, "call has no request ID")
	case c.Endpoint != "" && c.Endpoint != a.settings.Endpoint:
		return a.newRefusal(fault.WrongEndpoint, fault.NotRun, "this agent serves endpoint "+a.settings.Endpoint)
	case c.Target != 0 && c.Target != a.incarnation:
		// The incarnation to which the call was sent may have run it.
		return a.newRefusal(fault.WrongEndpoint, fault.MayHaveRun, "the call was sent to another incarnation of this agent")
	case c.TimeLeft <= 0:
		return a.newRefusal(fault.DeadlinePassed, fault.NotRun, "no time left")
	case a.drain.Reason() != "":
		return a.newRefusal(a.drain.Reason(), fault.NotRun, "")
	case a.caller == nil:
		return a.newRefusal(fault.EndpointFailed, fault.NotRun, "endpoint address cannot be used")
	case !a.keep.HasRoom(c.Organisation):
		return a.newRefusal(fault.Overloaded, fault.NotRun, "memory for unacknowledged answers is short")
	}
	return a.checkKey(now, c)
}

// checkKey reserves the key of a call that is not idempotent, so that only one call
// with this key runs. It returns a refusal if the key is in use, else nil.
func (a *Agent) checkKey(now clock.Millis, c *wire.Call) *wire.Refuse {
	if c.Idempotent {
		return nil
	}
	switch a.fence.KeyState(runOnceKey(c)) {
	case fence.Open:
		return a.newRefusal(fault.KeyInUse, fault.MayHaveRun, "a call with this key is open")
	case fence.Ended:
		return a.newRefusal(fault.KeyDone, fault.DidRun, "a call with this key has run")
	default:
		if !a.fence.SetKey(now, runOnceKey(c), fence.Open) {
			return a.newRefusal(fault.Overloaded, fault.NotRun, "too many keys are open")
		}
		return nil
	}
}

// runOnceKey returns the key that identifies a call that is not idempotent. It is
// the caller's idempotency key, which is unique within its organisation and path.
// Without one, it is the stage of the request, so that a second attempt of the
// stage cannot run either.
func runOnceKey(c *wire.Call) string {
	if c.Key != "" {
		return "key/" + c.Organisation + "/" + c.Path + "/" + c.Key
	}
	return "stage/" + token.Attempt{Request: c.ID.Request, Stage: c.ID.Stage}.String()
}

// openAttempt records a call that has passed all checks and returns its attempt.
func (a *Agent) openAttempt(now clock.Millis, s *sess.Session, c *wire.Call) *attempt {
	at := &attempt{
		call: c, session: s, arrived: now,
		expires: now + min(c.TimeLeft, maxTimeLeft),
	}
	if !c.Idempotent {
		at.key = runOnceKey(c)
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

// newRefusal returns a refusal without attempt ID.
func (a *Agent) newRefusal(reason fault.Reason, ran fault.Ran, detail string) *wire.Refuse {
	return &wire.Refuse{Reason: reason, Ran: ran, Detail: detail, Load: a.currentLoad()}
}

// refuseNew refuses a call that was not opened. It first records the attempt as
// refused: a call that is refused as not run must not run when a duplicate of its
// frame arrives. If the attempt cannot be recorded, the refusal states that the
// call may have run.
func (a *Agent) refuseNew(now clock.Millis, s *sess.Session, c *wire.Call, refuse *wire.Refuse) {
	if !a.fence.Set(now, c.ID, fence.Refused) && refuse.Ran == fault.NotRun {
		refuse.Ran = fault.MayHaveRun
	}
	refuse.ID = c.ID
	a.meter.countRefusal(refuse)
	a.send(s, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
}

// refuseOpen ends an open attempt with a refusal.
func (a *Agent) refuseOpen(now clock.Millis, at *attempt, refuse *wire.Refuse) {
	refuse.ID = at.call.ID
	if refuse.Ran == fault.NotRun {
		a.fence.Set(now, at.call.ID, fence.Refused)
		if at.key != "" {
			a.fence.ReleaseKey(at.key)
		}
	} else {
		a.markEnded(now, at)
	}
	a.meter.countRefusal(refuse)
	a.keep.Refuse(at.call.ID, refuse)
	a.send(at.session, &wire.Frame{Kind: wire.KindRefuse, Refuse: refuse})
	a.removeOpen(at)
}

// markEnded records that an attempt and its key have run.
func (a *Agent) markEnded(now clock.Millis, at *attempt) {
	a.fence.Set(now, at.call.ID, fence.Ended)
	if at.key != "" {
		a.fence.SetKey(now, at.key, fence.Ended)
	}
}

func (a *Agent) refuseQueued(now clock.Millis, at *attempt, reason fault.Reason) {
	a.refuseOpen(now, at, a.newRefusal(reason, fault.NotRun, "the call was queued and did not run"))
}

// removeOpen removes an attempt from the open attempts.
func (a *Agent) removeOpen(at *attempt) {
	delete(a.open, at.call.ID)
	a.closeIdleIfDone()
}
