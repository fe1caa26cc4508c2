package door_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/door"
)

const requestBytes = 20_000

// play brings a number of requests a second to a gateway, each on a new connection, and returns
// how many connections were closed in the last four of five seconds, and for what.
func play(limits door.Limits, usage door.Usage, perSecond int, wait clock.Millis) (closed int, reasons map[door.Reason]int) {
	return playSizes(limits, usage, perSecond, wait, 10, requestBytes)
}

// playSizes is play with the sizes of requests and answers in bytes.
func playSizes(limits door.Limits, usage door.Usage, perSecond int, wait clock.Millis, request, answer int) (closed int, reasons map[door.Reason]int) {
	b := door.New(limits, func() door.Usage { return usage })
	reasons = make(map[door.Reason]int)
	pause := clock.Second / clock.Millis(perSecond)
	for now := clock.Millis(1); now < 5*clock.Second; now += pause {
		reason := b.Admit(door.Arrival{Wait: wait, Bytes: request, Open: 1}, now)
		if reason != door.Accepted {
			if now > clock.Second {
				closed++
				reasons[reason]++
			}
			continue
		}
		b.Begin(now)
		b.Forwarded(answer)
		b.End(request, true)
	}
	return closed, reasons
}

// Guards against a pressed gateway that reads requests which it can't serve.
func TestPressedGatewayClosesWhatItCannotServe(t *testing.T) {
	const perSecond, whole = 50, 4 * 50
	limits := door.Limits{Link: perSecond * requestBytes * 2 / 3, Memory: 100, Files: 1000}
	for name, test := range map[string]struct {
		usage     door.Usage
		wait      clock.Millis
		reason    door.Reason
		min, max  int
		perSecond int
	}{
		"link":      {door.Usage{Peers: 5, PeersOffered: 10}, 0, door.Link, whole * 4 / 10, whole * 6 / 10, perSecond},
		"memory":    {door.Usage{Peers: 5, PeersOffered: 10, Memory: 61}, 0, door.Memory, whole * 9 / 10, whole, perSecond},
		"files":     {door.Usage{Peers: 5, PeersOffered: 10, Files: 810}, 0, door.Descriptors, whole * 9 / 10, whole, perSecond},
		"processor": {door.Usage{Peers: 5, PeersOffered: 10}, 300, door.Late, whole * 9 / 10, whole, perSecond},
		"no lack":   {door.Usage{Peers: 5, PeersOffered: 2}, 100, door.Accepted, 0, 0, 20},
	} {
		t.Run(name, func(t *testing.T) {
			closed, reasons := play(limits, test.usage, test.perSecond, test.wait)
			assert.Assert(t, closed >= test.min && closed <= test.max, "%d closed: %v", closed, reasons)
			assert.Equal(t, reasons[test.reason], closed)
		})
	}
}

// Guards against a gateway that reads what doesn't fit its link beside the requests that it closed
// unread: callers send them at once, so that they have crossed the link.
func TestRequestsClosedUnreadTakeTheLink(t *testing.T) {
	const perSecond, whole = 50, 4 * 50
	limits := door.Limits{Link: perSecond * requestBytes * 2 / 3}
	usage := door.Usage{Peers: 5, PeersOffered: 10}
	closed, _ := playSizes(limits, usage, perSecond, 0, requestBytes, 10)
	assert.Assert(t, closed >= whole*9/10, "%d of %d closed, requests are larger", closed, whole)
	closed, _ = playSizes(limits, usage, perSecond, 0, requestBytes/2, requestBytes)
	assert.Assert(t, closed <= whole*6/10, "%d of %d closed, answers are larger", closed, whole)
}

// Guards against callers who find no gateway: the pressed one is the only one left, or the load is
// the same everywhere.
func TestConnectionsAreReadWhereOthersCannotServeThem(t *testing.T) {
	const perSecond = 50
	limits := door.Limits{Link: perSecond * requestBytes / 2, Memory: 100, Files: 1000}
	for name, usage := range map[string]door.Usage{
		"only one left":   {Memory: 90, Files: 990},
		"load everywhere": {Peers: 5, PeersOffered: 5 * perSecond, Memory: 90, Files: 990},
	} {
		closed, reasons := play(limits, usage, perSecond, clock.Second)
		assert.Assert(t, closed == 0, "%s: %v", name, reasons)
	}
}

