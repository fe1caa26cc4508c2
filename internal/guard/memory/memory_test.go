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

// newEmptyAccount returns the account of an engine without foreign results.
func newEmptyAccount(now clock.Millis) *memory.Account {
	a := memory.New(now)
	a.BeginQuery(now)
	a.RecordReport(limits, exactReport(limits.Capacity, 0), now)
	return a
}

// addResult records a result that a call has made.
func addResult(a *memory.Account, reference string, bytes int64, until clock.Millis) memory.Result {
	result := memory.Result{Reference: reference, Bytes: bytes}
	a.Reserve(bytes)
	a.Add(result, until)
	return result
}

// exactReport returns the report of an engine with exactly this much free memory.
func exactReport(free, pending int64) memory.Report {
	return memory.Report{MinFree: free, MaxFree: free, Pending: pending}
}

func ExampleAccount() {
	a := newEmptyAccount(1)
	result := addResult(a, "engine/1", 300, 4000)
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

// After a change of owner, the new owner must also free results that its
// predecessor made. Otherwise engines work in small calls for seconds, until the
// results expire.
func TestResultsOfPreviousOwnerAreFreed(t *testing.T) {
	a := memory.New(1)
	assert.Assert(t, a.BeginQuery(1) && a.NeedsReport())
	a.RecordReport(limits, exactReport(200, 0), 5)
	assert.Assert(t, !a.NeedsReport())
	assert.Equal(t, a.Available(limits, 5), int64(120))
	assert.Assert(t, a.MayHold(limits, 100))
	a.MarkUnused(memory.Result{Reference: "old", Bytes: 500})
	assert.DeepEqual(t, a.BeginFree(limits, 0, 100), []string{"old"})
	a.EndFree(true)
	assert.Equal(t, a.Available(limits, 100), int64(620))
	assert.Assert(t, !a.MayHold(limits, 1+2*limits.Retention+1))
}

// An engine has less memory than the account shows and fails pieces of a call.
// The next call must be smaller, or it fails in the same way.
func TestEngineWithMemoryShortageGetsSmallerCalls(t *testing.T) {
	a := newEmptyAccount(1)
	addResult(a, "own", 200, 4000)
	a.RecordShortage(limits, 100, 50)
	assert.Equal(t, a.ForeignBytes(50), int64(700))
	assert.Assert(t, a.Available(limits, 50) < 100, "there was no memory for a piece of 100 bytes")
	assert.Assert(t, a.BeginQuery(50), "the engine must be queried for its free memory")
	a.RecordReport(limits, exactReport(300, 0), 60)
	assert.Equal(t, a.Available(limits, 60), int64(220))
	a.RecordShortage(limits, 100, 70)
	assert.Equal(t, a.ForeignBytes(70+limits.Retention), int64(0), "foreign results have expired")
}

// All processes are killed and their results fill the engines. Reports round the
// free memory to megabytes. After a shortage, the account must not use the maximum
// that a report allows, or calls fail repeatedly.
func TestRoundedReportIsNotTakenAtMaximumAfterShortage(t *testing.T) {
	rounded := memory.Report{MinFree: 0, MaxFree: 500}
	a := memory.New(1)
	a.BeginQuery(1)
	a.RecordReport(limits, rounded, 5)
	assert.Equal(t, a.Available(limits, 5), int64(420))
	a.RecordShortage(limits, 100, 400)
	a.RecordReport(limits, rounded, 450)
	assert.Assert(t, a.Available(limits, 450) < 100, "there must be less free memory than the failed piece needed")
	later := 400 + limits.Retention/2
	a.RecordReport(limits, rounded, later)
	half := a.Available(limits, later)
	assert.Assert(t, half > 0 && half < 920, "some foreign results have expired: %d", half)
	a.RecordReport(limits, rounded, 400+limits.Retention)
	assert.Equal(t, a.ForeignBytes(400+limits.Retention), int64(0))
}

// An engine's memory can't be queried. It still gets calls, because waiting for a
// report would leave it idle.
func TestEngineThatDoesNotReportIsUsed(t *testing.T) {
	a := memory.New(1)
	assert.Assert(t, a.BeginQuery(1))
	assert.Assert(t, !a.BeginQuery(2), "only one query at a time")
	a.RecordNoReport(400)
	assert.Assert(t, !a.NeedsReport())
	assert.Equal(t, a.Available(limits, 400), int64(920))
}

// When memory is short, results that are needed again only if a stage fails are
// freed, but not before they have been read.
func TestReclaimableResultsAreFreedWhenMemoryIsShort(t *testing.T) {
	a := newEmptyAccount(1)
	a.MarkReclaimable(addResult(a, "read", 400, 4000), 10)
	a.MarkReclaimable(addResult(a, "unread", 300, 4000), 100)
	assert.Equal(t, len(a.BeginFree(limits, 170, 50)), 0, "220 bytes are available")
	assert.DeepEqual(t, a.BeginFree(limits, 270, 50), []string{"read"})
	assert.Equal(t, len(a.BeginFree(limits, 800, 200)), 0, "only one call to free results at a time")
	assert.Assert(t, a.Freeing(limits, 200))
	a.EndFree(true)
	assert.DeepEqual(t, a.BeginFree(limits, 800, 200), []string{"unread"})
}

// If a piece fails after its inputs were reclaimed, all stages of its request run
// again. No more results may be reclaimed than cover the shortfall, and none that
// are too small to matter.
func TestNoMoreResultsAreReclaimedThanNeeded(t *testing.T) {
	a := newEmptyAccount(1)
	a.MarkReclaimable(addResult(a, "tiny", 1, 4000), 0)
	a.MarkReclaimable(addResult(a, "old", 200, 4000), 0)
	a.MarkReclaimable(addResult(a, "new", 200, 4000), 0)
	assert.DeepEqual(t, a.BeginFree(limits, 670, 10), []string{"old"})
	a.EndFree(true)
	assert.Assert(t, a.Holds("tiny") && a.Holds("new"))
}

// After a change of owner an engine still runs a call of the previous owner. The
// results of that call take memory when the next call begins.
func TestPendingCallOfPreviousOwnerCounts(t *testing.T) {
	a := memory.New(1)
	a.BeginQuery(1)
	a.RecordReport(limits, exactReport(900, 500), 5)
	assert.Equal(t, a.Available(limits, 5), int64(320))
}

// The call that frees results fails. The engine stores them until they expire, and
// they count until then.
func TestResultsThatWereNotFreedCount(t *testing.T) {
	a := newEmptyAccount(1)
	a.MarkUnused(addResult(a, "r", 500, 4000))
	assert.Equal(t, len(a.BeginFree(limits, 0, 2)), 1)
	a.EndFree(false)
	assert.Equal(t, a.Available(limits, 3), int64(420))
	a.Expire(limits, 4000)
	assert.Equal(t, a.Available(limits, 4000), int64(920))
}

// Random events: no value of the account falls below zero, and the account is
// empty after all results have expired.
func TestAccountIsEmptyAfterAllResultsExpired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newEmptyAccount(1)
		now := clock.Millis(1)
		next := 0
		for range 80 {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(t, "pause"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				next++
				addResult(a, fmt.Sprint(next), int64(rapid.IntRange(1, 300).Draw(t, "bytes")), now+limits.Retention)
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
					a.RecordReport(limits, exactReport(int64(rapid.IntRange(0, 1000).Draw(t, "free")), 100), now)
				}
			}
			assert.Assert(t, a.OwnBytes() >= 0 && a.ForeignBytes(now) >= 0 && a.Available(limits, now) >= 0)
		}
		a.Expire(limits, now+2*limits.Retention+1)
		assert.Equal(t, a.OwnBytes(), int64(0))
		assert.Equal(t, a.TrackedResults(), 0)
	})
}
