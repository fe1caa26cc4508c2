// Package trace records the most recent requests of an entry. Operators can look up a
// request by its ID while it is in flight and for some time afterwards.
package trace

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// DefaultCapacity is the default number of recorded requests. With a few attempts per
// request, they take a few megabytes of memory.
const DefaultCapacity = 8192

// State is the state of a request or an attempt.
type State string

// States.
const (
	Running   State = "running"
	Answered  State = "answered"
	Refused   State = "refused"
	Withdrawn State = "withdrawn"
)

// Attempt is the record of one attempt of one stage.
type Attempt struct {
	Stage            int
	Try              int
	Pool             string
	Endpoint         string
	AvailabilityZone string
	Hedge            bool
	State            State
	Reason           fault.Reason
	// SentAt and Took are measured with the entry's clock.
	SentAt clock.Millis
	Took   clock.Millis
}

// Request is the recorded data of a request.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Release      uint64
	State        State
	Reason       fault.Reason
	Ran          fault.Ran
	BeganAt      clock.Millis
	EndedAt      clock.Millis
	Attempts     []Attempt
}

// Record records one request while it runs. Its methods are safe for concurrent use. On
// a nil Record, AddAttempt, EndAttempt and End do nothing.
type Record struct {
	mu      sync.Mutex
	request Request
}

// AddAttempt adds a running attempt.
func (r *Record) AddAttempt(attempt Attempt) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.State = Running
	r.request.Attempts = append(r.request.Attempts, attempt)
}

// EndAttempt records how an attempt ended. Later calls for the same attempt are
// ignored.
func (r *Record) EndAttempt(stage, try int, now clock.Millis, state State, reason fault.Reason) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.request.Attempts {
		attempt := &r.request.Attempts[i]
		if attempt.Stage == stage && attempt.Try == try && attempt.State == Running {
			attempt.State, attempt.Reason, attempt.Took = state, reason, now-attempt.SentAt
		}
	}
}

// End records how the request ended.
func (r *Record) End(now clock.Millis, state State, reason fault.Reason, ran fault.Ran) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request.State, r.request.Reason, r.request.Ran, r.request.EndedAt = state, reason, ran, now
}

func (r *Record) snapshot() Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.request
	request.Attempts = append([]Attempt(nil), r.request.Attempts...)
	return request
}

// Trace records the newest requests, up to its capacity.
type Trace struct {
	mu      sync.Mutex
	ring    []*Record
	next    int
	records map[string]*Record
}

// New returns a trace that records up to capacity requests, but at least one.
func New(capacity int) *Trace {
	return &Trace{ring: make([]*Record, max(capacity, 1)), records: make(map[string]*Record)}
}

// Begin starts the record of a request. If the trace is full, it removes the oldest
// record.
func (t *Trace) Begin(request Request) *Record {
	request.State = Running
	record := &Record{request: request}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.ring[t.next]; old != nil {
		delete(t.records, old.request.ID)
	}
	t.ring[t.next] = record
	t.next = (t.next + 1) % len(t.ring)
	t.records[request.ID] = record
	return record
}

// Find returns the recorded data of a request, or false if there is none.
func (t *Trace) Find(id string) (Request, bool) {
	t.mu.Lock()
	record := t.records[id]
	t.mu.Unlock()
	if record == nil {
		return Request{}, false
	}
	return record.snapshot(), true
}
