package mesh

import "errors"

// CloseSessions closes the sessions to and from the members that match.
func (m *Mesh) CloseSessions(matches func(Member) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cut := errors.New("cut")
	for name, member := range m.members {
		if !matches(member) {
			continue
		}
		if l := m.links[name]; l != nil && l.session != nil {
			l.session.Close(cut)
		}
		if in := m.inbound[name]; in != nil {
			in.session.Close(cut)
		}
	}
}
