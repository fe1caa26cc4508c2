package feed_test

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// copyStore is a store whose objects have a version of their writer's as their value. Lists and
// changes are read from it as they are.
type copyStore struct {
	at      store.Revision
	objects map[string]string
	// numbers holds the revision of each object's last change.
	numbers map[string]uint64
	changes []store.Change
}

func newCopyStore() *copyStore {
	return &copyStore{at: store.Revision{Era: 1, Number: 10}, objects: make(map[string]string), numbers: make(map[string]uint64)}
}

func (s *copyStore) put(name, value string) {
	s.at.Number++
	s.objects[name], s.numbers[name] = value, s.at.Number
	s.changes = append(s.changes, store.Change{Object: s.object(name)})
}

func (s *copyStore) remove(name string) {
	s.at.Number++
	s.changes = append(s.changes, store.Change{Object: s.object(name), Deleted: true})
	delete(s.objects, name)
}

func (s *copyStore) object(name string) store.Object {
	return store.Object{Name: name, Version: store.Revision{Era: s.at.Era, Number: s.numbers[name]}, Value: []byte(s.objects[name])}
}

func (s *copyStore) copy() *copyStore {
	return &copyStore{at: s.at, objects: maps.Clone(s.objects), numbers: maps.Clone(s.numbers)}
}

// restore replaces the contents by a copy.
func (s *copyStore) restore(from *copyStore) {
	era := s.at.Era + 1
	*s = *from.copy()
	s.at.Era = era
}

// follower is a feed with the objects that its handlers were given.
type follower struct {
	*feed.Feed
	fake  *clock.Fake
	from  *copyStore
	shown map[string]string
	ended context.CancelFunc
}

// newFollower returns a feed whose objects are ordered by their values.
func newFollower(from *copyStore, fake *clock.Fake, restore feed.Restore, opts ...feed.Option) *follower {
	f := &follower{from: from, shown: make(map[string]string), fake: fake}
	if restore.NewerFunc == nil {
		restore.NewerFunc = func(known, listed store.Object) bool { return string(known.Value) > string(listed.Value) }
	}
	f.Feed = feed.New("k", &store.Store{
		ScanFunc: func(context.Context, string) (store.Listing, error) {
			listing := store.Listing{Revision: from.at}
			for _, name := range slices.Sorted(maps.Keys(from.objects)) {
				listing.Objects = append(listing.Objects, from.object(name))
			}
			return listing, nil
		},
		FollowFunc: func(ctx context.Context, _ string, since store.Revision, _ clock.Millis) (store.Changes, error) {
			if ctx.Err() != nil {
				return store.Changes{}, ctx.Err()
			}
			f.ended()
			changes := store.Changes{Revision: from.at}
			for _, change := range from.changes {
				if since.Era == from.at.Era && since.Before(change.Object.Version) || change.Deleted {
					changes.Changes = append(changes.Changes, change)
				}
			}
			return changes, nil
		},
	}, append(opts, feed.WithClock(withoutPauses(fake)), feed.WithRestore(restore),
		feed.WithList(func(objects []store.Object, _ clock.Millis) {
			f.shown = make(map[string]string)
			for _, object := range objects {
				f.shown[object.Name] = string(object.Value)
			}
		}),
		feed.WithChanges(func(changes []store.Change) {
			for _, change := range changes {
				if f.shown[change.Object.Name] = string(change.Object.Value); change.Deleted {
					delete(f.shown, change.Object.Name)
				}
			}
		}))...)
	return f
}

// watchOnce reads the changes once.
func (f *follower) watchOnce(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f.ended = cancel
	f.Watch(ctx)
	cancel()
}

func (f *follower) String() string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(f.shown)) {
		all = append(all, name+"="+f.shown[name])
	}
	return strings.Join(all, " ")
}

