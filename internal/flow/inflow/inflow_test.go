package inflow_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

func ExampleTracker() {
	book := inflow.New()
	work := &inflow.Work{Pool: "rerank", Pieces: 10, Rank: 1500}
	book.Add(work)
	fmt.Println(book.PoolPieces("rerank", 1000)[reach.Class(500)])
	book.Remove(work)
	fmt.Println(book.PoolPieces("rerank", 1000))
	// Output:
	// 10
	// []
}

func TestLoadsOfProcessesAreAdded(t *testing.T) {
	loads := inflow.Add(nil, inflow.Load{Pool: "a", Pieces: []int{1, 2}})
	loads = inflow.Add(loads, inflow.Load{Pool: "b", Pieces: []int{4}})
	loads = inflow.Add(loads, inflow.Load{Pool: "a", Pieces: []int{3, 0, 5}})
	assert.DeepEqual(t, inflow.PoolPieces(loads, "a")[:3], []int{4, 2, 5})
	assert.DeepEqual(t, inflow.PoolPieces(loads, "b")[:3], []int{4, 0, 0})
	assert.Assert(t, inflow.PoolPieces(loads, "c") == nil)
}

// A process of the next release counts in more classes than this one. Its work
// must count all the same, or this one admits too much while hosts are updated.
func TestUnknownClassesCountAmongTheLast(t *testing.T) {
	more := make([]int, len(reach.RankEdges)+5)
	more[len(more)-1] = 7
	loads := inflow.Add(nil, inflow.Load{Pool: "a", Pieces: more})
	pieces := inflow.PoolPieces(loads, "a")
	assert.Equal(t, pieces[len(pieces)-1], 7)
}
