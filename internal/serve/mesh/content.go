package mesh

import (
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/epoch"
	"github.com/jujubescale/jujubescale/internal/link/pack"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/bulk"
)

// sendUpdate sends an update on a session. Peers of the previous version get the
// objects in the message itself.
func (m *Mesh) sendUpdate(s *sess.Session, update *wire.Update) {
	if s.Peer().Chunks {
		packed, err := m.contents.Pack(update)
		if err != nil {
			m.log.Error("update is not packed", "kind", update.Kind, "revision", update.At(), logs.KeyError, err)
		}
		update = packed
	}
	_ = s.Send(&wire.Frame{Kind: wire.KindUpdate, Update: update}) // a peer requests missing changes again
}

func (m *Mesh) answerChunkRequest(s *sess.Session, request *wire.ChunkRequest) {
	chunk := m.contents.Chunk(request)
	m.bulk.Send(bulk.Key{Session: s.Number(), Digest: request.Digest, Offset: request.Offset}, len(chunk.Data), func() {
		_ = s.Send(&wire.Frame{Kind: wire.KindChunk, Chunk: chunk}) // a peer requests it again
	})
}

const (
	// chunkTimeout is the time after which a chunk is requested again, from the
	// upstream of that time.
	chunkTimeout = 500 * clock.Millis(1)
	// stallTime is the time without a chunk after which a download delays no changes and
	// no requests for missing ones. downloadTimeout is that after which it is given up.
	stallTime       = clock.Second
	downloadTimeout = 5 * clock.Second
	// partInterval is the longest time between two chunks of a transfer that fills the link.
	partInterval = 200 * clock.Millis(1)
)

// download is the transfer of the objects of one update. It continues with another
// peer that has the same content. A download is completed before a newer one of its
// kind starts: otherwise, frequent changes would end each before its last chunk.
type download struct {
	kind     string
	transfer *pack.Transfer
	// update is the update without its objects.
	update *wire.Update
	// from is the peer that is asked for chunks, requestedAt when it was last asked, and
	// receivedAt when the last chunk arrived. arrivedAt is when the update arrived.
	from                               string
	requestedAt, receivedAt, arrivedAt clock.Millis
	// leadsTo is the version of the only object after the transfer and the later updates, zero if it is not known.
	leadsTo epoch.Revision
	// later holds the updates that arrived meanwhile, and next the newest packed one.
	later bulk.Backlog[received]
	next  *received
}

// received is an update with its sender and the instant of its arrival.
type received struct {
	update *wire.Update
	from   string
	at     clock.Millis
}

// downloads holds the download of each kind of objects.
type downloads struct {
	mu     sync.Mutex
	byKind map[string]*download
}

// receiveUpdate applies an update of a peer, after its objects have been
// transferred if it is packed.
func (m *Mesh) receiveUpdate(from string, update *wire.Update, now clock.Millis) {
	arrived := received{update: update, from: from, at: now}
	if update.Packed != nil {
		if m.follows(update.Kind) && !m.takePatch(&arrived) {
			m.receivePacked(&arrived)
		}
		return
	}
	if !m.deferUpdate(arrived) {
		m.applyUpdate(from, update, now)
	}
}

// follows reports whether this process follows a kind of objects. A peer forwards all kinds
// that it follows itself.
func (m *Mesh) follows(kind string) bool {
	return slices.ContainsFunc(m.follower.ProgressFunc(), func(p wire.Progress) bool { return p.Kind == kind })
}

// deferUpdate keeps changes that arrive during a download of their kind until that is
// complete, and reports whether it does. It keeps none while the download is stalled. A whole
// list ends the download instead, unless it is older.
func (m *Mesh) deferUpdate(arrived received) bool {
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	current := m.downloads.byKind[arrived.update.Kind]
	switch {
	case current == nil:
		return false
	case !arrived.update.Whole && current.isStalled(arrived.at):
		return false
	case !arrived.update.Whole:
		current.later.Add(arrived, arrived.update.Size())
		return true
	case !arrived.update.At().Before(current.update.At()):
		m.endDownload(current, "replaced", arrived.at)
	}
	return false
}

