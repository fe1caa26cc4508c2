package agent

import (
	"context"
	"errors"
	"net"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/engine/load"
	"github.com/jujubescale/jujubescale/internal/guard/admit"
	"github.com/jujubescale/jujubescale/internal/guard/drain"
	"github.com/jujubescale/jujubescale/internal/guard/ramp"
)

const (
	// tick is how often waiting work and kept answers are looked through.
	tick clock.Millis = 25
	// failingAfter is how many readings in a row must fail, without a byte from
	// the endpoint in between, before it counts as failing.
	failingAfter = 3
	// unknownMost is how long the agent waits for a load report from after its
	// own start. Longer lags are not waited for.
	unknownMost = 5 * clock.Second
	// rejoinSpan is how long isolation lasts on after something was heard from
	// outside. The first thing heard may be a heartbeat; that the zone was taken
	// out meanwhile comes a little later, and work taken in between would run in
	// a zone that operators took out.
	rejoinSpan = 1 * clock.Second
	// shownSpan is how long the agent's own running work is remembered, to
	// tell it apart from what others left at the endpoint.
	shownSpan = 3 * clock.Second
)

// watch is what the agent has seen of its endpoint.
type watch struct {
	startID string
	failed  int
	// heard is when the last byte of an answer came.
	heard clock.Millis
	good  clock.Millis
	// own is the agent's running work at past readings.
	own []ownWork
}

type ownWork struct {
	at      clock.Millis
	running int
}

// tend looks after everything that time alone changes, until the context ends.
func (a *Agent) tend(ctx context.Context) {
	for a.clock.Sleep(ctx, tick) == nil {
		a.mu.Lock()
		now := a.clock.Now()
		a.follow(now)
		a.gate.Expire(now, func(at *attempt) { a.refuseWaiting(now, at, fault.WontMakeIt) })
		a.keep.Sweep(now)
		a.pump(now)
		a.mu.Unlock()
	}
}

// follow takes in what is shared: a new release, and the reasons to take no new
// work that lie in it and in the reach of this process. The lock is held.
func (a *Agent) follow(now clock.Millis) {
	reason, _ := a.shared.RefusalReason()
	switch {
	case reason == fault.Isolated:
		a.cutOff = now
	case reason == "" && a.cutOff > 0 && now-a.cutOff < rejoinSpan:
		reason = fault.Isolated
	default:
	}
	for _, cause := range sharedCauses {
		a.hold(now, cause, cause.Reason() == reason)
	}
	if release := a.holder.Current(); release != a.applied.Load() {
		a.applied.Store(release)
		a.setLimits()
	}
}

// sharedCauses are the causes that the sharing finds out, one at a time.
var sharedCauses = []drain.Cause{drain.CauseZone, drain.CauseEndpoint, drain.CauseIsolated, drain.CauseNoRelease}

// setLimits takes the limits of the release; what the endpoint states as its
// warm limit goes before the manifest's.
func (a *Agent) setLimits() {
	release := a.applied.Load()
	if release == nil {
		return
	}
	pool := release.Pool(a.settings.Pool)
	if pool == nil {
		return
	}
	warm := pool.Limit
	if a.stated > 0 {
		warm = a.stated
	}
	a.gate.SetLimits(pool.ColdLimit, warm)
}

// Hold says whether a cause to take no new work holds, for causes that others
// find out: isolation and planned stops.
func (a *Agent) Hold(cause drain.Cause, holds bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hold(a.clock.Now(), cause, holds)
}

// hold changes a cause, hands waiting work back as not run when work stops, and
// tells entries.
func (a *Agent) hold(now clock.Millis, cause drain.Cause, holds bool) {
	before := a.drain.Reason()
	if !a.drain.Set(cause, holds) {
		return
	}
	reason := a.drain.Reason()
	if reason == before {
		return
	}
	a.log.Info("taking work changed", "endpoint", a.settings.Endpoint, "before", before, "reason", reason)
	if reason == "" {
		a.gate.Open()
		a.pump(now)
	} else {
		a.gate.Close(reason, func(at *attempt) { a.refuseWaiting(now, at, reason) })
	}
	for s := range a.sessions {
		a.send(s, a.leaveFrame())
	}
}

