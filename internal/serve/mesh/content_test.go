package mesh_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// receiver is a process on a fake clock that follows the kind config and records the
// updates that it applies.
type receiver struct {
	*mesh.Mesh
	fake     *clock.Fake
	known    uint64
	applied  []uint64
	sizes    []int
	arrivals []clock.Millis
	missing  []string // what a difference lacks
}

func newReceiver(t *testing.T) *receiver {
	r := &receiver{fake: clock.NewFake(1)}
	r.Mesh = mesh.New(t.Context(), mesh.Member{Name: "receiver"}, mesh.WithClock(r.fake.Clock()), mesh.WithFollower(mesh.Follower{
		ProgressFunc: func() []wire.Progress { return []wire.Progress{{Kind: "config", Revision: r.known, Changed: r.known}} },
		ApplyFunc: func(update *wire.Update, now clock.Millis) []string {
			r.applied, r.sizes, r.arrivals = append(r.applied, update.Revision), append(r.sizes, update.Bytes()), append(r.arrivals, now)
			if update.Packed != nil {
				return r.missing
			}
			return nil
		},
		ExpectFunc: func(string) {},
	}))
	return r
}

func newSender(t *testing.T) *mesh.Mesh { return mesh.New(t.Context(), mesh.Member{Name: "sender"}) }

// largeUpdate returns an update whose content has several chunks.
func largeUpdate(revision uint64) *wire.Update {
	random := rand.New(rand.NewPCG(revision, 1))
	value := make([]byte, 100_000)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return &wire.Update{Kind: "config", Revision: revision, Changed: revision, Whole: true, Objects: []wire.Stored{{Name: "config/main", Version: revision, Value: value}}}
}

func pack(t *testing.T, sender *mesh.Mesh, update *wire.Update) *wire.Update {
	t.Helper()
	packed, err := sender.Pack(update)
	assert.NilError(t, err)
	assert.Assert(t, packed.Packed != nil && packed.Objects == nil)
	return packed
}

// transfer transfers up to count chunks from a sender.
func (r *receiver) transfer(sender *mesh.Mesh, from, digest string, count int) {
	for range count {
		offset, downloading := r.Downloading("config")
		if !downloading {
			return
		}
		r.HandleChunk(from, sender.Chunk(&wire.ChunkRequest{Digest: digest, Offset: offset}))
	}
}

// Guards against a transfer that begins again at its first byte whenever the upstream
// changes.
func TestTransferContinuesWithAnotherPeer(t *testing.T) {
	r, first, second := newReceiver(t), newSender(t), newSender(t)
	packed := pack(t, first, largeUpdate(7))
	r.ReceiveUpdate("first", packed)
	r.transfer(first, "first", packed.Packed.Digest, 2)
	again := pack(t, second, largeUpdate(7))
	r.ReceiveUpdate("second", again)
	offset, downloading := r.Downloading("config")
	assert.Assert(t, downloading && offset > 0, "offset %d", offset)
	r.transfer(second, "second", again.Packed.Digest, 10)
	assert.DeepEqual(t, r.applied, []uint64{7})
	assert.DeepEqual(t, r.sizes, []int{100_000})
	r.ReceiveUpdate("first", packed)
	assert.DeepEqual(t, r.applied, []uint64{7, 7})
}

// Guards against changes in quick succession that end each transfer before its last
// chunk, so that none is ever applied.
func TestFrequentChangesEndNoTransfer(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	packed := pack(t, sender, largeUpdate(7))
	r.ReceiveUpdate("sender", packed)
	for revision := uint64(8); revision < 10; revision++ {
		r.transfer(sender, "sender", packed.Packed.Digest, 1)
		r.ReceiveUpdate("sender", pack(t, sender, largeUpdate(revision)))
	}
	r.transfer(sender, "sender", packed.Packed.Digest, 10)
	assert.DeepEqual(t, r.applied, []uint64{7})
	r.transfer(sender, "sender", pack(t, sender, largeUpdate(9)).Packed.Digest, 10)
	assert.DeepEqual(t, r.applied, []uint64{7, 9})
}

// Guards against changes that are lost because they arrive while the list before them is
// still being transferred.
func TestChangesDuringATransferAreAppliedAfterIt(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	packed := pack(t, sender, largeUpdate(7))
	r.ReceiveUpdate("sender", packed)
	r.ReceiveUpdate("sender", &wire.Update{Kind: "config", Since: 7, Revision: 8, Changed: 8})
	assert.Equal(t, len(r.applied), 0)
	r.transfer(sender, "sender", packed.Packed.Digest, 10)
	assert.DeepEqual(t, r.applied, []uint64{7, 8})
}

