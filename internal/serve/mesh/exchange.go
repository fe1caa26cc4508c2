package mesh

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// exchange sends a request to a peer and waits for the frame that answers it. It returns a
// LostError if the peer can't answer.
func (m *Mesh) exchange(ctx context.Context, to string, callID uint64, request *wire.Frame) (*wire.Frame, error) {
	l := m.openLink(ctx, to)
	if l == nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, &LostError{Peer: to}
	}
	answer := make(chan *wire.Frame, 1)
	m.mu.Lock()
	if l.answers == nil {
		m.mu.Unlock()
		return nil, &LostError{Peer: to}
	}
	l.answers[callID] = answer
	m.mu.Unlock()
	defer m.removeAnswer(l, callID)
	if err := l.session.Send(request); err != nil {
		return nil, &LostError{Peer: to}
	}
	select {
	case frame := <-answer:
		if frame == nil {
			return nil, &LostError{Peer: to}
		}
		return frame, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *Mesh) removeAnswer(l *link, callID uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(l.answers, callID)
}

// handleAnswer passes the answer to a request to the caller that waits for it.
func (m *Mesh) handleAnswer(s *sess.Session, callID uint64, frame *wire.Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[s.Peer().Process]
	if l == nil || l.session != s {
		return
	}
	if answer := l.answers[callID]; answer != nil {
		delete(l.answers, callID)
		answer <- frame
	}
}
