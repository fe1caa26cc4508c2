package sums_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/owner"
	"github.com/jujubescale/jujubescale/internal/route/relay"
)

func running(endpoint string, count int64) wire.Work {
	return wire.Work{Endpoint: endpoint, Running: count}
}

func whole(work ...wire.Work) *wire.Sums { return &wire.Sums{Whole: true, Work: work} }

func process(name string) sums.Source { return sums.Source{Process: name} }

func group(name string) sums.Source { return sums.Source{Process: name, OtherGroup: true} }

func put(t *testing.T, b *sums.Totals, from sums.Source, taken *wire.Sums, now clock.Millis) {
	t.Helper()
	_, err := b.Put(from, taken, now)
	assert.NilError(t, err)
}

// at returns the running requests of a message at an endpoint, -1 for none.
func at(message *wire.Sums, endpoint string) int64 {
	if message != nil {
		for _, work := range message.Work {
			if work.Endpoint == endpoint {
				return work.Running
			}
		}
	}
	return -1
}

func ExampleTotals_ForProcess() {
	b := sums.New()
	for name, count := range map[string]int64{"a": 1, "b": 2, "c": 4} {
		_, _ = b.Put(sums.Source{Process: name}, &wire.Sums{Whole: true, Work: []wire.Work{{Endpoint: "engine", Running: count}}}, 1)
	}
	for _, work := range b.ForProcess("b", &sums.Cursor{}, true, 1).Work {
		fmt.Println(work.Endpoint, work.Running)
	}
	// Output: engine 5
}

// Guards against work that counts twice: a process would avoid an engine for what
// it sent there itself, and a group's sum would come back to it.
func TestNobodyIsToldItsOwnWork(t *testing.T) {
	b := sums.New()
	put(t, b, process("a"), whole(running("e", 3)), 1)
	put(t, b, process("b"), whole(running("e", 5), running("f", 1)), 1)
	put(t, b, group("other"), whole(running("e", 100)), 1)
	assert.Equal(t, at(b.ForProcess("a", &sums.Cursor{}, true, 2), "e"), int64(105))
	assert.Equal(t, at(b.ForProcess("b", &sums.Cursor{}, true, 2), "e"), int64(103))
	assert.Equal(t, at(b.ForAggregator(&sums.Cursor{}, true, 2), "e"), int64(8))
	assert.Equal(t, b.WorkOfOthers("a", []string{"e"})[0].Running, int64(105))
}

// Guards against messages that repeat what was told: an idle fleet would send as
// much as a busy one.
func TestOnlyChangesAreTold(t *testing.T) {
	b, c := sums.New(), &sums.Cursor{}
	put(t, b, process("a"), whole(running("e", 3), running("f", 1)), 1)
	first := b.ForAggregator(c, true, 1)
	assert.Assert(t, first.Whole && len(first.Work) == 2)
	put(t, b, process("a"), &wire.Sums{Work: []wire.Work{running("f", 2)}}, 2)
	second := b.ForAggregator(c, true, 2)
	assert.Assert(t, !second.Whole && len(second.Work) == 1 && at(second, "f") == 2)
	assert.Equal(t, len(b.ForAggregator(c, true, 3).Work), 0)
	put(t, b, process("a"), &wire.Sums{Work: []wire.Work{running("f", 0)}}, 4)
	assert.Equal(t, at(b.ForAggregator(c, true, 4), "f"), int64(0), "an end is told, too")
	c.Reset()
	again := b.ForAggregator(c, true, 5)
	assert.Assert(t, again.Whole && len(again.Work) == 1, "%+v", again)
}

