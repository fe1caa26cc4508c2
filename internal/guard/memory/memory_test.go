package memory_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/memory"
)

var limits = memory.Limits{Capacity: 1000, Retention: 4000}

// learned returns the account of an engine where nothing of others lies.
func learned(now clock.Millis) *memory.Account {
	a := memory.New(now)
	a.BeginQuery(now)
	a.RecordReport(limits, exactly(limits.Capacity, 0), now)
	return a
}

// made enters a result that a call has made.
func made(a *memory.Account, reference string, bytes int64, until clock.Millis) memory.Result {
	result := memory.Result{Reference: reference, Bytes: bytes}
	a.Reserve(bytes)
	a.Add(result, until)
	return result
}

// exactly is the report of an engine with so much free memory.
func exactly(free, pending int64) memory.Report {
	return memory.Report{MinFree: free, MaxFree: free, Pending: pending}
}

func ExampleAccount() {
	a := learned(1)
	result := made(a, "engine/1", 300, 4000)
	fmt.Println(a.Available(limits, 2))
	a.MarkUnused(result)
	fmt.Println(a.BeginFree(limits, 0, 2), a.Freeing(limits, 2))
	a.EndFree(true)
	fmt.Println(a.Available(limits, 3))
	// Output:
	// 620
	// [engine/1] false
	// 920
}

// A pool changes its owner. What was made for the owner before is given back to
// the new one, which made none of it. If it did not pass that on, engines would
// work in small calls until the results expire, for seconds.
func TestResultsOfTheOwnerBeforeAreGivenBack(t *testing.T) {
	a := memory.New(1)
	assert.Assert(t, a.BeginQuery(1) && a.NeedsReport())
	a.RecordReport(limits, exactly(200, 0), 5)
	assert.Assert(t, !a.NeedsReport())
	assert.Equal(t, a.Available(limits, 5), int64(120))
	assert.Assert(t, a.MayHold(limits, 100))
	a.MarkUnused(memory.Result{Reference: "old", Bytes: 500})
	assert.DeepEqual(t, a.BeginFree(limits, 0, 100), []string{"old"})
	a.EndFree(true)
	assert.Equal(t, a.Available(limits, 100), int64(620))
	assert.Assert(t, !a.MayHold(limits, 1+2*limits.Retention+1))
}

// An engine has less memory than the account says and fails pieces of a call.
// The next call must be smaller at once, or it fails in the same way.
func TestEngineWithoutMemoryGetsSmallerCalls(t *testing.T) {
	a := learned(1)
	made(a, "own", 200, 4000)
	a.RecordShortage(limits, 100, 50)
	assert.Equal(t, a.ForeignBytes(50), int64(700))
	assert.Assert(t, a.Available(limits, 50) < 100, "a piece of that size had no room")
	assert.Assert(t, a.BeginQuery(50), "the engine is asked how much it has")
	a.RecordReport(limits, exactly(300, 0), 60)
	assert.Equal(t, a.Available(limits, 60), int64(220))
	a.RecordShortage(limits, 100, 70)
	assert.Equal(t, a.ForeignBytes(70+limits.Retention), int64(0), "what others left has expired")
}

// All processes were killed and their results fill the engines. Reports round
// what is free to megabytes. An engine that has just lacked memory is not taken
// to have the most that its report allows, or its calls fail again and again.
func TestRoundedReportsCountLessOnceMemoryWasLacking(t *testing.T) {
	rounded := memory.Report{MinFree: 0, MaxFree: 500}
	a := memory.New(1)
	a.BeginQuery(1)
	a.RecordReport(limits, rounded, 5)
	assert.Equal(t, a.Available(limits, 5), int64(420))
	a.RecordShortage(limits, 100, 400)
	a.RecordReport(limits, rounded, 450)
	assert.Assert(t, a.Available(limits, 450) < 100, "what is free now is less than what the call lacked")
	later := 400 + limits.Retention/2
	a.RecordReport(limits, rounded, later)
	half := a.Available(limits, later)
	assert.Assert(t, half > 0 && half < 920, "some has expired: %d", half)
	a.RecordReport(limits, rounded, 400+limits.Retention)
	assert.Equal(t, a.ForeignBytes(400+limits.Retention), int64(0))
}

