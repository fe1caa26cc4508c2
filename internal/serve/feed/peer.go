package feed

import (
	"context"
	"maps"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// defaultMaxAge is the age up to which an answer of the store that a peer relays
// replaces a call. Together with the time of one call it stays below the shortest
// time within which changes must be in force.
const defaultMaxAge = 1400 * clock.Millis(1)

// state is a feed's copy of the objects, and its revision and age.
type state struct {
	// listed is set once the list was read, listDue while it has to be read again. What peers relay replaces it, unless
	// fromStore is set.
	listed, listDue, fromStore bool
	// revision is the latest revision that the store has stated for these objects, lastChange that of the answer with the
	// last change.
	revision   store.Revision
	lastChange store.Revision
	content
	objects map[string]store.Object
	// previous holds by name the versions of large objects before those in objects.
	previous map[string]previous
	restored
	// confirmedAt is when the store last confirmed this state, to this process or to
	// a peer that relayed it; relayedAt counts only the answers that a peer relayed.
	// Instants before the start of this process are negative.
	confirmedAt clock.Millis
	relayedAt   clock.Millis
	// confirmedBy is the process whose call to the store confirmedAt comes from, 0 if that is not known, and byPeer is set if
	// a peer has passed it on.
	confirmedBy token.Incarnation
	byPeer      bool
	// expectedUntil is set while a peer transfers objects: the feed waits for them
	// and doesn't request the same objects from the store.
	expectedUntil clock.Millis
	// missingSince is when the peer first showed changes that this feed lacks, 0 if it
	// lacks none.
	missingSince clock.Millis
}

// neverConfirmed is the instant of a state that the store has not confirmed.
const neverConfirmed = -1 << 50 * clock.Millis(1)

// confirm records that the store has confirmed this state for an instant, in an answer to a process.
func (s *state) confirm(at clock.Millis, by token.Incarnation, byPeer bool) {
	if at > s.confirmedAt {
		s.confirmedAt, s.confirmedBy, s.byPeer = at, by, byPeer
	}
}

// Kind returns the kind of objects that the feed follows.
func (f *Feed) Kind() string { return f.kind }

// Listed reports whether the list was read at least once.
func (f *Feed) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.listed
}

// Version returns the version of an object in the store, zero if none is known.
func (f *Feed) Version(name string) store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, held := f.state.held[name]; held {
		return h.over
	}
	return f.state.objects[name].Version
}

// LastChange returns the revision of the last change that was read.
func (f *Feed) LastChange() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.lastChange
}

// Behind reports whether a peer has shown changes that this feed lacks, and the store has not
// confirmed the known state since.
func (f *Feed) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.behind()
}

func (s *state) behind() bool { return s.missingSince > 0 && s.confirmedAt < s.missingSince }

// Proof is what the store has confirmed about the objects that a feed has read.
type Proof struct {
	// ConfirmedAt is the instant for which the store has confirmed that there are no others, and Relayed
	// whether a peer passed that on.
	ConfirmedAt clock.Millis
	Relayed     bool
	// Behind is Feed.Behind.
	Behind bool
	// Revision is the latest revision of the store that was confirmed. The objects may be older: the store states
	// revisions without changes.
	Revision store.Revision
}

// WithProof sets the function that takes each new proof. It is called after the handlers of the objects
// that the proof covers, and must not call the feed.
func WithProof(prove func(Proof)) Option { return func(f *Feed) { f.proofFunc = prove } }

// publishProof passes the present proof on. The caller holds the lock.
func (f *Feed) publishProof() {
	s := &f.state
	f.proofFunc(Proof{ConfirmedAt: s.confirmedAt, Relayed: s.byPeer, Behind: s.behind(), Revision: s.revision})
}

// Relayed reports whether a peer relays changes.
func (f *Feed) Relayed() bool { return f.relayTimeLeft() > 0 }

