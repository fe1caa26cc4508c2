package shed_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/shed"
)

var (
	large = shed.Key{Pipeline: "p", Organisation: "large"}
	small = shed.Key{Pipeline: "p", Organisation: "small"}
)

// second lets ten requests of an organisation end, some of them lost.
func second(s *shed.Shedder, at clock.Millis, key shed.Key, lost int) {
	for i := range 10 {
		s.Ended(at, key, i < lost)
	}
}

// Later stages refuse half of what a large organisation sends. Its next
// requests must not all spend the early stages' engine time, and those of an
// organisation that loses nothing go through.
func TestLossAtLaterStagesShedsAtTheStart(t *testing.T) {
	s := shed.New()
	for at := clock.Millis(0); at < 10*clock.Second; at += clock.Second {
		second(s, at, large, 5)
		second(s, at, small, 0)
	}
	now := 10 * clock.Second
	assert.Assert(t, !s.Admit(now, large, 0.5))
	assert.Assert(t, s.Admit(now, large, 0.01))
	assert.Assert(t, s.Admit(now, small, 0.99))
}

// Guards against requests that are refused because one before them met a stage whose
// endpoints were just starting: a single loss is no load.
func TestOneLossShedsNothing(t *testing.T) {
	s := shed.New()
	s.Ended(0, large, true)
	for at := clock.Millis(100); at < 3*clock.Second; at += 100 {
		assert.Assert(t, s.Admit(at, large, 0.99))
		s.Ended(at, large, false)
	}
	for at := 3 * clock.Second; at < 6*clock.Second; at += 100 {
		s.Ended(at, large, at%300 == 0)
	}
	assert.Assert(t, !s.Admit(6*clock.Second, large, 0.9), "a third is lost now")
}

func TestShareGrowsBackWithoutLoss(t *testing.T) {
	s := shed.New()
	second(s, 0, large, 5)
	second(s, clock.Second, large, 5)
	assert.Assert(t, !s.Admit(clock.Second, large, 0.9))
	for at := 2 * clock.Second; at < 30*clock.Second; at += clock.Second {
		second(s, at, large, 0)
	}
	assert.Assert(t, s.Admit(30*clock.Second, large, 0.99))
}

// The load goes away altogether, so that nothing ends any more that could be
// learned from. The first requests of the next day must not be refused.
func TestShareGrowsBackWithoutRequests(t *testing.T) {
	s := shed.New()
	second(s, 0, large, 10)
	second(s, clock.Second, large, 10)
	assert.Assert(t, !s.Admit(clock.Second, large, 0.9))
	for at := clock.Minute; at < 3*clock.Minute; at += 2 * clock.Second {
		s.Admit(at, large, 0.99)
	}
	assert.Assert(t, s.Admit(3*clock.Minute, large, 0.99))
}
