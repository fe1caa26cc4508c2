package router

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// How long objects are kept that a store that came back from a copy has lost. Operators and
// running endpoints write theirs again; an entry of an endpoint that stays away is gone.
const (
	keepLostEvacuation = 10 * clock.Second
	keepLostMember     = 3 * clock.Second
)

// restoreEndpoints keeps what endpoints last wrote: an endpoint that has drained or ended before
// doesn't come back with the copy.
func (g *Gateway) restoreEndpoints() feed.Restore {
	return feed.Restore{NewerFunc: g.isNewerEntry, KeepMissing: entryReturnTime, HideDeleted: true}
}

func (g *Gateway) isNewerEntry(known, listed store.Object) bool {
	before, ok := g.decodeEntry(known)
	if !ok {
		return false
	}
	now, ok := g.decodeEntry(listed)
	return ok && supersedes(&before, &now)
}

// supersedes reports whether an entry is newer than another one that the store lists. Of entries
// that can't be ordered, one that leaves is the newer one.
func supersedes(known, listed *view.Entry) bool {
	switch {
	case known.StartedAt != listed.StartedAt:
		return known.StartedAt > listed.StartedAt
	case known.Count != listed.Count:
		return known.Count > listed.Count
	}
	return known.Leaving && !listed.Leaving
}

// restoreQuarantines keeps the quarantines with more evidence, which their owners write again.
func restoreQuarantines() feed.Restore {
	return feed.Restore{NewerFunc: hasMoreEvidence, KeepMissing: recordQuarantineFor, HideDeleted: true}
}

// recordQuarantineFor is how long a lost quarantine is kept while it can't be written again.
const recordQuarantineFor = clock.Minute

func hasMoreEvidence(known, listed store.Object) bool {
	var before, now Quarantine
	if json.Unmarshal(known.Value, &before) != nil {
		return false
	}
	return json.Unmarshal(listed.Value, &now) != nil || len(before.Endpoints) > len(now.Endpoints) || before.Tried && !now.Tried
}

func (g *Gateway) restoreRollouts() feed.Restore {
	return feed.Restore{NewerFunc: g.deploy.IsNewer, KeepMissing: deploy.KeepLost}
}

// holds returns what this process knows and the store has lost if a peer has to be told, and the
// state of this process then. Peers that serve are told at the start of a session, or if they lack the
// configuration: the others know it themselves, and all messages would be sent at the moment when the
// store returns.
func (g *Gateway) holds(peer string, told uint64, first bool) ([]*wire.Update, uint64) {
	state := g.holdsState()
	lacks := g.compared.lacks(peer, state/maxTaken) && g.tells(peer)
	if !first && (state == 0 || state == told || !lacks && slices.Contains(g.mesh.LiveProcesses(), peer)) {
		return nil, told
	}
	var all []*wire.Update
	for _, f := range g.feeds.all() {
		if update := f.Holds(); update != nil {
			all = append(all, update)
		}
	}
	return all, state
}

// tells reports whether this process tells a peer what the peer lacks. Of those that report to the same
// aggregator one tells it, so that it doesn't get a configuration from each.
func (g *Gateway) tells(peer string) bool {
	if g.mesh.Aggregator() != peer {
		return true
	}
	for _, name := range g.mesh.LiveProcesses() {
		if name != peer && name < g.Name {
			return false
		}
	}
	return true
}

// maxTaken bounds the part of holdsState below the era.
const maxTaken = 1 << 32

// holdsState tells states in which this process may know different lost objects apart. It is 0 while
// the process doesn't serve yet or has not read all kinds of one era.
func (g *Gateway) holdsState() uint64 {
	era := wire.CommonEra(g.feeds.all().Progress())
	if era == 0 || !g.inform.done.Load() {
		return 0
	}
	return era*maxTaken + g.inform.taken.Load()
}

// maxInformWait bounds how long a process that has read its lists waits for its peers before it serves.
const maxInformWait = 400 * clock.Millis(1)

// inform tells whether a process that has started knows what its peers know and the store has lost.
type inform struct {
	// done is set once the process may serve.
	done atomic.Bool
	// heard is the latest era of which a peer that serves has said what the store has lost.
	heard atomic.Uint64
	// taken counts the messages of peers that added lost objects.
	taken atomic.Uint64
	// waitingSince is when the lists were read, 0 before that.
	waitingSince atomic.Int64
}