// Guards against older objects that come back into force with the copy, and newer ones that don't
// come into force once they are written again.
func TestNewestObjectsStayInForceAfterARestore(t *testing.T) {
	for name, test := range map[string]struct {
		lost    func(s *copyStore)
		restore feed.Restore
		// after is what happens after the restore, shown the state right after it and then.
		after       func(s *copyStore)
		shown, then string
		// fromLists is the state then of a feed that reads only lists, if it differs.
		fromLists string
	}{
		"newer version": {
			lost: func(s *copyStore) { s.put("a", "3") }, after: func(s *copyStore) { s.put("a", "3") },
			shown: "a=3 b=1", then: "a=3 b=1",
		},
		"newer order of the writer": {
			lost: func(s *copyStore) { s.put("a", "3") }, after: func(s *copyStore) { s.put("a", "4") },
			shown: "a=3 b=1", then: "a=4 b=1",
		},
		"older version written again": {
			lost: func(s *copyStore) { s.put("a", "3") }, after: func(s *copyStore) { s.put("a", "1") },
			restore: feed.Restore{AlwaysNewer: true}, shown: "a=3 b=1", then: "a=3 b=1",
		},
		"created": {
			lost: func(s *copyStore) { s.put("c", "1") }, after: func(s *copyStore) { s.put("c", "1") },
			restore: feed.Restore{KeepMissing: 1000}, shown: "a=2 b=1 c=1", then: "a=2 b=1 c=1",
		},
		"created and deleted after the return": {
			lost: func(s *copyStore) { s.put("c", "1") }, after: func(s *copyStore) { s.put("c", "1"); s.remove("c") },
			restore: feed.Restore{KeepMissing: 1000}, shown: "a=2 b=1 c=1", then: "a=2 b=1", fromLists: "a=2 b=1 c=1",
		},
		"deleted": {
			lost: func(s *copyStore) { s.remove("b") }, after: func(s *copyStore) { s.remove("b") },
			restore: feed.Restore{HideDeleted: true}, shown: "a=2", then: "a=2",
		},
		"deleted and written again": {
			lost: func(s *copyStore) { s.remove("b") }, after: func(s *copyStore) { s.put("b", "1") },
			restore: feed.Restore{HideDeleted: true}, shown: "a=2", then: "a=2 b=1",
		},
		"deleted and created as before": {
			lost: func(s *copyStore) { s.remove("b"); s.put("b", "1") }, after: func(*copyStore) {},
			restore: feed.Restore{HideDeleted: true}, shown: "a=2 b=1", then: "a=2 b=1",
		},
		"nothing lost": {
			lost: func(*copyStore) {}, after: func(s *copyStore) { s.put("b", "2") },
			restore: feed.Restore{KeepMissing: 1000, HideDeleted: true}, shown: "a=2 b=1", then: "a=2 b=2",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCopyStore()
			s.put("a", "2")
			s.put("b", "1")
			f := newFollower(s, clock.NewFake(1), test.restore)
			f.ReadList(t.Context())
			lister := newFollower(s, clock.NewFake(1), test.restore)
			lister.ReadList(t.Context())
			from := s.copy()
			test.lost(s)
			f.watchOnce(t)
			lister.ReadList(t.Context())
			s.restore(from)
			lister.ReadList(t.Context())
			f.ReadList(t.Context())
			assert.Equal(t, f.String(), test.shown)
			f.ReadList(t.Context())
			assert.Equal(t, f.String(), test.shown, "read again")
			test.after(s)
			f.watchOnce(t)
			assert.Equal(t, f.String(), test.then)
			f.RequireList()
			f.ReadList(t.Context())
			assert.Equal(t, f.String(), test.then, "read again after the change")
			lister.ReadList(t.Context())
			assert.Equal(t, lister.String(), cmp.Or(test.fromLists, test.then), "read from lists only")
		})
	}
}

// Guards against an object that the store has lost for good and that stays in force, and against
// one that it restored and that stays hidden.
func TestLostAndHiddenObjectsExpire(t *testing.T) {
	s, fake := newCopyStore(), clock.NewFake(1)
	s.put("gone", "1")
	f := newFollower(s, fake, feed.Restore{KeepMissing: 1000, HideDeleted: true})
	f.ReadList(t.Context())
	from := s.copy()
	s.remove("gone")
	s.put("lost", "1")
	f.watchOnce(t)
	s.restore(from)
	f.ReadList(t.Context())
	f.Expire()
	assert.Equal(t, f.String(), "lost=1")
	assert.Assert(t, f.IsLost("lost"))
	fake.Advance(1000)
	f.Expire()
	assert.Equal(t, f.String(), "")
	fake.Advance(5 * clock.Second)
	f.Expire()
	assert.Equal(t, f.String(), "gone=1")
}

