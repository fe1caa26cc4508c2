// Package drain holds why an agent takes no new work. Several reasons can hold
// at once, each from its own source; new work is taken again only once none
// does. Running work is never affected.
package drain

import "github.com/jujubescale/jujubescale/internal/base/fault"

// Cause is one source of a reason.
type Cause uint8

// Causes, the most lasting first: that one is told to entries.
const (
	// CauseLeaving is a planned stop of this process; it never ends.
	CauseLeaving Cause = iota
	// CauseZone is an availability zone that operators took out.
	CauseZone
	// CauseEndpoint is an endpoint that operators took out.
	CauseEndpoint
	// CauseIsolated is a process that reaches neither the platform nor any peer
	// outside its availability zone: it can't know that its zone was taken out.
	CauseIsolated
	// CauseNoRelease is a process that has no configuration yet.
	CauseNoRelease
	// CauseUnknownLoad is an agent that does not know yet what runs at its
	// endpoint: the agent before it may have left work behind.
	CauseUnknownLoad
	// CauseFailing is an endpoint that does not answer.
	CauseFailing
	causes
)

// Drain is the set of causes that hold. The zero value takes work.
type Drain struct {
	holds [causes]bool
}

// Set changes whether a cause holds and reports whether the answer of Reason
// may have changed. A planned stop can't be taken back.
func (d *Drain) Set(cause Cause, holds bool) bool {
	if cause == CauseLeaving && !holds {
		return false
	}
	changed := d.holds[cause] != holds
	d.holds[cause] = holds
	return changed
}

// Has reports whether a cause holds.
func (d *Drain) Has(cause Cause) bool { return d.holds[cause] }

// Reason is why new work is refused; empty when it is taken.
func (d *Drain) Reason() fault.Reason {
	for cause := range causes {
		if d.holds[cause] {
			return cause.Reason()
		}
	}
	return ""
}

// Reason is the refusal that a cause leads to.
func (c Cause) Reason() fault.Reason {
	switch c {
	case CauseLeaving, CauseEndpoint:
		return fault.Leaving
	case CauseZone:
		return fault.ZoneLeft
	case CauseIsolated:
		return fault.Isolated
	case CauseFailing:
		return fault.EndpointFailed
	default:
		return fault.NotReady
	}
}
