// Package feed follows one kind of objects in the platform's store: it reads
// all of them once, then waits for changes, and reads all of them again when the
// store has dropped its history. It reports outages of the store.
//
// Each call to the store costs money. Most processes therefore follow the store
// through a peer, which relays changes and regularly confirms that there are no
// others. A feed that receives neither within a maximum age calls the store
// itself.
//
// A revision that the store or a peer states says nothing about what a copy holds. A feed
// therefore keeps apart the latest stated revision and that up to which it has read the
// changes (content), decides by the versions of objects which changes are new, and takes a
// peer's confirmation only if the digests of both copies are equal.
package feed

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

const (
	// defaultWait is how long one call waits for changes. A store that gets no
	// changes any more, or a broken connection, is detected only when the wait is
	// over.
	defaultWait = clock.Second
	// minBackoff is the first pause after a failed call.
	minBackoff = 100 * clock.Millis(1)
	// minWait is the shortest wait of a call for changes. confirmShare is the part of the
	// maximum age within which the next confirmation is due.
	minWait = 50 * clock.Millis(1)
	// listTime is how long the transfer of a large list may take on a slow link.
	listTime     = 500 * clock.Millis(1)
	confirmShare = 0.8
)

// MaxBackoff is the default of the longest pause after a failed call, and the longest pause
// while a peer shows a newer state. It bounds the time until the end of an outage is detected.
const MaxBackoff = 800 * clock.Millis(1)

// Feed follows one kind of objects.
type Feed struct {
	kind  string
	store *store.Store
	clock *clock.Clock
	log   *log.Logger
	wait  func() clock.Millis
	pause func() clock.Millis
	// backoffLimit returns the longest pause after a failed call.
	backoffLimit func() clock.Millis
	// maxAge is the age up to which a relayed answer of the store replaces a call.
	// relayGrace is how long after the last answer the feed waits for a peer before
	// it calls the store, firstWait how long it waits before it first reads the
	// list.
	maxAge clock.Millis
	// incarnation is that of this process, 0 if it is not known.
	incarnation token.Incarnation
	relayGrace  func() clock.Millis
	firstWait   func(kind string) clock.Millis
	// hideAge omits the age of the last answer from Progress; see WithoutAge.
	hideAge bool
	// oneObject is set by WithOneObject.
	oneObject bool

	// listFunc takes the complete list and the duration of the outage before it;
	// changeFunc takes changes in order; forwardFunc relays both to peers.
	listFunc      func(objects []store.Object, outage clock.Millis)
	changeFunc    func(changes []store.Change)
	forwardFunc   func(*wire.Update)
	proofFunc     func(Proof)
	skippedFunc   func(error)
	listRequested chan struct{}
	// reading is set while the list is being read.
	reading atomic.Bool
	// relayChanged wakes Run when a peer has started or stopped relaying changes.
	relayChanged chan struct{}
	// lostAt is the instant in ms at which the store stopped answering, 0 while it answers.
	// lostFor is the duration of the last outage, 0 once the list was read after it.
	lostAt  atomic.Int64
	lostFor clock.Millis
	// dueAt is the instant in ms at which the answer to the first of the calls is due that the store has not
	// answered, or at which a part of it has arrived since, 0 without one.
	dueAt   atomic.Int64
	answer  answer
	backoff clock.Millis
	outage  *Outage
	down    atomic.Bool
	// refused is set if the last call ended by something other than a deadline of this process.
	refused atomic.Bool

	restore Restore
	// olderPause is the pause after a list that was older than the known state.
	olderPause clock.Millis

	mu    sync.Mutex
	state state
	// olderLogged holds by source the known revision at which an older state was last logged.
	olderLogged map[string]store.Revision
}

// Option configures a Feed.
type Option func(*Feed)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(f *Feed) { f.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(f *Feed) { f.log = l } }

// WithOutage sets the state that the feeds of one process share during an outage
// of the store.
func WithOutage(outage *Outage) Option { return func(f *Feed) { f.outage = outage } }

