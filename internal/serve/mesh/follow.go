package mesh

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// defaultMaxPeerAge and defaultMaxWatcherAge are the defaults of
	// Follower.MaxPeerAge and Follower.MaxWatcherAge.
	defaultMaxPeerAge    = 1300 * clock.Millis(1)
	defaultMaxWatcherAge = 1800 * clock.Millis(1)
	// minRequestPause is the shortest pause between two requests for missing changes.
	minRequestPause = 300 * clock.Millis(1)
	// storeRetryPause is how long a watcher that can't reach the store follows a
	// peer before it tries the store again.
	storeRetryPause = 5 * clock.Second
)

// chooseUpstream selects the peer through which this process follows the store: a
// process uses its aggregator, an aggregator uses a watcher. Watchers read the
// store themselves, and so does every process whose upstream stops relaying.
func (m *Mesh) chooseUpstream(now clock.Millis) {
	r, before := &m.reports, m.uplink.Load()
	upstream := before.aggregator
	if upstream == "" {
		upstream = m.selectUpstream(before.upstream, now)
	}
	var open *link
	if l := m.linkTo(upstream); l != nil { // none if there is no upstream
		open = m.ifOpen(l)
	}
	if upstream != before.upstream {
		m.uplink.Store(&uplink{aggregator: before.aggregator, upstream: upstream})
		m.log.Info("store followed through", "peer", upstream, "before", before.upstream)
		if upstream == "" {
			m.follower.NoUpstreamFunc()
		}
	}
	if open == r.upstreamLink || (open == nil && upstream != "") {
		return // the previous upstream relays changes until the session to the new one is open
	}
	if r.upstreamLink != nil {
		m.sendOn(r.upstreamLink, &wire.Frame{Kind: wire.KindFollow, Follow: &wire.Follow{Ended: true}})
	}
	if r.upstreamLink = open; open != nil {
		m.requestChanges(open, nil)
	}
}

// selectUpstream returns the process through which an aggregator follows the
// store, "" for none. A watcher that can't reach the store follows another
// process, too.
func (m *Mesh) selectUpstream(current string, now clock.Millis) string {
	plan := m.view.Load().plan
	if slices.Contains(plan.Watchers, m.self.Name) && !m.isCutOff(now) {
		return ""
	}
	for _, name := range slices.Concat([]string{current}, plan.Watchers, plan.Aggregators, m.reporters()) {
		if name != m.self.Name && m.isFresh(name, now) {
			return name
		}
	}
	return ""
}

// isCutOff reports whether this process, a watcher, can't reach the store. Data
// that a peer relays doesn't show whether this process can reach the store again.
// So it tries the store after storeRetryPause, and follows a peer again at the
// first call that fails.
func (m *Mesh) isCutOff(now clock.Millis) bool {
	r := &m.reports
	switch {
	case now < r.followUntil:
		return true
	case m.isAnswered(): // late, but not cut off
	case wire.AnyOlder(m.follower.ProgressFunc(), m.follower.MaxWatcherAge), now < r.retryUntil && m.follower.DownFunc():
		r.followUntil = now + storeRetryPause
		r.retryUntil = r.followUntil + m.follower.MaxWatcherAge
		return true
	}
	return false
}

// reporters returns the processes that report to this one. One of them may reach
// the store when no aggregator can.
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

// isFresh reports whether a process has received an answer of the store within
// Follower.MaxPeerAge.
func (m *Mesh) isFresh(name string, now clock.Millis) bool {
	for _, source := range []sums.Source{{Process: name, OtherGroup: true}, {Process: name}} {
		if progress, at := m.totals.StoreRevisions(source); len(progress) > 0 && !wire.AnyOlder(progress, m.follower.MaxPeerAge-(now-at)) {
			return true
		}
	}
	return false
}

func (m *Mesh) ifOpen(l *link) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.session == nil {
		return nil
	}
	return l
}

// requestChanges requests that a peer relay changes of the given kinds, or of all kinds
// if kinds is nil.
func (m *Mesh) requestChanges(l *link, kinds []string) {
	follow := &wire.Follow{}
	for _, progress := range m.follower.ProgressFunc() {
		if kinds == nil || slices.Contains(kinds, progress.Kind) {
			follow.Kinds = append(follow.Kinds, progress.Position())
		}
	}
	m.sendOn(l, &wire.Frame{Kind: wire.KindFollow, Follow: follow})
}

// handleFollow starts or stops to relay changes to a peer. It sends a snapshot of each kind
// of which the peer lacks changes.
func (m *Mesh) handleFollow(s *sess.Session, follow *wire.Follow) {
	m.mu.Lock()
	if in := m.inbound[s.Peer().Process]; in != nil && in.session == s {
		in.follows = !follow.Ended
	}
	m.mu.Unlock()
	for _, kind := range follow.Kinds {
		if snapshot := m.follower.LackedFunc(kind); snapshot != nil {
			m.log.Info("snapshot sent", "peer", s.Peer().Process, "kind", kind.Kind, "revision", snapshot.At(), "peerRevision", kind.At(), "bytes", snapshot.Bytes())
			m.sendUpdate(s, snapshot)
		}
	}
}

// Forward sends changes to all peers that follow the store through this process.
func (m *Mesh) Forward(update *wire.Update) {
	for _, s := range m.followers() {
		m.sendUpdate(s, update)
	}
}

// followers returns the sessions of the peers that follow the store through this process.
func (m *Mesh) followers() []*sess.Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*sess.Session
	for _, in := range m.inbound {
		if in.follows {
			all = append(all, in.session)
		}
	}
	return all
}

func (m *Mesh) handleUpdate(from string, update *wire.Update) {
	if !update.Valid() || !update.Verifiable() {
		m.ignoredFunc("contradictory")
		m.log.Warn("update ignored", "peer", from, "kind", update.Kind, "revision", update.At(), "verifiable", update.Verifiable())
		return
	}
	if m.uplink.Load().upstream != from && !update.IsNewer(m.follower.ProgressFunc()) {
		m.ignoredFunc("notUpstream")
		m.log.Info("update dropped", "peer", from, "kind", update.Kind, "revision", update.At(), "bytes", update.Bytes(), "reason", "notUpstream")
		return
	}
	m.receiveUpdate(from, update, update.AsOf)
}

// confirmProgress applies the progress of the upstream and requests missing
// changes.
func (m *Mesh) confirmProgress(from string, progress []wire.Progress, now clock.Millis) {
	m.requestMissing(from, m.follower.ConfirmFunc(progress, now))
}

// requestMissing requests changes of the given kinds from a peer if it is the upstream, at most
// once per minRequestPause. It requests none that are being transferred.
func (m *Mesh) requestMissing(from string, missing []string) {
	missing = slices.DeleteFunc(missing, m.isDownloading)
	if len(missing) == 0 || m.uplink.Load().upstream != from {
		return
	}
	now := m.clock.Now()
	m.mu.Lock()
	l := m.links[from]
	due := l != nil && now-l.changesRequested >= minRequestPause
	if due {
		l.changesRequested = now
	}
	m.mu.Unlock()
	if due {
		m.log.Info("changes missing", "peer", from, "kinds", missing)
		m.requestChanges(l, missing)
	}
}
