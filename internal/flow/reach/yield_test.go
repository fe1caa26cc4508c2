package reach_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

// Requests of two priorities arrive, together above the capacity. Routes of lower priority
// reserve capacity while their admission share is close to that of all requests, and
// nothing once it is three quarters of that share. Otherwise their callers would get almost
// no capacity during a burst.
func TestLowPriorityReservesOnlyWhileServed(t *testing.T) {
	for _, tt := range []struct {
		name       string
		priority   int
		route, all float64
		want       float64
	}{
		{"highest priority", 0, 0.5, 1, 0},
		{"no load", 2, 1, 1, 0.2},
		{"same share as all, under load", 1, 0.6, 0.6, 0.1},
		{"larger share than all", 1, 0.9, 0.6, 0.1},
		{"slightly smaller share", 2, 0.7, 0.8, 0.1},
		{"three quarters", 2, 0.6, 0.8, 0},
		{"almost no share", 3, 0.1, 0.8, 0},
		{"negative priority", -4, 1, 1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := reach.ReservedShare(tt.priority, tt.route, tt.all)
			assert.Assert(t, got > tt.want-1e-9 && got < tt.want+1e-9, "%f", got)
		})
	}
}

func TestShareOfRecentAdmissions(t *testing.T) {
	var a reach.Admissions
	assert.Equal(t, a.Share(1), 1.0, "no requests counted")
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
	assert.Assert(t, a.Share(now+60*clock.Second) > 0.99, "the counts have decayed")
}

// A process that has just started refuses its first request. That alone must not mark the
// route as underserved.
func TestFirstRefusalHasLittleEffect(t *testing.T) {
	var a reach.Admissions
	a.Count(false, 1)
	assert.Assert(t, a.Share(1) > 0.75)
}
