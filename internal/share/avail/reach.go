// Package avail decides whether a process accepts new work. It refuses work if it
// is isolated in its availability zone, or if operators have evacuated its zone or
// disabled its endpoint.
package avail

import (
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Timeouts of a Contact. A process without contact accepts no new work after
// isolateAfter. Together with the seconds that operators need to evacuate a zone,
// this keeps new work out of an evacuated zone that is unreachable.
const (
	probeAfter   = 1 * clock.Second
	isolateAfter = 3 * clock.Second
	// CheckEvery is the interval at which the state must be checked.
	CheckEvery = 250 * clock.Millis(1)
)

// Contact records when this process last had contact with the platform or with a
// process outside its availability zone. A process without any contact can't
// find out that its zone was evacuated, so it must accept no new work. One that
// lost only the platform still has contact with peers in other zones and goes on.
type Contact struct {
	clock       *clock.Clock
	zone        string
	lastContact atomic.Int64
}

// NewContact returns the contact state of a process in a zone. The time without
// contact begins now: the process isn't ready before it has a configuration
// anyway.
func NewContact(c *clock.Clock, zone string) *Contact {
	contact := &Contact{clock: c, zone: zone}
	contact.lastContact.Store(int64(c.Now()))
	return contact
}

// RecordPeer records that a message from a process in a zone arrived at a time.
// It has no effect for a process in the same zone.
func (c *Contact) RecordPeer(zone string, at clock.Millis) {
	if zone != "" && zone != c.zone {
		c.advance(at)
	}
}

// RecordPlatform records that the platform answered at a time.
func (c *Contact) RecordPlatform(at clock.Millis) { c.advance(at) }

// RecordIndirect records that a peer in the same zone last had contact outside it
// at the given age. Such a peer would receive the evacuation of the zone and pass
// it on.
func (c *Contact) RecordIndirect(age clock.Millis) { c.advance(c.clock.Now() - age) }

func (c *Contact) advance(at clock.Millis) {
	for {
		last := c.lastContact.Load()
		if int64(at) <= last || c.lastContact.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// Age returns the time since the last contact outside the zone.
func (c *Contact) Age() clock.Millis {
	return max(0, c.clock.Since(clock.Millis(c.lastContact.Load())))
}

// ProbeDue reports whether it is time to probe peers and the platform.
func (c *Contact) ProbeDue() bool { return c.Age() >= probeAfter }

// Isolated reports whether new work must be refused for lack of contact outside
// the zone. A deployment with one zone is never isolated.
func (c *Contact) Isolated(zones int) bool { return zones > 1 && c.Age() >= isolateAfter }
