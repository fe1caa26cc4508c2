package owner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

// runs returns the first incarnation of each process.
func runs(names ...string) []owner.Process {
	var all []owner.Process
	for _, name := range names {
		all = append(all, owner.Process{Name: name, Key: name + "/1"})
	}
	return all
}

func ExampleOf() {
	fmt.Println(owner.Of("rerank", nil) == "")
	fmt.Println(owner.Of("rerank", runs("a", "b")) == owner.Of("rerank", runs("b", "a")))
	// Output:
	// true
	// true
}

// Guards against pools of live processes that move when another process ends. All
// queues would be interrupted at once and callers would wait everywhere.
func TestOnlyPoolsOfTheLostProcessMove(t *testing.T) {
	all := runs("a", "b", "c", "d")
	remaining := runs("a", "b", "d")
	moved := 0
	for i := range 1000 {
		pool := fmt.Sprint("pool", i)
		before, after := owner.Of(pool, all), owner.Of(pool, remaining)
		if before != "c" {
			assert.Equal(t, before, after)
			continue
		}
		moved++
	}
	assert.Assert(t, moved > 150 && moved < 350, moved)
}

// Guards against a restarted process that takes back the pools that it owned before.
// In a rolling restart, each pool would move twice per restart of its owner, and
// callers would wait twice.
func TestRestartedProcessDoesNotRegainItsPools(t *testing.T) {
	before, without := runs("a", "b", "c", "d"), runs("a", "b", "d")
	restarted := append(runs("a", "b", "d"), owner.Process{Name: "c", Key: "c/2"})
	owned, returned := 0, 0
	for i := range 1000 {
		pool := fmt.Sprint("pool", i)
		if owner.Of(pool, before) != "c" {
			continue
		}
		owned++
		if owner.Of(pool, restarted) != owner.Of(pool, without) {
			returned++
		}
	}
	assert.Assert(t, returned < owned/2, "%d of %d", returned, owned)
}

// Guards against processes on small hosts that own as many pools as others, so that
// their own callers wait while they work for all processes.
func TestOnlyEligibleProcessesOwn(t *testing.T) {
	mixed := runs("a", "b", "c", "d")
	for i, capacity := range []float64{0.144, 0.8, 0.5, 0.144} {
		mixed[i].Capacity = capacity
	}
	counts := map[string]int{}
	for i := range 1000 {
		counts[owner.Of(fmt.Sprint("pool", i), mixed)]++
	}
	assert.Assert(t, counts["b"] > 300 && counts["c"] > 300, "%v", counts)
	assert.Equal(t, counts["b"]+counts["c"], 1000)
	weak := runs("a", "d")
	assert.Assert(t, owner.Of("pool", weak) != "", "a pool always has an owner")
}
