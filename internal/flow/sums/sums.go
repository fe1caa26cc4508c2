// Package sums adds up the work at endpoints that processes report. Each process receives
// the work of all others in one message instead of one message from each process.
//
// Each process has its own Totals. In an aggregator it contains the reports of the group
// and the sums of the other groups. It returns the sum of its group for other aggregators
// and, for each process, the sum of everything except the work of that process. Messages
// contain the changes since the previous message.
package sums

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// maxEvents limits the stored prefixes and refused callers, and separately the stored
	// crashes.
	maxEvents = 4096
	// eventLifetime is how long events are sent to a new destination. A caller may be
	// refused before the process that it returns to has connected.
	eventLifetime = 5 * clock.Second
	// emptyLifetime is how long an endpoint without work is kept, so that every destination
	// receives the change.
	emptyLifetime = 10 * clock.Second
)

// Source identifies the sender of a message: a process of the group or, with OtherGroup,
// the aggregator of another group.
type Source struct {
	Process    string
	OtherGroup bool
}

// ReportError is returned for a message with invalid values.
type ReportError struct {
	Process string
	Cause   string
}

// Error implements error.
func (e *ReportError) Error() string { return fmt.Sprintf("report of %q: %s", e.Process, e.Cause) }

// UnknownSourceError is returned for changes from a source that has not sent a full
// message yet. The receiver has to request one.
type UnknownSourceError struct {
	Process string
}

// Error implements error.
func (e *UnknownSourceError) Error() string {
	return fmt.Sprintf("no full report from %q yet", e.Process)
}

// entry is the work at one endpoint: that of the group, and that of all sources.
type entry struct {
	group, all wire.Work
	// changed and urgentAt are the steps of the last change and of the last urgent change.
	changed, urgentAt uint64
	emptySince        clock.Millis
}

// sourceState is the last state reported by one source.
type sourceState struct {
	work      map[string]wire.Work
	pools     []wire.PoolLoad
	regularAt clock.Millis
	inflow    []wire.PendingArrivals
	progress  []wire.Progress
	members   []wire.Presence
	trials    []wire.Trial
	speeds    map[speedKey]speedSum
	// interest is the set of endpoints that a process normally uses, nil for all.
	interest map[string]bool
	// interestAt is the step of the last change of interest.
	interestAt uint64
	receivedAt clock.Millis
	// stale is set after a long time without messages. The source is excluded from the sums
	// until its next message.
	stale bool
}

// event is a single event at a source. It is forwarded once to each destination.
type event struct {
	from    Source
	at      clock.Millis
	prefix  *wire.PrefixUse
	refused *wire.Refused
	crash   *wire.Crash
	part    *wire.PartReport
}

// events are the newest events in order.
type events struct {
	all []event
	// dropped is the number of events that were removed from the front.
	dropped uint64
}

func (e *events) add(added event) { e.all = append(e.all, added) }

// trim removes the oldest events above the limit.
func (e *events) trim(limit int) {
	if surplus := len(e.all) - limit; surplus > 0 {
		e.all = append([]event(nil), e.all[surplus:]...)
		e.dropped += uint64(surplus)
	}
}

// since returns the events from a number on, and the number of the next event.
func (e *events) since(number uint64) (newer []event, next uint64) {
	from := max(number, e.dropped) - e.dropped
	return e.all[min(from, uint64(len(e.all))):], e.dropped + uint64(len(e.all))
}

// Totals adds up the reports of sources. It is safe for concurrent use.
type Totals struct {
	mu   sync.Mutex
	step uint64
	// latest is the latest instant of a call.
	latest clock.Millis
	// speedsStep is the step of the last change of a speed.
	speedsStep uint64
	entries    map[string]*entry
	sources    map[Source]*sourceState
	events     events
	// crashes, of requests and of parts of prompts, are kept separately, so that a burst of other
	// events does not remove any.
	crashes events
	// limits holds the newest limit of each endpoint.
	limits map[string]limitState
	// speeds holds the speeds of each incarnation of an endpoint.
	speeds map[speedKey]*speedEntry
	// implausible counts the speeds that were dropped.
	implausible int
}

