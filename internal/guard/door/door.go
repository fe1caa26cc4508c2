// Package door decides which new connections of callers a gateway closes before it reads a
// request. It handles the load of a balancer that hands most new connections to one gateway: what
// that gateway reads and can't serve is lost, while a caller whose connection was closed unread
// goes to another gateway at once. Connections are closed only while this gateway has more work
// than the others, because under a load that is the same everywhere callers had better come back
// later. The package does no I/O.
package door

import (
	"cmp"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Reason is why a connection is closed unread.
type Reason string

// Reasons.
const (
	// Accepted: the connection is not closed.
	Accepted    Reason = ""
	Link        Reason = "link"
	Memory      Reason = "memory"
	Descriptors Reason = "fileDescriptors"
	// Late: the process lacks the processor time to read requests soon after they arrive.
	Late Reason = "late"
	// Processor: the process has used the processor time that it may use.
	Processor Reason = "processor"
	// Endpoints: the endpoints accept no more connections from this process.
	Endpoints Reason = "endpoints"
)

const (
	// Shares of the resources up to which new connections are accepted. They are below those at
	// which guard/spare refuses requests that were read.
	linkShare   = 0.8
	memoryShare = 0.6
	filesShare  = 0.8
	// burstSpan is the part of a second in which the link's budget of a second may be used.
	burstSpan = 0.25
	// maxWait is how long the first request of a connection may have waited until it is read.
	// Callers wait a second or less for that.
	maxWait = 200 * clock.Millis(1)
	// maxClosed is how long no connection may be accepted at most: the balancer counts on a process
	// that is ready.
	maxClosed = clock.Second
	// fullSpan is how long endpoints without a free connection count.
	fullSpan = 200 * clock.Millis(1)
	// sampleSpan is the time between two samples, sampleWeight the weight of the newest in the
	// rate of requests.
	sampleSpan   = 100 * clock.Millis(1)
	sampleWeight = 0.3
	// unevenRatio is how many times the mean of the others callers must bring to this process.
	unevenRatio = 2
	// silentSpan is how long the last known load of the others counts after they have become silent: a
	// link that callers fill carries no messages of peers either.
	silentSpan = 10 * clock.Second
	// bytesWeight is the weight of the newest request in the mean size, minRequests the number of
	// requests from which it is used.
	bytesWeight = 1.0 / 32
	minRequests = 16
	// maxUnread is the number of bytes that the kernel takes of a connection that isn't read.
	maxUnread = 64 << 10
)

// Limits are the resources of the host; 0 means no limit.
type Limits struct {
	// Link is in bytes per second, Memory in bytes. Processor is the number of processors.
	Link, Processor float64
	Memory, Files   int64
	// Connections is the number of callers' connections that may be open.
	Connections int64
}

// Usage is what this process and the others do.
type Usage struct {
	// Memory is in bytes.
	Memory, Files int64
	// Link is the share of the link's bandwidth that answers use.
	Link float64
	// Processor is the processor time in seconds that the process has used since its start.
	Processor float64
	// PeersOffered is the number of requests that callers brought to all other processes in the
	// last second, and Peers the number of those that state it.
	PeersOffered float64
	Peers        int
}

// Book decides on connections. It is safe for concurrent use.
type Book struct {
	limits     Limits
	sampleFunc func() Usage
	forwarded  atomic.Int64
	open       atomic.Int64

	mu        sync.Mutex
	sampled   bool
	sampledAt clock.Millis
	usage     Usage
	// arrived counts the requests and the connections closed unread since the last sample. offered
	// is their number in a second, peersOffered the mean of the other processes.
	arrived               int
	offered, peersOffered float64
	// unevenAt is when this process last knew that it got many more requests than the others, 0 if
	// that has ended.
	unevenAt clock.Millis
	fullAt   clock.Millis
	wasFull  bool
	// requests counts the requests that have ended, requestBytes and answerBytes are the mean sizes
	// of a request and its answer. lastForwarded is forwarded at the end of the last request.
	requests                  int
	requestBytes, answerBytes float64
	lastForwarded             int64
	// budget is the number of bytes that new requests may transfer, at budgetAt. prepaid counts the
	// connections whose first request was charged.
	budget    float64
	budgetAt  clock.Millis
	prepaid   int
	processor processor
	// acceptedAt is when a connection was accepted last.
	acceptedAt clock.Millis
	// openCounted is the number of open requests when the file descriptors were counted last.
	openCounted int64
}

// New returns a book. The function returns what the process uses now.
func New(limits Limits, sample func() Usage) *Book {
	return &Book{limits: limits, sampleFunc: sample, budget: limits.Link * linkShare * burstSpan, processor: processor{limit: limits.Processor}}
}

// Forwarded records that bytes of an answer were passed on.
func (b *Book) Forwarded(bytes int) { b.forwarded.Add(int64(bytes)) }

// Begin records that a request was read. The request's size is passed to End.
func (b *Book) Begin(now clock.Millis) {
	b.open.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived++
	if b.prepaid > 0 {
		b.prepaid--
		return
	}
	b.refill(now)
	b.charge(b.bytes())
}

// charge takes the bytes and the processor time of a request from the budgets. The caller holds the
// lock.
func (b *Book) charge(bytes float64) {
	b.budget -= bytes
	b.processor.charge()
}

// bytes returns what a request transfers in the direction in which it transfers more. The caller
// holds the lock.
func (b *Book) bytes() float64 { return max(b.requestBytes, b.answerBytes) }

// End records that a request of a size in bytes has ended, and whether it was served.
func (b *Book) End(bytes int, served bool) {
	b.open.Add(-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if served {
		b.processor.ended++
	}
	forwarded := b.forwarded.Load()
	weight := max(bytesWeight, 1/float64(b.requests+1))
	b.requests++
	b.answerBytes += weight * (float64(forwarded-b.lastForwarded) - b.answerBytes)
	b.requestBytes += weight * (float64(bytes) - b.requestBytes)
	b.lastForwarded = forwarded
}

// Full records that an endpoint accepts no more connections from this process.
func (b *Book) Full(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fullAt, b.wasFull = now, true
}

// Arrival describes a new connection whose first request has arrived.
type Arrival struct {
	// Wait is the time for which the request has waited.
	Wait clock.Millis
	// Bytes is the size of the request, 0 if it is unknown.
	Bytes int
	// Open is the number of callers' connections that are open.
	Open int64
}

// Admit decides on a new connection. It returns the reason to close it, or Accepted.
func (b *Book) Admit(first Arrival, now clock.Millis) Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sample(now)
	b.refill(now)
	size := float64(cmp.Or(first.Bytes, int(b.requestBytes)))
	reason := Accepted
	if b.uneven(now) && now-b.acceptedAt < maxClosed {
		reason = b.lacking(first, now)
	}
	if reason == Accepted {
		b.acceptedAt = now
		// Callers may state more than they send.
		b.charge(max(min(size, b.requestBytes), b.answerBytes))
		b.prepaid++
		return Accepted
	}
	b.arrived++
	if b.requestBytes >= b.answerBytes {
		b.budget -= min(size, maxUnread) // callers send requests at once, so that they have crossed the link
	}
	return reason
}

// lacking returns what another request lacks. The caller holds the lock.
func (b *Book) lacking(first Arrival, now clock.Millis) Reason {
	// Each request holds a connection of its caller and one to an endpoint.
	files := b.usage.Files + 2*(b.open.Load()-b.openCounted)
	switch {
	case first.Wait > maxWait:
		return Late
	case b.processor.lacks(first.Wait):
		return Processor
	case exceeds(b.usage.Memory, b.limits.Memory, memoryShare):
		return Memory
	case exceeds(files, b.limits.Files, filesShare), exceeds(first.Open, b.limits.Connections, filesShare):
		return Descriptors
	case b.limits.Link > 0 && b.requests >= minRequests && b.budget < b.bytes():
		return Link
	case b.wasFull && now-b.fullAt < fullSpan:
		return Endpoints
	}
	return Accepted
}

// uneven reports whether callers bring this process many more requests than the others get on
// average, or did so before they became silent. The caller holds the lock.
func (b *Book) uneven(now clock.Millis) bool {
	switch {
	case b.usage.Peers == 0:
		return b.unevenAt > 0 && now-b.unevenAt < silentSpan
	case b.offered > unevenRatio*b.peersOffered:
		b.unevenAt = now
		return true
	}
	b.unevenAt = 0
	return false
}

// Offered returns how many requests callers have brought in the last second, also those whose
// connection was closed unread.
func (b *Book) Offered(now clock.Millis) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sample(now)
	return int(b.offered + 0.5)
}

