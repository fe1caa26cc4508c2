package router

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// jobKey identifies a request of a peer.
type jobKey struct {
	from   string
	callID uint64
}

// acceptPieces submits a peer's request for pieces to the host of this process, which
// owns the pool, and sends the outcome to the peer.
func (g *Gateway) acceptPieces(from string, pieces *wire.Pieces, reply mesh.Reply) {
	key := jobKey{from: from, callID: pieces.CallID}
	g.jobs.Store(key, (*host.Job)(nil))
	job := g.host.Submit(pieces, reply.InputsReadFunc, func(outcome host.Outcome) {
		g.jobs.Delete(key)
		g.delivered.add(from, pieces, outcome, g.Clock.Now())
		reply.ResultsFunc(outcome.Message())
	})
	g.jobs.CompareAndSwap(key, (*host.Job)(nil), job)
}

func (g *Gateway) cancelPieces(from string, callID uint64) {
	known, found := g.jobs.LoadAndDelete(jobKey{from: from, callID: callID})
	if job, _ := known.(*host.Job); found && job != nil {
		g.host.Drop(job)
	}
}

// abandonRequests ends the requests of a peer whose session ended. A peer that still
// runs has sent them to another owner by now; one that does not run no longer needs
// the results, and engines would waste work on them.
func (g *Gateway) abandonRequests(peer string) {
	count := 0
	g.jobs.Range(func(key, value any) bool {
		if key.(jobKey).from != peer {
			return true
		}
		if job, _ := value.(*host.Job); job != nil {
			g.jobs.Delete(key)
			g.host.Abandon(job)
			count++
		}
		return true
	})
	if count > 0 {
		g.Log.Info("requests abandoned", "peer", peer, "jobs", count)
	}
}

// reclaimResults frees the results that were sent to a run of a peer that has ended.
// No other process has references to these results. They would occupy the engines'
// memory for seconds until they expire, and engines could only take small batches
// meanwhile.
func (g *Gateway) reclaimResults(peer string) {
	results := 0
	for _, unused := range g.delivered.remove(peer, g.Clock.Now()) {
		results += len(unused.References)
		g.host.Reclaim(unused)
	}
	if results > 0 {
		g.Log.Info("results of an ended process reclaimed", "peer", peer, "results", results)
	}
}

// owns reports whether this process owns a shard, or a pool that is not divided.
func (g *Gateway) owns(name string) bool {
	shard := g.endpoints.Snapshot().Shard(name)
	return shard != nil && g.mesh.OwnerIn(name, shard.Zone) == g.Name
}

// collectLoads returns the load that this process reports to its peers.
func (g *Gateway) collectLoads() *wire.Loads {
	loads := &wire.Loads{Pools: g.host.Loads(g.owns), Prefixes: g.gate.UnsentPrefixes(), Refused: g.gate.UnsentRefusals(), Crashes: g.detector.TakeUnsent(), Parts: g.detector.TakeUnsentParts(), Limits: g.gate.Limits().TakeUnsent()}
	loads.Interest, loads.Speeds = g.gate.SubsetEndpoints(), g.gate.Speeds().TakeUnsent()
	if g.deploy != nil {
		loads.Trials = g.deploy.Trials()
	}
	offered, now := g.door.Offered(g.Clock.Now()), g.Clock.Now()
	g.share.Report(float64(offered), now)
	loads.PendingArrivals = append(loads.PendingArrivals, wire.PendingArrivals{Pool: wire.RequestRate, Pieces: []int{offered, 1}})
	for _, load := range g.gate.PendingArrivals() {
		loads.PendingArrivals = append(loads.PendingArrivals, wire.PendingArrivals{Pool: load.Pool, Pieces: load.Pieces})
	}
	g.gate.EachUsedEndpoint(func(e *view.Endpoint, running int64) {
		load := wire.EndpointLoad{
			Endpoint: e.ID, Running: running, Prefill: g.gate.Speeds().UnreadTokens(e), Memory: e.Load.Memory.Load(),
			Planned: e.Load.Planned.Load(),
		}
		if load.Running > 0 || load.Planned > 0 {
			loads.Endpoints = append(loads.Endpoints, load)
		}
	})
	return loads
}

// setPeerWork sets the load that the requests of peers put on endpoints. If whole is
// set, work replaces all earlier values, otherwise it holds only the changes.
func (g *Gateway) setPeerWork(work []wire.Work, whole bool) {
	endpoints := g.endpoints.Snapshot()
	if whole {
		endpoints.Each(func(e *view.Endpoint) { e.Load.SetPeers(view.Work{}) })
	}
	for _, w := range work {
		if e := endpoints.Find(w.Endpoint); e != nil {
			e.Load.SetPeers(view.Work{Running: w.Running, Prefill: w.Prefill, Memory: w.Memory, Planned: w.Planned})
		}
	}
}

// follower returns the functions through which this process and its peers relay
// changes of the store to each other.
func (g *Gateway) follower() mesh.Follower {
	withFeed := func(kind string, do func(*feed.Feed) bool) []string {
		if f := g.feeds.all().Of(kind); f != nil && do(f) {
			return []string{kind}
		}
		return nil
	}
	return mesh.Follower{
		ProgressFunc: func() []wire.Progress { return g.feeds.all().Progress() },
		LackedFunc:   func(peer wire.Revision) *wire.Update { return g.feeds.all().LackedBy(peer) },
		ApplyFunc: func(update *wire.Update, now clock.Millis) []string {
			return withFeed(update.Kind, func(f *feed.Feed) bool { return f.Apply(update, now) })
		},
		ConfirmFunc: func(progress []wire.Progress, now clock.Millis) []string {
			var missing []string
			for _, s := range progress {
				missing = append(missing, withFeed(s.Kind, func(f *feed.Feed) bool { return f.Confirm(s, now) })...)
			}
			return missing
		},
		ExpectFunc:     func(kind string) { withFeed(kind, func(f *feed.Feed) bool { f.Expect(); return false }) },
		HoldsFunc:      g.holds,
		TakeHoldsFunc:  g.takeHolds,
		MaxPeerAge:     clock.Millis(upstreamAgeShare * float64(min(g.ChangeWithin, g.LeaveWithin))),
		MaxWatcherAge:  clock.Millis(watcherAgeShare * float64(min(g.ChangeWithin, g.LeaveWithin))),
		ReceivingFunc:  func() bool { return g.feeds.all().Receiving() },
		DownFunc:       func() bool { return g.feeds.all().Down() },
		NoUpstreamFunc: func() { g.feeds.all().EndRelay() },
	}
}
