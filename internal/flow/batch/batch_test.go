package batch_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
)

var bounds = batch.Bounds{Pieces: 10, CallTime: 200, PieceTime: 17}

const ampleBytes = 1 << 30

// engineSlot returns an engine with enough memory for all results.
func engineSlot(free int) batch.Slot {
	return batch.Slot{FreeBytes: ampleBytes, FreeEngines: free, AllowRetryFunc: always}
}

func always() bool { return true }

func newGroup(rank, pieces int) *batch.Group {
	return &batch.Group{Request: fmt.Sprint("r", rank), Count: pieces, Rank: clock.Millis(rank), NeededBy: 5000, Deadline: 10_000, ResultBytes: 1000}
}

func names(items []batch.Item) []string {
	var all []string
	for _, item := range items {
		all = append(all, fmt.Sprint(item.Group.Request, "/", item.Piece))
	}
	return all
}

func ExampleQueue_NextBatch() {
	var q batch.Queue
	q.Add(newGroup(30, 2))
	q.Add(newGroup(10, 1))
	fmt.Println(names(q.NextBatch(bounds, engineSlot(1), 0)), q.Pieces())
	// Output: [r10/0 r30/0 r30/1] 0
}

func TestQueuedPiecesAreDividedAmongFreeEngines(t *testing.T) {
	var q batch.Queue
	for i := range 6 {
		q.Add(newGroup(i, 1))
	}
	assert.Equal(t, len(q.NextBatch(bounds, engineSlot(3), 0)), 2)
	assert.Equal(t, len(q.NextBatch(bounds, engineSlot(2), 0)), 2)
	assert.Equal(t, len(q.NextBatch(bounds, engineSlot(1), 0)), 2)
}

// Guards against calls whose results exceed the memory of the engine, which holds
// them until the next stage has read them. Such a call fails piece by piece, and
// the failed pieces are charged and computed again.
func TestBatchFitsEngineMemory(t *testing.T) {
	var q batch.Queue
	big := newGroup(1, 8)
	big.ResultBytes = 1_500_000
	medium := newGroup(2, 2)
	medium.ResultBytes = 1_000_000
	small := newGroup(3, 2)
	q.Add(big)
	q.Add(medium)
	q.Add(small)
	// Small results are sent before the blocked big one. Medium ones aren't,
	// because they would use the memory that the big one needs.
	assert.DeepEqual(t, names(q.NextBatch(bounds, batch.Slot{FreeBytes: 4_600_000, FreeEngines: 1}, 0)), []string{"r1/0", "r1/1", "r1/2", "r3/0", "r3/1"})
	assert.Equal(t, q.Pieces(), 7)
}

// Guards against large results that are computed in another zone than the engine
// that reads them: the traffic between zones costs more than the request earns.
// Also guards against a group that waits for its zone beyond HoldUntil and misses
// its objective.
func TestGroupWaitsForEngineInItsZone(t *testing.T) {
	otherZone := batch.Slot{Zone: "b", FreeBytes: ampleBytes, FreeEngines: 2}
	ownZone := batch.Slot{Zone: "a", FreeBytes: ampleBytes, FreeEngines: 2}
	for _, tt := range []struct {
		name string
		slot batch.Slot
		now  clock.Millis
		want int
	}{
		{"other zone before HoldUntil", otherZone, 50, 0},
		{"other zone at HoldUntil", otherZone, 100, 2},
		{"own zone", ownZone, 50, 2},
	} {
		var q batch.Queue
		g := newGroup(1, 2)
		g.Zone, g.HoldUntil = "a", 100
		q.Add(g)
		assert.Equal(t, len(q.NextBatch(bounds, tt.slot, tt.now)), tt.want, tt.name)
	}
	for _, holdUnderLoad := range []bool{false, true} {
		var q batch.Queue
		large := newGroup(1, 8)
		large.Zone, large.HoldUntil, large.HoldUnderLoad = "a", 100, holdUnderLoad
		q.Add(large)
		assert.Equal(t, len(q.NextBatch(bounds, otherZone, 50)) == 0, holdUnderLoad)
	}
}

func TestGroupsThatMissTheirDeadlineAreDropped(t *testing.T) {
	var q batch.Queue
	late, inTime := newGroup(1, 2), newGroup(2, 1)
	late.Deadline = 1200
	q.Add(late)
	q.Add(inTime)
	dropped := q.DropTooLate(bounds, 1000)
	assert.Equal(t, len(dropped), 1)
	assert.Assert(t, dropped[0] == late)
	assert.Equal(t, q.Pieces(), 1)
}

func TestEachVisitsGroupsInOrderOfRank(t *testing.T) {
	var q batch.Queue
	q.Add(newGroup(20, 4))
	q.Add(newGroup(10, 3))
	var queued []int
	q.Each(func(g *batch.Group) { queued = append(queued, g.Queued()) })
	assert.DeepEqual(t, queued, []int{3, 4})
	assert.Equal(t, q.ResultBytes(5), int64(5000))
	assert.Equal(t, q.ResultBytes(10), int64(7000))
}

