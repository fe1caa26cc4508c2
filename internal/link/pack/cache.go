package pack

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/link/delta"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// maxInlineBytes is the largest size of the values of an update that is sent in one
	// message. On a slow link, a larger message delays reports, and the peer then
	// counts as silent.
	maxInlineBytes = 8 << 10
	// keptContents is the number of contents of each kind that a process keeps for
	// peers: a peer may still request the chunks of an older one.
	keptContents = 4
)

// Cache holds the packed objects of recent updates, from which peers request chunks. Its
// zero value is empty.
type Cache struct {
	mu     sync.Mutex
	byKind map[string][]*keptContent
	// received holds the last complete transfer of each kind.
	received map[string]*Transfer
	// last is the update that was packed last, which goes to all followers, and checksum its checksum.
	last     *wire.Update
	checksum uint64
}

// KeepReceived records a complete transfer. Another peer may announce the same content again.
func (c *Cache) KeepReceived(kind string, transfer *Transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received == nil {
		c.received = make(map[string]*Transfer)
	}
	c.received[kind] = transfer
}

// Received returns the last complete transfer of a kind if it has the content of an update, and nil otherwise.
func (c *Cache) Received(update *wire.Update) *Transfer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := c.received[update.Kind]; last != nil && last.Digest() == update.Packed.Digest {
		return last
	}
	return nil
}

// keptContent is the content of the updates with a checksum.
type keptContent struct {
	*Content
	checksum uint64
	patch    *wire.Patch
}

// Pack returns an update that names its objects instead of holding them. It returns the
// update itself if that is small or can't be packed. The update must not change afterwards.
func (c *Cache) Pack(update *wire.Update) (*wire.Update, error) {
	if update.Bytes() <= maxInlineBytes {
		return update, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != update {
		c.last, c.checksum = update, update.Checksum()
	}
	kept, err := c.contentOf(update, c.checksum)
	if err != nil {
		return update, err
	}
	packed := *update
	packed.Objects, packed.Packed = nil, &wire.Packed{Digest: kept.Digest, Bytes: len(kept.Data), Patch: kept.patch, Checksum: c.checksum}
	return &packed, nil
}

// contentOf returns the content of an update with a checksum and keeps it; the caller holds the lock.
func (c *Cache) contentOf(update *wire.Update, checksum uint64) (*keptContent, error) {
	all := c.byKind[update.Kind]
	for _, kept := range all {
		if kept.checksum == checksum {
			return kept, nil
		}
	}
	content, err := Encode(update.Objects)
	if err != nil {
		return nil, err
	}
	kept := &keptContent{Content: content, checksum: checksum, patch: patchOf(update)}
	if len(all) >= keptContents {
		all = slices.Delete(all, 0, len(all)-keptContents+1)
	}
	if c.byKind == nil {
		c.byKind = make(map[string][]*keptContent)
	}
	c.byKind[update.Kind] = append(all, kept)
	return kept, nil
}

// patchOf returns the patch of an update, nil if it has several objects, or one whose version doesn't tell its content apart.
func patchOf(update *wire.Update) *wire.Patch {
	if len(update.Objects) != 1 || update.Objects[0].Hold != nil || update.Objects[0].Unversioned {
		return nil
	}
	object := update.Objects[0]
	patch := &wire.Patch{Object: object}
	patch.Object.Value = nil
	if previous := object.Previous; previous != nil {
		if difference := delta.Diff(previous.Value, object.Value); len(difference) <= maxInlineBytes {
			patch.Base, patch.Delta, patch.BaseDigest = previous.Version, difference, ValueDigest(previous.Value)
		}
	}
	return patch
}

// ValueDigest returns the digest of a value, which is never 0.
func ValueDigest(value []byte) uint64 { return max(xxhash.Sum64(value), 1) }

// Chunk returns the answer to a request for a chunk. Its data is empty if the content is
// not kept.
func (c *Cache) Chunk(request *wire.ChunkRequest) *wire.Chunk {
	answer := &wire.Chunk{Digest: request.Digest, Offset: request.Offset}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, all := range c.byKind {
		for _, kept := range all {
			if kept.Digest == request.Digest {
				answer.Data = kept.Chunk(request.Offset)
				return answer
			}
		}
	}
	return answer
}