// Guards against connections that are closed because endpoints were full some time ago.
func TestFullEndpointsCountForAMoment(t *testing.T) {
	b := door.New(door.Limits{}, func() door.Usage { return door.Usage{Peers: 1} })
	for now := clock.Millis(1); now < clock.Second; now += 10 {
		b.Begin(now)
		b.End(0, true)
		b.Admit(door.Arrival{Open: 1}, now)
	}
	b.Full(1000)
	assert.Equal(t, b.Admit(door.Arrival{Open: 1}, 1100), door.Endpoints)
	assert.Equal(t, b.Admit(door.Arrival{Open: 1}, 1300), door.Accepted)
}

// Guards against a process that is ready and takes no connection, because what it lacks stays away.
func TestPressedGatewayTakesSomeConnections(t *testing.T) {
	usage := door.Usage{Peers: 5, PeersOffered: 10, Memory: 99, Files: 999}
	closed, _ := play(door.Limits{Memory: 100, Files: 1000}, usage, 50, clock.Second)
	assert.Assert(t, closed < 4*50, "%d of %d closed", closed, 4*50)
}

// Guards against a gateway that reads everything because its peers are silent: the requests that it
// closes unread fill its link, and the peers' messages with it.
func TestSilentPeersDontEndThePressure(t *testing.T) {
	const perSecond = 50
	usage := door.Usage{Peers: 5, PeersOffered: 10}
	b := door.New(door.Limits{Link: perSecond * requestBytes * 2 / 3}, func() door.Usage { return usage })
	closed := make(map[clock.Millis]int)
	for now := clock.Millis(1); now < 20*clock.Second; now += clock.Second / perSecond {
		if now > 2*clock.Second {
			usage = door.Usage{}
		}
		if b.Admit(door.Arrival{Bytes: requestBytes, Open: 1}, now) != door.Accepted {
			closed[now/clock.Second]++
			continue
		}
		b.Begin(now)
		b.Forwarded(10)
		b.End(requestBytes, true)
	}
	for second := clock.Millis(1); second < 10; second++ {
		assert.Assert(t, closed[second] >= perSecond/2, "%d of %d closed in second %d", closed[second], perSecond, second)
	}
	assert.Equal(t, closed[18], 0, "no other gateway is left")
}

// Guards against connections that are closed unread for many seconds because the last requests that
// were read are larger than those that arrive: their mean changes with what is read only.
func TestLargeRequestsOfThePastCloseNoSmallOnes(t *testing.T) {
	const perSecond, large, little = 50, 50_000, 1000
	b := door.New(door.Limits{Link: perSecond * requestBytes}, func() door.Usage { return door.Usage{Peers: 5, PeersOffered: 10} })
	closed := 0
	for now := clock.Millis(1); now < 10*clock.Second; now += clock.Second / perSecond {
		size := little
		if now < clock.Second {
			size = large
		}
		if b.Admit(door.Arrival{Bytes: size, Open: 1}, now) != door.Accepted {
			if now > 2*clock.Second {
				closed++
			}
			continue
		}
		b.Begin(now)
		b.Forwarded(10)
		b.End(size, true)
	}
	assert.Assert(t, closed <= 8*perSecond/100, "%d of %d closed", closed, 8*perSecond)
}

// Guards against a gateway that reads more than its link carries because it has just started: none of
// its requests has ended yet, so that their mean size is unknown.
func TestRestartedGatewayKeepsWithinItsLink(t *testing.T) {
	const perSecond, size, seconds = 50, 50_000, 4
	limits := door.Limits{Link: perSecond * size / 2}
	b := door.New(limits, func() door.Usage { return door.Usage{Peers: 5, PeersOffered: 10} })
	read := 0
	for now := clock.Millis(1); now < seconds*clock.Second; now += clock.Second / perSecond {
		if b.Admit(door.Arrival{Bytes: size, Open: 1}, now) == door.Accepted {
			b.Begin(now)
			read += size
		}
	}
	assert.Assert(t, float64(read) <= seconds*limits.Link, "%d of %d bytes read", read, seconds*perSecond*size)
}
