package sums

import (
	"fmt"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// limitLifetime is how long the limit of an endpoint is sent to new destinations. Its
	// owner announces it again in a fraction of this time.
	limitLifetime = 15 * clock.Second
	// maxLimits bounds the number of endpoints whose limits are stored.
	maxLimits = 4096
)

// limitState is the newest limit of one endpoint, as of an instant. It was last received
// from a source at a step.
type limitState struct {
	limit wire.EndpointLimit
	at    clock.Millis
	from  Source
	step  uint64
}

func checkLimits(from Source, limits []wire.EndpointLimit) error {
	for _, limit := range limits {
		if !limit.Plausible() {
			return &ReportError{Process: from.Process, Cause: fmt.Sprintf("invalid limit %v of endpoint %q", limit.Limit, limit.Endpoint)}
		}
	}
	return nil
}

// recordLimits stores the limits of a message that are newer than the stored ones. The
// caller must hold t.mu.
func (t *Totals) recordLimits(from Source, limits []wire.EndpointLimit, now clock.Millis) {
	for _, limit := range limits {
		known, found := t.limits[limit.Endpoint]
		if (!found && len(t.limits) >= maxLimits) || (found && !newer(limit, known, now)) {
			continue
		}
		t.limits[limit.Endpoint] = limitState{limit: limit, at: now, from: from, step: t.step}
	}
}

// newer reports whether a limit received now was stated after the known one, or is the known
// one, announced again.
func newer(limit wire.EndpointLimit, known limitState, now clock.Millis) bool {
	if limit.StartedAt != known.limit.StartedAt {
		return limit.StartedAt > known.limit.StartedAt
	}
	return now-limit.Age >= known.at-known.limit.Age
}

// addLimits adds the limits that were not sent to a destination yet. The caller must hold
// t.mu.
func (t *Totals) addLimits(message *wire.Sums, c *Cursor, include func(Source) bool, now clock.Millis) {
	for _, known := range t.limits {
		if known.step > c.limits && include(known.from) && now-known.at <= limitLifetime {
			message.Limits = append(message.Limits, known.limit.Aged(now-known.at))
		}
	}
	c.limits = t.step
}

// expireLimits removes the limits that were not announced again. The caller must hold t.mu.
func (t *Totals) expireLimits(now clock.Millis) {
	for endpoint, known := range t.limits {
		if now-known.at > limitLifetime {
			delete(t.limits, endpoint)
		}
	}
}
