package drain_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/drain"
)

// Operators evacuate a zone and disable an endpoint, and then undo only one of the
// two. The agent must not accept work while the other cause is active.
func TestWorkIsRefusedUntilAllCausesEnd(t *testing.T) {
	var d drain.Drain
	d.Set(drain.CauseZone, true)
	d.Set(drain.CauseEndpoint, true)
	assert.Equal(t, d.Reason(), fault.ZoneEvacuated)
	d.Set(drain.CauseZone, false)
	assert.Equal(t, d.Reason(), fault.Leaving)
	d.Set(drain.CauseEndpoint, false)
	assert.Equal(t, d.Reason(), fault.Reason(""))
}

func TestDrainProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d drain.Drain
		leaving := false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			cause := drain.Cause(rapid.IntRange(0, int(drain.CauseFailing)).Draw(t, "cause"))
			active := rapid.Bool().Draw(t, "holds")
			d.Set(cause, active)
			leaving = leaving || (cause == drain.CauseLeaving && active)
			anyActive := false
			for otherCause := drain.CauseLeaving; otherCause <= drain.CauseFailing; otherCause++ {
				anyActive = anyActive || d.Has(otherCause)
			}
			assert.Equal(t, d.Reason() != "", anyActive)
			assert.Assert(t, !leaving || d.Reason() == fault.Leaving)
		}
	})
}
