package feed

import (
	"bytes"
	"maps"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// KeepUntilWritten as Restore.KeepMissing keeps objects until they are written again.
const KeepUntilWritten clock.Millis = -1

const (
	// deletedTime is how long a feed remembers that an object was deleted, and maxDeleted how many
	// deleted objects it remembers.
	deletedTime = clock.Minute
	maxDeleted  = 4096
	// hideTime is the longest time for which an object stays hidden that the store restored after
	// it had been deleted. The platform removes the entries of what has ended before that.
	hideTime = 5 * clock.Second
	// maxEarly bounds the messages of peers that are kept until a list is read.
	maxEarly = 64
)

// Restore decides between the objects that a feed knows and those of a store that came back from
// a copy. The store has then lost what it acknowledged since the copy was made, until its writers
// write it again.
type Restore struct {
	// NewerFunc reports whether a known object is newer than the different one of the same name
	// that the store lists. If it is nil, the listed one is used.
	NewerFunc func(known, listed store.Object) bool
	// AlwaysNewer applies NewerFunc also to later changes of an object that is kept.
	AlwaysNewer bool
	// KeepMissing is how long a known object is kept that the store doesn't list, in milliseconds.
	KeepMissing clock.Millis
	// HideDeleted hides objects that the store lists as they were when they were deleted.
	HideDeleted bool
}

// WithRestore sets how the feed combines what it knows with the list of a store that came back
// from a copy. Without it, the feed uses the list.
func WithRestore(restore Restore) Option { return func(f *Feed) { f.restore = restore } }

// hold is the reason why a known object is used instead of the one in the store.
type hold struct {
	// over is the version in the store, zero if the store lacks the object.
	over store.Revision
	// until is when the object is given up, 0 if it is kept until it is written again.
	until clock.Millis
}

// deletion is an object that was deleted.
type deletion struct {
	object store.Object
	at     clock.Millis
}

// restored is the state of a feed that came from earlier eras of the store.
type restored struct {
	held map[string]hold
	// deleted holds objects that were deleted, and hidden those that the store has restored since,
	// by their version in the store.
	deleted map[string]deletion
	hidden  map[string]hiddenObject
	// early is what peers told of eras whose list this feed has not read yet, at most maxEarly.
	early []*wire.Update
}

// hiddenObject is an object as it is in the store, and until when it is hidden.
type hiddenObject struct {
	object store.Object
	until  clock.Millis
}

func newRestored() restored {
	return restored{held: make(map[string]hold), deleted: make(map[string]deletion), hidden: make(map[string]hiddenObject)}
}

// reconcile combines a list with what the feed knows. If the list is the first one of an era,
// objects that are newer than those in the list are kept; those that were kept before stay as
// long as the store has not changed. The sender of a list may itself keep objects, which heldThere
// explains. It reports whether the era has risen without a loss. The caller holds the lock.
func (f *Feed) reconcile(listed map[string]store.Object, heldThere map[string]hold, at store.Revision) (eraOnly bool) {
	s := &f.state
	now, newEra := f.clock.Now(), s.listed && s.revision.Era != at.Era
	held := make(map[string]hold)
	maps.Copy(held, heldThere)
	for name, known := range s.objects {
		if h, kept := f.keep(known, listed, heldThere, newEra, now); kept {
			listed[name], held[name] = known, h
		}
	}
	s.held = held
	hidden := 0
	for name, current := range listed {
		if f.isHidden(current, newEra, now) {
			delete(listed, name)
			delete(held, name)
			hidden++
		}
	}
	for _, early := range s.early {
		if early.Era == at.Era {
			f.mergeHolds(early, listed)
		}
	}
	s.early = slices.DeleteFunc(s.early, func(early *wire.Update) bool { return !at.EraBefore(early.At()) })
	if newEra {
		f.log.Info("store restored from a copy", "kind", f.kind, "before", s.revision, "listed", len(listed), "kept", len(held), "hidden", hidden)
	}
	return newEra && len(held)+hidden == 0 && maps.EqualFunc(s.objects, listed, func(known, listed store.Object) bool {
		return known.Version.Number == listed.Version.Number && sameContent(known, listed)
	})
}

// buildEraOnly returns the message that the era has risen without a loss since a revision; the caller
// holds the lock.
func (f *Feed) buildEraOnly(since store.Revision) *wire.Update {
	update := f.buildUpdate(nil, since)
	update.EraOnly, update.SinceEra = true, since.Era
	return update
}

// applyEraOnly applies the message of a peer that the era has risen without a loss. It returns false
// if this feed doesn't know the objects that the peer has, or others besides. A peer of the previous version states no digest of
// contents: it may hold lost ones under the numbers of this era, as this feed does.
func (f *Feed) applyEraOnly(update *wire.Update, at clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	if !s.listed || s.lastChange != update.SinceAt() || update.Contents == 0 || s.holdsElse(digests{update.Digest, update.Contents}) || len(s.held)+len(s.hidden)+len(s.early) > 0 {
		return false
	}
	for name, object := range s.objects {
		object.Version.Era = update.Era
		s.objects[name] = object
	}
	f.log.Info("era of the store risen without a loss", "kind", f.kind, "before", s.revision, "revision", update.At())
	s.revision, s.lastChange, s.missingSince, s.listDue = update.At(), update.ChangedAt(), 0, false
	s.readTo, s.listedAt, s.gone = update.ContentAt(), update.ContentAt(), nil
	s.confirm(at, update.By, true)
	f.publishProof()
	f.forwardFunc(f.buildEraOnly(update.SinceAt()))
	return true
}

// keep reports whether a known object is used instead of the listed one, and why. The caller holds
// the lock.
func (f *Feed) keep(known store.Object, listed map[string]store.Object, heldThere map[string]hold, newEra bool, now clock.Millis) (hold, bool) {
	current, found := listed[known.Name]
	there, isHeldThere := heldThere[known.Name]
	inStore := current.Version
	if isHeldThere {
		inStore = there.over
	}
	before, isHeld := f.state.held[known.Name]
	if newEra {
		h := f.newHold(inStore, now)
		if isHeld && before.until > 0 && h.until > 0 {
			h.until = min(h.until, before.until) // several returns don't keep it longer than one
		}
		return h, f.isKept(known, current, found)
	}
	switch {
	case !isHeld:
		return hold{}, false
	case before.over == inStore:
		return before, !isHeldThere || f.isKept(known, current, found)
	}
	return hold{over: inStore}, f.restore.AlwaysNewer && f.isKept(known, current, found)
}

// isKept reports whether a known object is used instead of the listed one, if that was found.
func (f *Feed) isKept(known, listed store.Object, found bool) bool {
	if !found {
		return f.restore.KeepMissing != 0
	}
	return !sameContent(known, listed) && f.restore.NewerFunc != nil && f.restore.NewerFunc(known, listed)
}

func (f *Feed) newHold(inStore store.Revision, now clock.Millis) hold {
	h := hold{over: inStore}
	if inStore.IsZero() && f.restore.KeepMissing > 0 {
		h.until = now + f.restore.KeepMissing
	}
	return h
}

// isHidden reports whether a listed object was deleted before the store restored it.
func (f *Feed) isHidden(listed store.Object, newEra bool, now clock.Millis) bool {
	s := &f.state
	if before, hidden := s.hidden[listed.Name]; hidden && !newEra {
		if before.object.Version == listed.Version {
			return true
		}
		delete(s.hidden, listed.Name)
		return false
	}
	if !newEra || !f.isDeleted(listed, now) {
		return false
	}
	s.hidden[listed.Name] = hiddenObject{object: listed, until: now + hideTime}
	return true
}

// isDeleted reports whether an object is one that was deleted of late, or an older one. The caller holds
// the lock.
func (f *Feed) isDeleted(object store.Object, now clock.Millis) bool {
	gone, found := f.state.deleted[object.Name]
	if !found || !f.restore.HideDeleted || now-gone.at > deletedTime {
		return false
	}
	return sameContent(gone.object, object) || f.restore.NewerFunc != nil && f.restore.NewerFunc(gone.object, object)
}

func sameContent(a, b store.Object) bool {
	return bytes.Equal(a.Value, b.Value) && bytes.Equal(a.Status, b.Status)
}

// recordDeleted remembers an object that was deleted. The caller holds the lock.
func (f *Feed) recordDeleted(name string) {
	object, known := f.state.objects[name]
	if !known || !f.restore.HideDeleted {
		return
	}
	now := f.clock.Now()
	if len(f.state.deleted) >= maxDeleted {
		maps.DeleteFunc(f.state.deleted, func(_ string, d deletion) bool { return now-d.at > deletedTime })
	}
	if len(f.state.deleted) < maxDeleted {
		f.state.deleted[name] = deletion{object: object, at: now}
	}
}

// release ends the hold of an object because the store has changed it, and reports whether the
// change is used. The caller holds the lock.
func (f *Feed) release(change store.Change) bool {
	s := &f.state
	name := change.Object.Name
	delete(s.hidden, name)
	if _, held := s.held[name]; !held {
		return true
	}
	if known := s.objects[name]; !change.Deleted && f.restore.AlwaysNewer && f.restore.NewerFunc(known, change.Object) {
		s.held[name] = hold{over: change.Object.Version}
		return false
	}
	delete(s.held, name)
	return true
}

// Expire gives up objects that the store has lost and that were not written again in time, and
// shows restored objects that are no longer hidden. Call it regularly.
func (f *Feed) Expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	now := f.clock.Now()
	var changes []store.Change
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		if until := s.held[name].until; until > 0 && until <= now {
			changes = append(changes, store.Change{Object: s.objects[name], Deleted: true})
			delete(s.held, name)
			delete(s.objects, name)
		}
	}
	if len(changes) > 0 {
		f.log.Info("lost objects given up", "kind", f.kind, "objects", len(changes), "first", changes[0].Object.Name)
	}
	for name, h := range s.hidden {
		if h.until <= now {
			delete(s.hidden, name)
			delete(s.deleted, name)
			s.objects[name] = h.object
			changes = append(changes, store.Change{Object: h.object})
		}
	}
	if len(changes) > 0 {
		s.recount()
		f.changeFunc(changes)
	}
}

