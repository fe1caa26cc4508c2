package feed

import (
	"maps"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// listed is a complete list as of a revision.
type listed struct {
	objects []store.Object
	// held explains the objects that the sender of the list keeps although the store lacks them.
	held              map[string]hold
	revision, changed store.Revision
	// content is the revision as of which the sender has read the objects. A peer may state a later revision without a change.
	content    store.Revision
	outage, at clock.Millis
	// relayed is set for the list of a peer.
	relayed bool
}

// applyList replaces all objects by a list. It ignores an older list, and one of a peer that lacks what this feed has
// read; then it returns false.
func (f *Feed) applyList(list *listed) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	objects, usable := f.objectsOf(list)
	if !usable {
		return false
	}
	s.listDue = s.fromStore && list.relayed
	if !list.relayed {
		s.fromStore = false
		s.confirm(list.at, f.incarnation, false)
		f.logCorrections(objects, list)
	}
	defer f.publishProof() // after the objects
	if f.isSame(objects, list) {
		s.revision, s.readTo, s.listedAt = list.revision, list.content, list.content
		s.missingSince, s.gone = 0, nil
		return true
	}
	before := s.lastChange
	eraOnly := f.reconcile(objects, list.held, list.revision)
	for name := range s.objects {
		if _, found := objects[name]; !found {
			f.recordDeleted(name)
			delete(s.previous, name)
		}
	}
	for name := range objects {
		delete(s.deleted, name)
		if known := s.objects[name]; known.Version != objects[name].Version {
			s.keepPrevious(known, objects[name])
		}
	}
	s.listed, s.revision, s.lastChange, s.objects = true, list.revision, list.changed, objects
	s.readTo, s.listedAt, s.gone = list.content, list.content, nil
	s.recount()
	s.missingSince = 0
	all := make([]store.Object, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		all = append(all, objects[name])
	}
	if eraOnly { // peers get it first: the handler may take longer than they wait
		f.forwardFunc(f.buildEraOnly(before))
	} else {
		f.forwardFunc(f.buildSnapshot(list.outage))
	}
	f.listFunc(all, list.outage)
	return true
}

// objectsOf returns the objects of a list, and whether the list may replace the known ones. The caller holds the lock.
func (f *Feed) objectsOf(list *listed) (objects map[string]store.Object, usable bool) {
	s := &f.state
	if s.fromStore && list.relayed && !s.revision.Before(list.revision) {
		return nil, false // at the same revision, only the store tells who is right
	}
	if s.listed && list.revision.Before(s.revision) {
		s.listDue = s.fromStore
		f.logOlder("list", list.revision)
		return nil, false // an older answer shows nothing about the known revision
	}
	objects = make(map[string]store.Object, len(list.objects))
	for _, object := range list.objects {
		objects[object.Name] = object
	}
	if list.relayed && s.listed && f.goesBack(objects, list) {
		f.recordMissing()
		f.recordDiffers(list.revision, digests{}, differGrace)
		return nil, false
	}
	return objects, true
}

// isSame reports whether a list holds what is known, so that neither peers nor the handler need it. The caller holds the lock.
func (f *Feed) isSame(objects map[string]store.Object, list *listed) bool {
	s := &f.state
	return s.listed && s.revision.Era == list.revision.Era && list.outage == 0 && len(list.held)+len(s.held)+len(s.hidden)+len(s.early) == 0 &&
		maps.EqualFunc(s.objects, objects, func(known, listed store.Object) bool {
			return (known.Version == listed.Version || known.Unversioned && listed.Unversioned) && sameContent(known, listed)
		})
}

// goesBack reports whether a peer lacks a change that this feed has read, or has other contents under its number. The caller holds
// the lock.
func (f *Feed) goesBack(objects map[string]store.Object, list *listed) bool {
	s := &f.state
	if s.revision.Era != list.revision.Era {
		return false
	}
	for name, known := range s.objects {
		if _, held := s.held[name]; held || known.Unversioned || known.Version.Era != list.revision.Era {
			continue
		}
		if _, held := list.held[name]; held {
			continue
		}
		if current, found := objects[name]; found && isOutdated(known, current) || !found && list.content.Before(known.Version) {
			return true
		}
	}
	for name, listed := range objects {
		if _, held := list.held[name]; !held && !listed.Unversioned && s.isDeletedAfter(name, listed.Version) {
			return true
		}
	}
	return false
}

