// Package crash counts the endpoints that crashed while they ran a request, and
// decides which requests are quarantined, that is, sent to no endpoint.
//
// It protects against requests that crash each endpoint that runs them. Callers
// repeat such a request with a new ID each time and at any process, so that a
// limit on the attempts of one request does not stop it. A request is therefore
// identified by its organisation and its content. It is quarantined after crashes
// of three endpoints without an answer in between. Other requests that ran at the
// same endpoints are not quarantined, because they are soon answered elsewhere.
// If the endpoints stopped for another reason while they ran requests with the
// same content, a single trial shows that the request is harmless.
package crash

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// quarantineCrashes is the number of crashed endpoints at which a request is
	// quarantined. From storeCrashes on, the crashes are also written to the store,
	// so that a process that starts later can read them.
	quarantineCrashes = 3
	storeCrashes      = quarantineCrashes - 1
	// QuarantineTime is how long a quarantine lasts after the last crash.
	QuarantineTime = 15 * clock.Minute
	// recordTime is how long crashes are counted. One more crash within it starts
	// the quarantine again.
	recordTime = 4 * QuarantineTime
	// trialDelay is the time from the last crash until a trial is allowed.
	trialDelay = 4 * clock.Second
	// maxRecords limits the requests whose crashes are counted, maxEndpoints the
	// endpoints counted for one request, and maxUnsent the queue of reports for
	// peers.
	maxRecords   = 4096
	maxEndpoints = quarantineCrashes + 1
	maxUnsent    = 1024
)

// Report reports that a request crashed an endpoint or, if Cleared is set, that it
// was answered.
type Report struct {
	Key Key
	// Endpoint identifies one run of an endpoint, from its start to its crash.
	Endpoint string
	Cleared  bool
}

// Stored is the entry for a request in the platform's store.
type Stored struct {
	Key Key
	// Endpoints are the endpoints that crashed, and Age the time since the last
	// crash, in milliseconds.
	Endpoints []string
	Age       clock.Millis
	// Tried is set once an endpoint has crashed under a trial.
	Tried bool
}

// record holds the crashes of endpoints that ran a request.
type record struct {
	endpoints []string
	lastCrash clock.Millis
	// written is the number of endpoints that were written to the store. stored is
	// true if the store was seen to hold the request.
	written int
	stored  bool
	// cleared is true if the request was answered but the store may still hold its
	// entry.
	cleared bool
	// reported is true if this process or a peer reported a crash while this
	// process ran, so that the crashes are not known from the store alone. readAt is when
	// this process first read them there.
	// trialTaken is true if this process has started the trial, and tried once an endpoint has
	// crashed under one. triedWritten is true if the store holds that.
	reported, trialTaken, tried, triedWritten bool
	readAt                                    clock.Millis
}

// quarantineLeft returns how much longer the request is quarantined, in
// milliseconds, or 0.
func (r *record) quarantineLeft(now clock.Millis) clock.Millis {
	if r.cleared || len(r.endpoints) < quarantineCrashes {
		return 0
	}
	return max(r.lastCrash+QuarantineTime-now, 0)
}

// Tracker holds the crashes of all requests. It is safe for concurrent use.
type Tracker struct {
	// size is the number of records.
	size atomic.Int64

	mu      sync.RWMutex
	records map[Key]*record
	unsent  []Report
	dropped int
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{records: make(map[Key]*record)} }

// Empty reports whether there are no records, in which case callers need not
// compute keys.
func (t *Tracker) Empty() bool { return t.size.Load() == 0 }

// RecordCrash records that an endpoint crashed while it ran a request of this
// process. It returns the number of crashed endpoints and whether this crash
// started a quarantine.
func (t *Tracker) RecordCrash(key Key, endpoint string, now clock.Millis) (crashes int, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publishSize()
	t.addUnsent(Report{Key: key, Endpoint: endpoint})
	return t.add(key, endpoint, now)
}

