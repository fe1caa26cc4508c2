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

// process is one of several processes in this one.
type process struct {
	*mesh.Mesh
	member mesh.Member
	// waiting is the prompt tokens that it says wait at an engine, heard what all
	// others said last.
	waiting atomic.Int64
	heard   atomic.Int64
}

func (p *process) loads() *wire.Loads {
	tokens := p.waiting.Load()
	if tokens == 0 {
		return &wire.Loads{}
	}
	return &wire.Loads{Endpoints: []wire.EndpointLoad{{Endpoint: "engine", Running: 1, Prefill: tokens}}}
}

func (p *process) setWork(work []wire.Work, whole bool) {
	if whole {
		p.heard.Store(0)
	}
	for _, w := range work {
		p.heard.Store(w.Prefill)
	}
}

// join starts processes that know each other.
func join(t *testing.T, c *clock.Clock, names ...string) []*process {
	t.Helper()
	var all []*process
	var members []mesh.Member
	for _, name := range names {
		p := &process{member: mesh.Member{Name: name, Incarnation: token.NewIncarnation()}}
		p.Mesh = mesh.New(t.Context(), p.member, mesh.WithClock(c), mesh.WithLoads(p.loads, p.setWork))
		server := httptest.NewServer(p.Handler())
		t.Cleanup(func() { p.Stop(); server.Close() })
		p.member.Address = strings.TrimPrefix(server.URL, "http://")
		all, members = append(all, p), append(members, p.member)
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
	return all
}

// Several processes send long prompts to the engine that holds their common
// part. If one heard of the others' prompts only with the next regular message,
// all would go to the same engine and wait for each other, while callers see
// the first word late although other engines are idle.
func TestLongPromptsAreToldAtOnce(t *testing.T) {
	fake := clock.NewFake(1)
	all := join(t, fake.Clock(), "a", "b", "c")
	for _, p := range all {
		go p.Run(t.Context())
	}
	advance := func(span clock.Millis, until func() bool) bool {
		for range span {
			fake.Advance(1)
			for range 10 {
				if until() {
					return true
				}
				time.Sleep(time.Millisecond)
			}
		}
		return false
	}
	advance(20, func() bool { return false })
	all[0].waiting.Store(6300)
	all[0].ReportNow()
	heard := func() bool { return all[1].heard.Load() == 6300 && all[2].heard.Load() == 6300 }
	assert.Assert(t, advance(60, heard), "%d %d", all[1].heard.Load(), all[2].heard.Load())
}

// A process ends without a word. What it said to have running doesn't count any
// more, or engines would seem busy that are idle.
func TestLoadsOfALostProcessAreForgotten(t *testing.T) {
	all := join(t, clock.New(), "a", "b")
	for _, p := range all {
		go p.Run(t.Context())
	}
	all[0].waiting.Store(100)
	waitFor(t, func() bool { return all[1].heard.Load() == 100 })
	all[0].Stop()
	waitFor(t, func() bool { return all[1].heard.Load() == 0 && len(all[1].LiveProcesses()) == 1 })
}

func waitFor(t *testing.T, until func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if until() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// A process is restarted while the store is away. Its peers still know its
// address and reach it, but it knows no endpoint yet. Made the owner of a pool it
// would refuse everything, and callers would get 503 although engines are idle.
func TestProcessThatKnowsNoEndpointsOwnsNothing(t *testing.T) {
	all := join(t, clock.New(), "a", "b")
	fresh := &process{member: mesh.Member{Name: "c", Incarnation: token.NewIncarnation()}}
	fresh.Mesh = mesh.New(t.Context(), fresh.member)
	server := httptest.NewServer(fresh.Handler())
	t.Cleanup(func() { fresh.Stop(); server.Close() })
	fresh.member.Address = strings.TrimPrefix(server.URL, "http://")
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { defer close(ended); fresh.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	for _, p := range all {
		go p.Run(t.Context())
		p.SetMembers([]mesh.Member{all[0].member, all[1].member, fresh.member})
	}
	fresh.SetMembers([]mesh.Member{all[0].member, all[1].member, fresh.member})
	waitFor(t, func() bool { return fresh.Sessions() > 0 })
	waitFor(t, func() bool { return len(all[0].LiveProcesses()) == 2 && len(all[1].LiveProcesses()) == 2 })
	fresh.StartOwning()
	waitFor(t, func() bool { return len(all[0].LiveProcesses()) == 3 && len(all[1].LiveProcesses()) == 3 })
	fresh.StopOwning()
	waitFor(t, func() bool { return len(all[0].LiveProcesses()) == 2 && len(all[1].LiveProcesses()) == 2 })
}

// A process is killed and started again. Its peers must hear that its requests
// are gone, or engines go on working for them and keep their results.
func TestRestartOfAPeerIsNoticed(t *testing.T) {
	var lost, ended atomic.Int64
	watched := token.NewIncarnation()
	watcher := mesh.New(t.Context(), mesh.Member{Name: "a", Incarnation: watched},
		mesh.WithLost(func(string) { lost.Add(1) }, func(string) { ended.Add(1) }))
	server := httptest.NewServer(watcher.Handler())
	t.Cleanup(func() { watcher.Stop(); server.Close() })
	self := mesh.Member{Name: "a", Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: watched}
	run := func(incarnation token.Incarnation) *mesh.Mesh {
		p := mesh.New(t.Context(), mesh.Member{Name: "0", Incarnation: incarnation})
		p.SetMembers([]mesh.Member{self})
		go p.Run(t.Context())
		waitFor(t, func() bool { return watcher.Sessions() == 1 })
		return p
	}
	first := token.NewIncarnation()
	for i, incarnation := range []token.Incarnation{first, first, token.NewIncarnation()} {
		p := run(incarnation)
		assert.Equal(t, ended.Load(), int64(i/2), "only the third is another run")
		p.Stop()
		waitFor(t, func() bool { return lost.Load() == int64(i+1) && watcher.Sessions() == 0 })
	}
}
