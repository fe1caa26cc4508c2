package mesh_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// process is one of several simulated processes in a test.
type process struct {
	*mesh.Mesh
	member mesh.Member
	// queuedTokens is the number of prompt tokens that the process reports as queued
	// at an engine, peerTokens the number that all others reported last.
	queuedTokens atomic.Int64
	peerTokens   atomic.Int64
}

func (p *process) loads() *wire.Loads {
	tokens := p.queuedTokens.Load()
	if tokens == 0 {
		return &wire.Loads{}
	}
	return &wire.Loads{Endpoints: []wire.EndpointLoad{{Endpoint: "engine", Running: 1, Prefill: tokens}}}
}

func (p *process) setWork(work []wire.Work, whole bool) {
	if whole {
		p.peerTokens.Store(0)
	}
	for _, w := range work {
		p.peerTokens.Store(w.Prefill)
	}
}

// startProcesses starts processes that list each other as members.
func startProcesses(t *testing.T, c *clock.Clock, names ...string) []*process {
	t.Helper()
	var all []*process
	for _, name := range names {
		p := &process{member: mesh.Member{Name: name, Incarnation: token.NewIncarnation()}}
		p.Mesh = mesh.New(t.Context(), p.member, mesh.WithClock(c), mesh.WithLoads(p.loads, p.setWork))
		all = append(all, p)
	}
	connectProcesses(t, all)
	return all
}

// connectProcesses makes processes list each other as members.
func connectProcesses(t *testing.T, all []*process) {
	t.Helper()
	var members []mesh.Member
	for _, p := range all {
		server := httptest.NewServer(p.Handler())
		t.Cleanup(func() { p.Stop(); server.Close() })
		p.member.Address = strings.TrimPrefix(server.URL, "http://")
		members = append(members, p.member)
	}
	for _, p := range all {
		p.StartOwning()
		p.SetMembers(members)
	}
	for _, p := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(p.LiveProcesses()) == len(all) {
				return poll.Success()
			}
			return poll.Continue("%v", p.LiveProcesses())
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	}
}

// Guards against long prompts that are reported only with the next regular message.
// Several processes send prompts to the engine that holds their common prefix; if
// their loads do not contain each other's prompts, all prompts queue at this engine,
// and the first event comes late although other engines are idle.
func TestLongPromptsAreReportedAtOnce(t *testing.T) {
	fake := clock.NewFake(1)
	all := startProcesses(t, fake.Clock(), "a", "b", "c")
	for _, p := range all {
		go p.Run(t.Context())
	}
	advance := func(duration clock.Millis, done func() bool) bool {
		for range duration {
			fake.Advance(1)
			for range 10 {
				if done() {
					return true
				}
				time.Sleep(time.Millisecond)
			}
		}
		return false
	}
	advance(20, func() bool { return false })
	all[0].queuedTokens.Store(6300)
	all[0].ReportNow()
	allReported := func() bool { return all[1].peerTokens.Load() == 6300 && all[2].peerTokens.Load() == 6300 }
	assert.Assert(t, advance(60, allReported), "%d %d", all[1].peerTokens.Load(), all[2].peerTokens.Load())
}

// Guards against the loads of a process that ended without a planned stop: if they stay,
// idle engines seem busy.
func TestLoadsOfALostProcessAreRemoved(t *testing.T) {
	all := startProcesses(t, clock.New(), "a", "b")
	for _, p := range all {
		go p.Run(t.Context())
	}
	all[0].queuedTokens.Store(100)
	waitFor(t, func() bool { return all[1].peerTokens.Load() == 100 })
	all[0].Stop()
	waitFor(t, func() bool { return all[1].peerTokens.Load() == 0 && len(all[1].LiveProcesses()) == 1 })
}

