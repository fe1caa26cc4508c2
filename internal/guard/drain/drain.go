// Package drain tracks why an agent accepts no new work. Several causes can be
// active at once, each set by its own source. The agent accepts new work again
// when no cause is active. Running work is never affected.
package drain

import "github.com/jujubescale/jujubescale/internal/base/fault"

// Cause is one cause for refusing new work.
type Cause uint8

// Causes, ordered by how long they last, longest first. The first active cause
// determines the reason that entries receive.
const (
	// CauseLeaving is a planned stop of this process; it never ends.
	CauseLeaving Cause = iota
	// CauseZone is an availability zone that operators have evacuated.
	CauseZone
	// CauseEndpoint is an endpoint that operators have disabled.
	CauseEndpoint
	// CauseIsolated is a process that reaches neither the platform nor any peer
	// outside its availability zone. It cannot detect that operators have
	// evacuated its zone.
	CauseIsolated
	// CauseNoRelease is a process that has no configuration yet.
	CauseNoRelease
	// CauseUnknownLoad is an agent that has no report yet of the work at its
	// endpoint. The previous agent may have left work there.
	CauseUnknownLoad
	// CauseFailing is an endpoint that does not answer.
	CauseFailing
	causes
)

// Drain is the set of active causes. The zero value accepts work.
type Drain struct {
	active [causes]bool
}

// Set activates or ends a cause and reports whether the result of Reason may have
// changed. CauseLeaving cannot be ended.
func (d *Drain) Set(cause Cause, active bool) bool {
	if cause == CauseLeaving && !active {
		return false
	}
	changed := d.active[cause] != active
	d.active[cause] = active
	return changed
}

// Has reports whether a cause is active.
func (d *Drain) Has(cause Cause) bool { return d.active[cause] }

// Reason returns the reason for refusing new work, empty if work is accepted.
func (d *Drain) Reason() fault.Reason {
	for cause := range causes {
		if d.active[cause] {
			return cause.Reason()
		}
	}
	return ""
}

// Reason returns the reason that entries receive for a cause.
func (c Cause) Reason() fault.Reason {
	switch c {
	case CauseLeaving, CauseEndpoint:
		return fault.Leaving
	case CauseZone:
		return fault.ZoneEvacuated
	case CauseIsolated:
		return fault.Isolated
	case CauseFailing:
		return fault.EndpointFailed
	default:
		return fault.NotReady
	}
}
