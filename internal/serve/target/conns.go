package target

import (
	"errors"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/guard/places"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// startTime is the time after which a process that has just started knows the others.
const startTime = 1500 * clock.Millis(1)

// newConns returns the connections to the endpoint of a target.
func (s *Set) newConns(t *Target) *conn.Group {
	return conn.New(t.Address, conn.WithClock(s.Clock), conn.WithDialed(s.meter.dials.Inc),
		conn.WithUsed(s.meter.used), conn.WithSkipped(s.meter.skipped),
		conn.WithDistrusted(func(cause string) {
			s.meter.distrusted.Inc()
			s.Log.Info("connections not reused", "pool", t.Pool, "endpoint", t.ID, "cause", cause)
		}),
		conn.WithLastClosed(func(failed bool) { t.starts.close(failed, s.Clock.Now()) }),
		conn.WithPush(s.Push), conn.WithDial(s.DialFunc), conn.WithMaxOpen(func() int { return s.maxOpen(t) }))
}

// maxOpen returns the number of connections that this process may have to an endpoint.
func (s *Set) maxOpen(t *Target) int {
	if !s.ByUse(t.Endpoint) {
		return s.equalShare(t)
	}
	known, valid := s.known(t)
	if !valid {
		return 1
	}
	return places.Limit(known)
}

// equalShare returns this process's share of the connections that an endpoint accepts in
// total. An eighth is reserved for processes that are just starting.
func (s *Set) equalShare(t *Target) int {
	accepts := s.accepts(t)
	if accepts == 0 {
		return 1
	}
	return max(accepts*7/8/max(s.Processes(), 1), places.Minimum)
}

// accepts returns the number of connections that an endpoint accepts, 0 if it is unknown.
func (s *Set) accepts(t *Target) int {
	routes := s.Table()
	if routes == nil {
		return 0
	}
	pool := routes.Pool(t.Pool)
	if pool == nil {
		return 0
	}
	return pool.MaxConns
}

// known returns the inputs of the limit of a target, and false if there are none.
func (s *Set) known(t *Target) (places.Known, bool) {
	now, accepts := s.Clock.Now(), s.accepts(t)
	if accepts == 0 {
		return places.Known{}, false
	}
	s.peakMu.Lock()
	processes := s.peak.Record(s.Processes(), now)
	s.peakMu.Unlock()
	t.mu.Lock()
	own := t.reported.Value(now)
	t.mu.Unlock()
	return places.Known{
		Accepts: accepts, Gateways: processes, Starting: now-s.createdAt < startTime,
		Own: own, Peers: t.Load.PeerRunning.Load(), PeersKnown: s.UpToDate(),
	}, true
}

// recordFull records that all connections of this process to an endpoint were in use. The
// endpoint gets no requests for a moment afterwards, which bounds the number of lines.
func (s *Set) recordFull(t *Target, err error) {
	var full *conn.FullError
	if !errors.As(err, &full) {
		return
	}
	s.meter.full.Inc()
	if known, valid := s.known(t); valid && s.ByUse(t.Endpoint) {
		s.Log.Info("connections in use", "pool", t.Pool, "endpoint", t.ID, "max", full.Max, "accepted", known.Accepts,
			"processes", known.Gateways, "own", known.Own, "peers", known.Peers, "peersKnown", known.PeersKnown, logs.KeyError, err)
	}
}