// RecordAnswer removes the crashes of a request of this process that was answered,
// because it is not the cause of the crashes. It reports whether there were any.
func (t *Tracker) RecordAnswer(key Key) bool {
	t.mu.RLock()
	known := t.records[key]
	t.mu.RUnlock()
	if known == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publishSize()
	t.clear(key)
	t.addUnsent(Report{Key: key, Cleared: true})
	return true
}

// AddReports merges reports of peers and returns the requests for which they start
// a quarantine.
func (t *Tracker) AddReports(reports []Report, now clock.Millis) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publishSize()
	var began []Key
	for _, report := range reports {
		if report.Cleared {
			t.clear(report.Key)
			continue
		}
		if _, started := t.add(report.Key, report.Endpoint, now); started {
			began = append(began, report.Key)
		}
	}
	return began
}

// TakeUnsent returns the reports to be sent to peers, and the number of reports
// that were dropped because there were more than maxUnsent. It empties the queue.
func (t *Tracker) TakeUnsent() (reports []Report, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports, dropped = t.unsent, t.dropped
	t.unsent, t.dropped = nil, 0
	return reports, dropped
}

// QuarantineLeft returns how much longer a request is quarantined, in
// milliseconds, or 0.
func (t *Tracker) QuarantineLeft(key Key, now clock.Millis) clock.Millis {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if r := t.records[key]; r != nil {
		return r.quarantineLeft(now)
	}
	return 0
}

// Crashes returns the number of endpoints that crashed under a request without an answer in
// between.
func (t *Tracker) Crashes(key Key) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if r := t.records[key]; r != nil && !r.cleared {
		return len(r.endpoints)
	}
	return 0
}

// TrialDue reports whether a quarantined request may be sent to an endpoint once as
// a trial, since the endpoints may have stopped for another reason. The caller has to
// ensure that a single process runs the trial.
func (t *Tracker) TrialDue(key Key, now clock.Millis) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.records[key]
	return r != nil && !r.trialTaken && r.mayBeTried(now) && r.quarantineLeft(now) > 0 && now-r.lastCrash >= trialDelay
}

// mayBeTried reports whether this process may run a trial. None follows one that has failed, which the
// store holds, so that restarts do not cause more. A process that has read the crashes only from the
// store waits for its peers to start.
func (r *record) mayBeTried(now clock.Millis) bool {
	return !r.tried && (r.reported || now-r.readAt >= trialDelay)
}

// TakeTrial marks the trial of a request as used. It returns false if no trial is
// due.
func (t *Tracker) TakeTrial(key Key, now clock.Millis) bool {
	if !t.TrialDue(key, now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if r == nil || r.trialTaken {
		return false
	}
	r.trialTaken = true
	return true
}

// ReturnTrial allows the trial of a request again, after one that reached no
// endpoint.
func (t *Tracker) ReturnTrial(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil {
		r.trialTaken = false
	}
}

// Unwritten returns the entries to be written to the store.
func (t *Tracker) Unwritten(now clock.Millis) []Stored {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var unwritten []Stored
	for key, r := range t.records {
		if !r.cleared && len(r.endpoints) >= storeCrashes && r.hasUnwritten() && now-r.lastCrash < recordTime {
			unwritten = append(unwritten, Stored{Key: key, Age: now - r.lastCrash, Endpoints: slices.Clone(r.endpoints), Tried: r.tried})
		}
	}
	return unwritten
}

func (r *record) hasUnwritten() bool {
	return len(r.endpoints) > r.written || r.tried && !r.triedWritten
}

// MarkWritten records that an entry was written to the store.
func (t *Tracker) MarkWritten(entry *Stored) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[entry.Key]; r != nil {
		r.written, r.triedWritten = max(r.written, len(entry.Endpoints)), r.triedWritten || entry.Tried
	}
}

