package feed_test

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// listedValue returns the answer to a list as of revision 9, of one object at version 5.
func listedValue(value string) func() (store.Listing, error) {
	return func() (store.Listing, error) {
		return store.Listing{Revision: store.At(9), Objects: []store.Object{{Name: "k/a", Version: store.At(5), Value: []byte(value)}}}, nil
	}
}

// Guards against wrong contents under the number of a version that a peer confirms, or replaces the right ones by.
func TestOtherContentsUnderAVersionsNumberAreReadFromTheStore(t *testing.T) {
	const noticed = clock.Second
	for name, send := range map[string]func(own, peer *feed.Feed, now clock.Millis) bool{
		"report": func(own, peer *feed.Feed, now clock.Millis) bool { return own.Confirm(peer.Progress(), now) },
		"list": func(own, peer *feed.Feed, now clock.Millis) bool {
			own.Apply(peer.Snapshot(), now)
			return own.Behind()
		},
		"changes": func(own, peer *feed.Feed, now clock.Millis) bool {
			update := peer.Snapshot()
			update.Whole, update.Since = false, 4
			return own.Apply(update, now)
		},
		"list of the version before": func(own, peer *feed.Feed, now clock.Millis) bool {
			update := peer.Snapshot()
			update.Contents = 0
			own.Apply(update, now)
			return own.Behind()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			logger, err := logs.New(&log, "info")
			assert.NilError(t, err)
			fake := clock.NewFake(1)
			own := copyOf(t, fake.Clock(), listedValue(`{"key":"new"}`), 9, feed.WithLog(logger))
			peer := copyOf(t, fake.Clock(), listedValue(`{"key":"revoked"}`), 9)
			before := own.Progress()
			fake.Advance(1)
			for range 2 {
				assert.Assert(t, send(own, peer, fake.Clock().Now()), "confirmed by other contents")
				fake.Advance(noticed - 1)
			}
			assert.Assert(t, own.ListDue())
			assert.Equal(t, own.Progress().Age-before.Age, 2*(noticed-1)+1)
			assert.Equal(t, string(own.Snapshot().Objects[0].Value), `{"key":"new"}`)
			assert.Assert(t, bytes.Contains(log.Bytes(), []byte("copy differs from that of a peer")), "%s", &log)
			own.ReadList(t.Context())
			assert.Assert(t, !own.ListDue())
		})
	}
}

// Guards against a copy with wrong contents that goes on being confirmed although the list of the store shows others.
func TestListOfTheStoreReplacesWrongContents(t *testing.T) {
	var log bytes.Buffer
	logger, err := logs.New(&log, "info")
	assert.NilError(t, err)
	own := copyOf(t, clock.NewFake(1).Clock(), listedValue("right"), 9, feed.WithLog(logger))
	assert.Assert(t, !own.Apply(&wire.Update{Kind: "k", Since: 9, Revision: 10, Changed: 10, Objects: []wire.Stored{{Name: "k/a", Version: 10, Value: []byte("wrong")}}}, 1))
	assert.Equal(t, string(own.Snapshot().Objects[0].Value), "wrong")
	own.ApplyAnswer(store.Changes{Revision: store.At(10), Changes: []store.Change{{Object: store.Object{Name: "k/a", Version: store.At(10), Value: []byte("right")}}}})
	assert.Assert(t, own.ListDue(), "an answer of the store has other contents under the number")
}

// Guards against lists that are read again and again because a list and an event spell the same contents differently.
func TestEqualContentsConfirmEachOtherHoweverTheyAreSpelled(t *testing.T) {
	fake := clock.NewFake(1)
	own := copyOf(t, fake.Clock(), listedValue(`{"a":1,"b":["x"]}`), 9)
	peer := copyOf(t, fake.Clock(), listedValue(`{"b": ["\u0078"], "a": 1}`), 9)
	assert.Assert(t, !own.Confirm(peer.Progress(), fake.Clock().Now()))
	assert.Assert(t, !own.Apply(peer.Snapshot(), fake.Clock().Now()))
	assert.Assert(t, !own.ListDue())
}

// Guards against processes of two versions of the program that don't confirm each other's copies.
func TestPeersWithoutADigestOfContentsConfirmByVersions(t *testing.T) {
	fake := clock.NewFake(1)
	own, peer := copyOf(t, fake.Clock(), listedValue("a"), 9), copyOf(t, fake.Clock(), listedValue("a"), 9)
	fake.Advance(100)
	progress := peer.Progress()
	progress.Contents = 0
	assert.Assert(t, !own.Confirm(progress, fake.Clock().Now()))
	assert.Assert(t, !own.ListDue())
}

// Guards against lost contents that are kept into the next era because an upstream of the previous version has not noticed the loss:
// it got them from another one under the number of the new ones, and compares names and versions only.
func TestRisenEraWithoutADigestOfContentsIsNotTaken(t *testing.T) {
	for contents, missing := range map[bool]bool{true: false, false: true} {
		era := uint64(2)
		list := func() (store.Listing, error) {
			at := store.Revision{Era: era, Number: 9}
			return store.Listing{Revision: at, Objects: []store.Object{{Name: "k/a", Version: store.Revision{Era: era, Number: 5}, Value: []byte("lost")}}}, nil
		}
		var sent *wire.Update
		fake := clock.NewFake(1)
		newFeed := func() *feed.Feed {
			f := feed.New("k", &store.Store{ScanFunc: func(context.Context, string) (store.Listing, error) { return list() }},
				feed.WithClock(fake.Clock()), feed.WithForward(func(update *wire.Update) { sent = update }))
			f.ReadList(t.Context())
			return f
		}
		own, peer := newFeed(), newFeed()
		era = 3
		peer.ReadList(t.Context())
		assert.Assert(t, sent.EraOnly)
		if !contents {
			sent.Contents = 0
		}
		assert.Equal(t, own.Apply(sent, 1), missing)
		progress := own.Progress()
		assert.Equal(t, progress.Era == 2, missing)
	}
}
