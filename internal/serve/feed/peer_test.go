package feed_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// relayedFeed is a feed to which a peer relays changes, on a fake clock. It counts
// the feed's calls to the store.
type relayedFeed struct {
	*feed.Feed
	fake      *clock.Fake
	scans     atomic.Int64
	follows   atomic.Int64
	forwarded atomic.Int64
	*received
}

func newRelayedFeed(t *testing.T, opts ...feed.Option) *relayedFeed {
	t.Helper()
	p := &relayedFeed{fake: clock.NewFake(1), received: &received{}}
	s := &store.Store{
		ScanFunc: func(context.Context, string) (store.Listing, error) {
			p.scans.Add(1)
			return listed(5, "k/a")()
		},
		FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
			p.follows.Add(1)
			return blockUntilDone(ctx)
		},
	}
	p.Feed = feed.New("k", s, append(opts, feed.WithClock(p.fake.Clock()),
		feed.WithForward(func(*wire.Update) { p.forwarded.Add(1) }),
		feed.WithList(func(objects []store.Object, _ clock.Millis) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.lists = append(p.lists, len(objects))
		}),
		feed.WithChanges(func(changes []store.Change) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.changes += len(changes)
		}))...)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	p.waitFor(t, func(h *received) bool { return len(h.lists) == 1 })
	return p
}

func (p *relayedFeed) now() clock.Millis { return p.fake.Clock().Now() }

func (p *relayedFeed) confirm(t *testing.T) {
	t.Helper()
	assert.Assert(t, !p.Confirm(wire.Progress{Kind: "k", Revision: 5, Changed: 5}, p.now()))
}

func (p *relayedFeed) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%d scans, %d follows", p.scans.Load(), p.follows.Load())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func update(since, revision uint64, objects ...wire.Stored) *wire.Update {
	return &wire.Update{Kind: "k", Since: since, Revision: revision, Changed: revision, Objects: objects}
}

// Guards against a fleet in which each process calls the store, at a cost, for the
// same changes.
func TestRelayedChangesNeedNoStoreCall(t *testing.T) {
	p := newRelayedFeed(t)
	p.confirm(t)
	p.waitUntil(t, func() bool { return p.Relayed() })
	for range 30 {
		p.fake.Advance(500)
		p.confirm(t)
	}
	assert.Assert(t, !p.Apply(update(5, 7, wire.Stored{Name: "k/b", Version: 7}), p.now()))
	p.waitFor(t, func(h *received) bool { return h.changes == 1 })
	assert.Equal(t, p.LastChange(), store.At(7))
	assert.Equal(t, p.scans.Load(), int64(1))
	assert.Assert(t, p.follows.Load() <= 1, "%d", p.follows.Load())
	assert.Equal(t, p.forwarded.Load(), int64(2), "the list and the change are relayed")
}

// Guards against processes that follow the store through each other: each takes its own confirmation, which comes back from a
// peer, for that of a process that reads the store, and none reads it.
func TestOwnConfirmationFromAPeerReplacesNoCall(t *testing.T) {
	const self, other = 7, 8
	p := newRelayedFeed(t, feed.WithIncarnation(self))
	assert.Equal(t, p.Progress().By, token.Incarnation(self))
	assert.Assert(t, !p.Confirm(wire.Progress{Kind: "k", Revision: 5, Changed: 5, By: self}, p.now()))
	assert.Assert(t, !p.Relayed())
	p.fake.Advance(10)
	assert.Assert(t, !p.Confirm(wire.Progress{Kind: "k", Revision: 5, Changed: 5, By: other}, p.now()))
	assert.Assert(t, p.Relayed())
	assert.Equal(t, p.Progress().By, token.Incarnation(other))
}

