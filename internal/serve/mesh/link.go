package mesh

import (
	"context"
	"errors"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/dest"
)

// pendingRequest is a request for pieces without an answer yet.
type pendingRequest struct {
	answer     chan *wire.Results
	inputsRead func()
}

// link is a session that this process opened to a peer. Only the process that
// opened a session sends requests on it.
type link struct {
	member Member
	// opened is closed once session is set or the attempt to open it has failed.
	opened  chan struct{}
	session *sess.Session
	pending map[uint64]*pendingRequest
	// answers holds the other requests without an answer yet.
	answers  map[uint64]chan *wire.Frame
	lastUsed clock.Millis
	// target is the state of the reports on this session; only Run uses it.
	target dest.State
	// lastTotal is when the last total arrived on this session.
	lastTotal clock.Millis
	// replacing is set while a new session is opened that replaces this one.
	replacing bool
	// resendAll is set when the peer requests complete sums.
	resendAll bool
	// changesRequested is when missing changes were last requested.
	changesRequested clock.Millis
}

// inbound is a session that a peer opened.
type inbound struct {
	session *sess.Session
	// reports is set while the peer sends its reports here, groups while it sends
	// the sums of its group, follows if it follows the store through this process,
	// and legacy if it has the previous version, which receives no totals.
	reports, groups, follows, legacy bool
	// resendAll is set when the peer requests complete sums.
	resendAll bool
	// target is only used by Run.
	target dest.State
}

// linkTo returns the link to a process, which may still be opening. It returns
// nil if the process is not listed or unreachable.
func (m *Mesh) linkTo(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if l := m.links[name]; l != nil {
		l.lastUsed = now
		return l
	}
	member, listed := m.members[name]
	if !listed || m.stopped || m.base.Err() != nil || hasIncarnation(m.unreachable, name, member.Incarnation) {
		return nil
	}
	l := newLink(member, now)
	m.links[name] = l
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		m.maintain(l)
	}()
	return l
}

// openLink returns the link to a process once its session is open. It returns nil
// if the session can't be opened or the context ends.
func (m *Mesh) openLink(ctx context.Context, name string) *link {
	l := m.linkTo(name)
	if l == nil {
		return nil
	}
	select {
	case <-l.opened:
	case <-ctx.Done():
		return nil
	}
	return m.ifOpen(l)
}

// newLink returns a link without a session.
func newLink(member Member, now clock.Millis) *link {
	return &link{member: member, opened: make(chan struct{}), pending: make(map[uint64]*pendingRequest), answers: make(map[uint64]chan *wire.Frame), lastUsed: now}
}

// maintain opens a link and waits until its session ends. Then it redials the
// process, which may have been unreachable only for a short time.
func (m *Mesh) maintain(l *link) {
	s, err := m.dial(l.member)
	if err == nil && s.Peer().Incarnation != l.member.Incarnation && !m.adopt(l, s.Peer()) {
		s.Close(errIdle)
		err = errRestarted
	}
	if err == nil {
		m.addSession(l, s)
		<-s.Done()
		err = s.Err()
	}
	m.handleLinkEnd(l, err)
}

// handleLinkEnd removes a link and redials its process if that is unreachable.
func (m *Mesh) handleLinkEnd(l *link, cause error) {
	if !m.removeLink(l, cause) {
		return
	}
	m.log.Info("peer lost", "peer", l.member.Name, logs.KeyIncarnation, l.member.Incarnation, logs.KeyError, cause)
	m.redial(l.member)
}

func (m *Mesh) dial(member Member) (*sess.Session, error) {
	s, err := sess.Dial(m.base, member.Address, m.newSessionOptions(m.handleLinkFrame, sess.WithOpenTimeout(openTimeout))...)
	if err != nil {
		return nil, err
	}
	if s.Peer().Process != member.Name {
		s.Close(errWrongPeer)
		return nil, errWrongPeer
	}
	return s, nil
}

// addSession records the session of a link once it is open.
func (m *Mesh) addSession(l *link, s *sess.Session) {
	hello := s.Peer()
	m.mu.Lock()
	l.session = s
	close(l.opened)
	if m.stopped {
		s.Close(errStopped)
	}
	restarted := m.recordIncarnation(hello.Process, hello.Incarnation)
	m.mu.Unlock()
	m.log.Info("peer joined", "peer", hello.Process, logs.KeyIncarnation, hello.Incarnation)
	if hello.Leaving {
		m.setLeaving(hello, true)
	}
	if restarted {
		m.restartedFunc(hello.Process)
	}
	m.ReportNow()
}

