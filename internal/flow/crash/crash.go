// Package crash counts the endpoints that crashed while they worked on a request,
// and tells which requests are to reach no endpoint any more.
//
// It answers requests that crash each endpoint that runs them. Their callers
// repeat them, with another id each time and at any process, so that limits on the
// attempts of one request do not stop them. A request is known by what it asks for
// and by its organisation. It is quarantined after three crashes, of three
// endpoints, without a whole answer in between: others that were running at the
// same endpoints are soon answered elsewhere.
package crash

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// maxCrashes is the number of crashes after which a request is quarantined.
	maxCrashes = 3
	// Keep is how long crashes count, and how long a quarantine lasts.
	Keep = 15 * clock.Minute
	// maxSuspects bounds the requests whose crashes are counted, maxQuarantines the
	// quarantines, and maxUnsent the reports that wait to be sent to peers.
	maxSuspects    = 4096
	maxQuarantines = 1024
	maxUnsent      = 1024
)

// Report is what a process learned of a request: that it crashed an endpoint, or,
// if Cleared is set, that it was answered.
type Report struct {
	Key Key
	// Endpoint names one start of one endpoint.
	Endpoint string
	Cleared  bool
}

// Listed is a quarantine as it stands in the platform's store, Age milliseconds
// after it began.
type Listed struct {
	Key Key
	Age clock.Millis
	// Endpoints that crashed before it began.
	Endpoints []string
}

// suspect is a request under which endpoints crashed.
type suspect struct {
	endpoints []string
	last      clock.Millis
}

// quarantine is a request that reaches no endpoint.
type quarantine struct {
	began, until clock.Millis
	endpoints    []string
	// written says that it was written to the store, listed that it stands there.
	written, listed bool
}

// Book holds suspects and quarantines. It is safe for use by several goroutines.
type Book struct {
	// size is the number of suspects and quarantines.
	size atomic.Int64

	mu          sync.Mutex
	suspects    map[Key]*suspect
	quarantines map[Key]*quarantine
	unsent      []Report
}

// New returns an empty book.
func New() *Book {
	return &Book{suspects: make(map[Key]*suspect), quarantines: make(map[Key]*quarantine)}
}

// Empty reports whether no request is suspected or quarantined, so that keys need
// not be computed.
func (b *Book) Empty() bool { return b.size.Load() == 0 }

// Crashed notes that an endpoint crashed while it worked on a request of this
// process. It returns the number of crashes, and whether the request is quarantined
// from now on.
func (b *Book) Crashed(key Key, endpoint string, now clock.Millis) (crashes int, begins bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	crashes, begins = b.add(key, endpoint, now)
	b.send(Report{Key: key, Endpoint: endpoint})
	return crashes, begins
}

// Answered notes that a request of this process was answered: it is not the one
// that crashes endpoints. It reports whether anything was known of it.
func (b *Book) Answered(key Key, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	if !b.clear(key, now) {
		return false
	}
	b.send(Report{Key: key, Cleared: true})
	return true
}

// Learn takes reports of peers and returns the requests that are quarantined from
// now on.
func (b *Book) Learn(reports []Report, now clock.Millis) []Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	var began []Key
	for _, report := range reports {
		if report.Cleared {
			b.clear(report.Key, now)
			continue
		}
		if _, begins := b.add(report.Key, report.Endpoint, now); begins {
			began = append(began, report.Key)
		}
	}
	return began
}

// Unsent returns the reports that peers have not been sent yet.
func (b *Book) Unsent() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	unsent := b.unsent
	b.unsent = nil
	return unsent
}

// Quarantined returns how much longer a request is quarantined; 0 if it is not.
func (b *Book) Quarantined(key Key, now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.quarantines[key]; q != nil {
		return max(q.until-now, 0)
	}
	return 0
}

// Unwritten returns the quarantines that are to be written to the store, with their
// ages.
func (b *Book) Unwritten(now clock.Millis) []Listed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var unwritten []Listed
	for key, q := range b.quarantines {
		if !q.written && !q.listed && q.until > now {
			unwritten = append(unwritten, Listed{Key: key, Age: now - q.began, Endpoints: q.endpoints})
		}
	}
	return unwritten
}