// Guards against two processes that follow the store through each other and relay
// the same list back and forth.
func TestKnownListIsNotRelayed(t *testing.T) {
	p := newRelayedFeed(t)
	p.confirm(t)
	p.waitUntil(t, func() bool { return p.Relayed() && p.forwarded.Load() == 1 })
	whole := &wire.Update{Kind: "k", Revision: 5, Changed: 5, Whole: true, Objects: []wire.Stored{{Name: "k/a", Version: 5}}}
	for range 3 {
		assert.Assert(t, !p.Apply(whole, p.now()))
	}
	assert.Equal(t, p.forwarded.Load(), int64(1))
	assert.Equal(t, len(p.lists), 1)
	newer := *whole
	newer.Revision, newer.Changed = 6, 6
	assert.Assert(t, !p.Apply(&newer, p.now()))
	assert.Equal(t, p.forwarded.Load(), int64(1), "a list without a change")
	newer.Revision, newer.Changed, newer.Objects = 7, 7, []wire.Stored{{Name: "k/a", Version: 7}}
	assert.Assert(t, !p.Apply(&newer, p.now()))
	assert.Equal(t, p.forwarded.Load(), int64(2))
}

// Guards against a process that misses a change because the peer through which it
// follows the store is paused, unreachable or behind: after 1,400 ms it calls the
// store.
func TestStoreIsReadWhenThePeerStopsRelaying(t *testing.T) {
	p := newRelayedFeed(t)
	p.waitUntil(t, func() bool { return p.follows.Load() == 1 })
	p.confirm(t)
	p.waitUntil(t, func() bool { return p.fake.Pending() == 1 })
	p.fake.Advance(1300)
	assert.Equal(t, p.follows.Load(), int64(1))
	p.fake.Advance(200)
	p.waitUntil(t, func() bool { return p.follows.Load() == 2 })
	// A confirmation that is older than the maximum age.
	assert.Assert(t, !p.Confirm(wire.Progress{Kind: "k", Revision: 5, Changed: 5, Age: 3000}, p.now()))
	assert.Assert(t, !p.Relayed())
}

// Guards against a gap: if changes are applied although earlier ones never arrived,
// removed endpoints stay in use.
func TestMissingChangesAreDetected(t *testing.T) {
	p := newRelayedFeed(t)
	assert.Assert(t, p.Apply(update(6, 7, wire.Stored{Name: "k/b", Version: 7}), p.now()))
	assert.Assert(t, p.Confirm(wire.Progress{Kind: "k", Revision: 9, Changed: 7}, p.now()))
	assert.Assert(t, !p.Relayed(), "it continues to call the store itself")
	all := update(0, 9, wire.Stored{Name: "k/a", Version: 5}, wire.Stored{Name: "k/b", Version: 7})
	all.Whole = true
	assert.Assert(t, !p.Apply(all, p.now()))
	p.waitFor(t, func(h *received) bool { return len(h.lists) == 2 && h.lists[1] == 2 })
	assert.Assert(t, p.Relayed())
}

// Guards against a process that lacks a change for good: its peer had read that change before, left it
// out of the changes that it forwarded, and yet said that they were all.
func TestForwardedChangesAreComplete(t *testing.T) {
	changed := func(name string, revision uint64) wire.Stored { return wire.Stored{Name: name, Version: revision} }
	var sent []*wire.Update
	relay := feed.New("k", &store.Store{ScanFunc: func(context.Context, string) (store.Listing, error) {
		return store.Listing{Revision: store.At(8), Objects: []store.Object{{Name: "k/a", Version: store.At(8)}}}, nil
	}}, feed.WithForward(func(u *wire.Update) { sent = append(sent, u) }))
	relay.ReadList(t.Context())
	follower := feed.New("k", &store.Store{})
	whole := update(0, 7)
	whole.Whole = true
	assert.Assert(t, !follower.Apply(whole, 1))
	assert.Assert(t, !relay.Apply(update(7, 10, changed("k/a", 8), changed("k/b", 9)), 1))
	assert.Assert(t, follower.Apply(sent[len(sent)-1], 1), "the change of revision 8 is missing")
	assert.Equal(t, follower.Progress().Revision, uint64(7))
}

