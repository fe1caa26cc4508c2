package sums_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
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

func put(t *testing.T, totals *sums.Totals, from sums.Source, message *wire.Sums, now clock.Millis) {
	t.Helper()
	_, err := totals.Put(from, message, now)
	assert.NilError(t, err)
}

// at returns the number of running requests at an endpoint in a message, -1 for none.
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
	totals := sums.New()
	for name, count := range map[string]int64{"a": 1, "b": 2, "c": 4} {
		_, _ = totals.Put(sums.Source{Process: name}, &wire.Sums{Whole: true, Work: []wire.Work{{Endpoint: "engine", Running: count}}}, 1)
	}
	for _, work := range totals.ForProcess("b", &sums.Cursor{}, true, 1).Work {
		fmt.Println(work.Endpoint, work.Running)
	}
	// Output: engine 5
}

// Guards against work that is counted twice: a process would avoid an engine because of its
// own requests, and a group would receive its own sum.
func TestOwnWorkIsExcluded(t *testing.T) {
	totals := sums.New()
	put(t, totals, process("a"), whole(running("e", 3)), 1)
	put(t, totals, process("b"), whole(running("e", 5), running("f", 1)), 1)
	put(t, totals, group("other"), whole(running("e", 100)), 1)
	assert.Equal(t, at(totals.ForProcess("a", &sums.Cursor{}, true, 2), "e"), int64(105))
	assert.Equal(t, at(totals.ForProcess("b", &sums.Cursor{}, true, 2), "e"), int64(103))
	assert.Equal(t, at(totals.ForAggregator(&sums.Cursor{}, true, 2), "e"), int64(8))
	assert.Equal(t, totals.WorkOfOthers("a", []string{"e"})[0].Running, int64(105))
}

// Guards against messages that repeat unchanged work: an idle fleet would send as much as a
// busy one.
func TestOnlyChangesAreSent(t *testing.T) {
	totals, c := sums.New(), &sums.Cursor{}
	put(t, totals, process("a"), whole(running("e", 3), running("f", 1)), 1)
	first := totals.ForAggregator(c, true, 1)
	assert.Assert(t, first.Whole && len(first.Work) == 2)
	put(t, totals, process("a"), &wire.Sums{Work: []wire.Work{running("f", 2)}}, 2)
	second := totals.ForAggregator(c, true, 2)
	assert.Assert(t, !second.Whole && len(second.Work) == 1 && at(second, "f") == 2)
	assert.Equal(t, len(totals.ForAggregator(c, true, 3).Work), 0)
	put(t, totals, process("a"), &wire.Sums{Work: []wire.Work{running("f", 0)}}, 4)
	assert.Equal(t, at(totals.ForAggregator(c, true, 4), "f"), int64(0), "the end of the work is sent")
	c.Reset()
	again := totals.ForAggregator(c, true, 5)
	assert.Assert(t, again.Whole && len(again.Work) == 1, "%+v", again)
}

// Guards against long prompts that are only reported with the next regular message: several
// processes would send their prompts to the same engine.
func TestUrgentChangesAreSentAtOnce(t *testing.T) {
	totals, c := sums.New(), &sums.Cursor{}
	put(t, totals, process("a"), whole(running("e", 1)), 1)
	totals.ForAggregator(c, true, 1)
	put(t, totals, process("a"), &wire.Sums{Work: []wire.Work{running("e", 2)}}, 2)
	assert.Assert(t, totals.ForAggregator(c, false, 2) == nil, "not urgent")
	put(t, totals, process("a"), &wire.Sums{Urgent: true, Work: []wire.Work{running("f", 7)}}, 3)
	urgent := totals.ForAggregator(c, false, 3)
	assert.Assert(t, urgent.Urgent && at(urgent, "f") == 7 && at(urgent, "e") == -1)
	assert.Assert(t, totals.ForAggregator(c, false, 4) == nil, "sent once")
	assert.Equal(t, at(totals.ForAggregator(c, true, 5), "e"), int64(2))
}