// Guards against long prompts that are told only with the next regular message:
// several processes would send theirs to one engine.
func TestUrgentChangesAreToldAtOnce(t *testing.T) {
	b, c := sums.New(), &sums.Cursor{}
	put(t, b, process("a"), whole(running("e", 1)), 1)
	b.ForAggregator(c, true, 1)
	put(t, b, process("a"), &wire.Sums{Work: []wire.Work{running("e", 2)}}, 2)
	assert.Assert(t, b.ForAggregator(c, false, 2) == nil, "not urgent")
	put(t, b, process("a"), &wire.Sums{Urgent: true, Work: []wire.Work{running("f", 7)}}, 3)
	urgent := b.ForAggregator(c, false, 3)
	assert.Assert(t, urgent.Urgent && at(urgent, "f") == 7 && at(urgent, "e") == -1)
	assert.Assert(t, b.ForAggregator(c, false, 4) == nil, "told once")
	assert.Equal(t, at(b.ForAggregator(c, true, 5), "e"), int64(2))
}

// Guards against engines that seem busy for good because a process or an
// aggregator ended or hangs, and against losing what a paused one still has.
func TestSilentSourcesDoNotCount(t *testing.T) {
	b, c := sums.New(), &sums.Cursor{}
	put(t, b, process("a"), whole(running("e", 3)), 1)
	put(t, b, group("g"), &wire.Sums{Whole: true, Regular: true, Work: []wire.Work{running("e", 10)}, Pools: []wire.PoolLoad{{Pool: "p"}}}, 1000)
	b.ForProcess("self", c, true, 1000)
	silent, changed := b.ExcludeStale("self", 500, 1000)
	assert.DeepEqual(t, silent, []sums.Source{process("a")})
	assert.DeepEqual(t, changed, []string{"e"})
	assert.Equal(t, at(b.ForProcess("self", c, true, 1000), "e"), int64(10))
	again, _ := b.ExcludeStale("self", 500, 1000)
	assert.Equal(t, len(again), 0)
	// It was only paused: what it tells now is a change of what it told before.
	put(t, b, process("a"), &wire.Sums{Work: []wire.Work{running("f", 1)}}, 1100)
	back := b.ForProcess("self", c, true, 1100)
	assert.Assert(t, at(back, "e") == 13 && at(back, "f") == 1)
	assert.Equal(t, len(b.Pools("self")), 1)
	b.Remove(group("g"), 1200)
	assert.Equal(t, len(b.Pools("self")), 0)
	assert.Equal(t, at(b.ForProcess("self", c, true, 1200), "e"), int64(3))
}

// Guards against believing a peer whose report can't be right.
func TestContradictoryReportsAreIgnored(t *testing.T) {
	for name, bad := range map[string]*wire.Sums{
		"negative":            whole(running("e", -1)),
		"no endpoint":         whole(running("", 1)),
		"age below zero":      {Whole: true, Pools: []wire.PoolLoad{{Pool: "p", Age: -1}}},
		"no pool":             {Whole: true, Pools: []wire.PoolLoad{{}}},
		"impossible revision": {Whole: true, Seen: []wire.Seen{{Kind: "k", Revision: 1, Changed: 2}}},
	} {
		b := sums.New()
		_, err := b.Put(process("liar"), bad, 1)
		var wrong *sums.ReportError
		assert.Assert(t, errors.As(err, &wrong), name)
		assert.Equal(t, wrong.Process, "liar")
		assert.Equal(t, len(b.ForProcess("self", &sums.Cursor{}, true, 1).Work), 0, name)
	}
}

// Guards against sums that lack what was told before: a message may have been lost
// with the session that carried it.
func TestChangesOfAnUnknownSourceAreNotTaken(t *testing.T) {
	b := sums.New()
	_, err := b.Put(process("a"), &wire.Sums{Work: []wire.Work{running("e", 1)}}, 1)
	var unknown *sums.UnknownSourceError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.Process, "a")
	assert.Equal(t, len(b.AllWorkOfOthers("self")), 0)
}

