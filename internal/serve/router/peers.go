package router

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// jobKey names a request of a peer.
type jobKey struct {
	from   string
	callID uint64
}

// takePieces answers a peer that asks this process as the owner of a pool.
func (g *Gateway) takePieces(from string, pieces *wire.Pieces, reply mesh.Reply) {
	key := jobKey{from: from, callID: pieces.CallID}
	g.jobs.Store(key, (*host.Job)(nil))
	job := g.host.Submit(pieces, reply.FetchedFunc, func(outcome host.Outcome) {
		g.jobs.Delete(key)
		g.handed.add(from, pieces, outcome, g.Clock.Now())
		reply.MadeFunc(outcome.Made())
	})
	g.jobs.CompareAndSwap(key, (*host.Job)(nil), job)
}

func (g *Gateway) dropPieces(from string, callID uint64) {
	known, found := g.jobs.LoadAndDelete(jobKey{from: from, callID: callID})
	if job, _ := known.(*host.Job); found && job != nil {
		g.host.Drop(job)
	}
}

// abandon ends the requests of a peer whose session ended. If it still runs, it
// has asked another owner by now; if not, engines would go on working for nobody.
func (g *Gateway) abandon(peer string) {
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

// clear gives back what was handed to the run of a peer that has ended. Nobody
// else knows of these results; they would lie in the engines' memory until they
// expire, for seconds in which calls are small.
func (g *Gateway) clear(peer string) {
	results := 0
	for _, unused := range g.handed.take(peer, g.Clock.Now()) {
		results += len(unused.References)
		g.host.Reclaim(unused)
	}
	if results > 0 {
		g.Log.Info("results of an ended process reclaimed", "peer", peer, "results", results)
	}
}

// owns reports whether this process owns a pool that is not divided, or a shard.
func (g *Gateway) owns(name string) bool {
	part := g.book.Snapshot().Shard(name)
	return part != nil && g.mesh.OwnerIn(name, part.Zone) == g.Name
}

// loads is what this process reports.
func (g *Gateway) loads() *wire.Loads {
	loads := &wire.Loads{Pools: g.host.Loads(g.owns), Prefixes: g.gate.UnsentPrefixes(), Refused: g.gate.UnsentRefusals(), Crashes: g.gate.UnsentCrashes()}
	loads.Interest = g.gate.SubsetEndpoints()
	if g.deploy != nil {
		loads.Trials = g.deploy.Trials()
	}
	for _, load := range g.gate.PendingArrivals() {
		loads.Inflow = append(loads.Inflow, wire.Inflow{Pool: load.Pool, Pieces: load.Pieces})
	}
	g.gate.EachUsedEndpoint(func(e *view.Endpoint) {
		load := wire.EndpointLoad{
			Endpoint: e.ID, Running: e.Load.Running.Load(), Prefill: g.gate.UnreadTokens(e), Memory: e.Load.Memory.Load(),
			Planned: e.Load.Planned.Load(),
		}
		if load.Running > 0 || load.Planned > 0 {
			loads.Endpoints = append(loads.Endpoints, load)
		}
	})
	return loads
}

// setWork takes what peers have running at endpoints: what changed, or all.
func (g *Gateway) setWork(work []wire.Work, whole bool) {
	endpoints := g.book.Snapshot()
	if whole {
		endpoints.Each(func(e *view.Endpoint) { e.Load.SetPeers(view.Work{}) })
	}
	for _, w := range work {
		if e := endpoints.Find(w.Endpoint); e != nil {
			e.Load.SetPeers(view.Work{Running: w.Running, Prefill: w.Prefill, Memory: w.Memory, Planned: w.Planned})
		}
	}
}

// follower is how peers and this process follow the store through each other.
func (g *Gateway) follower() mesh.Follower {
	each := func(kind string, do func(*feed.Feed) bool) []string {
		for _, f := range g.feeds.all() {
			if f.Kind() == kind && do(f) {
				return []string{kind}
			}
		}
		return nil
	}
	return mesh.Follower{
		ProgressFunc: func() []wire.Seen {
			var seen []wire.Seen
			for _, f := range g.feeds.all() {
				seen = append(seen, f.Progress())
			}
			return seen
		},
		SnapshotFunc: func(kind string) (whole *wire.Update) {
			each(kind, func(f *feed.Feed) bool { whole = f.Snapshot(); return false })
			return whole
		},
		ApplyFunc: func(update *wire.Update, now clock.Millis) []string {
			return each(update.Kind, func(f *feed.Feed) bool { return f.Apply(update, now) })
		},
		ConfirmFunc: func(seen []wire.Seen, now clock.Millis) []string {
			var missing []string
			for _, s := range seen {
				missing = append(missing, each(s.Kind, func(f *feed.Feed) bool { return f.Confirm(s, now) })...)
			}
			return missing
		},
		MaxPeerAge:    clock.Millis(freshShare * float64(min(g.ChangeWithin, g.LeaveWithin))),
		MaxWatcherAge: clock.Millis(lostShare * float64(min(g.ChangeWithin, g.LeaveWithin))),
		DownFunc:      func() bool { return slices.ContainsFunc(g.feeds.all(), (*feed.Feed).Down) },
		NoUpstreamFunc: func() {
			for _, f := range g.feeds.all() {
				f.EndRelay()
			}
		},
	}
}
