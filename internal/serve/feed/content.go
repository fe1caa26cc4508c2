package feed

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/canon"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// content tells which part of the store's history a copy holds, whatever revisions the store and peers have stated since.
type content struct {
	// readTo is the revision after which the next call asks for changes: that of the last list or of the newest change. An
	// answer without changes doesn't raise it, so that the next one covers the same interval again.
	readTo store.Revision
	// listedAt is the revision of the last list, and gone holds the objects that were deleted since, at most maxDeleted.
	listedAt store.Revision
	gone     map[string]goneObject
	// sum is the sum of the digests of the objects as they are in the store, and contents that of their digests with contents.
	sum, contents uint64
	// partial is set if the last answer may have left out changes because of its size.
	partial bool
	differs difference
}

// goneObject is a deleted object: the highest version that it had, and the revision of the store at which it was gone.
type goneObject struct {
	version, at store.Revision
}

// difference is what peers hold that state the same revision.
type difference struct {
	// since is when a peer first held something else, 0 while none does, and seenAt when one last did. logged is set once that is
	// logged.
	since, seenAt clock.Millis
	logged        bool
	// nextList is the earliest instant at which the list is read again because of it, and pause the pause after that.
	nextList, pause clock.Millis
}

const (
	// differGrace is how long a difference from the upstream lasts before the list is read. The upstream is told at once and
	// reads its own first, so that not all that follow it read theirs at the same moment.
	differGrace = 700 * clock.Millis(1)
	// differForget is the time after which another difference is a new one.
	differForget = 2 * clock.Second
	// minDifferPause and maxDifferPause bound the pause between two lists because of a difference.
	minDifferPause, maxDifferPause = 2 * clock.Second, 32 * clock.Second
)

// objectDigest returns the digest of an object in a state that a number tells apart from others.
func objectDigest(name string, state uint64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name) // never fails
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, state))
	return digest.Sum64()
}

// digestOf returns the digest of an object as it is in the store, 0 if it has none. Its version tells its states apart, or its
// contents if the version can't be read.
func (s *state) digestOf(name string) uint64 {
	object := s.objects[name]
	if object.Unversioned && !s.isKept(name) {
		return objectDigest(name, xxhash.Sum64(object.Value)+xxhash.Sum64(object.Status))
	}
	version := s.inStore(name)
	if version.IsZero() {
		return 0
	}
	return objectDigest(name, version.Number)
}

// contentsOf returns the digest of an object with its contents, 0 if there is none.
func (s *state) contentsOf(name string) uint64 {
	object, found := s.objects[name]
	if !found {
		return 0
	}
	number := object.Version.Number
	if object.Unversioned {
		number = 0
	}
	return canon.Mix(objectDigest(name, number), object.Digest)
}

// withDigest returns an object with the digest of its contents.
func withDigest(object store.Object) store.Object {
	if object.Digest == 0 {
		object.Digest = digestContents(object.Value, object.Status)
	}
	return object
}

// withDigests returns an update whose objects have the digests of their contents.
func withDigests(update *wire.Update) *wire.Update {
	digested := *update
	digested.Objects = slices.Clone(update.Objects)
	for i := range digested.Objects {
		if o := &digested.Objects[i]; o.Digest == 0 && !o.Deleted {
			o.Digest = digestContents(o.Value, o.Status)
		}
	}
	return &digested
}

func digestContents(value, status []byte) uint64 {
	return max(canon.Mix(canon.Digest(value), canon.Digest(status)), 1)
}

// isContradicted reports whether another object has the same version as a known one, and other contents.
func isContradicted(known, other store.Object) bool {
	return known.Version == other.Version && !known.Unversioned && !other.Unversioned && known.Digest != other.Digest
}

// inStore returns the version that an object has in the store, zero if it has none.
func (s *state) inStore(name string) store.Revision {
	if h, hidden := s.hidden[name]; hidden {
		return h.object.Version
	}
	if h, held := s.held[name]; held {
		return h.over
	}
	return s.objects[name].Version
}

// isKept reports whether another object than that in the store is used, or none.
func (s *state) isKept(name string) bool {
	_, hidden := s.hidden[name]
	_, held := s.held[name]
	return hidden || held
}

