package origin

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Mix tells whether the streams of a pool may have begun at more than one software version. It is
// not safe for concurrent use.
type Mix struct {
	versions []string
	mixed    bool
	// mixedAt is when the pool last had several versions, or another one than before.
	mixedAt clock.Millis
	// longest is the longest time for which a stream of the pool may be resumed.
	longest clock.Millis
}

// See records the versions that the endpoints of the pool have, sorted. A pool without endpoints is
// left out: those that come next may have the version of before.
func (m *Mix) See(versions []string, now clock.Millis) {
	if len(versions) == 0 {
		return
	}
	if len(versions) > 1 || m.versions != nil && !slices.Equal(m.versions, versions) {
		m.mixed, m.mixedAt = true, now
	}
	m.versions = versions
}

// Begin records for how long a stream that begins now may be resumed.
func (m *Mix) Begin(lifetime clock.Millis) { m.longest = max(m.longest, lifetime) }

// Mixed reports whether a stream that may still be resumed can have begun at another version than
// a new one.
func (m *Mix) Mixed(now clock.Millis) bool { return m.mixed && now-m.mixedAt <= m.longest }
