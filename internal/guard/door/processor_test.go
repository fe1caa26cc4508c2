package door_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/door"
)

// small is a gateway on a host with a tenth of a processor. It serves requests one after the other.
type small struct {
	// work is the processor time in seconds that all requests so far take.
	work float64
	// free is when the processor has done what was accepted, in milliseconds.
	free float64
	ends []float64
}

// do makes the processor work for a number of seconds, and returns when it is done.
func (s *small) do(now, seconds float64) float64 {
	s.free = max(s.free, now) + seconds/smallLimit*1000
	s.work += seconds
	return s.free
}

const (
	smallLimit = 0.1
	// served and unread are the processor times of a request and of a connection that is closed unread.
	served, unread = 0.002, 0.0002
)

// playSmall brings a number of requests a second to a small gateway. It returns, from a second on, how
// many were closed unread, and the longest time that an accepted one took, without those that are
// accepted in any case because none was for a second.
func playSmall(perSecond, seconds int) (closed int, longest float64) {
	s := &small{}
	usage := door.Usage{Peers: 5, PeersOffered: 10}
	var now, accepted float64
	b := door.New(door.Limits{Processor: smallLimit}, func() door.Usage {
		usage.Processor = s.work - max(s.free-now, 0)/1000*smallLimit
		return usage
	})
	for now = 1; now < float64(seconds*1000); now += 1000 / float64(perSecond) {
		for len(s.ends) > 0 && s.ends[0] <= now {
			b.End(10, true)
			s.ends = s.ends[1:]
		}
		wait := max(s.free-now, 0)
		if b.Admit(door.Arrival{Wait: clock.Millis(wait), Open: 1}, clock.Millis(now)) != door.Accepted {
			s.do(now, unread)
			if now > 1000 {
				closed++
			}
			continue
		}
		b.Begin(clock.Millis(now))
		end := s.do(now, served)
		s.ends = append(s.ends, end)
		if now > 1000 && now-accepted < 1000 {
			longest = max(longest, end-now)
		}
		accepted = now
	}
	return closed, longest
}

// Guards against a pressed gateway that reads so many requests that all of them wait for its processor.
func TestPressedGatewayKeepsWithinItsProcessorTime(t *testing.T) {
	for _, perSecond := range []int{60, 100, 200, 300} {
		closed, longest := playSmall(perSecond, 8)
		t.Logf("%d a second: %d of %d closed, the longest took %.0f ms", perSecond, closed, 7*perSecond, longest)
		assert.Check(t, longest <= 100, "%d a second: a request took %.0f ms", perSecond, longest)
	}
}

// Guards against connections that are closed unread although the processor has time for them.
func TestPressedGatewayWithProcessorTimeClosesNothing(t *testing.T) {
	const perSecond = 33
	closed, _ := playSmall(perSecond, 60)
	assert.Assert(t, closed*100 < 59*perSecond, "%d of %d closed", closed, 59*perSecond)
}

// Guards against refusals that make requests look cheap: a gateway that refuses what it has read would
// read even more.
func TestPressedGatewayThatRefusesReadsLess(t *testing.T) {
	// A request that finds a queue longer than patience is refused, at a fraction of its time.
	const perSecond, patience, refusal = 200, 20, 0.0003
	s := &small{}
	usage := door.Usage{Peers: 5, PeersOffered: 10}
	var now float64
	b := door.New(door.Limits{Processor: smallLimit}, func() door.Usage {
		usage.Processor = s.work - max(s.free-now, 0)/1000*smallLimit
		return usage
	})
	read, refused := 0, 0
	for now = 1; now < 10_000; now += 1000.0 / perSecond {
		for len(s.ends) > 0 && s.ends[0] <= now {
			b.End(10, true)
			s.ends = s.ends[1:]
		}
		wait := max(s.free-now, 0)
		if b.Admit(door.Arrival{Wait: clock.Millis(wait), Open: 1}, clock.Millis(now)) != door.Accepted {
			s.do(now, unread)
			continue
		}
		b.Begin(clock.Millis(now))
		if now > 1000 {
			read++
		}
		if wait <= patience {
			s.ends = append(s.ends, s.do(now, served))
			continue
		}
		s.do(now, refusal)
		b.End(10, false)
		if now > 1000 {
			refused++
		}
	}
	t.Logf("%d of %d refused", refused, read)
	assert.Assert(t, refused*10 <= read, "%d of %d refused", refused, read)
}