// WithWait sets how long one call waits for changes.
func WithWait(wait func() clock.Millis) Option { return func(f *Feed) { f.wait = wait } }

// WithPause sets a pause between two calls, so that one call reads several changes
// when there are many in a second.
func WithPause(pause func() clock.Millis) Option { return func(f *Feed) { f.pause = pause } }

// WithBackoff sets the longest pause after a failed call.
func WithBackoff(longest func() clock.Millis) Option {
	return func(f *Feed) { f.backoffLimit = longest }
}

// WithMaxAge sets the age up to which an answer of the store that a peer relays
// replaces a call.
func WithMaxAge(maxAge clock.Millis) Option { return func(f *Feed) { f.maxAge = maxAge } }

// WithIncarnation sets the incarnation of this process. A confirmation that comes back from peers is not taken for that of a
// process that reads the store.
func WithIncarnation(incarnation token.Incarnation) Option {
	return func(f *Feed) { f.incarnation = incarnation }
}

// WithoutAge omits the age of the store's last answer from Progress. It is for
// feeds with long waits, where the age doesn't show whether the store is reachable.
func WithoutAge() Option { return func(f *Feed) { f.hideAge = true } }

// WithOneObject is for a kind of which one object is used. Its newest change replaces those that an answer has left out.
func WithOneObject() Option { return func(f *Feed) { f.oneObject = true } }

// WithPeerWait sets how long the feed waits for a peer to relay changes before it
// calls the store: grace after the store's last answer, and firstWait before it
// reads the list for the first time.
func WithPeerWait(grace func() clock.Millis, firstWait func(kind string) clock.Millis) Option {
	return func(f *Feed) { f.relayGrace, f.firstWait = grace, firstWait }
}

// WithList sets the handler for the complete list. The parameter outage is the
// duration of the outage of the store before it, in milliseconds, 0 for none.
func WithList(list func(objects []store.Object, outage clock.Millis)) Option {
	return func(f *Feed) { f.listFunc = list }
}

// WithChanges sets the handler for changes.
func WithChanges(change func([]store.Change)) Option { return func(f *Feed) { f.changeFunc = change } }

// WithForward sets the function that relays lists and changes to peers.
func WithForward(forward func(*wire.Update)) Option { return func(f *Feed) { f.forwardFunc = forward } }

// WithSkipped sets the function that takes the SkippedError of each object that can't be read.
func WithSkipped(skipped func(error)) Option { return func(f *Feed) { f.skippedFunc = skipped } }

// New returns a feed of one kind of objects; Run reads it.
func New(kind string, from *store.Store, opts ...Option) *Feed {
	f := &Feed{
		kind: kind, store: from, clock: clock.New(), log: log.New(io.Discard), listRequested: make(chan struct{}, 1), relayChanged: make(chan struct{}, 1), outage: NewOutage(),
		answer: answer{long: make(chan struct{}, 1)}, olderLogged: make(map[string]store.Revision), state: state{restored: newRestored(), confirmedAt: neverConfirmed},
		wait:         func() clock.Millis { return defaultWait },
		pause:        func() clock.Millis { return 0 },
		backoffLimit: func() clock.Millis { return MaxBackoff },
		maxAge:       defaultMaxAge, relayGrace: func() clock.Millis { return 0 }, firstWait: func(string) clock.Millis { return 0 },
		listFunc: func([]store.Object, clock.Millis) {}, changeFunc: func([]store.Change) {}, forwardFunc: func(*wire.Update) {}, proofFunc: func(Proof) {}, skippedFunc: func(error) {},
	}
	for _, opt := range opts {
		opt(f)
	}
	f.outage.add(f)
	return f
}

// RequestList makes Run read the complete list again soon, because another process
// has a newer state. It has no effect while the list is being read: reading it twice
// would take the bandwidth that the first answer needs.
func (f *Feed) RequestList() {
	if f.reading.Load() {
		return
	}
	select {
	case f.listRequested <- struct{}{}:
	default:
	}
}

