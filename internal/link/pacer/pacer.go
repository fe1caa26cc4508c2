// Package pacer decides when a process may send bulk data to its peers. It handles the load
// of a large configuration version on a link of low bandwidth, which has to carry the
// events of callers at the same time: without pacing, every event that is written behind
// the version waits until the link has transferred all of it, 3.4 s for 4 MB on 10 Mbit/s.
// The package does no I/O.
package pacer

import (
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// busyShare is the share of the link that bulk data uses while events are being
	// forwarded, and freeShare that at other times. The rest is for reports.
	busyShare = 0.5
	freeShare = 0.95
	// busySpan is the time after an event for which further events are expected. It is
	// longer than the gap that any route allows between two events.
	busySpan = clock.Second
	// bytesPerMs is the number of bytes that one megabit per second transfers in one
	// millisecond.
	bytesPerMs = 1e6 / 8 / 1000
	// slots is the number of parts into which the last second is divided to measure the
	// bandwidth that events use.
	slots    = 10
	slotSpan = clock.Second / slots
)

// Pacer divides the bandwidth of one link. All methods of a nil Pacer do nothing: the
// bandwidth is unknown and has no limit.
type Pacer struct {
	rate float64 // bytes per millisecond

	lastEvent atomic.Int64 // when an event was last forwarded
	// forwarded counts the bytes of events by slot of time; slot holds the number of the
	// slot that each entry counts.
	forwarded [slots]atomic.Int64
	slot      [slots]atomic.Int64

	mu sync.Mutex
	// freeAt is when the bulk data that was granted so far has been sent.
	freeAt float64
}

// New returns the pacer of a link with a bandwidth in megabits per second, or nil if that is
// 0.
func New(megabits float64) *Pacer {
	if megabits <= 0 {
		return nil
	}
	p := &Pacer{rate: megabits * bytesPerMs}
	p.lastEvent.Store(int64(-busySpan))
	return p
}

// Forwarded records that data of an event was written to a caller.
func (p *Pacer) Forwarded(bytes int, now clock.Millis) {
	if p == nil {
		return
	}
	p.lastEvent.Store(int64(now))
	number := int64(now / slotSpan)
	i := number % slots
	if old := p.slot[i].Load(); old != number && p.slot[i].CompareAndSwap(old, number) {
		p.forwarded[i].Store(0)
	}
	p.forwarded[i].Add(int64(bytes))
}

// Used returns the share of the link that events used in the last second.
func (p *Pacer) Used(now clock.Millis) float64 {
	if p == nil {
		return 0
	}
	current := int64(now / slotSpan)
	var bytes int64
	for i := range p.slot {
		if age := current - p.slot[i].Load(); age >= 0 && age < slots {
			bytes += p.forwarded[i].Load()
		}
	}
	return float64(bytes) / (p.rate * float64(clock.Second))
}

// Grant returns how long a message with bulk data has to wait until it may be sent. The
// message counts as sent after that. Each message must be small enough that the link
// transfers it within a fraction of the time within which an event has to be forwarded.
func (p *Pacer) Grant(bytes int, now clock.Millis) clock.Millis {
	if p == nil {
		return 0
	}
	share := freeShare
	if p.Busy(now) {
		share = busyShare
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := max(p.freeAt, float64(now))
	p.freeAt = start + float64(bytes)/(p.rate*share)
	return clock.Millis(start+0.999) - now
}

// Busy reports whether events are being forwarded.
func (p *Pacer) Busy(now clock.Millis) bool {
	return p != nil && now-clock.Millis(p.lastEvent.Load()) < busySpan
}