// removeLink removes a link whose session ended or was not opened. It reports
// whether the process is now marked as unreachable.
func (m *Mesh) removeLink(l *link, cause error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.member.Name] == l {
		delete(m.links, l.member.Name)
	}
	if l.session == nil {
		close(l.opened)
	}
	for _, waiting := range l.pending {
		close(waiting.answer)
	}
	for _, waiting := range l.answers {
		close(waiting)
	}
	l.pending, l.answers = nil, nil
	if m.stopped || errors.Is(cause, errIdle) || m.base.Err() != nil {
		return false
	}
	if m.members[l.member.Name] != l.member || hasIncarnation(m.unreachable, l.member.Name, l.member.Incarnation) {
		return false
	}
	m.unreachable[l.member.Name] = l.member.Incarnation
	m.updateView()
	return true
}

// redial dials an unreachable process until that succeeds, the process is not
// listed any more, or redialTimeout has passed. After the timeout it removes the
// unreachable mark; the next use of the process dials it again.
func (m *Mesh) redial(member Member) {
	began, pause := m.clock.Now(), clock.Millis(0)
	for m.clock.Since(began) < redialTimeout {
		if m.clock.Sleep(m.base, pause) != nil || !m.isListed(member) {
			return
		}
		if s, err := m.dial(member); err == nil {
			if m.restoreLink(member, s, nil) {
				return
			}
		}
		pause = min(max(2*pause, firstRedialPause), maxRedialPause)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unreachable, member.Name)
	m.updateView()
}

// isListed reports whether the list still holds exactly this member.
func (m *Mesh) isListed(member Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopped && m.members[member.Name] == member
}

// restoreLink adds a link for the new session with a process that was unreachable, or
// whose previous session delivers nothing. It reports false if the session can't be used:
// another incarnation of the process is used only once it is listed.
func (m *Mesh) restoreLink(member Member, s *sess.Session, previous *link) bool {
	m.mu.Lock()
	if m.stopped || s.Peer().Incarnation != member.Incarnation || m.links[member.Name] != previous {
		m.mu.Unlock()
		s.Close(errIdle)
		return false
	}
	l := newLink(member, m.clock.Now())
	m.links[member.Name] = l
	delete(m.unreachable, member.Name)
	m.updateView()
	m.goroutines.Add(1)
	m.mu.Unlock()
	if previous != nil {
		previous.session.Close(errIdle)
	}
	m.addSession(l, s)
	go func() {
		defer m.goroutines.Done()
		<-s.Done()
		m.handleLinkEnd(l, s.Err())
	}()
	return true
}

// replaceSilent opens a new session to a peer that is needed now, and probes the other
// sessions, unless they have received messages lately. The previous session is used until
// the new one is open, and while requests on it wait for their answers.
func (m *Mesh) replaceSilent(name string, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for peer, l := range m.links {
		switch {
		case l.session == nil || now-l.session.LastReceived() < aggregatorTimeout/2:
		case peer != name || len(l.pending)+len(l.answers) > 0 || l.replacing || m.stopped:
			l.session.Probe()
		default:
			l.replacing = true
			m.goroutines.Add(1)
			go m.replace(l)
		}
	}
}

// replace replaces the session of a link with a new one if that can be opened.
func (m *Mesh) replace(l *link) {
	defer m.goroutines.Done()
	s, err := m.dial(l.member)
	if err == nil && m.restoreLink(l.member, s, l) {
		m.log.Info("silent session replaced", "peer", l.member.Name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l.replacing = false
}

// closeIdle closes links that were not used for idleTimeout.
func (m *Mesh) closeIdle(now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.session != nil && len(l.pending) == 0 && now-l.lastUsed > idleTimeout {
			l.session.Close(errIdle)
		}
	}
}

// addInbound records a session that a peer opened, before its first frame is
// handled.
func (m *Mesh) addInbound(s *sess.Session) {
	hello := s.Peer()
	name := hello.Process
	m.mu.Lock()
	previous := m.inbound[name]
	m.inbound[name] = &inbound{session: s, legacy: !hello.Relays}
	restarted := m.recordIncarnation(name, hello.Incarnation)
	if m.stopped {
		s.Close(errStopped)
	}
	m.mu.Unlock()
	if previous != nil {
		previous.session.Close(errReplaced)
		m.sessionLostFunc(name)
	}
	if restarted {
		m.restartedFunc(name)
	}
	m.log.Info("session accepted", "peer", name, logs.KeyIncarnation, hello.Incarnation)
}

func (m *Mesh) removeInbound(s *sess.Session) {
	name := s.Peer().Process
	m.mu.Lock()
	current := m.inbound[name] != nil && m.inbound[name].session == s
	if current {
		delete(m.inbound, name)
	}
	m.mu.Unlock()
	if !current {
		return
	}
	m.sessionLostFunc(name)
	m.removeSource(sums.Source{Process: name})
	m.removeSource(sums.Source{Process: name, OtherGroup: true})
	m.log.Info("session ended", "peer", name, logs.KeyError, s.Err())
}