// recount computes the digests anew.
func (s *state) recount() {
	s.sum, s.contents = 0, 0
	for name := range s.objects {
		s.sum += s.digestOf(name)
		s.contents += s.contentsOf(name)
	}
	for name := range s.hidden {
		if _, used := s.objects[name]; !used {
			s.sum += s.digestOf(name)
		}
	}
}

// stated returns the digest of the copy. It is 0, which stands for none, while restored objects are hidden, which peers that have
// started since don't know.
func (s *state) stated() uint64 {
	if len(s.hidden) > 0 {
		return 0
	}
	return max(s.sum, 1)
}

// statedContents returns the digest of the copy with its contents. It is 0, which stands for none, while objects are held or hidden,
// so that the copy isn't what the store has. Each report holds it for each kind, so that it is short.
func (s *state) statedContents() uint64 {
	if !s.listed || len(s.held)+len(s.hidden) > 0 {
		return 0
	}
	return max(s.contents&contentsMask, 1)
}

// contentsMask selects the bits of the digest with contents that peers get.
const contentsMask = 1<<32 - 1

// digests are what a process states of its copy: digest of the names and versions, contents with the contents. Each is 0 if it
// is not told.
type digests struct {
	digest, contents uint64
}

func (s *state) digests() digests { return digests{digest: s.stated(), contents: s.statedContents()} }

// holdsElse reports whether a peer with digests holds something else.
func (s *state) holdsElse(peer digests) bool {
	own := s.digests()
	return own.digest != 0 && peer.digest != 0 && own.digest != peer.digest ||
		own.contents != 0 && peer.contents != 0 && own.contents != peer.contents
}

// contentNumber returns the number of readTo within the era of the known revision, 0 without one.
func (s *state) contentNumber() uint64 {
	if s.readTo.Era != s.revision.Era || s.revision.Before(s.readTo) {
		return s.revision.Number
	}
	return s.readTo.Number
}

// recordRead records up to which revision an answer of the store has brought all changes. That is the version of the newest one:
// the stated revision may be ahead of what the answer holds. If no version shows how far the answer goes, the list is read.
func (f *Feed) recordRead(c *changes, newest store.Revision) {
	s := &f.state
	switch {
	case len(c.changes)+c.skipped == 0 && !c.partial:
	case c.skipped > 0 && !c.partial:
		s.readTo = store.Latest(s.readTo, c.revision) // an entry that can't be read may change all the time
	case s.readTo.Before(newest) && (!c.partial || f.oneObject): // a later change of the only object replaces those before it
		s.readTo = newest
	default:
		s.requireList()
	}
}

// recordGone remembers that an object was deleted, which had a version before.
func (s *state) recordGone(change store.Change, before store.Revision) {
	if s.gone == nil {
		s.gone = make(map[string]goneObject)
	}
	name := change.Object.Name
	known, found := s.gone[name]
	if !found && len(s.gone) >= maxDeleted {
		s.requireList() // a list replaces all of them
		return
	}
	known.version = store.Latest(known.version, store.Latest(before, change.Object.Version))
	s.gone[name] = known
}

// closeGone records that the objects which changes have deleted, and not created again, are gone at a revision.
func (s *state) closeGone(all []store.Change, at store.Revision) {
	for _, change := range all {
		if known, gone := s.gone[change.Object.Name]; gone && change.Deleted {
			known.at = store.Latest(known.at, at)
			s.gone[change.Object.Name] = known
		}
	}
}

// isDeletedAfter reports whether an object is known to have been deleted after a version.
func (s *state) isDeletedAfter(name string, version store.Revision) bool {
	if _, exists := s.objects[name]; exists || s.isKept(name) {
		return false
	}
	known, gone := s.gone[name]
	return !s.listedAt.Before(version) || gone && !known.version.Before(version)
}

// isGone reports whether a change was made before the object was deleted. If that can't be told, the list is read.
func (f *Feed) isGone(change store.Change) bool {
	s := &f.state
	known, found := s.gone[change.Object.Name]
	if !found || store.Latest(known.at, known.version).Before(change.Object.Version) {
		return false
	}
	if known.version.Before(change.Object.Version) {
		f.log.Info("order of a change is not known, reading the list again", "kind", f.kind, "name", change.Object.Name, "version", change.Object.Version)
		s.requireList()
	}
	return true
}