// Guards against a process that starts after the store was restored and takes the copy although
// another process knows what was lost, and against one that takes an older object from it.
func TestProcessThatStartsAfterARestoreTakesLostObjectsFromPeers(t *testing.T) {
	s, fake := newCopyStore(), clock.NewFake(1)
	s.put("a", "1")
	s.put("b", "1")
	policy := feed.Restore{KeepMissing: 1000}
	known := newFollower(s, fake, policy)
	known.ReadList(t.Context())
	from := s.copy()
	s.put("a", "3")
	s.put("b", "3")
	s.put("c", "3")
	known.watchOnce(t)
	s.restore(from)
	known.ReadList(t.Context())
	started := newFollower(s, fake, policy)
	started.ReadList(t.Context())
	assert.Equal(t, started.String(), "a=1 b=1")
	lost := known.Holds()
	s.put("b", "4")
	started.watchOnce(t)
	assert.Assert(t, !started.Apply(lost, 1))
	assert.Equal(t, started.String(), "a=3 b=4 c=3")
	assert.Equal(t, len(started.Holds().Objects), 2)
	other := newFollower(s, fake, policy)
	assert.Assert(t, !other.Apply(started.Snapshot(), 1))
	assert.Equal(t, other.String(), "a=3 b=4 c=3")
	fake.Advance(1000)
	other.Expire()
	assert.Equal(t, other.String(), "a=3 b=4")
}

// Guards against a process that serves by the copy because peers told it what the store has lost
// before it had read the list of that era.
func TestLostObjectsThatArriveBeforeTheListAreKept(t *testing.T) {
	for name, readBefore := range map[string]bool{"before the first list": false, "before the list of the era": true} {
		t.Run(name, func(t *testing.T) {
			s, fake := newCopyStore(), clock.NewFake(1)
			s.put("a", "1")
			known, started := newFollower(s, fake, feed.Restore{KeepMissing: 1000}), newFollower(s, fake, feed.Restore{KeepMissing: 1000})
			from := s.copy()
			if readBefore {
				started.ReadList(t.Context())
			}
			s.put("a", "3")
			s.put("b", "3")
			known.ReadList(t.Context())
			s.restore(from)
			known.ReadList(t.Context())
			assert.Assert(t, !started.Apply(known.Holds(), 1))
			started.ReadList(t.Context())
			assert.Equal(t, started.String(), "a=3 b=3")
			s.put("a", "4")
			started.watchOnce(t)
			assert.Equal(t, started.String(), "a=4 b=3")
		})
	}
}

// Guards against a process that forgets what one peer told it before it had read the list, because
// another one told it of other objects.
func TestLostObjectsOfSeveralPeersAreKept(t *testing.T) {
	s, fake := newCopyStore(), clock.NewFake(1)
	s.put("a", "1")
	restore := feed.Restore{KeepMissing: 1000}
	first, second, started := newFollower(s, fake, restore), newFollower(s, fake, restore), newFollower(s, fake, restore)
	from := s.copy()
	s.put("a", "3")
	s.put("b", "3")
	first.ReadList(t.Context())
	s.restore(from)
	first.ReadList(t.Context())
	assert.Assert(t, !second.Apply(first.Snapshot(), 1))
	for _, known := range []*follower{first, second} {
		told := known.Holds()
		told.Objects = slices.DeleteFunc(told.Objects, func(o wire.Stored) bool { return (o.Name == "a") != (known == first) })
		assert.Assert(t, !started.Apply(told, 1))
	}
	started.ReadList(t.Context())
	assert.Equal(t, started.String(), "a=3 b=3")
}

// Guards against a process that missed what its peers know and the store has lost, and keeps an older object
// that the store has lost, too.
func TestNewerLostObjectsReplaceOlderOnes(t *testing.T) {
	s, fake := newCopyStore(), clock.NewFake(1)
	s.put("a", "1")
	older, newer := newFollower(s, fake, feed.Restore{KeepMissing: 1000}), newFollower(s, fake, feed.Restore{KeepMissing: 1000})
	from := s.copy()
	s.put("a", "2")
	s.put("b", "2")
	older.ReadList(t.Context())
	s.put("a", "3")
	newer.ReadList(t.Context())
	s.restore(from)
	for _, f := range []*follower{older, newer} {
		f.ReadList(t.Context())
	}
	of := older.Holds()
	assert.Assert(t, !older.Apply(newer.Holds(), 1))
	assert.Assert(t, !newer.Apply(of, 1))
	assert.Equal(t, older.String(), "a=3 b=2")
	assert.Equal(t, newer.String(), "a=3 b=2")
	s.put("a", "4")
	older.watchOnce(t)
	assert.Equal(t, older.String(), "a=4 b=2")
}

