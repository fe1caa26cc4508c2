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
	// maintenanceInterval is the interval between checks of queued attempts and kept
	// answers.
	maintenanceInterval clock.Millis = 25
	// maxFailedReadings is the number of consecutive failed readings, without a byte
	// from the endpoint in between, after which the endpoint is considered failing.
	maxFailedReadings = 3
	// maxReportWait is how long after its start the agent waits for a load report
	// that is newer than its start. It does not wait for reports with a larger lag.
	maxReportWait = 5 * clock.Second
	// rejoinDelay is how long the process still counts as isolated after the first
	// message from outside its zone. That message may be a heartbeat, and the message
	// that operators evacuated the zone may arrive a little later. Work accepted in
	// between would run in an evacuated zone.
	rejoinDelay = 1 * clock.Second
	// ownWorkRetention is how long past counts of the agent's own running work are
	// kept. They are needed to compute the foreign work from lagging load reports.
	ownWorkRetention = 3 * clock.Second
)

// watch is the observed state of the endpoint.
type watch struct {
	startID        string
	failedReadings int
	// lastByteAt is when the last byte of an answer arrived.
	lastByteAt clock.Millis
	lastGoodAt clock.Millis
	// own holds the counts of the agent's own running work at past readings.
	own []ownWork
}

type ownWork struct {
	at      clock.Millis
	running int
}

// runMaintenance periodically applies shared state, expires queued attempts and kept
// answers, and starts queued attempts, until the context ends.
func (a *Agent) runMaintenance(ctx context.Context) {
	for a.clock.Sleep(ctx, maintenanceInterval) == nil {
		a.mu.Lock()
		now := a.clock.Now()
		a.applyShared(now)
		a.gate.Expire(now, func(at *attempt) { a.refuseQueued(now, at, fault.DeadlineUnreachable) })
		a.keep.Sweep(now)
		a.startQueued(now)
		a.mu.Unlock()
	}
}

// applyShared applies a new release, and the reasons for refusing new work that come
// from the release or from isolation. The caller holds the lock.
func (a *Agent) applyShared(now clock.Millis) {
	reason, _ := a.node.RefusalReason()
	switch {
	case reason == fault.Isolated:
		a.isolatedAt = now
	case reason == "" && a.isolatedAt > 0 && now-a.isolatedAt < rejoinDelay:
		reason = fault.Isolated
	default:
	}
	for _, cause := range sharedCauses {
		a.setCauseLocked(now, cause, cause.Reason() == reason)
	}
	if release := a.holder.Current(); release != a.applied.Load() {
		a.applied.Store(release)
		a.setLimits()
	}
}

// sharedCauses lists the causes that the node reports. It reports at most one at a
// time.
var sharedCauses = []drain.Cause{drain.CauseZone, drain.CauseEndpoint, drain.CauseIsolated, drain.CauseNoRelease}

// setLimits applies the limits of the release. A warm limit that the endpoint reports
// takes precedence over the manifest.
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
	if a.reportedLimit > 0 {
		warm = a.reportedLimit
	}
	a.gate.SetLimits(pool.ColdLimit, warm)
}

// SetCause activates or ends a cause for refusing new work that is detected outside
// the agent: isolation and planned stops.
func (a *Agent) SetCause(cause drain.Cause, active bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setCauseLocked(a.clock.Now(), cause, active)
}

// setCauseLocked activates or ends a cause. If this changes the reason for refusing
// new work, it sends the change to all entries. If there is a reason, queued work is
// refused as not run. The caller holds the lock.
func (a *Agent) setCauseLocked(now clock.Millis, cause drain.Cause, active bool) {
	before := a.drain.Reason()
	if !a.drain.Set(cause, active) {
		return
	}
	reason := a.drain.Reason()
	if reason == before {
		return
	}
	a.log.Info("reason for refusing work changed", "endpoint", a.settings.Endpoint, "before", before, "reason", reason)
	if reason == "" {
		a.gate.Open()
		a.startQueued(now)
	} else {
		a.gate.Close(reason, func(at *attempt) { a.refuseQueued(now, at, reason) })
	}
	for s := range a.sessions {
		a.send(s, a.leaveFrame())
	}
}

