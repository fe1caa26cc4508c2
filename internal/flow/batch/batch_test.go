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

const plenty = 1 << 30

// slot is an engine with room for all results.
func slot(free int) batch.Slot {
	return batch.Slot{FreeBytes: plenty, FreeEngines: free, AllowRetryFunc: always}
}

func always() bool { return true }

func group(rank, pieces int) *batch.Group {
	return &batch.Group{Request: fmt.Sprint("r", rank), Count: pieces, Rank: clock.Millis(rank), NeededBy: 5000, Deadline: 10_000, ResultBytes: 1000}
}

func taken(items []batch.Item) []string {
	var all []string
	for _, item := range items {
		all = append(all, fmt.Sprint(item.Group.Request, "/", item.Piece))
	}
	return all
}

func ExampleQueue_NextBatch() {
	var q batch.Queue
	q.Add(group(30, 2))
	q.Add(group(10, 1))
	fmt.Println(taken(q.NextBatch(bounds, slot(1), 0)), q.Pieces())
	// Output: [r10/0 r30/0 r30/1] 0
}

func TestWaitingPiecesAreDividedAmongFreeEngines(t *testing.T) {
	var q batch.Queue
	for i := range 6 {
		q.Add(group(i, 1))
	}
	assert.Equal(t, len(q.NextBatch(bounds, slot(3), 0)), 2)
	assert.Equal(t, len(q.NextBatch(bounds, slot(2), 0)), 2)
	assert.Equal(t, len(q.NextBatch(bounds, slot(1), 0)), 2)
}

// Results lie in an engine's small memory until the next stage has read them.
// A call that overfills it fails piece by piece, and each of them is paid for
// and made again.
func TestRoomForResultsIsKept(t *testing.T) {
	var q batch.Queue
	big := group(1, 8)
	big.ResultBytes = 1_500_000
	medium := group(2, 2)
	medium.ResultBytes = 1_000_000
	small := group(3, 2)
	q.Add(big)
	q.Add(medium)
	q.Add(small)
	// Small results pass the big one that waits for room, medium ones don't:
	// they would take the room that it waits for.
	assert.DeepEqual(t, taken(q.NextBatch(bounds, batch.Slot{FreeBytes: 4_600_000, FreeEngines: 1}, 0)), []string{"r1/0", "r1/1", "r1/2", "r3/0", "r3/1"})
	assert.Equal(t, q.Pieces(), 7)
}

// Results of megabytes are read by an engine in one availability zone. Made in
// another one they cross zones, which costs more than the request is worth; but
// a request that waits for long misses its objective.
func TestGroupsWaitAWhileForTheirZone(t *testing.T) {
	far := batch.Slot{Zone: "b", FreeBytes: plenty, FreeEngines: 2}
	near := batch.Slot{Zone: "a", FreeBytes: plenty, FreeEngines: 2}
	for _, tt := range []struct {
		name string
		slot batch.Slot
		now  clock.Millis
		want int
	}{
		{"far", far, 50, 0},
		{"far, waited enough", far, 100, 2},
		{"near", near, 50, 2},
	} {
		var q batch.Queue
		g := group(1, 2)
		g.Zone, g.HoldUntil = "a", 100
		q.Add(g)
		assert.Equal(t, len(q.NextBatch(bounds, tt.slot, tt.now)), tt.want, tt.name)
	}
	for _, firm := range []bool{false, true} {
		var q batch.Queue
		crowd := group(1, 8)
		crowd.Zone, crowd.HoldUntil, crowd.HoldUnderLoad = "a", 100, firm
		q.Add(crowd)
		assert.Equal(t, len(q.NextBatch(bounds, far, 50)) == 0, firm)
	}
}

func TestLateGroupsAreTakenOut(t *testing.T) {
	var q batch.Queue
	late, fine := group(1, 2), group(2, 1)
	late.Deadline = 1200
	q.Add(late)
	q.Add(fine)
	dropped := q.DropTooLate(bounds, 1000)
	assert.Equal(t, len(dropped), 1)
	assert.Assert(t, dropped[0] == late)
	assert.Equal(t, q.Pieces(), 1)
}

func TestEachGoesInTheOrderOfRank(t *testing.T) {
	var q batch.Queue
	q.Add(group(20, 4))
	q.Add(group(10, 3))
	var waiting []int
	q.Each(func(g *batch.Group) { waiting = append(waiting, g.Queued()) })
	assert.DeepEqual(t, waiting, []int{3, 4})
	assert.Equal(t, q.ResultBytes(5), int64(5000))
	assert.Equal(t, q.ResultBytes(10), int64(7000))
}