// The engine can't be asked. Calls go there all the same: waiting for an answer
// would leave it idle.
func TestEngineThatDoesNotAnswerIsUsed(t *testing.T) {
	a := memory.New(1)
	assert.Assert(t, a.BeginQuery(1))
	assert.Assert(t, !a.BeginQuery(2), "one question at a time")
	a.RecordNoReport(400)
	assert.Assert(t, !a.NeedsReport())
	assert.Equal(t, a.Available(limits, 400), int64(920))
}

// Memory is short, and some results are needed again only if a stage fails.
// They are given back then, but not before they were read.
func TestSpareResultsAreGivenBackWhenMemoryIsShort(t *testing.T) {
	a := learned(1)
	a.MarkReclaimable(made(a, "read", 400, 4000), 10)
	a.MarkReclaimable(made(a, "unread", 300, 4000), 100)
	assert.Equal(t, len(a.BeginFree(limits, 170, 50)), 0, "there is room for 220")
	assert.DeepEqual(t, a.BeginFree(limits, 270, 50), []string{"read"})
	assert.Equal(t, len(a.BeginFree(limits, 800, 200)), 0, "one call at a time")
	assert.Assert(t, a.Freeing(limits, 200))
	a.EndFree(true)
	assert.DeepEqual(t, a.BeginFree(limits, 800, 200), []string{"unread"})
}

// A piece fails after its inputs were given back early, and all stages of its
// request run again. No more results are given back than are short, and none so
// small that it makes no difference.
func TestNoMoreSpareResultsAreUsedThanNeeded(t *testing.T) {
	a := learned(1)
	a.MarkReclaimable(made(a, "tiny", 1, 4000), 0)
	a.MarkReclaimable(made(a, "old", 200, 4000), 0)
	a.MarkReclaimable(made(a, "new", 200, 4000), 0)
	assert.DeepEqual(t, a.BeginFree(limits, 670, 10), []string{"old"})
	a.EndFree(true)
	assert.Assert(t, a.Holds("tiny") && a.Holds("new"))
}

// A pool's owner has just changed, and an engine works on a call of the owner
// before. What that call makes will lie there when the next one begins.
func TestCallOfTheOwnerBeforeCounts(t *testing.T) {
	a := memory.New(1)
	a.BeginQuery(1)
	a.RecordReport(limits, exactly(900, 500), 5)
	assert.Equal(t, a.Available(limits, 5), int64(320))
}

// The call that gives results back fails. They lie there until they expire, and
// count until then.
func TestResultsThatWereNotGivenBackCount(t *testing.T) {
	a := learned(1)
	a.MarkUnused(made(a, "r", 500, 4000))
	assert.Equal(t, len(a.BeginFree(limits, 0, 2)), 1)
	a.EndFree(false)
	assert.Equal(t, a.Available(limits, 3), int64(420))
	a.Expire(limits, 4000)
	assert.Equal(t, a.Available(limits, 4000), int64(920))
}

// Whatever happens in whatever order, the account never gets below zero and is
// empty once everything has expired.
func TestAccountIsEmptyInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := learned(1)
		now := clock.Millis(1)
		next := 0
		for range 80 {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(t, "pause"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				next++
				made(a, fmt.Sprint(next), int64(rapid.IntRange(1, 300).Draw(t, "bytes")), now+limits.Retention)
			case 1:
				a.MarkUnused(memory.Result{Reference: fmt.Sprint(rapid.IntRange(1, 40).Draw(t, "which")), Bytes: 10})
			case 2:
				a.MarkReclaimable(memory.Result{Reference: fmt.Sprint(rapid.IntRange(1, 40).Draw(t, "which"))}, now+50)
			case 3:
				if a.BeginFree(limits, 500, now) != nil {
					a.EndFree(rapid.Bool().Draw(t, "taken"))
				}
			case 4:
				a.Expire(limits, now)
			case 5:
				a.RecordShortage(limits, 50, now)
			case 6:
				if a.BeginQuery(now) {
					a.RecordReport(limits, exactly(int64(rapid.IntRange(0, 1000).Draw(t, "free")), 100), now)
				}
			}
			assert.Assert(t, a.OwnBytes() >= 0 && a.ForeignBytes(now) >= 0 && a.Available(limits, now) >= 0)
		}
		a.Expire(limits, now+2*limits.Retention+1)
		assert.Equal(t, a.OwnBytes(), int64(0))
		assert.Equal(t, a.TrackedResults(), 0)
	})
}
