package mesh

import (
	"context"
	"slices"

	"github.com/jujubescale/jujubescale/internal/flow/drain"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/owner"
)

// WithHandovers sets the handler for the handovers of peers. Its end confirms the receipt.
func WithHandovers(take func(drain.Arrival)) Option {
	return func(m *Mesh) { m.handoverFunc = take }
}

// Successor returns the name of the process that owns a subject once this process owns
// nothing, "" if there is none.
func (m *Mesh) Successor(subject, zone string) string {
	return m.ownerWithout(subject, zone, m.self.Name)
}

// Succeeds reports whether this process owns a subject once a peer owns nothing.
func (m *Mesh) Succeeds(peer, subject, zone string) bool {
	return m.ownerWithout(subject, zone, peer) == m.self.Name
}

func (m *Mesh) ownerWithout(subject, zone, leaving string) string {
	processes := slices.DeleteFunc(slices.Clone(m.view.Load().processes), func(p owner.Process) bool { return p.Name == leaving })
	if zone == "" {
		return owner.Of(subject, processes)
	}
	return owner.InZone(subject, zone, processes)
}

// TakesHandovers reports whether a peer uses and answers handovers. It opens a session to
// the peer if there is none. Processes of the previous version ignore handovers.
func (m *Mesh) TakesHandovers(ctx context.Context, peer string) bool {
	l := m.openLink(ctx, peer)
	return l != nil && l.session.Peer().Handovers
}

// HandOver sends a handover to a peer and waits until the peer confirms its receipt. It
// returns a LostError if the peer can't.
func (m *Mesh) HandOver(ctx context.Context, to string, handover *wire.Handover) error {
	l := m.openLink(ctx, to)
	if l == nil {
		return &LostError{Peer: to}
	}
	handover.CallID, handover.To = m.lastCallID.Add(1), l.session.Peer().Incarnation
	_, err := m.exchange(ctx, to, handover.CallID, &wire.Frame{Kind: wire.KindHandover, Handover: handover})
	return err
}

// handleHandover passes a handover on and confirms its receipt. A send error is ignored: if
// the session has ended, the peer has detected it too.
func (m *Mesh) handleHandover(s *sess.Session, frame *wire.Frame) {
	hello := s.Peer()
	m.mu.Lock()
	latest := m.incarnations[hello.Process]
	m.mu.Unlock()
	m.handoverFunc(drain.Arrival{
		Handover: frame.Handover, From: hello.Process, Sender: hello.Incarnation, Latest: latest,
		Self: m.self.Incarnation, Transit: frame.Transit,
	})
	_ = s.Send(&wire.Frame{Kind: wire.KindHandoverReceipt, HandoverReceipt: &wire.HandoverReceipt{CallID: frame.Handover.CallID}})
}