// takePatch applies the difference that came with an announced update, or keeps it until the download of the version before is
// complete. It reports false if the objects have to be transferred.
func (m *Mesh) takePatch(announcement *received) bool {
	patch := announcement.update.Packed.Patch
	if patch == nil || len(patch.Delta) == 0 {
		return false
	}
	m.downloads.mu.Lock()
	current := m.downloads.byKind[announcement.update.Kind]
	kept := current != nil && current.leadsTo == announcement.update.PatchBase() && !current.isStalled(announcement.at) && current.later.Add(*announcement, announcement.update.Size())
	if kept {
		current.leadsTo = announcement.update.PatchVersion()
	}
	m.downloads.mu.Unlock()
	return kept || len(m.follower.ApplyFunc(announcement.update, announcement.at)) == 0
}

// receivePacked starts or continues the download of an announced update, or applies it at
// once if its content was transferred before.
func (m *Mesh) receivePacked(announcement *received) {
	update := announcement.update
	if last := m.contents.Received(update); last != nil {
		m.applyContent(announcement.from, update, last, announcement.at)
		return
	}
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	current := m.downloads.byKind[update.Kind]
	switch {
	case current == nil:
		m.startDownload(announcement)
	case current.transfer.Digest() == update.Packed.Digest:
		if !update.At().Before(current.update.At()) {
			current.update, current.arrivedAt = update, announcement.at
		}
		if current.from != announcement.from && announcement.from == m.uplink.Load().upstream {
			current.from = announcement.from
			m.requestChunk(current, announcement.at)
		}
	case current.next == nil || !update.At().Before(current.next.update.At()):
		current.next = announcement
	}
}

// startDownload starts the transfer of an announced update; the caller holds the lock of
// the downloads.
func (m *Mesh) startDownload(announcement *received) {
	update := announcement.update
	transfer, err := pack.NewTransfer(update.Packed)
	if err != nil {
		m.ignoredFunc("contradictory")
		m.log.Warn("update ignored", "peer", announcement.from, "kind", update.Kind, "revision", update.At(), logs.KeyError, err)
		return
	}
	now := m.clock.Now()
	started := &download{kind: update.Kind, transfer: transfer, update: update, arrivedAt: announcement.at, from: announcement.from, receivedAt: now}
	if update.Packed.Patch != nil {
		started.leadsTo = update.PatchVersion()
	}
	m.downloads.byKind[update.Kind] = started
	m.requestChunk(started, now)
}

// requestChunk requests the next chunk; the caller holds the lock of the downloads.
func (m *Mesh) requestChunk(d *download, now clock.Millis) {
	d.requestedAt = now
	m.mu.Lock()
	l := m.links[d.from]
	m.mu.Unlock()
	if l == nil {
		return
	}
	if l = m.ifOpen(l); l != nil {
		next := &wire.ChunkRequest{Digest: d.transfer.Digest(), Offset: d.transfer.Offset()}
		key := bulk.Key{Request: true, Peer: d.from, Digest: next.Digest, Offset: next.Offset}
		d.requestedAt += m.bulk.Send(key, min(pack.ChunkBytes, d.transfer.Remaining()), func() {
			m.sendOn(l, &wire.Frame{Kind: wire.KindChunkRequest, ChunkRequest: next})
		})
	}
}

// handleChunk adds a chunk to its download and requests the next one. After the last
// one it applies the update.
func (m *Mesh) handleChunk(from string, chunk *wire.Chunk) {
	d, complete := m.addChunk(from, chunk)
	switch {
	case d == nil:
	case !complete:
		m.follower.ExpectFunc(d.kind)
	default:
		m.applyContent(from, d.update, d.transfer, d.arrivedAt)
		for _, later := range d.later.Items() {
			m.applyUpdate(later.from, later.update, later.at)
		}
	}
}

