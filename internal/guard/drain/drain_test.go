package drain_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/drain"
)

// Two operators take a zone and an endpoint out, and one returns: the agent
// must not take work again while the other reason still holds.
func TestOneReasonGoneIsNotAllGone(t *testing.T) {
	var d drain.Drain
	d.Set(drain.CauseZone, true)
	d.Set(drain.CauseEndpoint, true)
	assert.Equal(t, d.Reason(), fault.ZoneLeft)
	d.Set(drain.CauseZone, false)
	assert.Equal(t, d.Reason(), fault.Leaving)
	d.Set(drain.CauseEndpoint, false)
	assert.Equal(t, d.Reason(), fault.Reason(""))
}

func TestDrainProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d drain.Drain
		left := false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			cause := drain.Cause(rapid.IntRange(0, int(drain.CauseFailing)).Draw(t, "cause"))
			holds := rapid.Bool().Draw(t, "holds")
			d.Set(cause, holds)
			left = left || (cause == drain.CauseLeaving && holds)
			some := false
			for one := drain.CauseLeaving; one <= drain.CauseFailing; one++ {
				some = some || d.Has(one)
			}
			assert.Equal(t, d.Reason() != "", some)
			assert.Assert(t, !left || d.Reason() == fault.Leaving)
		}
	})
}
