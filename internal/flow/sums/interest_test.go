package sums_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

func interested(endpoints ...string) *wire.Sums {
	return &wire.Sums{Whole: true, Regular: true, HasInterest: true, Interest: endpoints}
}

// applyWork applies a message as a process does that reports to an aggregator.
func applyWork(work map[string]int64, message *wire.Sums) map[string]int64 {
	if message == nil {
		return work
	}
	if message.Whole {
		work = make(map[string]int64)
	}
	for _, w := range message.Work {
		work[w.Endpoint] = w.Running
	}
	return work
}

// Guards against messages that contain the work outside a process's interest as often as
// the work at its own endpoints. The bytes that an aggregator sends would grow with the
// number of endpoints.
func TestWorkOutsideInterestIsSentLessOften(t *testing.T) {
	totals, c := sums.New(), &sums.Cursor{}
	put(t, totals, process("p"), interested("near"), 1)
	put(t, totals, process("q"), &wire.Sums{Whole: true, Regular: true}, 1)
	totals.ForProcess("p", c, true, 1)
	near, far := 0, 0
	for at := clock.Millis(100); at <= 4000; at += 100 {
		put(t, totals, process("q"), &wire.Sums{Regular: true, Work: []wire.Work{running("near", int64(at)), running("far", int64(at))}}, at)
		for _, w := range totals.ForProcess("p", c, true, at).Work {
			if w.Endpoint == "near" {
				near++
			} else {
				far++
			}
		}
	}
	assert.Equal(t, near, 40)
	assert.Equal(t, far, 9)
}

// Guards against work that a process never receives because it changed before the endpoint
// entered the interest of the process or after it left it.
func TestInterestChangeLosesNoWork(t *testing.T) {
	totals, c := sums.New(), &sums.Cursor{}
	var work map[string]int64
	at := clock.Millis(0)
	step := func(sums ...*wire.Sums) {
		at += 100
		for i, s := range sums {
			put(t, totals, process([]string{"q", "p"}[i]), s, at)
		}
		work = applyWork(work, totals.ForProcess("p", c, true, at))
	}
	step(&wire.Sums{Whole: true, Regular: true, Work: []wire.Work{running("a", 1), running("b", 1)}}, interested("a"))
	step(&wire.Sums{Regular: true, Work: []wire.Work{running("b", 2)}})
	step(&wire.Sums{Regular: true}, interested("b"))
	assert.DeepEqual(t, work, map[string]int64{"a": 1, "b": 2})
	step(&wire.Sums{Regular: true, Work: []wire.Work{running("a", 5), running("b", 6)}})
	assert.Equal(t, work["b"], int64(6))
	for range 4 {
		step(&wire.Sums{Regular: true})
	}
	assert.DeepEqual(t, work, map[string]int64{"a": 5, "b": 6})
	step(&wire.Sums{Regular: true, Work: []wire.Work{running("c", 1)}}, interested("nobody-has-this"))
	assert.Equal(t, work["c"], int64(1), "a full message follows a change of the interest")
}

// Guards against messages for one process that grow with the number of all endpoints.
func TestMessageSizeIsBoundedByInterest(t *testing.T) {
	bytes := func(endpoints int) int {
		totals, c := sums.New(), &sums.Cursor{}
		var near []string
		for i := range 24 {
			near = append(near, fmt.Sprint("i-", i))
		}
		put(t, totals, process("p"), interested(near...), 1)
		put(t, totals, process("q"), &wire.Sums{Whole: true, Regular: true}, 1)
		totals.ForProcess("p", c, true, 1)
		sent := 0
		for at := clock.Millis(100); at <= 20_000; at += 100 {
			var work []wire.Work
			for i := range endpoints {
				work = append(work, running(fmt.Sprint("i-", i), int64(at)+int64(i)))
			}
			put(t, totals, process("q"), &wire.Sums{Regular: true, Work: work}, at)
			raw, err := wire.Append(nil, &wire.Frame{Kind: wire.KindTotal, Sums: totals.ForProcess("p", c, true, at)})
			assert.NilError(t, err)
			sent += len(raw)
		}
		return sent / 20
	}
	few, many := bytes(250), bytes(3000)
	t.Logf("%d bytes a second for 250 endpoints, %d for 3,000", few, many)
	assert.Assert(t, many < 2*few, "%d, %d", few, many)
}

// Guards against a delayed report of a long prompt at one of a process's own endpoints.
func TestUrgentWorkIsSentAtOnce(t *testing.T) {
	totals, c := sums.New(), &sums.Cursor{}
	put(t, totals, process("p"), interested("near"), 1)
	put(t, totals, process("q"), &wire.Sums{Whole: true, Regular: true}, 1)
	totals.ForProcess("p", c, true, 1)
	put(t, totals, process("q"), &wire.Sums{Urgent: true, Work: []wire.Work{running("near", 1), running("far", 1)}}, 10)
	assert.Equal(t, len(totals.ForProcess("p", c, false, 10).Work), 1)
	assert.Assert(t, totals.ForProcess("p", c, false, 12) == nil, "sent once")
	assert.Equal(t, len(totals.ForProcess("p", c, true, 500).Work), 2)
}