// Guards against callers that are not known where they come back to, and against
// telling of them for ever.
func TestEventsArePassedOnOnce(t *testing.T) {
	b, near, far := sums.New(), &sums.Cursor{}, &sums.Cursor{}
	b.ForProcess("b", near, true, 1)
	b.ForAggregator(far, true, 1)
	put(t, b, process("a"), &wire.Sums{Whole: true, Refused: []wire.Refused{{Key: 1, Age: 10, Wait: 500}}, Prefixes: []wire.PrefixUse{{Endpoint: "e", Parts: []uint32{7}}}, Crashes: []wire.Crash{{Key: []byte{1}, Endpoint: "e"}}}, 10)
	put(t, b, group("g"), &wire.Sums{Whole: true, Refused: []wire.Refused{{Key: 2, Age: 10, Wait: 500}}}, 10)
	told := b.ForProcess("b", near, false, 50)
	assert.Equal(t, len(told.Refused), 2)
	assert.DeepEqual(t, told.Refused[0], wire.Refused{Key: 1, Age: 50, Wait: 460})
	assert.Equal(t, len(told.Prefixes), 1)
	assert.DeepEqual(t, told.Crashes, []wire.Crash{{Key: []byte{1}, Endpoint: "e"}})
	assert.Assert(t, b.ForProcess("b", near, false, 60) == nil)
	other := b.ForAggregator(far, false, 60)
	assert.Assert(t, len(other.Refused) == 1 && other.Refused[0].Key == 1, "another group's events don't come back to it")
	back := b.ForProcess("a", &sums.Cursor{}, false, 60).Refused
	assert.Assert(t, len(back) == 1 && back[0].Key == 2, "a process's own events don't come back to it")
}

// Guards against a caller that is refused before the session to the process that
// it comes back to is open, and is treated as new there.
func TestNewDestinationLearnsRecentEvents(t *testing.T) {
	b := sums.New()
	put(t, b, process("a"), &wire.Sums{Whole: true, Refused: []wire.Refused{{Key: 1}}}, 10)
	put(t, b, process("a"), &wire.Sums{Refused: []wire.Refused{{Key: 2}}}, 9000)
	told := b.ForAggregator(&sums.Cursor{}, true, 10_000)
	assert.Assert(t, len(told.Refused) == 1 && told.Refused[0].Key == 2, "%+v", told.Refused)
	assert.Equal(t, len(b.ForProcess("b", &sums.Cursor{}, false, 10_000).Refused), 1)
}

// node is one process of a fleet in memory.
type node struct {
	owner.Process
	book    *sums.Totals
	cursors map[string]*sums.Cursor
	sent    int
	bytes   int
	others  map[string]int64
	to      string
}

func (n *node) send(t *testing.T, to *node, kind wire.Kind, message *wire.Sums, now clock.Millis) {
	t.Helper()
	raw, err := wire.Append(nil, &wire.Frame{Kind: kind, Sums: message})
	assert.NilError(t, err)
	n.sent++
	n.bytes += len(raw)
	if kind == wire.KindTotal {
		for _, work := range message.Work {
			to.others[work.Endpoint] = work.Running
		}
		return
	}
	put(t, to.book, sums.Source{Process: n.Name, OtherGroup: kind == wire.KindGroup}, message, now)
}

func (n *node) cursor(to string) *sums.Cursor {
	if n.cursors[to] == nil {
		n.cursors[to] = &sums.Cursor{}
	}
	return n.cursors[to]
}

