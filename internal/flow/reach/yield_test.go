package reach_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

// Requests of two priorities come, together more than engines do. The less
// urgent ones leave room as long as they are begun nearly as often as all, and
// none once they are begun three quarters as often: their callers would get next
// to nothing for as long as the burst lasts.
func TestLowPrioritiesYieldOnlyWhileTheyAreServed(t *testing.T) {
	for _, tt := range []struct {
		name       string
		priority   int
		route, all float64
		want       float64
	}{
		{"the most urgent", 0, 0.5, 1, 0},
		{"calm", 2, 1, 1, 0.2},
		{"as often as all, under load", 1, 0.6, 0.6, 0.1},
		{"more often than all", 1, 0.9, 0.6, 0.1},
		{"a little less", 2, 0.7, 0.8, 0.1},
		{"three quarters", 2, 0.6, 0.8, 0},
		{"next to nothing", 3, 0.1, 0.8, 0},
		{"a priority that makes no sense", -4, 1, 1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := reach.ReservedShare(tt.priority, tt.route, tt.all)
			assert.Assert(t, got > tt.want-1e-9 && got < tt.want+1e-9, "%f", got)
		})
	}
}

func TestShareOfRequestsBegunLately(t *testing.T) {
	var a reach.Admissions
	assert.Equal(t, a.Share(1), 1.0, "nothing is known")
	now := clock.Millis(1)
	for range 100 {
		now += 50
		a.Count(false, now)
	}
	assert.Assert(t, a.Share(now) < 0.1, "%f", a.Share(now))
	for range 100 {
		now += 50
		a.Count(true, now)
	}
	assert.Assert(t, a.Share(now) > 0.6, "%f", a.Share(now))
	assert.Assert(t, a.Share(now+60*clock.Second) > 0.99, "it is long ago")
}

// A process that has just started refuses its first request. That is not yet a
// sign that a route is held back.
func TestFirstRefusalDecidesLittle(t *testing.T) {
	var a reach.Admissions
	a.Count(false, 1)
	assert.Assert(t, a.Share(1) > 0.75)
}
