package router

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/gate"
)

const (
	// quarantineChangeWithin is the time within which a process has to detect a change
	// of the stored quarantines. It is long because processes report crashes to each
	// other; the store serves processes that start or were cut off, and operators.
	quarantineChangeWithin = 25 * clock.Second
	// quarantineInterval is the pause between two checks for quarantines that have to
	// be written or removed.
	quarantineInterval = 250 * clock.Millis(1)
	// The owner of a request's key writes and removes its quarantine. After
	// deputyDelay for each rank, its deputies do so as well, and after anyProcessDelay
	// any process: the owner and the deputies may not have received the reports of
	// the crashes.
	deputyDelay        = 500 * clock.Millis(1)
	anyProcessDelay    = 2 * clock.Second
	quarantineDeputies = 2
	// quarantineTimeout bounds a call to the store, maxQuarantineBackoff the
	// exponential backoff after calls that failed.
	quarantineTimeout    = clock.Second
	maxQuarantineBackoff = 8 * clock.Second
)

// Quarantine is the object in the platform's store that records which endpoints
// crashed under a request. Its name is the request's key. From three crashes on, the
// request is sent to no endpoint.
type Quarantine struct {
	// SinceMs is the time of the last crash in milliseconds since the Unix epoch.
	SinceMs int64 `json:"sinceMs"`
	// Endpoints are the IDs of the endpoints that crashed under the request.
	Endpoints []string `json:"endpoints"`
}

// quarantines follows the quarantines in the platform's store.
type quarantines struct {
	known   map[string]crash.Stored
	setFunc func([]crash.Stored)
}

func newQuarantines(set func([]crash.Stored)) *quarantines { return &quarantines{setFunc: set} }

func (q *quarantines) onList(objects []store.Object, _ clock.Millis) {
	q.known = make(map[string]crash.Stored, len(objects))
	for _, object := range objects {
		q.put(object)
	}
	q.set()
}

func (q *quarantines) onChanges(changes []store.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(q.known, change.Object.Name)
			continue
		}
		q.put(change.Object)
	}
	q.set()
}

// put adds an entry. An entry that can't be decoded is left out.
func (q *quarantines) put(object store.Object) {
	key, err := crash.ParseKey(nameOf(object.Name))
	var entry Quarantine
	if err != nil || json.Unmarshal(object.Value, &entry) != nil {
		delete(q.known, object.Name)
		return
	}
	age := clock.Millis(time.Now().UnixMilli() - entry.SinceMs)
	q.known[object.Name] = crash.Stored{Key: key, Age: age, Endpoints: entry.Endpoints}
}

func (q *quarantines) set() {
	all := make([]crash.Stored, 0, len(q.known))
	for _, entry := range q.known {
		all = append(all, entry)
	}
	q.setFunc(all)
}

// syncQuarantines writes crashes to the platform's store and removes expired
// quarantines for which this process is responsible, until the context ends.
func (g *Gateway) syncQuarantines(ctx context.Context) {
	previous := make(map[crash.Key]*pendingChange)
	for g.Clock.Sleep(ctx, quarantineInterval) == nil {
		now, tracker := g.Clock.Now(), g.detector.Requests()
		pending := make(map[crash.Key]*pendingChange)
		for _, entry := range tracker.Unwritten(now) {
			g.applyWhenDue(entry.Key, previous, pending, func() error { return g.writeQuarantine(ctx, entry) })
		}
		for _, key := range tracker.Expire(now) {
			g.applyWhenDue(key, previous, pending, func() error { return g.removeQuarantine(ctx, key) })
		}
		previous = pending
	}
}

// pendingChange is an outstanding change of one object in the store.
type pendingChange struct {
	// since is when the change was first needed, nextTry when it may be tried again,
	// and backoff the pause after the last failure.
	since, nextTry, backoff clock.Millis
}

// applyWhenDue makes the change of one object if this process is responsible for it
// and no backoff is running.
func (g *Gateway) applyWhenDue(key crash.Key, previous, pending map[crash.Key]*pendingChange, change func() error) {
	now := g.Clock.Now()
	p := previous[key]
	if p == nil {
		p = &pendingChange{since: now}
	}
	pending[key] = p
	if now < p.nextTry || !g.isResponsible(key, now-p.since) {
		return
	}
	if err := change(); err != nil {
		p.backoff = min(max(2*p.backoff, quarantineInterval), maxQuarantineBackoff)
		p.nextTry = g.Clock.Now() + p.backoff
		g.Log.Info("quarantine not kept yet", "key", key, "dueMs", int64(now-p.since), logs.KeyError, err)
	}
}

// isResponsible reports whether this process has to make a change that has been
// outstanding for a time: as the owner of the key, as a deputy, or as any process.
func (g *Gateway) isResponsible(key crash.Key, dueFor clock.Millis) bool {
	if dueFor >= anyProcessDelay {
		return true
	}
	for rank := range clock.Millis(quarantineDeputies + 1) {
		if dueFor >= rank*deputyDelay && g.mesh.Owns(gate.QuarantineSubject(key, int(rank))) {
			return true
		}
	}
	return false
}

func (g *Gateway) quarantineName(key crash.Key) string {
	return g.Dialect.QuarantineKind + "/" + key.String()
}

// writeQuarantine writes a request's crashes to the store, unless the store already
// holds as many.
func (g *Gateway) writeQuarantine(ctx context.Context, entry crash.Stored) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	name := g.quarantineName(entry.Key)
	value, err := json.Marshal(Quarantine{SinceMs: time.Now().UnixMilli() - int64(entry.Age), Endpoints: entry.Endpoints})
	if err != nil {
		return err
	}
	_, err = g.Store.Put(ctx, name, g.feeds.quarantines.Version(name), value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		var stored Quarantine
		if json.Unmarshal(conflict.Current.Value, &stored) == nil && len(stored.Endpoints) >= len(entry.Endpoints) {
			err = nil // another process has written these crashes
		} else {
			_, err = g.Store.Put(ctx, name, conflict.Current.Version, value)
		}
	}
	if err != nil {
		return err
	}
	g.detector.Requests().MarkWritten(entry.Key, len(entry.Endpoints))
	g.Log.Info("crashes under request written", "key", entry.Key, "crashes", len(entry.Endpoints), "ageMs", int64(entry.Age))
	return nil
}

func (g *Gateway) removeQuarantine(ctx context.Context, key crash.Key) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	name := g.quarantineName(key)
	return g.Store.Delete(ctx, name, g.feeds.quarantines.Version(name))
}