// Down reports whether the last call to the store failed.
func (f *Feed) Down() bool { return f.down.Load() }

// AwayFor returns how long calls to the store have failed, in milliseconds, 0 if the last one
// did not or a peer relays changes.
func (f *Feed) AwayFor() clock.Millis {
	lostAt := clock.Millis(f.lostAt.Load())
	if lostAt == 0 {
		return 0
	}
	return max(f.clock.Since(lostAt), 1)
}

// Refused reports whether the store could not be reached by the last call, or has refused it. A call that this process
// has given up says nothing of the store.
func (f *Feed) Refused() bool { return f.refused.Load() }

// OverdueFor returns how long an answer of the store has been overdue, in milliseconds, 0 if none is. One that is
// arriving, however slowly, is not.
func (f *Feed) OverdueFor() clock.Millis {
	dueAt := clock.Millis(f.dueAt.Load())
	if dueAt == 0 {
		return 0
	}
	return max(f.clock.Since(dueAt), 0)
}

// endCall records the end of a call. One without an answer stays overdue until the store answers another.
func (f *Feed) endCall(answered bool) {
	if answered || f.OverdueFor() == 0 {
		f.dueAt.Store(0)
	}
}

// Run follows the kind until the context ends: through a peer while one relays
// changes, otherwise by calls to the store.
func (f *Feed) Run(ctx context.Context) {
	f.pauseUnlessRelayed(ctx, f.firstWait(f.kind))
	for ctx.Err() == nil {
		if f.Relayed() {
			f.followRelay(ctx)
			continue
		}
		if left := f.graceTimeLeft(); left > 0 {
			f.pauseUnlessRequested(ctx, left)
			continue
		}
		if _, listed := f.knownRevision(); listed {
			f.watch(ctx)
			continue
		}
		f.readList(ctx)
	}
}

// readList reads the complete list.
func (f *Feed) readList(ctx context.Context) {
	f.reading.Store(true)
	select {
	case <-f.listRequested:
	default:
	}
	sentAt := f.clock.Now()
	listing, err := f.store.Scan(f.beginCall(ctx, sentAt+listTime), f.kind)
	f.endCall(err == nil)
	f.reading.Store(false)
	if err != nil {
		f.handleFailure(ctx, err)
		return
	}
	f.recordAnswer()
	f.reportSkipped(listing.Skipped)
	f.outage.recordEra(f, listing.Revision.Era)
	before := f.newestVersion()
	objects := make([]store.Object, 0, len(listing.Objects))
	for _, object := range listing.Objects {
		objects = append(objects, withDigest(object))
	}
	if !f.applyList(&listed{objects: objects, revision: listing.Revision, changed: listing.Revision, content: listing.Revision, outage: f.lostFor, at: sentAt}) {
		// Without a pause, the next calls would be a watch that the store can't serve and the
		// same list again.
		f.olderPause = min(max(2*f.olderPause, minBackoff), MaxBackoff)
		f.pauseUnlessRelayed(ctx, f.olderPause)
		return
	}
	f.lostFor, f.olderPause, f.answer.listedAt = 0, 0, f.clock.Now()
	if f.newestVersion() != before && !before.IsZero() && f.isSlow() {
		f.answer.slowAt = f.clock.Now()
	}
	if f.answer.catchingUp = f.answer.catchingUp && !f.Relayed() && len(listing.Objects) == 1 && f.newestVersion() != before; f.answer.catchingUp {
		f.requireList()
	}
}

func (f *Feed) reportSkipped(skipped []error) {
	for _, err := range skipped {
		f.skippedFunc(err)
	}
}

