package extra_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/extra"
)

// Guards against an overload of the remaining endpoints when an availability zone
// fails and every process sends its requests a second time.
func TestAllProcessesTogetherStayWithinTheBounds(t *testing.T) {
	const processes, requests = 26, 100
	bounds := extra.Bounds{Share: 0.2, Base: 92}
	spent := 0
	for range processes {
		b := extra.New(clock.New(), func() extra.Bounds { return bounds }, func() int { return processes })
		for range requests {
			b.Earn("models")
			if b.Take("models") {
				spent++
			}
		}
	}
	assert.Assert(t, spent > 0)
	assert.Assert(t, float64(spent) <= bounds.Share*processes*requests+bounds.Base, "%d", spent)
}

func TestPoolsHaveSeparateBudgets(t *testing.T) {
	b := extra.New(clock.New(), func() extra.Bounds { return extra.Bounds{Share: 0.2, Base: 2} }, func() int { return 1 })
	assert.Assert(t, b.Take("a"))
	assert.Assert(t, !b.Take("a"))
	assert.Assert(t, b.Take("b"))
}

// Guards against a process that can't repeat any call because it has owned a pool
// for a few seconds only and has hardly counted any request. The base allowance is
// refilled with time, and no window exceeds it.
func TestBaseAllowanceIsRefilledWithinBounds(t *testing.T) {
	fake := clock.NewFake(0)
	bounds := extra.Bounds{Base: 40, Window: 10 * clock.Second}
	b := extra.New(fake.Clock(), func() extra.Bounds { return bounds }, func() int { return 2 })
	spent := make([]int, 30)
	for second := range spent {
		for b.Take("encode") {
			spent[second]++
		}
		fake.Advance(clock.Second)
	}
	total := 0
	for second := range spent {
		total += spent[second]
		if second >= 10 {
			total -= spent[second-10]
			assert.Assert(t, total >= 4 && total <= 20, "%d in the window before second %d", total, second)
		}
	}
}

// Guards against a process that saves up repeats while nothing is sent and then spends far
// more than its part of the bounds in one window.
func TestIdleTimeSavesUpNoMoreThanTheBurst(t *testing.T) {
	fake := clock.NewFake(0)
	bounds := extra.Bounds{Base: 40, Window: 10 * clock.Second}
	b := extra.New(fake.Clock(), func() extra.Bounds { return bounds }, func() int { return 2 })
	b.Take("encode")
	fake.Advance(clock.Hour)
	spent := 0
	for b.Take("encode") {
		spent++
	}
	assert.Assert(t, spent >= 5 && spent <= 10, spent)
}

// Guards against a process that keeps the part of the bounds that it had in a smaller
// fleet.
func TestPartOfTheBoundsFollowsTheFleet(t *testing.T) {
	fake, processes := clock.NewFake(0), 1
	bounds := extra.Bounds{Base: 40, Window: 10 * clock.Second}
	b := extra.New(fake.Clock(), func() extra.Bounds { return bounds }, func() int { return processes })
	b.Take("encode")
	fake.Advance(clock.Hour)
	assert.Assert(t, b.Take("encode"))
	processes = 20
	spent := 0
	for b.Take("encode") {
		spent++
	}
	assert.Assert(t, spent <= 1, spent)
}
