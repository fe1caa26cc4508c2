// Package sums adds up what processes report of their work at endpoints, so
// that each of them learns the work of all others from one message and not from
// one of each.
//
// A Book belongs to one process. As an aggregator it holds the reports of its
// group and the sums of the other groups; it hands out the sum of its group for
// other aggregators, and the sum of everything but a process's own work for that
// process. Messages hold what changed since the one before.
package sums

import (
	"fmt"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// maxEvents bounds the prefixes and refused callers that wait to be passed on, and
	// the crashes.
	maxEvents = 4096
	// keepEvents is how long they are sent to a new destination: a caller may be
	// refused before the process that it returns to is reached.
	keepEvents = 5 * clock.Second
	// keepNone is how long an endpoint without work is kept, so that every
	// destination receives the change.
	keepNone = 10 * clock.Second
)

// Source names who sent sums: a process of the group, or the aggregator of
// another one.
type Source struct {
	Process    string
	OtherGroup bool
}

// ReportError is returned for sums that contradict themselves or earlier ones.
type ReportError struct {
	Process string
	Cause   string
}

// Error implements error.
func (e *ReportError) Error() string { return fmt.Sprintf("report of %q: %s", e.Process, e.Cause) }

// UnknownSourceError is returned for changes of a source that has not sent whole sums yet;
// the receiver has to request them.
type UnknownSourceError struct {
	Process string
}

// Error implements error.
func (e *UnknownSourceError) Error() string {
	return fmt.Sprintf("nothing is known of %q yet", e.Process)
}

// entry is the work at one endpoint.
type entry struct {
	group, all wire.Work
	// changed and urgentAt are the steps of the last change, and of the last one
	// that was urgent.
	changed, urgentAt uint64
	noneSince         clock.Millis
}

// reported is what one source sent last.
type reported struct {
	work    map[string]wire.Work
	pools   []wire.PoolLoad
	poolsAt clock.Millis
	inflow  []wire.Inflow
	seen    []wire.Seen
	members []wire.Presence
	trials  []wire.Trial
	// interest is the endpoints that a process uses normally, nil for all.
	interest map[string]bool
	// interestAt is the step at which it changed.
	interestAt uint64
	at         clock.Millis
	// silent is set after a long time without messages: the source does not count
	// until the next one.
	silent bool
}

// event is something that happened at a source, to be passed on once.
type event struct {
	from    Source
	at      clock.Millis
	prefix  *wire.PrefixUse
	refused *wire.Refused
	crash   *wire.Crash
}

// events are the newest ones, in order.
type events struct {
	all []event
	// dropped is how many were dropped from the front.
	dropped uint64
}

func (e *events) add(one event) { e.all = append(e.all, one) }

// bound drops the oldest where there are too many.
func (e *events) bound(most int) {
	if surplus := len(e.all) - most; surplus > 0 {
		e.all = append([]event(nil), e.all[surplus:]...)
		e.dropped += uint64(surplus)
	}
}

// since returns the events from a number on, and the number of the next one.
func (e *events) since(number uint64) (newer []event, next uint64) {
	from := max(number, e.dropped) - e.dropped
	return e.all[min(from, uint64(len(e.all))):], e.dropped + uint64(len(e.all))
}

// Totals adds up sums. It is safe for use by several goroutines.
type Totals struct {
	mu      sync.Mutex
	step    uint64
	entries map[string]*entry
	sources map[Source]*reported
	events  events
	// crashes are events of their own: a burst of others drops none of them.
	crashes events
}

// New returns an empty book.
func New() *Totals {
	return &Totals{entries: make(map[string]*entry), sources: make(map[Source]*reported)}
}

// Check returns a ReportError if sums can't be right.
func Check(from Source, sums *wire.Sums) error {
	for _, work := range sums.Work {
		switch {
		case work.Endpoint == "":
			return &ReportError{Process: from.Process, Cause: "work at no endpoint"}
		case work.Running < 0 || work.Prefill < 0 || work.Memory < 0 || work.Planned < 0:
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("negative work at endpoint %q", work.Endpoint)}
		}
	}
	for _, load := range sums.Pools {
		if load.Pool == "" || load.Age < 0 || load.Engines < 0 || load.Free < 0 {
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("impossible load of pool %q", load.Pool)}
		}
	}
	for _, seen := range sums.Seen {
		if seen.Age < 0 || seen.Changed > seen.Revision {
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("impossible revision of %q", seen.Kind)}
		}
	}
	return checkTrials(from, sums.Trials)
}

func checkTrials(from Source, trials []wire.Trial) error {
	for i := range trials {
		if !possible(&trials[i]) {
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("impossible trial of pool %q", trials[i].Pool)}
		}
	}
	return nil
}

