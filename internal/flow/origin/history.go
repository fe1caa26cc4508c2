package origin

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// maxHandovers bounds the handovers of a History, which a rolling restart of a whole fleet adds.
	maxHandovers = 64
	// viewLag is the longest time between a handover and the moment at which its receiver sees that
	// the other process has left.
	viewLag = 2 * clock.Second
)

// History holds which processes kept origins lately, as one process has seen it. That process knows
// all streams with a key only from the instant on since which it keeps them, or since which another
// one kept them that has handed its origins over. It is not safe for concurrent use.
type History struct {
	self      string
	views     []View
	handovers []Handover
	// lostAt is when an origin was last dropped; nothing is known to be complete before that.
	lostAt clock.Millis
}

// View is the list of the processes that may keep origins from an instant on.
type View struct {
	From  clock.Millis
	Names []string
}

// Handover is the history of a process that has stopped and handed its origins over to the keepers
// among Next.
type Handover struct {
	Process string
	At      clock.Millis
	Views   []View
	Next    []string
}

// NewHistory returns the history of a process that has just started.
func NewHistory(self string) *History { return &History{self: self} }

// See records the processes that keep origins at an instant. What ended longer ago than retention
// is dropped.
func (h *History) See(names []string, now, retention clock.Millis) {
	h.handovers = slices.DeleteFunc(h.handovers, func(other Handover) bool { return now-other.At > retention })
	if last := len(h.views) - 1; last >= 0 && slices.Equal(h.views[last].Names, names) {
		return
	}
	h.views = append(h.views, View{From: now, Names: slices.Clone(names)})
	for len(h.views) > 1 && now-h.views[1].From > retention {
		h.views = h.views[1:]
	}
}

// HandOver returns the handovers that this process passes on with its origins: its own to the keepers
// among next, and those that it was told.
func (h *History) HandOver(next []string, now clock.Millis) []Handover {
	own := Handover{Process: h.self, At: now, Next: next}
	for i, view := range h.views {
		if i+1 < len(h.views) && h.views[i+1].From <= h.lostAt {
			continue
		}
		own.Views = append(own.Views, View{From: max(view.From, h.lostAt), Names: view.Names})
	}
	told := slices.DeleteFunc(slices.Clone(h.handovers), func(other Handover) bool { return other.At <= h.lostAt })
	return append([]Handover{own}, told...)
}

// Take records handovers of processes that have stopped.
func (h *History) Take(handovers []Handover) {
	for _, other := range handovers {
		known := slices.ContainsFunc(h.handovers, func(o Handover) bool {
			return o.Process == other.Process && max(o.At-other.At, other.At-o.At) < viewLag
		})
		if !known && len(h.handovers) < maxHandovers {
			h.handovers = append(h.handovers, other)
		}
	}
}

// Lose records that an origin was dropped.
func (h *History) Lose(now clock.Millis) { h.lostAt = max(h.lostAt, now) }

// Kept returns for how long all streams with a key were kept without a gap by this process and those
// before it, 0 if it doesn't keep them.
func (h *History) Kept(key Key, now clock.Millis) clock.Millis {
	holder, since := h.self, max(keptSince(key, h.self, h.views, now), h.lostAt)
	for found := since < now; found; {
		found = false
		for _, other := range h.handovers {
			if other.At <= h.lostAt {
				continue
			}
			before := keptSince(key, other.Process, other.Views, other.At)
			if before < since && other.At >= since-viewLag && slices.Contains(Keepers(key, other.Next), holder) {
				holder, since, found = other.Process, before, true
			}
		}
	}
	return now - since
}

// keptSince returns the instant since which a process has kept the streams with a key without a gap,
// by its views until an instant. It is that instant if it doesn't keep them.
func keptSince(key Key, process string, views []View, until clock.Millis) clock.Millis {
	since := until
	for _, view := range slices.Backward(views) {
		if !slices.Contains(Keepers(key, view.Names), process) {
			break
		}
		since = view.From
	}
	return since
}
