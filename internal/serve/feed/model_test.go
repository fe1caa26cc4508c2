package feed_test

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// modelStore is a linearizable store of one kind on a fake clock. A call takes time, and
// shows the state of one instant between its start and its end.
type modelStore struct {
	t    *rapid.T
	fake *clock.Fake
	// writes holds the changes of the kind in order.
	writes   []modelWrite
	revision uint64
	// olderThan makes lists show a state before a revision, as a faulty replica does; 0 is
	// no fault.
	olderThan uint64
	// endWatch ends the watch after one answer.
	endWatch context.CancelFunc
}

type modelWrite struct {
	revision uint64
	at       clock.Millis
}

func (s *modelStore) write() {
	s.revision++
	s.writes = append(s.writes, modelWrite{revision: s.revision, at: s.fake.Clock().Now()})
}

// pass lets time pass, with changes of this kind and of others.
func (s *modelStore) pass(label string) {
	for range rapid.IntRange(0, 3).Draw(s.t, label) {
		s.fake.Advance(clock.Millis(rapid.IntRange(1, 400).Draw(s.t, "ms")))
		if rapid.Bool().Draw(s.t, "of this kind") {
			s.write()
		} else {
			s.revision++
		}
	}
}

// transit lets a message be on its way and returns the time that the receiving session
// reports, which is never shorter.
func (s *modelStore) transit() clock.Millis {
	sentAt := s.fake.Clock().Now()
	s.pass("while the message is on its way")
	return s.fake.Clock().Since(sentAt) + clock.Millis(rapid.IntRange(0, 50).Draw(s.t, "overestimated by"))
}

func (s *modelStore) objects(upTo uint64) []store.Object {
	var all []store.Object
	for _, w := range s.writes {
		if w.revision <= upTo {
			all = append(all, store.Object{Name: fmt.Sprint("k/", w.revision), Version: w.revision})
		}
	}
	return all
}

func (s *modelStore) scan(context.Context, string) (store.Listing, error) {
	s.pass("before the list is read")
	shown := s.revision
	if s.olderThan > 0 {
		shown = s.olderThan - uint64(rapid.IntRange(1, 3).Draw(s.t, "older by"))
	}
	listing := store.Listing{Revision: shown, Objects: s.objects(shown)}
	s.pass("before the list arrives")
	return listing, nil
}

func (s *modelStore) follow(ctx context.Context, _ string, since uint64, wait clock.Millis) (store.Changes, error) {
	if ctx.Err() != nil {
		return store.Changes{}, ctx.Err()
	}
	began := s.fake.Clock().Now()
	s.pass("before the changes are read")
	var changes store.Changes
	for _, w := range s.writes {
		if w.revision > since {
			changes.Changes = append(changes.Changes, store.Change{Object: store.Object{Name: fmt.Sprint("k/", w.revision), Version: w.revision}})
		}
	}
	if left := began + wait - s.fake.Clock().Now(); len(changes.Changes) == 0 && left > 0 {
		s.fake.Advance(left)
	}
	changes.Revision = s.revision
	s.pass("before the changes arrive")
	s.endWatch()
	return changes, nil
}

// Guards against a process that claims a younger age than its copy has, whatever the order
// of calls that take long, relayed lists and confirmations.
func TestNoCopyClaimsAYoungerAgeThanItHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := clock.NewFake(1)
		s := &modelStore{t: t, fake: fake, revision: 5}
		s.write()
		processes := make([]*feed.Feed, 3)
		for i := range processes {
			processes[i] = feed.New("k", &store.Store{ScanFunc: s.scan, FollowFunc: s.follow}, feed.WithClock(fake.Clock()))
			processes[i].ReadList(t.Context())
		}
		draw := func(label string) *feed.Feed { return processes[rapid.IntRange(0, 2).Draw(t, label)] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(*rapid.T) { s.pass("changes") },
			"list": func(t *rapid.T) {
				reader := draw("reader")
				if known := reader.Progress().Revision; known > 3 && rapid.Bool().Draw(t, "older answer") {
					s.olderThan = known
				}
				reader.ReadList(t.Context())
				s.olderThan = 0
			},
			"watch": func(t *rapid.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s.endWatch = cancel
				draw("watcher").Watch(ctx)
				cancel()
			},
			"snapshot relayed": func(*rapid.T) {
				snapshot := draw("from").Snapshot()
				snapshot.Age += s.transit()
				draw("to").Apply(snapshot, fake.Clock().Now())
			},
			"confirmation": func(*rapid.T) {
				progress := draw("from").Progress()
				progress.Age += s.transit()
				draw("to").Confirm(progress, fake.Clock().Now())
			},
			"": func(t *rapid.T) {
				for i, process := range processes {
					progress := process.Progress()
					shownAt := fake.Clock().Now() - progress.Age
					for _, w := range s.writes {
						if w.at < shownAt && w.revision > progress.Revision {
							t.Fatalf("process %d claims revision %d as of %d, but %d was written at %d", i, progress.Revision, shownAt, w.revision, w.at)
						}
					}
				}
			},
		})
	})
}
