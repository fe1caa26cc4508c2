package mesh

import (
	"context"
	"errors"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// request is a request for pieces that waits for its answer.
type request struct {
	answer  chan *wire.Results
	fetched func()
}

// link is this process's session to a peer. Only the process that opened a
// session asks on it.
type link struct {
	member Member
	// opened closes once session is set or the attempt has failed.
	opened  chan struct{}
	session *sess.Session
	pending map[uint64]*request
	used    clock.Millis
	// target is what was reported there; only Run uses it.
	target target
	// total is when sums came from there last.
	total clock.Millis
	// renewed is set when the peer requests whole sums.
	renewed bool
	// asked is when missing changes were asked for last.
	asked clock.Millis
}

// target is a session that reports are sent on.
type target struct {
	kind        wire.Kind
	cursor      sums.Cursor
	membersSent clock.Millis
	// regular is when everything that changed was sent last.
	regular clock.Millis
	// interest is what was sent last, if hasInterest is set.
	interest    []string
	hasInterest bool
}

// inbound is the session that a peer opened.
type inbound struct {
	session *sess.Session
	// reports and groups are set by what the peer sends, follows if it follows the
	// store through this process, and legacy if it doesn't take totals.
	reports, groups, follows, legacy bool
	// renewed is set when the peer requests whole sums.
	renewed bool
	// target is only used by Run.
	target target
}

// linkTo returns the link to a listed process, which may still be opening; nil
// for one that is not listed or can't be reached.
func (m *Mesh) linkTo(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if l := m.links[name]; l != nil {
		l.used = now
		return l
	}
	member, listed := m.members[name]
	if !listed || m.stopped || m.base.Err() != nil || isRun(m.lost, name, member.Incarnation) {
		return nil
	}
	l := newLink(member, now)
	m.links[name] = l
	m.group.Add(1)
	go func() {
		defer m.group.Done()
		m.maintain(l)
	}()
	return l
}

// openLink is linkTo that waits until the session is open; nil if it can't be.
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

// newLink returns a link that is not open yet.
func newLink(member Member, now clock.Millis) *link {
	return &link{member: member, opened: make(chan struct{}), pending: make(map[uint64]*request), used: now}
}

// maintain opens a link and keeps it until its session ends. A process that can't be
// reached is tried again for a while: it may only have been cut off.
func (m *Mesh) maintain(l *link) {
	s, err := m.dial(l.member)
	if err == nil && s.Peer().Incarnation != l.member.Incarnation {
		// The listed run has ended; its successor is used once it is listed.
		s.Close(errIdle)
		err = errRestarted
	}
	if err == nil {
		m.linked(l, s)
		<-s.Done()
		err = s.Err()
	}
	m.linkEnded(l, err)
}

// linkEnded removes a link, and tries to reach its process again if it is lost.
func (m *Mesh) linkEnded(l *link, cause error) {
	if !m.unlinked(l, cause) {
		return
	}
	m.log.Info("peer lost", "peer", l.member.Name, logs.KeyIncarnation, l.member.Incarnation, logs.KeyError, cause)
	m.redial(l.member)
}

func (m *Mesh) dial(member Member) (*sess.Session, error) {
	s, err := sess.Dial(m.base, member.Address, m.options(m.takeLinked, sess.WithOpenTimeout(openTimeout))...)
	if err != nil {
		return nil, err
	}
	if s.Peer().Process != member.Name {
		s.Close(errWrongPeer)
		return nil, errWrongPeer
	}
	return s, nil
}

// linked enters a session that was opened.
func (m *Mesh) linked(l *link, s *sess.Session) {
	hello := s.Peer()
	m.mu.Lock()
	l.session = s
	close(l.opened)
	if m.stopped {
		s.Close(errStopped)
	}
	restarted := m.newRun(hello.Process, hello.Incarnation)
	m.mu.Unlock()
	m.log.Info("peer joined", "peer", hello.Process, logs.KeyIncarnation, hello.Incarnation)
	if hello.Leaving {
		m.leaves(hello, true)
	}
	if restarted {
		m.endedFunc(hello.Process)
	}
	m.Tell()
}

// unlinked removes a link whose session ended or was not opened, and reports
// whether the process counts as lost.
func (m *Mesh) unlinked(l *link, cause error) bool {
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
	l.pending = nil
	if m.stopped || errors.Is(cause, errIdle) || m.base.Err() != nil {
		return false
	}
	if m.members[l.member.Name] != l.member || isRun(m.lost, l.member.Name, l.member.Incarnation) {
		return false
	}
	m.lost[l.member.Name] = l.member.Incarnation
	m.publish()
	return true
}

// redial tries to reach a lost process until it answers, is listed no longer, or
// for redialFor. After that it counts as reachable until somebody needs it again.
func (m *Mesh) redial(member Member) {
	began, pause := m.clock.Now(), clock.Millis(0)
	for m.clock.Since(began) < redialFor {
		if m.clock.Sleep(m.base, pause) != nil || !m.listed(member) {
			return
		}
		if s, err := m.dial(member); err == nil {
			if m.relinked(member, s) {
				return
			}
		}
		pause = min(max(2*pause, firstRedial), maxRedial)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.lost, member.Name)
	m.publish()
}

// listed reports whether a process is still listed as it was.
func (m *Mesh) listed(member Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopped && m.members[member.Name] == member
}

// relinked takes up the session with a process that was lost. Another run under
// the same name is used only once it is listed.
func (m *Mesh) relinked(member Member, s *sess.Session) bool {
	m.mu.Lock()
	if m.stopped || s.Peer().Incarnation != member.Incarnation || m.links[member.Name] != nil {
		m.mu.Unlock()
		s.Close(errIdle)
		return false
	}
	l := newLink(member, m.clock.Now())
	m.links[member.Name] = l
	delete(m.lost, member.Name)
	m.publish()
	m.group.Add(1)
	m.mu.Unlock()
	m.linked(l, s)
	go func() {
		defer m.group.Done()
		<-s.Done()
		m.linkEnded(l, s.Err())
	}()
	return true
}

// closeIdle closes the links that are needed no longer.
func (m *Mesh) closeIdle(now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.session != nil && len(l.pending) == 0 && now-l.used > idleClose {
			l.session.Close(errIdle)
		}
	}
}

// accepted enters a session that a peer opened, before the peer sends on it.
func (m *Mesh) accepted(s *sess.Session) {
	hello := s.Peer()
	name := hello.Process
	m.mu.Lock()
	before := m.inbound[name]
	m.inbound[name] = &inbound{session: s, legacy: !hello.Relays}
	restarted := m.newRun(name, hello.Incarnation)
	if m.stopped {
		s.Close(errStopped)
	}
	m.mu.Unlock()
	if before != nil {
		before.session.Close(errReplaced)
		m.lostFunc(name)
	}
	if restarted {
		m.endedFunc(name)
	}
	m.log.Info("session accepted", "peer", name, logs.KeyIncarnation, hello.Incarnation)
}

func (m *Mesh) inboundEnded(s *sess.Session) {
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
	m.lostFunc(name)
	m.forget(sums.Source{Process: name})
	m.forget(sums.Source{Process: name, OtherGroup: true})
	m.log.Info("session ended", "peer", name, logs.KeyError, s.Err())
}
