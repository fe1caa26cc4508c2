package feed_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// passing is a feed that a peer relays changes to, on a fake clock, and the
// calls that it makes to the store.
type passing struct {
	*feed.Feed
	fake    *clock.Fake
	scans   atomic.Int64
	follows atomic.Int64
	passed  atomic.Int64
	*heard
}

func newPassing(t *testing.T) *passing {
	t.Helper()
	p := &passing{fake: clock.NewFake(1), heard: &heard{}}
	s := &store.Store{
		ScanFunc: func(context.Context, string) (store.Listing, error) {
			p.scans.Add(1)
			return listed(5, "k/a")()
		},
		FollowFunc: func(ctx context.Context, _ string, _ uint64, _ clock.Millis) (store.Changes, error) {
			p.follows.Add(1)
			return waits(ctx)
		},
	}
	p.Feed = feed.New("k", s, feed.WithClock(p.fake.Clock()),
		feed.WithForward(func(*wire.Update) { p.passed.Add(1) }),
		feed.WithList(func(objects []store.Object, _ clock.Millis) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.lists = append(p.lists, len(objects))
		}),
		feed.WithChanges(func(changes []store.Change) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.changes += len(changes)
		}))
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
	p.until(t, func(h *heard) bool { return len(h.lists) == 1 })
	return p
}

func (p *passing) now() clock.Millis { return p.fake.Clock().Now() }

func (p *passing) confirm(t *testing.T) {
	t.Helper()
	assert.Assert(t, !p.Confirm(wire.Progress{Kind: "k", Revision: 5, Changed: 5}, p.now()))
}

func (p *passing) await(t *testing.T, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%d scans, %d follows", p.scans.Load(), p.follows.Load())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func update(since, revision uint64, objects ...wire.Stored) *wire.Update {
	return &wire.Update{Kind: "k", Since: since, Revision: revision, Changed: revision, Objects: objects}
}

// Guards against a fleet in which each process pays for the same changes.
func TestChangesOfAPeerNeedNoCall(t *testing.T) {
	p := newPassing(t)
	p.confirm(t)
	p.await(t, func() bool { return p.Relayed() })
	for range 30 {
		p.fake.Advance(500)
		p.confirm(t)
	}
	assert.Assert(t, !p.Take(update(5, 7, wire.Stored{Name: "k/b", Version: 7}), p.now()))
	p.until(t, func(h *heard) bool { return h.changes == 1 })
	assert.Equal(t, p.Changed(), uint64(7))
	assert.Equal(t, p.scans.Load(), int64(1))
	assert.Assert(t, p.follows.Load() <= 1, "%d", p.follows.Load())
	assert.Equal(t, p.passed.Load(), int64(2), "the list and the change are relayed")
}

// Guards against two processes that follow the store through each other and relay one
// list to and fro: nothing in it is new.
func TestListThatIsKnownIsNotRelayed(t *testing.T) {
	p := newPassing(t)
	p.confirm(t)
	p.await(t, func() bool { return p.Relayed() && p.passed.Load() == 1 })
	whole := &wire.Update{Kind: "k", Revision: 5, Changed: 5, Whole: true, Objects: []wire.Stored{{Name: "k/a", Version: 5}}}
	for range 3 {
		assert.Assert(t, !p.Take(whole, p.now()))
	}
	assert.Equal(t, p.passed.Load(), int64(1))
	assert.Equal(t, len(p.lists), 1)
	newer := *whole
	newer.Revision, newer.Changed = 6, 6
	assert.Assert(t, !p.Take(&newer, p.now()))
	assert.Equal(t, p.passed.Load(), int64(2))
}

// Guards against a process that misses a change because the peer it follows the
// store through is paused, cut off or behind: after 1,400 ms it asks the store.
func TestStoreIsAskedOnceThePeerIsSilent(t *testing.T) {
	p := newPassing(t)
	p.await(t, func() bool { return p.follows.Load() == 1 })
	p.confirm(t)
	p.await(t, func() bool { return p.fake.Waiting() == 1 })
	p.fake.Advance(1300)
	assert.Equal(t, p.follows.Load(), int64(1))
	p.fake.Advance(200)
	p.await(t, func() bool { return p.follows.Load() == 2 })
	// Confirmed again, but as of long ago.
	assert.Assert(t, !p.Confirm(wire.Progress{Kind: "k", Revision: 5, Changed: 5, Age: 3000}, p.now()))
	assert.Assert(t, !p.Relayed())
}

// Guards against a gap: changes that follow on others which never arrived would
// leave endpoints in use that are gone.
func TestMissingChangesAreNoticed(t *testing.T) {
	p := newPassing(t)
	assert.Assert(t, p.Take(update(6, 7, wire.Stored{Name: "k/b", Version: 7}), p.now()))
	assert.Assert(t, p.Confirm(wire.Progress{Kind: "k", Revision: 9, Changed: 7}, p.now()))
	assert.Assert(t, !p.Relayed(), "it goes on asking the store itself")
	all := update(0, 9, wire.Stored{Name: "k/a", Version: 5}, wire.Stored{Name: "k/b", Version: 7})
	all.Whole = true
	assert.Assert(t, !p.Take(all, p.now()))
	p.until(t, func(h *heard) bool { return len(h.lists) == 2 && h.lists[1] == 2 })
	assert.Assert(t, p.Relayed())
}

// Guards against a late message that undoes what is known: an older list, or
// changes that overlap with those read another way.
func TestOlderMessagesChangeNothing(t *testing.T) {
	p := newPassing(t)
	p.Take(update(5, 9, wire.Stored{Name: "k/b", Version: 6, Deleted: true}, wire.Stored{Name: "k/b", Version: 8}), p.now())
	old := update(0, 4)
	old.Whole = true
	p.Take(old, p.now())
	p.Take(update(5, 8, wire.Stored{Name: "k/b", Version: 6, Deleted: true}), p.now())
	// Overlaps: the end of the first b is known, that of a is not.
	p.Take(update(5, 10, wire.Stored{Name: "k/b", Version: 6, Deleted: true}, wire.Stored{Name: "k/a", Version: 5, Deleted: true}), p.now())
	whole := p.Whole()
	assert.Equal(t, len(whole.Objects), 1)
	assert.Equal(t, whole.Objects[0].Version, uint64(8))
	assert.Equal(t, whole.Revision, uint64(10))
}

// Guards against a process that has lost the store but not its peers, and waits
// in its backoff while they know.
func TestPeerEndsAnOutage(t *testing.T) {
	f, h := run(t, &script{
		scans:   []func() (store.Listing, error){listed(5, "k/a"), failedScan},
		follows: []func(context.Context) (store.Changes, error){func(context.Context) (store.Changes, error) { return store.Changes{}, unavailable() }},
	})
	h.until(t, func(h *heard) bool { return len(h.lists) == 1 })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Down() {
			return poll.Success()
		}
		return poll.Continue("the store is there")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	began := time.Now()
	for f.Down() {
		f.Confirm(wire.Progress{Kind: "k", Revision: 6, Changed: 5}, clock.Millis(1<<40))
		assert.Assert(t, time.Since(began) < 5*time.Second)
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, f.Relayed())
}
