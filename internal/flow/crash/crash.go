// Package crash counts the endpoints that crashed while they worked on a request,
// and tells which requests are to reach no endpoint any more.
//
// It answers requests that crash each endpoint that runs them. Their callers
// repeat them, with another id each time and at any process, so that limits on the
// attempts of one request do not stop them. A request is known by what it asks for
// and by its organisation. It is quarantined after three crashes, of three
// endpoints, without an answer in between: others that were running at the same
// endpoints are soon answered elsewhere. Where endpoints stopped for another reason
// under requests that all callers send alike, one trial shows it.
package crash

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// maxCrashes is the number of crashed endpoints from which on a request is
	// quarantined, writeFrom that from which on they are written to the store: a
	// process that starts has to know of them.
	maxCrashes = 3
	writeFrom  = maxCrashes - 1
	// QuarantineTime is how long a quarantine lasts after the last crash, remember how long
	// crashes count: one more after the quarantine begins it anew.
	QuarantineTime = 15 * clock.Minute
	remember       = 4 * QuarantineTime
	// trialAfter is how long after the last crash one request is let through.
	trialAfter = 4 * clock.Second
	// maxRecords bounds the requests whose crashes are counted, maxEndpoints the
	// endpoints of one, and maxUnsent the reports that wait to be sent to peers.
	maxRecords   = 4096
	maxEndpoints = maxCrashes + 1
	maxUnsent    = 1024
)

// Report is what a process learned of a request: that it crashed an endpoint, or,
// if Cleared is set, that it was answered.
type Report struct {
	Key Key
	// Endpoint names one start of one endpoint.
	Endpoint string
	Cleared  bool
}

// Stored is what the platform's store holds of a request.
type Stored struct {
	Key Key
	// Endpoints that crashed, the last of them Age milliseconds ago.
	Endpoints []string
	Age       clock.Millis
}

// record is a request under which endpoints crashed.
type record struct {
	endpoints []string
	last      clock.Millis
	// written is how many of the endpoints were written to the store, and listed says
	// that the store holds the request.
	written int
	listed  bool
	// cleared says that the request was answered and is to be taken out of the store.
	cleared bool
	// witnessed says that this process has counted the crashes itself, and tried that
	// it has let a trial through.
	witnessed, tried bool
}

// left returns how much longer the request is quarantined, 0 if it is not.
func (r *record) left(now clock.Millis) clock.Millis {
	if r.cleared || len(r.endpoints) < maxCrashes {
		return 0
	}
	return max(r.last+QuarantineTime-now, 0)
}

// Tracker holds what is known of requests. It is safe for use by several goroutines.
type Tracker struct {
	// size is the number of records.
	size atomic.Int64

	mu      sync.RWMutex
	records map[Key]*record
	unsent  []Report
	dropped int
}

// New returns an empty book.
func New() *Tracker { return &Tracker{records: make(map[Key]*record)} }

// Empty reports whether nothing is known of any request, so that keys need not be
// computed.
func (b *Tracker) Empty() bool { return b.size.Load() == 0 }

// RecordCrash notes that an endpoint crashed while it worked on a request of this
// process. It returns the number of crashes, and whether the request is quarantined
// from now on.
func (b *Tracker) RecordCrash(key Key, endpoint string, now clock.Millis) (crashes int, begins bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	b.send(Report{Key: key, Endpoint: endpoint})
	return b.add(key, endpoint, now)
}

// RecordAnswer notes that a request of this process was answered: it is not the one
// that crashes endpoints. It reports whether anything was known of it.
func (b *Tracker) RecordAnswer(key Key) bool {
	b.mu.RLock()
	known := b.records[key]
	b.mu.RUnlock()
	if known == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	b.clear(key)
	b.send(Report{Key: key, Cleared: true})
	return true
}

// AddReports takes reports of peers and returns the requests that are quarantined from
// now on.
func (b *Tracker) AddReports(reports []Report, now clock.Millis) []Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	var began []Key
	for _, report := range reports {
		if report.Cleared {
			b.clear(report.Key)
			continue
		}
		if _, begins := b.add(report.Key, report.Endpoint, now); begins {
			began = append(began, report.Key)
		}
	}
	return began
}

// TakeUnsent returns the reports that peers have not been sent yet, and how many were
// dropped because too many waited.
func (b *Tracker) TakeUnsent() (reports []Report, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reports, dropped = b.unsent, b.dropped
	b.unsent, b.dropped = nil, 0
	return reports, dropped
}

// QuarantineLeft returns how much longer a request is quarantined; 0 if it is not.
func (b *Tracker) QuarantineLeft(key Key, now clock.Millis) clock.Millis {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if r := b.records[key]; r != nil {
		return r.left(now)
	}
	return 0
}