// Guards against engines that appear busy permanently because a process or an aggregator has
// ended or hangs, and against the loss of the work of a process that was only paused.
func TestStaleSourcesAreExcluded(t *testing.T) {
	totals, c := sums.New(), &sums.Cursor{}
	put(t, totals, process("a"), whole(running("e", 3)), 1)
	put(t, totals, group("g"), &wire.Sums{Whole: true, Regular: true, Work: []wire.Work{running("e", 10)}, Pools: []wire.PoolLoad{{Pool: "p"}}}, 1000)
	totals.ForProcess("self", c, true, 1000)
	stale, changed := totals.ExcludeStale("self", 500, 1000)
	assert.DeepEqual(t, stale, []sums.Source{process("a")})
	assert.DeepEqual(t, changed, []string{"e"})
	assert.Equal(t, at(totals.ForProcess("self", c, true, 1000), "e"), int64(10))
	again, _ := totals.ExcludeStale("self", 500, 1000)
	assert.Equal(t, len(again), 0)
	// The process was only paused. Its message is a change of its earlier report.
	put(t, totals, process("a"), &wire.Sums{Work: []wire.Work{running("f", 1)}}, 1100)
	back := totals.ForProcess("self", c, true, 1100)
	assert.Assert(t, at(back, "e") == 13 && at(back, "f") == 1)
	assert.Equal(t, len(totals.Pools("self")), 1)
	totals.Remove(group("g"), 1200)
	assert.Equal(t, len(totals.Pools("self")), 0)
	assert.Equal(t, at(totals.ForProcess("self", c, true, 1200), "e"), int64(3))
}

// Guards against the use of a report with invalid values.
func TestInvalidReportsAreRejected(t *testing.T) {
	for name, message := range map[string]*wire.Sums{
		"negative":            whole(running("e", -1)),
		"no endpoint":         whole(running("", 1)),
		"age below zero":      {Whole: true, Pools: []wire.PoolLoad{{Pool: "p", Age: -1}}},
		"no pool":             {Whole: true, Pools: []wire.PoolLoad{{}}},
		"impossible revision": {Whole: true, Progress: []wire.Progress{{Kind: "k", Revision: 1, Changed: 2}}},
	} {
		totals := sums.New()
		_, err := totals.Put(process("liar"), message, 1)
		var reportErr *sums.ReportError
		assert.Assert(t, errors.As(err, &reportErr), name)
		assert.Equal(t, reportErr.Process, "liar")
		assert.Equal(t, len(totals.ForProcess("self", &sums.Cursor{}, true, 1).Work), 0, name)
	}
}

// Guards against sums without earlier reports of a source: a message may have been lost with
// its session.
func TestChangesOfUnknownSourceAreRejected(t *testing.T) {
	totals := sums.New()
	_, err := totals.Put(process("a"), &wire.Sums{Work: []wire.Work{running("e", 1)}}, 1)
	var unknown *sums.UnknownSourceError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.Process, "a")
	assert.Equal(t, len(totals.AllWorkOfOthers("self")), 0)
}

// Guards against callers that are not recognized by the process that they return to, and
// against events that are sent repeatedly.
func TestEventsAreForwardedOnce(t *testing.T) {
	totals, near, far := sums.New(), &sums.Cursor{}, &sums.Cursor{}
	totals.ForProcess("b", near, true, 1)
	totals.ForAggregator(far, true, 1)
	put(t, totals, process("a"), &wire.Sums{Whole: true, Refused: []wire.Refused{{Key: 1, Age: 10, Wait: 500}}, Prefixes: []wire.PrefixUse{{Endpoint: "e", Parts: []uint32{7}}}, Crashes: []wire.Crash{{Key: []byte{1}, Endpoint: "e"}}}, 10)
	put(t, totals, group("g"), &wire.Sums{Whole: true, Refused: []wire.Refused{{Key: 2, Age: 10, Wait: 500}}}, 10)
	forwarded := totals.ForProcess("b", near, false, 50)
	assert.Equal(t, len(forwarded.Refused), 2)
	assert.DeepEqual(t, forwarded.Refused[0], wire.Refused{Key: 1, Age: 50, Wait: 460})
	assert.Equal(t, len(forwarded.Prefixes), 1)
	assert.DeepEqual(t, forwarded.Crashes, []wire.Crash{{Key: []byte{1}, Endpoint: "e"}})
	assert.Assert(t, totals.ForProcess("b", near, false, 60) == nil)
	other := totals.ForAggregator(far, false, 60)
	assert.Assert(t, len(other.Refused) == 1 && other.Refused[0].Key == 1, "events of another group are not sent back")
	back := totals.ForProcess("a", &sums.Cursor{}, false, 60).Refused
	assert.Assert(t, len(back) == 1 && back[0].Key == 2, "events of a process are not sent back to it")
}