// isOutdated reports whether a listed object is older than the known one, or has other contents under its number.
func isOutdated(known, listed store.Object) bool {
	return listed.Version.Before(known.Version) || isContradicted(known, listed)
}

// changes are changes of the store that it or a peer has sent, in any order.
type changes struct {
	changes []store.Change
	// revision is the one that the sender states, and at the instant for which it states it. skipped is the number of changes that
	// can't be read.
	revision store.Revision
	at       clock.Millis
	skipped  int
	// content is the revision up to which a peer has read all changes.
	content store.Revision
	// partial is set if others may have been left out because of the size of the answer, and relayed for those of a peer.
	partial, relayed bool
}

// newest returns the highest version of the changes.
func (c *changes) newest() store.Revision {
	var newest store.Revision
	for i := range c.changes {
		newest = store.Latest(newest, c.changes[i].Object.Version)
	}
	return newest
}

// applyChanges applies the changes that the known objects lack, and returns how many there were. Those of the store
// confirm the objects unless they are partial.
func (f *Feed) applyChanges(c changes) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	newest, since := c.newest(), s.revision
	stated := store.Latest(c.revision, newest)
	if c.partial {
		stated = store.Latest(newest, s.revision)
	}
	older := stated.Before(s.revision)
	if older {
		f.logOlder("changes", stated)
	} else {
		s.revision = stated
	}
	fresh := f.applyEach(c.changes, since)
	s.closeGone(c.changes, store.Latest(newest, c.content))
	if !c.relayed {
		f.recordRead(&c, newest)
		if s.partial = c.partial; !older && !c.partial && !s.listDue {
			s.missingSince = 0
			s.confirm(c.at, f.incarnation, false)
		}
	} else if !older {
		s.missingSince = 0
	}
	defer f.publishProof() // after the objects
	if len(fresh) == 0 {
		return 0
	}
	s.lastChange = s.revision
	f.forwardFunc(f.buildUpdate(fresh, since)) // peers get it first: the handler may take longer than they wait
	f.changeFunc(fresh)
	return len(fresh)
}

// applyEach applies those changes that the known objects lack, and returns them. The caller holds the lock.
func (f *Feed) applyEach(all []store.Change, known store.Revision) (fresh []store.Change) {
	s := &f.state
	for _, change := range inOrder(all, s.revision) {
		name := change.Object.Name
		if f.isOld(change) {
			continue
		}
		before, digest, contents := s.inStore(name), s.digestOf(name), s.contentsOf(name)
		if f.release(change) {
			f.logLeftOut(change, known)
			if change.Deleted {
				f.recordDeleted(name)
				s.recordGone(change, before)
				delete(s.objects, name)
				delete(s.previous, name)
			} else {
				delete(s.deleted, name)
				delete(s.gone, name)
				s.keepPrevious(s.objects[name], change.Object)
				s.objects[name] = change.Object
			}
			fresh = append(fresh, change)
		}
		s.sum += s.digestOf(name) - digest
		s.contents += s.contentsOf(name) - contents
	}
	return fresh
}

// inOrder returns changes up to a revision in the order in which they were made. A deleted object may have the version of its
// last write; a change without a version is as of the revision.
func inOrder(all []store.Change, at store.Revision) []store.Change {
	versioned := slices.Clone(all)
	for i := range versioned {
		if object := &versioned[i].Object; object.Version.IsZero() {
			object.Version, object.Unversioned = at, true
		}
	}
	return slices.SortedStableFunc(slices.Values(versioned), func(a, b store.Change) int {
		if order := a.Object.Version.Compare(b.Object.Version); order != 0 || a.Deleted == b.Deleted {
			return order
		}
		if b.Deleted {
			return -1
		}
		return 1
	})
}

