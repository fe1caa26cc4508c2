package router

import (
	"errors"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// entryReturnTime is the time after an outage of the store for which endpoints
	// whose entries expired during the outage are kept. Running endpoints write their
	// entries again within two seconds.
	entryReturnTime = 1800 * clock.Millis(1)
	// minOutage is the shortest outage of the store in which entries can expire.
	minOutage = 500 * clock.Millis(1)
)

func (g *Gateway) onEndpointList(objects []store.Object, outage clock.Millis) {
	entries := make([]view.Entry, 0, len(objects))
	for _, object := range objects {
		if entry, ok := g.decodeEntry(object); ok {
			entries = append(entries, entry)
		}
	}
	g.endpointsMu.Lock()
	now, wait := g.Clock.Now(), clock.Millis(0)
	if outage >= minOutage {
		g.storeBackAt, wait = now, entryReturnTime
	}
	first := !g.endpoints.Snapshot().Complete()
	changes := g.endpoints.Sync(entries, now, wait)
	g.endpoints.Publish()
	g.endpointsMu.Unlock()
	if first {
		g.Log.Info("endpoints listed", "endpoints", len(entries), "awayMs", int64(outage))
	} else {
		g.handleChanges(changes)
	}
	g.startOwningIfReady()
}

// startOwningIfReady lets this process own pools once it may serve, and reports whether it does. A
// caller's request may be the first to find that out, so it is also called regularly.
func (g *Gateway) startOwningIfReady() bool {
	if !g.owning.Load() && g.gate.Ready() {
		g.mesh.StartOwning()
		g.owning.Store(true)
	}
	return g.owning.Load()
}

func (g *Gateway) onEndpointChanges(events []store.Change) {
	g.endpointsMu.Lock()
	var changes []view.Change
	now := g.Clock.Now()
	for _, event := range events {
		id := nameOf(event.Object.Name)
		entry, ok := g.decodeEntry(event.Object)
		if event.Deleted || !ok {
			changes = append(changes, g.endpoints.Remove(id, now, g.entryReturnLeft(now))...)
			continue
		}
		changes = append(changes, g.endpoints.Put(entry, now)...)
	}
	if len(changes) > 0 {
		g.endpoints.Publish()
	}
	g.endpointsMu.Unlock()
	g.handleChanges(changes)
}

// entryReturnLeft returns the rest of entryReturnTime, 0 if it is over.
func (g *Gateway) entryReturnLeft(now clock.Millis) clock.Millis {
	if g.storeBackAt == 0 {
		return 0
	}
	return max(g.storeBackAt+entryReturnTime-now, 0)
}

func (g *Gateway) decodeEntry(object store.Object) (view.Entry, bool) {
	entry, err := g.Dialect.EntryFunc(nameOf(object.Name), object.Value)
	if err != nil {
		g.skipped.Record(g.Dialect.EndpointKind, nameOf(object.Name), err)
		return view.Entry{}, false
	}
	return entry, true
}

// recordSkipped records an object that the store's client has left out.
func (g *Gateway) recordSkipped(err error) {
	var skipped *store.SkippedError
	if errors.As(err, &skipped) {
		g.skipped.Record(skipped.Kind, skipped.Name, skipped.Cause)
		if skipped.Kind == g.Dialect.ConfigKind {
			g.intake.TakeUnreadable(err) // it may be the newest configuration
		}
	}
}

func (g *Gateway) handleChanges(changes []view.Change) {
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

// setRollouts puts the rollouts in force that decide which versions get requests.
func (g *Gateway) setRollouts(rollouts []view.Rollout) {
	g.endpointsMu.Lock()
	g.endpoints.SetRollouts(rollouts)
	g.endpoints.Publish()
	g.endpointsMu.Unlock()
	g.startOwningIfReady()
}

// hasPool reports whether the configuration contains a pool.
func (g *Gateway) hasPool(pool string) bool {
	routes := g.config.Table()
	return routes != nil && routes.Pool(pool) != nil
}

// isRepeatable reports whether requests of a route may run again. The route is the
// name under which a pool's requests are counted. Calls of stage pools may always be
// repeated.
func (g *Gateway) isRepeatable(pool, route string) bool {
	routes := g.config.Table()
	if routes == nil {
		return false
	}
	if routes.Batching(pool) != nil {
		return true
	}
	found := routes.Route(route)
	return found != nil && found.Idempotent()
}

func (g *Gateway) setEvacuated(zones []string) {
	g.endpointsMu.Lock()
	g.endpoints.SetEvacuated(zones)
	g.endpoints.Publish()
	g.endpointsMu.Unlock()
	g.Log.Info("emptied availability zones", "zones", zones)
}
