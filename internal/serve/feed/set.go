package feed

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Set holds the feeds of a process, one of each kind of objects.
type Set []*Feed

// Of returns the feed of a kind, nil if there is none.
func (s Set) Of(kind string) *Feed {
	if i := slices.IndexFunc(s, func(f *Feed) bool { return f.kind == kind }); i >= 0 {
		return s[i]
	}
	return nil
}

// Progress returns the progress of all feeds.
func (s Set) Progress() []wire.Progress {
	all := make([]wire.Progress, 0, len(s))
	for _, f := range s {
		all = append(all, f.Progress())
	}
	return all
}

// LackedBy is Feed.LackedBy, nil for an unknown kind.
func (s Set) LackedBy(peer wire.Revision) *wire.Update {
	if f := s.Of(peer.Kind); f != nil {
		return f.LackedBy(peer)
	}
	return nil
}

// partInterval is the longest time between two parts of an answer that arrives.
const partInterval = 200 * clock.Millis(1)

// Receiving reports whether an answer of the store is arriving.
func (s Set) Receiving() bool {
	return slices.ContainsFunc(s, func(f *Feed) bool {
		return f.answer.begun.Load() && f.dueAt.Load() != 0 && f.OverdueFor() < partInterval
	})
}

// Down reports whether the last call of some feed failed.
func (s Set) Down() bool { return slices.ContainsFunc(s, (*Feed).Down) }

// EndRelay makes all feeds call the store at once.
func (s Set) EndRelay() {
	for _, f := range s {
		f.EndRelay()
	}
}
