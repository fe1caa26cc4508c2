package agent

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/drain"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// sessionCloseTimeout is how long a planned stop waits for entries to receive their
// answers and close their sessions after the last attempt has ended.
const sessionCloseTimeout = 2 * clock.Second

// StopResult is the result of a planned stop.
type StopResult struct {
	// Cut lists the IDs of the attempts that were cut at the time limit.
	Cut []string
	// Unacknowledged is the number of answers that entries had not acknowledged at
	// the end.
	Unacknowledged int
}

// Shutdown performs a planned stop. It refuses new and queued work as not run, waits
// until running work has ended and entries have received the answers, and then
// closes the agent. Attempts that are still open when the context ends are cut and
// listed in the result.
func (a *Agent) Shutdown(ctx context.Context) StopResult {
	a.SetCause(drain.CauseLeaving, true)
	a.awaitLeaveConfirmed(ctx)
	a.mu.Lock()
	a.closeIdleIfDone()
	a.mu.Unlock()
	select {
	case <-a.idle:
	case <-ctx.Done():
	}
	stopped := StopResult{Cut: a.cutOpen()}
	stopped.Unacknowledged = a.awaitSessionsClosed(ctx)
	a.closeWith(errCut)
	a.log.Info("agent stopped", "endpoint", a.settings.Endpoint,
		"cut", len(stopped.Cut), "unacknowledged", stopped.Unacknowledged)
	return stopped
}

// leaveBeatMark marks the heartbeat that is sent after the leave frame.
const leaveBeatMark = 1

// leaveConfirmTimeout is how long a planned stop waits for all entries to confirm it.
const leaveConfirmTimeout = 2 * clock.Second

// awaitLeaveConfirmed waits until every entry has confirmed the planned stop, at most
// leaveConfirmTimeout. Calls that an entry sent earlier may still be in transit. If
// the session closed first, they would be lost, and a booking among them could
// neither be retried nor be reported as not run. A heartbeat is sent after the leave
// frame on the same session; an entry sends no call after it has answered the
// heartbeat.
func (a *Agent) awaitLeaveConfirmed(ctx context.Context) {
	a.mu.Lock()
	for s := range a.sessions {
		a.unconfirmed[s] = true
		a.send(s, &wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Mark: leaveBeatMark, Load: a.currentLoad()}})
	}
	a.mu.Unlock()
	until := a.clock.Now() + leaveConfirmTimeout
	for {
		a.mu.Lock()
		unconfirmed := len(a.unconfirmed)
		a.mu.Unlock()
		if unconfirmed == 0 || a.clock.Now() >= until || a.clock.Sleep(ctx, maintenanceInterval) != nil {
			return
		}
	}
}

// closeIdleIfDone closes the idle channel if a planned stop has begun and no attempt
// is open. The caller holds the lock.
func (a *Agent) closeIdleIfDone() {
	if len(a.open) > 0 || !a.drain.Has(drain.CauseLeaving) {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

// cutOpen cancels all open attempts and returns their IDs.
func (a *Agent) cutOpen() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var cut []string
	for id, at := range a.open {
		cut = append(cut, id.String())
		if at.stop != nil {
			at.stop(errCut)
		}
	}
	return cut
}

// awaitSessionsClosed waits until every entry has closed its session, at most
// sessionCloseTimeout, and returns the number of unacknowledged answers. An entry
// closes its session once it has no attempt in flight here. It never acknowledges
// the answers of attempts that it has abandoned.
func (a *Agent) awaitSessionsClosed(ctx context.Context) int {
	until := a.clock.Now() + sessionCloseTimeout
	for {
		a.mu.Lock()
		kept, sessions := a.keep.Len(), len(a.sessions)
		a.mu.Unlock()
		if sessions == 0 || a.clock.Now() >= until || a.clock.Sleep(ctx, maintenanceInterval) != nil {
			return kept
		}
	}
}