// Whatever is added, taken, given back and dropped: no piece is handed out
// twice at a time, none is forgotten, and the count is right. A piece that is
// forgotten leaves its caller waiting until the deadline.
func TestNoPieceIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q batch.Queue
		out := map[string]batch.Item{}
		waiting := map[string]bool{}
		groups := []*batch.Group{}
		name := func(item batch.Item) string { return fmt.Sprint(item.Group.ID, "/", item.Piece) }
		for range 60 {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				g := group(rapid.IntRange(0, 5).Draw(t, "rank"), rapid.IntRange(1, 12).Draw(t, "count"))
				g.ID = uint64(len(groups))
				groups = append(groups, g)
				q.Add(g)
				for piece := range g.Count {
					waiting[name(batch.Item{Group: g, Piece: piece})] = true
				}
			case 1:
				for _, item := range q.NextBatch(bounds, drawSlot(t), 0) {
					if !waiting[name(item)] {
						t.Fatalf("%s was handed out and did not wait", name(item))
					}
					delete(waiting, name(item))
					out[name(item)] = item
				}
			case 2:
				for key, item := range out {
					delete(out, key)
					q.Requeue(item, 0)
					waiting[key] = true
					break
				}
			case 3:
				if len(groups) == 0 {
					continue
				}
				g := groups[rapid.IntRange(0, len(groups)-1).Draw(t, "group")]
				q.Drop(g)
				for piece := range g.Count {
					delete(waiting, name(batch.Item{Group: g, Piece: piece}))
					delete(out, name(batch.Item{Group: g, Piece: piece}))
				}
			}
			if q.Pieces() != len(waiting) {
				t.Fatalf("queue counts %d pieces, %d wait", q.Pieces(), len(waiting))
			}
		}
		for q.Pieces() > 0 {
			for _, item := range q.NextBatch(bounds, slot(1), 0) {
				delete(waiting, name(item))
			}
		}
		if len(waiting) > 0 {
			t.Fatalf("%d pieces forgotten", len(waiting))
		}
	})
}

// drawSlot returns a slot where repeats are allowed or not.
func drawSlot(t *rapid.T) batch.Slot {
	s := slot(rapid.IntRange(1, 4).Draw(t, "free"))
	again := rapid.Bool().Draw(t, "again")
	s.AllowRetryFunc = func() bool { return again }
	return s
}

// More work waits than the engines do, and what is first is late already. It
// yields to what can still be in time, and keeps its order among the late.
func TestLateWorkYields(t *testing.T) {
	var q batch.Queue
	for rank, wanted := range []clock.Millis{100, 200, 900} {
		g := group(rank, 1)
		g.NeededBy = wanted
		q.Add(g)
	}
	q.DeferLate(bounds, 500)
	q.DeferLate(bounds, 500)
	assert.Equal(t, q.Pieces(), 3)
	assert.DeepEqual(t, taken(q.NextBatch(bounds, slot(1), 500)), []string{"r2/0", "r0/0", "r1/0"})
}

// An engine refuses a call just when the budget for repeats is spent, because
// the pool has had its owner for a moment only. Failed at once, all requests of
// the call would be refused although engines are free; they wait for the budget
// instead, and work that was never sent goes first.
func TestPieceThatMayNotBeRepeatedYetWaits(t *testing.T) {
	var q batch.Queue
	q.Add(group(1, 2))
	for _, item := range q.NextBatch(bounds, slot(1), 0) {
		q.Requeue(item, 0)
	}
	q.Add(group(2, 1))
	spent := slot(1)
	spent.AllowRetryFunc = func() bool { return false }
	assert.DeepEqual(t, taken(q.NextBatch(bounds, spent, 100)), []string{"r2/0"})
	assert.Equal(t, len(q.DropStuck(100)), 0)
	assert.DeepEqual(t, taken(q.NextBatch(bounds, slot(1), 200)), []string{"r1/1", "r1/0"})
}

// The budget does not come back. The caller is told while there is still time
// to come back, and not at its deadline.
func TestPieceThatWaitsTooLongForARepeatIsGivenUp(t *testing.T) {
	var q batch.Queue
	q.Add(group(1, 2))
	q.Add(group(2, 1))
	for _, item := range q.NextBatch(bounds, slot(1), 0) {
		if item.Group.Rank == 1 {
			q.Requeue(item, 0)
		}
	}
	stuck := q.DropStuck(1000)
	assert.Equal(t, len(stuck), 1)
	assert.Equal(t, stuck[0].Rank, clock.Millis(1))
	assert.Equal(t, q.Pieces(), 0)
}

func BenchmarkTake(b *testing.B) {
	b.ReportAllocs()
	var q batch.Queue
	for i := range 100 {
		q.Add(group(i, 3))
	}
	for b.Loop() {
		for _, item := range q.NextBatch(bounds, slot(1), 0) {
			q.Requeue(item, 0)
		}
	}
}