// Guards against a process that serves by a restored copy for good, because its peer told it what the
// store has lost before that peer knew it.
func TestLostObjectsAreSentAgainOnceMoreAreKnown(t *testing.T) {
	var state atomic.Uint64
	var told, firsts atomic.Int64
	connect := func(name string, follower mesh.Follower) *process {
		p := &process{member: mesh.Member{Name: name, Incarnation: token.NewIncarnation()}}
		follower.ProgressFunc = func() []wire.Progress { return nil }
		follower.ConfirmFunc = func([]wire.Progress, clock.Millis) []string { return nil }
		follower.LackedFunc = func(wire.Revision) *wire.Update { return nil }
		follower.NoUpstreamFunc = func() {} // on a busy host, the peer counts as silent for a moment
		p.Mesh = mesh.New(t.Context(), p.member, mesh.WithLoads(p.loads, p.setWork), mesh.WithFollower(follower))
		return p
	}
	all := []*process{connect("a", mesh.Follower{
		HoldsFunc: func(peer string, before uint64, first bool) ([]*wire.Update, uint64) {
			if peer != "b" || !first && before == state.Load() {
				return nil, before
			}
			if first {
				firsts.Add(1)
			}
			return []*wire.Update{{Kind: "a", Lost: true, Era: 2}}, state.Load()
		},
	}), connect("b", mesh.Follower{
		HoldsFunc:     func(string, uint64, bool) ([]*wire.Update, uint64) { return nil, 0 },
		TakeHoldsFunc: func(message *wire.Sums, _ clock.Millis) { told.Add(int64(len(message.Holds))) },
	})}
	connectProcesses(t, all)
	for _, p := range all {
		go p.Run(t.Context())
	}
	waitFor(t, func() bool { return told.Load() == 1 })
	for want := int64(2); want <= 3; want++ {
		state.Add(1)
		waitFor(t, func() bool { return told.Load() == want })
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, told.Load(), want)
	}
	assert.Equal(t, firsts.Load(), int64(1))
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a process that is restarted during an outage of the store: its
// peers still list its address and reach it, but it has read no endpoint yet. As the
// owner of a pool it would refuse all work, and callers would get 503 although
// engines are idle.
func TestProcessWithoutEndpointsOwnsNothing(t *testing.T) {
	all := startProcesses(t, clock.New(), "a", "b")
	restarted := &process{member: mesh.Member{Name: "c", Incarnation: token.NewIncarnation()}}
	restarted.Mesh = mesh.New(t.Context(), restarted.member)
	server := httptest.NewServer(restarted.Handler())
	t.Cleanup(func() { restarted.Stop(); server.Close() })
	restarted.member.Address = strings.TrimPrefix(server.URL, "http://")
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { defer close(ended); restarted.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	for _, p := range all {
		go p.Run(t.Context())
		p.SetMembers([]mesh.Member{all[0].member, all[1].member, restarted.member})
	}
	restarted.SetMembers([]mesh.Member{all[0].member, all[1].member, restarted.member})
	waitFor(t, func() bool { return restarted.Sessions() > 0 })
	waitFor(t, func() bool { return len(all[0].LiveProcesses()) == 2 && len(all[1].LiveProcesses()) == 2 })
	restarted.StartOwning()
	waitFor(t, func() bool { return len(all[0].LiveProcesses()) == 3 && len(all[1].LiveProcesses()) == 3 })
	restarted.StopOwning()
	waitFor(t, func() bool { return len(all[0].LiveProcesses()) == 2 && len(all[1].LiveProcesses()) == 2 })
}

// Guards against the requests of a process that is killed and started again: if its
// peers don't detect the restart, engines continue to work on these requests and
// keep their results.
func TestPeerRestartIsDetected(t *testing.T) {
	var lost, ended atomic.Int64
	incarnation := token.NewIncarnation()
	watcher := mesh.New(t.Context(), mesh.Member{Name: "a", Incarnation: incarnation},
		mesh.WithLost(func(string) { lost.Add(1) }, func(string) { ended.Add(1) }))
	server := httptest.NewServer(watcher.Handler())
	t.Cleanup(func() { watcher.Stop(); server.Close() })
	self := mesh.Member{Name: "a", Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: incarnation}
	startPeer := func(incarnation token.Incarnation) *mesh.Mesh {
		p := mesh.New(t.Context(), mesh.Member{Name: "0", Incarnation: incarnation})
		p.SetMembers([]mesh.Member{self})
		go p.Run(t.Context())
		waitFor(t, func() bool { return watcher.Sessions() == 1 })
		return p
	}
	first := token.NewIncarnation()
	for i, incarnation := range []token.Incarnation{first, first, token.NewIncarnation()} {
		p := startPeer(incarnation)
		assert.Equal(t, ended.Load(), int64(i/2), "only the third has another incarnation")
		p.Stop()
		waitFor(t, func() bool { return lost.Load() == int64(i+1) && watcher.Sessions() == 0 })
	}
}
