package blame_test

import (
	"fmt"
	"testing"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
)

// BenchmarkFirstEvent is what the record of parts adds to a request until its first event.
func BenchmarkFirstEvent(b *testing.B) {
	tracker := blame.New()
	for i := range 100 {
		crashed(tracker, "e", clock.Millis(i), parts(fmt.Sprint("x", i)))
	}
	for i := range b.N {
		all := parts("all", "popular", fmt.Sprint("rare", i%64))
		tracker.Check(all, v1, clock.Millis(i))
		tracker.RecordAnswer("e", v1, all, clock.Millis(i))
	}
}