// Guards against a lost object that its writer has withdrawn and that stays in force for as long as the store
// comes back from copies again and again.
func TestSeveralReturnsKeepALostObjectNoLongerThanOne(t *testing.T) {
	s, fake := newCopyStore(), clock.NewFake(1)
	s.put("b", "1")
	from := s.copy()
	s.put("a", "1")
	known := newFollower(s, fake, feed.Restore{KeepMissing: 1000})
	known.ReadList(t.Context())
	for range 3 {
		s.restore(from)
		known.ReadList(t.Context())
		assert.Equal(t, known.String(), "a=1 b=1")
		fake.Advance(400)
		known.Expire()
	}
	assert.Equal(t, known.String(), "b=1")
}

// Guards against an object that was deleted and comes back because a peer that missed that keeps it as lost.
func TestDeletedObjectsAreNotTakenFromPeers(t *testing.T) {
	for name, take := range map[string]func(to, from *follower) bool{
		"lost objects": func(to, from *follower) bool {
			to.ReadList(context.Background())
			return to.Apply(from.Holds(), 1)
		},
		"all objects": func(to, from *follower) bool { return to.Apply(from.Snapshot(), 1) },
	} {
		t.Run(name, func(t *testing.T) {
			s, fake := newCopyStore(), clock.NewFake(1)
			restore := feed.Restore{KeepMissing: 1000, HideDeleted: true}
			missed, saw := newFollower(s, fake, restore), newFollower(s, fake, restore)
			s.put("b", "1")
			from := s.copy()
			s.put("a", "1")
			missed.ReadList(t.Context())
			saw.ReadList(t.Context())
			s.remove("a")
			saw.watchOnce(t)
			s.restore(from)
			missed.ReadList(t.Context())
			assert.Equal(t, missed.String(), "a=1 b=1")
			assert.Assert(t, !take(saw, missed))
			assert.Equal(t, saw.String(), "b=1")
			assert.Equal(t, len(saw.Lost()), 0)
			fake.Advance(1000)
			missed.Expire()
			saw.Expire()
			assert.Equal(t, saw.String(), "b=1")
			assert.Equal(t, missed.String(), "b=1")
		})
	}
}

// Guards against lists that are sent to all processes although the store's era has risen without a
// loss.
func TestEraThatRisesWithoutALossIsRelayedWithoutObjects(t *testing.T) {
	s, fake := newCopyStore(), clock.NewFake(1)
	s.put("a", "1")
	s.put("b", "1")
	var sent []*wire.Update
	upstream := newFollower(s, fake, feed.Restore{}, feed.WithForward(func(u *wire.Update) { sent = append(sent, u) }))
	peer, behind := newFollower(s, fake, feed.Restore{}), newFollower(s, fake, feed.Restore{})
	upstream.ReadList(t.Context())
	assert.Assert(t, !behind.Apply(upstream.Snapshot(), 1))
	s.put("a", "2")
	upstream.watchOnce(t)
	assert.Assert(t, !peer.Apply(upstream.Snapshot(), 1))
	s.restore(s.copy())
	upstream.ReadList(t.Context())
	risen := sent[len(sent)-1]
	assert.Assert(t, !risen.Whole && len(risen.Objects) == 0, "%+v", risen)
	assert.Assert(t, !peer.Apply(risen, 1))
	assert.DeepEqual(t, peer.Progress(), upstream.Progress())
	assert.Assert(t, !peer.Confirm(upstream.Progress(), 1))
	assert.Equal(t, peer.Version("a"), store.Revision{Era: 2, Number: 13})
	assert.Equal(t, peer.String(), "a=2 b=1")
	assert.Assert(t, behind.Apply(risen, 1), "it lacks a change of the era before")
	assert.Equal(t, behind.String(), "a=1 b=1")
	from := s.copy()
	s.put("b", "2")
	upstream.watchOnce(t)
	s.restore(from)
	upstream.ReadList(t.Context())
	assert.Assert(t, sent[len(sent)-1].Whole, "a change was lost")
}

