package feed_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

const long = 1 << 20

// Guards against a transfer that is given up and begun again as a list while it is under way.
func TestArrivingChangesAreNotAbandonedForTheList(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	s := &script{
		scans: []func() (store.Listing, error){listed(1, "k/a")},
		follows: []func(context.Context) (store.Changes, error){
			func(ctx context.Context) (store.Changes, error) {
				store.ReportProgress(ctx, store.Progress{Received: 1, Total: 100})
				close(begun)
				select {
				case <-finish:
				case <-ctx.Done():
					return store.Changes{}, ctx.Err()
				}
				return store.Changes{Revision: store.At(2), Changes: []store.Change{{Object: store.Object{Name: "k/b", Version: store.At(2)}}}}, nil
			},
			blockUntilDone,
		},
	}
	f, h := run(t, s)
	<-begun
	f.RequestList()
	time.AfterFunc(300*time.Millisecond, func() { close(finish) }) // longer than the feed waits for an answer to begin
	h.waitFor(t, func(h *received) bool { return h.changes == 1 })
	assert.Equal(t, len(h.lists), 1)
}

// Guards against several versions of an object that are transferred although the list holds only the newest one.
func TestChangesLongerThanTheListAreReplacedByIt(t *testing.T) {
	for name, answer := range map[string]store.Progress{
		"length stated": {Received: 1, Total: long}, "length not stated": {Received: long, Total: -1},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{
				scans: []func() (store.Listing, error){listed(1, "k/a"), listed(9, "k/a", "k/b")},
				follows: []func(context.Context) (store.Changes, error){
					func(ctx context.Context) (store.Changes, error) {
						store.ReportProgress(ctx, answer)
						return blockUntilDone(ctx)
					},
					blockUntilDone,
				},
			}
			_, h := run(t, s)
			h.waitFor(t, func(h *received) bool { return len(h.lists) >= 2 && h.lists[1] == 2 })
		})
	}
}