// New returns empty totals.
func New() *Totals {
	return &Totals{
		entries: make(map[string]*entry), sources: make(map[Source]*sourceState), limits: make(map[string]limitState),
		speeds: make(map[speedKey]*speedEntry),
	}
}

// Check returns a ReportError if a message contains invalid values.
func Check(from Source, sums *wire.Sums) error {
	for _, work := range sums.Work {
		switch {
		case work.Endpoint == "":
			return &ReportError{Process: from.Process, Cause: "work without an endpoint"}
		case work.Running < 0 || work.Prefill < 0 || work.Memory < 0 || work.Planned < 0:
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("negative work at endpoint %q", work.Endpoint)}
		}
	}
	for _, load := range sums.Pools {
		if load.Pool == "" || load.Age < 0 || load.Engines < 0 || load.Free < 0 {
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("invalid load of pool %q", load.Pool)}
		}
	}
	for _, progress := range sums.Progress {
		if !progress.Valid() {
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("invalid revision of %q", progress.Kind)}
		}
	}
	return cmp.Or(checkLimits(from, sums.Limits), checkTrials(from, sums.Trials))
}

func checkTrials(from Source, trials []wire.Trial) error {
	for i := range trials {
		if !validTrial(&trials[i]) {
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("invalid trial of pool %q", trials[i].Pool)}
		}
	}
	return nil
}