// Guards against a lost object that never comes in: one peer had said that the store lost it, and then
// another one, which didn't know it, that the era has risen without a loss.
func TestEraWithoutALossKeepsWhatAPeerHasSaid(t *testing.T) {
	s, fake := newCopyStore(), clock.NewFake(1)
	s.put("a", "1")
	var sent []*wire.Update
	policy := feed.Restore{KeepMissing: 1000}
	upstream := newFollower(s, fake, policy, feed.WithForward(func(u *wire.Update) { sent = append(sent, u) }))
	knows, behind := newFollower(s, fake, policy), newFollower(s, fake, policy)
	upstream.ReadList(t.Context())
	assert.Assert(t, !behind.Apply(upstream.Snapshot(), 1))
	from := s.copy()
	s.put("b", "1")
	knows.ReadList(t.Context())
	s.restore(from)
	knows.ReadList(t.Context())
	upstream.ReadList(t.Context())
	assert.Assert(t, !behind.Apply(knows.Holds(), 1))
	assert.Assert(t, behind.Apply(sent[len(sent)-1], 1), "a snapshot is needed")
	assert.Assert(t, !behind.Apply(upstream.Snapshot(), 1))
	assert.Equal(t, behind.String(), "a=1 b=1")
}

// Guards against a copy that a process takes from a peer of an earlier era, or of the version
// before, which knows no eras.
func TestMessagesOfAnEarlierEraChangeNothing(t *testing.T) {
	s, fake := newCopyStore(), clock.NewFake(1)
	s.put("a", "1")
	behind, ahead := newFollower(s, fake, feed.Restore{}), newFollower(s, fake, feed.Restore{})
	behind.ReadList(t.Context())
	from := s.copy()
	for range 100 {
		s.put("a", "2")
	}
	behind.ReadList(t.Context())
	s.restore(from)
	s.put("a", "5")
	ahead.ReadList(t.Context())
	before := ahead.Progress()
	older := behind.Snapshot()
	old := *older
	old.Era = 0
	for _, update := range []*wire.Update{older, &old} {
		ahead.Apply(update, 1000)
		assert.Assert(t, !ahead.Confirm(wire.Progress{Kind: "k", Era: update.Era, Revision: update.Revision, Changed: update.Changed}, 1000))
	}
	assert.Equal(t, ahead.String(), "a=5")
	assert.DeepEqual(t, ahead.Progress(), before)
	progress := ahead.Progress()
	assert.Assert(t, behind.Confirm(progress, 1), "changes of the new era are missing")
	behind.Apply(ahead.Snapshot(), 1)
	assert.Equal(t, behind.String(), "a=5")
	assert.Equal(t, behind.Progress().Era, uint64(2))
}

// Guards against calls without end to a store whose revisions went back without a new era: each
// watch is refused, and each list is older than the known state.
func TestOlderListsAreNotReadWithoutPauses(t *testing.T) {
	calls, fake := 0, clock.NewFake(1)
	ctx, cancel := context.WithCancel(t.Context())
	s := &store.Store{
		ScanFunc: func(context.Context, string) (store.Listing, error) {
			switch calls++; {
			case calls == 1:
				return store.Listing{Revision: store.At(50)}, nil
			case calls > 1000:
				cancel()
			}
			return store.Listing{Revision: store.At(20)}, nil
		},
		FollowFunc: func(context.Context, string, store.Revision, clock.Millis) (store.Changes, error) {
			calls++
			return store.Changes{}, &store.HistoryError{Kind: "k"}
		},
	}
	c := fake.Clock()
	c.AfterFunc = func(span clock.Millis) (<-chan struct{}, func()) {
		fake.Advance(span)
		if fake.Clock().Now() > 10*clock.Second {
			cancel()
		}
		done := make(chan struct{})
		close(done)
		return done, func() {}
	}
	feed.New("k", s, feed.WithClock(c)).Run(ctx)
	assert.Assert(t, calls < 50, "%d calls in 10 s", calls)
}