// Guards against a version that is transferred twice because it is longer than the one before: the call has waited for it, so that
// the answer holds no other one.
func TestLongVersionThatWasAwaitedIsReadToItsEnd(t *testing.T) {
	fake := clock.NewFake(1)
	var scans atomic.Int64
	read := make(chan struct{})
	answers := []func(ctx context.Context) (store.Changes, error){
		func(ctx context.Context) (store.Changes, error) {
			fake.Advance(150)
			store.ReportProgress(ctx, store.Progress{Received: 1, Total: -1})
			store.ReportProgress(ctx, store.Progress{Received: long, Total: -1})
			select {
			case <-ctx.Done():
				return store.Changes{}, ctx.Err()
			case <-time.After(50 * time.Millisecond): // a call that is given up ends at once
				return largeChange(6), nil
			}
		},
		func(ctx context.Context) (store.Changes, error) {
			close(read)
			return blockUntilDone(ctx)
		},
	}
	s := &store.Store{
		ScanFunc: func(context.Context, string) (store.Listing, error) {
			scans.Add(1)
			return listed(5, "config/main")()
		},
		FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
			next := answers[0]
			answers = answers[1:]
			return next(ctx)
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	f := feed.New("config", s, feed.WithClock(fake.Clock()), feed.WithOneObject())
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	<-read
	cancel()
	<-ended
	assert.Equal(t, scans.Load(), int64(1))
	assert.Equal(t, f.Progress().Changed, uint64(6))
}

// Guards against a slow reader that gives up a long answer after each list, while one version follows the other.
func TestListsAreReadUntilOneBringsNothingNew(t *testing.T) {
	s := &script{
		scans: []func() (store.Listing, error){listed(1, "k/a"), listed(5, "k/a"), listed(9, "k/a"), listed(9, "k/a")},
		follows: []func(context.Context) (store.Changes, error){
			func(ctx context.Context) (store.Changes, error) {
				store.ReportProgress(ctx, store.Progress{Received: 1, Total: long})
				return blockUntilDone(ctx)
			},
			func(context.Context) (store.Changes, error) {
				return store.Changes{Revision: store.At(10), Changes: []store.Change{{Object: store.Object{Name: "k/a", Version: store.At(10)}}}}, nil
			},
			blockUntilDone,
		},
	}
	var scans atomic.Int64
	for i, scan := range s.scans {
		s.scans[i] = func() (store.Listing, error) { scans.Add(1); return scan() }
	}
	_, h := run(t, s)
	h.waitFor(t, func(h *received) bool { return h.changes == 1 })
	assert.Equal(t, scans.Load(), int64(4))
	assert.Equal(t, len(h.lists), 3, "the last list brings nothing new")
}

// Guards against whole lists that are read from the store although a peer relays changes.
func TestNoFurtherListIsReadOnceAPeerRelaysChanges(t *testing.T) {
	feeds, more := make(chan *feed.Feed, 1), make(chan struct{}, 1)
	s := &script{
		scans: []func() (store.Listing, error){
			listed(1, "k/a"),
			func() (store.Listing, error) {
				f := <-feeds
				f.Confirm(wire.Progress{Kind: "k", Revision: 1, Changed: 1}, clock.New().Now())
				return listed(5, "k/a")()
			},
			func() (store.Listing, error) {
				more <- struct{}{}
				return listed(5, "k/a")()
			},
		},
		follows: []func(context.Context) (store.Changes, error){
			func(ctx context.Context) (store.Changes, error) {
				store.ReportProgress(ctx, store.Progress{Received: 1, Total: long})
				return blockUntilDone(ctx)
			},
			blockUntilDone,
		},
	}
	f, h := run(t, s)
	feeds <- f
	h.waitFor(t, func(h *received) bool { return len(h.lists) == 2 })
	select {
	case <-more:
		t.Error("a third list was read")
	case <-time.After(200 * time.Millisecond): // a feed without a relay reads it at once
	}
}

// Guards against a slow transfer that counts as a store that doesn't answer, and against one that never does.
func TestOnlyAnAnswerThatDoesNotArriveIsOverdue(t *testing.T) {
	const wait = 20
	var now atomic.Int64
	now.Store(1)
	var f *feed.Feed
	var overdue []clock.Millis
	judged, ended := make(chan struct{}), make(chan struct{})
	s := &script{
		scans: []func() (store.Listing, error){listed(1, "k/a")},
		follows: []func(context.Context) (store.Changes, error){
			func(ctx context.Context) (store.Changes, error) {
				now.Add(3 * wait)
				overdue = append(overdue, f.OverdueFor())
				store.ReportProgress(ctx, store.Progress{Received: 1, Total: 100})
				overdue = append(overdue, f.OverdueFor())
				now.Add(wait)
				overdue = append(overdue, f.OverdueFor())
				close(judged)
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
	<-judged
	cancel()
	<-ended
	assert.DeepEqual(t, overdue, []clock.Millis{2 * wait, 0, wait})
}

// Guards against versions on a slow link that come late by two transfers: while one follows the other, a watch brings all that were
// written during the transfer before, and is given up for the list.
func TestVersionsThatFollowEachOtherAreReadByTheList(t *testing.T) {
	const slow, fast = 300, 30
	for name, test := range map[string]struct {
		took, between clock.Millis
		// answers is what the calls bring, by their order: the version of a list or a watch.
		lists, watches []uint64
		calls          string
	}{
		"slow, in succession":   {slow, slow, []uint64{5, 8, 8}, []uint64{6, 7}, "list watch watch list list watch"},
		"after a slow list":     {slow, 100, []uint64{5, 8, 8, 10, 10}, []uint64{6, 7, 9}, "list watch watch list list watch list list watch"},
		"fast, in succession":   {fast, slow, []uint64{5}, []uint64{6, 7, 8}, "list watch watch watch watch"},
		"slow, but far between": {slow, 3 * slow, []uint64{5}, []uint64{6, 7, 8}, "list watch watch watch watch"},
	} {
		t.Run(name, func(t *testing.T) {
			fake, calls := clock.NewFake(1), []string(nil)
			transfer := func(ctx context.Context, call string) {
				calls = append(calls, call)
				fake.Advance(test.between)
				store.ReportProgress(ctx, store.Progress{Received: 1, Total: 100})
				fake.Advance(test.took)
			}
			done := make(chan struct{})
			s := &store.Store{
				ScanFunc: func(ctx context.Context, _ string) (store.Listing, error) {
					transfer(ctx, "list")
					version := test.lists[0]
					test.lists = test.lists[1:]
					return listed(version, "config/main")()
				},
				FollowFunc: func(ctx context.Context, _ string, _ store.Revision, _ clock.Millis) (store.Changes, error) {
					if len(test.watches) == 0 {
						calls = append(calls, "watch")
						close(done)
						return blockUntilDone(ctx)
					}
					transfer(ctx, "watch")
					answer := largeChange(test.watches[0])
					answer.Partial, test.watches = true, test.watches[1:]
					return answer, nil
				},
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			f := feed.New("config", s, feed.WithClock(fake.Clock()), feed.WithOneObject())
			go func() {
				defer close(ended)
				f.Run(ctx)
			}()
			<-done
			cancel()
			<-ended
			assert.Equal(t, strings.Join(calls, " "), test.calls)
		})
	}
}
