package owner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

func ExampleOf() {
	fmt.Println(owner.Of("rerank", nil) == "")
	fmt.Println(owner.Of("rerank", []string{"a", "b"}) == owner.Of("rerank", []string{"b", "a"}))
	// Output:
	// true
	// true
}

// A process dies and its pools need a new owner. If pools of the others moved
// too, all queues would be torn apart at once and callers would see a stall
// everywhere.
func TestOnlyPoolsOfTheLostProcessMove(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	left := []string{"a", "b", "d"}
	moved := 0
	for i := range 1000 {
		pool := fmt.Sprint("pool", i)
		before, after := owner.Of(pool, all), owner.Of(pool, left)
		if before != "c" {
			assert.Equal(t, before, after)
			continue
		}
		moved++
	}
	assert.Assert(t, moved > 150 && moved < 350, moved)
}
