package router

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/drain"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// handoverTimeout bounds the time in which a stopping process opens sessions to its
// successors and waits until they confirm its handovers. Meanwhile it starts no calls, except
// at the engines that it keeps. A call takes about as long.
const handoverTimeout = 250 * clock.Millis(1)

// handovers holds the handovers that this process has used.
type handovers struct {
	mu       sync.Mutex
	receipts *drain.Receipts
}

// use decides whether a handover is used.
func (h *handovers) use(a drain.Arrival, now clock.Millis) (*wire.Handover, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.receipts == nil {
		h.receipts = drain.NewReceipts()
	}
	return h.receipts.Use(a, now)
}

// handOver hands the pools and shards that this process owns over to their successors, before
// the peers learn that it owns nothing: the successors then know which engines are busy before
// they get requests. A successor of the previous version gets none and works as before.
func (g *Gateway) handOver() {
	ctx, cancel := context.WithTimeout(g.baseCtx, handoverTimeout.Duration())
	defer cancel()
	// A successor that does not answer must leave time for the handovers to the others.
	opening, cancelOpening := context.WithTimeout(ctx, (handoverTimeout / 2).Duration())
	defer cancelOpening()
	successors := g.successors(opening)
	shards := make(map[string]int)
	for name := range successors {
		shards[g.host.PoolOf(name)]++
	}
	extras := make(map[string][]int64, len(shards))
	for pool, count := range shards {
		extras[pool] = drain.Divide(g.gate.PieceRetryBudget().Drain(pool), count)
	}
	var group sync.WaitGroup
	for name, to := range successors {
		pool := g.host.PoolOf(name)
		handover := &wire.Handover{Pool: name, Extras: extras[pool][0], Engines: g.host.HandOver(name)}
		extras[pool] = extras[pool][1:]
		group.Add(1)
		go func() {
			defer group.Done()
			began := g.Clock.Now()
			err := g.mesh.HandOver(ctx, to, handover)
			outcome := "sent"
			if err != nil {
				outcome = "unconfirmed"
			}
			g.meter.countHandover(outcome)
			g.Log.Info("pool handed over", "pool", name, "peer", to, "engines", len(handover.Engines), "extras", handover.Extras,
				"tookMs", int64(g.Clock.Since(began)), logs.KeyError, err)
		}()
	}
	group.Wait()
}

// successors returns the successor of each pool and shard that this process owns, without
// those that don't use handovers.
func (g *Gateway) successors(ctx context.Context) map[string]string {
	all, peers := make(map[string]string), make(map[string]bool) // peers: whether a successor uses handovers
	endpoints := g.endpoints.Snapshot()
	for _, name := range g.host.Queues(g.owns) {
		shard := endpoints.Shard(name)
		if shard == nil {
			continue // its last endpoint has ended
		}
		if to := g.mesh.Successor(name, shard.Zone); to != "" {
			all[name], peers[to] = to, false
		}
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, peer := range slices.Collect(maps.Keys(peers)) {
		group.Add(1)
		go func() {
			defer group.Done()
			takes := g.mesh.TakesHandovers(ctx, peer)
			mu.Lock()
			defer mu.Unlock()
			peers[peer] = takes
		}()
	}
	group.Wait()
	for name, to := range all {
		if !peers[to] {
			delete(all, name)
		}
	}
	return all
}

// takeHandover uses the handover of a peer if this process is its successor.
func (g *Gateway) takeHandover(arrival drain.Arrival) {
	shard := g.endpoints.Snapshot().Shard(arrival.Pool)
	arrival.Successor = shard != nil && g.mesh.Succeeds(arrival.From, arrival.Pool, shard.Zone)
	handover, err := g.handovers.use(arrival, g.Clock.Now())
	var rejected *drain.RejectedError
	if errors.As(err, &rejected) {
		g.meter.countHandover(string(rejected.Reason))
		g.Log.Info("handover not used", "pool", arrival.Pool, "peer", arrival.From, "reason", rejected.Reason,
			"extras", arrival.Extras, "engines", len(arrival.Engines), "ageMs", int64(arrival.Transit))
		return
	}
	kept := g.host.TakeOver(handover)
	g.gate.PieceRetryBudget().Receive(g.host.PoolOf(handover.Pool), handover.Extras)
	g.meter.countHandover("used")
	g.Log.Info("pool taken over", "pool", handover.Pool, "peer", arrival.From, "engines", kept, "stated", len(arrival.Engines),
		"extras", handover.Extras, "ageMs", int64(arrival.Transit))
}
