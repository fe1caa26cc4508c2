package mesh

import (
	"context"
	"errors"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

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

// Incarnation returns the last known incarnation of a process.
func (m *Mesh) Incarnation(name string) token.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnations[name]
}

// ReceiveUpdate handles an update that a peer relays.
func (m *Mesh) ReceiveUpdate(from string, update *wire.Update) {
	m.receiveUpdate(from, update, m.clock.Now())
}

// HandleChunk handles a chunk of a peer.
func (m *Mesh) HandleChunk(from string, chunk *wire.Chunk) { m.handleChunk(from, chunk) }

// Downloading returns the offset of the next chunk of a kind, and whether its objects
// are being transferred.
func (m *Mesh) Downloading(kind string) (offset int, downloading bool) {
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	d := m.downloads.byKind[kind]
	if d == nil {
		return 0, false
	}
	return d.transfer.Offset(), true
}

// Source returns the peer that is asked for the objects of a kind.
func (m *Mesh) Source(kind string) string {
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	return m.downloads.byKind[kind].from
}

// Digest returns the digest of the objects of a kind that are being transferred.
func (m *Mesh) Digest(kind string) string {
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	return m.downloads.byKind[kind].transfer.Digest()
}

// Pack returns the packed form of an update, as it is sent to peers.
func (m *Mesh) Pack(update *wire.Update) (*wire.Update, error) { return m.contents.Pack(update) }

// Chunk returns the answer to a request for a chunk.
func (m *Mesh) Chunk(request *wire.ChunkRequest) *wire.Chunk { return m.contents.Chunk(request) }

// SetUpstream sets the peer through which the process follows the store.
func (m *Mesh) SetUpstream(name string) { m.uplink.Store(&uplink{upstream: name}) }

// IsCutOff reports whether the process counts itself as cut off from the store.
func (m *Mesh) IsCutOff(now clock.Millis) bool { return m.isCutOff(now) }

// Round runs one round of reports.
func (m *Mesh) Round(now clock.Millis) { m.round(now) }

// Aggregators returns the other aggregators.
func (m *Mesh) Aggregators() []string {
	return slices.DeleteFunc(slices.Clone(m.view.Load().plan.Aggregators), func(name string) bool { return name == m.self.Name })
}

// GroupReportedAt returns when another aggregator has last sent the sums of its group.
func (m *Mesh) GroupReportedAt(name string) clock.Millis {
	_, at := m.totals.StoreRevisions(sums.Source{Process: name, OtherGroup: true})
	return at
}

// SessionTo returns the open session to a peer, nil if there is none.
func (m *Mesh) SessionTo(ctx context.Context, name string) *sess.Session {
	l := m.openLink(ctx, name)
	if l == nil {
		return nil
	}
	return l.session
}

// HandleUpdate handles an update that any peer relays.
func (m *Mesh) HandleUpdate(from string, update *wire.Update) { m.handleUpdate(from, update) }

// RelaysTo reports whether this process relays changes to a peer.
func (m *Mesh) RelaysTo(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inbound[name] != nil && m.inbound[name].follows
}
