package door

import "github.com/jujubescale/jujubescale/internal/base/clock"

const (
	// processorShare is the share of the processor time up to which new connections are accepted. A
	// process that uses all of its quota stands still for parts of each period, and its requests late.
	processorShare = 0.8
	// busyShare is the share of the processor time from which the process counts as busy, busyWait how
	// long a request may have waited then until it is read.
	busyShare = 0.5
	busyWait  = 50 * clock.Millis(1)
	// costWeight is the weight of the newest sample in the mean cost of a request.
	costWeight = 0.1
)

// processor is a budget of processor time. The cost of a request is the time that the process has used
// in the last second, divided by the number of requests that were served, so that a process which is
// behind with its requests, or refuses them, accepts fewer.
type processor struct {
	// limit is the number of processors that the process may use, 0 without limit.
	limit float64
	// used is the processor time in seconds at the last sample, and ended counts the requests that were
	// served since. usedSum and endedSum are sums of both in which older samples count less.
	used              float64
	ended             int
	usedSum, endedSum float64
	// use is the share of the processor time that was used, averaged like the rate of requests.
	use    float64
	budget float64
}

// sample records the processor time that the process has used since its start, a span after the last
// sample, 0 for the first one.
func (p *processor) sample(used float64, span clock.Millis) {
	since := used - p.used
	p.used = used
	if p.limit == 0 || span == 0 {
		return
	}
	p.usedSum += since - costWeight*p.usedSum
	p.endedSum += float64(p.ended) - costWeight*p.endedSum
	p.ended = 0
	p.use += sampleWeight * (since/(p.limit*float64(span)/float64(clock.Second)) - p.use)
}

// cost returns the processor time of a request in seconds.
func (p *processor) cost() float64 { return p.usedSum / max(p.endedSum, 1) }

// refill adds the processor time of a span to the budget.
func (p *processor) refill(span clock.Millis) {
	perSecond := p.limit * processorShare
	p.budget = min(p.budget+perSecond*float64(span)/float64(clock.Second), perSecond*burstSpan)
	p.budget = max(p.budget, -perSecond*burstSpan)
}

// charge takes the cost of a request from the budget.
func (p *processor) charge() { p.budget -= p.cost() }

// lacks reports whether the process is busy and has no time left for another request, which has waited
// for a time.
func (p *processor) lacks(wait clock.Millis) bool {
	return p.limit > 0 && p.use > busyShare && (wait > busyWait || p.budget < p.cost())
}