// isOld reports whether a change was applied before, or is older than what is known. The version of the object decides, not the
// revision of the copy: the copy may lack changes before it. The caller holds the lock.
func (f *Feed) isOld(change store.Change) bool {
	s := &f.state
	name, version := change.Object.Name, change.Object.Version
	if over := s.inStore(name); s.isKept(name) { // of the earlier era, or hidden
		return version.Before(over) || version == over && !change.Deleted
	}
	current, found := s.objects[name]
	switch {
	case change.Deleted && !found:
		s.recordGone(change, store.Revision{})
		return true
	case change.Deleted:
		return version.Before(current.Version)
	case found:
		if isContradicted(current, change.Object) {
			f.recordDiffers(version, digests{}, 0)
		}
		return !current.Version.Before(version)
	case !s.listedAt.Before(version):
		return true // the list would hold it
	}
	return f.isGone(change)
}

// logOlder logs an answer or a message that is ignored because its revision is lower than the
// known one, once for each known revision and source. The caller holds the lock.
func (f *Feed) logOlder(source string, revision store.Revision) {
	if f.olderLogged[source] == f.state.revision {
		return
	}
	f.olderLogged[source] = f.state.revision
	f.log.Info("older state ignored", "kind", f.kind, "source", source, "revision", revision, "known", f.state.revision)
}

// logLeftOut logs a change that an earlier answer of the store or a peer has left out: it stated a revision that is not
// below the change. The caller holds the lock.
func (f *Feed) logLeftOut(change store.Change, known store.Revision) {
	if !known.Before(change.Object.Version) && known.Era == change.Object.Version.Era && !change.Deleted {
		f.log.Warn("change was left out", "kind", f.kind, "name", change.Object.Name, "version", change.Object.Version, "known", known)
	}
}

// logCorrections logs the first object of a list of the store that proves the copy wrong: it lacks a change up to the
// revision that was confirmed, or has other contents under a number. The caller holds the lock.
func (f *Feed) logCorrections(objects map[string]store.Object, list *listed) {
	s := &f.state
	if !s.listed || s.revision.Era != list.revision.Era || len(s.held)+len(s.hidden) > 0 {
		return
	}
	for name, object := range objects {
		if known := s.objects[name]; known.Version.Before(object.Version) && !s.revision.Before(object.Version) || isContradicted(known, object) {
			f.log.Warn("copy corrected by the list", "kind", f.kind, "name", name, "version", object.Version, "copy", known.Version, "known", s.revision,
				"digest", s.stated(), "content", known.Digest, "listedContent", object.Digest)
			return
		}
	}
}

// isOlder reports whether an update of a peer is older than the known state, which it logs.
func (f *Feed) isOlder(revision store.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.listed || !revision.Before(f.state.revision) {
		return false
	}
	f.logOlder("update of a peer", revision)
	return true
}

// buildUpdate returns a message of changes; the caller holds the lock.
func (f *Feed) buildUpdate(all []store.Change, since store.Revision) *wire.Update {
	update := &wire.Update{
		Kind: f.kind, Era: f.state.revision.Era, Since: since.Number, Revision: f.state.revision.Number, Changed: f.lastChange(),
		Content: f.state.contentNumber(), Digest: f.state.stated(), Contents: f.state.statedContents(), By: f.state.confirmedBy,
	}
	update.AsOf, update.Age = f.age()
	for _, change := range all {
		update.Objects = append(update.Objects, f.storedOf(change.Object, change.Deleted))
	}
	return update
}

// listOf returns the list of an update that holds all objects.
func (f *Feed) listOf(update *wire.Update, at clock.Millis) *listed {
	list := &listed{
		objects: make([]store.Object, 0, len(update.Objects)), held: make(map[string]hold),
		revision: update.At(), changed: update.ChangedAt(), content: update.ContentAt(), outage: update.Outage, at: at, relayed: true,
	}
	for _, o := range update.Objects {
		list.objects = append(list.objects, objectOf(o, update.Era))
		if o.Hold != nil {
			list.held[o.Name] = f.holdOf(o, update.Era)
		}
	}
	return list
}

func changesOf(update *wire.Update) changes {
	c := changes{changes: make([]store.Change, 0, len(update.Objects)), revision: update.At(), content: update.ContentAt(), relayed: true}
	for _, o := range update.Objects {
		c.changes = append(c.changes, store.Change{Object: objectOf(o, update.Era), Deleted: o.Deleted})
	}
	return c
}
