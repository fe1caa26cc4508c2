package origin

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// History holds which processes kept origins lately, as one process has seen it. That process knows
// all streams with a key only from the instant on since which it keeps them. It is not safe for
// concurrent use.
type History struct {
	self  string
	views []keepers
}

// keepers are the processes that may keep origins from an instant on.
type keepers struct {
	since clock.Millis
	names []string
}

// NewHistory returns the history of a process that has just started.
func NewHistory(self string) *History { return &History{self: self} }

// See records the processes that keep origins at an instant. Views that ended longer ago than
// retention are dropped.
func (h *History) See(names []string, now, retention clock.Millis) {
	if last := len(h.views) - 1; last >= 0 && slices.Equal(h.views[last].names, names) {
		return
	}
	h.views = append(h.views, keepers{since: now, names: slices.Clone(names)})
	for len(h.views) > 1 && now-h.views[1].since > retention {
		h.views = h.views[1:]
	}
}

// Kept returns for how long the process has kept all streams with a key, 0 if it doesn't keep them.
func (h *History) Kept(key Key, now clock.Millis) clock.Millis {
	kept := clock.Millis(0)
	for _, view := range slices.Backward(h.views) {
		if !slices.Contains(Keepers(key, view.names), h.self) {
			break
		}
		kept = now - view.since
	}
	return kept
}
