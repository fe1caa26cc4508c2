// Package trace remembers the last requests of an entry, so that an operator
// can look one up by its id while it is in flight and for a while after.
package trace

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// DefaultCapacity is the default number of requests remembered; with a handful of
// attempts each that is a few megabytes.
const DefaultCapacity = 8192

// State of a request or an attempt.
type State string

// States.
const (
	Running   State = "running"
	Answered  State = "answered"
	Refused   State = "refused"
	Withdrawn State = "withdrawn"
)

// Attempt is one try of one stage.
type Attempt struct {
	Stage            int
	Try              int
	Pool             string
	Endpoint         string
	AvailabilityZone string
	Hedge            bool
	State            State
	Reason           fault.Reason
	// SentAt and Took by the entry's clock.
	SentAt clock.Millis
	Took   clock.Millis
}

// Request is what is remembered of one request.
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

// Record is one request while it runs. Its methods are safe for use by
// several goroutines, and on a nil record.
type Record struct {
	mu      sync.Mutex
	request Request
}

// AddAttempt adds an attempt.
func (r *Record) AddAttempt(attempt Attempt) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.State = Running
	r.request.Attempts = append(r.request.Attempts, attempt)
}

// EndAttempt notes how an attempt ended; only the first end counts.
func (r *Record) EndAttempt(stage, try int, now clock.Millis, state State, reason fault.Reason) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.request.Attempts {
		a := &r.request.Attempts[i]
		if a.Stage == stage && a.Try == try && a.State == Running {
			a.State, a.Reason, a.Took = state, reason, now-a.SentAt
		}
	}
}

// End notes how the request ended.
func (r *Record) End(now clock.Millis, state State, reason fault.Reason, ran fault.Ran) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request.State, r.request.Reason, r.request.Ran, r.request.EndedAt = state, reason, ran, now
}

func (r *Record) copy() Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := r.request
	copied.Attempts = append([]Attempt(nil), r.request.Attempts...)
	return copied
}

// Trace remembers a bounded number of requests, the newest.
type Trace struct {
	mu    sync.Mutex
	ring  []*Record
	next  int
	known map[string]*Record
}

// New returns a trace of so many requests.
func New(capacity int) *Trace {
	return &Trace{ring: make([]*Record, max(capacity, 1)), known: make(map[string]*Record)}
}

// Begin remembers a request and forgets the oldest.
func (t *Trace) Begin(request Request) *Record {
	request.State = Running
	record := &Record{request: request}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.ring[t.next]; old != nil {
		delete(t.known, old.request.ID)
	}
	t.ring[t.next] = record
	t.next = (t.next + 1) % len(t.ring)
	t.known[request.ID] = record
	return record
}

// Find returns what is remembered of a request.
func (t *Trace) Find(id string) (Request, bool) {
	t.mu.Lock()
	record := t.known[id]
	t.mu.Unlock()
	if record == nil {
		return Request{}, false
	}
	return record.copy(), true
}