// Guards against a caller that is refused before the session to the process that it returns
// to is open, and is treated as new there.
func TestNewDestinationReceivesRecentEvents(t *testing.T) {
	totals := sums.New()
	put(t, totals, process("a"), &wire.Sums{Whole: true, Refused: []wire.Refused{{Key: 1}}}, 10)
	put(t, totals, process("a"), &wire.Sums{Refused: []wire.Refused{{Key: 2}}}, 9000)
	message := totals.ForAggregator(&sums.Cursor{}, true, 10_000)
	assert.Assert(t, len(message.Refused) == 1 && message.Refused[0].Key == 2, "%+v", message.Refused)
	assert.Equal(t, len(totals.ForProcess("b", &sums.Cursor{}, false, 10_000).Refused), 1)
}

// node is one process of a simulated fleet.
type node struct {
	owner.Process
	totals  *sums.Totals
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
	put(t, to.totals, sums.Source{Process: n.Name, OtherGroup: kind == wire.KindGroup}, message, now)
}

func (n *node) cursor(to string) *sums.Cursor {
	if n.cursors[to] == nil {
		n.cursors[to] = &sums.Cursor{}
	}
	return n.cursors[to]
}

// Guards against control traffic that grows with the fleet. In fleets of several sizes, each
// process has one request at one of fifty engines. After three hops, each process has the work
// of all others, and the messages per process and round are bounded.
func TestEveryProcessReceivesWorkOfAllOthers(t *testing.T) {
	const engines = 50
	for _, count := range []int{1, 10, 100, 500, 1000} {
		var members []owner.Process
		nodes := make(map[string]*node)
		for i := range count {
			p := owner.Process{Name: fmt.Sprint("g", i), Key: fmt.Sprint("g", i, "/1"), Zone: fmt.Sprint("z", i%5), Capacity: 1}
			members = append(members, p)
			nodes[p.Name] = &node{Process: p, totals: sums.New(), cursors: map[string]*sums.Cursor{}, others: map[string]int64{}}
		}
		plan := relay.New(members)
		total := make(map[string]int64)
		for i, p := range members {
			engine := fmt.Sprint("e", i%engines)
			total[engine]++
			put(t, nodes[p.Name].totals, process(p.Name), whole(running(engine, 1)), 1)
			if !plan.IsAggregator(p.Name) {
				nodes[p.Name].to = plan.AggregatorFor(p.Name, p.Zone, func(string) bool { return false })
			}
		}
		for _, p := range members { // first hop: from processes to aggregators
			if n := nodes[p.Name]; n.to != "" {
				n.send(t, nodes[n.to], wire.KindReport, n.totals.ForAggregator(n.cursor(n.to), true, 1), 1)
			}
		}
		for _, name := range plan.Aggregators { // second hop: between aggregators
			for _, other := range plan.Aggregators {
				if n := nodes[name]; other != name {
					n.send(t, nodes[other], wire.KindGroup, n.totals.ForAggregator(n.cursor(other), true, 1), 1)
				}
			}
		}
		for _, p := range members { // third hop: from aggregators to processes
			if n := nodes[p.Name]; n.to != "" {
				aggregator := nodes[n.to]
				aggregator.send(t, n, wire.KindTotal, aggregator.totals.ForProcess(p.Name, aggregator.cursor(p.Name), true, 1), 1)
			}
		}
		most, bytes := 0, 0
		for i, p := range members {
			n := nodes[p.Name]
			most, bytes = max(most, n.sent), max(bytes, n.bytes)
			if n.to == "" {
				for _, work := range n.totals.AllWorkOfOthers(p.Name) {
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
		assert.Assert(t, most <= 12+4*ceilSqrt(count), "%d processes: %d messages", count, most)
	}
}

func ceilSqrt(n int) int {
	root := 0
	for root*root < n {
		root++
	}
	return root
}

// Guards against a crash that a process does not receive because many prefixes were used in the
// 200 ms until its next message and displaced it from a shared bounded list.
func TestPrefixBurstKeepsCrashes(t *testing.T) {
	totals, c := sums.New(), &sums.Cursor{}
	put(t, totals, process("b"), whole(), 1)
	totals.ForProcess("b", c, true, 1)
	put(t, totals, process("a"), &wire.Sums{Whole: true, Crashes: []wire.Crash{{Key: make([]byte, 16), Endpoint: "e/1"}}}, 2)
	for i := range 50 { // processes with 100 prompts each
		put(t, totals, process(string(rune('A'+i))), &wire.Sums{Whole: true, Prefixes: make([]wire.PrefixUse, 100)}, 3)
	}
	assert.Equal(t, len(totals.ForProcess("b", c, true, clock.Millis(100)).Crashes), 1)
}

// Guards against a crash that is lost with its message.
func TestResentMessageContainsCrash(t *testing.T) {
	totals, c := sums.New(), &sums.Cursor{}
	put(t, totals, process("a"), &wire.Sums{Whole: true, Crashes: []wire.Crash{{Key: make([]byte, 16), Endpoint: "e/1"}}}, 2)
	assert.Equal(t, len(totals.ForAggregator(c, true, 3).Crashes), 1)
	c.Reset() // as mesh does if Send fails or the peer requests a full message
	assert.Equal(t, len(totals.ForAggregator(c, true, 4).Crashes), 1)
}

// Guards against processes of the version before, which state no rate of requests, that count as idle
// ones beside those that do.
func TestRateOfRequestsCountsTheProcessesThatStateIt(t *testing.T) {
	totals := sums.New()
	rate := func(pieces ...int) *wire.Sums {
		return &wire.Sums{Whole: true, Regular: true, PendingArrivals: []wire.PendingArrivals{{Pool: wire.RequestRate, Pieces: pieces}}}
	}
	put(t, totals, process("a"), rate(30, 1), 1)
	put(t, totals, process("b"), &wire.Sums{Whole: true, Regular: true}, 1)
	put(t, totals, group("g"), rate(80, 4), 1)
	assert.DeepEqual(t, inflow.PoolPieces(totals.PendingArrivals("self"), wire.RequestRate)[:2], []int{110, 5})
}

// Guards against a report that its receiver drops as a whole because of an age below zero: a message
// arrives between the moment at which a report's time is read and the moment at which it is made.
func TestReportsStateNoAgeBelowZero(t *testing.T) {
	totals := sums.New()
	put(t, totals, process("a"), &wire.Sums{
		Whole: true, Regular: true, Pools: []wire.PoolLoad{{Pool: "p"}}, Limits: []wire.EndpointLimit{{Endpoint: "e", Limit: 1}},
		Refused: []wire.Refused{{Key: 1, Wait: 50}},
	}, 100)
	for _, message := range []*wire.Sums{
		totals.ForProcess("b", &sums.Cursor{}, true, 99), totals.ForAggregator(&sums.Cursor{}, true, 99),
	} {
		assert.Equal(t, len(message.Pools), 1)
		assert.Equal(t, len(message.Limits), 1)
		assert.Equal(t, len(message.Refused), 1)
		assert.Equal(t, message.Refused[0].Age, clock.Millis(0))
		assert.NilError(t, sums.Check(process("self"), message))
	}
}
