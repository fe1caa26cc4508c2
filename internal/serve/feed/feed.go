// Package feed follows one kind of objects in the platform's store: it reads
// all of them once, then waits for changes, and starts over when the store has
// dropped its history. It tells when the store was lost and found again.
package feed

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

const (
	// defaultWait is how long one call waits for changes. A store that hears
	// nothing of changes any more, or a connection that went silent, shows only
	// when the wait is over.
	defaultWait = clock.Second
	// firstBackoff and maxBackoff bound the pause after a failed call; a store
	// that came back is found again within the largest.
	firstBackoff = 100 * clock.Millis(1)
	maxBackoff   = 800 * clock.Millis(1)
)

// Feed follows one kind.
type Feed struct {
	kind  string
	store *store.Store
	clock *clock.Clock
	log   *log.Logger
	wait  func() clock.Millis
	rest  func() clock.Millis
	// known is the revision up to which everything was read, changed that of the
	// last change that was noticed.
	known   atomic.Uint64
	changed atomic.Uint64
	// behind is since when others have noticed more, 0 when they have not.
	behind clock.Millis

	// listFunc takes the whole list, and whether the store had been lost;
	// changeFunc takes changes in order.
	listFunc   func(objects []store.Object, after clock.Millis)
	changeFunc func(changes []store.Change)
	wakeUp     chan struct{}
	// lost is when the store stopped answering, 0 while it answers; away is how
	// long it was lost since the last list.
	lost    clock.Millis
	away    clock.Millis
	backoff clock.Millis
	outage  *Outage
	down    atomic.Bool
}

// Option changes a Feed while it is built.
type Option func(*Feed)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(f *Feed) { f.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(f *Feed) { f.log = l } }

// WithOutage sets what the feeds of one process share while the store is away.
func WithOutage(outage *Outage) Option { return func(f *Feed) { f.outage = outage } }

// WithWait sets how long one call waits for changes.
func WithWait(wait func() clock.Millis) Option { return func(f *Feed) { f.wait = wait } }

// WithRest sets a pause between two calls, so that changes which come many
// times a second are read several at a time.
func WithRest(rest func() clock.Millis) Option { return func(f *Feed) { f.rest = rest } }

// WithList sets who takes the whole list. Away is how long the store had been
// lost before, 0 when it had not.
func WithList(list func(objects []store.Object, away clock.Millis)) Option {
	return func(f *Feed) { f.listFunc = list }
}

// WithChanges sets who takes changes.
func WithChanges(change func([]store.Change)) Option { return func(f *Feed) { f.changeFunc = change } }

// New returns a feed of one kind; Run follows it.
func New(kind string, from *store.Store, opts ...Option) *Feed {
	f := &Feed{
		kind: kind, store: from, clock: clock.New(), log: log.New(io.Discard), wakeUp: make(chan struct{}, 1), outage: NewOutage(),
		wait:     func() clock.Millis { return defaultWait },
		rest:     func() clock.Millis { return 0 },
		listFunc: func([]store.Object, clock.Millis) {}, changeFunc: func([]store.Change) {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Again makes the feed read the whole list once more, soon: somebody else knows
// something newer.
func (f *Feed) Again() {
	select {
	case f.wakeUp <- struct{}{}:
	default:
	}
}

// Down reports whether the store gave no answer to the last call.
func (f *Feed) Down() bool { return f.down.Load() }

// Kind returns the kind that is followed.
func (f *Feed) Kind() string { return f.kind }

// Changed returns the revision of the last change that was noticed.
func (f *Feed) Changed() uint64 { return f.changed.Load() }

// hintPatience is how long a feed may be behind what others have noticed, beyond
// its own rest, before it reads the list again: mostly its own watch is about to
// tell it.
const hintPatience = 600 * clock.Millis(1)

// Hint tells that somebody else has noticed a change at a revision. If this
// process has not read that far for a while, it reads the list again. Hints are
// given from one goroutine, again and again.
func (f *Feed) Hint(revision uint64) {
	if revision <= f.known.Load() {
		f.behind = 0
		return
	}
	now := f.clock.Now()
	switch {
	case f.behind == 0:
		f.behind = now
	case now-f.behind >= hintPatience+f.rest():
		f.behind = 0
		f.Again()
	}
}

// read notes how far everything was read.
func (f *Feed) read(revision uint64) { f.known.Store(max(f.known.Load(), revision)) }

// noticed notes a change.
func (f *Feed) noticed(revision uint64) { f.changed.Store(max(f.changed.Load(), revision)) }

// Run follows the kind until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		listing, err := f.store.Scan(ctx, f.kind)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.found()
		f.read(listing.Revision)
		for _, object := range listing.Objects {
			f.noticed(object.Version)
		}
		f.listFunc(listing.Objects, f.away)
		f.away = 0
		f.follow(ctx, listing.Revision)
	}
}

// follow reads changes until the list has to be read again.
func (f *Feed) follow(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		changes, err := f.waitForChanges(ctx, since)
		var gone *store.HistoryError
		switch {
		case errors.Is(err, errAgain):
			return
		case errors.As(err, &gone):
			f.log.Info("history dropped, reading the list again", "kind", f.kind, "since", since)
			return
		case errors.Is(err, context.DeadlineExceeded):
			// Nothing came within the wait, not even that there is nothing: the
			// list tells whether the store is there and what was missed.
			f.log.Info("watch went silent, reading the list again", "kind", f.kind, "since", since)
			return
		case err != nil:
			f.failed(ctx, err)
			return
		}
		since = max(since, changes.Revision)
		f.read(since)
		if f.found(); f.away > 0 {
			// While the store was away entries may have lapsed. The list tells
			// which are there, and the reader learns how long it was blind.
			return
		}
		if len(changes.Changes) > 0 {
			f.noticed(since)
			f.changeFunc(changes.Changes)
		}
		if rest := f.rest(); rest > 0 {
			_ = f.clock.Sleep(ctx, rest) // the loop sees the end of the context
		}
	}
}

// errAgain says that the list was asked for.
var errAgain = errors.New("list asked for")

func (f *Feed) waitForChanges(ctx context.Context, since uint64) (store.Changes, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	again := make(chan bool, 1)
	go func() {
		select {
		case <-f.wakeUp:
			cancel()
			again <- true
		case <-done:
			again <- false
		}
	}()
	changes, err := f.store.Follow(call, f.kind, since, f.wait())
	close(done)
	if <-again {
		return store.Changes{}, errAgain
	}
	return changes, err
}

func (f *Feed) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.down.Store(true)
	if f.lost == 0 {
		f.lost = f.clock.Now()
		f.log.Info("platform lost", "kind", f.kind, logs.KeyError, err)
	}
	f.backoff = min(max(2*f.backoff, firstBackoff), maxBackoff)
	// Jitter: all processes lose the store at the same moment, and must not all
	// come back at the same moment to one that allows so many calls a second.
	pause := f.backoff/2 + clock.Millis(rand.Int64N(int64(f.backoff)))
	if found := f.outage.lost(f); found != nil {
		f.waitForOther(ctx, found)
		pause = clock.Millis(rand.Int64N(int64(firstBackoff)))
	}
	_ = f.clock.Sleep(ctx, pause) // the loop sees the end of the context
}

// found notes that the store answered, and how long it had been lost.
func (f *Feed) found() {
	f.backoff = 0
	f.down.Store(false)
	f.outage.answered(f)
	if f.lost == 0 {
		return
	}
	f.away = max(f.clock.Since(f.lost), 1)
	f.lost = 0
	f.log.Info("platform found again", "kind", f.kind, "awayMs", int64(f.away))
}
