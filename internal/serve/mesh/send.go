package mesh

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// destination is a session that gets reports in a round.
type destination struct {
	process string
	session *sess.Session
	target  *target
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
		o.target.reset()
		*resendAll = false
	}
	if o.target.kind != o.kind {
		o.target.withdraw(o.session, o.kind == 0 && kinds[o.process] == o.target.kind)
		*o.target = target{kind: o.kind}
	}
	if o.kind == 0 {
		return all
	}
	return append(all, o)
}

// withdraw withdraws the sums that were sent on a session, unless they continue on
// another session.
func (t *target) withdraw(s *sess.Session, continues bool) {
	if !continues && (t.kind == wire.KindReport || t.kind == wire.KindGroup) {
		_ = s.Send(&wire.Frame{Kind: t.kind, Sums: &wire.Sums{Ended: true}}) // a session that can't send is ending
	}
}

// reset makes the next message complete.
func (t *target) reset() {
	t.cursor.Reset()
	t.membersSent, t.lastRegular, t.hasInterest = 0, 0, false
}

func (m *Mesh) sendTo(to destination, regular bool, progress []wire.Progress, now clock.Millis) {
	if to.kind == wire.KindGroup && now-to.target.lastRegular < groupInterval {
		regular = false
	}
	first := to.target.lastRegular == 0
	if regular {
		to.target.lastRegular = now
	}
	var message *wire.Sums
	if to.kind == wire.KindTotal {
		message = m.totals.ForProcess(to.process, &to.target.cursor, regular, now)
	} else {
		message = m.totals.ForAggregator(&to.target.cursor, regular, now)
	}
	if message == nil {
		return
	}
	message.Owns = m.mayOwn() // before Holds: a peer that starts relies on what an owner has said
	if regular {
		if m.follower.HoldsFunc != nil {
			message.Holds, to.target.holdsTold = m.follower.HoldsFunc(to.process, to.target.holdsTold, first)
		}
		message.Progress, message.AsOf = progress, now
		m.addMembers(message, to, now)
	}
	if to.kind == wire.KindReport {
		to.target.addInterest(message, m.reports.interest)
	}
	if err := to.session.Send(&wire.Frame{Kind: to.kind, Sums: message}); err != nil {
		to.target.reset()
	}
}

// addInterest adds the endpoints that this process normally uses, if they changed.
func (t *target) addInterest(message *wire.Sums, interest []string) {
	if t.hasInterest && slices.Equal(t.interest, interest) {
		return
	}
	message.HasInterest, message.Interest = true, interest
	t.interest, t.hasInterest = interest, true
}

// addMembers adds the list of processes if it changed or membersInterval has
// passed.
func (m *Mesh) addMembers(message *wire.Sums, to destination, now clock.Millis) {
	r := &m.reports
	switch to.kind {
	case wire.KindTotal:
		if to.target.membersDue(r.absentChanged, now) {
			message.HasMembers, message.Members = true, m.absentMembers()
		}
	case wire.KindGroup:
		if to.target.membersDue(r.groupChanged, now) {
			message.HasMembers, message.Members = true, r.groupMembers
		}
	default:
		// A report lists no processes: the receiver adds its sender.
	}
}

func (t *target) membersDue(changed, now clock.Millis) bool {
	if t.membersSent > changed && now-t.membersSent < membersInterval {
		return false
	}
	t.membersSent = now
	return true
}
