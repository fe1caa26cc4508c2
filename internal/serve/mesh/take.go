package mesh

import (
	"errors"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// takeReport takes the report of a process of this group.
func (m *Mesh) takeReport(s *sess.Session, report *wire.Sums) {
	hello := s.Peer()
	m.mu.Lock()
	if in := m.inbound[hello.Process]; in != nil && in.session == s {
		in.reports, in.renewed = !report.Ended, in.renewed || report.Whole
	}
	m.mu.Unlock()
	report.HasMembers = true
	report.Members = []wire.Presence{{Process: hello.Process, Incarnation: hello.Incarnation, Owns: report.Owns}}
	m.takeSums(s, false, report)
	if report.Whole {
		m.wakeUp()
	}
}

// takeGroup takes the sums of another group on a session that its aggregator
// opened.
func (m *Mesh) takeGroup(s *sess.Session, group *wire.Sums) {
	m.mu.Lock()
	if in := m.inbound[s.Peer().Process]; in != nil && in.session == s {
		in.groups = !group.Ended
	}
	m.mu.Unlock()
	m.takeSums(s, true, group)
}

// takeLoads takes the loads of a peer of the version before as its report.
func (m *Mesh) takeLoads(s *sess.Session, loads *wire.Loads) {
	m.leaves(s.Peer(), loads.Leaving)
	report := sumsOf(loads, false)
	report.HasMembers = true
	report.Members = []wire.Presence{{Process: s.Peer().Process, Incarnation: s.Peer().Incarnation, Owns: !loads.Leaving}}
	m.takeSums(s, false, report)
}

// takeSums takes a report or the sums of a group.
func (m *Mesh) takeSums(s *sess.Session, group bool, taken *wire.Sums) {
	from, now := s.Peer().Process, m.clock.Now()
	source := sums.Source{Process: from, OtherGroup: group}
	if taken.Ended {
		m.forget(source)
		return
	}
	changed, err := m.book.Put(source, taken, now)
	var unknown *sums.UnknownSourceError
	if errors.As(err, &unknown) {
		_ = s.Send(&wire.Frame{Kind: wire.KindRenew}) // a session that can't send is ending
		return
	}
	if err != nil {
		m.ignoredFunc("contradictory")
		m.log.Warn("report ignored", "peer", from, "group", group, logs.KeyError, err)
		return
	}
	m.takeEvents(taken)
	m.pushOthers(changed)
	if taken.Regular && m.uplink.Load().upstream == from {
		m.confirm(from, taken.Progress, now)
	}
	if taken.Urgent {
		m.wakeUp()
	}
}

func (m *Mesh) takeEvents(taken *wire.Sums) {
	if len(taken.Prefixes) > 0 {
		m.prefixFunc(taken.Prefixes)
	}
	if len(taken.Refused) > 0 {
		m.refusedFunc(taken.Refused)
	}
	if len(taken.Crashes) > 0 {
		m.crashesFunc(taken.Crashes)
	}
}

// pushTotal passes on the work that an aggregator tells, and reports whether it is
// the one that this process reports to.
func (m *Mesh) pushTotal(from string, total *wire.Sums) bool {
	m.workLock.Lock()
	defer m.workLock.Unlock()
	if m.uplink.Load().aggregator != from {
		return false
	}
	m.workFunc(total.Work, total.Whole)
	return true
}

// takeTotal takes the work of all others from this process's aggregator.
func (m *Mesh) takeTotal(from string, total *wire.Sums) {
	now := m.clock.Now()
	if err := sums.Check(sums.Source{Process: from, OtherGroup: true}, total); err != nil {
		m.ignoredFunc("contradictory")
		m.log.Warn("total ignored", "peer", from, logs.KeyError, err)
		return
	}
	m.mu.Lock()
	if l := m.links[from]; l != nil {
		l.total = now
	}
	m.mu.Unlock()
	if !m.pushTotal(from, total) {
		return
	}
	m.takeEvents(total)
	if total.HasMembers {
		absent := make(map[string]token.Incarnation, len(total.Members))
		for _, presence := range total.Members {
			if presence.Process != m.self.Name {
				absent[presence.Process] = presence.Incarnation
			}
		}
		m.setAbsent(absent)
	}
	if !total.Regular {
		return
	}
	pools := make([]sums.Pool, 0, len(total.Pools))
	for _, load := range total.Pools {
		pools = append(pools, sums.Pool{Load: load, At: now - load.Age})
	}
	sum := sums.PendingArrivalsOf(total.PendingArrivals)
	m.setPools(pools)
	m.inflow.Store(&sum)
	if total.HasTrials {
		m.trials.Store(&total.Trials)
	}
	if m.uplink.Load().upstream == from {
		m.confirm(from, total.Progress, now)
	}
}