// Guards against a transfer that waits forever for a peer that doesn't have the content
// any more.
func TestTransferEndsWhenThePeerHasNoContent(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	r.ReceiveUpdate("sender", pack(t, sender, largeUpdate(7)))
	r.ReceiveUpdate("sender", pack(t, sender, largeUpdate(8)))
	for range 2 {
		_, downloading := r.Downloading("config")
		assert.Assert(t, downloading)
		r.HandleChunk("sender", &wire.Chunk{Digest: r.Digest("config")})
	}
	_, downloading := r.Downloading("config")
	assert.Assert(t, !downloading)
	assert.Equal(t, len(r.applied), 0)
}

// Guards against changes that wait for a transfer from a peer that has left, although a peer
// of the version before sent the whole list.
func TestWholeListReplacesATransfer(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	r.ReceiveUpdate("sender", pack(t, sender, largeUpdate(7)))
	r.ReceiveUpdate("legacy", largeUpdate(8))
	r.ReceiveUpdate("legacy", &wire.Update{Kind: "config", Since: 8, Revision: 9, Changed: 9})
	assert.DeepEqual(t, r.applied, []uint64{8, 9})
}

// Guards against small changes that need one more message to arrive.
func TestSmallUpdatesAreSentWhole(t *testing.T) {
	update := &wire.Update{Kind: "config", Revision: 7, Objects: []wire.Stored{{Name: "config/main", Value: make([]byte, 1000)}}}
	sent, err := newSender(t).Pack(update)
	assert.NilError(t, err)
	assert.Equal(t, sent, update)
}

// Guards against an age that counts from a later announcement: changes that arrived during a
// transfer were applied as of the last announcement of its content.
func TestChangesDuringATransferKeepTheirArrival(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	packed := pack(t, sender, largeUpdate(7))
	r.ReceiveUpdate("sender", packed)
	r.ReceiveUpdate("sender", &wire.Update{Kind: "config", Since: 7, Revision: 8, Changed: 8})
	arrived := r.fake.Clock().Now()
	r.fake.Advance(900)
	r.ReceiveUpdate("sender", packed)
	r.transfer(sender, "sender", packed.Packed.Digest, 10)
	assert.DeepEqual(t, r.applied, []uint64{7, 8})
	assert.Equal(t, r.arrivals[1], arrived)
}

// Guards against changes that wait for a transfer that nobody continues, up to 5 s: the
// upstream was replaced by a peer of the version before, paused, or can't be reached.
func TestStalledTransferDelaysNoChanges(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	r.ReceiveUpdate("sender", pack(t, sender, largeUpdate(7)))
	r.fake.Advance(1100)
	r.ReceiveUpdate("legacy", &wire.Update{Kind: "config", Since: 5, Revision: 8, Changed: 8})
	assert.DeepEqual(t, r.applied, []uint64{8})
	offset, downloading := r.Downloading("config")
	assert.Assert(t, downloading && offset == 0, "the transfer may still continue")
}

// Guards against memory that grows with what a peer sends during a transfer: 64 updates of up to 4 MB were kept.
func TestUpdatesKeptDuringATransferAreBoundedInBytes(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	packed := pack(t, sender, largeUpdate(7))
	r.ReceiveUpdate("sender", packed)
	const size = 1 << 20
	for i := range uint64(20) {
		r.ReceiveUpdate("sender", &wire.Update{
			Kind: "config", Since: 7 + i, Revision: 8 + i, Changed: 8 + i,
			Objects: []wire.Stored{{Name: "config/large", Value: make([]byte, size)}},
		})
	}
	r.transfer(sender, "sender", packed.Packed.Digest, 10)
	assert.Equal(t, r.applied[0], uint64(7))
	kept := len(r.applied) - 1
	assert.Assert(t, kept > 0 && kept*size <= 4<<20, "%d updates of 1 MB were kept", kept)
}

// Guards against memory that grows by kinds of objects which this process doesn't follow: a
// peer forwards all kinds that it follows itself.
func TestObjectsOfOtherKindsAreNotTransferred(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	other := largeUpdate(7)
	other.Kind = "other"
	r.ReceiveUpdate("sender", pack(t, sender, other))
	_, downloading := r.Downloading("other")
	assert.Assert(t, !downloading)
}

// Guards against a data race between the chunks of one peer and the announcement of the same
// content by another.
func TestAnnouncementDuringATransferIsNoRace(t *testing.T) {
	sender := newSender(t)
	packed := pack(t, sender, largeUpdate(7))
	for range 50 {
		r := newReceiver(t)
		r.ReceiveUpdate("first", packed)
		announced := make(chan struct{})
		go func() {
			defer close(announced)
			for range 100 {
				again := *packed
				r.ReceiveUpdate("second", &again)
			}
		}()
		r.transfer(sender, "first", packed.Packed.Digest, 2)
		<-announced
	}
}

