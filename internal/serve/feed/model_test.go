package feed_test

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// modelStore is a linearizable store of one kind on a fake clock. A call takes time, and
// shows the state of one instant between its start and its end. It may come back from a copy.
type modelStore struct {
	t    *rapid.T
	fake *clock.Fake
	// writes holds the changes of the kind in order, eras those at the end of each earlier era.
	writes   []modelWrite
	revision store.Revision
	eras     []modelEra
	written  int
	// olderThan makes lists show a state before a revision, as a faulty replica does; zero is
	// no fault.
	olderThan store.Revision
	// endWatch ends the watch after one answer.
	endWatch context.CancelFunc
	// quiet is set while calls take no time and nothing changes.
	quiet bool
}

type modelWrite struct {
	name   string
	number uint64
	at     clock.Millis
}

// modelEra is an earlier era, with its last state and the instant at which it ended.
type modelEra struct {
	era    uint64
	writes []modelWrite
	ended  clock.Millis
}

func (s *modelStore) write() {
	s.revision.Number++
	s.written++
	s.writes = append(s.writes, modelWrite{name: fmt.Sprint("k/", s.written), number: s.revision.Number, at: s.fake.Clock().Now()})
}

// restore brings the store back from a copy that lacks up to ten revisions.
func (s *modelStore) restore() {
	s.eras = append(s.eras, modelEra{era: s.revision.Era, writes: s.writes, ended: s.fake.Clock().Now()})
	s.revision.Era++
	s.revision.Number -= min(uint64(rapid.IntRange(0, 10).Draw(s.t, "lost")), s.revision.Number-1)
	var left []modelWrite
	for _, w := range s.writes {
		if w.number <= s.revision.Number {
			left = append(left, w)
		}
	}
	s.writes = left
}

