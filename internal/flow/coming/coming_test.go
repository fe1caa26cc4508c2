package coming_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/flow/coming"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

func ExampleBook() {
	book := coming.New()
	work := &coming.Work{Pool: "rerank", Pieces: 10, Rank: 1500}
	book.Add(work)
	fmt.Println(book.Of("rerank", 1000)[reach.Class(500)])
	book.Remove(work)
	fmt.Println(book.Of("rerank", 1000))
	// Output:
	// 10
	// []
}

func TestLoadsOfProcessesAreAdded(t *testing.T) {
	loads := coming.Add(nil, coming.Load{Pool: "a", Pieces: []int{1, 2}})
	loads = coming.Add(loads, coming.Load{Pool: "b", Pieces: []int{4}})
	loads = coming.Add(loads, coming.Load{Pool: "a", Pieces: []int{3, 0, 5}})
	assert.DeepEqual(t, coming.Of(loads, "a")[:3], []int{4, 2, 5})
	assert.DeepEqual(t, coming.Of(loads, "b")[:3], []int{4, 0, 0})
	assert.Assert(t, coming.Of(loads, "c") == nil)
}

// A process of the next release counts in more classes than this one. Its work
// must count all the same, or this one admits too much while hosts are updated.
func TestUnknownClassesCountAmongTheLast(t *testing.T) {
	more := make([]int, len(reach.Edges)+5)
	more[len(more)-1] = 7
	loads := coming.Add(nil, coming.Load{Pool: "a", Pieces: more})
	pieces := coming.Of(loads, "a")
	assert.Equal(t, pieces[len(pieces)-1], 7)
}
