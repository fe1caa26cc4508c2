package router

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
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

// loads is what this process tells its peers.
func (g *Gateway) loads() *wire.Loads {
	loads := &wire.Loads{Pools: g.host.Loads(g.mesh.Owns), Prefixes: g.gate.Prefixes()}
	for _, load := range g.gate.Coming() {
		loads.Coming = append(loads.Coming, wire.Coming{Pool: load.Pool, Pieces: load.Pieces})
	}
	for _, f := range g.followed() {
		loads.Seen = append(loads.Seen, wire.Revision{Kind: f.Kind(), Revision: f.Changed()})
	}
	g.gate.EachUsed(func(e *view.Endpoint) {
		load := wire.EndpointLoad{
			Endpoint: e.ID, Running: e.Load.Running.Load(), Prefill: e.Load.Prefill.Load(), Memory: e.Load.Memory.Load(),
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

// nameOf returns the name of an object without its kind.
func nameOf(object string) string {
	_, name, _ := strings.Cut(object, "/")
	return name
}

// names follows a kind of objects of which only the names matter.
type names struct {
	known   map[string]bool
	setFunc func([]string)
}

func newNames(set func([]string)) *names { return &names{known: make(map[string]bool), setFunc: set} }

func (n *names) list(objects []store.Object, _ clock.Millis) {
	n.known = make(map[string]bool, len(objects))
	for _, object := range objects {
		n.known[nameOf(object.Name)] = true
	}
	n.set()
}

func (n *names) change(changes []store.Change) {
	for _, change := range changes {
		name := nameOf(change.Object.Name)
		if change.Deleted {
			delete(n.known, name)
			continue
		}
		n.known[name] = true
	}
	n.set()
}

func (n *names) set() { n.setFunc(slices.Sorted(maps.Keys(n.known))) }

// members follows the list of gateways.
type members struct {
	known   map[string]mesh.Member
	setFunc func([]mesh.Member)
}

func newMembers(set func([]mesh.Member)) *members {
	return &members{known: make(map[string]mesh.Member), setFunc: set}
}

func (m *members) list(objects []store.Object, _ clock.Millis) {
	m.known = make(map[string]mesh.Member, len(objects))
	for _, object := range objects {
		m.put(object)
	}
	m.set()
}

func (m *members) change(changes []store.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(m.known, nameOf(change.Object.Name))
			continue
		}
		m.put(change.Object)
	}
	m.set()
}

// put takes an entry; one that can't be read names nobody.
func (m *members) put(object store.Object) {
	var member mesh.Member
	if err := json.Unmarshal(object.Value, &member); err != nil || member.Name != nameOf(object.Name) {
		delete(m.known, nameOf(object.Name))
		return
	}
	m.known[member.Name] = member
}

func (m *members) set() { m.setFunc(slices.Collect(maps.Values(m.known))) }
