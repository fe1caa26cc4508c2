// Package avail decides what a process does about availability zones: whether
// it is cut off and must stop taking new work, and whether its own zone or
// endpoint was taken out.
package avail

import (
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Spans of the reach. An isolated process stops after isolateAfter, which
// with the operators' seconds keeps new work out of a zone that was taken out
// while it was cut off.
const (
	probeAfter   = 1 * clock.Second
	isolateAfter = 3 * clock.Second
	// CheckEvery is how often the owner looks.
	CheckEvery = 250 * clock.Millis(1)
)

// Contact knows when this process last heard from anywhere outside its own
// availability zone. A process that hears from nowhere can't know that its
// zone was taken out, so it takes no new work; one that merely lost the
// platform still hears from peers in other zones and goes on.
type Contact struct {
	clock *clock.Clock
	zone  string
	last  atomic.Int64
}

// NewContact returns the reach of a process in a zone. It counts as reached at
// its start: it isn't ready before it has a configuration anyway.
func NewContact(c *clock.Clock, zone string) *Contact {
	r := &Contact{clock: c, zone: zone}
	r.last.Store(int64(c.Now()))
	return r
}

// RecordPeer notes a message that a process in a zone sent, as of an instant.
func (r *Contact) RecordPeer(zone string, at clock.Millis) {
	if zone != "" && zone != r.zone {
		r.advance(at)
	}
}

// RecordPlatform notes an answer of the platform as of an instant.
func (r *Contact) RecordPlatform(at clock.Millis) { r.advance(at) }

// RecordIndirect notes that a peer heard from outside this long before. A peer in the
// same zone that still reaches other zones would also hear that the zone was
// taken out, and pass it on.
func (r *Contact) RecordIndirect(age clock.Millis) { r.advance(r.clock.Now() - age) }

func (r *Contact) advance(at clock.Millis) {
	for {
		last := r.last.Load()
		if int64(at) <= last || r.last.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// Age returns how long nothing was heard from outside the zone.
func (r *Contact) Age() clock.Millis { return max(0, r.clock.Since(clock.Millis(r.last.Load()))) }

// ProbeDue reports that it is time to ask peers outside and the platform.
func (r *Contact) ProbeDue() bool { return r.Age() >= probeAfter }

// Isolated reports that new work must be refused. In a deployment of one zone
// there is no outside, and nothing to hear about.
func (r *Contact) Isolated(zones int) bool { return zones > 1 && r.Age() >= isolateAfter }
