package peers

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
)

// watchDuration is how long the heartbeats to a zone stay fast after one of its
// sessions has timed out: long enough to detect all others that are lost.
const watchDuration = 2 * clock.Second

// watchZone uses the fast heartbeats of busy sessions for all sessions to an
// availability zone for a while, because one of them has timed out. When a whole
// zone becomes unreachable, the loss of each idle session would otherwise be
// detected only by a call that is sent on it and gets no answer. With many
// endpoints this would take seconds, in which one request after another is
// delayed.
func (p *Peers) watchZone(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.base.Err() != nil || p.watchedZones[zone] {
		return
	}
	p.watchedZones[zone] = true
	var watched []*sess.Session
	for _, l := range p.byAddress {
		if s := l.sessionInZone(zone); s != nil {
			s.AddInFlight(1)
			watched = append(watched, s)
		}
	}
	p.group.Go(func() {
		_ = p.clock.Sleep(p.base, watchDuration)
		for _, s := range watched {
			s.AddInFlight(-1)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watchedZones, zone)
	})
}

// sessionInZone returns the link's session if its endpoint is in the given zone,
// else nil.
func (l *Link) sessionInZone(zone string) *sess.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoint == nil || l.endpoint.AvailabilityZone != zone {
		return nil
	}
	return l.session
}