// observe takes one reading of the load report.
func (a *Agent) observe(reading load.Reading) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	switch {
	case reading.Err != nil:
		a.observeFailure(now, reading.Err)
	case reading.Absent:
		a.gate.SetNoReports()
		a.observeGood(now)
		a.hold(now, drain.CauseUnknownLoad, false)
	default:
		a.observeGood(now)
		a.observeReport(now, reading.Report)
	}
	a.pump(now)
}

func (a *Agent) observeGood(now clock.Millis) {
	a.watch.failed = 0
	a.watch.good = now
	a.hold(now, drain.CauseFailing, false)
}

func (a *Agent) observeReport(now clock.Millis, report *load.Report) {
	restarted := a.watch.startID != "" && a.watch.startID != report.StartID
	a.watch.startID = report.StartID
	if !report.Cold && report.Limit > 0 && report.Limit != a.stated {
		a.stated = report.Limit
		a.setLimits()
	}
	a.gate.Observe(now, admit.Report{
		StartID: report.StartID, Cold: report.Cold, Warm: report.Warm, Limit: report.Limit, AsOf: report.AsOf,
	})
	a.countForeign(report, restarted)
	if report.AsOf >= a.started || now-a.started > unknownMost {
		a.hold(now, drain.CauseUnknownLoad, false)
	}
	a.watch.remember(now, a.gate.Running()-a.gate.Foreign())
}

// countForeign finds out how much work runs that this agent did not start: the
// agent before it may have left some. It only ever gets less.
func (a *Agent) countForeign(report *load.Report, restarted bool) {
	if restarted {
		a.gate.SetForeign(0)
		return
	}
	if a.drain.Has(drain.CauseUnknownLoad) {
		a.gate.SetForeign(report.Busy())
		return
	}
	if foreign := a.gate.Foreign(); foreign > 0 {
		a.gate.SetForeign(min(foreign, max(report.Busy()-a.watch.ownAt(report.AsOf), 0)))
	}
}

func (w *watch) remember(now clock.Millis, running int) {
	w.own = append(w.own, ownWork{at: now, running: running})
	for len(w.own) > 1 && now-w.own[0].at > shownSpan {
		w.own = w.own[1:]
	}
}

// ownAt is the least own work around an instant: counting too little of it
// only makes the foreign work look larger.
func (w *watch) ownAt(instant clock.Millis) int {
	const around = 2 * load.DefaultInterval
	least, found := 0, false
	for _, own := range w.own {
		if own.at < instant-around || own.at > instant+around {
			continue
		}
		if !found || own.running < least {
			least, found = own.running, true
		}
	}
	return least
}

// observeFailure takes a reading that failed. An endpoint that refuses or cuts
// connections has most likely fallen over. One that stays silent while nothing
// comes from it gets no new work, and work that may be repeated is given up
// while there is still time to run it elsewhere.
func (a *Agent) observeFailure(now clock.Millis, err error) {
	a.meter.readingsFailed.Inc()
	a.watch.failed++
	if !isTimeout(err) && a.watch.failed == 1 {
		a.gate.ConnectionReset(now)
	}
	if a.watch.failed < failingAfter || a.watch.heard > a.watch.good {
		if a.watch.heard > a.watch.good {
			a.watch.failed, a.watch.good = 1, now
		}
		return
	}
	a.hold(now, drain.CauseFailing, true)
	for _, at := range a.open {
		if at.stop != nil && at.call.Idempotent {
			at.stop(errFailing)
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}

// coldDrop counts a drop to the cold limit. What restarted has lost its prefix cache.
func (a *Agent) coldDrop(cause ramp.Cause) {
	a.meter.coldDrops.WithLabelValues(string(cause)).Inc()
	a.log.Warn("cold limit in force", "endpoint", a.settings.Endpoint, "cause", cause)
	if cause == ramp.CauseRestart || cause == ramp.CauseReset {
		a.epoch++
	}
}
