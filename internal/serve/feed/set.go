package feed

import (
	"slices"

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

// Down reports whether the last call of some feed failed.
func (s Set) Down() bool { return slices.ContainsFunc(s, (*Feed).Down) }

// EndRelay makes all feeds call the store at once.
func (s Set) EndRelay() {
	for _, f := range s {
		f.EndRelay()
	}
}
