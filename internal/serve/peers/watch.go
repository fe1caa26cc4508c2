package peers

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
)

// watchSpan is how long the sessions into a zone are watched closely after one
// of them went silent: enough for the fast heartbeats to find the others.
const watchSpan = 2 * clock.Second

// watchZone makes the heartbeats of all sessions into an availability zone fast
// for a while, because one of them went silent. When a zone is lost without a
// word, idle sessions into it would each be found out only by a call that is
// sent there and waits in vain: with many endpoints that goes on for seconds,
// and callers see their requests slow down one after another.
func (p *Peers) watchZone(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.base.Err() != nil || p.watched[zone] {
		return
	}
	p.watched[zone] = true
	var watched []*sess.Session
	for _, l := range p.address {
		if s := l.sessionInto(zone); s != nil {
			s.AddInFlight(1)
			watched = append(watched, s)
		}
	}
	p.group.Go(func() {
		_ = p.clock.Sleep(p.base, watchSpan)
		for _, s := range watched {
			s.AddInFlight(-1)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watched, zone)
	})
}

// sessionInto returns the link's session if its endpoint is in the zone, or nil.
func (l *Link) sessionInto(zone string) *sess.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoint == nil || l.endpoint.AvailabilityZone != zone {
		return nil
	}
	return l.session
}