// Checks random sequences of calls to the queue: no piece is in two calls at once,
// no piece is lost, and Pieces returns the right count. Guards against a request
// that waits until its deadline because one of its pieces was lost.
func TestEachQueuedPieceIsSentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q batch.Queue
		sent := map[string]batch.Item{}
		queued := map[string]bool{}
		groups := []*batch.Group{}
		nameOf := func(item batch.Item) string { return fmt.Sprint(item.Group.ID, "/", item.Piece) }
		for range 60 {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				g := newGroup(rapid.IntRange(0, 5).Draw(t, "rank"), rapid.IntRange(1, 12).Draw(t, "count"))
				g.ID = uint64(len(groups))
				groups = append(groups, g)
				q.Add(g)
				for piece := range g.Count {
					queued[nameOf(batch.Item{Group: g, Piece: piece})] = true
				}
			case 1:
				for _, item := range q.NextBatch(bounds, drawSlot(t), 0) {
					if !queued[nameOf(item)] {
						t.Fatalf("piece %s was sent but is not queued", nameOf(item))
					}
					delete(queued, nameOf(item))
					sent[nameOf(item)] = item
				}
			case 2:
				for key, item := range sent {
					delete(sent, key)
					q.Requeue(item, 0)
					queued[key] = true
					break
				}
			case 3:
				if len(groups) == 0 {
					continue
				}
				g := groups[rapid.IntRange(0, len(groups)-1).Draw(t, "group")]
				q.Drop(g)
				for piece := range g.Count {
					delete(queued, nameOf(batch.Item{Group: g, Piece: piece}))
					delete(sent, nameOf(batch.Item{Group: g, Piece: piece}))
				}
			}
			if q.Pieces() != len(queued) {
				t.Fatalf("Pieces() = %d, want %d", q.Pieces(), len(queued))
			}
		}
		for q.Pieces() > 0 {
			for _, item := range q.NextBatch(bounds, engineSlot(1), 0) {
				delete(queued, nameOf(item))
			}
		}
		if len(queued) > 0 {
			t.Fatalf("%d queued pieces were never sent", len(queued))
		}
	})
}

// drawSlot returns a slot that randomly allows or refuses retries.
func drawSlot(t *rapid.T) batch.Slot {
	s := engineSlot(rapid.IntRange(1, 4).Draw(t, "free"))
	allowed := rapid.Bool().Draw(t, "again")
	s.AllowRetryFunc = func() bool { return allowed }
	return s
}

// Guards against an overload in which late groups are sent first and make all
// others late too. Deferred groups keep their order among each other.
func TestLateGroupsAreDeferred(t *testing.T) {
	var q batch.Queue
	for rank, neededBy := range []clock.Millis{100, 200, 900} {
		g := newGroup(rank, 1)
		g.NeededBy = neededBy
		q.Add(g)
	}
	q.DeferLate(bounds, 500)
	q.DeferLate(bounds, 500)
	assert.Equal(t, q.Pieces(), 3)
	assert.DeepEqual(t, names(q.NextBatch(bounds, engineSlot(1), 500)), []string{"r2/0", "r0/0", "r1/0"})
}

// Guards against requests that fail although engines are free: an engine refuses a
// call while the retry budget is empty, for example just after a change of owner.
// The requeued pieces wait for the budget, and pieces that were never sent go
// first.
func TestRequeuedPieceWaitsForRetryBudget(t *testing.T) {
	var q batch.Queue
	q.Add(newGroup(1, 2))
	for _, item := range q.NextBatch(bounds, engineSlot(1), 0) {
		q.Requeue(item, 0)
	}
	q.Add(newGroup(2, 1))
	noBudget := engineSlot(1)
	noBudget.AllowRetryFunc = func() bool { return false }
	assert.DeepEqual(t, names(q.NextBatch(bounds, noBudget, 100)), []string{"r2/0"})
	assert.Equal(t, len(q.DropStuck(100)), 0)
	assert.DeepEqual(t, names(q.NextBatch(bounds, engineSlot(1), 200)), []string{"r1/1", "r1/0"})
}

// Guards against a request that waits until its deadline for a retry budget that
// stays empty. It must fail early enough for its caller to try again.
func TestPieceWithoutRetryBudgetIsDropped(t *testing.T) {
	var q batch.Queue
	q.Add(newGroup(1, 2))
	q.Add(newGroup(2, 1))
	for _, item := range q.NextBatch(bounds, engineSlot(1), 0) {
		if item.Group.Rank == 1 {
			q.Requeue(item, 0)
		}
	}
	stuck := q.DropStuck(1000)
	assert.Equal(t, len(stuck), 1)
	assert.Equal(t, stuck[0].Rank, clock.Millis(1))
	assert.Equal(t, q.Pieces(), 0)
}

func BenchmarkNextBatch(b *testing.B) {
	b.ReportAllocs()
	var q batch.Queue
	for i := range 100 {
		q.Add(newGroup(i, 3))
	}
	for b.Loop() {
		for _, item := range q.NextBatch(bounds, engineSlot(1), 0) {
			q.Requeue(item, 0)
		}
	}
}