// TrialDue reports whether a quarantined request may be let through once, by the one
// process that is to do so: endpoints may have stopped for another reason. A process
// that knows the crashes from the store alone lets none through, so that restarts add
// no trials.
func (b *Tracker) TrialDue(key Key, now clock.Millis) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r := b.records[key]
	return r != nil && !r.tried && r.witnessed && r.left(now) > 0 && now-r.last >= trialAfter
}

// TakeTrial spends the trial that is due, and reports whether it was.
func (b *Tracker) TakeTrial(key Key, now clock.Millis) bool {
	if !b.TrialDue(key, now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[key]
	if r == nil || r.tried {
		return false
	}
	r.tried = true
	return true
}

// ReturnTrial takes back a trial that reached no endpoint.
func (b *Tracker) ReturnTrial(key Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[key]; r != nil {
		r.tried = false
	}
}

// Unwritten returns what is to be written to the store.
func (b *Tracker) Unwritten(now clock.Millis) []Stored {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var unwritten []Stored
	for key, r := range b.records {
		if !r.cleared && len(r.endpoints) >= writeFrom && len(r.endpoints) > r.written && now-r.last < remember {
			unwritten = append(unwritten, Stored{Key: key, Age: now - r.last, Endpoints: slices.Clone(r.endpoints)})
		}
	}
	return unwritten
}

// MarkWritten notes that so many endpoints of a request stand in the store.
func (b *Tracker) MarkWritten(key Key, endpoints int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[key]; r != nil {
		r.written = max(r.written, endpoints)
	}
}

// Expire forgets what is too old. It returns the requests that are to be taken out of
// the store: they are too old or were answered.
func (b *Tracker) Expire(now clock.Millis) []Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	var over []Key
	for key, r := range b.records {
		old := now-r.last >= remember
		switch {
		case r.listed && (r.cleared || old):
			over = append(over, key)
		case r.cleared || old:
			delete(b.records, key)
		}
	}
	return over
}

// SetStored takes all that the store holds. What stood there before and does no longer
// was lifted.
func (b *Tracker) SetStored(listed []Stored, now clock.Millis) (began, lifted []Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	stands := make(map[Key]bool, len(listed))
	for _, entry := range listed {
		stands[entry.Key] = true
		if b.take(entry, now) {
			began = append(began, entry.Key)
		}
	}
	for key, r := range b.records {
		if r.listed && !stands[key] {
			delete(b.records, key)
			lifted = append(lifted, key)
		}
	}
	return began, lifted
}

// take merges what the store holds of a request, and reports whether it is quarantined
// from now on; the caller holds the lock.
func (b *Tracker) take(entry Stored, now clock.Millis) (begins bool) {
	r := b.records[entry.Key]
	if r == nil {
		b.makeRoom()
		r = &record{}
		b.records[entry.Key] = r
	}
	before := r.left(now)
	for _, endpoint := range entry.Endpoints {
		r.addEndpoint(endpoint)
	}
	r.last = max(r.last, now-max(entry.Age, 0))
	r.listed, r.written = true, max(r.written, len(entry.Endpoints))
	return before == 0 && r.left(now) > 0
}

func (r *record) addEndpoint(endpoint string) bool {
	if slices.Contains(r.endpoints, endpoint) {
		return false
	}
	if len(r.endpoints) < maxEndpoints {
		r.endpoints = append(r.endpoints, endpoint)
	}
	return true
}

// add counts a crash; the caller holds the lock.
func (b *Tracker) add(key Key, endpoint string, now clock.Millis) (crashes int, begins bool) {
	r := b.records[key]
	if r == nil || r.cleared {
		listed := r != nil && r.listed
		b.makeRoom()
		r = &record{listed: listed}
		b.records[key] = r
	}
	before := r.left(now)
	if r.addEndpoint(endpoint) {
		r.last, r.witnessed = now, true
	}
	return len(r.endpoints), before == 0 && r.left(now) > 0
}

// clear forgets the crashes of a request, at once or once the store has; the caller
// holds the lock.
func (b *Tracker) clear(key Key) {
	r := b.records[key]
	switch {
	case r == nil:
	case r.listed || r.written > 0:
		r.cleared = true
	default:
		delete(b.records, key)
	}
}

// makeRoom drops a quarter of the records, those of which nothing was heard for
// longest, when there are too many; the caller holds the lock.
func (b *Tracker) makeRoom() {
	if len(b.records) < maxRecords {
		return
	}
	times := make([]clock.Millis, 0, len(b.records))
	for _, r := range b.records {
		times = append(times, r.last)
	}
	slices.Sort(times)
	oldest := times[len(times)/4]
	maps.DeleteFunc(b.records, func(_ Key, r *record) bool { return r.last <= oldest })
}

func (b *Tracker) send(report Report) {
	if len(b.unsent) >= maxUnsent {
		b.dropped++
		return
	}
	b.unsent = append(b.unsent, report)
}

// count publishes the size; the caller holds the lock.
func (b *Tracker) count() { b.size.Store(int64(len(b.records))) }
