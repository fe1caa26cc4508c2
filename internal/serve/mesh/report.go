package mesh

import (
	"context"
	"maps"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/pulse"
)

const (
	// reportInterval is the interval between regular reports of a process, and
	// between regular totals of an aggregator. Long prompts are reported at once.
	reportInterval = 100 * clock.Millis(1)
	// The pause between two rounds of reports is minRoundGap, or gapPerDestination
	// for each destination if that is longer, and at most reportInterval. With more
	// destinations, each one gets fewer messages, so that the rate at which an
	// aggregator sends messages does not grow with the fleet.
	minRoundGap       = 6 * clock.Millis(1)
	gapPerDestination = 2 * clock.Millis(1)
	// groupInterval is the interval between regular sums that aggregators exchange.
	// Each sends the sums of its group, the processes that report to it. The
	// interval is longer because most of these messages cross availability zones.
	groupInterval = 2 * reportInterval
	// staleAfter is the age of the last report above which the work of a process or
	// group is excluded from the sums.
	staleAfter = 1500 * clock.Millis(1)
	// aggregatorTimeout is the time without a total after which a process reports to
	// another aggregator; avoidPeriod is how long it avoids the previous one.
	aggregatorTimeout = 700 * clock.Millis(1)
	avoidPeriod       = 5 * clock.Second
	// presenceGrace is how long a process may report to no aggregator, because it may
	// be changing its aggregator. A new aggregator waits absentStartDelay before it
	// marks processes as absent.
	presenceGrace    = 500 * clock.Millis(1)
	absentStartDelay = clock.Second
	// usualPoolAge is the usual age of the reported queue of another owner's pool:
	// twice the time of three hops, each of which takes half an interval.
	usualPoolAge = 2*reportInterval + groupInterval
)

// uplink holds the peers through which this process reports and follows the store.
type uplink struct {
	// aggregator is the process that this one reports to, "" while this process is an
	// aggregator itself.
	aggregator string
	// upstream is the peer that relays changes of the store, "" for none.
	upstream string
}

// lastReport is the last presence of a process in the reports, and its instant.
type lastReport struct {
	presence wire.Presence
	at       clock.Millis
}

// reports is the state of Run.
type reports struct {
	lastRegular      clock.Millis // start of the last regular round
	aggregating      bool         // this process is an aggregator
	aggregatingSince clock.Millis
	aggregatorSince  clock.Millis // when reporting to the aggregator began
	avoidUntil       map[string]clock.Millis
	// replacedAt holds when the session to each other aggregator was last replaced.
	replacedAt    map[string]clock.Millis
	lastReports   map[string]lastReport
	absentChanged clock.Millis // when the set of absent processes last changed
	groupMembers  []wire.Presence
	// interest lists the endpoints that this process normally uses.
	interest []string
	// speeds is the position of this process in the speeds, while it is an aggregator.
	speeds       sums.Cursor
	groupChanged clock.Millis
	upstreamLink *link
	// A watcher that can't reach the store follows a peer until followUntil, then
	// tries the store until retryUntil.
	followUntil, retryUntil clock.Millis
	destinations            int
	pulse                   *pulse.Monitor
}

func (r *reports) init() {
	r.pulse = pulse.New(aggregatorTimeout)
	r.avoidUntil, r.replacedAt, r.lastReports = make(map[string]clock.Millis), make(map[string]clock.Millis), make(map[string]lastReport)
}

// ReportNow makes the next round report the loads of this process at once, because
// peers choose endpoints by them.
func (m *Mesh) ReportNow() {
	m.urgent.Store(true)
	m.triggerRound()
}

// triggerRound makes Run start the next round after the minimum pause.
func (m *Mesh) triggerRound() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run reports loads and relays those of peers until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	for m.waitForRound(ctx) == nil {
		m.round(m.clock.Now())
	}
}

