// Package blame decides which part of a prompt crashes the engines that begin to answer it.
//
// It handles the load of many requests that share such a part and nothing else that is bad: no
// two are alike, and each also holds parts that most sound requests hold. Evidence is therefore
// kept for parts and not for requests. A crash names the parts of the requests that waited for
// their first event at the engine; the first event of an answer acquits all parts of its prompt.
// Most parts were answered before, so that a crash usually leaves a single candidate, which is
// held back at once. A part that is held back gets one request as a trial from time to time, so
// that sound parts, beside a culprit or at engines that stop for another reason, are released
// soon. The package does no I/O.
package blame

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
)

const (
	// provenCrashes is the number of separate crashes without an answer in between at which a
	// part is held back that was answered before; any other part is at the first crash.
	provenCrashes = 3
	// Crashes within togetherSpan have one cause, such as a loss of power.
	togetherSpan = 50 * clock.Millis(1)
	// episodeSpan is the time within which the requests that were on the way at a crash crash
	// their engines, too. Episodes lengthen the pause until the next trial.
	episodeSpan = 200 * clock.Millis(1)
	// recordTime is how long crashes are kept.
	recordTime = clock.Hour
	// answerTime is how long a record shows what acquitted its part.
	answerTime = 15 * clock.Minute
	// Bounds of what is kept: records, the crashes named by one, and reports for peers.
	maxRecords = 1024
	maxEngines = 8
	maxUnsent  = 1024
	// maxRestated bounds the records that are reported again for processes that started since.
	maxRestated = 64
	// storeEngines is the number of crashes from which a record is written to the store.
	storeEngines = 2
)

// Part is a part of a prompt that other requests share.
type Part struct {
	Key crash.Key
	// ID is the part's ID in the prompt.
	ID string
}

// Answer is what a report says of an answer on a part.
type Answer uint8

// Answers.
const (
	// NoAnswer: the report is about a crash.
	NoAnswer Answer = iota
	// Fresh: an engine has sent the first event of an answer now.
	Fresh
	// Earlier: an engine answered before the crash that a peer has reported.
	Earlier
)

// Report tells peers of a crash or an answer.
type Report struct {
	Part Part
	// Version is the version of the engine's software.
	Version string
	// Engine is the run of an engine that crashed or answered.
	Engine string
	Answer Answer
	// Alone is set if no other part can have caused the crash, Proven if the part was answered
	// before.
	Alone, Proven bool
	// State is set if the report repeats all that is known of a part at Version.
	State *State
}

// State is the evidence against a part at one version of the engines.
type State struct {
	// Engines are the runs of engines that crashed without an answer in between.
	Engines []string
	// Separate, Episodes and Alone count crashes that were not simultaneous, episodes, and
	// episodes in which no other part can have caused a crash.
	Separate, Episodes, Alone int
	// Age is the time since the last crash.
	Age clock.Millis
}

// Stored is the entry of a part in the platform's store.
type Stored struct {
	Part     Part
	Versions map[string]State
	// AnsweredBy is the run of the engine whose answer acquitted the part, "" for none, and
	// AnswerAge the time since then.
	AnsweredBy string
	AnswerAge  clock.Millis
}

// evidence is the evidence against a part at one version.
type evidence struct {
	engines                   []string
	separate, episodes, alone int
	episodeAt, lastCrash      clock.Millis
	// aloneCounted is set if the current episode counts in alone.
	aloneCounted bool
	// answeredAt is the time of the last fresh answer, 0 for none.
	answeredAt clock.Millis
}

// record is what is known of one part.
type record struct {
	part     Part
	versions map[string]*evidence
	// answeredBy acquitted the part at answeredAt.
	answeredBy string
	answeredAt clock.Millis
	// rebutted is set once peers were told of an earlier answer.
	rebutted bool
	// revision is that of the last change, written the last one in the store. stored is set if
	// the store was seen to hold the part.
	revision, written uint64
	stored            bool
}

// crashed returns the number of crashes at all versions.
func (r *record) crashed() int {
	count := 0
	for _, e := range r.versions {
		count += len(e.engines)
	}
	return count
}

// lastCrash returns the time of the last crash.
func (r *record) lastCrash() clock.Millis {
	last, found := clock.Millis(0), false
	for _, e := range r.versions {
		if len(e.engines) > 0 && (!found || e.lastCrash > last) {
			last, found = e.lastCrash, true
		}
	}
	return last
}

func (r *record) at(version string) *evidence {
	e := r.versions[version]
	if e == nil {
		e = &evidence{}
		r.versions[version] = e
	}
	return e
}