// Guards against control that grows with the fleet. Each process of fleets of
// several sizes has one request at one of fifty engines. After three hops each
// knows the work of all others, and what one process sends in a round is bounded.
func TestEachLearnsTheWorkOfAllOthers(t *testing.T) {
	const engines = 50
	for _, count := range []int{1, 10, 100, 500, 1000} {
		var members []owner.Process
		nodes := make(map[string]*node)
		for i := range count {
			p := owner.Process{Name: fmt.Sprint("g", i), Key: fmt.Sprint("g", i, "/1"), Zone: fmt.Sprint("z", i%5), Capacity: 1}
			members = append(members, p)
			nodes[p.Name] = &node{Process: p, book: sums.New(), cursors: map[string]*sums.Cursor{}, others: map[string]int64{}}
		}
		plan := relay.New(members)
		total := make(map[string]int64)
		for i, p := range members {
			engine := fmt.Sprint("e", i%engines)
			total[engine]++
			put(t, nodes[p.Name].book, process(p.Name), whole(running(engine, 1)), 1)
			if !plan.IsAggregator(p.Name) {
				nodes[p.Name].to = plan.AggregatorFor(p.Name, p.Zone, func(string) bool { return false })
			}
		}
		for _, p := range members { // first hop: processes to aggregators
			if n := nodes[p.Name]; n.to != "" {
				n.send(t, nodes[n.to], wire.KindReport, n.book.ForAggregator(n.cursor(n.to), true, 1), 1)
			}
		}
		for _, name := range plan.Aggregators { // second: among aggregators
			for _, other := range plan.Aggregators {
				if n := nodes[name]; other != name {
					n.send(t, nodes[other], wire.KindGroup, n.book.ForAggregator(n.cursor(other), true, 1), 1)
				}
			}
		}
		for _, p := range members { // third: back to processes
			if n := nodes[p.Name]; n.to != "" {
				hub := nodes[n.to]
				hub.send(t, n, wire.KindTotal, hub.book.ForProcess(p.Name, hub.cursor(p.Name), true, 1), 1)
			}
		}
		most, bytes := 0, 0
		for i, p := range members {
			n := nodes[p.Name]
			most, bytes = max(most, n.sent), max(bytes, n.bytes)
			if n.to == "" {
				for _, work := range n.book.AllWorkOfOthers(p.Name) {
					n.others[work.Endpoint] = work.Running
				}
			} else {
				assert.Assert(t, n.sent <= 1, "a process sends one message")
			}
			own := fmt.Sprint("e", i%engines)
			for engine, all := range total {
				want := all
				if engine == own {
					want--
				}
				assert.Equal(t, n.others[engine], want, "%d processes: %s at %s", count, p.Name, engine)
			}
		}
		t.Logf("%d processes: at most %d messages and %d bytes a round", count, most, bytes)
		assert.Assert(t, most <= 12+4*isqrt(count), "%d processes: %d messages", count, most)
	}
}

func isqrt(n int) int {
	root := 0
	for root*root < n {
		root++
	}
	return root
}

// Guards against a crash that a process never hears of because many prefixes were used in
// the 200 ms until its next message: they share one bounded list.
func TestPrefixesDropNoCrash(t *testing.T) {
	b, c := sums.New(), &sums.Cursor{}
	put(t, b, process("b"), whole(), 1)
	b.ForProcess("b", c, true, 1)
	put(t, b, process("a"), &wire.Sums{Whole: true, Crashes: []wire.Crash{{Key: make([]byte, 16), Endpoint: "e/1"}}}, 2)
	for i := range 50 { // processes with 100 prompts each
		put(t, b, process(string(rune('A'+i))), &wire.Sums{Whole: true, Prefixes: make([]wire.PrefixUse, 100)}, 3)
	}
	assert.Equal(t, len(b.ForProcess("b", c, true, clock.Millis(100)).Crashes), 1)
}

// Guards against a crash that is lost with the message that held it.
func TestMessageThatIsSentAgainHoldsTheCrash(t *testing.T) {
	b, c := sums.New(), &sums.Cursor{}
	put(t, b, process("a"), &wire.Sums{Whole: true, Crashes: []wire.Crash{{Key: make([]byte, 16), Endpoint: "e/1"}}}, 2)
	assert.Equal(t, len(b.ForAggregator(c, true, 3).Crashes), 1)
	c.Reset() // as mesh does when Send fails, or the peer asks for whole sums
	assert.Equal(t, len(b.ForAggregator(c, true, 4).Crashes), 1)
}
