// Package feed follows one kind of objects in the platform's store: it reads
// all of them once, then waits for changes, and starts over when the store has
// dropped its history. It tells when the store was lost and found again.
//
// Calls to the store are paid for, so that most processes follow it through a
// peer that relays changes and says from time to time that there are none. A
// feed that hears neither for a while asks the store itself.
package feed

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
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
	// longest is the longest pause after a failed call.
	longest func() clock.Millis
	// maxAge is how long the store's last word counts without a call, grace for
	// how much of that a peer is awaited, firstWait how long before the first list.
	maxAge    clock.Millis
	grace     func() clock.Millis
	firstWait func(kind string) clock.Millis
	// ageless says that the store is read rarely.
	ageless bool

	// listFunc takes the whole list, and whether the store had been lost;
	// changeFunc takes changes in order, forwardFunc what peers are to know.
	listFunc    func(objects []store.Object, after clock.Millis)
	changeFunc  func(changes []store.Change)
	forwardFunc func(*wire.Update)
	wakeUp      chan struct{}
	// relayed wakes the feed when a peer began to relay changes.
	relayed chan struct{}
	// lost is when the store stopped answering, 0 while it answers; away is how
	// long it was lost since the last list.
	lost    clock.Millis
	away    clock.Millis
	backoff clock.Millis
	outage  *Outage
	down    atomic.Bool

	mu    sync.Mutex
	state state
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

// WithPause sets a pause between two calls, so that changes which come many
// times a second are read several at a time.
func WithPause(rest func() clock.Millis) Option { return func(f *Feed) { f.rest = rest } }

// WithBackoff sets the longest pause after a failed call.
func WithBackoff(longest func() clock.Millis) Option { return func(f *Feed) { f.longest = longest } }

// WithMaxAge sets how long the store's last word, as a peer relays it, counts
// without a call.
func WithMaxAge(span clock.Millis) Option { return func(f *Feed) { f.maxAge = span } }

// WithoutAge is for feeds with long waits: how old the store's last word is does not tell
// whether the store is in reach, and peers are told none.
func WithoutAge() Option { return func(f *Feed) { f.ageless = true } }

// WithPeerWait sets for how long a peer's word is awaited before the store is asked:
// after the store's last word, and before the list is read for the first time.
func WithPeerWait(grace func() clock.Millis, firstWait func(kind string) clock.Millis) Option {
	return func(f *Feed) { f.grace, f.firstWait = grace, firstWait }
}

// WithList sets who takes the whole list. Away is how long the store had been
// lost before, 0 when it had not.
func WithList(list func(objects []store.Object, away clock.Millis)) Option {
	return func(f *Feed) { f.listFunc = list }
}

// WithChanges sets who takes changes.
func WithChanges(change func([]store.Change)) Option { return func(f *Feed) { f.changeFunc = change } }

// WithForward sets who relays to peers what was read.
func WithForward(forward func(*wire.Update)) Option { return func(f *Feed) { f.forwardFunc = forward } }

