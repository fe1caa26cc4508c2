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
)

const (
	// regularEvery is how often a process reports in full, and how often an
	// aggregator tells what changed. Long prompts are reported at once.
	regularEvery = 100 * clock.Millis(1)
	// leastGap is the shortest pause between two rounds of reports, gapEach what
	// each destination adds to it: the more there are, the fewer messages each
	// gets, so that an aggregator's messages a second do not grow with the fleet.
	leastGap = 6 * clock.Millis(1)
	gapEach  = 2 * clock.Millis(1)
	// groupEvery is how often aggregators exchange what changed in their groups: most
	// of it crosses availability zones.
	groupEvery = 2 * regularEvery
	// muteAfter is the silence after which the work of a process or group does
	// not count any more.
	muteAfter = 1500 * clock.Millis(1)
	// totalSilence is the silence after which a process reports to another
	// aggregator, and avoidFor how long it avoids the silent one.
	totalSilence = 700 * clock.Millis(1)
	avoidFor     = 5 * clock.Second
	// presenceGrace is how long a process may report to nobody: it may be on its
	// way to another aggregator. A new aggregator decides after absentAfterStart.
	presenceGrace    = 500 * clock.Millis(1)
	absentAfterStart = clock.Second
	// membersEvery is how often unchanged lists of processes are repeated.
	membersEvery = clock.Second
	// poolAge is the usual age of what is known of another owner's queue: three
	// hops of half an interval, and as much again.
	poolAge = 2*regularEvery + groupEvery
)

// uplink is through whom this process reports and follows the store now.
type uplink struct {
	// aggregator that it reports to, "" while it is one itself.
	aggregator string
	// upstream is whose reading of the store it follows, "" for none.
	upstream string
}

// lastReport is when a process was last among those that report.
type lastReport struct {
	presence wire.Presence
	at       clock.Millis
}

// reports is the state of Run.
type reports struct {
	regular     clock.Millis // when the last regular round was
	acting      bool         // this process is an aggregator
	actingSince clock.Millis
	since       clock.Millis // when reporting to the aggregator began
	avoided     map[string]clock.Millis
	seen        map[string]lastReport
	absentSince clock.Millis // when the absent ones changed last
	group       []wire.Presence
	// interest is the endpoints that this process uses normally.
	interest     []string
	groupSince   clock.Millis
	upstreamLink *link
	// followUntil is until when a watcher that is cut off from the store follows a
	// peer, trialUntil until when it tries the store after that.
	followUntil, trialUntil clock.Millis
	destinations            int
}

func (r *reports) init() {
	r.avoided, r.seen = make(map[string]clock.Millis), make(map[string]lastReport)
}

// Tell has the loads reported at once, because others choose by them.
func (m *Mesh) Tell() {
	m.urgent.Store(true)
	m.wakeUp()
}

// wakeUp begins a round soon.
func (m *Mesh) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run reports loads and passes on those of others until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	for m.pause(ctx) == nil {
		m.round(m.clock.Now())
	}
}

