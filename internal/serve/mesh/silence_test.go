package mesh_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// silences makes open connections silent: nothing arrives on them in either direction, and
// nothing closes them. Connections that are opened later work.
type silences struct {
	mu   sync.Mutex
	open chan struct{}
	// probes counts the silent connections on which this process has sent something since.
	probes atomic.Int64
}

func newSilences() *silences { return &silences{open: make(chan struct{})} }

// begin makes all open connections silent.
func (s *silences) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.open)
	s.open = make(chan struct{})
}

func (s *silences) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &silentConn{Conn: c, silent: s.open, closed: make(chan struct{}), all: s}, nil
}

type silentConn struct {
	net.Conn
	silent, closed chan struct{}
	once, written  sync.Once
	all            *silences
}

// Read implements net.Conn.
func (c *silentConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(from []byte) (int, error) {
	select {
	case <-c.silent:
		c.written.Do(func() { c.all.probes.Add(1) })
		return len(from), nil
	default:
		return c.Conn.Write(from)
	}
}

// Close implements net.Conn. The peer is not told if the connection is silent.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	select {
	case <-c.silent:
		return nil
	default:
		return c.Conn.Close()
	}
}

// silenced is a process on a fake clock whose rounds a test runs, and its peers, which run on their
// own. It has an open session to each of them.
type silenced struct {
	*mesh.Mesh
	t        *testing.T
	fake     *clock.Fake
	silences *silences
	before   map[string]*sess.Session
	peers    map[string]*process
}

// newSilenced returns a process that is an aggregator if that is set.
func newSilenced(t *testing.T, aggregator bool, opts ...mesh.Option) *silenced {
	t.Helper()
	p := &silenced{t: t, fake: clock.NewFake(1000), silences: newSilences(), before: make(map[string]*sess.Session), peers: make(map[string]*process)}
	peers := newFleet(t, 14, nil, p.silences.dial)
	members := membersOf(peers.all)
	self := mesh.Member{Name: "s0", Incarnation: token.NewIncarnation(), Zone: "zone-0"}
	for n := 0; planOf(append(slices.Clone(members), self)).IsAggregator(self.Name) != aggregator; n++ {
		self.Name = fmt.Sprint("s", n)
	}
	p.Mesh = mesh.New(t.Context(), self, append(opts, mesh.WithClock(p.fake.Clock()), mesh.WithSession(sess.WithDial(p.silences.dial)))...)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() { p.Stop(); server.Close() })
	self.Address = strings.TrimPrefix(server.URL, "http://")
	members = append(members, self)
	p.StartOwning()
	for _, peer := range peers.all {
		peer.SetMembers(members)
		p.peers[peer.member.Name] = peer
	}
	p.SetMembers(members)
	for _, member := range membersOf(peers.all) {
		p.before[member.Name] = p.SessionTo(t.Context(), member.Name)
		assert.Assert(t, p.before[member.Name] != nil)
	}
	return p
}

// beginSilence makes all sessions silent and runs rounds until a peer counts as silent.
func (p *silenced) beginSilence() {
	p.silences.begin()
	for range 8 {
		p.fake.Advance(100)
		p.Round(p.fake.Clock().Now())
	}
}

// waitForNewSession waits for a new session to a peer. The clock stands still, so that no other
// time-out can pass.
func (p *silenced) waitForNewSession(peer string) {
	p.t.Helper()
	waitFor(p.t, func() bool { s := p.SessionTo(p.t.Context(), peer); return s != nil && s != p.before[peer] })
}

// Guards against a process that replaces sessions one after the other, 700 ms each, after all
// of them have fallen silent: until it reaches a peer that relays changes, it reads the store.
func TestAllSilentSessionsAreReplacedAtOnce(t *testing.T) {
	p := newSilenced(t, false)
	p.Round(p.fake.Clock().Now())
	first := p.Aggregator()
	assert.Assert(t, first != "")
	waitFor(t, p.UpToDate)
	p.beginSilence()
	assert.Assert(t, p.Aggregator() != first)
	p.waitForNewSession(p.Aggregator())
	waitFor(t, func() bool { return int(p.silences.probes.Load()) >= len(p.before)-1 })
}

// Guards against aggregators that relay outdated data to their groups for seconds after all
// sessions have fallen silent, because they receive nothing from a watcher.
func TestAggregatorReplacesSilentSessionsToOtherAggregators(t *testing.T) {
	p := newSilenced(t, true)
	others := p.Aggregators()
	assert.Assert(t, len(others) > 0)
	for _, name := range others {
		waitFor(t, func() bool { return p.GroupReportedAt(name) > 0 })
	}
	p.beginSilence()
	for _, name := range others {
		p.waitForNewSession(name)
	}
}

// Guards against a process that leaves its aggregator, and reads the store again through another
// one, because an answer of the store that it receives itself fills its link.
func TestProcessThatReceivesAnAnswerKeepsItsAggregator(t *testing.T) {
	p := newSilenced(t, false, mesh.WithFollower(mesh.Follower{
		ProgressFunc:   func() []wire.Progress { return nil },
		NoUpstreamFunc: func() {},
		ReceivingFunc:  func() bool { return true },
	}))
	p.Round(p.fake.Clock().Now())
	first := p.Aggregator()
	waitFor(t, p.UpToDate)
	p.beginSilence()
	assert.Equal(t, p.Aggregator(), first)
	for range 2 {
		p.beginSilence()
	}
	assert.Assert(t, p.Aggregator() != first, "the silence has no end")
}

// Guards against a process that stood still and leaves its aggregator before it has read the
// messages that arrived meanwhile.
func TestProcessThatStoodStillKeepsItsAggregator(t *testing.T) {
	p := newSilenced(t, false)
	p.Round(p.fake.Clock().Now())
	first := p.Aggregator()
	waitFor(t, p.UpToDate)
	p.fake.Advance(5 * clock.Second)
	p.Round(p.fake.Clock().Now())
	assert.Equal(t, p.Aggregator(), first)
}

// Guards against changes that are relayed twice: by the upstream, and by the one before it.
func TestPreviousUpstreamStopsRelaying(t *testing.T) {
	p := newSilenced(t, false, mesh.WithSession(sess.WithHeartbeats(clock.Hour, clock.Hour)))
	p.Round(p.fake.Clock().Now())
	first := p.Aggregator()
	waitFor(t, func() bool { return p.peers[first].RelaysTo(p.Self()) })
	waitFor(t, func() bool {
		p.fake.Advance(100) // faster than the aggregator sends totals
		p.Round(p.fake.Clock().Now())
		return p.Aggregator() != first
	})
	waitFor(t, func() bool {
		p.fake.Advance(10)
		p.Round(p.fake.Clock().Now())
		next := p.peers[p.Aggregator()]
		return next != nil && next.RelaysTo(p.Self()) && p.Aggregator() != first
	})
	session := p.SessionTo(t.Context(), first)
	waitFor(t, func() bool {
		assert.NilError(t, session.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{}})) // keeps the session open
		return !p.peers[first].RelaysTo(p.Self())
	})
}
