package feed

import (
	"context"
	"maps"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// defaultMaxAge is how long after the store's last answer, as a peer relays it, a
// feed goes without asking the store itself. Together with one call it stays
// below the shortest time within which changes must be in force.
const defaultMaxAge = 1400 * clock.Millis(1)

// state is what a feed knows.
type state struct {
	// listed is set once the list was read, listDue while it has to be
	// read again.
	listed  bool
	listDue bool
	// known is the revision up to which everything was read, changed that of the
	// last change.
	known   uint64
	changed uint64
	objects map[string]store.Object
	// confirmed is when the store last confirmed it, to this process or to a peer that
	// relayed it; relayed is the latter alone.
	confirmed clock.Millis
	relayed   clock.Millis
}

// Kind returns the kind that is followed.
func (f *Feed) Kind() string { return f.kind }

// Listed reports whether the list was read at least once.
func (f *Feed) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.listed
}

// Version returns the version of an object, 0 if it is not known.
func (f *Feed) Version(name string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.objects[name].Version
}

// Changed returns the revision of the last change that was read.
func (f *Feed) Changed() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.changed
}

// Relayed reports whether a peer relays changes.
func (f *Feed) Relayed() bool { return f.relayedLeft() > 0 }

// relayedLeft returns how long a peer's word still counts.
func (f *Feed) relayedLeft() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.listed || f.state.listDue || f.state.relayed == 0 {
		return 0
	}
	return f.state.relayed + f.maxAge - f.clock.Now()
}

// graceLeft returns how long a peer's word is still awaited after the store's
// last one.
func (f *Feed) graceLeft() clock.Millis {
	grace := f.grace()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.listed || f.state.listDue || grace == 0 {
		return 0
	}
	return f.state.confirmed + grace - f.clock.Now()
}

// awaitRelay returns when the list is asked for, or when no peer has confirmed for
// a while what is known.
func (f *Feed) awaitRelay(ctx context.Context) {
	f.foundByRelay()
	for left := f.relayedLeft(); left > 0; left = f.relayedLeft() {
		over, forget := f.clock.After(left)
		select {
		case <-over:
		case <-f.relayed:
		case <-f.wakeUp:
			f.requireList()
		case <-ctx.Done():
		}
		forget()
		if ctx.Err() != nil {
			return
		}
	}
	f.log.Info("peer relays no changes", "kind", f.kind, "ageMs", int64(f.maxAge))
}

// known returns the revision up to which everything was read, and whether
// changes can be followed from there.
func (f *Feed) known() (since uint64, current bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.known, f.state.listed && !f.state.listDue
}

// requireList has the whole list read again.
func (f *Feed) requireList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.listDue, f.state.relayed = true, 0
}

// foundByRelay notes that a peer has an answer of the store, while this process
// may have had none.
func (f *Feed) foundByRelay() {
	f.backoff, f.away = 0, 0
	f.outage.answered(f)
	f.down.Store(false)
	if f.lost > 0 {
		f.log.Info("platform found again through a peer", "kind", f.kind, "awayMs", int64(f.clock.Since(f.lost)))
		f.lost = 0
	}
}

// Seen returns how far the kind was followed.
func (f *Feed) Seen() wire.Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := wire.Progress{Kind: f.kind, Revision: f.state.known, Changed: min(f.state.changed, f.state.known)}
	if !f.ageless {
		seen.Age = max(f.clock.Now()-f.state.confirmed, 0)
	}
	return seen
}

// Whole returns all objects, nil before they were read.
func (f *Feed) Whole() *wire.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.listed {
		return nil
	}
	return f.whole(0)
}

// whole returns all objects; the caller holds the lock.
func (f *Feed) whole(away clock.Millis) *wire.Update {
	update := &wire.Update{
		Kind: f.kind, Revision: f.state.known, Changed: f.state.changed, Whole: true, Outage: away,
		Age: max(f.clock.Now()-f.state.confirmed, 0),
	}
	for _, name := range slices.Sorted(maps.Keys(f.state.objects)) {
		object := f.state.objects[name]
		update.Objects = append(update.Objects, storedOf(object, false))
	}
	return update
}

// takeList takes the whole list as of a revision.
func (f *Feed) takeList(objects []store.Object, revision, changed uint64, away, at clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	due := s.listDue || !s.listed
	s.listDue = false
	s.confirmed = max(s.confirmed, at)
	if s.listed && (revision < s.known || (revision == s.known && !due)) {
		return // known from elsewhere
	}
	s.listed, s.known, s.changed = true, revision, changed
	s.objects = make(map[string]store.Object, len(objects))
	for _, object := range objects {
		s.objects[object.Name] = object
	}
	f.listFunc(objects, away)
	f.forwardFunc(f.whole(away))
}