// pause waits until the next regular round is due or an urgent one is asked for.
func (m *Mesh) pause(ctx context.Context) error {
	gap := min(max(leastGap, gapEach*clock.Millis(m.reports.destinations)), regularEvery)
	if err := m.clock.Sleep(ctx, gap); err != nil {
		return err
	}
	over, forget := m.clock.After(max(m.reports.regular+regularEvery-m.clock.Now(), 0))
	defer forget()
	select {
	case <-m.wake:
		return nil
	case <-over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Mesh) round(now clock.Millis) {
	r := &m.reports
	regular := now-r.regular >= regularEvery
	if urgent := m.urgent.Swap(false); urgent || regular {
		m.putOwn(urgent, now)
	}
	if regular {
		r.regular = now
		m.mute(now)
		m.closeIdle(now)
		m.updateAbsent(now)
	}
	m.chooseRole(now)
	if regular {
		m.chooseUpstream(now)
		m.gather()
	}
	r.destinations = m.send(regular, now)
}

// putOwn enters the loads of this process.
func (m *Mesh) putOwn(urgent bool, now clock.Millis) {
	loads := m.loadsFunc()
	own := sumsOf(loads, urgent)
	m.reports.interest = loads.Interest
	own.HasMembers, own.Members = true, []wire.Presence{{Process: m.self.Name, Incarnation: m.self.Incarnation, Owns: m.mayOwn()}}
	if _, err := m.book.Put(sums.Source{Process: m.self.Name}, own, now); err != nil {
		m.log.Error("own loads not usable", logs.KeyError, err)
	}
	m.sendLegacy(loads)
}

// sumsOf converts the loads of one process.
func sumsOf(loads *wire.Loads, urgent bool) *wire.Sums {
	own := &wire.Sums{
		Whole: true, Urgent: urgent, Regular: true, Pools: loads.Pools, PendingArrivals: loads.PendingArrivals,
		Prefixes: loads.Prefixes, Refused: loads.Refused, Crashes: loads.Crashes, Owns: !loads.Leaving, HasTrials: true, Trials: loads.Trials,
	}
	for _, load := range loads.Endpoints {
		work := wire.Work{
			Endpoint: load.Endpoint, Running: max(load.Running, 0), Prefill: max(load.Prefill, 0), Memory: max(load.Memory, 0),
			Planned: max(load.Planned, 0),
		}
		if !work.IsZero() {
			own.Work = append(own.Work, work)
		}
	}
	return own
}

// sendLegacy tells peers of the version before what they expect.
func (m *Mesh) sendLegacy(loads *wire.Loads) {
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

// mute leaves out who was silent for long.
func (m *Mesh) mute(now clock.Millis) {
	silent, changed := m.book.ExcludeStale(m.self.Name, now-muteAfter, now)
	for _, source := range silent {
		m.log.Info("reports stopped", "peer", source.Process, "group", source.OtherGroup, "ageMs", int64(muteAfter))
	}
	m.pushOthers(changed)
}

// pushOthers passes on what changed at some endpoints, if this process adds up
// by itself.
func (m *Mesh) pushOthers(endpoints []string) {
	m.workLock.Lock()
	defer m.workLock.Unlock()
	if len(endpoints) > 0 && m.uplink.Load().aggregator == "" {
		m.workFunc(m.book.WorkOfOthers(m.self.Name, endpoints), false)
	}
}

// pushAll passes on the work of all others.
func (m *Mesh) pushAll() {
	m.workLock.Lock()
	defer m.workLock.Unlock()
	m.workFunc(m.book.AllWorkOfOthers(m.self.Name), true)
}

// forget drops what a source reported.
func (m *Mesh) forget(source sums.Source) { m.pushOthers(m.book.Remove(source, m.clock.Now())) }

// chooseRole decides whether this process is an aggregator, and to whom it
// reports otherwise.
func (m *Mesh) chooseRole(now clock.Millis) {
	r, plan, before := &m.reports, m.view.Load().plan, m.uplink.Load()
	acting := plan.IsAggregator(m.self.Name) || m.book.Reporters(m.self.Name) > 0
	to := ""
	if !acting {
		m.avoidSilent(before.aggregator, now)
		to = plan.AggregatorFor(m.self.Name, m.self.Zone, func(name string) bool { return r.avoided[name] > now })
		acting = to == ""
	}
	if acting && !r.acting {
		r.actingSince = now
	}
	r.acting = acting
	if to == before.aggregator {
		return
	}
	m.uplink.Store(&uplink{aggregator: to, upstream: before.upstream})
	r.since = now
	m.log.Info("aggregator chosen", "aggregator", to, "before", before.aggregator, "aggregators", len(plan.Aggregators))
	if to == "" {
		m.pushAll()
	}
}

// avoidSilent notes that the aggregator does not answer.
func (m *Mesh) avoidSilent(aggregator string, now clock.Millis) {
	if aggregator == "" {
		return
	}
	r := &m.reports
	m.mu.Lock()
	heard := r.since
	if l := m.links[aggregator]; l != nil {
		heard = max(heard, l.total)
	}
	m.mu.Unlock()
	if now-heard > totalSilence {
		r.avoided[aggregator] = now + avoidFor
		m.log.Info("aggregator silent", "aggregator", aggregator, "ageMs", int64(now-heard))
	}
}

// updateAbsent decides, as an aggregator, which listed processes are not to be used:
// those that report to nobody, or say that they own nothing.
func (m *Mesh) updateAbsent(now clock.Millis) {
	r := &m.reports
	for _, presence := range m.book.Members() {
		r.seen[presence.Process] = lastReport{presence: presence, at: now}
	}
	if group := m.book.GroupMembers(); !slices.Equal(group, r.group) {
		r.group, r.groupSince = group, now
	}
	if !r.acting || now-r.actingSince < absentAfterStart {
		return
	}
	absent := make(map[string]token.Incarnation)
	m.mu.Lock()
	for name, member := range m.members {
		s, seen := r.seen[name]
		if !seen || now-s.at > presenceGrace || s.presence.Incarnation != member.Incarnation || !s.presence.Owns {
			absent[name] = member.Incarnation
		}
	}
	for name := range r.seen {
		if _, listed := m.members[name]; !listed && now-r.seen[name].at > muteAfter {
			delete(r.seen, name)
		}
	}
	m.mu.Unlock()
	if m.setAbsent(absent) {
		r.absentSince = now
	}
}

// setAbsent takes which processes are not to be used and reports whether that
// changed anything.
func (m *Mesh) setAbsent(absent map[string]token.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if maps.Equal(m.absent, absent) {
		return false
	}
	m.log.Info("absent peers changed", "absent", newIn(absent, m.absent), "present", newIn(m.absent, absent), "listed", len(m.members))
	m.absent = absent
	m.publish()
	return true
}

// newIn returns the names of the runs that are in one set and not in another.
func newIn(set, other map[string]token.Incarnation) []string {
	var names []string
	for name, run := range set {
		if !isRun(other, name, run) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// absentees returns the processes that are not to be used, for a message.
func (m *Mesh) absentees() []wire.Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []wire.Presence
	for name, run := range m.absent {
		all = append(all, wire.Presence{Process: name, Incarnation: run})
	}
	return all
}

// gather takes up what all peers say of their pools, if this process adds up by
// itself.
func (m *Mesh) gather() {
	if m.uplink.Load().aggregator != "" {
		return
	}
	sum, trials := m.book.PendingArrivals(m.self.Name), m.book.Trials(m.self.Name)
	m.setPools(m.book.Pools(m.self.Name))
	m.inflow.Store(&sum)
	m.trials.Store(&trials)
}

// Trials returns the sums of what all peers count during rollouts.
func (m *Mesh) Trials() []wire.Trial {
	if trials := m.trials.Load(); trials != nil {
		return *trials
	}
	return nil
}

// InTouch reports whether what peers report arrives: this process adds it up by
// itself, or its aggregator has told of it a moment ago.
func (m *Mesh) InTouch() bool {
	aggregator := m.uplink.Load().aggregator
	if aggregator == "" {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[aggregator]
	return l != nil && m.clock.Since(l.total) < muteAfter
}

// Inflow returns the pieces that requests of peers will ask for in a pool, by
// class of rank; nil for none.
func (m *Mesh) Inflow(pool string) []int {
	loads := m.inflow.Load()
	if loads == nil {
		return nil
	}
	return inflow.PoolPieces(*loads, pool)
}

// Pool returns what peers said of a pool's queue last, false when none did. Late
// is how much older it is than usual.
func (m *Mesh) Pool(name string) (load wire.PoolLoad, late clock.Millis, known bool) {
	pools := m.pools.Load()
	if pools == nil {
		return wire.PoolLoad{}, 0, false
	}
	pool, known := (*pools)[name]
	if !known {
		return wire.PoolLoad{}, 0, false
	}
	return pool.Load, max(m.clock.Since(pool.At)-poolAge, 0), true
}

// setPools takes what owners said of their pools; of two owners of one, the newer
// word counts.
func (m *Mesh) setPools(all []sums.Pool) {
	pools := make(map[string]sums.Pool, len(all))
	for _, pool := range all {
		if known, found := pools[pool.Load.Pool]; !found || known.At < pool.At {
			pools[pool.Load.Pool] = pool
		}
	}
	m.pools.Store(&pools)
}