// addChunk adds a chunk to its download, which it returns, and reports whether that was the
// last one. It returns nil for a chunk that is not expected, and for an answer of a peer
// that doesn't have the content any more, which ends the download.
func (m *Mesh) addChunk(from string, chunk *wire.Chunk) (d *download, complete bool) {
	now := m.clock.Now()
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	d = m.downloads.find(chunk.Digest)
	switch {
	case d == nil:
		return nil, false
	case len(chunk.Data) == 0:
		if from == d.from {
			m.endDownload(d, "notKept", now)
		}
		return nil, false
	case !d.transfer.Add(chunk):
		return nil, false
	}
	d.receivedAt = now
	if !d.transfer.Done() {
		m.requestChunk(d, now)
		return d, false
	}
	m.contents.KeepReceived(d.kind, d.transfer)
	m.endDownload(d, "complete", now)
	return d, true
}

// find returns the download of a content; the caller holds the lock.
func (d *downloads) find(digest string) *download {
	for _, current := range d.byKind {
		if current.transfer.Digest() == digest {
			return current
		}
	}
	return nil
}

// endDownload removes a download and starts the next one of its kind; the caller holds
// the lock of the downloads.
func (m *Mesh) endDownload(d *download, outcome string, now clock.Millis) {
	delete(m.downloads.byKind, d.kind)
	m.log.Info("objects transferred", "peer", d.from, "kind", d.kind, "revision", d.update.At(), "outcome", outcome,
		"bytes", d.transfer.Offset(), "of", d.update.Packed.Bytes, "tookMs", int64(now-d.arrivedAt))
	if d.next != nil {
		m.startDownload(d.next)
	}
}

// applyContent applies an update whose objects were transferred.
func (m *Mesh) applyContent(from string, update *wire.Update, transfer *pack.Transfer, arrivedAt clock.Millis) {
	complete, err := transfer.Complete(update)
	if err != nil {
		m.ignoredFunc("contradictory")
		m.log.Warn("update ignored", "peer", from, "kind", update.Kind, "revision", update.At(), logs.KeyError, err)
		return
	}
	m.applyUpdate(from, complete, arrivedAt)
}

// applyUpdate applies an update that arrived at an instant.
func (m *Mesh) applyUpdate(from string, update *wire.Update, arrivedAt clock.Millis) {
	m.requestMissing(from, m.follower.ApplyFunc(update, arrivedAt))
}

// resumeDownloads requests chunks that did not arrive in time from the upstream of this
// time, and gives up downloads without progress.
func (m *Mesh) resumeDownloads(now clock.Millis) {
	upstream := m.uplink.Load().upstream
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	for _, d := range m.downloads.byKind {
		switch {
		case now-d.receivedAt > downloadTimeout:
			m.endDownload(d, "timeout", now)
		case now-d.requestedAt > chunkTimeout && upstream != "":
			d.from = upstream
			m.requestChunk(d, now)
		}
	}
}

// isDownloading reports whether objects of a kind are being transferred.
func (m *Mesh) isDownloading(kind string) bool {
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	current := m.downloads.byKind[kind]
	return current != nil && !current.isStalled(m.clock.Now())
}

// isReceiving reports whether objects are arriving from the store or a peer.
func (m *Mesh) isReceiving(now clock.Millis) bool {
	m.downloads.mu.Lock()
	defer m.downloads.mu.Unlock()
	for _, d := range m.downloads.byKind {
		if d.transfer.Offset() > 0 && now-d.receivedAt < partInterval {
			return true
		}
	}
	return m.isAnswered()
}

// isAnswered reports whether an answer of the store is arriving.
func (m *Mesh) isAnswered() bool {
	return m.follower.ReceivingFunc != nil && m.follower.ReceivingFunc()
}

// isStalled reports whether no chunk has arrived for stallTime: the peer is paused, can't be
// reached, or has the previous version.
func (d *download) isStalled(now clock.Millis) bool { return now-d.receivedAt > stallTime }