// Guards against a late message that reverts newer state: an older list, or changes
// that overlap with those read from the store.
func TestOlderMessagesAreIgnored(t *testing.T) {
	p := newRelayedFeed(t)
	p.Apply(update(5, 9, wire.Stored{Name: "k/b", Version: 6, Deleted: true}, wire.Stored{Name: "k/b", Version: 8}), p.now())
	old := update(0, 4)
	old.Whole = true
	p.Apply(old, p.now())
	p.Apply(update(5, 8, wire.Stored{Name: "k/b", Version: 6, Deleted: true}), p.now())
	// Overlaps: the deletion of the first b was applied before, that of a was not.
	p.Apply(update(5, 10, wire.Stored{Name: "k/b", Version: 6, Deleted: true}, wire.Stored{Name: "k/a", Version: 5, Deleted: true}), p.now())
	whole := p.Snapshot()
	assert.Equal(t, len(whole.Objects), 1)
	assert.Equal(t, whole.Objects[0].Version, uint64(8))
	assert.Equal(t, whole.Revision, uint64(10))
}

// Guards against a process that can't reach the store, and waits for its backoff
// although a peer relays changes.
func TestPeerEndsAnOutage(t *testing.T) {
	f, h := run(t, &script{
		scans:   []func() (store.Listing, error){listed(5, "k/a"), failedScan},
		follows: []func(context.Context) (store.Changes, error){func(context.Context) (store.Changes, error) { return store.Changes{}, unavailable() }},
	})
	h.waitFor(t, func(h *received) bool { return len(h.lists) == 1 })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Down() {
			return poll.Success()
		}
		return poll.Continue("the store is not down yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	began := time.Now()
	for f.Down() {
		f.Confirm(wire.Progress{Kind: "k", Revision: 6, Changed: 5}, clock.Millis(1<<40))
		assert.Assert(t, time.Since(began) < 5*time.Second)
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, f.Relayed())
}

// Guards against a copy that seems fresh because its age counts from the arrival of an
// answer: a slow store, or a paused process, delays answers by seconds.
func TestAgeCountsFromTheCall(t *testing.T) {
	const wait, delay = 500 * clock.Millis(1), 900 * clock.Millis(1)
	for name, answer := range map[string]struct {
		changes store.Changes
		age     clock.Millis
	}{
		"changes":    {changes: store.Changes{Revision: store.At(6), Changes: []store.Change{{Object: store.Object{Name: "k/b", Version: store.At(6)}}}}, age: delay},
		"no changes": {changes: store.Changes{Revision: store.At(6)}, age: delay - wait},
	} {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake(1)
			answered := make(chan struct{})
			first := true
			s := &store.Store{
				ScanFunc: func(context.Context, string) (store.Listing, error) { return listed(5, "k/a")() },
				FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
					if !first {
						close(answered)
						return blockUntilDone(ctx)
					}
					first = false
					fake.Advance(delay)
					return answer.changes, nil
				},
			}
			f := feed.New("k", s, feed.WithClock(fake.Clock()), feed.WithWait(func() clock.Millis { return wait }))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { f.Run(ctx); close(done) }()
			t.Cleanup(func() { cancel(); <-done })
			<-answered
			assert.Equal(t, f.Progress().Revision, uint64(6))
			assert.Equal(t, f.Progress().Age, answer.age)
		})
	}
	t.Run("list", func(t *testing.T) {
		fake := clock.NewFake(1)
		s := &store.Store{
			ScanFunc: func(context.Context, string) (store.Listing, error) {
				fake.Advance(delay)
				return listed(5, "k/a")()
			},
			FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
				return blockUntilDone(ctx)
			},
		}
		read := make(chan struct{})
		f := feed.New("k", s, feed.WithClock(fake.Clock()), feed.WithList(func([]store.Object, clock.Millis) { close(read) }))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		t.Cleanup(func() { cancel(); <-done })
		<-read
		assert.Equal(t, f.Progress().Age, delay)
	})
}

