package router

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// patience is how long entries may be missing that lapsed while the store
	// was away; endpoints that live write them again within two seconds.
	patience = 1800 * clock.Millis(1)
	// blindAfter is the shortest absence of the store in which entries lapse.
	blindAfter = 500 * clock.Millis(1)
)

// listConfig takes the configuration as it is.
func (g *Gateway) listConfig(objects []store.Object, _ clock.Millis) {
	for _, object := range objects {
		g.takeConfig(object)
	}
}

func (g *Gateway) changeConfig(changes []store.Change) {
	for _, change := range changes {
		if !change.Deleted {
			g.takeConfig(change.Object)
		}
	}
}

// takeConfig puts a newer configuration in force. An older one, which may come
// by a slower way, never replaces a newer one.
func (g *Gateway) takeConfig(object store.Object) {
	if object.Name != g.Dialect.ConfigKind+"/"+g.Dialect.ConfigName {
		return
	}
	routes, err := g.Dialect.TableFunc(object.Value)
	if err != nil {
		g.Log.Error("configuration not usable, the old one stays", "revision", object.Version, logs.KeyError, err)
		return
	}
	if routes.Version <= g.release() {
		return
	}
	g.table.Store(routes)
	g.Log.Info("configuration in force", "configuration", routes.Version, "revision", object.Version, "bytes", len(object.Value))
	g.openIfReady()
}

func (g *Gateway) listEndpoints(objects []store.Object, away clock.Millis) {
	entries := make([]view.Entry, 0, len(objects))
	for _, object := range objects {
		if entry, ok := g.decodeEntry(object); ok {
			entries = append(entries, entry)
		}
	}
	g.bookLock.Lock()
	now := g.Clock.Now()
	wait := clock.Millis(0)
	if away >= blindAfter {
		g.back, wait = now, patience
	}
	first := !g.book.Snapshot().Complete()
	changes := g.book.Sync(entries, now, wait)
	g.book.Publish()
	g.bookLock.Unlock()
	if first {
		g.Log.Info("endpoints listed", "endpoints", len(entries), "awayMs", int64(away))
	} else {
		g.logChanges(changes)
	}
	g.openIfReady()
}

// openIfReady lets this process own pools once it knows routes and endpoints.
func (g *Gateway) openIfReady() {
	if g.gate.Ready() {
		g.mesh.StartOwning()
	}
}

func (g *Gateway) changeEndpoints(events []store.Change) {
	g.bookLock.Lock()
	var changes []view.Change
	now := g.Clock.Now()
	for _, event := range events {
		id := nameOf(event.Object.Name)
		entry, ok := g.decodeEntry(event.Object)
		if event.Deleted || !ok {
			changes = append(changes, g.book.Remove(id, now, g.patienceAt(now))...)
			continue
		}
		changes = append(changes, g.book.Put(entry, now)...)
	}
	if len(changes) > 0 {
		g.book.Publish()
	}
	g.bookLock.Unlock()
	g.logChanges(changes)
}

// patienceAt returns what is left of the time in which lapsed entries return.
func (g *Gateway) patienceAt(now clock.Millis) clock.Millis {
	if g.back == 0 {
		return 0
	}
	return max(g.back+patience-now, 0)
}

func (g *Gateway) decodeEntry(object store.Object) (view.Entry, bool) {
	entry, err := g.Dialect.EntryFunc(nameOf(object.Name), object.Value)
	if err != nil {
		g.Log.Debug("entry names no endpoint", "revision", object.Version, logs.KeyError, err)
		return view.Entry{}, false
	}
	return entry, true
}

func (g *Gateway) logChanges(changes []view.Change) {
	for _, change := range changes {
		e := change.Endpoint
		switch {
		case change.Before != nil:
			g.gate.CheckRemovedEndpoint(change.Before)
		case change.Kind == view.Gone:
			g.gate.CheckRemovedEndpoint(e)
		}
		g.Log.Info("endpoint changed", "endpoint", e.ID, "what", change.Kind, "pool", e.Pool, "availabilityZone", e.Zone,
			"address", e.Address, "born", e.StartedAt, "version", e.Version)
	}
}

// setRollouts puts in force which versions get work.
func (g *Gateway) setRollouts(rollouts []view.Rollout) {
	g.bookLock.Lock()
	g.book.SetRollouts(rollouts)
	g.book.Publish()
	g.bookLock.Unlock()
	g.openIfReady()
}

// knowsPool reports whether the configuration names a pool.
func (g *Gateway) knowsPool(pool string) bool {
	routes := g.table.Load()
	return routes != nil && routes.Pool(pool) != nil
}

// repeats reports whether requests of a route, by the name under which a pool's
// requests are counted, may run again.
func (g *Gateway) repeats(pool, route string) bool {
	routes := g.table.Load()
	if routes == nil {
		return false
	}
	if routes.Batching(pool) != nil {
		return true
	}
	named := routes.Route(route)
	return named != nil && named.Idempotent()
}

func (g *Gateway) setEmptied(zones []string) {
	g.bookLock.Lock()
	g.book.SetEvacuated(zones)
	g.book.Publish()
	g.bookLock.Unlock()
	g.Log.Info("emptied availability zones", "zones", zones)
}
