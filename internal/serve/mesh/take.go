package mesh

import (
	"errors"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// handleReport handles the report of a process of this group.
func (m *Mesh) handleReport(s *sess.Session, report *wire.Sums) {
	hello := s.Peer()
	m.mu.Lock()
	if in := m.inbound[hello.Process]; in != nil && in.session == s {
		in.reports, in.resendAll = !report.Ended, in.resendAll || report.Whole
	}
	m.mu.Unlock()
	report.HasMembers = true
	report.Members = []wire.Presence{{Process: hello.Process, Incarnation: hello.Incarnation, Owns: report.Owns}}
	m.recordSums(s, false, report)
	if report.Whole {
		m.triggerRound()
	}
}

// handleGroup handles the sums of another group on a session that its aggregator
// opened.
func (m *Mesh) handleGroup(s *sess.Session, group *wire.Sums) {
	m.mu.Lock()
	if in := m.inbound[s.Peer().Process]; in != nil && in.session == s {
		in.groups = !group.Ended
	}
	m.mu.Unlock()
	m.recordSums(s, true, group)
}

// handleLoads handles the loads of a peer of the previous version as a report.
func (m *Mesh) handleLoads(s *sess.Session, loads *wire.Loads) {
	m.setLeaving(s.Peer(), loads.Leaving)
	report := sums.Of(loads, false)
	report.HasMembers = true
	report.Members = []wire.Presence{{Process: s.Peer().Process, Incarnation: s.Peer().Incarnation, Owns: !loads.Leaving}}
	m.recordSums(s, false, report)
}

// recordSums adds a report, or the sums of a group, to the sums. It requests
// complete sums from a sender that is unknown.
func (m *Mesh) recordSums(s *sess.Session, group bool, message *wire.Sums) {
	from, now := s.Peer().Process, m.clock.Now()
	source := sums.Source{Process: from, OtherGroup: group}
	if message.Ended {
		m.removeSource(source)
		return
	}
	changed, err := m.totals.Put(source, message, now)
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
	if dropped := m.totals.TakeImplausible(); dropped > 0 {
		m.ignoredFunc("speed")
		m.log.Warn("speeds ignored", "peer", from, "group", group, "dropped", dropped)
	}
	m.handleEvents(message)
	m.forwardChangedWork(changed)
	if message.Regular && m.uplink.Load().upstream == from {
		m.confirmProgress(from, message.Progress, message.AsOf)
	}
	if message.Urgent {
		m.triggerRound()
	}
}

func (m *Mesh) handleEvents(message *wire.Sums) {
	if len(message.Prefixes) > 0 {
		m.prefixFunc(message.Prefixes)
	}
	if len(message.Refused) > 0 {
		m.refusedFunc(message.Refused)
	}
	if len(message.Crashes)+len(message.Parts) > 0 {
		m.crashesFunc(message.Crashes, message.Parts)
	}
	if len(message.Limits) > 0 {
		m.limitsFunc(message.Limits)
	}
	if message.Regular && m.follower.TakeHoldsFunc != nil {
		m.follower.TakeHoldsFunc(message, m.clock.Now())
	}
}

// forwardTotal passes the work of a total to workFunc, and reports whether its
// sender is the aggregator of this process.
func (m *Mesh) forwardTotal(from string, total *wire.Sums) bool {
	m.workLock.Lock()
	defer m.workLock.Unlock()
	if m.uplink.Load().aggregator != from {
		return false
	}
	m.workFunc(total.Work, total.Whole)
	return true
}

// handleTotal handles a total, the sums of all other processes that this process's
// aggregator sends.
func (m *Mesh) handleTotal(from string, total *wire.Sums) {
	now := m.clock.Now()
	if err := sums.Check(sums.Source{Process: from, OtherGroup: true}, total); err != nil {
		m.ignoredFunc("contradictory")
		m.log.Warn("total ignored", "peer", from, logs.KeyError, err)
		return
	}
	m.mu.Lock()
	if l := m.links[from]; l != nil {
		l.lastTotal = now
	}
	m.mu.Unlock()
	if !m.forwardTotal(from, total) {
		return
	}
	m.handleEvents(total)
	m.speedsFunc(total.Speeds)
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
	arrivals := sums.PendingArrivalsOf(total.PendingArrivals)
	m.pools.Set(sums.PoolsOf(total.Pools, now))
	m.pendingArrivals.Store(&arrivals)
	if total.HasTrials {
		m.trials.Store(&total.Trials)
	}
	if m.uplink.Load().upstream == from {
		m.confirmProgress(from, total.Progress, total.AsOf)
	}
}
