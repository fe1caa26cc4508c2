package deploy

import (
	"context"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

// progress orders the states of one rollout.
func progress(state canary.State) int {
	switch state {
	case canary.Running:
		return 1
	case canary.Completed, canary.RolledBack:
		return 2
	default:
		return 0
	}
}

// keepsStatus reports whether an object has an older status of a known order because the store
// came back from a copy. The known status stays in force and is recorded again. The caller holds
// the lock.
func (r *rollout) keepsStatus(version store.Revision, status canary.Status) bool {
	return (r.statusLost || r.revision.Era != version.Era) && progress(status.State) < progress(r.status.State)
}

// rewriteStatus records the known status again after the store has lost it, if this process may
// do so.
func (c *Controller) rewriteStatus(ctx context.Context, r *rollout, status canary.Status, revision store.Revision) {
	now := c.clock.Now()
	if r.lostSince == 0 {
		r.lostSince = now
	}
	if now >= r.nextWrite && c.mayRecord(r.order.Pool, now-r.lostSince) {
		c.log.Info("rollout state recorded again", "pool", r.order.Pool, "version", r.order.Version, "state", string(status.State), "revision", revision)
		c.record(ctx, r, status, revision)
	}
}

// IsNewer reports whether a known order replaced the one that a store that came back from a copy
// lists in its place.
func (c *Controller) IsNewer(known, listed store.Object) bool {
	knownOrder, knownStatus, err := c.decode(known)
	if err != nil {
		return false
	}
	listedOrder, listedStatus, err := c.decode(listed)
	if err != nil || listedOrder == knownOrder {
		return false
	}
	return hasDecided(&knownStatus, listedOrder.Version) && !hasDecided(&listedStatus, knownOrder.Version)
}

// hasDecided reports whether a status or its history contains a version.
func hasDecided(status *canary.Status, version string) bool {
	return slices.ContainsFunc(status.History(), func(d canary.Decision) bool { return d.Version == version })
}

func (c *Controller) decode(object store.Object) (canary.Order, canary.Status, error) {
	return c.codec.DecodeFunc(object.Name[strings.LastIndex(object.Name, "/")+1:], object.Value, object.Status)
}

// completion is a completed rollout, and the revision at which it was read.
type completion struct {
	canary.Decision
	at store.Revision
}

// recordCompleted remembers a completed rollout: the next order replaces its version. The caller
// holds the lock.
func (c *Controller) recordCompleted(r *rollout) {
	if r.status.State == canary.Completed {
		c.completed[r.name] = completion{Decision: r.status.History()[0], at: r.revision}
	}
}

// restoreCompleted returns the status of an object, and whether it was corrected because the store
// has lost that the rollout before it was completed. The caller holds the lock.
func (c *Controller) restoreCompleted(object store.Object, order canary.Order, status canary.Status) (canary.Status, bool) {
	known, found := c.completed[object.Name]
	if !found || known.at.Era == object.Version.Era || status.StartedAt < known.StartedAt {
		return status, false
	}
	if status.Order != order && status.StartedAt == known.StartedAt && status.Version == known.Version {
		// The status of the new order, which isn't recorded yet, follows from this one.
		status.State, status.Reason = known.State, known.Reason
		return status, false
	}
	for i, earlier := range status.Earlier {
		if earlier.StartedAt != known.StartedAt || earlier.Version != known.Version || earlier.State == known.State {
			continue
		}
		status.Earlier = slices.Clone(status.Earlier)
		status.Earlier[i] = known.Decision
		if i == 0 {
			status.Previous = known.Version
		}
		return status, true
	}
	return status, false
}

// KeepLost is how long an order stays in force that the store has lost, unless it is written
// again.
const KeepLost = 10 * clock.Second
