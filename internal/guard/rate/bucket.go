package rate

import "github.com/jujubescale/jujubescale/internal/base/clock"

const (
	// minLimit is the lowest rate at which requests are granted, in requests per second.
	// A lower limit could only end once one more request was sent, and would block an
	// endpoint for minutes.
	minLimit = 0.1
	// burstTime is the time in which a full bucket fills, in seconds. With bursts of
	// maxBurst at most, an endpoint gets 1.1 times its limit at most over 30 s.
	burstTime = 3.0
	maxBurst  = 8.0
	// asksPerPermit is the number of refused processes that may ask again in the time of one
	// permit. It bounds the rate of their requests, however many compete for the endpoint.
	asksPerPermit = 4.0
	// maxWait bounds how long a process waits before it asks again. Other processes may
	// have no requests any more.
	maxWait = 10 * clock.Second
)

// Bucket grants the requests to one endpoint. A new bucket is empty, because its
// predecessor may just have granted a burst. It is not safe for concurrent use.
type Bucket struct {
	limit  float64
	level  float64
	filled clock.Millis
	// nextAsk is when the next process that is refused may ask again.
	nextAsk float64
	// started is set by the first call, from which on the bucket fills.
	started bool
}

// burst returns the number of requests that may be sent at once after a pause.
func burst(limit float64) float64 { return min(max(limit*burstTime, 1), maxBurst) }

// Take grants one request at an instant and returns 0, or returns how long the asking
// process has to wait before it asks again. Processes that are refused together get
// different times.
func (b *Bucket) Take(limit float64, now clock.Millis) clock.Millis {
	b.fill(limit, now)
	if b.level >= 1 {
		b.level--
		return 0
	}
	perMs := b.limit / float64(clock.Second)
	wait := float64(now) + (1-b.level)/perMs
	ask := max(wait, b.nextAsk)
	b.nextAsk = min(ask+1/(asksPerPermit*perMs), float64(now+maxWait))
	return min(max(clock.Millis(ask)-now+1, 1), maxWait)
}

// Wait returns the time until a request may be granted, 0 for now.
func (b *Bucket) Wait(limit float64, now clock.Millis) clock.Millis {
	b.fill(limit, now)
	if b.level >= 1 {
		return 0
	}
	return max(clock.Millis((1-b.level)*float64(clock.Second)/b.limit)+1, 1)
}

// fill adds what the limit allows since the last call.
func (b *Bucket) fill(limit float64, now clock.Millis) {
	limit = max(limit, minLimit)
	if limit != b.limit {
		b.nextAsk = 0
	}
	if b.started {
		b.level += b.limit * float64(max(now-b.filled, 0)) / float64(clock.Second)
	}
	b.limit, b.filled, b.started = limit, max(now, b.filled), true
	b.level = min(b.level, burst(limit))
}