// setOf returns the set of some names, nil for none.
func setOf(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// possible reports whether the counts of a trial can be right.
func possible(trial *wire.Trial) bool {
	if trial.Pool == "" || trial.Sent < 0 || trial.Failed < 0 || trial.Answers < trial.Failed || trial.Took < 0 {
		return false
	}
	return !slices.ContainsFunc(trial.Spread, func(count int64) bool { return count < 0 })
}

// Put takes sums and returns the endpoints whose work changed. The first sums of
// a source must be whole; others return an UnknownError.
func (b *Totals) Put(from Source, sums *wire.Sums, now clock.Millis) ([]string, error) {
	if err := Check(from, sums); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.sources[from]
	if known == nil {
		if !sums.Whole {
			return nil, &UnknownSourceError{Process: from.Process}
		}
		known = &reported{work: make(map[string]wire.Work)}
		b.sources[from] = known
	}
	b.step++
	known.at = now
	changed := b.revive(from, known, now)
	if sums.Whole {
		changed = append(changed, b.clear(from, known, sums, now)...)
	}
	for _, work := range sums.Work {
		if b.set(from, known, work, sums.Urgent, now) {
			changed = append(changed, work.Endpoint)
		}
	}
	if sums.Regular {
		known.pools, known.poolsAt, known.inflow, known.seen = sums.Pools, now, sums.Inflow, sums.Seen
	}
	if sums.HasMembers {
		known.members = sums.Members
	}
	if sums.HasTrials {
		known.trials = sums.Trials
	}
	if sums.HasInterest {
		known.interest, known.interestAt = setOf(sums.Interest), b.step
	}
	b.note(from, sums, now)
	return changed, nil
}

// clear sets to none what whole sums no longer hold. The caller holds the lock.
func (b *Totals) clear(from Source, known *reported, sums *wire.Sums, now clock.Millis) []string {
	held := make(map[string]bool, len(sums.Work))
	for _, work := range sums.Work {
		held[work.Endpoint] = true
	}
	var cleared []string
	for endpoint := range known.work {
		if !held[endpoint] && b.set(from, known, wire.Work{Endpoint: endpoint}, false, now) {
			cleared = append(cleared, endpoint)
		}
	}
	return cleared
}

// set replaces the work of a source at one endpoint and reports whether that
// changed anything. The caller holds the lock.
func (b *Totals) set(from Source, known *reported, work wire.Work, urgent bool, now clock.Millis) bool {
	change := work.Minus(known.work[work.Endpoint])
	if change.None() {
		return false
	}
	if work.None() {
		delete(known.work, work.Endpoint)
	} else {
		known.work[work.Endpoint] = work
	}
	b.add(from, work.Endpoint, change, urgent, now)
	return true
}

// add changes the sums at one endpoint. The caller holds the lock.
func (b *Totals) add(from Source, endpoint string, change wire.Work, urgent bool, now clock.Millis) {
	e := b.entries[endpoint]
	if e == nil {
		e = &entry{}
		b.entries[endpoint] = e
	}
	e.all = e.all.Plus(change)
	if !from.OtherGroup {
		e.group = e.group.Plus(change)
	}
	e.changed = b.step
	if urgent {
		e.urgentAt = b.step
	}
	if e.all.None() {
		e.noneSince = now
	}
}

// mute takes the work of a source out of the sums and returns the endpoints. The
// caller holds the lock.
func (b *Totals) mute(from Source, known *reported, now clock.Millis) []string {
	if known.silent {
		return nil
	}
	known.silent = true
	b.step++
	endpoints := make([]string, 0, len(known.work))
	for endpoint, work := range known.work {
		b.add(from, endpoint, wire.Work{}.Minus(work), false, now)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// revive adds the work of a source that was silent. The caller holds the lock.
func (b *Totals) revive(from Source, known *reported, now clock.Millis) []string {
	if !known.silent {
		return nil
	}
	known.silent = false
	endpoints := make([]string, 0, len(known.work))
	for endpoint, work := range known.work {
		b.add(from, endpoint, work, false, now)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// note enters what happened at a source. The caller holds the lock.
func (b *Totals) note(from Source, sums *wire.Sums, now clock.Millis) {
	for i := range sums.Prefixes {
		b.events.add(event{from: from, at: now, prefix: &sums.Prefixes[i]})
	}
	for i := range sums.Refused {
		b.events.add(event{from: from, at: now, refused: &sums.Refused[i]})
	}
	for i := range sums.Crashes {
		b.crashes.add(event{from: from, at: now, crash: &sums.Crashes[i]})
	}
	b.events.bound(maxEvents)
	b.crashes.bound(maxEvents)
}

// Remove forgets a source and returns the endpoints whose work changed.
func (b *Totals) Remove(from Source, now clock.Millis) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.sources[from]
	if known == nil {
		return nil
	}
	delete(b.sources, from)
	return b.mute(from, known, now)
}

// ExcludeStale leaves sources out of the sums, but for one process's own, that were last
// received before an instant. It returns them and the endpoints whose work changed.
func (b *Totals) ExcludeStale(self string, before, now clock.Millis) (silent []Source, changed []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for from, known := range b.sources {
		if known.at < before && !known.silent && from != (Source{Process: self}) {
			silent = append(silent, from)
			changed = append(changed, b.mute(from, known, now)...)
		}
	}
	for endpoint, e := range b.entries {
		if e.all.None() && now-e.noneSince > keepNone {
			delete(b.entries, endpoint)
		}
	}
	return silent, changed
}
