// Package pool holds the state of a pool's endpoints in one entry process. Its
// view may be stale and is used only to make a good choice. The agent beside each
// endpoint enforces what must hold exactly.
package pool

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Identity identifies an endpoint and its location. It never changes.
type Identity struct {
	Pool             string
	Name             string
	AvailabilityZone string
	Address          string
}

// Report is the state of an endpoint at one instant, as reported by its agent.
type Report struct {
	// Load is the number of running and queued calls of all entries.
	Load int
	// Limit is the number of calls that the endpoint can run at once now.
	Limit int
	// Cold is set if the endpoint has just started or lost its caches.
	Cold bool
	// ServiceTime is the recent typical service time.
	ServiceTime clock.Millis
	// PrefixEpoch changes when the endpoint loses its prefix cache.
	PrefixEpoch uint64
	// Age is the age of the load when the report arrived.
	Age clock.Millis
}

// receivedReport is a Report with what this process computed when it arrived.
type receivedReport struct {
	report Report
	asOf   clock.Millis // instant at which the load was measured
	// others is the load of other entries at that instant, in thousandths of a call.
	others int64
}

// Endpoint is an endpoint as seen by this process. Requests read and update its
// counters without a lock.
type Endpoint struct {
	Identity
	// Hash of the pool and name, for rendezvous hashing.
	Hash uint64

	inFlight     atomic.Int64 // calls of this process without an answer
	latency      atomic.Int64 // smoothed answer time in microseconds
	lastAnswerAt atomic.Int64 // instant of the last answer
	lastReport   atomic.Pointer[receivedReport]
	meanOthers   *atomic.Int64 // shared by the pool: mean load of other entries divided by the limit, in thousandths
}

// defaultLimit is the limit of an endpoint without a report. It is small because a new
// endpoint is assumed to be cold.
const defaultLimit = 1

// NewEndpoint returns an idle endpoint without a report.
func NewEndpoint(identity Identity) *Endpoint { return newEndpoint(identity, new(atomic.Int64)) }

func newEndpoint(identity Identity, meanOthers *atomic.Int64) *Endpoint {
	e := &Endpoint{Identity: identity, meanOthers: meanOthers}
	e.Hash = xxhash.Sum64String(identity.Pool + "/" + identity.Name)
	e.lastReport.Store(&receivedReport{report: Report{Limit: defaultLimit}})
	return e
}

// RecordSend counts a call that this process sends.
func (e *Endpoint) RecordSend() { e.inFlight.Add(1) }

// latencyShift sets the weight of a new answer time in the smoothed latency to 1/8.
const latencyShift = 3

// RecordAnswer counts the end of a call of this process. A positive span is the answer
// time and updates the smoothed latency. Failed calls pass 0, because a fast failure
// must not make an endpoint look fast.
func (e *Endpoint) RecordAnswer(now, span clock.Millis) {
	e.inFlight.Add(-1)
	if span > 0 {
		e.smoothLatency(now, int64(span)*1000, latencyShift)
	}
}

// cancelShift sets the weight of a cancelled call in the smoothed latency to 1/2.
const cancelShift = 1

// RecordCancel counts the end of a call of this process that was cancelled after span.
// The call would have taken longer, so that a span above the smoothed latency updates
// it. Otherwise a straggler whose calls are always cancelled would never appear slow.
func (e *Endpoint) RecordCancel(now, span clock.Millis) {
	e.inFlight.Add(-1)
	if micros := int64(span) * 1000; micros > e.latency.Load() {
		e.smoothLatency(now, micros, cancelShift)
	}
}

func (e *Endpoint) smoothLatency(now clock.Millis, micros int64, shift uint) {
	e.lastAnswerAt.Store(int64(now))
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

// othersShift sets the weight of a report in the mean load of other entries to 1/32.
const othersShift = 5

// SetReport stores the agent's latest report.
func (e *Endpoint) SetReport(now clock.Millis, r Report) {
	r.Limit = max(r.Limit, 1)
	others := max(int64(r.Load)-e.inFlight.Load(), 0) * 1000
	e.lastReport.Store(&receivedReport{report: r, asOf: now - r.Age, others: others})
	mean := e.meanOthers.Load()
	// A lost race only drops one of many samples.
	e.meanOthers.CompareAndSwap(mean, mean+(others/int64(r.Limit)-mean)>>othersShift)
}

// OwnCalls returns the number of calls of this process that are in flight.
func (e *Endpoint) OwnCalls() int64 { return e.inFlight.Load() }

// Report returns the agent's latest report.
func (e *Endpoint) Report() Report { return e.lastReport.Load().report }

// Cold reports whether the latest report marks the endpoint as cold.
func (e *Endpoint) Cold() bool { return e.lastReport.Load().report.Cold }

// latencyMaxAge is how long a measured latency is used. A straggler gets no work and
// so produces no new measurements. Without a limit it would be avoided forever after
// one slow period, and the others would carry its share.
const latencyMaxAge = 3 * clock.Second

// Latency returns the smoothed answer time in microseconds, 0 if it is unknown or the
// last answer is older than latencyMaxAge.
func (e *Endpoint) Latency(now clock.Millis) int64 {
	if now-clock.Millis(e.lastAnswerAt.Load()) > latencyMaxAge {
		return 0
	}
	return e.latency.Load()
}

// Load estimates the current load of the endpoint from all entries, in thousandths of
// a call.
func (e *Endpoint) Load(now clock.Millis) int64 { return e.estimate(now, e.lastReport.Load()) }

// Utilisation estimates the load divided by the limit, in thousandths, including the
// call that is about to be sent.
func (e *Endpoint) Utilisation(now clock.Millis) int64 {
	last := e.lastReport.Load()
	return (e.estimate(now, last) + 1000) / int64(last.report.Limit)
}

// halfWeightAge is the age at which a report and the mean of the pool have equal
// weight.
const halfWeightAge clock.Millis = 25

// estimate adds the calls of this process, which are known exactly, to the estimated
// load of other entries. The reported load of others becomes stale: if every entry
// relied on it, all would send to the endpoint with the least load in the last report,
// and it would have the most in the next. The older the report, the more the mean load
// of the pool counts.
func (e *Endpoint) estimate(now clock.Millis, last *receivedReport) int64 {
	weight := int64(halfWeightAge) * 1000 / int64(halfWeightAge+max(now-last.asOf, 0))
	expected := e.meanOthers.Load() * int64(last.report.Limit)
	return e.inFlight.Load()*1000 + expected + (last.others-expected)*weight/1000
}