// Written notes that a quarantine was written to the store.
func (b *Book) Written(key Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.quarantines[key]; q != nil {
		q.written = true
	}
}

// Expire forgets what is too old. It returns the quarantines that have ended and
// still stand in the store.
func (b *Book) Expire(now clock.Millis) []Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	maps.DeleteFunc(b.suspects, func(_ Key, s *suspect) bool { return now-s.last > Keep })
	var over []Key
	for key, q := range b.quarantines {
		switch {
		case q.until > now:
		case q.listed:
			over = append(over, key)
		default:
			delete(b.quarantines, key)
		}
	}
	return over
}

// SetListed takes all quarantines that stand in the store. Those that stood there
// before and do no longer have been lifted.
func (b *Book) SetListed(listed []Listed, now clock.Millis) (began, lifted []Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	stands := make(map[Key]bool, len(listed))
	for _, entry := range listed {
		stands[entry.Key] = true
		age := min(max(entry.Age, 0), Keep)
		q := b.quarantines[entry.Key]
		if q == nil {
			q = &quarantine{began: now - age, until: now - age + Keep, endpoints: entry.Endpoints}
			if len(b.quarantines) >= maxQuarantines {
				continue
			}
			b.quarantines[entry.Key] = q
			began = append(began, entry.Key)
		}
		q.listed = true
		delete(b.suspects, entry.Key)
	}
	for key, q := range b.quarantines {
		if q.listed && !stands[key] {
			delete(b.quarantines, key)
			lifted = append(lifted, key)
		}
	}
	return began, lifted
}

// add counts a crash; the caller holds the lock.
func (b *Book) add(key Key, endpoint string, now clock.Millis) (crashes int, begins bool) {
	if q := b.quarantines[key]; q != nil && q.until > now {
		return maxCrashes, false
	}
	s := b.suspects[key]
	if s == nil {
		b.makeRoom(now)
		s = &suspect{}
		b.suspects[key] = s
	}
	s.last = now
	if !slices.Contains(s.endpoints, endpoint) {
		s.endpoints = append(s.endpoints, endpoint)
	}
	if len(s.endpoints) < maxCrashes || !b.quarantine(key, now) {
		return len(s.endpoints), false
	}
	return maxCrashes, true
}

// quarantine begins one, if there are not too many; the caller holds the lock.
func (b *Book) quarantine(key Key, now clock.Millis) bool {
	if len(b.quarantines) >= maxQuarantines {
		return false
	}
	b.quarantines[key] = &quarantine{began: now, until: now + Keep, endpoints: b.suspects[key].endpoints}
	delete(b.suspects, key)
	return true
}

// clear forgets a request's crashes and ends its quarantine; the caller holds the
// lock.
func (b *Book) clear(key Key, now clock.Millis) (known bool) {
	_, known = b.suspects[key]
	delete(b.suspects, key)
	q := b.quarantines[key]
	switch {
	case q == nil:
		return known
	case q.listed:
		q.until = min(q.until, now) // until it is taken out of the store
	default:
		delete(b.quarantines, key)
	}
	return true
}

// makeRoom drops the suspects of which nothing was heard for longest, a quarter of
// them at a time, when there are too many; the caller holds the lock.
func (b *Book) makeRoom(now clock.Millis) {
	if len(b.suspects) < maxSuspects {
		return
	}
	ages := make([]clock.Millis, 0, len(b.suspects))
	for _, s := range b.suspects {
		ages = append(ages, now-s.last)
	}
	slices.Sort(ages)
	oldest := ages[len(ages)*3/4]
	maps.DeleteFunc(b.suspects, func(_ Key, s *suspect) bool { return now-s.last >= oldest })
}

func (b *Book) send(report Report) {
	if len(b.unsent) < maxUnsent {
		b.unsent = append(b.unsent, report)
	}
}

// count publishes the size; the caller holds the lock.
func (b *Book) count() { b.size.Store(int64(len(b.suspects) + len(b.quarantines))) }
