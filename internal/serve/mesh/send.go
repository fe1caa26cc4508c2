package mesh

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/dest"
)

// destination is a session that gets reports in a round.
type destination struct {
	process string
	session *sess.Session
	target  *dest.State
	kind    wire.Kind
}

// send sends one round of reports and returns the number of destinations.
func (m *Mesh) send(regular bool, now clock.Millis) int {
	all := m.destinations()
	var progress []wire.Progress
	if regular {
		progress = m.follower.ProgressFunc()
	}
	for _, to := range all {
		m.sendTo(to, regular, progress, now)
	}
	return len(all)
}

// reportKinds returns the processes to which this one opens sessions for reports,
// and the kind of message that it sends to each.
func (m *Mesh) reportKinds() map[string]wire.Kind {
	v, aggregator := m.view.Load(), m.uplink.Load().aggregator
	if aggregator != "" {
		return map[string]wire.Kind{aggregator: wire.KindReport}
	}
	kinds := make(map[string]wire.Kind)
	for _, name := range slices.Concat(v.plan.Aggregators, v.reachable.Aggregators) {
		if name != m.self.Name {
			kinds[name] = wire.KindGroup
		}
	}
	return kinds
}

// destinations returns the sessions on which this process sends sums now. On
// sessions that get no sums any more, it withdraws the sums that were sent.
func (m *Mesh) destinations() []destination {
	kinds := m.reportKinds()
	for name := range kinds {
		m.linkTo(name)
	}
	aggregating := m.uplink.Load().aggregator == ""
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []destination
	for name, l := range m.links {
		if l.session != nil {
			to := destination{process: name, session: l.session, target: &l.target, kind: kinds[name]}
			all = to.updateKind(all, &l.resendAll, kinds)
		}
	}
	for name, in := range m.inbound {
		to := destination{process: name, session: in.session, target: &in.target}
		switch {
		case in.reports && aggregating:
			to.kind = wire.KindTotal
		case in.groups && aggregating && kinds[name] == 0:
			to.kind = wire.KindGroup
		}
		all = to.updateKind(all, &in.resendAll, kinds)
	}
	return all
}

// updateKind applies a change of the kind of message that a session gets, and
// appends the destination to all if it gets any. The sums sent before are
// withdrawn, unless another session to the same process gets them now.
func (o destination) updateKind(all []destination, resendAll *bool, kinds map[string]wire.Kind) []destination {
	if *resendAll {
		o.target.Reset()
		*resendAll = false
	}
	if o.target.Kind != o.kind {
		o.target.Withdraw(o.session, o.kind == 0 && kinds[o.process] == o.target.Kind)
		*o.target = dest.State{Kind: o.kind}
	}
	if o.kind == 0 {
		return all
	}
	return append(all, o)
}

func (m *Mesh) sendTo(to destination, regular bool, progress []wire.Progress, now clock.Millis) {
	if to.kind == wire.KindGroup && now-to.target.LastRegular < groupInterval {
		regular = false
	}
	first := to.target.LastRegular == 0
	if regular {
		to.target.LastRegular = now
	}
	var message *wire.Sums
	if to.kind == wire.KindTotal {
		message = m.totals.ForProcess(to.process, &to.target.Cursor, regular, now)
	} else {
		message = m.totals.ForAggregator(&to.target.Cursor, regular, now)
	}
	if message == nil {
		return
	}
	message.Owns = m.mayOwn() // before Holds: a peer that starts relies on what an owner has said
	if regular {
		if m.follower.HoldsFunc != nil {
			message.Holds, to.target.HoldsTold = m.follower.HoldsFunc(to.process, to.target.HoldsTold, first)
		}
		message.Progress, message.AsOf = progress, now
		m.addMembers(message, to, now)
	}
	if to.kind == wire.KindReport {
		to.target.AddInterest(message, m.reports.interest)
	}
	if err := to.session.Send(&wire.Frame{Kind: to.kind, Sums: message}); err != nil {
		to.target.Reset()
	}
}

// addMembers adds the list of processes if that is due.
func (m *Mesh) addMembers(message *wire.Sums, to destination, now clock.Millis) {
	r := &m.reports
	switch to.kind {
	case wire.KindTotal:
		if to.target.MembersDue(r.absentChanged, now) {
			message.HasMembers, message.Members = true, m.absentMembers()
		}
	case wire.KindGroup:
		if to.target.MembersDue(r.groupChanged, now) {
			message.HasMembers, message.Members = true, r.groupMembers
		}
	default:
		// A report lists no processes: the receiver adds its sender.
	}
}
