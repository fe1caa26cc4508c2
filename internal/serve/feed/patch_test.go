package feed_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/pack"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// largeValue returns a configuration of some 100 KB that differs in one place for each number.
func largeValue(number uint64) []byte {
	var value bytes.Buffer
	for i := range 1000 {
		fmt.Fprintf(&value, `{"name":"r-%07x","host":"orders.example","path":"/%07x/","timeoutMs":3000,"service":"orders"},`, i*7919, i*104729)
	}
	fmt.Fprintf(&value, `{"changed":%d}`, number)
	return value.Bytes()
}

func largeChange(version uint64) store.Changes {
	return store.Changes{Revision: store.At(version), Changes: []store.Change{{Object: store.Object{Name: "config/main", Version: store.At(version), Value: largeValue(version)}}}}
}

// relay is a feed whose updates are packed as for its peers.
type relay struct {
	*feed.Feed
	contents pack.Cache
	sent     []*wire.Update
}

func newRelay(t *testing.T) *relay {
	r := &relay{}
	r.Feed = feed.New("config", &store.Store{}, feed.WithClock(clock.NewFake(1000).Clock()), feed.WithForward(func(update *wire.Update) {
		packed, err := r.contents.Pack(update)
		assert.NilError(t, err)
		r.sent = append(r.sent, packed)
	}))
	r.Apply(&wire.Update{Kind: "config", Revision: 5, Changed: 5, Whole: true, Objects: []wire.Stored{{Name: "config/main", Value: largeValue(5), Version: 5}}}, 1000)
	return r
}

func (r *relay) value() []byte { return r.Snapshot().Objects[0].Value }

// Guards against versions of hundreds of kilobytes that are passed on as a whole, to each of the processes that follow one, although
// a route has changed.
func TestChangedVersionIsPassedOnAsTheDifference(t *testing.T) {
	watcher, aggregator, follower := newRelay(t), newRelay(t), newRelay(t)
	for version := uint64(6); version < 9; version++ {
		watcher.ApplyAnswer(largeChange(version))
		update := watcher.sent[len(watcher.sent)-1]
		assert.Assert(t, update.Objects == nil && update.Packed.Patch != nil)
		assert.Assert(t, len(update.Packed.Patch.Delta) < 1000, "%d bytes", len(update.Packed.Patch.Delta))
		assert.Assert(t, !aggregator.Apply(update, 1000))
		assert.Assert(t, !follower.Apply(aggregator.sent[len(aggregator.sent)-1], 1000))
		assert.Assert(t, bytes.Equal(follower.value(), largeValue(version)))
		assert.Equal(t, follower.Progress().Digest, watcher.Progress().Digest)
	}
	assert.Assert(t, !follower.Apply(watcher.sent[len(watcher.sent)-1], 1000), "the same version again")
}

// Guards against a copy that is put together from another version than the one before, and against a change that is lost because a
// process can't apply the difference.
func TestDifferenceFromAnotherVersionIsReportedAsMissing(t *testing.T) {
	watcher, follower := newRelay(t), newRelay(t)
	watcher.ApplyAnswer(largeChange(6))
	watcher.ApplyAnswer(largeChange(7))
	assert.Assert(t, follower.Apply(watcher.sent[len(watcher.sent)-1], 1000))
	damaged, packed := *watcher.sent[1], *watcher.sent[1].Packed
	packed.Patch = &wire.Patch{Object: packed.Patch.Object, Base: packed.Patch.Base, Delta: []byte("damaged")}
	damaged.Packed = &packed
	assert.Assert(t, follower.Apply(&damaged, 1000))
	assert.Assert(t, bytes.Equal(follower.value(), largeValue(5)))
	assert.Equal(t, follower.Progress().Revision, uint64(5))
	assert.Assert(t, !follower.Apply(watcher.Snapshot(), 1000))
	assert.Assert(t, bytes.Equal(follower.value(), largeValue(7)))
}

