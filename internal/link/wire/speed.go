package wire

import "math"

// Speed is the sum of the pace samples of one incarnation of an endpoint over one or more
// processes. The samples decay with a half-life, so that a sum states no age: it is as of the
// sending of the message.
type Speed struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// StartedAt distinguishes two starts of an endpoint under one ID.
	StartedAt int64
	Count     float64
	TotalMs   float64
}

// Bounds of a plausible sum: the samples of half a minute at a thousand streams per second,
// and a time between two events of at most a minute, because callers disconnect long before.
const (
	maxSpeedCount = 1e5
	minPaceMs     = 0.1
	maxPaceMs     = 60_000
)

// Plausible reports whether the values can be a sum of samples.
func (s Speed) Plausible() bool {
	if s.Endpoint == "" || math.IsNaN(s.Count) || s.Count <= 0 || s.Count > maxSpeedCount {
		return false
	}
	pace := s.TotalMs / s.Count
	return pace >= minPaceMs && pace <= maxPaceMs
}
