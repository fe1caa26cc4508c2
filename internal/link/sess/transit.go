package sess

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// transitMeter bounds the time that frames of a session are on their way: while they are packed, in the
// queues of both processes, on the connection, and while one of them is paused. The difference between
// the clocks at arrival and at sending is the time on the way plus the clocks' offset; the
// shortest difference in the other direction bounds that offset.
type transitMeter struct {
	// openedAt is an instant before the session was opened, so that no frame was sent before it.
	openedAt clock.Millis

	mu sync.Mutex
	// shortest is the shortest difference of the frames received, measuredAt when it was
	// measured. It is valid if measured is set.
	shortest   clock.Millis
	measuredAt clock.Millis
	measured   bool
}

// unknownTransit is a time on the way that makes all ages too old to be used.
const unknownTransit = 1 << 50 * clock.Millis(1)

// driftInterval is the time in which two clocks may drift apart by one millisecond.
const driftInterval = 10 * clock.Second

// stamp returns the stamp of a frame that is sent now and whose ages hold for an instant.
// Ages of before the opening can't be bounded until then and count as unknown.
func (m *transitMeter) stamp(asOf, now clock.Millis) *wire.Stamp {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.measured && asOf < m.openedAt {
		return &wire.Stamp{SentAt: asOf, Shortest: unknownTransit, Measured: true}
	}
	return &wire.Stamp{SentAt: asOf, Shortest: m.shortestAt(now), Measured: m.measured}
}

// observe returns an upper bound of the time that a frame was on its way, in milliseconds.
// Before the peer has received a stamped frame, that is the time since the session was opened.
func (m *transitMeter) observe(stamp *wire.Stamp, now clock.Millis) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	difference := now - stamp.SentAt
	if !m.measured || difference <= m.shortestAt(now) {
		m.shortest, m.measuredAt, m.measured = difference, now, true
	}
	if stamp.Measured {
		return max(difference+stamp.Shortest, 0)
	}
	return max(now-m.openedAt, 0)
}

// shortestAt returns the shortest difference, raised by what the clocks may have drifted since
// it was measured. The caller holds the lock.
func (m *transitMeter) shortestAt(now clock.Millis) clock.Millis {
	return m.shortest + (now-m.measuredAt)/driftInterval
}