// isInformed reports whether this process knows what its peers know and the store has lost. It is
// called once the lists were read. A store that has never come back from a copy has lost nothing.
func (g *Gateway) isInformed() bool {
	if g.inform.done.Load() {
		return true
	}
	now := g.Clock.Now()
	g.inform.waitingSince.CompareAndSwap(0, int64(now))
	waited := now - clock.Millis(g.inform.waitingSince.Load())
	era, heard := g.Store.Era(), g.inform.heard.Load()
	if era > 1 && heard != era && waited < maxInformWait {
		return false
	}
	if g.inform.done.CompareAndSwap(false, true) && waited > 0 {
		g.Log.Info("waited for what the store has lost", "era", era, "heard", heard, "waitedMs", int64(waited))
	}
	return true
}

// seeksPeers reports whether this process has to hear of a peer before it serves, and has no session
// with one. The store may have lost the entries of all peers that run.
func (g *Gateway) seeksPeers() bool {
	return g.Store.Era() > 1 && !g.inform.done.Load() && g.mesh.Sessions() == 0
}

// takeHolds takes what a peer says the store has lost. One that has itself just started, and owns no
// pools yet, may know as little as this process, as does one that has not read this era yet.
func (g *Gateway) takeHolds(message *wire.Sums, now clock.Millis) {
	g.stall.RecordTold()
	for _, update := range message.Holds {
		if f := g.feeds.all().Of(update.Kind); f != nil {
			before := len(f.Lost())
			if f.Apply(update, now); len(f.Lost()) > before {
				g.inform.taken.Add(1)
			}
		}
	}
	for _, progress := range message.Progress {
		if progress.Kind == g.Dialect.ConfigKind && progress.Revision != 0 && message.AsOf > 0 { // a peer that has read nothing confirms nothing
			g.config.RecordPeerConfirmed(message.AsOf - progress.Age)
		}
	}
	if era := wire.CommonEra(message.Progress); message.Owns && era == g.Store.Era() {
		g.inform.heard.Store(era)
		if !g.inform.done.Load() {
			g.config.RecordCompared(era) // a process that serves has told what it knows
		}
	}
}

// hasLists reports whether routes and endpoints were read and no planned stop has begun.
func (g *Gateway) hasLists() bool {
	return g.gate.NotDraining() && g.config.Table() != nil && g.endpoints.Snapshot().Complete()
}

// lostObjects returns the number of objects that are used although the store has lost them.
func (g *Gateway) lostObjects() int {
	lost := 0
	for _, f := range g.feeds.all() {
		if f != nil {
			lost += len(f.Lost())
		}
	}
	return lost
}

// rewriteQuarantines writes the quarantines again that the store has lost, and deletes those that
// it restored, as far as this process is responsible for them.
func (g *Gateway) rewriteQuarantines(ctx context.Context, previous, pending map[crash.Key]*pendingChange) {
	for _, object := range g.feeds.quarantines.Lost() {
		if key, err := crash.ParseKey(nameOf(object.Name)); err == nil {
			g.applyWhenDue(key, previous, pending, func() error { return g.rewriteQuarantine(ctx, object) })
		}
	}
	for name, version := range g.feeds.quarantines.Hidden() {
		if key, err := crash.ParseKey(nameOf(name)); err == nil {
			g.applyWhenDue(key, previous, pending, func() error { return g.deleteHidden(ctx, name, version) })
		}
	}
}

func (g *Gateway) rewriteQuarantine(ctx context.Context, object store.Object) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	_, err := g.Store.Put(ctx, object.Name, g.feeds.quarantines.Version(object.Name), object.Value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil // another process has written it, which the feed reads soon
	}
	if err == nil {
		g.Log.Info("quarantine written again", "key", nameOf(object.Name))
	}
	return err
}

func (g *Gateway) deleteHidden(ctx context.Context, name string, version store.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	g.Log.Info("restored quarantine deleted again", "key", nameOf(name))
	return g.Store.Delete(ctx, name, version)
}

// isMemberLost reports whether the store has lost the member entry of this process.
func (g *Gateway) isMemberLost() bool {
	return g.feeds.members.IsLost(g.Dialect.MemberKind + "/" + g.Name)
}