// pass lets time pass, with changes of this kind and of others, and returns from copies.
func (s *modelStore) pass(label string) {
	if s.quiet {
		return
	}
	for range rapid.IntRange(0, 3).Draw(s.t, label) {
		s.fake.Advance(clock.Millis(rapid.IntRange(1, 400).Draw(s.t, "ms")))
		switch rapid.IntRange(0, 8).Draw(s.t, "change") {
		case 0:
			s.restore()
		case 1, 2, 3, 4:
			s.write()
		default:
			s.revision.Number++
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
		if w.number <= upTo {
			all = append(all, store.Object{Name: w.name, Version: store.Revision{Era: s.revision.Era, Number: w.number}})
		}
	}
	return all
}

func (s *modelStore) scan(context.Context, string) (store.Listing, error) {
	s.pass("before the list is read")
	shown := s.revision
	if older := s.olderThan; older.Era == shown.Era && older.Number > 3 {
		shown.Number = older.Number - uint64(rapid.IntRange(1, 3).Draw(s.t, "older by"))
	}
	listing := store.Listing{Revision: shown, Objects: s.objects(shown.Number)}
	s.pass("before the list arrives")
	return listing, nil
}

func (s *modelStore) follow(ctx context.Context, _ string, since store.Revision, wait clock.Millis) (store.Changes, error) {
	if ctx.Err() != nil {
		return store.Changes{}, ctx.Err()
	}
	began := s.fake.Clock().Now()
	s.pass("before the changes are read")
	defer s.endWatch()
	switch {
	case since.Era != s.revision.Era:
		return store.Changes{Revision: s.revision}, nil
	case since.Number > s.revision.Number:
		return store.Changes{}, &store.HistoryError{Kind: "k", Since: since}
	}
	var changes store.Changes
	for _, w := range s.writes {
		if w.number > since.Number {
			changes.Changes = append(changes.Changes, store.Change{Object: store.Object{Name: w.name, Version: store.Revision{Era: s.revision.Era, Number: w.number}}})
		}
	}
	if left := began + wait - s.fake.Clock().Now(); len(changes.Changes) == 0 && left > 0 {
		s.fake.Advance(left)
	}
	changes.Revision = s.revision
	s.pass("before the changes arrive")
	return changes, nil
}

// check fails if a process claims a younger age than its copy has, or lacks an object of the
// revision that it claims.
func (s *modelStore) check(t *rapid.T, i int, process *feed.Feed) {
	progress := process.Progress()
	shownAt := s.fake.Clock().Now() - progress.Age
	writes := s.writes
	for _, era := range s.eras {
		if era.era == progress.Era {
			writes = era.writes
		}
		if era.era >= progress.Era && era.ended < shownAt {
			t.Fatalf("process %d claims era %d as of %d, but it ended at %d", i, progress.Era, shownAt, era.ended)
		}
	}
	known := make(map[string]bool)
	for _, object := range process.Snapshot().Objects {
		known[object.Name] = true
	}
	for _, w := range writes {
		switch {
		case w.at < shownAt && w.number > progress.Revision:
			t.Fatalf("process %d claims revision %v as of %d, but %d was written at %d", i, progress.At(), shownAt, w.number, w.at)
		case w.number <= progress.Revision && !known[w.name]:
			t.Fatalf("process %d claims revision %v, but lacks %s of %d", i, progress.At(), w.name, w.number)
		}
	}
}

// withoutPauses returns a clock whose sleeps return at once.
func withoutPauses(fake *clock.Fake) *clock.Clock {
	c := fake.Clock()
	c.AfterFunc = func(clock.Millis) (<-chan struct{}, func()) {
		done := make(chan struct{})
		close(done)
		return done, func() {}
	}
	return c
}

// Guards against a process that claims a younger age than its copy has, whatever the order
// of calls that take long, relayed lists, confirmations and returns of the store from copies.
func TestNoCopyClaimsAYoungerAgeThanItHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := clock.NewFake(1)
		s := &modelStore{t: t, fake: fake, revision: store.Revision{Era: 1, Number: 5}}
		s.write()
		processes := make([]*feed.Feed, 3)
		sent, sentAt := make([]wire.Update, len(processes)), make([]clock.Millis, len(processes))
		for i := range processes {
			processes[i] = feed.New("k", &store.Store{ScanFunc: s.scan, FollowFunc: s.follow}, feed.WithClock(withoutPauses(fake)),
				feed.WithForward(func(update *wire.Update) { sent[i], sentAt[i] = *update, fake.Clock().Now() }))
			processes[i].ReadList(t.Context())
		}
		draw := func(label string) *feed.Feed { return processes[rapid.IntRange(0, 2).Draw(t, label)] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(*rapid.T) { s.pass("changes") },
			"list": func(t *rapid.T) {
				reader := draw("reader")
				if rapid.Bool().Draw(t, "older answer") {
					progress := reader.Progress()
					s.olderThan = progress.At()
				}
				reader.ReadList(t.Context())
				s.olderThan = store.Revision{}
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
			"update relayed": func(t *rapid.T) {
				from := rapid.IntRange(0, 2).Draw(t, "from")
				update, delayed := sent[from], fake.Clock().Since(sentAt[from])
				update.Age += delayed + s.transit()
				draw("to").Apply(&update, fake.Clock().Now())
			},
			"confirmation": func(*rapid.T) {
				progress := draw("from").Progress()
				progress.Age += s.transit()
				draw("to").Confirm(progress, fake.Clock().Now())
			},
			"messages of the version before": func(*rapid.T) {
				from, to := draw("from"), draw("to")
				snapshot, progress := from.Snapshot(), from.Progress()
				snapshot.Era, progress.Era = 0, 0
				age := s.transit()
				snapshot.Age, progress.Age = snapshot.Age+age, progress.Age+age
				to.Apply(snapshot, fake.Clock().Now())
				to.Confirm(progress, fake.Clock().Now())
			},
			"": func(t *rapid.T) {
				for i, process := range processes {
					s.check(t, i, process)
				}
			},
		})
		for i, process := range processes {
			s.quiet = true
			process.ReadList(t.Context())
			if progress := process.Progress(); progress.At() != s.revision {
				t.Fatalf("process %d stays at %v, the store is at %v", i, progress.At(), s.revision)
			}
		}
	})
}
