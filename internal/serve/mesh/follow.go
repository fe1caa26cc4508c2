package mesh

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// defaultFresh bounds how long ago an upstream may have heard from the store, and
	// defaultLost how long ago a watcher that is not cut off.
	defaultFresh = 1300 * clock.Millis(1)
	defaultLost  = 1800 * clock.Millis(1)
	// askPause is the shortest pause between two requests for missing changes.
	askPause = 300 * clock.Millis(1)
	// retryStore is how long a watcher that is cut off from the store follows a peer
	// before it tries the store again.
	retryStore = 5 * clock.Second
)

// chooseUpstream decides through whom the store is followed: a process through
// its aggregator, an aggregator through a watcher. Watchers follow it themselves,
// and so does everybody whose upstream stops.
func (m *Mesh) chooseUpstream(now clock.Millis) {
	r, before := &m.reports, m.uplink.Load()
	upstream := before.aggregator
	if upstream == "" {
		upstream = m.freshest(before.upstream, now)
	}
	var open *link
	if upstream != "" {
		if l := m.linkTo(upstream); l != nil {
			open = m.ifOpen(l)
		}
	}
	if upstream == before.upstream && open == r.upstreamLink {
		return
	}
	if upstream != before.upstream {
		m.uplink.Store(&uplink{aggregator: before.aggregator, upstream: upstream})
		m.log.Info("store followed through", "peer", upstream, "before", before.upstream)
	}
	r.upstreamLink = open
	if upstream == "" {
		m.follower.AloneFunc()
	}
	if open != nil {
		m.askFor(open, nil)
	}
}

// freshest returns the process through which an aggregator follows the store, "" for
// none. A watcher that is cut off from the store follows another process, too.
func (m *Mesh) freshest(current string, now clock.Millis) string {
	plan := m.view.Load().plan
	if slices.Contains(plan.Watchers, m.self.Name) && !m.cutOff(now) {
		return ""
	}
	candidates := slices.Concat(plan.Watchers, plan.Aggregators, m.reporters())
	if current != "" {
		candidates = append([]string{current}, candidates...)
	}
	for _, name := range candidates {
		if name != m.self.Name && m.isFresh(name, now) {
			return name
		}
	}
	return ""
}

// cutOff reports whether this process, a watcher, can't reach the store. What a peer
// relays doesn't tell that it can again: it tries, and returns to a peer at the first
// call that fails.
func (m *Mesh) cutOff(now clock.Millis) bool {
	r := &m.reports
	switch {
	case now < r.followUntil:
		return true
	case isStale(m.follower.SeenFunc(), m.follower.Lost), now < r.trialUntil && m.follower.DownFunc():
		r.followUntil = now + retryStore
		r.trialUntil = r.followUntil + m.follower.Lost
		return true
	}
	return false
}

// reporters returns the processes that report to this one. One of them may reach
// the store when no aggregator does.
func (m *Mesh) reporters() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, in := range m.inbound {
		if in.reports {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isFresh reports whether a process has heard from the store a moment ago.
func (m *Mesh) isFresh(name string, now clock.Millis) bool {
	for _, source := range []sums.Source{{Process: name, OtherGroup: true}, {Process: name}} {
		if seen, at := m.book.StoreRevisions(source); len(seen) > 0 && !isStale(seen, m.follower.Fresh-(now-at)) {
			return true
		}
	}
	return false
}

// isStale reports whether some kind of objects was last confirmed by the store
// longer ago than a bound.
func isStale(seen []wire.Progress, bound clock.Millis) bool {
	return slices.ContainsFunc(seen, func(s wire.Progress) bool { return s.Age > bound })
}

func (m *Mesh) ifOpen(l *link) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.session == nil {
		return nil
	}
	return l
}

// askFor asks a peer to pass changes on, of some kinds again, or of all.
func (m *Mesh) askFor(l *link, kinds []string) {
	follow := &wire.Follow{}
	for _, seen := range m.follower.SeenFunc() {
		if kinds == nil || slices.Contains(kinds, seen.Kind) {
			follow.Kinds = append(follow.Kinds, wire.Revision{Kind: seen.Kind, Revision: seen.Revision})
		}
	}
	m.sendOn(l, &wire.Frame{Kind: wire.KindFollow, Follow: follow})
}

// takeFollow begins to pass changes on to a peer.
func (m *Mesh) takeFollow(s *sess.Session, follow *wire.Follow) {
	m.mu.Lock()
	if in := m.inbound[s.Peer().Process]; in != nil && in.session == s {
		in.follows = true
	}
	m.mu.Unlock()
	for _, kind := range follow.Kinds {
		whole := m.follower.WholeFunc(kind.Kind)
		if whole != nil && whole.Changed > kind.Revision {
			_ = s.Send(&wire.Frame{Kind: wire.KindUpdate, Update: whole}) // a session that can't send is ending
		}
	}
}

// Forward sends changes to all who follow the store through this process.
func (m *Mesh) Forward(update *wire.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, in := range m.inbound {
		if in.follows {
			_ = in.session.Send(&wire.Frame{Kind: wire.KindUpdate, Update: update}) // they ask again for what is missing
		}
	}
}

func (m *Mesh) takeUpdate(from string, update *wire.Update) {
	if update.Kind == "" || update.Age < 0 || update.Changed > update.Revision {
		m.ignoredFunc("contradictory")
		m.log.Warn("update ignored", "peer", from, "kind", update.Kind, "revision", update.Revision)
		return
	}
	if m.uplink.Load().upstream == from {
		m.askAgain(from, m.follower.TakeFunc(update, m.clock.Now()))
	}
}

// confirm takes how far the upstream has followed the store.
func (m *Mesh) confirm(from string, seen []wire.Progress, now clock.Millis) {
	m.askAgain(from, m.follower.ConfirmFunc(seen, now))
}

// askAgain asks the upstream for changes that are missing.
func (m *Mesh) askAgain(from string, missing []string) {
	if len(missing) == 0 {
		return
	}
	now := m.clock.Now()
	m.mu.Lock()
	l := m.links[from]
	due := l != nil && now-l.asked >= askPause
	if due {
		l.asked = now
	}
	m.mu.Unlock()
	if due {
		m.log.Info("changes missing", "peer", from, "kinds", missing)
		m.askFor(l, missing)
	}
}
