package mesh

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// maxSearches bounds the requests for which this process asks others at the same time.
const maxSearches = 256

// WithOrigins sets three handlers: take takes the origins of streams that peers send, answer
// answers a peer's request for one, and search asks other processes for it. Only search may
// block, until its context ends.
func WithOrigins(
	take func(*wire.Origins), answer func(*wire.OriginRequest) *wire.OriginAnswer,
	search func(context.Context, *wire.OriginRequest) *wire.OriginAnswer,
) Option {
	return func(m *Mesh) { m.originsFunc, m.originFunc, m.searchFunc = take, answer, search }
}

// OriginKeepers returns the names of the processes that keep the origins of streams, sorted.
func (m *Mesh) OriginKeepers() []string { return m.view.Load().keepers }

// Aggregator returns the process that this one reports to, "" while it is an aggregator
// itself.
func (m *Mesh) Aggregator() string { return m.uplink.Load().aggregator }

// OpenSession opens a session to a peer if there is none, and doesn't wait for it. The session
// isn't closed as unused for another idleTimeout.
func (m *Mesh) OpenSession(to string) { m.linkTo(to) }

// SendOrigins sends origins to a peer, and opens a session if there is none. It returns a
// LostError if the peer can't be reached or has the previous version. The message may be lost.
func (m *Mesh) SendOrigins(to string, origins *wire.Origins) error {
	l := m.linkTo(to)
	if l == nil || !m.mayTakeOrigins(l) {
		return &LostError{Peer: to}
	}
	m.sendOnceOpen(l, &wire.Frame{Kind: wire.KindOrigins, Origins: origins})
	return nil
}

// mayTakeOrigins reports whether the peer of a link uses origins. It is true while the session
// is being opened.
func (m *Mesh) mayTakeOrigins(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.session == nil || l.session.Peer().Origins
}

// RequestOrigin asks a peer for the origin of a stream and waits for the answer. It returns a
// LostError if the peer can't answer.
func (m *Mesh) RequestOrigin(ctx context.Context, to string, request *wire.OriginRequest) (*wire.OriginAnswer, error) {
	if l := m.openLink(ctx, to); l == nil || !m.mayTakeOrigins(l) {
		return nil, &LostError{Peer: to}
	}
	request.CallID = m.lastCallID.Add(1)
	answer, err := m.exchange(ctx, to, request.CallID, &wire.Frame{Kind: wire.KindOriginRequest, OriginRequest: request})
	if err != nil {
		return nil, err
	}
	return answer.OriginAnswer, nil
}

// answerOriginRequest answers a peer. A send error is ignored: if the session has ended, the
// peer has detected it too.
func (m *Mesh) answerOriginRequest(s *sess.Session, request *wire.OriginRequest) {
	send := func(answer *wire.OriginAnswer) {
		answer.CallID = request.CallID
		_ = s.Send(&wire.Frame{Kind: wire.KindOriginAnswer, OriginAnswer: answer})
	}
	m.mu.Lock()
	search := request.Search && !m.stopped && m.searches < maxSearches
	if search {
		m.searches++
		m.goroutines.Add(1)
	}
	m.mu.Unlock()
	if !search {
		send(m.originFunc(request))
		return
	}
	go func() {
		defer m.goroutines.Done()
		send(m.searchFunc(m.base, request))
		m.mu.Lock()
		defer m.mu.Unlock()
		m.searches--
	}()
}
