package reach_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

var bounds = batch.Bounds{Pieces: 10, CallTime: 200, PieceTime: 17}

// queue returns the queue of five engines with some pieces in the lowest class.
func queue(waiting int) *reach.Queue {
	return &reach.Queue{Bounds: bounds, Engines: 5, Queued: []int{waiting}}
}

func chain() *reach.Request {
	return &reach.Request{
		Stages: []table.Stage{{Pool: "a"}, {Pool: "b", After: []int{0}}, {Pool: "b"}},
		Pieces: []int{2, 2, 1}, Done: make([]bool, 3), Slack: 1100, Left: 6000, Generation: 100,
	}
}

func TestRemainingIsTheLongestPath(t *testing.T) {
	queues := func(string) *reach.Queue { return &reach.Queue{Bounds: bounds, Engines: 5, Free: 5} }
	r := chain()
	assert.Equal(t, r.Remaining(queues), 100.0+2*234)
	r.Done[0] = true
	assert.Equal(t, r.Remaining(queues), 100.0+234)
	r.Pieces = []int{0, 0, 0}
	assert.Equal(t, r.Remaining(queues), 100.0)
	assert.Equal(t, chain().Remaining(func(string) *reach.Queue { return nil }), 100.0)
}

// The requests of a burst are in their first stage, so the queues of later stages are
// still empty. Without pending arrivals in the estimate, the next request would be
// admitted and be far too late.
func TestWaitIncludesPendingArrivals(t *testing.T) {
	q := &reach.Queue{Bounds: bounds, Engines: 5, Free: 5}
	assert.Equal(t, q.Wait(800, 400), 0.0)
	q.PendingArrivals = reach.ClassCounts(800, 300)
	assert.Assert(t, q.Wait(900, 400) > 1500, "%f", q.Wait(900, 400))
	assert.Equal(t, q.Wait(300, 400), 0.0, "pieces with a later rank are not ahead")
}

// The engines process part of a long queue while the request is in earlier stages.
func TestQueueShrinksUntilRequestArrives(t *testing.T) {
	q := queue(100)
	assert.Assert(t, q.Wait(800, 0)-q.Wait(800, 500) > 450)
	assert.Assert(t, q.Wait(800, 10_000) < 100)
}

// largeResultsRequest returns a request with a stage of large results beside a chain of three stages.
func largeResultsRequest() *reach.Request {
	return &reach.Request{
		Stages: []table.Stage{
			{Pool: "a", ResultBytes: 1_500_000}, {Pool: "a"}, {Pool: "b", After: []int{1}}, {Pool: "b", After: []int{2}},
		},
		Pieces: []int{2, 1, 4, 10}, Done: make([]bool, 4), Slack: 2000, Left: 8000,
	}
}

// Each request of a burst has large results that stay in the memory of their engine
// until its other stages are done. If the large stage started at once, the engines would
// have no room for other pieces and answers would be late. The delayed stage must still
// end before the others.
func TestStageWithLargeResultsIsDelayed(t *testing.T) {
	free := func(string) *reach.Queue {
		return &reach.Queue{Bounds: bounds, Engines: 5, Free: 5, ResultMemory: 18_000_000}
	}
	r := largeResultsRequest()
	wait := r.StageDelay(0, free)
	assert.Assert(t, wait > 200 && wait < 500, "%d", wait)
	large := 234.0
	assert.Assert(t, float64(wait)+large < r.Remaining(free))
	r.Done[1], r.Done[2] = true, true
	assert.Equal(t, r.StageDelay(0, free), clock.Millis(0), "the remaining stage takes as long")
}

// A stage whose results are needed by others or are small must not be delayed, because
// that would only delay the answer.
func TestOnlyLargeResultsWithoutReaderAreDelayed(t *testing.T) {
	free := func(string) *reach.Queue {
		return &reach.Queue{Bounds: bounds, Engines: 5, Free: 5, ResultMemory: 18_000_000}
	}
	r := largeResultsRequest()
	assert.Equal(t, r.StageDelay(1, free), clock.Millis(0), "another stage reads the results")
	r.Stages[0].ResultBytes = 6000
	assert.Equal(t, r.StageDelay(0, free), clock.Millis(0), "small results")
	alone := largeResultsRequest()
	alone.Pieces = []int{2, 0, 0, 0}
	assert.Equal(t, alone.StageDelay(0, free), clock.Millis(0), "no other stage runs")
}

