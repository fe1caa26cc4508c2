package feed

import (
	"github.com/jujubescale/jujubescale/internal/link/delta"
	"github.com/jujubescale/jujubescale/internal/link/pack"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

const (
	// minPreviousBytes is the size from which on the version before is kept of an object: differences of smaller ones save
	// nothing, as peers get them in one message.
	minPreviousBytes = 8 << 10
	// maxValueBytes limits what a peer may make of a difference; answers of the store are no longer.
	maxValueBytes = 16 << 20
)

// previous is the version of a large object that another one has replaced.
type previous struct {
	store.Object
	successor store.Revision
}

// keepPrevious records that a version of an object replaces another one. The caller holds the lock.
func (s *state) keepPrevious(before, after store.Object) {
	if len(after.Value) < minPreviousBytes || before.Version.IsZero() || before.Unversioned || after.Unversioned || before.Version.Era != after.Version.Era || !before.Version.Before(after.Version) {
		delete(s.previous, after.Name)
		return
	}
	if s.previous == nil {
		s.previous = make(map[string]previous)
	}
	s.previous[after.Name] = previous{Object: before, successor: after.Version}
}

// previousOf returns the version before that of an object, nil if it is not known. The caller holds the lock.
func (s *state) previousOf(object store.Object) *wire.Previous {
	known, found := s.previous[object.Name]
	if !found || known.successor != object.Version {
		return nil
	}
	return &wire.Previous{Version: known.Version.Number, Value: known.Value}
}

// applyPatch returns an update with the value that its patch stands for, or the update itself if it has none. It reports false if
// this feed doesn't hold the version before.
func (f *Feed) applyPatch(update *wire.Update) (*wire.Update, bool) {
	if update.Packed == nil || update.Packed.Patch == nil {
		return update, true
	}
	patch := update.Packed.Patch
	f.mu.Lock()
	known := f.state.objects[patch.Object.Name]
	usable := !f.state.isKept(patch.Object.Name) && !known.Unversioned && known.Version.Era == update.Era && patch.Object.Hold == nil && !patch.Object.Unversioned
	f.mu.Unlock()
	switch {
	case !usable:
		return nil, false
	case known.Version == update.PatchVersion(): // another peer has sent it; compare tells whether the contents are equal
		complete := *update
		complete.Packed, complete.Objects = nil, []wire.Stored{patch.Object}
		complete.Objects[0].Value, complete.Objects[0].Status, complete.Objects[0].Digest = known.Value, known.Status, known.Digest
		return &complete, true
	case len(patch.Delta) == 0 || known.Version != update.PatchBase():
		return nil, false
	case patch.BaseDigest != 0 && patch.BaseDigest != pack.ValueDigest(known.Value):
		f.log.Info("difference is from another base", "kind", f.kind, "name", patch.Object.Name, "version", update.PatchVersion(), "base", known.Version)
		return nil, false
	}
	complete, err := completeByPatch(update, known.Value)
	if err != nil {
		f.log.Warn("difference not applied", "kind", f.kind, "name", patch.Object.Name, "version", update.PatchVersion(), "base", known.Version, logs.KeyError, err)
		return nil, false
	}
	return complete, true
}

// completeByPatch returns an update with the object that its patch makes of the value of the version before. It returns an error
// if that is not the object of the update.
func completeByPatch(update *wire.Update, base []byte) (*wire.Update, error) {
	object := update.Packed.Patch.Object
	var err error
	if object.Value, err = delta.Apply(base, update.Packed.Patch.Delta, maxValueBytes); err != nil {
		return nil, err
	}
	return pack.Unpacked(update, []wire.Stored{object})
}
