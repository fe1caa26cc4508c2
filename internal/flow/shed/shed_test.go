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

// endTen ends ten requests of an organisation and marks the given number of them as lost.
func endTen(s *shed.Shedder, at clock.Millis, key shed.Key, lost int) {
	for i := range 10 {
		s.Ended(at, key, i < lost)
	}
}

// Later stages refuse half of the requests of a large organisation. Some of its next
// requests must be refused before the early stages work for them. Requests of an
// organisation without losses must be admitted.
func TestLossAtLaterStagesReducesAdmission(t *testing.T) {
	s := shed.New()
	for at := clock.Millis(0); at < 10*clock.Second; at += clock.Second {
		endTen(s, at, large, 5)
		endTen(s, at, small, 0)
	}
	now := 10 * clock.Second
	assert.Assert(t, !s.Admit(now, large, 0.5))
	assert.Assert(t, s.Admit(now, large, 0.01))
	assert.Assert(t, s.Admit(now, small, 0.99))
}

// Guards against refusals because one earlier request reached a stage whose endpoints
// were starting. A single loss is no evidence of load.
func TestSingleLossIsIgnored(t *testing.T) {
	s := shed.New()
	s.Ended(0, large, true)
	for at := clock.Millis(100); at < 3*clock.Second; at += 100 {
		assert.Assert(t, s.Admit(at, large, 0.99))
		s.Ended(at, large, false)
	}
	for at := 3 * clock.Second; at < 6*clock.Second; at += 100 {
		s.Ended(at, large, at%300 == 0)
	}
	assert.Assert(t, !s.Admit(6*clock.Second, large, 0.9), "a third of the requests were lost")
}

func TestShareRecoversWithoutLoss(t *testing.T) {
	s := shed.New()
	endTen(s, 0, large, 5)
	endTen(s, clock.Second, large, 5)
	assert.Assert(t, !s.Admit(clock.Second, large, 0.9))
	for at := 2 * clock.Second; at < 30*clock.Second; at += clock.Second {
		endTen(s, at, large, 0)
	}
	assert.Assert(t, s.Admit(30*clock.Second, large, 0.99))
}

// All load ends, so that no more ended requests are recorded. The first requests after
// that must not be refused.
func TestShareRecoversWithoutRequests(t *testing.T) {
	s := shed.New()
	endTen(s, 0, large, 10)
	endTen(s, clock.Second, large, 10)
	assert.Assert(t, !s.Admit(clock.Second, large, 0.9))
	for at := clock.Minute; at < 3*clock.Minute; at += 2 * clock.Second {
		s.Admit(at, large, 0.99)
	}
	assert.Assert(t, s.Admit(3*clock.Minute, large, 0.99))
}
