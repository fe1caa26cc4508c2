package mesh

import (
	"context"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// LostError says that the owner of a pool ended, or that the session with it
// did, before it answered. Pieces may be made again, so another owner can be
// asked.
type LostError struct {
	Peer string
}

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("session with %s was lost", e.Peer) }

// Ask asks a peer for pieces and waits for its answer. When the context ends
// first, the request is withdrawn. Fetched is called, on the session's reader,
// when all pieces have read their inputs.
func (m *Mesh) Ask(ctx context.Context, to string, pieces *wire.Pieces, fetched func()) (*wire.Results, error) {
	l := m.openLink(ctx, to)
	if l == nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, &LostError{Peer: to}
	}
	pieces.CallID = m.next.Add(1)
	waiting := &request{answer: make(chan *wire.Results, 1), fetched: fetched}
	m.mu.Lock()
	if l.pending == nil {
		m.mu.Unlock()
		return nil, &LostError{Peer: to}
	}
	l.pending[pieces.CallID] = waiting
	m.mu.Unlock()
	l.session.AddInFlight(1)
	defer l.session.AddInFlight(-1)
	if err := l.session.Send(&wire.Frame{Kind: wire.KindPieces, Pieces: pieces}); err != nil {
		m.withdraw(l, pieces.CallID)
		return nil, &LostError{Peer: to}
	}
	select {
	case made := <-waiting.answer:
		if made == nil {
			return nil, &LostError{Peer: to}
		}
		if made.Reason == fault.Leaving {
			m.leaves(l.session.Peer(), true)
		}
		return made, nil
	case <-ctx.Done():
		m.withdraw(l, pieces.CallID)
		// If it can't be sent, the session is ending, and with it the request.
		_ = l.session.Send(&wire.Frame{Kind: wire.KindCancelPieces, CancelPieces: &wire.CancelPieces{CallID: pieces.CallID}})
		return nil, ctx.Err()
	}
}

func (m *Mesh) withdraw(l *link, callID uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(l.pending, callID)
}

// GiveBack tells a peer of results that nobody needs any more. It may get
// lost; results expire by themselves.
func (m *Mesh) GiveBack(to string, unused *wire.Unused) {
	l := m.linkTo(to)
	if l == nil {
		return
	}
	frame := &wire.Frame{Kind: wire.KindUnused, Unused: unused}
	select {
	case <-l.opened:
		m.sendOn(l, frame)
		return
	default:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.group.Add(1)
	go func() {
		defer m.group.Done()
		<-l.opened
		m.sendOn(l, frame)
	}()
}

func (m *Mesh) sendOn(l *link, frame *wire.Frame) {
	m.mu.Lock()
	s := l.session
	m.mu.Unlock()
	if s != nil {
		_ = s.Send(frame) // a session that can't send is ending
	}
}

// takeLinked handles one frame on a session that this process opened.
func (m *Mesh) takeLinked(s *sess.Session, frame *wire.Frame) {
	m.checkRelease(frame)
	from := s.Peer().Process
	switch frame.Kind {
	case wire.KindInputsRead:
		m.fetched(s, frame.InputsRead.CallID)
	case wire.KindResults:
		m.answered(s, frame.Results)
	case wire.KindTotal:
		m.takeTotal(from, frame.Sums)
	case wire.KindGroup:
		m.takeSums(s, true, frame.Sums)
	case wire.KindUpdate:
		m.takeUpdate(from, frame.Update)
	case wire.KindLeave:
		m.leaves(s.Peer(), !frame.Leave.Resumed)
	case wire.KindRenew:
		m.renew(s)
	default:
		// Heartbeats are the session's own; a newer peer may send more.
	}
}

// renew has everything told anew on a session.
func (m *Mesh) renew(s *sess.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := s.Peer().Process
	if l := m.links[name]; l != nil && l.session == s {
		l.renewed = true
	}
	if in := m.inbound[name]; in != nil && in.session == s {
		in.renewed = true
	}
}

// takeInbound handles one frame on a session that a peer opened.
func (m *Mesh) takeInbound(s *sess.Session, frame *wire.Frame) {
	m.checkRelease(frame)
	from := s.Peer().Process
	switch frame.Kind {
	case wire.KindPieces:
		m.piecesFunc(from, frame.Pieces, replyOn(s, frame.Pieces.CallID))
	case wire.KindCancelPieces:
		m.droppedFunc(from, frame.CancelPieces.CallID)
	case wire.KindUnused:
		m.unusedFunc(frame.Unused)
	case wire.KindReport:
		m.takeReport(s, frame.Sums)
	case wire.KindGroup:
		m.takeGroup(s, frame.Sums)
	case wire.KindLoads:
		m.takeLoads(s, frame.Loads)
	case wire.KindFollow:
		m.takeFollow(s, frame.Follow)
	case wire.KindLeave:
		m.leaves(s.Peer(), !frame.Leave.Resumed)
	case wire.KindRenew:
		m.renew(s)
	default:
		// Heartbeats are the session's own; a newer peer may send more.
	}
}

func (m *Mesh) checkRelease(frame *wire.Frame) {
	if frame.Release > m.release() {
		m.newerFunc()
	}
}

// replyOn answers a request on its session. If that has ended, the peer knows.
func replyOn(s *sess.Session, callID uint64) Reply {
	return Reply{
		FetchedFunc: func() {
			_ = s.Send(&wire.Frame{Kind: wire.KindInputsRead, InputsRead: &wire.InputsRead{CallID: callID}})
		},
		MadeFunc: func(made *wire.Results) {
			made.CallID = callID
			_ = s.Send(&wire.Frame{Kind: wire.KindResults, Results: made})
		},
	}
}

// pendingOn returns what waits on a session; the caller holds the lock.
func (m *Mesh) pendingOn(s *sess.Session) map[uint64]*request {
	if l := m.links[s.Peer().Process]; l != nil && l.session == s {
		return l.pending
	}
	return nil
}

func (m *Mesh) fetched(s *sess.Session, callID uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiting := m.pendingOn(s)[callID]; waiting != nil {
		waiting.fetched()
	}
}

func (m *Mesh) answered(s *sess.Session, made *wire.Results) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := m.pendingOn(s)
	if waiting := pending[made.CallID]; waiting != nil {
		delete(pending, made.CallID)
		waiting.answer <- made
	}
}