// More pieces arrive than the engines can process. A request that would miss its
// objective is refused before an engine works for it.
func TestOverloadIsRefusedBeforeTheFirstStage(t *testing.T) {
	r := chain()
	short := func(string) *reach.Queue { return queue(10) }
	long := func(string) *reach.Queue { return queue(300) }
	assert.Assert(t, r.Admissible(r.Remaining(short)))
	assert.Assert(t, !r.Admissible(r.Remaining(long)))
	assert.Assert(t, r.Excess(r.Remaining(long)) > 1000)
	// A request that has started continues while it can meet its deadline.
	assert.Assert(t, r.MeetsDeadline(r.Remaining(long)))
	r.Left = 2000
	assert.Assert(t, !r.MeetsDeadline(r.Remaining(long)))
}

func TestWaitIgnoresPiecesOfLaterRank(t *testing.T) {
	waiting := make([]int, len(reach.RankEdges)+1)
	waiting[reach.Class(2500)] = 500
	q := &reach.Queue{Bounds: bounds, Engines: 5, Queued: waiting}
	assert.Assert(t, q.Wait(800, 0) < 100, q.Wait(800, 0))
	assert.Assert(t, q.Wait(2600, 0) > 3000, q.Wait(2600, 0))
}

// Results fill the memory of the engines, so that calls hold fewer pieces than the bounds
// allow. The queue is then slower than the bounds suggest.
func TestSmallBatchesLengthenWait(t *testing.T) {
	full, small := queue(100), queue(100)
	small.BatchSize = 3
	assert.Assert(t, small.Wait(0, 0) > 2*full.Wait(0, 0))
	assert.Assert(t, (&reach.Queue{Bounds: bounds}).Wait(0, 0) > 1000)
}

func TestClass(t *testing.T) {
	for _, tt := range []struct {
		ahead clock.Millis
		want  int
	}{{-1, 0}, {0, 1}, {149, 1}, {150, 2}, {5000, len(reach.RankEdges)}} {
		assert.Equal(t, reach.Class(tt.ahead), tt.want, tt.ahead)
	}
}

func BenchmarkRemaining(b *testing.B) {
	r, q := chain(), queue(100)
	b.ReportAllocs()
	for b.Loop() {
		r.Remaining(func(string) *reach.Queue { return q })
	}
}

// The owner of a pool hangs while its queue is long. If its last report counted
// indefinitely, all processes would refuse every request for seconds, and because no
// process calls the owner any more, its failure would not be detected.
func TestQueueOfUnreachableOwnerExpires(t *testing.T) {
	q := queue(300)
	now := q.Wait(0, 0)
	q.Staleness = 500
	later := q.Wait(0, 0)
	assert.Assert(t, now-later > 450, "%f, then %f", now, later)
	q.Staleness = 10_000
	assert.Assert(t, q.Wait(0, 0) < 100)
}

// Guards against an estimate for the shards of a pool that differs from the estimate for
// the same engines with one queue.
func TestMergedShardsEqualOneQueue(t *testing.T) {
	one := queue(100)
	one.Queued = allClasses()
	var parts []*reach.Queue
	for range 5 {
		part := &reach.Queue{Bounds: bounds, Engines: 1, Queued: make([]int, len(reach.RankEdges)+1)}
		for class, pieces := range one.Queued {
			part.Queued[class] = pieces / 5
		}
		parts = append(parts, part)
	}
	merged := reach.Merge(parts)
	merged.Bounds = bounds
	for _, rank := range []clock.Millis{-100, 100, 700, 2600} {
		assert.Equal(t, merged.Wait(rank, 50), one.Wait(rank, 50))
	}
	assert.Equal(t, reach.Merge(nil).Engines, 0)
	parts[0].BatchSize, parts[0].Staleness = 4, 1000
	assert.Equal(t, reach.Merge(parts).BatchSize, 4.0)
	assert.Equal(t, reach.Merge(parts).Staleness, 200.0)
}

// allClasses returns counts with pieces in every class of rank.
func allClasses() []int {
	classes := make([]int, len(reach.RankEdges)+1)
	for i := range classes {
		classes[i] = 10 * i
	}
	return classes
}