// waitForRound waits for the pause after a round, then until the next regular round
// is due or an urgent one is requested.
func (m *Mesh) waitForRound(ctx context.Context) error {
	gap := min(max(minRoundGap, gapPerDestination*clock.Millis(m.reports.destinations)), reportInterval)
	if err := m.clock.Sleep(ctx, gap); err != nil {
		return err
	}
	expired, stopTimer := m.clock.After(max(m.reports.lastRegular+reportInterval-m.clock.Now(), 0))
	defer stopTimer()
	select {
	case <-m.wake:
		return nil
	case <-expired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Mesh) round(now clock.Millis) {
	r := &m.reports
	regular := now-r.lastRegular >= reportInterval
	if urgent := m.urgent.Swap(false); urgent || regular {
		m.recordOwnLoads(urgent, now)
	}
	if regular {
		r.lastRegular = now
		m.excludeStale(now)
		m.closeIdle(now)
		m.updateAbsent(now)
	}
	r.pulse.StartRound(m.isReceiving(now), now)
	m.chooseRole(now)
	if regular {
		m.replaceSilentGroups(now)
		m.chooseUpstream(now)
		m.resumeDownloads(now)
		m.updateTotals()
	}
	r.destinations = m.send(regular, now)
}

// recordOwnLoads adds the loads of this process to the sums.
func (m *Mesh) recordOwnLoads(urgent bool, now clock.Millis) {
	loads := m.loadsFunc()
	own := sums.Of(loads, urgent)
	m.reports.interest = loads.Interest
	own.HasMembers, own.Members = true, []wire.Presence{{Process: m.self.Name, Incarnation: m.self.Incarnation, Owns: m.mayOwn()}}
	if _, err := m.totals.Put(sums.Source{Process: m.self.Name}, own, now); err != nil {
		m.log.Error("own loads are invalid", logs.KeyError, err)
	}
	m.sendLegacyLoads(loads)
}

// sendLegacyLoads sends this process's loads to each peer of the previous version,
// which receives no totals.
func (m *Mesh) sendLegacyLoads(loads *wire.Loads) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, in := range m.inbound {
		if in.legacy {
			own := *loads
			own.Leaving = !m.owns
			_ = in.session.Send(&wire.Frame{Kind: wire.KindLoads, Loads: &own}) // a session that can't send is ending
		}
	}
}

// excludeStale excludes the work of sources whose last report is older than
// staleAfter.
func (m *Mesh) excludeStale(now clock.Millis) {
	stale, changed := m.totals.ExcludeStale(m.self.Name, now-staleAfter, now)
	for _, source := range stale {
		m.log.Info("reports stopped", "peer", source.Process, "group", source.OtherGroup, "ageMs", int64(staleAfter))
	}
	m.forwardChangedWork(changed)
}

// forwardChangedWork passes the changed work of peers at some endpoints to
// workFunc, if this process is an aggregator.
func (m *Mesh) forwardChangedWork(endpoints []string) {
	m.workLock.Lock()
	defer m.workLock.Unlock()
	if len(endpoints) > 0 && m.uplink.Load().aggregator == "" {
		m.workFunc(m.totals.WorkOfOthers(m.self.Name, endpoints), false)
	}
}

// forwardAllWork passes the work of all peers to workFunc.
func (m *Mesh) forwardAllWork() {
	m.workLock.Lock()
	defer m.workLock.Unlock()
	m.workFunc(m.totals.AllWorkOfOthers(m.self.Name), true)
}

// removeSource removes the report of a source from the sums.
func (m *Mesh) removeSource(source sums.Source) {
	m.forwardChangedWork(m.totals.Remove(source, m.clock.Now()))
}

// chooseRole decides whether this process is an aggregator, and otherwise which
// aggregator it reports to.
func (m *Mesh) chooseRole(now clock.Millis) {
	r, plan, before := &m.reports, m.view.Load().plan, m.uplink.Load()
	aggregating := plan.IsAggregator(m.self.Name) || m.totals.Reporters(m.self.Name) > 0
	to := ""
	if !aggregating {
		silent := m.avoidSilent(before.aggregator, now)
		to = plan.AggregatorFor(m.self.Name, m.self.Zone, func(name string) bool { return r.avoidUntil[name] > now })
		aggregating = to == ""
		if silent {
			m.replaceSilent(to, now)
		}
	}
	if aggregating && !r.aggregating {
		r.aggregatingSince = now
	}
	r.aggregating = aggregating
	if to == before.aggregator {
		return
	}
	m.uplink.Store(&uplink{aggregator: to, upstream: before.upstream})
	r.aggregatorSince = now
	m.log.Info("aggregator chosen", "aggregator", to, "before", before.aggregator, "aggregators", len(plan.Aggregators))
	if to == "" {
		m.forwardAllWork()
	}
}

// avoidSilent avoids the aggregator for avoidPeriod if it has sent no total for
// aggregatorTimeout, and reports whether it does.
func (m *Mesh) avoidSilent(aggregator string, now clock.Millis) bool {
	if aggregator == "" {
		return false
	}
	r := &m.reports
	m.mu.Lock()
	last := r.aggregatorSince
	if l := m.links[aggregator]; l != nil {
		last = max(last, l.lastTotal)
		if l.session != nil {
			last = max(last, l.session.PartReceivedAt())
		}
	}
	m.mu.Unlock()
	silent := r.pulse.IsSilent(last, now)
	if silent {
		r.avoidUntil[aggregator] = now + avoidPeriod
		m.log.Info("aggregator silent", "aggregator", aggregator, "ageMs", int64(now-last))
	}
	return silent
}