// watch reads changes until the list has to be read again or a peer relays them.
func (f *Feed) watch(ctx context.Context) {
	for ctx.Err() == nil {
		since, listed := f.knownRevision()
		if !listed {
			return
		}
		wait, sentAt := f.nextWait(), f.clock.Now()
		changes, err := f.waitForChanges(ctx, since, wait)
		if err != nil {
			f.endWatch(ctx, since, err)
			return
		}
		f.reportSkipped(changes.Skipped)
		f.outage.recordEra(f, changes.Revision.Era)
		if f.recordAnswer(); f.lostFor > 0 || changes.Revision.Era != since.Era {
			// Entries may have expired during the outage, or were lost before the era rose. The
			// list holds the remaining ones, and its handler gets the duration of the outage.
			f.requireList()
			return
		}
		fresh := f.applyAnswer(changes, sentAt, wait)
		f.answer.catchingUp = f.isOvertaken(&changes, fresh)
		if f.answer.catchingUp || f.listIsDue() {
			f.requireList()
			return
		}
		if f.graceTimeLeft() > 0 {
			return
		}
		pause := f.idlePause(fresh, f.clock.Since(sentAt), wait)
		if len(changes.Changes) > 0 {
			pause = max(pause, f.pause())
		}
		if pause > 0 {
			_ = f.clock.Sleep(ctx, pause) // the loop checks the context
		}
	}
}

// endWatch decides what follows a call for changes that brought none.
func (f *Feed) endWatch(ctx context.Context, since store.Revision, err error) {
	var dropped *store.HistoryError
	switch {
	case errors.Is(err, errRelayed):
		return
	case errors.Is(err, errListRequested), errors.Is(err, errLongAnswer):
		f.answer.catchingUp = errors.Is(err, errLongAnswer)
	case errors.As(err, &dropped):
		f.log.Info("history dropped, reading the list again", "kind", f.kind, "since", since)
	case errors.Is(err, context.DeadlineExceeded):
		// The call got no reply within the wait, not even an empty one. Reading
		// the list shows whether the store is reachable and which changes were
		// missed.
		f.log.Info("watch got no reply, reading the list again", "kind", f.kind, "since", since)
	default:
		f.requireList()
		f.handleFailure(ctx, err)
		return
	}
	f.requireList()
}

// applyAnswer applies the answer to a call for changes, and returns how many of them were new.
func (f *Feed) applyAnswer(answer store.Changes, sentAt, wait clock.Millis) (fresh int) {
	all := slices.Clone(answer.Changes)
	for i := range all {
		all[i].Object = withDigest(all[i].Object)
	}
	return f.applyChanges(changes{
		changes: all, revision: answer.Revision, at: f.confirmedBy(answer, sentAt, wait), skipped: len(answer.Skipped), partial: answer.Partial,
	})
}

// Errors that end a wait for changes early.
var (
	errListRequested = errors.New("list requested")
	errLongAnswer    = errors.New("the list is shorter than the changes")
	errRelayed       = errors.New("a peer relays changes")
)

// nextWait returns how long the next call waits for changes. The wait is shorter after an
// answer that had been on its way for long, so that peers get the next confirmation
// before the last one exceeds the maximum age.
func (f *Feed) nextWait() clock.Millis {
	wait := f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.state.confirmedAt + clock.Millis(confirmShare*float64(f.maxAge)) - f.clock.Now()
	if f.state.partial {
		left = 0 // what was left out is there already
	}
	return min(wait, max(left, minWait))
}

// confirmedBy returns the instant of which an answer to a call that waited for changes
// shows the state. Without changes the store answers when the wait is over, otherwise at
// any time after the call was sent. An answer that begins earlier was ended early, however long it takes to arrive.
func (f *Feed) confirmedBy(changes store.Changes, sentAt, wait clock.Millis) clock.Millis {
	if len(changes.Changes)+len(changes.Skipped) == 0 && f.answer.headAfter(sentAt, f.clock.Now()) >= wait {
		return sentAt + wait
	}
	return sentAt
}

