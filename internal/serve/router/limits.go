package router

import (
	"context"
	"net"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/push"
	"github.com/jujubescale/jujubescale/internal/guard/body"
	"github.com/jujubescale/jujubescale/internal/guard/door"
	"github.com/jujubescale/jujubescale/internal/guard/hold"
	"github.com/jujubescale/jujubescale/internal/guard/spare"
	"github.com/jujubescale/jujubescale/internal/link/pacer"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/usage"
	"github.com/jujubescale/jujubescale/internal/serve/bulk"
	"github.com/jujubescale/jujubescale/internal/serve/spool"
	"github.com/jujubescale/jujubescale/internal/serve/upload"
)

const (
	megabyte = 1 << 20
	megabit  = 1e6 // in bits
	// countSpan is the time between two counts of the open files, which take a millisecond
	// for some thousand.
	countSpan = clock.Second
)

// hostLimits keeps a gateway within the limits of its host. pacer and bulk are nil if the bandwidth of the link is unknown
// or above maxLimitedMbps, spool, push and spare if it is unknown.
type hostLimits struct {
	pacer   *pacer.Pacer
	uploads *upload.Book
	spool   *spool.Book
	push    *push.Book
	spare   *spare.Book
	bulk    *bulk.Sender
}

// maxLimitedMbps is the bandwidth in megabits per second up to which the bandwidth is divided.
const maxLimitedMbps = 500

func (g *Gateway) newHostLimits(ctx context.Context) hostLimits {
	link, memory := g.LinkMbps, int64(g.MemoryMb*megabyte)
	if link > maxLimitedMbps {
		link = 0
	}
	l := hostLimits{uploads: upload.New(body.New(body.Limits{Memory: memory, Link: link * megabit / 8}), g.Registry, upload.WithClock(g.Clock), upload.WithLog(g.Log))}
	if g.LinkMbps <= 0 {
		g.door = g.newDoor(door.Limits{}, nil)
		return l
	}
	if link > 0 {
		l.pacer = pacer.New(link)
		l.bulk = bulk.New(ctx, g.Clock, l.pacer, g.Registry)
	}
	ledger := hold.New(hold.LimitsOf(memory, spool.KernelBytes))
	l.spool = spool.New(ledger, g.Registry, spool.WithClock(g.Clock), spool.WithLog(g.Log), spool.WithForwarded(func(bytes int, now clock.Millis) {
		l.pacer.Forwarded(bytes, now)
		g.door.Forwarded(bytes)
	}))
	l.push = push.New(g.Clock, ledger, func(address string, made hold.Cut) { l.spool.RecordCut(&made, "address", address) })
	files := g.countFiles()
	l.spare = spare.New(spare.Limits{Memory: memory, Files: int64(g.MaxFds)}, func() spare.Usage {
		return spare.Usage{Memory: usage.Memory(), Files: files(), Link: l.pacer.Used(g.Clock.Now()), ReadersFull: ledger.Full()}
	})
	g.door = g.newDoor(door.Limits{Link: link * megabit / 8, Processor: g.Capacity, Memory: memory, Files: int64(g.MaxFds), Connections: int64(g.MaxConnections)}, files)
	return l
}

// countFiles returns a function that returns the number of open files, counted at most countSpan
// ago.
func (g *Gateway) countFiles() func() int64 {
	var mu sync.Mutex
	var files int64
	var countedAt clock.Millis
	return func() int64 {
		mu.Lock()
		defer mu.Unlock()
		if now := g.Clock.Now(); countedAt == 0 || now-countedAt >= countSpan {
			files, countedAt = usage.Files(), now
		}
		return files
	}
}

// ConnContext is the ConnContext function of the callers' http.Server.
func (g *Gateway) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return g.limits.spool.ConnContext(ctx, c)
}

// startShare returns this process's share of a limit of starts at a warm endpoint of a pool, in requests per
// second.
func (g *Gateway) startShare(limit float64, endpoints int) float64 {
	peers := 0.0
	if sums := g.mesh.PendingArrivals(wire.RequestRate); len(sums) > 0 {
		peers = float64(sums[0])
	}
	return g.share.Of(limit, peers, g.mesh.Count(), endpoints, g.Clock.Now())
}