// takeChanges takes the changes between two revisions and returns the revision
// that is known now. It leaves out those that are known already.
func (f *Feed) takeChanges(changes []store.Change, since, revision uint64, at clock.Millis) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	s.confirmed = max(s.confirmed, at)
	if revision <= s.known {
		return s.known
	}
	fresh := slices.DeleteFunc(slices.Clone(changes), func(change store.Change) bool { return f.isOld(change, since) })
	s.known = revision
	if len(fresh) == 0 {
		return s.known
	}
	s.changed = revision
	for _, change := range fresh {
		if change.Deleted {
			delete(s.objects, change.Object.Name)
			continue
		}
		s.objects[change.Object.Name] = change.Object
	}
	f.changeFunc(fresh)
	f.forwardFunc(f.update(fresh, since))
	return s.known
}

// isOld reports whether a change was known before, where changes overlap with
// what was read another way. The caller holds the lock.
func (f *Feed) isOld(change store.Change, since uint64) bool {
	if since == f.state.known {
		return false
	}
	held, found := f.state.objects[change.Object.Name]
	if change.Deleted {
		return !found || held.Version > change.Object.Version
	}
	if found {
		return held.Version >= change.Object.Version
	}
	return change.Object.Version <= f.state.known
}

// update returns a message of changes; the caller holds the lock.
func (f *Feed) update(changes []store.Change, since uint64) *wire.Update {
	update := &wire.Update{
		Kind: f.kind, Since: since, Revision: f.state.known, Changed: f.state.changed,
		Age: max(f.clock.Now()-f.state.confirmed, 0),
	}
	for _, change := range changes {
		update.Objects = append(update.Objects, storedOf(change.Object, change.Deleted))
	}
	return update
}

// Take takes what a peer relays, and reports whether changes before it are
// missing.
func (f *Feed) Take(update *wire.Update, now clock.Millis) (missing bool) {
	at := now - update.Age
	if update.Whole {
		f.takeList(objectsOf(update), update.Revision, update.Changed, update.Outage, at)
	} else {
		if known, current := f.known(); !current || update.Since > known {
			return true
		}
		f.takeChanges(changesOf(update), update.Since, update.Revision, at)
	}
	f.relayedAt(at)
	return false
}

// Confirm takes how far a peer has followed the kind, as of an instant, and
// reports whether this feed lacks changes that the peer has.
func (f *Feed) Confirm(seen wire.Progress, now clock.Millis) (missing bool) {
	f.mu.Lock()
	if f.state.known < seen.Changed || !f.state.listed {
		f.mu.Unlock()
		return true
	}
	f.state.known, f.state.listDue = max(f.state.known, seen.Revision), false
	f.mu.Unlock()
	f.relayedAt(now - seen.Age)
	return false
}

// Alone has the store asked at once: no peer is followed any more.
func (f *Feed) Alone() {
	f.mu.Lock()
	f.state.relayed = 0
	f.mu.Unlock()
	f.nudge()
}

// nudge has Run look again whether a peer relays changes.
func (f *Feed) nudge() {
	select {
	case f.relayed <- struct{}{}:
	default:
	}
}

// relayedAt notes that a peer relays the store's state as of an instant.
func (f *Feed) relayedAt(at clock.Millis) {
	before := f.Relayed()
	f.mu.Lock()
	f.state.relayed = max(f.state.relayed, at)
	f.state.confirmed = max(f.state.confirmed, at)
	f.mu.Unlock()
	if !before && f.Relayed() {
		f.log.Info("changes relayed by a peer", "kind", f.kind, "ageMs", int64(f.clock.Now()-at))
		f.nudge()
	}
}

func storedOf(object store.Object, deleted bool) wire.Stored {
	return wire.Stored{Name: object.Name, Version: object.Version, Value: object.Value, Status: object.Status, Deleted: deleted}
}

func objectOf(o wire.Stored) store.Object {
	return store.Object{Name: o.Name, Version: o.Version, Value: o.Value, Status: o.Status}
}

func objectsOf(update *wire.Update) []store.Object {
	objects := make([]store.Object, 0, len(update.Objects))
	for _, o := range update.Objects {
		objects = append(objects, objectOf(o))
	}
	return objects
}

func changesOf(update *wire.Update) []store.Change {
	changes := make([]store.Change, 0, len(update.Objects))
	for _, o := range update.Objects {
		changes = append(changes, store.Change{Object: objectOf(o), Deleted: o.Deleted})
	}
	return changes
}