func (f *Feed) waitForChanges(ctx context.Context, since store.Revision, wait clock.Millis) (store.Changes, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	cause := make(chan error, 1)
	began := f.clock.Now()
	tracked := f.beginCall(call, began+wait)
	go func() { cause <- f.awaitInterrupt(cancel, done) }()
	changes, err := f.store.Follow(tracked, f.kind, since, wait)
	close(done)
	interrupt := <-cause
	f.endCall(interrupt == nil && !errors.Is(err, context.DeadlineExceeded))
	if interrupt != nil {
		f.log.Info("call to the store abandoned", "kind", f.kind, "since", since, "reason", interrupt, "tookMs", int64(f.clock.Since(began)))
		return store.Changes{}, interrupt
	}
	return changes, err
}

// awaitInterrupt cancels a call once it is not needed any more and returns the
// reason. It returns nil if done is closed before that.
func (f *Feed) awaitInterrupt(cancel func(), done <-chan struct{}) error {
	for {
		select {
		case <-f.listRequested:
			if f.answerBegins(done) {
				continue // a list would begin the same transfer again
			}
			cancel()
			return errListRequested
		case <-f.answer.long:
			cancel()
			return errLongAnswer
		case <-f.relayChanged:
			if f.Relayed() {
				cancel()
				return errRelayed
			}
		case <-done:
			return nil
		}
	}
}

func (f *Feed) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.giveUpVerifying()
	if !errors.Is(err, context.DeadlineExceeded) {
		f.dueAt.Store(0)
		f.refused.Store(true)
	}
	f.down.Store(true)
	if f.lostAt.CompareAndSwap(0, int64(f.clock.Now())) {
		f.log.Info("platform lost", "kind", f.kind, logs.KeyError, err)
	}
	f.backoff = min(max(2*f.backoff, minBackoff), max(f.backoffLimit(), minBackoff))
	// Jitter: an outage starts for all processes at the same time. If they all
	// retried at the same time, they would exceed the rate limit of the store.
	pause := f.backoff/2 + clock.Millis(rand.Int64N(int64(f.backoff)))
	if answered := f.outage.recordFailure(f); answered != nil {
		f.waitForProber(ctx, answered)
		pause = clock.Millis(rand.Int64N(int64(minBackoff)))
	}
	f.pauseAfterFailure(ctx, pause)
}

// pauseUnlessRelayed waits for a pause, or until a peer relays changes if that is
// earlier.
func (f *Feed) pauseUnlessRelayed(ctx context.Context, pause clock.Millis) {
	expired, stopTimer := f.clock.After(pause)
	defer stopTimer()
	select {
	case <-expired:
	case <-f.relayChanged:
	case <-ctx.Done():
	}
}

// pauseUnlessRequested is pauseUnlessRelayed, but a requested list ends the pause.
func (f *Feed) pauseUnlessRequested(ctx context.Context, pause clock.Millis) {
	expired, stopTimer := f.clock.After(pause)
	defer stopTimer()
	select {
	case <-expired:
	case <-f.relayChanged:
	case <-f.listRequested:
		f.requireList()
	case <-ctx.Done():
	}
}

// pauseAfterFailure is pauseUnlessRelayed, but a requested list shortens the pause to
// MaxBackoff: a peer with a newer state shows that the store answers again.
func (f *Feed) pauseAfterFailure(ctx context.Context, pause clock.Millis) {
	began := f.clock.Now()
	expired, stopTimer := f.clock.After(pause)
	defer func() { stopTimer() }()
	for {
		select {
		case <-f.listRequested:
			stopTimer()
			pause = min(pause, MaxBackoff)
			expired, stopTimer = f.clock.After(max(began+pause-f.clock.Now(), 0))
			continue
		case <-expired:
		case <-f.relayChanged:
		case <-ctx.Done():
		}
		return
	}
}

// recordAnswer records that the store answered. If that ends an outage, it sets
// the duration of the outage.
func (f *Feed) recordAnswer() {
	f.backoff = 0
	f.down.Store(false)
	f.refused.Store(false)
	f.outage.recordAnswer(f)
	lostAt := clock.Millis(f.lostAt.Swap(0))
	if lostAt == 0 {
		return
	}
	f.lostFor = max(f.clock.Since(lostAt), 1)
	f.log.Info("platform found again", "kind", f.kind, "awayMs", int64(f.lostFor))
}
