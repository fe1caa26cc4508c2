package fair_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/guard/fair"
)

func item(organisation string, cost int64, priority int) fair.Item[int] {
	return fair.Item[int]{Organisation: organisation, Weight: 1, Cost: cost, Priority: priority, Expires: 1 << 40}
}

// A large organisation pushes items continuously while a small one pushes few. In
// a FIFO queue, the small one would wait behind all items of the large one.
func TestLargeOrganisationDoesNotStarveSmallOne(t *testing.T) {
	cases := []struct {
		name      string
		largeCost int64
		weight    int
		wantSmall int
	}{
		{"many cheap calls", 1, 1, 50},
		{"few costly calls", 10, 1, 90},
		{"small organisation has double weight", 1, 2, 66},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := fair.New[int](64)
			small := 0
			for range 100 {
				for range 30 {
					q.Push(item("large", tc.largeCost, 0))
				}
				for range 4 {
					smallItem := item("small", 1, 0)
					smallItem.Weight = tc.weight
					q.Push(smallItem)
				}
				next, ok := q.Pop()
				assert.Assert(t, ok)
				if next.Organisation == "small" {
					small++
				}
			}
			assert.Assert(t, small >= tc.wantSmall-5 && small <= tc.wantSmall+5, "the small organisation got %d of 100 items", small)
		})
	}
}

func TestWorkThatRanWithoutQueueingIsCharged(t *testing.T) {
	q := fair.New[int](8)
	for range 5 {
		q.Charge("large", 1, 1)
	}
	q.Push(item("large", 1, 0))
	q.Push(item("small", 1, 0))
	next, _ := q.Pop()
	assert.Equal(t, next.Organisation, "small")
}

// Random pushes, pops and expiries: the queue stays within its bound, no item is
// lost or returned twice, and no item runs before one of higher priority.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fair.New[int](8)
		priorities := map[int]int{}
		var cost int64
		remove := func(i fair.Item[int]) {
			_, known := priorities[i.Work]
			assert.Assert(t, known)
			delete(priorities, i.Work)
			cost -= i.Cost
		}
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if next, ok := q.Pop(); ok {
					for _, priority := range priorities {
						assert.Assert(t, next.Priority >= priority)
					}
					remove(next)
				}
			case 1:
				q.Expire(0, 50, remove)
			default:
				pushed := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					rapid.Int64Range(1, 9).Draw(t, "cost"), rapid.IntRange(0, 2).Draw(t, "priority"))
				pushed.Work = step
				if rapid.Bool().Draw(t, "short") {
					pushed.Expires = 50
				}
				evicted, hasEvicted, fits := q.Push(pushed)
				if fits {
					priorities[step] = pushed.Priority
					cost += pushed.Cost
				}
				if hasEvicted {
					remove(evicted)
				}
			}
			assert.Equal(t, q.Len(), len(priorities))
			assert.Equal(t, q.Cost(), cost)
			assert.Assert(t, q.Len() <= 8)
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	q := fair.New[int](128)
	for range 100 {
		q.Push(item("a", 1, 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(item("b", 2, 0))
		q.Pop()
	}
}

// Guards against memory that grows with each organisation that has queued work once.
func TestFinishTimesOfQueuedWorkAreBounded(t *testing.T) {
	q := fair.New[int](64)
	for i := range 3 * 4096 {
		q.Push(fair.Item[int]{Organisation: fmt.Sprint(i), Weight: 1, Cost: 1, Work: i})
		if i%2 == 0 {
			q.Pop()
		}
	}
	assert.Assert(t, q.Organisations() <= 4096, q.Organisations())
}
