package feed_test

import (
	"context"
	"errors"
	"sync"
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

// script answers the calls of a feed in order; the last answer of each list is
// repeated.
type script struct {
	mu      sync.Mutex
	scans   []func() (store.Listing, error)
	follows []func(context.Context) (store.Changes, error)
}

func next[T any](s *script, list *[]T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := (*list)[0]
	if len(*list) > 1 {
		*list = (*list)[1:]
	}
	return first
}

func (s *script) store() *store.Store {
	return &store.Store{
		ScanFunc: func(context.Context, string) (store.Listing, error) { return next(s, &s.scans)() },
		FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
			return next(s, &s.follows)(ctx)
		},
	}
}

func listed(revision uint64, names ...string) func() (store.Listing, error) {
	return func() (store.Listing, error) {
		l := store.Listing{Revision: store.At(revision)}
		for _, name := range names {
			l.Objects = append(l.Objects, store.Object{Name: name, Version: store.At(revision)})
		}
		return l, nil
	}
}

func unavailable() error { return &store.UnavailableError{Name: "k", Cause: errors.New("refused")} }

func failedScan() (store.Listing, error) { return store.Listing{}, unavailable() }

func blockUntilDone(ctx context.Context) (store.Changes, error) {
	<-ctx.Done()
	return store.Changes{}, ctx.Err()
}

// received collects the calls of a feed's handlers.
type received struct {
	mu      sync.Mutex
	lists   []int
	outages []clock.Millis
	changes int
}

