package extra_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/flow/extra"
)

// A whole zone goes dark and every process sends its requests once more. All of
// them together must stay within the bound, or the endpoints that are left are
// overrun by repeats.
func TestAllProcessesTogetherStayWithinTheBounds(t *testing.T) {
	const processes, requests = 26, 100
	bounds := extra.Bounds{Share: 0.2, Spare: 92}
	spent := 0
	for range processes {
		b := extra.New(func() extra.Bounds { return bounds }, func() int { return processes })
		for range requests {
			b.Earn("models")
			if b.Take("models") {
				spent++
			}
		}
	}
	assert.Assert(t, spent > 0)
	assert.Assert(t, float64(spent) <= bounds.Share*processes*requests+bounds.Spare, "%d", spent)
}

func TestPoolsDoNotShareABudget(t *testing.T) {
	b := extra.New(func() extra.Bounds { return extra.Bounds{Share: 0.2, Spare: 2} }, func() int { return 1 })
	assert.Assert(t, b.Take("a"))
	assert.Assert(t, !b.Take("a"))
	assert.Assert(t, b.Take("b"))
}
