package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a play of returns that takes late requests for timely ones, or requests by what a return has left in force for
// late ones.
func TestLateRequestsAreToldFromThoseByContentsInForce(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	version := func(target int, acknowledged, undone float64) *returnVersion {
		v := &returnVersion{at: at(acknowledged)}
		v.targets[0] = target
		if undone > 0 {
			v.undone = at(undone)
		}
		return v
	}
	copied := version(0, 0, 0)
	copied.again = []returnSpan{{from: at(6), to: at(10)}}
	long := []*returnVersion{copied, version(1, 2, 6), version(2, 10, 0)}
	short := []*returnVersion{version(0, 0, 0), version(1, 2, 3), version(2, 10, 0)}
	for _, tt := range []struct {
		name     string
		versions []*returnVersion
		target   int
		sent     float64
		want     verdict
	}{
		{"a version that is in force", long, 2, 20, decidedInTime},
		{"the version before, within the bound", long, 0, 3.9, decidedInTime},
		{"the version before, later", long, 0, 4.1, decidedLate},
		{"the copy's version while the store has it again", long, 0, 8, decidedByCopy},
		{"the copy's version after it was replaced", long, 0, 12.1, decidedLate},
		{"a lost version until the next one", long, 1, 11.9, decidedInTime},
		{"a lost version, later", long, 1, 12.1, decidedLate},
		{"the version before one that was lost at once", short, 0, 9, decidedInTime},
		{"the version before one that was lost at once, later", short, 0, 12.1, decidedLate},
		{"contents that the store never had", long, 3, 3, decidedNever},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := returnBook{versions: tt.versions}
			got, _ := b.judge(returnProbe{service: returnTarget(tt.target), sent: at(tt.sent), ended: at(tt.sent + 0.1)})
			assert.Equal(t, got, tt.want)
		})
	}
}
