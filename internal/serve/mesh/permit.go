package mesh

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// RequestPermit asks the owner of an endpoint for a permit and waits for its answer. It
// returns a LostError if the owner can't answer.
func (m *Mesh) RequestPermit(ctx context.Context, to string, request *wire.PermitRequest) (*wire.Permit, error) {
	l := m.openLink(ctx, to)
	if l == nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, &LostError{Peer: to}
	}
	request.CallID = m.lastCallID.Add(1)
	answer := make(chan *wire.Permit, 1)
	m.mu.Lock()
	if l.permits == nil {
		m.mu.Unlock()
		return nil, &LostError{Peer: to}
	}
	l.permits[request.CallID] = answer
	m.mu.Unlock()
	defer m.removePermitRequest(l, request.CallID)
	if err := l.session.Send(&wire.Frame{Kind: wire.KindPermitRequest, PermitRequest: request}); err != nil {
		return nil, &LostError{Peer: to}
	}
	select {
	case permit := <-answer:
		if permit == nil {
			return nil, &LostError{Peer: to}
		}
		return permit, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Mesh) removePermitRequest(l *link, callID uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(l.permits, callID)
}

func (m *Mesh) handlePermit(s *sess.Session, permit *wire.Permit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[s.Peer().Process]
	if l == nil || l.session != s {
		return
	}
	if answer := l.permits[permit.CallID]; answer != nil {
		delete(l.permits, permit.CallID)
		answer <- permit
	}
}

// answerPermitRequest answers a peer. A send error is ignored: if the session has ended,
// the peer has detected it too.
func (m *Mesh) answerPermitRequest(s *sess.Session, request *wire.PermitRequest) {
	if permit := m.permitFunc(request); permit != nil {
		permit.CallID = request.CallID
		_ = s.Send(&wire.Frame{Kind: wire.KindPermit, Permit: permit})
	}
}