// relayTimeLeft returns the time until the last relayed answer exceeds maxAge, in
// milliseconds; it is not positive if no peer relays changes.
func (f *Feed) relayTimeLeft() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.listed || f.state.listDue || f.state.relayedAt == 0 {
		return 0
	}
	until := f.state.relayedAt + f.maxAge
	if f.state.missingSince > 0 {
		until = min(until, max(f.state.missingSince+f.maxAge/MissingDivisor, f.state.expectedUntil))
	}
	return until - f.clock.Now()
}

// MissingDivisor divides the maximum age: for that part of it the feed waits for changes that
// it lacks before it calls the store. Peers normally deliver them within 0.3 s.
const MissingDivisor = 2

// graceTimeLeft returns how long the feed still waits for a peer before it calls
// the store, in milliseconds; it is not positive if it has to call now.
func (f *Feed) graceTimeLeft() clock.Millis {
	grace := f.relayGrace()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.listed || f.state.listDue || grace == 0 {
		return 0
	}
	expected := min(f.state.expectedUntil, f.state.confirmedAt+f.maxAge)
	return max(f.state.confirmedAt+grace, expected) - f.clock.Now()
}

// followRelay waits while a peer relays changes. It returns when the list is
// requested or the last relayed answer exceeds maxAge.
func (f *Feed) followRelay(ctx context.Context) {
	f.recordRelayedAnswer()
	for left := f.relayTimeLeft(); left > 0; left = f.relayTimeLeft() {
		expired, stopTimer := f.clock.After(left)
		select {
		case <-expired:
		case <-f.relayChanged:
		case <-f.listRequested:
			f.requireList()
		case <-ctx.Done():
		}
		stopTimer()
		if ctx.Err() != nil {
			return
		}
	}
	f.log.Info("peer relays no changes", "kind", f.kind, "ageMs", int64(f.maxAge))
}

// knownRevision returns the revision from which on changes have to be read, and whether
// the feed can read them without the list.
func (f *Feed) knownRevision() (since store.Revision, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.readTo, f.state.listed && !f.state.listDue
}

// knownEra returns the latest revision that is known, and whether the feed can apply changes to what it has.
func (f *Feed) knownEra() (known store.Revision, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.revision, f.state.listed && !f.state.listDue
}

// requireList makes Run read the complete list again.
func (f *Feed) requireList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.requireList()
}

func (s *state) requireList() { s.listDue, s.relayedAt = true, 0 }

// recordRelayedAnswer records that a peer relays answers of the store. That ends an
// outage which this process may have detected.
func (f *Feed) recordRelayedAnswer() {
	f.backoff, f.lostFor = 0, 0
	f.dueAt.Store(0)
	f.outage.recordAnswer(f)
	f.down.Store(false)
	f.refused.Store(false)
	if lostAt := clock.Millis(f.lostAt.Swap(0)); lostAt > 0 {
		f.log.Info("platform found again through a peer", "kind", f.kind, "awayMs", int64(f.clock.Since(lostAt)))
	}
}

// Progress returns the revision up to which the kind was read, and its age.
func (f *Feed) Progress() wire.Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	progress := wire.Progress{
		Kind: f.kind, Era: f.state.revision.Era, Revision: f.state.revision.Number, Changed: f.lastChange(),
		Content: f.state.contentNumber(), Digest: f.state.stated(), Contents: f.state.statedContents(), By: f.state.confirmedBy,
	}
	if !f.hideAge {
		progress.Age = max(f.clock.Now()-f.state.confirmedAt, 0)
	}
	return progress
}

// lastChange returns the number of the last change within the era of the known revision. The
// caller holds the lock.
func (f *Feed) lastChange() uint64 {
	if f.state.revision.Before(f.state.lastChange) {
		return f.state.revision.Number
	}
	return f.state.lastChange.Number
}

// Snapshot returns all objects, nil before the first read.
func (f *Feed) Snapshot() *wire.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.listed {
		return nil
	}
	return f.buildSnapshot(0)
}