// New returns a feed of one kind; Run follows it.
func New(kind string, from *store.Store, opts ...Option) *Feed {
	f := &Feed{
		kind: kind, store: from, clock: clock.New(), log: log.New(io.Discard), wakeUp: make(chan struct{}, 1), relayed: make(chan struct{}, 1), outage: NewOutage(),
		wait:    func() clock.Millis { return defaultWait },
		rest:    func() clock.Millis { return 0 },
		longest: func() clock.Millis { return maxBackoff },
		maxAge:  defaultMaxAge, grace: func() clock.Millis { return 0 }, firstWait: func(string) clock.Millis { return 0 },
		listFunc: func([]store.Object, clock.Millis) {}, changeFunc: func([]store.Change) {}, forwardFunc: func(*wire.Update) {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// RequestList makes the feed read the whole list once more, soon: somebody else knows
// something newer.
func (f *Feed) RequestList() {
	select {
	case f.wakeUp <- struct{}{}:
	default:
	}
}

// Down reports whether the store gave no answer to the last call.
func (f *Feed) Down() bool { return f.down.Load() }

// Run follows the kind until the context ends: through a peer while one passes
// changes on, else in the store.
func (f *Feed) Run(ctx context.Context) {
	f.pauseUnlessRelayed(ctx, f.firstWait(f.kind))
	for ctx.Err() == nil {
		if f.Relayed() {
			f.awaitRelay(ctx)
			continue
		}
		if left := f.graceLeft(); left > 0 {
			f.pauseUnlessRelayed(ctx, left)
			continue
		}
		if since, current := f.known(); current {
			f.follow(ctx, since)
			continue
		}
		f.list(ctx)
	}
}

// list reads the whole list.
func (f *Feed) list(ctx context.Context) {
	listing, err := f.store.Scan(ctx, f.kind)
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.found()
	f.takeList(listing.Objects, listing.Revision, listing.Revision, f.away, f.clock.Now())
	f.away = 0
}

// follow reads changes until the list has to be read again or a peer passes them
// on.
func (f *Feed) follow(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		changes, err := f.waitForChanges(ctx, since)
		var gone *store.HistoryError
		switch {
		case errors.Is(err, errRelayed):
			return
		case errors.Is(err, errAgain):
			f.requireList()
			return
		case errors.As(err, &gone):
			f.log.Info("history dropped, reading the list again", "kind", f.kind, "since", since)
			f.requireList()
			return
		case errors.Is(err, context.DeadlineExceeded):
			// Nothing came within the wait, not even that there is nothing: the
			// list tells whether the store is there and what was missed.
			f.log.Info("watch went silent, reading the list again", "kind", f.kind, "since", since)
			f.requireList()
			return
		case err != nil:
			f.requireList()
			f.failed(ctx, err)
			return
		}
		if f.found(); f.away > 0 {
			// While the store was away entries may have lapsed. The list tells
			// which are there, and the reader learns how long it was blind.
			f.requireList()
			return
		}
		since = f.takeChanges(changes.Changes, since, max(since, changes.Revision), f.clock.Now())
		if f.graceLeft() > 0 {
			return
		}
		if rest := f.rest(); rest > 0 && len(changes.Changes) > 0 {
			_ = f.clock.Sleep(ctx, rest) // the loop sees the end of the context
		}
	}
}

// Errors that end a wait for changes: the list was asked for, or a peer passes
// changes on.
var (
	errAgain   = errors.New("list asked for")
	errRelayed = errors.New("a peer relays changes")
)

func (f *Feed) waitForChanges(ctx context.Context, since uint64) (store.Changes, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	cause := make(chan error, 1)
	go func() { cause <- f.awaitEnd(cancel, done) }()
	changes, err := f.store.Follow(call, f.kind, since, f.wait())
	close(done)
	if ended := <-cause; ended != nil {
		return store.Changes{}, ended
	}
	return changes, err
}

// awaitEnd cancels a call once it is not needed any more and returns why, nil if
// it was done before.
func (f *Feed) awaitEnd(cancel func(), done <-chan struct{}) error {
	for {
		select {
		case <-f.wakeUp:
			cancel()
			return errAgain
		case <-f.relayed:
			if f.Relayed() {
				cancel()
				return errRelayed
			}
		case <-done:
			return nil
		}
	}
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
	f.backoff = min(max(2*f.backoff, firstBackoff), max(f.longest(), firstBackoff))
	// Jitter: all processes lose the store at the same moment, and must not all
	// come back at the same moment to one that allows so many calls a second.
	pause := f.backoff/2 + clock.Millis(rand.Int64N(int64(f.backoff)))
	if found := f.outage.lost(f); found != nil {
		f.waitForOther(ctx, found)
		pause = clock.Millis(rand.Int64N(int64(firstBackoff)))
	}
	f.pauseUnlessRelayed(ctx, pause)
}

// pauseUnlessRelayed waits, but no longer than until a peer relays changes.
func (f *Feed) pauseUnlessRelayed(ctx context.Context, pause clock.Millis) {
	over, forget := f.clock.After(pause)
	defer forget()
	select {
	case <-over:
	case <-f.relayed:
	case <-ctx.Done():
	}
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