// Tracker holds the evidence of all parts. It is safe for concurrent use.
type Tracker struct {
	// active is the number of records with crashes.
	active atomic.Int64

	mu      sync.Mutex
	records map[crash.Key]*record
	sound   sound
	// trials holds until when no trial of a part may begin.
	trials  map[crash.Key]clock.Millis
	unsent  []Report
	dropped int
	// revision is the last revision of a record. A part whose record was dropped gets another record, to which the end
	// of a write of the earlier one must not apply.
	revision uint64
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{records: make(map[crash.Key]*record), trials: make(map[crash.Key]clock.Millis)}
}

// Empty reports whether no part has crashes, in which case nothing is held back.
func (t *Tracker) Empty() bool { return t.active.Load() == 0 }

// RecordCrash records the crash of an engine. Each suspect is the shared parts of one request
// that waited there for its first event. It returns the parts that the crash is counted for.
func (t *Tracker) RecordCrash(engine, version string, suspects [][]Part, now clock.Millis) []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	charged, proven := t.candidates(version, suspects)
	for _, part := range charged {
		report := Report{Part: part, Version: version, Engine: engine, Alone: len(charged) == 1, Proven: proven}
		t.add(&report, now)
		t.send(report)
	}
	return charged
}

// candidates returns the parts that can have caused a crash, and whether all of them were
// answered before. A part that is held back already explains the crash; otherwise these are the
// parts that were never answered, or all if there are none. The caller holds the lock.
func (t *Tracker) candidates(version string, suspects [][]Part) (charged []Part, proven bool) {
	var held, unproven, all []Part
	add := func(to *[]Part, part Part) {
		if !slices.Contains(*to, part) {
			*to = append(*to, part)
		}
	}
	for _, parts := range suspects {
		for _, part := range parts {
			add(&all, part)
			if r := t.records[part.Key]; r != nil && t.holds(r, version) {
				add(&held, part)
			}
			if !t.sound.has(part.Key, version) {
				add(&unproven, part)
			}
		}
	}
	switch {
	case len(held) > 0:
		return held, false
	case len(unproven) > 0:
		return unproven, false
	}
	return all, true
}

// RecordAnswer records that an engine has sent the first event of an answer to a prompt with
// these parts. It returns those that it acquits of crashes.
func (t *Tracker) RecordAnswer(engine, version string, parts []Part, now clock.Millis) []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	var acquitted []Part
	for _, part := range parts {
		t.sound.add(part.Key, version)
		if r := t.records[part.Key]; r != nil && t.clear(r, version, engine, now) {
			acquitted = append(acquitted, part)
			t.send(Report{Part: part, Version: version, Engine: engine, Answer: Fresh})
		}
	}
	if len(acquitted) > 0 {
		t.publish()
	}
	return acquitted
}

// clear drops the crashes at a version and reports whether there were any. The caller holds the
// lock.
func (t *Tracker) clear(r *record, version, engine string, now clock.Millis) bool {
	e := r.at(version)
	e.answeredAt = now
	delete(t.trials, r.part.Key)
	if len(e.engines) == 0 {
		return false
	}
	*e = evidence{answeredAt: now}
	r.answeredBy, r.answeredAt, r.rebutted = engine, now, false
	t.touch(r)
	if r.written == 0 && !r.stored && r.crashed() == 0 {
		delete(t.records, r.part.Key)
	}
	return true
}

// AddReports records the reports of peers and returns the parts that are held back from now on.
func (t *Tracker) AddReports(reports []Report, now clock.Millis) []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	var began []Part
	for i := range reports {
		report := &reports[i]
		r := t.records[report.Part.Key]
		held := r != nil && t.holds(r, report.Version)
		switch {
		case report.Answer != NoAnswer:
			t.sound.add(report.Part.Key, report.Version)
			if r != nil && report.Answer == Fresh {
				t.clear(r, report.Version, report.Engine, now)
			}
			continue
		case report.State != nil:
			r = t.merge(report.Part, report.Version, report.State, now)
		default:
			r = t.add(report, now)
			t.rebut(r, report)
		}
		if !held && t.holds(r, report.Version) {
			began = append(began, report.Part)
		}
	}
	return began
}

// rebut tells peers that a part was answered here, if they don't know. The caller holds the lock.
func (t *Tracker) rebut(r *record, report *Report) {
	if report.Proven || r.rebutted || !t.sound.has(report.Part.Key, report.Version) {
		return
	}
	r.rebutted = true
	t.send(Report{Part: report.Part, Version: report.Version, Answer: Earlier})
}

// add counts a crash, unless it is known. The caller holds the lock.
func (t *Tracker) add(report *Report, now clock.Millis) *record {
	r := t.record(report.Part)
	e := r.at(report.Version)
	if !slices.Contains(e.engines, report.Engine) {
		if len(e.engines) >= maxEngines {
			e.engines = slices.Delete(e.engines, 0, 1)
		}
		e.engines = append(e.engines, report.Engine)
		if e.separate == 0 || now-e.lastCrash >= togetherSpan {
			e.separate++
		}
		if e.episodes == 0 || now-e.episodeAt >= episodeSpan {
			e.episodes++
			e.episodeAt, e.aloneCounted = now, false
		}
		e.lastCrash = now
		t.touch(r)
	}
	if report.Alone && !e.aloneCounted {
		e.alone++
		e.aloneCounted = true
	}
	return r
}

