package gate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Guards against requests that get no answer because a process that is being stopped has stood still, and lets them
// wait until its end instead of refusing them.
func TestProcessThatIsStoppedRefusesAtOnceAfterItStoodStill(t *testing.T) {
	now := clock.Millis(1)
	c := clock.New(clock.WithNow(func() clock.Millis { return now }), clock.WithAfter(func(span clock.Millis) (<-chan struct{}, func()) {
		now += span
		expired := make(chan struct{})
		close(expired)
		return expired, func() {}
	}))
	g := &Gate{Settings: Settings{Clock: c, CatchingUp: func() bool { return true }}}
	g.RefuseNew()
	g.awaitReady(t.Context())
	assert.Equal(t, now, clock.Millis(1), "the request waits")
}
