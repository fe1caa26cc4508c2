package mesh

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// outgoing is one destination of a round.
type outgoing struct {
	process string
	session *sess.Session
	target  *target
	kind    wire.Kind
}

// send sends one round of reports and returns the number of destinations.
func (m *Mesh) send(regular bool, now clock.Millis) int {
	all := m.destinations()
	var seen []wire.Progress
	if regular {
		seen = m.follower.SeenFunc()
	}
	for _, to := range all {
		m.sendTo(to, regular, seen, now)
	}
	return len(all)
}

// wanted returns to which processes this one opens sessions for reports, and what
// it sends there.
func (m *Mesh) wanted() map[string]wire.Kind {
	v, aggregator := m.view.Load(), m.uplink.Load().aggregator
	if aggregator != "" {
		return map[string]wire.Kind{aggregator: wire.KindReport}
	}
	wanted := make(map[string]wire.Kind)
	for _, name := range slices.Concat(v.plan.Aggregators, v.reachable.Aggregators) {
		if name != m.self.Name {
			wanted[name] = wire.KindGroup
		}
	}
	return wanted
}

// destinations returns where this process sends sums now, and ends what is sent
// elsewhere no longer.
func (m *Mesh) destinations() []outgoing {
	wanted := m.wanted()
	for name := range wanted {
		m.linkTo(name)
	}
	acting := m.uplink.Load().aggregator == ""
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []outgoing
	for name, l := range m.links {
		if l.session != nil {
			to := outgoing{process: name, session: l.session, target: &l.target, kind: wanted[name]}
			all = to.switched(all, &l.renewed, wanted)
		}
	}
	for name, in := range m.inbound {
		to := outgoing{process: name, session: in.session, target: &in.target}
		switch {
		case in.reports && acting:
			to.kind = wire.KindTotal
		case in.groups && acting && wanted[name] == 0:
			to.kind = wire.KindGroup
		}
		all = to.switched(all, &in.renewed, wanted)
	}
	return all
}

// switched begins to send sums of another kind where that has changed, and adds
// the destination to others if anything is sent there. Where sums go on by
// another session, nothing is withdrawn.
func (o outgoing) switched(all []outgoing, renewed *bool, wanted map[string]wire.Kind) []outgoing {
	if *renewed {
		o.target.restart()
		*renewed = false
	}
	if o.target.kind != o.kind {
		o.target.end(o.session, o.kind == 0 && wanted[o.process] == o.target.kind)
		*o.target = target{kind: o.kind}
	}
	if o.kind == 0 {
		return all
	}
	return append(all, o)
}

// end withdraws what was reported on a session, unless it goes on elsewhere.
func (t *target) end(s *sess.Session, goesOn bool) {
	if !goesOn && (t.kind == wire.KindReport || t.kind == wire.KindGroup) {
		_ = s.Send(&wire.Frame{Kind: t.kind, Sums: &wire.Sums{Ended: true}}) // a session that can't send is ending
	}
}

// restart has everything sent again.
func (t *target) restart() {
	t.cursor.Reset()
	t.membersSent, t.regular, t.hasInterest = 0, 0, false
}

func (m *Mesh) sendTo(to outgoing, regular bool, seen []wire.Progress, now clock.Millis) {
	if to.kind == wire.KindGroup && now-to.target.regular < groupEvery {
		regular = false
	}
	if regular {
		to.target.regular = now
	}
	var message *wire.Sums
	if to.kind == wire.KindTotal {
		message = m.book.ForProcess(to.process, &to.target.cursor, regular, now)
	} else {
		message = m.book.ForAggregator(&to.target.cursor, regular, now)
	}
	if message == nil {
		return
	}
	if regular {
		message.Progress = seen
		m.addMembers(message, to, now)
	}
	message.Owns = m.mayOwn()
	if to.kind == wire.KindReport {
		to.target.addInterest(message, m.reports.interest)
	}
	if err := to.session.Send(&wire.Frame{Kind: to.kind, Sums: message}); err != nil {
		to.target.restart()
	}
}

// addInterest adds which endpoints this process uses normally, when that changed.
func (t *target) addInterest(message *wire.Sums, interest []string) {
	if t.hasInterest && slices.Equal(t.interest, interest) {
		return
	}
	message.HasInterest, message.Interest = true, interest
	t.interest, t.hasInterest = interest, true
}

// addMembers adds lists of processes when they changed, and from time to time.
func (m *Mesh) addMembers(message *wire.Sums, to outgoing, now clock.Millis) {
	r := &m.reports
	switch to.kind {
	case wire.KindTotal:
		if to.target.membersDue(r.absentSince, now) {
			message.HasMembers, message.Members = true, m.absentees()
		}
	case wire.KindGroup:
		if to.target.membersDue(r.groupSince, now) {
			message.HasMembers, message.Members = true, r.group
		}
	default:
		// A report names its sender alone.
	}
}

func (t *target) membersDue(changed, now clock.Millis) bool {
	if t.membersSent > changed && now-t.membersSent < membersEvery {
		return false
	}
	t.membersSent = now
	return true
}