// age returns the present instant and the age of the known state. The caller holds the lock.
func (f *Feed) age() (now, age clock.Millis) {
	now = f.clock.Now()
	return now, max(now-f.state.confirmedAt, 0)
}

// buildSnapshot returns all objects; the caller holds the lock.
func (f *Feed) buildSnapshot(outage clock.Millis) *wire.Update {
	update := &wire.Update{
		Kind: f.kind, Era: f.state.revision.Era, Revision: f.state.revision.Number, Changed: f.lastChange(), Whole: true, Outage: outage,
		Content: f.state.contentNumber(), Digest: f.state.stated(), Contents: f.state.statedContents(), By: f.state.confirmedBy,
	}
	update.AsOf, update.Age = f.age()
	for _, name := range slices.Sorted(maps.Keys(f.state.objects)) {
		object := f.state.objects[name]
		update.Objects = append(update.Objects, f.storedOf(object, false))
	}
	return update
}

// Apply applies a snapshot or changes that a peer relays, or the objects of its Holds. It reports whether
// earlier changes are missing.
func (f *Feed) Apply(update *wire.Update, now clock.Millis) (missing bool) {
	if update.Lost {
		f.applyHolds(withDigests(update))
		return false
	}
	at := now - update.Age
	if f.isOlder(update.At()) {
		return false
	}
	update, known := f.applyPatch(update)
	if !known {
		return true
	}
	update = withDigests(update)
	switch known, listed := f.knownEra(); {
	case update.Whole:
		if !f.applyList(f.listOf(update, at)) {
			return false
		}
	case update.EraOnly && known.Era != update.Era:
		if !f.applyEraOnly(update, at) {
			return true
		}
	case !listed, update.Era != known.Era, !update.EraOnly && known.Before(update.SinceAt()):
		return true
	default:
		f.applyChanges(changesOf(update))
	}
	return f.compare(peerCopy{revision: update.At(), content: update.ContentAt(), digests: digests{update.Digest, update.Contents}, at: at, by: update.By})
}

// Confirm takes the progress of a peer as of an instant. It reports whether the peer holds something else, such as
// changes that this feed lacks; then the progress is ignored.
func (f *Feed) Confirm(progress wire.Progress, now clock.Millis) (missing bool) {
	f.mu.Lock()
	if !f.state.listed || f.state.revision.Before(progress.ChangedAt()) {
		f.recordMissing()
		f.mu.Unlock()
		return true
	}
	if progress.At().Before(f.state.revision) {
		f.state.missingSince = 0
		f.publishProof()
		f.logOlder("confirmation of a peer", progress.At())
		f.mu.Unlock()
		return false // an older answer shows nothing about the known revision
	}
	f.mu.Unlock()
	return f.compare(peerCopy{revision: progress.At(), content: progress.ContentAt(), digests: digests{progress.Digest, progress.Contents}, at: now - progress.Age, by: progress.By})
}

// recordMissing records that a peer has shown what this feed lacks. The caller holds the lock.
func (f *Feed) recordMissing() {
	if f.state.missingSince == 0 {
		f.state.missingSince = f.clock.Now()
		f.publishProof()
		f.wakeRun()
	}
}

// expectFor is how long the feed waits for the next part of objects that a peer
// transfers.
const expectFor = 600 * clock.Millis(1)

// Expect records that a peer is transferring objects. The feed then waits up to
// expectFor before it calls the store, but not longer than the maximum age.
func (f *Feed) Expect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.expectedUntil = f.clock.Now() + expectFor
}

// EndRelay makes Run call the store at once, because no peer relays changes any
// more.
func (f *Feed) EndRelay() {
	f.mu.Lock()
	f.state.relayedAt = 0
	f.mu.Unlock()
	f.wakeRun()
}

// wakeRun makes Run check again whether a peer relays changes.
func (f *Feed) wakeRun() {
	select {
	case f.relayChanged <- struct{}{}:
	default:
	}
}
