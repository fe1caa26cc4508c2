package mesh

import "errors"

// CloseTo cuts the sessions to and from some processes.
func (m *Mesh) CloseTo(which func(Member) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cut := errors.New("cut")
	for name, member := range m.members {
		if !which(member) {
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
