package agent

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/drain"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// lingerMost is how long a planned stop waits, after the last work has ended, for
// entries to take the answers and close their sessions.
const lingerMost = 2 * clock.Second

// StopResult says how a planned stop went.
type StopResult struct {
	// Cut names the attempts that were ended because time ran out.
	Cut []string
	// Unacknowledged is how many answers were still kept at the end.
	Unacknowledged int
}

// Shutdown is a planned stop: it takes no new work, hands waiting work back as
// not run, lets running work end and its answers be fetched, and then closes.
// What still runs when the context ends is cut and reported.
func (a *Agent) Shutdown(ctx context.Context) StopResult {
	a.SetCause(drain.CauseLeaving, true)
	a.awaitHeard(ctx)
	a.mu.Lock()
	a.noteIdle()
	a.mu.Unlock()
	select {
	case <-a.idle:
	case <-ctx.Done():
	}
	stopped := StopResult{Cut: a.cutRest()}
	stopped.Unacknowledged = a.linger(ctx)
	a.end(errCut)
	a.log.Info("agent stopped", "endpoint", a.settings.Endpoint,
		"cut", len(stopped.Cut), "unacknowledged", stopped.Unacknowledged)
	return stopped
}

// leaveMark marks the heartbeat that follows the word that this agent leaves.
const leaveMark = 1

// heardGrace is how long a planned stop waits until every entry has heard of it.
const heardGrace = 2 * clock.Second

// awaitHeard waits until every entry has heard that this agent leaves. Calls
// that were sent before are on their way still: if the session closed first,
// they would be lost, and a booking among them could neither be repeated nor
// called not run. A heartbeat follows the word on the same session, and an
// entry sends no call after its answer.
func (a *Agent) awaitHeard(ctx context.Context) {
	a.mu.Lock()
	for s := range a.sessions {
		a.unsure[s] = true
		a.send(s, &wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Mark: leaveMark, Load: a.loadNow()}})
	}
	a.mu.Unlock()
	until := a.clock.Now() + heardGrace
	for {
		a.mu.Lock()
		left := len(a.unsure)
		a.mu.Unlock()
		if left == 0 || a.clock.Now() >= until || a.clock.Sleep(ctx, tick) != nil {
			return
		}
	}
}

// noteIdle tells a planned stop that nothing is open any more. The lock is held.
func (a *Agent) noteIdle() {
	if len(a.open) > 0 || !a.drain.Has(drain.CauseLeaving) {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

// cutRest ends what still runs and names it.
func (a *Agent) cutRest() []string {
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

// linger waits until every entry has closed its session, which it does once it
// has nothing in flight here, and returns how many answers were still kept.
// Those of attempts that an entry has given up are never acknowledged.
func (a *Agent) linger(ctx context.Context) int {
	until := a.clock.Now() + lingerMost
	for {
		a.mu.Lock()
		kept, sessions := a.keep.Len(), len(a.sessions)
		a.mu.Unlock()
		if sessions == 0 || a.clock.Now() >= until || a.clock.Sleep(ctx, tick) != nil {
			return kept
		}
	}
}