// Expire deletes records that are too old or were answered. It returns the requests
// whose entries the caller has to delete from the store; their records remain until
// SetStored reports the entries as gone. The record of an answered request also remains
// while SetStored has not reported an entry that was written; without it, the entry would
// start another quarantine.
func (t *Tracker) Expire(now clock.Millis) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publishSize()
	var expired []Key
	for key, r := range t.records {
		tooOld := now-r.lastCrash >= recordTime
		switch {
		case r.stored && (r.cleared || tooOld):
			expired = append(expired, key)
		case tooOld || (r.cleared && r.written == 0):
			delete(t.records, key)
		}
	}
	return expired
}

// SetStored merges the complete list of entries in the store. It returns the requests
// whose quarantine begins, and those whose entry was deleted from the store, which
// lifts their quarantine.
func (t *Tracker) SetStored(entries []Stored, now clock.Millis) (began, lifted []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publishSize()
	present := make(map[Key]bool, len(entries))
	for _, entry := range entries {
		present[entry.Key] = true
		if t.merge(entry, now) {
			began = append(began, entry.Key)
		}
	}
	for key, r := range t.records {
		if r.stored && !present[key] {
			delete(t.records, key)
			lifted = append(lifted, key)
		}
	}
	return began, lifted
}

// merge adds an entry of the store to the request's record and reports whether that
// starts a quarantine. The caller holds the lock.
func (t *Tracker) merge(entry Stored, now clock.Millis) (started bool) {
	r := t.records[entry.Key]
	if r == nil {
		t.makeRoom()
		r = &record{readAt: now}
		t.records[entry.Key] = r
	}
	before := r.quarantineLeft(now)
	for _, endpoint := range entry.Endpoints {
		r.addEndpoint(endpoint)
	}
	r.lastCrash = max(r.lastCrash, now-max(entry.Age, 0))
	r.stored, r.written = true, max(r.written, len(entry.Endpoints))
	r.tried, r.triedWritten = r.tried || entry.Tried, r.triedWritten || entry.Tried
	return before == 0 && r.quarantineLeft(now) > 0
}

// addEndpoint adds an endpoint, up to maxEndpoints, and reports whether the record
// did not contain it.
func (r *record) addEndpoint(endpoint string) bool {
	if slices.Contains(r.endpoints, endpoint) {
		return false
	}
	if len(r.endpoints) < maxEndpoints {
		r.endpoints = append(r.endpoints, endpoint)
	}
	return true
}

// add counts a crash, unless it is already known. The caller holds the lock.
func (t *Tracker) add(key Key, endpoint string, now clock.Millis) (crashes int, started bool) {
	r := t.records[key]
	if r == nil || r.cleared {
		stored := r != nil && r.stored
		t.makeRoom()
		r = &record{stored: stored}
		t.records[key] = r
	}
	before := r.quarantineLeft(now)
	if r.addEndpoint(endpoint) {
		r.lastCrash, r.reported = now, true
		r.tried = r.tried || r.trialTaken
	}
	return len(r.endpoints), before == 0 && r.quarantineLeft(now) > 0
}

// clear deletes the record of a request. If the store may hold an entry for it, the
// record is only marked as cleared until that entry is deleted. The caller holds
// the lock.
func (t *Tracker) clear(key Key) {
	r := t.records[key]
	switch {
	case r == nil:
	case r.stored || r.written > 0:
		r.cleared = true
	default:
		delete(t.records, key)
	}
}

// makeRoom deletes the quarter of the records with the oldest last crash if there
// are maxRecords. The caller holds the lock.
func (t *Tracker) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	times := make([]clock.Millis, 0, len(t.records))
	for _, r := range t.records {
		times = append(times, r.lastCrash)
	}
	slices.Sort(times)
	oldest := times[len(times)/4]
	maps.DeleteFunc(t.records, func(_ Key, r *record) bool { return r.lastCrash <= oldest })
}

func (t *Tracker) addUnsent(report Report) {
	if len(t.unsent) >= maxUnsent {
		t.dropped++
		return
	}
	t.unsent = append(t.unsent, report)
}

// publishSize updates size, which is read without the lock. The caller holds the
// lock.
func (t *Tracker) publishSize() { t.size.Store(int64(len(t.records))) }