// Guards against a peer that lacks one version and gets the whole configuration.
func TestSnapshotForAPeerThatLacksOneVersionHasTheDifference(t *testing.T) {
	watcher, follower := newRelay(t), newRelay(t)
	watcher.ApplyAnswer(largeChange(6))
	packed, err := watcher.contents.Pack(watcher.LackedBy(wire.Revision{Kind: "config", Revision: 5}))
	assert.NilError(t, err)
	assert.Assert(t, !follower.Apply(packed, 1000))
	assert.Assert(t, bytes.Equal(follower.value(), largeValue(6)))
}

// Guards against a copy that keeps its own value because an object of an earlier era, or one whose version can't be read, has the same
// number.
func TestVersionsThatDoNotTellContentsApartAreNotPatched(t *testing.T) {
	for name, change := range map[string]func(*wire.Stored){
		"of an earlier era": func(o *wire.Stored) { o.Hold = &wire.Hold{Era: 1} },
		"version not read":  func(o *wire.Stored) { o.Unversioned = true },
	} {
		t.Run(name, func(t *testing.T) {
			follower := newRelay(t)
			object := wire.Stored{Name: "config/main", Version: 5, Value: largeValue(6), Previous: &wire.Previous{Version: 4, Value: largeValue(4)}}
			change(&object)
			packed, err := follower.contents.Pack(&wire.Update{Kind: "config", Since: 5, Revision: 6, Changed: 6, Objects: []wire.Stored{object}})
			assert.NilError(t, err)
			assert.Assert(t, packed.Packed.Patch == nil)
			object.Value, object.Previous = nil, nil
			packed.Packed.Patch = &wire.Patch{Object: object, Base: 4, Delta: []byte{1}}
			assert.Assert(t, follower.Apply(packed, 1000))
			assert.Assert(t, bytes.Equal(follower.value(), largeValue(5)))
		})
	}
}

// restoredRelay returns a feed that has read a large configuration up to a version in an era, after which the store came back
// as it was at version 5, and has read the list of that.
func restoredRelay(t *testing.T, lost uint64) *relay {
	t.Helper()
	r := newRelay(t)
	for version := uint64(6); version <= lost; version++ {
		r.ApplyAnswer(largeChange(version))
	}
	r.Apply(&wire.Update{Kind: "config", Era: 1, Revision: 5, Changed: 5, Whole: true, Objects: []wire.Stored{{Name: "config/main", Value: largeValue(5), Version: 5}}}, 1000)
	return r
}

// Guards against a version that a restored store has lost and that peers pass on under the number of the one after it: a key that
// it had revoked stays good for as long as that is the newest version.
func TestVersionUnderTheNumberOfALostOneIsPassedOnAsItIs(t *testing.T) {
	for name, followerHas := range map[string]uint64{"a follower with the lost versions": 8, "a follower that lacked them": 5} {
		t.Run(name, func(t *testing.T) {
			watcher, follower := restoredRelay(t, 8), restoredRelay(t, followerHas)
			for version := uint64(6); version < 9; version++ {
				change := largeChange(version)
				change.Revision.Era, change.Changes[0].Object.Version.Era = 1, 1
				change.Changes[0].Object.Value = largeValue(version + 100)
				watcher.ApplyAnswer(change)
				update := watcher.sent[len(watcher.sent)-1]
				if follower.Apply(update, 1000) {
					complete, err := transferred(&watcher.contents, update)
					assert.NilError(t, err)
					follower.Apply(complete, 1000)
				}
				assert.Assert(t, bytes.Equal(follower.value(), largeValue(version+100)), "version %d", version)
			}
		})
	}
}

func transferred(contents *pack.Cache, update *wire.Update) (*wire.Update, error) {
	transfer, err := pack.NewTransfer(update.Packed)
	for err == nil && !transfer.Done() && transfer.Add(contents.Chunk(&wire.ChunkRequest{Digest: transfer.Digest(), Offset: transfer.Offset()})) {
	}
	if err != nil {
		return nil, err
	}
	return transfer.Complete(update)
}