// Lost returns the objects that the store acknowledged in an earlier era and doesn't have now.
func (f *Feed) Lost() []store.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lost []store.Object
	for _, name := range slices.Sorted(maps.Keys(f.state.held)) {
		lost = append(lost, f.state.objects[name])
	}
	return lost
}

// Hidden returns the names of the objects that the store restored although they had been deleted,
// with their versions in the store.
func (f *Feed) Hidden() map[string]store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	hidden := make(map[string]store.Revision, len(f.state.hidden))
	for name, h := range f.state.hidden {
		hidden[name] = h.object.Version
	}
	return hidden
}

// IsLost reports whether the store acknowledged an object in an earlier era and doesn't have it now.
func (f *Feed) IsLost(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, held := f.state.held[name]
	return held
}

// Holds returns the objects that are used although the store has lost them, nil if there are none.
// Processes that start meanwhile can't read them.
func (f *Feed) Holds() *wire.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.state.held) == 0 {
		return nil
	}
	update := &wire.Update{Kind: f.kind, Lost: true, Era: f.state.revision.Era, Revision: f.state.revision.Number, Changed: f.lastChange()}
	for _, name := range slices.Sorted(maps.Keys(f.state.held)) {
		update.Objects = append(update.Objects, f.storedOf(f.state.objects[name], false))
	}
	return update
}

