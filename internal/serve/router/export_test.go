package router

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/detect"
	"github.com/jujubescale/jujubescale/internal/serve/gate"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// Gate returns the gate, so that a test can pass a report to a single process.
func (g *Gateway) Gate() *gate.Gate { return g.gate }

// Detector returns the detector, so that a test can pass a report to a single process.
func (g *Gateway) Detector() *detect.Detector { return g.detector }

// Watches reports whether this process reads the store for the others.
func (g *Gateway) Watches() bool { return g.mesh.IsWatcher() }

// ConfigOutdated reports whether the configuration may be too old to deny a request by it.
func (g *Gateway) ConfigOutdated() bool { return g.config.Outdated() }

// Holds returns what a peer is told of the objects that the store has lost.
func (g *Gateway) Holds(peer string, told uint64, first bool) ([]*wire.Update, uint64) {
	return g.holds(peer, told, first)
}

// ComparePeer takes the version of the configuration that a peer states.
func (g *Gateway) ComparePeer(peer string, version uint64) { g.comparePeer(peer, version) }

// Aggregator returns the process that this one reports to, "" if it aggregates itself.
func (g *Gateway) Aggregator() string { return g.mesh.Aggregator() }

// Compared reports whether all listed processes have stated their configuration once a peer has, if the store
// lists some members.
func Compared(members []mesh.Member, peer, self string) bool {
	var c compared
	c.setMembers(members)
	return c.record(peer, self, 2)
}

// TakeHolds takes what a peer tells of the objects that the store has lost.
func (g *Gateway) TakeHolds(message *wire.Sums) { g.takeHolds(message, g.Clock.Now()) }

// RewriteDelay returns how long a process waits before it writes its lost entry again.
func RewriteDelay(members int, draw float64) clock.Millis { return rewriteDelay(members, draw) }

// OwnerOf returns the process that this one asks for permits of an endpoint.
func (g *Gateway) OwnerOf(endpoint string) string { return g.mesh.Owner(endpoint) }

// ReadAndClean reads the origins of streams in the store and removes those that have long expired.
func (g *Gateway) ReadAndClean(ctx context.Context) (origins int, err error) {
	stored := newStoredOrigins(g)
	all, err := stored.read(ctx)
	stored.removeExpired(ctx)
	return len(all), err
}
