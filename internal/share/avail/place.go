package avail

import (
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Place is the location of a process. Pool and Endpoint are empty for an entry.
type Place struct {
	AvailabilityZone string
	Pool             string
	Endpoint         string
}

// RefusalReason returns the reason why a process at this place accepts no new
// work now, or false if it accepts work. Running work is not affected.
func (p Place) RefusalReason(release *spread.Release, contact *Contact) (fault.Reason, bool) {
	if release == nil {
		return fault.NotReady, true
	}
	if release.ZoneEvacuated(p.AvailabilityZone) {
		return fault.ZoneEvacuated, true
	}
	if p.Endpoint != "" && release.EndpointDisabled(p.Pool, p.Endpoint) {
		return fault.Leaving, true
	}
	if contact != nil && contact.Isolated(len(release.Manifest.AvailabilityZones)) {
		return fault.Isolated, true
	}
	return "", false
}