func run(t *testing.T, s *script) (*feed.Feed, *received) {
	t.Helper()
	h := &received{}
	f := feed.New("k", s.store(), feed.WithList(func(objects []store.Object, outage clock.Millis) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lists = append(h.lists, len(objects))
		h.outages = append(h.outages, outage)
	}), feed.WithChanges(func(changes []store.Change) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.changes += len(changes)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, h
}

func (h *received) waitFor(t *testing.T, condition func(*received) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		if condition(h) {
			return poll.Success()
		}
		return poll.Continue("lists %v, %d changes", h.lists, h.changes)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func TestListThenChanges(t *testing.T) {
	one := func(context.Context) (store.Changes, error) {
		return store.Changes{Revision: store.At(9), Changes: []store.Change{{Object: store.Object{Name: "k/b"}}}}, nil
	}
	f, h := run(t, &script{scans: []func() (store.Listing, error){listed(5, "k/a")}, follows: []func(context.Context) (store.Changes, error){one, blockUntilDone}})
	h.waitFor(t, func(h *received) bool { return len(h.lists) == 1 && h.changes == 1 })
	assert.Equal(t, f.LastChange(), store.At(9))
}

// Guards against a list after an outage that comes without the duration of the
// outage: entries may expire during it although their writers still run.
func TestListReportsOutageDuration(t *testing.T) {
	_, h := run(t, &script{
		scans:   []func() (store.Listing, error){failedScan, failedScan, listed(5, "k/a")},
		follows: []func(context.Context) (store.Changes, error){blockUntilDone},
	})
	h.waitFor(t, func(h *received) bool { return len(h.lists) == 1 && h.outages[0] >= 50 })
}

// Guards against missed changes: a feed reads the complete list again after dropped
// history, a watch without a reply, a failed call, and a request.
func TestListIsReadAgain(t *testing.T) {
	for name, follow := range map[string]func(context.Context) (store.Changes, error){
		"history dropped": func(context.Context) (store.Changes, error) { return store.Changes{}, &store.HistoryError{Kind: "k"} },
		"silent":          func(context.Context) (store.Changes, error) { return store.Changes{}, context.DeadlineExceeded },
		"failure":         func(context.Context) (store.Changes, error) { return store.Changes{}, unavailable() },
	} {
		t.Run(name, func(t *testing.T) {
			_, h := run(t, &script{
				scans: []func() (store.Listing, error){listed(5, "k/a"), listed(8, "k/a", "k/b")}, follows: []func(context.Context) (store.Changes, error){follow, blockUntilDone},
			})
			h.waitFor(t, func(h *received) bool { return len(h.lists) == 2 && h.lists[1] == 2 })
		})
	}
	t.Run("list requested", func(t *testing.T) {
		f, h := run(t, &script{
			scans: []func() (store.Listing, error){listed(5, "k/a"), listed(8, "k/a", "k/b")}, follows: []func(context.Context) (store.Changes, error){blockUntilDone},
		})
		h.waitFor(t, func(h *received) bool { return len(h.lists) == 1 })
		// A peer with a newer state is no reason to read the list: the watch may be about
		// to return the same changes.
		assert.Assert(t, f.Confirm(wire.Progress{Kind: "k", Revision: 7, Changed: 7}, 1))
		time.Sleep(20 * time.Millisecond)
		h.waitFor(t, func(h *received) bool { return len(h.lists) == 1 })
		f.RequestList()
		h.waitFor(t, func(h *received) bool { return len(h.lists) == 2 })
		assert.Assert(t, !f.Confirm(wire.Progress{Kind: "k", Revision: 8, Changed: 8}, 1))
	})
}

// Guards against calls of all feeds of a process during an outage of the store:
// only one feed calls it, and once that gets an answer, all others continue.
func TestOneFeedProbesDuringAnOutage(t *testing.T) {
	var storeDown atomic.Bool
	storeDown.Store(true)
	var calls atomic.Int64
	outage := feed.NewOutage()
	const kinds = 4
	done := make(chan struct{}, kinds)
	lists := make(chan struct{}, kinds)
	fake := clock.NewFake(1)
	ctx, cancel := context.WithCancel(t.Context())
	for range kinds {
		s := &store.Store{
			ScanFunc: func(context.Context, string) (store.Listing, error) {
				if storeDown.Load() {
					calls.Add(1)
					return store.Listing{}, unavailable()
				}
				return store.Listing{Revision: store.At(1)}, nil
			},
			FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
				return blockUntilDone(ctx)
			},
		}
		f := feed.New("k", s, feed.WithClock(fake.Clock()), feed.WithOutage(outage),
			feed.WithList(func([]store.Object, clock.Millis) { lists <- struct{}{} }))
		go func() { f.Run(ctx); done <- struct{}{} }()
	}
	advance := func(duration clock.Millis) {
		for range duration / 10 {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if fake.Pending() >= kinds {
					return poll.Success()
				}
				return poll.Continue("%d feeds wait", fake.Pending())
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
			fake.Advance(10)
		}
	}
	advance(1200)
	assert.Assert(t, calls.Load() >= kinds && calls.Load() <= 2*kinds+4, "%d calls", calls.Load())
	storeDown.Store(false)
	for range 200 {
		fake.Advance(10)
		if len(lists) == kinds {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, len(lists), kinds)
	cancel()
	for range kinds {
		<-done
	}
}

// Guards against a large list that is read twice because peers with a newer state request
// it again while its answer is arriving.
func TestListRequestedDuringAReadIsReadOnce(t *testing.T) {
	began, answer := make(chan struct{}), make(chan struct{})
	var reads atomic.Int64
	f, h := run(t, &script{
		scans: []func() (store.Listing, error){func() (store.Listing, error) {
			if reads.Add(1) == 1 {
				close(began)
				<-answer
			}
			return listed(5, "k/a")()
		}},
		follows: []func(context.Context) (store.Changes, error){blockUntilDone},
	})
	<-began
	for range 3 {
		f.RequestList()
	}
	close(answer)
	h.waitFor(t, func(h *received) bool { return len(h.lists) == 1 })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, reads.Load(), int64(1))
}

// Guards against a version that comes late because a process sleeps after failed calls,
// up to 6 s in large fleets, although a peer shows that the store answers again.
func TestNewerStateAtAPeerShortensThePauseAfterAFailure(t *testing.T) {
	const longBackoff = clock.Minute
	fake := clock.NewFake(1)
	var calls atomic.Int64
	s := &store.Store{ScanFunc: func(context.Context, string) (store.Listing, error) {
		calls.Add(1)
		return failedScan()
	}}
	f := feed.New("k", s, feed.WithClock(fake.Clock()), feed.WithBackoff(func() clock.Millis { return longBackoff }))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	waitFor := func(condition func() bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if condition() {
				return poll.Success()
			}
			return poll.Continue("%d calls", calls.Load())
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	for failures := int64(1); failures < 14; failures++ {
		waitFor(func() bool { return calls.Load() == failures && fake.Pending() == 1 })
		if failures < 13 {
			fake.Advance(3 * longBackoff / 2)
		}
	}
	f.RequestList()
	failedAt := fake.Clock().Now()
	waitFor(func() bool {
		fake.Advance(10)
		return calls.Load() == 14 || fake.Clock().Since(failedAt) > 10*clock.Second
	})
	assert.Assert(t, fake.Clock().Since(failedAt) < 3*clock.Second, "called after %d ms", fake.Clock().Since(failedAt))
}

// Guards against a requested list that is forgotten, or read only later, while the feed waits for a
// peer to relay changes.
func TestListRequestedDuringTheGraceIsRead(t *testing.T) {
	const grace = 600 * clock.Millis(1)
	fake := clock.NewFake(1)
	var lists, watches atomic.Int64
	s := &store.Store{
		ScanFunc: func(context.Context, string) (store.Listing, error) { lists.Add(1); return listed(5, "k/a")() },
		FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
			watches.Add(1)
			return blockUntilDone(ctx)
		},
	}
	f := feed.New("k", s, feed.WithClock(fake.Clock()), feed.WithPeerWait(func() clock.Millis { return grace }, func(string) clock.Millis { return 0 }))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	waitFor := func(condition func() bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if condition() {
				return poll.Success()
			}
			return poll.Continue("%d lists, %d watches, %d timers", lists.Load(), watches.Load(), fake.Pending())
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	waitFor(func() bool { return lists.Load() == 1 && fake.Pending() == 1 })
	f.RequestList()
	waitFor(func() bool { return lists.Load() == 2 })
}

// Guards against a store that counts as reachable although it answers no call, and against one that counts as away while
// it transfers a long list.
func TestStoreThatAnswersNoCallIsOverdue(t *testing.T) {
	const wait = 20
	var now atomic.Int64
	now.Store(1)
	var f *feed.Feed
	var atLists []clock.Millis
	list := func() (store.Listing, error) {
		now.Add(300)
		atLists = append(atLists, f.OverdueFor())
		return listed(1, "k/a")()
	}
	again, ended := make(chan struct{}), make(chan struct{})
	s := &script{
		scans: []func() (store.Listing, error){list, list},
		follows: []func(context.Context) (store.Changes, error){
			func(context.Context) (store.Changes, error) {
				now.Add(2 * wait)
				return store.Changes{}, context.DeadlineExceeded
			},
			func(ctx context.Context) (store.Changes, error) {
				close(again)
				return blockUntilDone(ctx)
			},
		},
	}
	f = feed.New("k", s.store(), feed.WithWait(func() clock.Millis { return wait }), feed.WithClock(clock.New(clock.WithNow(func() clock.Millis { return clock.Millis(now.Load()) }))))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	<-again
	cancel()
	<-ended
	assert.DeepEqual(t, atLists, []clock.Millis{0, wait + 300})
}