// sample reads what is used if the last sample is old. The caller holds the lock.
func (b *Book) sample(now clock.Millis) {
	if b.sampled && now-b.sampledAt < sampleSpan {
		return
	}
	counted := b.usage.Files
	if b.usage = b.sampleFunc(); b.usage.Files != counted {
		b.openCounted = b.open.Load()
	}
	span := clock.Millis(0)
	if b.sampled {
		span = now - b.sampledAt
		b.offered += sampleWeight * (float64(b.arrived)*float64(clock.Second)/float64(span) - b.offered)
	}
	b.processor.sample(b.usage.Processor, span)
	b.arrived, b.sampled, b.sampledAt = 0, true, now
	b.prepaid /= 2 // connections that end without a request
	b.peersOffered = b.usage.PeersOffered / float64(max(b.usage.Peers, 1))
}

// refill adds to the budget what the link could transfer since the last call. The caller holds
// the lock.
func (b *Book) refill(now clock.Millis) {
	b.processor.refill(now - b.budgetAt)
	perSecond := b.limits.Link * linkShare
	b.budget += perSecond * float64(now-b.budgetAt) / float64(clock.Second)
	b.budget = min(b.budget, perSecond*burstSpan)
	b.budget = max(b.budget, -perSecond*burstSpan) // kept connections may ask for more than there is
	b.budgetAt = now
}

func exceeds(used, limit int64, share float64) bool {
	return limit > 0 && float64(used) > share*float64(limit)
}

// String returns what decisions rest on, for logs.
func (b *Book) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%.0f requests a second, others %.1f on average, %.0f%% of the processor, %.1f ms of it a request, %d file descriptors, %.0f%% of the link, %.0f bytes a request",
		b.offered, b.peersOffered, 100*b.processor.use, 1000*b.processor.cost(), b.usage.Files, 100*b.usage.Link, b.bytes())
}