// Guards against a newer version that is dropped, and transferred again by the new upstream, because
// it arrives from the upstream before.
func TestNewerUpdateOfThePreviousUpstreamIsApplied(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	r.known = 4
	r.SetUpstream("new")
	small := func(revision uint64) *wire.Update {
		return &wire.Update{Kind: "config", Since: 4, Revision: revision, Changed: revision}
	}
	r.HandleUpdate("previous", small(4))
	assert.Equal(t, len(r.applied), 0)
	r.HandleUpdate("previous", small(5))
	assert.DeepEqual(t, r.applied, []uint64{5})
	large := pack(t, sender, largeUpdate(6))
	r.HandleUpdate("previous", large)
	r.HandleUpdate("new", large)
	r.HandleUpdate("previous", large)
	assert.Equal(t, r.Source("config"), "new")
	r.transfer(sender, "new", large.Packed.Digest, 100)
	assert.DeepEqual(t, r.applied, []uint64{5, 6})
}

// patchedUpdate returns the packed update of a version as the difference from the one before.
func patchedUpdate(t *testing.T, sender *mesh.Mesh, revision uint64) *wire.Update {
	t.Helper()
	update, before := largeUpdate(revision), largeUpdate(revision-1)
	value := append(before.Objects[0].Value[:len(before.Objects[0].Value):len(before.Objects[0].Value)], "changed"...)
	update.Whole, update.Since = false, revision-1
	update.Objects[0].Value, update.Objects[0].Previous = value, &wire.Previous{Version: revision - 1, Value: before.Objects[0].Value}
	packed := pack(t, sender, update)
	assert.Assert(t, len(packed.Packed.Patch.Delta) > 0)
	return packed
}

// Guards against changes that are transferred as a whole while those before them are, so that a process on a slow link is always late.
func TestDifferencesDuringATransferAreAppliedAfterIt(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	packed := pack(t, sender, largeUpdate(7))
	r.ReceiveUpdate("sender", packed)
	r.ReceiveUpdate("sender", patchedUpdate(t, sender, 8))
	r.ReceiveUpdate("sender", patchedUpdate(t, sender, 9))
	assert.Equal(t, len(r.applied), 0)
	r.transfer(sender, "sender", packed.Packed.Digest, 10)
	assert.DeepEqual(t, r.applied, []uint64{7, 8, 9})
	_, downloading := r.Downloading("config")
	assert.Assert(t, !downloading)
}

// Guards against a version that is never transferred because its difference is from another one than the process holds.
func TestVersionIsTransferredIfItsDifferenceDoesNotFit(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	r.missing = []string{"config"}
	later := patchedUpdate(t, sender, 9)
	r.ReceiveUpdate("sender", later)
	assert.Equal(t, r.Digest("config"), later.Packed.Digest)
	r.transfer(sender, "sender", later.Packed.Digest, 10)
	assert.Equal(t, r.applied[len(r.applied)-1], uint64(9))
	assert.Equal(t, r.sizes[len(r.sizes)-1], 100_007)
}

// Guards against a difference that waits for the version that the store has lost, because this has the number of its base.
func TestDifferenceDoesNotWaitForAVersionOfAnotherEra(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	lost := largeUpdate(7)
	lost.Era = 2
	packed := pack(t, sender, lost)
	r.ReceiveUpdate("sender", packed)
	difference := &wire.Update{Kind: "config", Era: 3, Since: 7, Revision: 8, Changed: 8, Packed: &wire.Packed{
		Digest: "d", Bytes: 1, Checksum: 1, Patch: &wire.Patch{Object: wire.Stored{Name: "config/main", Version: 8}, Base: 7, Delta: []byte("d")},
	}}
	r.ReceiveUpdate("sender", difference)
	assert.DeepEqual(t, r.applied, []uint64{8})
	r.transfer(sender, "sender", packed.Packed.Digest, 10)
	assert.DeepEqual(t, r.applied, []uint64{8, 7})
}

// Guards against a transfer whose objects are refused because the era has risen without a loss while it went on, or since.
func TestTransferGoesOnInTheNextEra(t *testing.T) {
	r, sender := newReceiver(t), newSender(t)
	var announced []*wire.Update
	for era := uint64(2); era < 5; era++ {
		update := largeUpdate(7)
		update.Era = era
		announced = append(announced, pack(t, sender, update))
	}
	r.ReceiveUpdate("sender", announced[0])
	r.transfer(sender, "sender", announced[0].Packed.Digest, 2)
	r.ReceiveUpdate("sender", announced[1])
	offset, _ := r.Downloading("config")
	assert.Assert(t, offset > 0, "begun again")
	r.transfer(sender, "sender", announced[0].Packed.Digest, 10)
	assert.DeepEqual(t, r.applied, []uint64{7})
	r.ReceiveUpdate("sender", announced[2])
	assert.DeepEqual(t, r.applied, []uint64{7, 7})
}