// Guards against a peer with an older state that makes this process's newer copy seem
// fresh.
func TestOlderStateDoesNotRenewTheAge(t *testing.T) {
	p := newRelayedFeed(t)
	p.confirm(t)
	assert.Assert(t, !p.Apply(update(5, 9, wire.Stored{Name: "k/b", Version: 9}), p.now()))
	p.fake.Advance(800)
	whole := update(0, 7)
	whole.Whole = true
	for name, relay := range map[string]func(){
		"list":         func() { p.Apply(whole, p.now()) },
		"changes":      func() { p.Apply(update(5, 7), p.now()) },
		"confirmation": func() { p.Confirm(wire.Progress{Kind: "k", Revision: 7, Changed: 5}, p.now()) },
	} {
		relay()
		assert.Equal(t, p.Progress().Age, 800*clock.Millis(1), name)
	}
}

// Guards against a version that comes late because a feed waits for a peer that shows newer
// changes and doesn't deliver them: the requests of this process don't reach the peer.
func TestStoreIsReadWhenThePeerDeliversNoChanges(t *testing.T) {
	p := newRelayedFeed(t)
	p.waitUntil(t, func() bool { return p.follows.Load() == 1 })
	p.confirm(t)
	p.waitUntil(t, func() bool { return p.Relayed() && p.fake.Pending() == 1 })
	for i := range 8 {
		p.fake.Advance(100)
		shownAt := p.now()
		assert.Assert(t, p.Confirm(wire.Progress{Kind: "k", Revision: 9, Changed: 9}, shownAt), "changes are missing")
		if i == 0 {
			p.waitUntil(t, func() bool { return p.fake.Next() == shownAt+700 })
		}
	}
	p.waitUntil(t, func() bool { return p.follows.Load() == 2 })
	assert.Assert(t, p.Progress().Age < 1400, "long before the maximum age")
}

// Guards against a second copy of a large list that is read from the store while a peer
// transfers the first one.
func TestStoreIsNotReadWhileAPeerDelivers(t *testing.T) {
	p := newRelayedFeed(t)
	p.waitUntil(t, func() bool { return p.follows.Load() == 1 })
	p.confirm(t)
	p.waitUntil(t, func() bool { return p.Relayed() && p.fake.Pending() == 1 })
	for range 12 {
		p.fake.Advance(100)
		p.Expect()
		assert.Assert(t, p.Confirm(wire.Progress{Kind: "k", Revision: 9, Changed: 9}, p.now()), "changes are missing")
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, p.follows.Load(), int64(1))
}

// Guards against a process that denies nothing any more because a peer has claimed a state that the
// store doesn't have.
func TestAnswerOfTheStoreRefutesTheClaimOfAPeer(t *testing.T) {
	fake, answers := clock.NewFake(1), make(chan store.Changes)
	s := &store.Store{
		ScanFunc: func(context.Context, string) (store.Listing, error) { return listed(5, "k/a")() },
		FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
			select {
			case changes := <-answers:
				return changes, nil
			case <-ctx.Done():
				return store.Changes{}, ctx.Err()
			}
		},
	}
	f := feed.New("k", s, feed.WithClock(fake.Clock()))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Listed() {
			return poll.Success()
		}
		return poll.Continue("not listed")
	})
	fake.Advance(100)
	assert.Assert(t, f.Confirm(wire.Progress{Kind: "k", Revision: 9, Changed: 9}, fake.Clock().Now()))
	assert.Assert(t, f.Behind())
	answers <- store.Changes{Revision: store.At(5)} // of a call that was sent before the claim
	answers <- store.Changes{Revision: store.At(5)}
	fake.Advance(1)
	answers <- store.Changes{Revision: store.At(5)}
	answers <- store.Changes{Revision: store.At(5)}
	assert.Assert(t, !f.Behind())
}
