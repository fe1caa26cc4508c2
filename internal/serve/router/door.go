package router

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/door"
	"github.com/jujubescale/jujubescale/internal/link/conns"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/usage"
)

// doorLogInterval is the shortest time between two log lines about connections closed unread.
const doorLogInterval = clock.Second

// newDoor returns the book that decides on new connections of callers.
func (g *Gateway) newDoor(limits door.Limits, files func() int64) *door.Book {
	return door.New(limits, func() door.Usage {
		use := door.Usage{Link: g.limits.pacer.Used(g.Clock.Now()), Memory: usage.Memory()}
		if sums := g.mesh.PendingArrivals(wire.RequestRate); len(sums) > 1 {
			use.PeersOffered, use.Peers = float64(sums[0]), sums[1]
		}
		if g.ProcessorFunc != nil {
			use.Processor = g.ProcessorFunc()
		}
		if limits.Files > 0 {
			use.Files = files()
		}
		return use
	})
}

// AdmitConnection decides whether a new connection of a caller is served whose first request has
// waited for a time, while a number of connections is open. See conns.WithAdmit.
func (g *Gateway) AdmitConnection(first conns.Arrival) bool {
	now := g.Clock.Now()
	reason := g.door.Admit(door.Arrival(first), now)
	if reason == door.Accepted {
		return true
	}
	g.meter.unread.WithLabelValues(string(reason)).Inc()
	if last := g.doorLogged.Load(); int64(now)-last >= int64(doorLogInterval) && g.doorLogged.CompareAndSwap(last, int64(now)) {
		g.Log.Info("connections closed unread", "reason", reason, "waitMs", int64(first.Wait), "open", first.Open, "state", g.door.String())
	}
	return false
}
