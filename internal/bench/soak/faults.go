package soak

import (
	"slices"
	"sync"
	"time"
)

// fault is an unplanned trouble.
type fault struct {
	kind Kind
	// process is the one that it concerns, nil for all.
	process *process
	// to is zero while it lasts.
	from, to time.Time
}

// faultLog is what was unplanned in a run; the zero value has nothing.
type faultLog struct {
	mu  sync.Mutex
	all []*fault
	// lastEngine is when the operator last ended an engine.
	lastEngine time.Time
}

// engineEnds notes that the operator ends an engine.
func (f *faultLog) engineEnds() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastEngine = time.Now()
}

// engineEnded reports whether the operator has ended an engine since a time.
func (f *faultLog) engineEnded(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastEngine.Before(since)
}

// begin notes a fault and returns what notes its end.
func (f *faultLog) begin(kind Kind, who *process) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	begun := &fault{kind: kind, process: who, from: time.Now()}
	f.all = append(f.all, begun)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		begun.to = time.Now()
	}
}

// between reports whether a process had a fault in a span of time, one of the given
// kinds or, without any, of whatever kind.
func (f *faultLog) between(from, to time.Time, who *process, kinds ...Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.all, func(one *fault) bool {
		concerns := one.process == nil || one.process == who
		overlaps := !one.from.After(to) && (one.to.IsZero() || !one.to.Before(from))
		return concerns && overlaps && (len(kinds) == 0 || slices.Contains(kinds, one.kind))
	})
}

// disturbs returns whether a trouble is unplanned, and the process that it concerns,
// nil for all. Stops, reloads, configurations and engines that leave are planned.
func (r *run) disturbs(t Trouble, index int) (who *process, unplanned bool) {
	switch t.Kind {
	case Terminate, RollingStop, Reload, Configure, EngineLeaves, EmptyZone:
		return nil, false
	case ResetLinks, SilenceLinks, DelayLinks, CutOneWay:
		if t.Subject%linkKinds == engineLink {
			return nil, true
		}
		return r.pick(index), true
	case Kill, Pause, CutStore:
		return r.pick(index), true
	default:
		return nil, true
	}
}