// observe handles a reading of the load report.
func (a *Agent) observe(reading load.Reading) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	switch {
	case reading.Err != nil:
		a.observeFailure(now, reading.Err)
	case reading.Unsupported:
		a.gate.SetNoReports()
		a.observeGood(now)
		a.setCauseLocked(now, drain.CauseUnknownLoad, false)
	default:
		a.observeGood(now)
		a.observeReport(now, reading.Report)
	}
	a.startQueued(now)
}

func (a *Agent) observeGood(now clock.Millis) {
	a.watch.failedReadings = 0
	a.watch.lastGoodAt = now
	a.setCauseLocked(now, drain.CauseFailing, false)
}

func (a *Agent) observeReport(now clock.Millis, report *load.Report) {
	restarted := a.watch.startID != "" && a.watch.startID != report.StartID
	a.watch.startID = report.StartID
	if !report.Cold && report.Limit > 0 && report.Limit != a.reportedLimit {
		a.reportedLimit = report.Limit
		a.setLimits()
	}
	a.gate.Observe(now, admit.Report{
		StartID: report.StartID, Cold: report.Cold, Warm: report.Warm, Limit: report.Limit, AsOf: report.AsOf,
	})
	a.updateForeign(report, restarted)
	if report.AsOf >= a.started || now-a.started > maxReportWait {
		a.setCauseLocked(now, drain.CauseUnknownLoad, false)
	}
	a.watch.recordOwnWork(now, a.gate.Running()-a.gate.Foreign())
}

// updateForeign updates the amount of work that another process, such as the previous
// agent, started at the endpoint. Once the load is known, it can only decrease.
func (a *Agent) updateForeign(report *load.Report, restarted bool) {
	if restarted {
		a.gate.SetForeign(0)
		return
	}
	if a.drain.Has(drain.CauseUnknownLoad) {
		a.gate.SetForeign(report.Outstanding())
		return
	}
	if foreign := a.gate.Foreign(); foreign > 0 {
		a.gate.SetForeign(min(foreign, max(report.Outstanding()-a.watch.ownWorkAt(report.AsOf), 0)))
	}
}

func (w *watch) recordOwnWork(now clock.Millis, running int) {
	w.own = append(w.own, ownWork{at: now, running: running})
	for len(w.own) > 1 && now-w.own[0].at > ownWorkRetention {
		w.own = w.own[1:]
	}
}

// ownWorkAt returns the lowest count of own work near an instant. A count that is too
// low only makes the estimate of foreign work too high, which is safe.
func (w *watch) ownWorkAt(instant clock.Millis) int {
	const tolerance = 2 * load.DefaultInterval
	lowest, found := 0, false
	for _, own := range w.own {
		if own.at < instant-tolerance || own.at > instant+tolerance {
			continue
		}
		if !found || own.running < lowest {
			lowest, found = own.running, true
		}
	}
	return lowest
}

// observeFailure handles a failed reading. An endpoint that refuses or resets
// connections has probably crashed, so its limit drops to the cold limit. After
// maxFailedReadings failures without a byte of an answer, the endpoint gets no new
// work, and idempotent running work is cancelled while there is still time to run it
// elsewhere.
func (a *Agent) observeFailure(now clock.Millis, err error) {
	a.meter.readingsFailed.Inc()
	a.watch.failedReadings++
	if !isTimeout(err) && a.watch.failedReadings == 1 {
		a.gate.ConnectionReset(now)
	}
	if a.watch.failedReadings < maxFailedReadings || a.watch.lastByteAt > a.watch.lastGoodAt {
		if a.watch.lastByteAt > a.watch.lastGoodAt {
			a.watch.failedReadings, a.watch.lastGoodAt = 1, now
		}
		return
	}
	a.setCauseLocked(now, drain.CauseFailing, true)
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

// recordColdDrop counts a drop to the cold limit. After a restart or a connection
// reset it also changes the prefix epoch, because a restarted endpoint has lost its
// prefix cache.
func (a *Agent) recordColdDrop(cause ramp.Cause) {
	a.meter.coldLimitDrops.WithLabelValues(string(cause)).Inc()
	a.log.Warn("limit dropped to the cold limit", "endpoint", a.settings.Endpoint, "cause", cause)
	if cause == ramp.CauseRestart || cause == ramp.CauseReset {
		a.prefixEpoch++
	}
}