// toSet returns the names as a set, nil if there are none.
func toSet(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// validTrial reports whether the counts of a trial are consistent.
func validTrial(trial *wire.Trial) bool {
	if trial.Pool == "" || trial.Sent < 0 || trial.Failed < 0 || trial.Answers < trial.Failed || trial.TotalMs < 0 {
		return false
	}
	return !slices.ContainsFunc(trial.Histogram, func(count int64) bool { return count < 0 })
}

// advance returns the instant of a call. Callers read the clock before they get the lock, so that
// their calls may come in another order. The caller must hold t.mu.
func (t *Totals) advance(now clock.Millis) clock.Millis {
	t.latest = max(t.latest, now)
	return t.latest
}

// Put processes a message and returns the endpoints whose work has changed. It returns a
// ReportError for invalid values and an UnknownSourceError if the first message of a
// source is not a full one.
func (t *Totals) Put(from Source, sums *wire.Sums, now clock.Millis) ([]string, error) {
	if err := Check(from, sums); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	state := t.sources[from]
	if state == nil {
		if !sums.Whole {
			return nil, &UnknownSourceError{Process: from.Process}
		}
		state = &sourceState{work: make(map[string]wire.Work)}
		t.sources[from] = state
	}
	t.step++
	state.receivedAt = now
	changed := t.include(from, state, now)
	if sums.Whole {
		changed = append(changed, t.clearMissing(from, state, sums, now)...)
	}
	for _, work := range sums.Work {
		if t.setWork(from, state, work, sums.Urgent, now) {
			changed = append(changed, work.Endpoint)
		}
	}
	if sums.Regular {
		state.pools, state.regularAt, state.inflow, state.progress = sums.Pools, now, sums.PendingArrivals, sums.Progress
	}
	if sums.HasMembers {
		state.members = sums.Members
	}
	if sums.HasTrials {
		state.trials = sums.Trials
	}
	if sums.HasInterest {
		state.interest, state.interestAt = toSet(sums.Interest), t.step
	}
	t.recordEvents(from, sums, now)
	t.recordLimits(from, sums.Limits, now)
	t.recordSpeeds(from, state, sums.Speeds, now)
	return changed, nil
}

// clearMissing removes the work that a full message does not contain any more, and returns
// the endpoints. The caller must hold t.mu.
func (t *Totals) clearMissing(from Source, state *sourceState, sums *wire.Sums, now clock.Millis) []string {
	present := make(map[string]bool, len(sums.Work))
	for _, work := range sums.Work {
		present[work.Endpoint] = true
	}
	var cleared []string
	for endpoint := range state.work {
		if !present[endpoint] && t.setWork(from, state, wire.Work{Endpoint: endpoint}, false, now) {
			cleared = append(cleared, endpoint)
		}
	}
	return cleared
}

// setWork replaces the work of a source at one endpoint and reports whether it changed. The
// caller must hold t.mu.
func (t *Totals) setWork(from Source, state *sourceState, work wire.Work, urgent bool, now clock.Millis) bool {
	change := work.Minus(state.work[work.Endpoint])
	if change.IsZero() {
		return false
	}
	if work.IsZero() {
		delete(state.work, work.Endpoint)
	} else {
		state.work[work.Endpoint] = work
	}
	t.addWork(from, work.Endpoint, change, urgent, now)
	return true
}

// addWork adds a change to the sums at one endpoint. The caller must hold t.mu.
func (t *Totals) addWork(from Source, endpoint string, change wire.Work, urgent bool, now clock.Millis) {
	e := t.entries[endpoint]
	if e == nil {
		e = &entry{}
		t.entries[endpoint] = e
	}
	e.all = e.all.Plus(change)
	if !from.OtherGroup {
		e.group = e.group.Plus(change)
	}
	e.changed = t.step
	if urgent {
		e.urgentAt = t.step
	}
	if e.all.IsZero() {
		e.emptySince = now
	}
}

// exclude removes the work of a source from the sums and returns the endpoints. The caller
// must hold t.mu.
func (t *Totals) exclude(from Source, state *sourceState, now clock.Millis) []string {
	if state.stale {
		return nil
	}
	state.stale = true
	t.step++
	t.removeSpeeds(from, state, now)
	endpoints := make([]string, 0, len(state.work))
	for endpoint, work := range state.work {
		t.addWork(from, endpoint, wire.Work{}.Minus(work), false, now)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// include adds the work of a stale source to the sums again and returns the endpoints. The
// caller must hold t.mu.
func (t *Totals) include(from Source, state *sourceState, now clock.Millis) []string {
	if !state.stale {
		return nil
	}
	state.stale = false
	endpoints := make([]string, 0, len(state.work))
	for endpoint, work := range state.work {
		t.addWork(from, endpoint, work, false, now)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// recordEvents stores the events of a message. The caller must hold t.mu.
func (t *Totals) recordEvents(from Source, sums *wire.Sums, now clock.Millis) {
	for i := range sums.Prefixes {
		t.events.add(event{from: from, at: now, prefix: &sums.Prefixes[i]})
	}
	for i := range sums.Refused {
		t.events.add(event{from: from, at: now, refused: &sums.Refused[i]})
	}
	for i := range sums.Crashes {
		t.crashes.add(event{from: from, at: now, crash: &sums.Crashes[i]})
	}
	for i := range sums.Parts {
		t.crashes.add(event{from: from, at: now, part: &sums.Parts[i]})
	}
	t.events.trim(maxEvents)
	t.crashes.trim(maxEvents)
}

// Remove removes a source and returns the endpoints whose work has changed.
func (t *Totals) Remove(from Source, now clock.Millis) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.sources[from]
	if state == nil {
		return nil
	}
	delete(t.sources, from)
	return t.exclude(from, state, now)
}

// ExcludeStale excludes the sources whose last message is older than an instant from the
// sums, except the process self. It returns these sources and the endpoints whose work has
// changed.
func (t *Totals) ExcludeStale(self string, before, now clock.Millis) (stale []Source, changed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for from, state := range t.sources {
		if state.receivedAt < before && !state.stale && from != (Source{Process: self}) {
			stale = append(stale, from)
			changed = append(changed, t.exclude(from, state, now)...)
		}
	}
	t.expireLimits(now)
	t.expireSpeeds(now)
	for endpoint, e := range t.entries {
		if e.all.IsZero() && now-e.emptySince > emptyLifetime {
			delete(t.entries, endpoint)
		}
	}
	return stale, changed
}