// replaceSilentGroups replaces the sessions to aggregators that have stopped sending the sums of
// their groups. Usually both sides notice at about the same time.
func (m *Mesh) replaceSilentGroups(now clock.Millis) {
	for name, kind := range m.reportKinds() {
		_, at := m.totals.StoreRevisions(sums.Source{Process: name, OtherGroup: true})
		if kind == wire.KindGroup && at > 0 && m.reports.pulse.IsSilent(max(at, m.reports.replacedAt[name]), now) {
			m.reports.replacedAt[name] = now
			m.replaceSilent(name, now)
		}
	}
}

// updateAbsent marks listed processes as absent while this process is an
// aggregator: those that report to no aggregator or may not own pools.
func (m *Mesh) updateAbsent(now clock.Millis) {
	r := &m.reports
	for _, presence := range m.totals.Members() {
		r.lastReports[presence.Process] = lastReport{presence: presence, at: now}
	}
	if group := m.totals.GroupMembers(); !slices.Equal(group, r.groupMembers) {
		r.groupMembers, r.groupChanged = group, now
	}
	if !r.aggregating || now-r.aggregatingSince < absentStartDelay {
		return
	}
	absent := make(map[string]token.Incarnation)
	m.mu.Lock()
	for name, member := range m.members {
		s, reported := r.lastReports[name]
		if !reported || now-s.at > presenceGrace || s.presence.Incarnation != member.Incarnation || !s.presence.Owns {
			absent[name] = member.Incarnation
		}
	}
	for name := range r.lastReports {
		if _, listed := m.members[name]; !listed && now-r.lastReports[name].at > staleAfter {
			delete(r.lastReports, name)
		}
	}
	m.mu.Unlock()
	if m.setAbsent(absent) {
		r.absentChanged = now
	}
}

// setAbsent replaces the set of absent processes and reports whether it changed.
func (m *Mesh) setAbsent(absent map[string]token.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if maps.Equal(m.absent, absent) {
		return false
	}
	m.log.Info("absent peers changed", "absent", token.Difference(absent, m.absent), "present", token.Difference(m.absent, absent), "listed", len(m.members))
	m.absent = absent
	m.updateView()
	return true
}

// absentMembers returns the absent processes, for a message.
func (m *Mesh) absentMembers() []wire.Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []wire.Presence
	for name, run := range m.absent {
		all = append(all, wire.Presence{Process: name, Incarnation: run})
	}
	return all
}

// updateTotals updates the sums of all peers' pools, pending arrivals and trials,
// if this process is an aggregator.
func (m *Mesh) updateTotals() {
	if m.uplink.Load().aggregator != "" {
		return
	}
	arrivals, trials := m.totals.PendingArrivals(m.self.Name), m.totals.Trials(m.self.Name)
	m.pools.Set(m.totals.Pools(m.self.Name))
	m.pendingArrivals.Store(&arrivals)
	m.trials.Store(&trials)
	m.speedsFunc(m.totals.Speeds(m.self.Name, &m.reports.speeds, m.clock.Now()))
}

// Trials returns the sums of the counts of all peers during rollouts.
func (m *Mesh) Trials() []wire.Trial {
	if trials := m.trials.Load(); trials != nil {
		return *trials
	}
	return nil
}

// UpToDate reports whether the sums of the peers' reports are up to date: this
// process is an aggregator, or its aggregator has sent a total within staleAfter.
func (m *Mesh) UpToDate() bool {
	aggregator := m.uplink.Load().aggregator
	if aggregator == "" {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[aggregator]
	return l != nil && m.clock.Since(l.lastTotal) < staleAfter
}

// PendingArrivals returns the pieces that open requests of peers will send to a
// pool, by class of rank; nil for none.
func (m *Mesh) PendingArrivals(pool string) []int {
	arrivals := m.pendingArrivals.Load()
	if arrivals == nil {
		return nil
	}
	return inflow.PoolPieces(*arrivals, pool)
}

// PoolLoad returns the load of a pool that its owner reported last, and false if
// there is no report. The excess age is how much older the report is than
// usualPoolAge, in milliseconds.
func (m *Mesh) PoolLoad(name string) (load wire.PoolLoad, excessAge clock.Millis, known bool) {
	pool, known := m.pools.Find(name)
	if !known {
		return wire.PoolLoad{}, 0, false
	}
	return pool.Load, max(m.clock.Since(pool.At)-usualPoolAge, 0), true
}
