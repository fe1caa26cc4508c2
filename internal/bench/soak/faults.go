package soak

import (
	"slices"
	"sync"
	"time"
)

// fault is an unplanned disturbance.
type fault struct {
	kind Kind
	// process is the affected process; nil means all.
	process *process
	// to is zero while it lasts.
	from, to time.Time
}

// faultLog records the unplanned disturbances of a run; the zero value is empty.
type faultLog struct {
	mu     sync.Mutex
	faults []*fault
	// endingEngines is the number of engines that the operator is ending, lastEngineEnd the
	// time at which the last one had ended.
	endingEngines int
	lastEngineEnd time.Time
}

// beginEngineEnd records that the operator begins to end an engine and returns a function
// that records that it has ended. The connections to an engine are closed one after the
// other, so that requests may begin meanwhile.
func (f *faultLog) beginEngineEnd() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endingEngines++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endingEngines--
		f.lastEngineEnd = time.Now()
	}
}

// engineEnded reports whether the operator has ended an engine since the given time, or is
// ending one.
func (f *faultLog) engineEnded(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endingEngines > 0 || !f.lastEngineEnd.Before(since)
}

// begin records the start of a fault and returns a function that records its end.
func (f *faultLog) begin(kind Kind, affected *process) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	begun := &fault{kind: kind, process: affected, from: time.Now()}
	f.faults = append(f.faults, begun)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		begun.to = time.Now()
	}
}

// overlapping reports whether a fault of a process overlaps a time span. Without kinds
// it considers faults of every kind.
func (f *faultLog) overlapping(from, to time.Time, affected *process, kinds ...Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.faults, func(one *fault) bool {
		affects := one.process == nil || one.process == affected
		overlaps := !one.from.After(to) && (one.to.IsZero() || !one.to.Before(from))
		return affects && overlaps && (len(kinds) == 0 || slices.Contains(kinds, one.kind))
	})
}

// begunSince reports whether a fault of a kind has begun after an instant.
func (f *faultLog) begunSince(kind Kind, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.faults, func(one *fault) bool { return one.kind == kind && one.from.After(since) })
}

// struck reports whether a fault of one process alone overlaps a time span.
func (f *faultLog) struck(p *process, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.faults, func(one *fault) bool {
		return one.process == p && !one.from.After(to) && (one.to.IsZero() || !one.to.Before(from))
	})
}

// anyOverlapping reports whether any fault overlaps a time span, but for those of engines and
// returns of the store from a copy.
func (f *faultLog) anyOverlapping(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.faults, func(one *fault) bool {
		overlaps := !one.from.After(to) && (one.to.IsZero() || !one.to.Before(from))
		return overlaps && one.kind != StoreRestores && one.kind != EngineFaults && one.kind != EngineCrash
	})
}

// unplannedOn reports whether a disturbance is unplanned and returns the affected
// process; nil means all. Stops, reloads, new configurations, evacuated zones,
// engines that leave and interference are planned: none of them may lose a request.
func (r *run) unplannedOn(d Disturbance, index int) (affected *process, unplanned bool) {
	switch d.Kind {
	case Terminate, RollingStop, Reload, Configure, EngineLeaves, EvacuateZone, LimitRate, AskRest, StateLeaving, Interference, PressOne, PauseGroup, LoseLarge:
		return nil, false
	case ResetLinks, BlackholeLinks, DelayLinks, CutOneWay:
		if d.Subject%linkKinds == engineLink {
			return nil, true
		}
		return r.processAt(index), true
	case Kill, Pause, Throttle, CutStore:
		return r.processAt(index), true
	default:
		return nil, true
	}
}
