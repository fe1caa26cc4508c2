package mesh

import (
	"context"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// LostError reports that the session with the owner of a pool could not be opened
// or ended before the owner answered. Pieces may be computed twice, so the request
// can be sent to another owner.
type LostError struct {
	Peer string
}

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("session with %s was lost", e.Peer) }

// RequestPieces sends a request for pieces to a peer and waits for its answer. If
// the context ends first, the request is withdrawn. The session's reader calls
// inputsRead when all pieces have read their inputs. RequestPieces returns a
// LostError if the peer can't answer.
func (m *Mesh) RequestPieces(ctx context.Context, to string, pieces *wire.Pieces, inputsRead func()) (*wire.Results, error) {
	l := m.openLink(ctx, to)
	if l == nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, &LostError{Peer: to}
	}
	pieces.CallID = m.lastCallID.Add(1)
	request := &pendingRequest{answer: make(chan *wire.Results, 1), inputsRead: inputsRead}
	m.mu.Lock()
	if l.pending == nil {
		m.mu.Unlock()
		return nil, &LostError{Peer: to}
	}
	l.pending[pieces.CallID] = request
	m.mu.Unlock()
	l.session.AddInFlight(1)
	defer l.session.AddInFlight(-1)
	if err := l.session.Send(&wire.Frame{Kind: wire.KindPieces, Pieces: pieces}); err != nil {
		m.removePending(l, pieces.CallID)
		return nil, &LostError{Peer: to}
	}
	select {
	case results := <-request.answer:
		if results == nil {
			return nil, &LostError{Peer: to}
		}
		if results.Reason == fault.Leaving {
			m.setLeaving(l.session.Peer(), true)
		}
		return results, nil
	case <-ctx.Done():
		m.removePending(l, pieces.CallID)
		// If the frame can't be sent, the session is ending, which withdraws the request.
		_ = l.session.Send(&wire.Frame{Kind: wire.KindCancelPieces, CancelPieces: &wire.CancelPieces{CallID: pieces.CallID}})
		return nil, ctx.Err()
	}
}

func (m *Mesh) removePending(l *link, callID uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(l.pending, callID)
}

// FreeResults informs a peer which of its results are no longer needed. The
// message may be lost: results expire anyway.
func (m *Mesh) FreeResults(to string, unused *wire.Unused) {
	if l := m.linkTo(to); l != nil {
		m.sendOnceOpen(l, &wire.Frame{Kind: wire.KindUnused, Unused: unused})
	}
}

// sendOnceOpen sends a frame on a link, after its session has been opened. The frame is lost if
// the session can't be opened.
func (m *Mesh) sendOnceOpen(l *link, frame *wire.Frame) {
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
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
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

// handleLinkFrame handles one frame on a session that this process opened.
func (m *Mesh) handleLinkFrame(s *sess.Session, frame *wire.Frame) {
	m.peerReleaseFunc(s.Peer().Process, frame.Release)
	frame.AddTransit(frame.Transit)
	from := s.Peer().Process
	switch frame.Kind {
	case wire.KindInputsRead:
		m.handleInputsRead(s, frame.InputsRead.CallID)
	case wire.KindResults:
		m.handleResults(s, frame.Results)
	case wire.KindPermit:
		m.handleAnswer(s, frame.Permit.CallID, frame)
	case wire.KindHandoverReceipt:
		m.handleAnswer(s, frame.HandoverReceipt.CallID, frame)
	case wire.KindOriginAnswer:
		m.handleAnswer(s, frame.OriginAnswer.CallID, frame)
	case wire.KindTotal:
		m.handleTotal(from, frame.Sums)
	case wire.KindGroup:
		m.recordSums(s, true, frame.Sums)
	case wire.KindUpdate:
		m.handleUpdate(from, frame.Update)
	case wire.KindChunk:
		m.handleChunk(from, frame.Chunk)
	case wire.KindLeave:
		m.setLeaving(s.Peer(), !frame.Leave.Resumed)
	case wire.KindRenew:
		m.requestResend(s)
	default:
		// The session handles heartbeats; a peer of a newer version may send other kinds.
	}
}

// requestResend makes the next round send complete sums on a session.
func (m *Mesh) requestResend(s *sess.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := s.Peer().Process
	if l := m.links[name]; l != nil && l.session == s {
		l.resendAll = true
	}
	if in := m.inbound[name]; in != nil && in.session == s {
		in.resendAll = true
	}
}

// handleInboundFrame handles one frame on a session that a peer opened.
func (m *Mesh) handleInboundFrame(s *sess.Session, frame *wire.Frame) {
	m.peerReleaseFunc(s.Peer().Process, frame.Release)
	frame.AddTransit(frame.Transit)
	from := s.Peer().Process
	switch frame.Kind {
	case wire.KindPieces:
		m.piecesFunc(from, frame.Pieces, newReply(s, frame.Pieces.CallID))
	case wire.KindCancelPieces:
		m.droppedFunc(from, frame.CancelPieces.CallID)
	case wire.KindUnused:
		m.unusedFunc(frame.Unused)
	case wire.KindPermitRequest:
		m.answerPermitRequest(s, frame.PermitRequest)
	case wire.KindHandover:
		m.handleHandover(s, frame)
	case wire.KindOrigins:
		m.originsFunc(frame.Origins)
	case wire.KindOriginRequest:
		m.answerOriginRequest(s, frame.OriginRequest)
	case wire.KindReport:
		m.handleReport(s, frame.Sums)
	case wire.KindGroup:
		m.handleGroup(s, frame.Sums)
	case wire.KindLoads:
		m.handleLoads(s, frame.Loads)
	case wire.KindFollow:
		m.handleFollow(s, frame.Follow)
	case wire.KindChunkRequest:
		m.answerChunkRequest(s, frame.ChunkRequest)
	case wire.KindLeave:
		m.setLeaving(s.Peer(), !frame.Leave.Resumed)
	case wire.KindRenew:
		m.requestResend(s)
	default:
		// The session handles heartbeats; a peer of a newer version may send other kinds.
	}
}

// newReply returns a reply that answers a request on its session. Send errors are
// ignored: if the session has ended, the peer has detected it too.
func newReply(s *sess.Session, callID uint64) Reply {
	return Reply{
		InputsReadFunc: func() {
			_ = s.Send(&wire.Frame{Kind: wire.KindInputsRead, InputsRead: &wire.InputsRead{CallID: callID}})
		},
		ResultsFunc: func(results *wire.Results) {
			results.CallID = callID
			_ = s.Send(&wire.Frame{Kind: wire.KindResults, Results: results})
		},
	}
}

// pendingOn returns the requests without an answer on a session; the caller holds
// the lock.
func (m *Mesh) pendingOn(s *sess.Session) map[uint64]*pendingRequest {
	if l := m.links[s.Peer().Process]; l != nil && l.session == s {
		return l.pending
	}
	return nil
}

func (m *Mesh) handleInputsRead(s *sess.Session, callID uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request := m.pendingOn(s)[callID]; request != nil {
		request.inputsRead()
	}
}

func (m *Mesh) handleResults(s *sess.Session, results *wire.Results) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := m.pendingOn(s)
	if request := pending[results.CallID]; request != nil {
		delete(pending, results.CallID)
		request.answer <- results
	}
}
