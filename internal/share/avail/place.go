package avail

import (
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Place is where a process stands. Pool and Endpoint are empty for an entry.
type Place struct {
	AvailabilityZone string
	Pool             string
	Endpoint         string
}

// RefusalReason returns the reason why a process at this place takes no new work
// now; false when it takes work. Running work is never touched by it.
func (p Place) RefusalReason(release *spread.Release, reach *Contact) (fault.Reason, bool) {
	if release == nil {
		return fault.NotReady, true
	}
	if release.ZoneEvacuated(p.AvailabilityZone) {
		return fault.ZoneLeft, true
	}
	if p.Endpoint != "" && release.EndpointDisabled(p.Pool, p.Endpoint) {
		return fault.Leaving, true
	}
	if reach != nil && reach.Isolated(len(release.Manifest.AvailabilityZones)) {
		return fault.Isolated, true
	}
	return "", false
}
