// Package pool holds what one entry knows about the endpoints of one pool: a
// cheap, partly stale view that is used only to guess well. What must hold
// exactly is decided by the agent beside each endpoint.
package pool

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Identity says which endpoint this is and where it stands. It never changes.
type Identity struct {
	Pool             string
	Name             string
	AvailabilityZone string
	Address          string
}

// Report is what an agent said of its endpoint at one instant.
type Report struct {
	// Load is running and queued work of all entries.
	Load int
	// Limit is the work that the endpoint bears at once now.
	Limit int
	// Cold tells that the endpoint has just started or lost its warmth.
	Cold bool
	// ServiceTime is the recent typical service time.
	ServiceTime clock.Millis
	// PrefixEpoch changes when the endpoint's prefix cache was lost.
	PrefixEpoch uint64
	// Age is how old the load was when it came in.
	Age clock.Millis
}

// report is a Report with what this entry made of it when it came in.
type report struct {
	said Report
	at   clock.Millis // the instant that the load was true
	// others is the work of other entries in the report, in thousandths of a call.
	others int64
}

// Endpoint is one endpoint as this entry sees it. Its counters are read and
// written on the path of a request without a lock.
type Endpoint struct {
	Identity
	// Hash of the name, for rendezvous hashing.
	Hash uint64

	own     atomic.Int64 // own sends without an answer yet
	latency atomic.Int64 // smoothed answer time in microseconds
	heardAt atomic.Int64 // instant of the last answer
	last    atomic.Pointer[report]
	usual   *atomic.Int64 // shared by a pool: smoothed others over limit, in thousandths
}

// defaultLimit stands for the limit of an endpoint that has not reported yet:
// small, because a new endpoint is cold until it says otherwise.
const defaultLimit = 1

// NewEndpoint returns an endpoint that is idle and has not reported yet.
func NewEndpoint(identity Identity) *Endpoint { return newEndpoint(identity, new(atomic.Int64)) }

func newEndpoint(identity Identity, usual *atomic.Int64) *Endpoint {
	e := &Endpoint{Identity: identity, usual: usual}
	e.Hash = xxhash.Sum64String(identity.Pool + "/" + identity.Name)
	e.last.Store(&report{said: Report{Limit: defaultLimit}})
	return e
}

// RecordSend counts one own call on its way.
func (e *Endpoint) RecordSend() { e.own.Add(1) }

// latencyShift is the weight of a new answer time in the smoothed one: 1/8.
const latencyShift = 3

// RecordAnswer counts the end of one own call. A positive span is the time of an
// answer and moves the smoothed latency; calls that failed pass zero, since a
// fast failure must not make an endpoint look fast.
func (e *Endpoint) RecordAnswer(now, span clock.Millis) {
	e.own.Add(-1)
	if span > 0 {
		e.learn(now, int64(span)*1000, latencyShift)
	}
}

// givenUpShift is the weight of a call that was given up: 1/2.
const givenUpShift = 1

// RecordCancel counts the end of one own call that was withdrawn after a span. It
// would have taken longer still, so a span above the smoothed latency counts:
// without it a straggler whose calls are always given up would never show its
// slowness.
func (e *Endpoint) RecordCancel(now, span clock.Millis) {
	e.own.Add(-1)
	if micros := int64(span) * 1000; micros > e.latency.Load() {
		e.learn(now, micros, givenUpShift)
	}
}

func (e *Endpoint) learn(now clock.Millis, micros int64, shift uint) {
	e.heardAt.Store(int64(now))
	for {
		old := e.latency.Load()
		next := micros
		if old != 0 {
			next = old + (micros-old)>>shift
		}
		if e.latency.CompareAndSwap(old, next) {
			return
		}
	}
}

// usualShift is the weight of one report in the usual work of others: 1/32.
const usualShift = 5

// SetReport takes in what the agent said last.
func (e *Endpoint) SetReport(now clock.Millis, r Report) {
	r.Limit = max(r.Limit, 1)
	others := max(int64(r.Load)-e.own.Load(), 0) * 1000
	e.last.Store(&report{said: r, at: now - r.Age, others: others})
	usual := e.usual.Load()
	// A lost race here loses one of many samples of a mean.
	e.usual.CompareAndSwap(usual, usual+(others/int64(r.Limit)-usual)>>usualShift)
}

// OwnCalls returns the number of own calls without an answer.
func (e *Endpoint) OwnCalls() int64 { return e.own.Load() }

// Report returns what the agent said last.
func (e *Endpoint) Report() Report { return e.last.Load().said }

// Cold reports whether the agent called its endpoint cold.
func (e *Endpoint) Cold() bool { return e.last.Load().said.Cold }

// latencyKeep is how long an answer time counts. A straggler gets no work and
// so brings no new answers; without an end it would be passed over for good
// after one slow spell, and the others would carry its share.
const latencyKeep = 3 * clock.Second

// Latency returns the smoothed answer time in microseconds, 0 if none is known
// or the last answer is too long ago.
func (e *Endpoint) Latency(now clock.Millis) int64 {
	if now-clock.Millis(e.heardAt.Load()) > latencyKeep {
		return 0
	}
	return e.latency.Load()
}

// Load estimates the work at the endpoint now, of all entries, in thousandths
// of a call.
func (e *Endpoint) Load(now clock.Millis) int64 { return e.estimate(now, e.last.Load()) }

// Utilisation estimates load over limit in thousandths, counting the call
// that is about to be sent.
func (e *Endpoint) Utilisation(now clock.Millis) int64 {
	last := e.last.Load()
	return (e.estimate(now, last) + 1000) / int64(last.said.Limit)
}

// halfTrust is the age at which a report counts half against the mean.
const halfTrust clock.Millis = 25

// estimate adds this entry's own work, which it knows exactly, to the work of
// others. Their part of a report grows old: what the endpoint had then says
// little about now. If every entry went on believing it, all would send to the
// endpoint that looked best in the last report, and in the next one it would
// look worst. So the older the report, the more the mean of the pool counts.
func (e *Endpoint) estimate(now clock.Millis, last *report) int64 {
	trust := int64(halfTrust) * 1000 / int64(halfTrust+max(now-last.at, 0))
	usual := e.usual.Load() * int64(last.said.Limit)
	return e.own.Load()*1000 + usual + (last.others-usual)*trust/1000
}
