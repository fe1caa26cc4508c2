// Package rate limits the requests to an endpoint that states how many requests per
// second it accepts from all processes together.
//
// A Known holds what the answers of an endpoint said, in an order that does not depend
// on the order in which they arrive. A Bucket grants the requests; one process has the
// bucket of an endpoint, so that the sum over all processes stays within the limit.
package rate

import (
	"math"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// MaxLimit is the highest limit that is honoured, in requests per second. No process
// sends requests faster, so that a higher value can only be a mistake.
const MaxLimit = 1e6

// Valid reports whether an endpoint may state a limit.
func Valid(limit float64) bool { return limit > 0 && limit <= MaxLimit && !math.IsNaN(limit) }

// Statement is what one answer of an endpoint says about its limit.
type Statement struct {
	// Limit is in requests per second; 0 means that the answer states no limit.
	Limit float64
	// SentAt is when the request of the answer was sent, At when the head of the answer
	// arrived. The endpoint made the statement between these instants.
	SentAt, At clock.Millis
}

// replaces reports whether s is in force after old. A statement that was certainly made
// later does. If the order is unknown, the lower limit is in force: it is corrected by
// the answer to any request that is sent from now on.
func (s Statement) replaces(old Statement) bool {
	switch {
	case s.SentAt >= old.At:
		return true
	case old.SentAt >= s.At:
		return false
	case s.Limit == old.Limit:
		return s.At > old.At
	}
	return s.Limit > 0 && (old.Limit == 0 || s.Limit < old.Limit)
}

// Known is what is known about the limit of one start of an endpoint. The zero value
// knows nothing. It is not safe for concurrent use.
type Known struct {
	inForce Statement
	stated  bool
}

// Apply adds a statement and reports whether the limit has changed. A statement with an
// invalid limit is ignored.
func (k *Known) Apply(s Statement) bool {
	if s.Limit != 0 && !Valid(s.Limit) {
		return false
	}
	if k.stated && !s.replaces(k.inForce) {
		return false
	}
	changed := s.Limit != k.inForce.Limit
	k.inForce, k.stated = s, true
	return changed
}

// Limit returns the limit in force in requests per second, 0 if there is none.
func (k *Known) Limit() float64 { return k.inForce.Limit }

// InForce returns the statement in force.
func (k *Known) InForce() Statement { return k.inForce }
