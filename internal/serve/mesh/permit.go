package mesh

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// RequestPermit asks the owner of an endpoint for a permit and waits for its answer. It
// returns a LostError if the owner can't answer.
func (m *Mesh) RequestPermit(ctx context.Context, to string, request *wire.PermitRequest) (*wire.Permit, error) {
	request.CallID = m.lastCallID.Add(1)
	answer, err := m.exchange(ctx, to, request.CallID, &wire.Frame{Kind: wire.KindPermitRequest, PermitRequest: request})
	if err != nil {
		return nil, err
	}
	return answer.Permit, nil
}

// answerPermitRequest answers a peer. A send error is ignored: if the session has ended,
// the peer has detected it too.
func (m *Mesh) answerPermitRequest(s *sess.Session, request *wire.PermitRequest) {
	if permit := m.permitFunc(request); permit != nil {
		permit.CallID = request.CallID
		_ = s.Send(&wire.Frame{Kind: wire.KindPermit, Permit: permit})
	}
}
