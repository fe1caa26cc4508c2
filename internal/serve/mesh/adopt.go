package mesh

import "github.com/jujubescale/jujubescale/internal/link/wire"

// adopt replaces the listed incarnation of a process by the one that has answered at its
// address, before the list of the store holds it. After all processes were killed, the list
// holds only incarnations that have ended; a process that used none of their successors would
// own every pool itself until it reads the next list, and engines would refuse the calls of
// many owners. A process that may not own pools yet states so in its hello. It reports false
// if the list has changed meanwhile.
func (m *Mesh) adopt(l *link, hello wire.Hello) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.members[l.member.Name] != l.member {
		return false
	}
	m.log.Info("restarted process used before it is listed", "peer", l.member.Name, "listed", l.member.Incarnation, "incarnation", hello.Incarnation)
	m.superseded[l.member.Name] = l.member.Incarnation
	l.member.Incarnation, l.member.Zone, l.member.Capacity = hello.Incarnation, hello.AvailabilityZone, hello.Capacity
	m.members[l.member.Name] = l.member
	if hello.Leaving {
		m.leaving[l.member.Name] = hello.Incarnation
	}
	m.updateView()
	return true
}

// newest returns the entry to use for a listed process: the adopted one while the list still
// holds the incarnation that it replaced. The caller holds the lock.
func (m *Mesh) newest(listed Member, before map[string]Member) Member {
	adopted, known := before[listed.Name]
	if known && hasIncarnation(m.superseded, listed.Name, listed.Incarnation) && adopted.Address == listed.Address {
		return adopted
	}
	delete(m.superseded, listed.Name)
	return listed
}
