package mesh_test

import (
	"context"
	"errors"
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
	"github.com/jujubescale/jujubescale/internal/route/owner"
	"github.com/jujubescale/jujubescale/internal/route/relay"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// fleet is a set of processes in two availability zones.
type fleet struct {
	t       *testing.T
	all     []*process
	ignored atomic.Int64
	// cut is set while the zones can't reach each other.
	cut atomic.Bool
	mu  sync.Mutex
	// zones holds the zone of each address.
	zones map[string]string
	dial  dialFunc
}

// newFleet starts perZone processes in each of two zones. The processes whose names
// selectHanging returns accept sessions, but don't run. The function dial may replace the dialer.
func newFleet(t *testing.T, perZone int, selectHanging func(members []mesh.Member) []string, dial ...dialFunc) *fleet {
	t.Helper()
	f := &fleet{t: t, zones: make(map[string]string), dial: (&net.Dialer{}).DialContext}
	if len(dial) > 0 {
		f.dial = dial[0]
	}
	var members []mesh.Member
	for i := range 2 * perZone {
		p := f.add(fmt.Sprintf("g%02d", i), fmt.Sprint("zone-", i%2))
		members = append(members, p.member)
	}
	var hanging []string
	if selectHanging != nil {
		hanging = selectHanging(members)
	}
	for _, p := range f.all {
		p.StartOwning()
		p.SetMembers(members)
	}
	for _, p := range f.all {
		if !slices.Contains(hanging, p.member.Name) {
			f.run(p)
		}
	}
	return f
}

func (f *fleet) add(name, zone string) *process {
	p := &process{member: mesh.Member{Name: name, Incarnation: token.NewIncarnation(), Zone: zone}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		f.mu.Lock()
		otherZone := f.zones[address] != zone
		f.mu.Unlock()
		if f.cut.Load() && otherZone {
			return nil, errors.New("cut")
		}
		return f.dial(ctx, network, address)
	}
	p.Mesh = mesh.New(f.t.Context(), p.member, mesh.WithLoads(p.loads, p.setWork), mesh.WithSession(sess.WithDial(dial)),
		mesh.WithIgnored(func(string) { f.ignored.Add(1) }))
	server := httptest.NewServer(p.Handler())
	f.t.Cleanup(func() { p.Stop(); server.Close() })
	p.member.Address = strings.TrimPrefix(server.URL, "http://")
	f.mu.Lock()
	f.zones[p.member.Address] = zone
	f.mu.Unlock()
	f.all = append(f.all, p)
	return p
}

func (f *fleet) run(p *process) {
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	f.t.Cleanup(func() { cancel(); <-done })
}

// planOf returns the relay plan of members that are all live.
func planOf(members []mesh.Member) *relay.Plan {
	var all []owner.Process
	for _, m := range members {
		all = append(all, owner.Process{Name: m.Name, Key: m.Name + "/" + m.Incarnation.String(), Zone: m.Zone})
	}
	return relay.New(all)
}

// waitForTotals waits until each running process has received the queued tokens of
// all others.
func (f *fleet) waitForTotals(running []*process) {
	f.t.Helper()
	total := int64(0)
	for _, p := range running {
		total += p.queuedTokens.Load()
	}
	for _, p := range running {
		waitFor(f.t, func() bool { return p.peerTokens.Load() == total-p.queuedTokens.Load() })
	}
}

// setQueuedTokens gives each process a different number of queued tokens.
func setQueuedTokens(all []*process, first int64) {
	for i, p := range all {
		p.queuedTokens.Store(first + int64(i))
	}
}

// Guards against loads that are lost or counted twice when aggregators relay them,
// and against a session for each pair of processes.
func TestEachProcessReceivesTheWorkOfAllOthers(t *testing.T) {
	f := newFleet(t, 14, nil)
	setQueuedTokens(f.all, 1000)
	f.waitForTotals(f.all)
	setQueuedTokens(f.all, 5000)
	f.waitForTotals(f.all)
	plan := planOf(membersOf(f.all))
	for _, p := range f.all {
		if !plan.IsAggregator(p.member.Name) {
			assert.Assert(t, p.Sessions() <= 2, "%s has %d sessions", p.member.Name, p.Sessions())
		}
	}
}

func membersOf(all []*process) []mesh.Member {
	var members []mesh.Member
	for _, p := range all {
		members = append(members, p.member)
	}
	return members
}

// Guards against a group that gets no totals after its aggregator was killed.
func TestKilledAggregatorIsReplaced(t *testing.T) {
	f := newFleet(t, 14, nil)
	setQueuedTokens(f.all, 1000)
	f.waitForTotals(f.all)
	lost := planOf(membersOf(f.all)).Aggregators[0]
	at := slices.IndexFunc(f.all, func(p *process) bool { return p.member.Name == lost })
	f.all[at].Stop()
	remaining := slices.Delete(slices.Clone(f.all), at, at+1)
	setQueuedTokens(remaining, 7000)
	f.waitForTotals(remaining)
	for _, p := range remaining {
		waitFor(t, func() bool { return len(p.LiveProcesses()) == len(remaining) })
	}
}

// Guards against an aggregator that is paused, or can't be reached in one direction:
// it receives reports and sends no totals.
func TestHangingAggregatorIsReplaced(t *testing.T) {
	var hanging string
	f := newFleet(t, 14, func(members []mesh.Member) []string {
		hanging = planOf(members).Aggregators[0]
		return []string{hanging}
	})
	running := slices.DeleteFunc(slices.Clone(f.all), func(p *process) bool { return p.member.Name == hanging })
	setQueuedTokens(running, 3000)
	f.waitForTotals(running)
}

// Guards against an availability zone that stops working when it can't reach the
// other one: its processes continue on their own, and reconnect later.
func TestIsolatedZoneKeepsWorking(t *testing.T) {
	f := newFleet(t, 4, nil)
	setQueuedTokens(f.all, 1000)
	f.waitForTotals(f.all)
	f.cut.Store(true)
	for _, p := range f.all {
		for _, other := range []string{"zone-0", "zone-1"} {
			if p.member.Zone != other {
				p.CloseSessions(func(member mesh.Member) bool { return member.Zone == other })
			}
		}
	}
	for _, zone := range []string{"zone-0", "zone-1"} {
		local := slices.DeleteFunc(slices.Clone(f.all), func(p *process) bool { return p.member.Zone != zone })
		for _, p := range local {
			waitFor(t, func() bool { return len(p.LiveProcesses()) == len(local) })
		}
		f.waitForTotals(local)
	}
	f.cut.Store(false)
	for _, p := range f.all {
		waitFor(t, func() bool { return len(p.LiveProcesses()) == len(f.all) })
	}
	f.waitForTotals(f.all)
}

// Guards against two listed processes with the same address: only the one that
// listens there counts as live.
func TestAddressListedTwiceReachesOneProcess(t *testing.T) {
	f := newFleet(t, 1, nil)
	members := membersOf(f.all)
	duplicate := members[0]
	duplicate.Name, duplicate.Incarnation = "a-double", token.NewIncarnation()
	for _, p := range f.all {
		p.SetMembers(append(slices.Clone(members), duplicate))
	}
	for _, p := range f.all {
		waitFor(t, func() bool { return slices.Equal(p.LiveProcesses(), []string{"g00", "g01"}) })
	}
	_, err := f.all[1].RequestPieces(t.Context(), "a-double", &wire.Pieces{Pool: "p"}, func() {})
	var lost *mesh.LostError
	assert.Assert(t, errors.As(err, &lost))
}

// Guards against a rolling restart from the previous version, whose processes send
// their loads to each peer and expect the same from it.
func TestPeerOfThePreviousVersionIsSupported(t *testing.T) {
	f := newFleet(t, 1, nil)
	setQueuedTokens(f.all, 100)
	f.waitForTotals(f.all)
	var reported atomic.Int64
	legacy, err := sess.Dial(t.Context(), f.all[0].member.Address,
		sess.WithHello(func() wire.Hello { return wire.Hello{Process: "old", Incarnation: 1} }),
		sess.WithHandler(func(_ *sess.Session, frame *wire.Frame) {
			if frame.Kind == wire.KindLoads && len(frame.Loads.Endpoints) > 0 {
				reported.Store(frame.Loads.Endpoints[0].Prefill)
			}
		}))
	assert.NilError(t, err)
	assert.NilError(t, legacy.Send(&wire.Frame{Kind: wire.KindLoads, Loads: &wire.Loads{
		Endpoints: []wire.EndpointLoad{{Endpoint: "engine", Running: 1, Prefill: 1000}},
	}}))
	waitFor(t, func() bool { return f.all[1].peerTokens.Load() == 1100 })
	waitFor(t, func() bool { return reported.Load() == 100 })
	legacy.Close(errors.New("the test ends"))
	waitFor(t, func() bool { return f.all[1].peerTokens.Load() == 100 })
}

// Guards against the use of a report that contradicts itself.
func TestContradictoryReportIsCountedAndIgnored(t *testing.T) {
	f := newFleet(t, 1, nil)
	peer, err := sess.Dial(t.Context(), f.all[0].member.Address,
		sess.WithHello(func() wire.Hello { return wire.Hello{Process: "liar", Incarnation: 1, Relays: true} }))
	assert.NilError(t, err)
	defer peer.Close(errors.New("the test ends"))
	for _, bad := range []*wire.Frame{
		{Kind: wire.KindReport, Sums: &wire.Sums{Whole: true, Work: []wire.Work{{Endpoint: "engine", Prefill: -5}}}},
		{Kind: wire.KindGroup, Sums: &wire.Sums{Whole: true, Work: []wire.Work{{Prefill: 5}}}},
	} {
		assert.NilError(t, peer.Send(bad))
	}
	waitFor(t, func() bool { return f.ignored.Load() == 2 })
	setQueuedTokens(f.all, 10)
	f.waitForTotals(f.all)
}

// Guards against an old incarnation whose session ends after the session of the new
// one began: its end must not end the requests of the new one.
func TestEndOfAnOldSessionKeepsTheNewIncarnation(t *testing.T) {
	f := newFleet(t, 1, nil)
	dial := func(incarnation token.Incarnation) *sess.Session {
		s, err := sess.Dial(t.Context(), f.all[0].member.Address,
			sess.WithHello(func() wire.Hello { return wire.Hello{Process: "x", Incarnation: incarnation, Relays: true} }))
		assert.NilError(t, err)
		return s
	}
	oldSession, newSession := dial(1), dial(2)
	report := &wire.Sums{Whole: true, Work: []wire.Work{{Endpoint: "engine", Prefill: 70}}}
	assert.NilError(t, newSession.Send(&wire.Frame{Kind: wire.KindReport, Sums: report}))
	waitFor(t, func() bool { return f.all[1].peerTokens.Load() == 70 })
	<-oldSession.Done()
	setQueuedTokens(f.all, 10)
	waitFor(t, func() bool { return f.all[1].peerTokens.Load() == 80 })
	newSession.Close(errors.New("the test ends"))
	f.waitForTotals(f.all)
}

// Guards against sessions between all processes when all of them start at once.
func TestSessionToOwnerIsOpenedOnDemand(t *testing.T) {
	f := newFleet(t, 2, nil)
	for _, p := range f.all {
		waitFor(t, func() bool { return len(p.LiveProcesses()) == len(f.all) })
	}
	requesters := make(chan string, 1)
	late := f.add("late", "zone-0")
	late.Mesh = mesh.New(t.Context(), late.member, mesh.WithClock(clock.New()),
		mesh.WithPieces(func(from string, _ *wire.Pieces, reply mesh.Reply) {
			requesters <- from
			reply.ResultsFunc(&wire.Results{References: []string{"r"}})
		}, func(string, uint64) {}))
	server := httptest.NewServer(late.Handler())
	t.Cleanup(func() { late.Stop(); server.Close() })
	late.member.Address = strings.TrimPrefix(server.URL, "http://")
	late.StartOwning()
	f.all[0].SetMembers(append(membersOf(f.all[:4]), late.member))
	results, err := f.all[0].RequestPieces(t.Context(), "late", &wire.Pieces{Pool: "p"}, func() {})
	assert.NilError(t, err)
	assert.DeepEqual(t, results.References, []string{"r"})
	assert.Equal(t, <-requesters, "g00")
}
