package router

import (
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
	"github.com/jujubescale/jujubescale/internal/serve/host"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// jobKey names a question of a peer.
type jobKey struct {
	from   string
	ticket uint64
}

// takePieces answers a peer that asks this process as the owner of a pool.
func (g *Gateway) takePieces(from string, pieces *wire.Pieces, reply mesh.Reply) {
	key := jobKey{from: from, ticket: pieces.Ticket}
	g.jobs.Store(key, (*host.Job)(nil))
	job := g.host.Submit(pieces, reply.FetchedFunc, func(outcome host.Outcome) {
		g.jobs.Delete(key)
		g.handed.add(from, pieces, outcome, g.Clock.Now())
		reply.MadeFunc(outcome.Made())
	})
	g.jobs.CompareAndSwap(key, (*host.Job)(nil), job)
}

func (g *Gateway) dropPieces(from string, ticket uint64) {
	known, found := g.jobs.LoadAndDelete(jobKey{from: from, ticket: ticket})
	if job, _ := known.(*host.Job); found && job != nil {
		g.host.Drop(job)
	}
}

// abandon ends the questions of a peer whose session ended. If it still runs, it
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
		g.Log.Info("questions abandoned", "peer", peer, "jobs", count)
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

// loads is what this process tells its peers.
func (g *Gateway) loads() *wire.Loads {
	loads := &wire.Loads{Pools: g.host.Loads(g.mesh.Owns), Prefixes: g.gate.Prefixes(), Refused: g.gate.Refused()}
	for _, load := range g.gate.Coming() {
		loads.Coming = append(loads.Coming, wire.Coming{Pool: load.Pool, Pieces: load.Pieces})
	}
	for _, f := range g.followed() {
		loads.Seen = append(loads.Seen, wire.Revision{Kind: f.Kind(), Revision: f.Changed()})
	}
	g.gate.EachUsed(func(e *view.Endpoint) {
		load := wire.EndpointLoad{
			Endpoint: e.ID, Running: e.Load.Running.Load(), Prefill: g.gate.Unread(e), Memory: e.Load.Memory.Load(),
			Planned: e.Load.Planned.Load(),
		}
		if load.Running > 0 || load.Planned > 0 {
			loads.Endpoints = append(loads.Endpoints, load)
		}
	})
	return loads
}

// followed are the feeds of which processes tell each other.
func (g *Gateway) followed() []*feed.Feed {
	return []*feed.Feed{g.feeds.config, g.feeds.endpoints, g.feeds.emptied}
}

// hint passes on which changes peers have noticed.
func (g *Gateway) hint(all []*wire.Loads) {
	for _, loads := range all {
		for _, seen := range loads.Seen {
			for _, f := range g.followed() {
				if f.Kind() == seen.Kind {
					f.Hint(seen.Revision)
				}
			}
		}
	}
}

// told adds up what all peers have running.
func (g *Gateway) told(all []*wire.Loads) {
	g.hint(all)
	sums := make(map[string]wire.EndpointLoad)
	for _, loads := range all {
		for _, load := range loads.Endpoints {
			sum := sums[load.Endpoint]
			sum.Running += load.Running
			sum.Prefill += load.Prefill
			sum.Memory += load.Memory
			sum.Planned += load.Planned
			sums[load.Endpoint] = sum
		}
	}
	g.book.Now().Each(func(e *view.Endpoint) {
		sum := sums[e.ID]
		e.Load.PeerRunning.Store(sum.Running)
		e.Load.PeerPrefill.Store(sum.Prefill)
		e.Load.PeerMemory.Store(sum.Memory)
		e.Load.PeerPlanned.Store(sum.Planned)
	})
}
