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

// fleet is processes of two availability zones.
type fleet struct {
	t       *testing.T
	all     []*process
	ignored atomic.Int64
	// cut says that the zones don't reach each other.
	cut atomic.Bool
	mu  sync.Mutex
	// zones holds the zone at an address.
	zones map[string]string
}

// newFleet starts so many processes in each of two zones; all but those named run.
func newFleet(t *testing.T, each int, hanging func(members []mesh.Member) []string) *fleet {
	t.Helper()
	f := &fleet{t: t, zones: make(map[string]string)}
	var members []mesh.Member
	for i := range 2 * each {
		p := f.add(fmt.Sprintf("g%02d", i), fmt.Sprint("zone-", i%2))
		members = append(members, p.member)
	}
	var hang []string
	if hanging != nil {
		hang = hanging(members)
	}
	for _, p := range f.all {
		p.Open()
		p.SetMembers(members)
	}
	for _, p := range f.all {
		if !slices.Contains(hang, p.member.Name) {
			f.run(p)
		}
	}
	return f
}

func (f *fleet) add(name, zone string) *process {
	p := &process{member: mesh.Member{Name: name, Incarnation: token.NewIncarnation(), Zone: zone}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		f.mu.Lock()
		far := f.zones[address] != zone
		f.mu.Unlock()
		if f.cut.Load() && far {
			return nil, errors.New("cut")
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
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

// planOf is who relays for whom among members that are all alive.
func planOf(members []mesh.Member) *relay.Plan {
	var all []owner.Process
	for _, m := range members {
		all = append(all, owner.Process{Name: m.Name, Key: m.Name + "/" + m.Incarnation.String(), Zone: m.Zone})
	}
	return relay.New(all)
}

// knows waits until each process that runs knows what the others have waiting.
func (f *fleet) knows(running []*process) {
	f.t.Helper()
	total := int64(0)
	for _, p := range running {
		total += p.waiting.Load()
	}
	for _, p := range running {
		waitFor(f.t, func() bool { return p.heard.Load() == total-p.waiting.Load() })
	}
}

// load gives each process another amount of waiting tokens.
func load(all []*process, from int64) {
	for i, p := range all {
		p.waiting.Store(from + int64(i))
	}
}

// Guards against loads that are lost or counted twice on their way through
// aggregators, and against a session for each pair of processes.
func TestEachProcessKnowsTheWorkOfAllOthers(t *testing.T) {
	f := newFleet(t, 14, nil)
	load(f.all, 1000)
	f.knows(f.all)
	load(f.all, 5000)
	f.knows(f.all)
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

// Guards against a group that is cut off when its aggregator is killed.
func TestKilledAggregatorIsReplaced(t *testing.T) {
	f := newFleet(t, 14, nil)
	load(f.all, 1000)
	f.knows(f.all)
	lost := planOf(membersOf(f.all)).Aggregators[0]
	at := slices.IndexFunc(f.all, func(p *process) bool { return p.member.Name == lost })
	f.all[at].Stop()
	left := slices.Delete(slices.Clone(f.all), at, at+1)
	load(left, 7000)
	f.knows(left)
	for _, p := range left {
		waitFor(t, func() bool { return len(p.Alive()) == len(left) })
	}
}

// Guards against an aggregator that is paused, or cut off in one direction: it
// takes reports, and nothing comes back.
func TestHangingAggregatorIsReplaced(t *testing.T) {
	var hangs string
	f := newFleet(t, 14, func(members []mesh.Member) []string {
		hangs = planOf(members).Aggregators[0]
		return []string{hangs}
	})
	running := slices.DeleteFunc(slices.Clone(f.all), func(p *process) bool { return p.member.Name == hangs })
	load(running, 3000)
	f.knows(running)
}

// Guards against an availability zone that stops working when it reaches no other
// one: its processes go on among themselves, and find the others again.
func TestZoneThatReachesNoOtherWorksAlone(t *testing.T) {
	f := newFleet(t, 4, nil)
	load(f.all, 1000)
	f.knows(f.all)
	f.cut.Store(true)
	for _, p := range f.all {
		for _, s := range []string{"zone-0", "zone-1"} {
			if p.member.Zone != s {
				p.CloseTo(func(member mesh.Member) bool { return member.Zone == s })
			}
		}
	}
	for _, zone := range []string{"zone-0", "zone-1"} {
		own := slices.DeleteFunc(slices.Clone(f.all), func(p *process) bool { return p.member.Zone != zone })
		for _, p := range own {
			waitFor(t, func() bool { return len(p.Alive()) == len(own) })
		}
		f.knows(own)
	}
	f.cut.Store(false)
	for _, p := range f.all {
		waitFor(t, func() bool { return len(p.Alive()) == len(f.all) })
	}
	f.knows(f.all)
}

// Guards against a peer that takes another one's place in the list: an address
// that two processes are listed under leads to one of them.
func TestAddressThatIsListedTwiceLeadsToOne(t *testing.T) {
	f := newFleet(t, 1, nil)
	members := membersOf(f.all)
	double := members[0]
	double.Name, double.Incarnation = "a-double", token.NewIncarnation()
	for _, p := range f.all {
		p.SetMembers(append(slices.Clone(members), double))
	}
	for _, p := range f.all {
		waitFor(t, func() bool { return slices.Equal(p.Alive(), []string{"g00", "g01"}) })
	}
	_, err := f.all[1].Ask(t.Context(), "a-double", &wire.Pieces{Pool: "p"}, func() {})
	var lost *mesh.LostError
	assert.Assert(t, errors.As(err, &lost))
}

// Guards against a rolling restart from the version before, whose processes tell
// their loads to each peer and expect the same.
func TestPeerOfTheVersionBeforeIsUnderstood(t *testing.T) {
	f := newFleet(t, 1, nil)
	load(f.all, 100)
	f.knows(f.all)
	var told atomic.Int64
	old, err := sess.Dial(t.Context(), f.all[0].member.Address,
		sess.WithHello(func() wire.Hello { return wire.Hello{Process: "old", Incarnation: 1} }),
		sess.WithHandler(func(_ *sess.Session, frame *wire.Frame) {
			if frame.Kind == wire.KindLoads && len(frame.Loads.Endpoints) > 0 {
				told.Store(frame.Loads.Endpoints[0].Prefill)
			}
		}))
	assert.NilError(t, err)
	assert.NilError(t, old.Send(&wire.Frame{Kind: wire.KindLoads, Loads: &wire.Loads{
		Endpoints: []wire.EndpointLoad{{Endpoint: "engine", Running: 1, Prefill: 1000}},
	}}))
	waitFor(t, func() bool { return f.all[1].heard.Load() == 1100 })
	waitFor(t, func() bool { return told.Load() == 100 })
	old.Close(errors.New("the test ends"))
	waitFor(t, func() bool { return f.all[1].heard.Load() == 100 })
}

// Guards against believing a peer that contradicts itself.
func TestContradictoryReportIsCountedAndIgnored(t *testing.T) {
	f := newFleet(t, 1, nil)
	liar, err := sess.Dial(t.Context(), f.all[0].member.Address,
		sess.WithHello(func() wire.Hello { return wire.Hello{Process: "liar", Incarnation: 1, Relays: true} }))
	assert.NilError(t, err)
	defer liar.Close(errors.New("the test ends"))
	for _, bad := range []*wire.Frame{
		{Kind: wire.KindReport, Sums: &wire.Sums{Whole: true, Work: []wire.Work{{Endpoint: "engine", Prefill: -5}}}},
		{Kind: wire.KindGroup, Sums: &wire.Sums{Whole: true, Work: []wire.Work{{Prefill: 5}}}},
	} {
		assert.NilError(t, liar.Send(bad))
	}
	waitFor(t, func() bool { return f.ignored.Load() == 2 })
	load(f.all, 10)
	f.knows(f.all)
}

// Guards against an old run whose session ends after its successor's began: its
// end must not end the requests of the successor.
func TestEndOfAnOldRunLeavesItsSuccessorAlone(t *testing.T) {
	f := newFleet(t, 1, nil)
	dial := func(run token.Incarnation) *sess.Session {
		s, err := sess.Dial(t.Context(), f.all[0].member.Address,
			sess.WithHello(func() wire.Hello { return wire.Hello{Process: "x", Incarnation: run, Relays: true} }))
		assert.NilError(t, err)
		return s
	}
	before, after := dial(1), dial(2)
	report := &wire.Sums{Whole: true, Work: []wire.Work{{Endpoint: "engine", Prefill: 70}}}
	assert.NilError(t, after.Send(&wire.Frame{Kind: wire.KindReport, Sums: report}))
	waitFor(t, func() bool { return f.all[1].heard.Load() == 70 })
	<-before.Done()
	load(f.all, 10)
	waitFor(t, func() bool { return f.all[1].heard.Load() == 80 })
	after.Close(errors.New("the test ends"))
	f.knows(f.all)
}

// Guards against opening sessions to everybody when all processes start at once.
func TestOwnerIsReachedOnDemand(t *testing.T) {
	f := newFleet(t, 2, nil)
	for _, p := range f.all {
		waitFor(t, func() bool { return len(p.Alive()) == len(f.all) })
	}
	asked := make(chan string, 1)
	f2 := f.add("late", "zone-0")
	f2.Mesh = mesh.New(t.Context(), f2.member, mesh.WithClock(clock.New()),
		mesh.WithPieces(func(from string, _ *wire.Pieces, reply mesh.Reply) {
			asked <- from
			reply.MadeFunc(&wire.Results{References: []string{"r"}})
		}, func(string, uint64) {}))
	server := httptest.NewServer(f2.Handler())
	t.Cleanup(func() { f2.Stop(); server.Close() })
	f2.member.Address = strings.TrimPrefix(server.URL, "http://")
	f2.Open()
	f.all[0].SetMembers(append(membersOf(f.all[:4]), f2.member))
	made, err := f.all[0].Ask(t.Context(), "late", &wire.Pieces{Pool: "p"}, func() {})
	assert.NilError(t, err)
	assert.DeepEqual(t, made.References, []string{"r"})
	assert.Equal(t, <-asked, "g00")
}