// applyHolds takes the objects of Holds of another process, unless this one knows newer ones. It keeps
// those of an era whose list was not read yet until that is read.
func (f *Feed) applyHolds(update *wire.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	if !s.listed || s.revision.EraBefore(update.At()) {
		if len(s.early) < maxEarly {
			s.early = append(s.early, update)
		}
		return
	}
	if update.Era != s.revision.Era {
		return
	}
	if changes := f.mergeHolds(update, s.objects); len(changes) > 0 {
		s.recount()
		f.changeFunc(changes)
	}
}

// mergeHolds adds the objects of Holds of another process to those of the same era, and returns the
// ones that it added. The caller holds the lock.
func (f *Feed) mergeHolds(update *wire.Update, objects map[string]store.Object) (changes []store.Change) {
	held := f.state.held
	for _, stored := range update.Objects {
		if stored.Hold == nil {
			continue
		}
		object, h := objectOf(stored, update.Era), f.holdOf(stored, update.Era)
		current, found := objects[object.Name]
		over := current.Version
		if own, isHeld := held[object.Name]; isHeld {
			over = own.over
		}
		if over != h.over || !f.isKept(object, current, found) || f.isDeleted(object, f.clock.Now()) {
			continue
		}
		objects[object.Name], held[object.Name] = object, h
		changes = append(changes, store.Change{Object: object})
	}
	if len(changes) > 0 {
		f.log.Info("lost objects taken from a peer", "kind", f.kind, "objects", len(changes), "first", changes[0].Object.Name)
	}
	return changes
}

// holdOf returns the hold of an object that another process keeps.
func (f *Feed) holdOf(stored wire.Stored, era uint64) hold {
	h := hold{}
	if stored.Hold.Over != 0 {
		h.over = store.Revision{Era: era, Number: stored.Hold.Over}
	}
	if stored.Hold.Left > 0 {
		h.until = f.clock.Now() + stored.Hold.Left
	}
	return h
}

// storedOf returns the message for an object; the caller holds the lock.
func (f *Feed) storedOf(object store.Object, deleted bool) wire.Stored {
	stored := wire.Stored{Name: object.Name, Version: object.Version.Number, Value: object.Value, Status: object.Status, Deleted: deleted, Unversioned: object.Unversioned, Previous: f.state.previousOf(object), Digest: object.Digest}
	if h, held := f.state.held[object.Name]; held && !deleted {
		stored.Hold = &wire.Hold{Era: object.Version.Era, Over: h.over.Number}
		if h.until > 0 {
			stored.Hold.Left = max(h.until-f.clock.Now(), 1)
		}
	}
	return stored
}

// objectOf returns the object of a message of an era.
func objectOf(o wire.Stored, era uint64) store.Object {
	version := store.Revision{Era: era, Number: o.Version}
	if o.Hold != nil {
		version.Era = o.Hold.Era
	}
	return store.Object{Name: o.Name, Version: version, Value: o.Value, Status: o.Status, Unversioned: o.Unversioned, Digest: o.Digest}
}