// peerCopy is what a peer states of its copy.
type peerCopy struct {
	revision, content store.Revision
	// digests are 0 for a peer of a previous version, which states none.
	digests
	// at is the instant for which the store has confirmed the copy, in an answer to the process by, 0 if that is not known.
	at clock.Millis
	by token.Incarnation
}

// LackedBy returns all objects if a peer that has read up to a revision lacks changes, nil if it doesn't. If it holds something
// else, the list is read.
func (f *Feed) LackedBy(peer wire.Revision) *wire.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	changed := store.Revision{Era: s.revision.Era, Number: f.lastChange()}
	switch {
	case !s.listed:
		return nil
	case peer.At().Before(changed):
		return f.buildSnapshot(0)
	case s.holdsElse(digests{peer.Digest, peer.Contents}) && !s.revision.Before(peer.At()):
		f.recordDiffers(peer.At(), digests{peer.Digest, peer.Contents}, 0)
	}
	return nil
}

// compare compares the copy with that of a peer that has stated the known revision or a later one without a change. If they
// are equal, the confirmation of that one holds for this one, too. It reports whether they differ.
func (f *Feed) compare(peer peerCopy) (differs bool) {
	wasRelayed := f.Relayed()
	confirmed, differs := f.confirmByPeer(peer)
	if confirmed && !wasRelayed && f.Relayed() {
		f.log.Info("changes relayed by a peer", "kind", f.kind, "ageMs", int64(f.clock.Now()-peer.at))
		f.wakeRun()
	}
	return differs
}

// confirmByPeer compares the copies and takes the confirmation under one lock, so that it holds for what was compared.
func (f *Feed) confirmByPeer(peer peerCopy) (confirmed, differs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.state
	if peer.revision.Before(s.revision) {
		return false, false
	}
	if s.holdsElse(peer.digests) {
		f.recordMissing()
		f.recordDiffers(peer.revision, peer.digests, differGrace)
		return false, true
	}
	s.missingSince = 0
	s.revision, s.listDue = peer.revision, s.listDue && s.fromStore
	if peer.digest != 0 {
		s.readTo = store.Latest(s.readTo, peer.content)
		s.differs = difference{}
	}
	if by := peer.by; by == 0 || by != f.incarnation { // what this process has told peers itself doesn't show that one reads the store
		s.relayedAt = max(s.relayedAt, peer.at)
		s.confirm(peer.at, by, true)
	}
	f.publishProof()
	return true, false
}

// recordDiffers records that a peer holds something else at the same revision. Neither is proved right, so the list is read
// once that has lasted for a time. The caller holds the lock.
func (f *Feed) recordDiffers(revision store.Revision, peer digests, grace clock.Millis) {
	s, now := &f.state, f.clock.Now()
	d := &s.differs
	if d.since == 0 || now-d.seenAt > differForget {
		d.since, d.logged = now, false
	}
	d.seenAt = now
	if now-d.since < grace || now < d.nextList {
		return
	}
	if !d.logged {
		d.logged = true
		f.log.Warn("copy differs from that of a peer", "kind", f.kind, "revision", s.revision, "digest", s.stated(), "contents", s.statedContents(), "objects", len(s.objects),
			"peerRevision", revision, "peerDigest", peer.digest, "peerContents", peer.contents, "sinceMs", int64(now-d.since))
	}
	f.verify()
}

// verify makes Run read the list from the store, whatever peers relay meanwhile. The caller holds the lock.
func (f *Feed) verify() {
	d := &f.state.differs
	d.pause = min(max(2*d.pause, minDifferPause), maxDifferPause)
	d.nextList = f.clock.Now() + d.pause
	f.state.requireList()
	f.state.fromStore = true
	f.wakeRun()
}

// giveUpVerifying lets what peers relay replace the list again, because the store can't be read.
func (f *Feed) giveUpVerifying() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.fromStore = false
}