// record returns the record of a part and creates it on first use. The caller holds the lock.
func (t *Tracker) record(part Part) *record {
	r := t.records[part.Key]
	if r == nil {
		t.makeRoom()
		r = &record{part: part, versions: make(map[string]*evidence)}
		t.records[part.Key] = r
	}
	return r
}

// merge adds all that another process or the store knows of a part at a version, unless a later
// answer is known. The caller holds the lock.
func (t *Tracker) merge(part Part, version string, state *State, now clock.Millis) *record {
	r := t.record(part)
	e := r.at(version)
	lastCrash := now - max(state.Age, 0)
	if len(state.Engines) == 0 || (e.answeredAt > 0 && lastCrash <= e.answeredAt) {
		return r
	}
	before := *e
	for _, engine := range state.Engines {
		if !slices.Contains(e.engines, engine) && len(e.engines) < maxEngines {
			e.engines = append(e.engines, engine)
		}
	}
	e.separate, e.episodes, e.alone = max(e.separate, state.Separate), max(e.episodes, state.Episodes), max(e.alone, state.Alone)
	if len(before.engines) == 0 || lastCrash > e.lastCrash {
		e.lastCrash = lastCrash
	}
	if len(before.engines) != len(e.engines) || before.episodes != e.episodes || before.alone != e.alone {
		t.touch(r)
	}
	return r
}

// touch gives a record that has changed a revision that no record had before. The caller holds the lock.
func (t *Tracker) touch(r *record) {
	t.revision++
	r.revision = t.revision
}

// holds reports whether requests with a part are held back from engines of a version. A part
// that crashes engines of another version and was not answered at this one is. The caller holds
// the lock.
func (t *Tracker) holds(r *record, version string) bool {
	own := r.versions[version]
	if (own != nil && own.answeredAt > 0) || t.sound.has(r.part.Key, version) {
		return own != nil && own.separate >= provenCrashes
	}
	return r.crashed() > 0
}

// Explains reports whether the crash of an engine is counted for a part that was never answered
// at its version, and that a request with these parts doesn't hold.
func (t *Tracker) Explains(engine string, parts []Part) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	explained := false
	for _, r := range t.records {
		for version, e := range r.versions {
			if !slices.Contains(e.engines, engine) || e.answeredAt > 0 || t.sound.has(r.part.Key, version) {
				continue
			}
			if slices.ContainsFunc(parts, func(p Part) bool { return p.Key == r.part.Key }) {
				return false
			}
			explained = true
		}
	}
	return explained
}

// TakeUnsent returns the reports for peers, and the number of reports that were dropped because
// there were more than maxUnsent. It empties the queue.
func (t *Tracker) TakeUnsent() (reports []Report, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports, dropped = t.unsent, t.dropped
	t.unsent, t.dropped = nil, 0
	return reports, dropped
}

// Restate reports all that is known of the parts that this process owns again, for processes that
// started since and can't read the store.
func (t *Tracker) Restate(owns func(crash.Key) bool, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	restated := 0
	for key, r := range t.records {
		if restated == maxRestated {
			return
		}
		if r.crashed() == 0 || !owns(key) {
			continue
		}
		restated++
		for version, e := range r.versions {
			if len(e.engines) > 0 {
				t.send(Report{Part: r.part, Version: version, State: e.state(now)})
			}
		}
	}
}

func (e *evidence) state(now clock.Millis) *State {
	return &State{Engines: slices.Clone(e.engines), Separate: e.separate, Episodes: e.episodes, Alone: e.alone, Age: now - e.lastCrash}
}

func (t *Tracker) send(report Report) {
	if len(t.unsent) >= maxUnsent {
		t.dropped++
		return
	}
	t.unsent = append(t.unsent, report)
}

// makeRoom drops the quarter of the records whose last crash is the oldest if there are
// maxRecords. The caller holds the lock.
func (t *Tracker) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	times := make([]clock.Millis, 0, len(t.records))
	for _, r := range t.records {
		times = append(times, r.lastCrash())
	}
	slices.Sort(times)
	oldest := times[len(times)/4]
	for key, r := range t.records {
		if r.lastCrash() <= oldest {
			delete(t.records, key)
		}
	}
}

// publish updates active, which is read without the lock. The caller holds the lock.
func (t *Tracker) publish() {
	var active int64
	for _, r := range t.records {
		if r.crashed() > 0 {
			active++
		}
	}
	t.active.Store(active)
}
