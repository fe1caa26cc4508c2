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
	// quarantineRead is the time within which a change of what the store holds has to
	// be known where nothing tells of it. Processes learn of crashes from each other;
	// the store serves those that start or were cut off, and operators.
	quarantineRead = 25 * clock.Second
	// quarantineEvery is the pause between two looks for what is to be written or removed.
	quarantineEvery = 250 * clock.Millis(1)
	// quarantineTurn is how long a process leaves that to the owner of a request's key,
	// and anyTurn to the owner and the deputies: they may not know of the crashes.
	quarantineTurn     = 500 * clock.Millis(1)
	anyTurn            = 2 * clock.Second
	quarantineDeputies = 2
	// quarantineTimeout bounds a call to the store, maxQuarantinePause the growing
	// pause after one that failed.
	quarantineTimeout  = clock.Second
	maxQuarantinePause = 8 * clock.Second
)

// Quarantine is a request under which endpoints crashed, as it is written to the
// platform's store under its key. It reaches no endpoint from three crashes on.
type Quarantine struct {
	// SinceMs is the wall clock's millisecond of the last crash.
	SinceMs int64 `json:"sinceMs"`
	// Endpoints that crashed under the request.
	Endpoints []string `json:"endpoints"`
}

// quarantines follows the quarantines in the platform's store.
type quarantines struct {
	known   map[string]crash.Stored
	setFunc func([]crash.Stored)
}

func newQuarantines(set func([]crash.Stored)) *quarantines { return &quarantines{setFunc: set} }

func (q *quarantines) list(objects []store.Object, _ clock.Millis) {
	q.known = make(map[string]crash.Stored, len(objects))
	for _, object := range objects {
		q.put(object)
	}
	q.set()
}

func (q *quarantines) change(changes []store.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(q.known, change.Object.Name)
			continue
		}
		q.put(change.Object)
	}
	q.set()
}

// put takes an entry; one that can't be read quarantines nothing.
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
	listed := make([]crash.Stored, 0, len(q.known))
	for _, entry := range q.known {
		listed = append(listed, entry)
	}
	q.setFunc(listed)
}

// keepQuarantines writes crashes to the platform's store, and removes what is over, as
// far as that falls to this process, until the context ends.
func (g *Gateway) keepQuarantines(ctx context.Context) {
	due := make(map[crash.Key]*dueQuarantine)
	for g.Clock.Sleep(ctx, quarantineEvery) == nil {
		now, book := g.Clock.Now(), g.gate.Quarantines()
		open := make(map[crash.Key]*dueQuarantine)
		for _, entry := range book.Unwritten(now) {
			g.keep(entry.Key, due, open, func() error { return g.writeQuarantine(ctx, entry) })
		}
		for _, key := range book.Expire(now) {
			g.keep(key, due, open, func() error { return g.removeQuarantine(ctx, key) })
		}
		due = open
	}
}

// dueQuarantine is a change of one object that is to be made.
type dueQuarantine struct {
	// since when, and when the next try may come after a pause.
	since, next, pause clock.Millis
}

// keep makes a change of one object if that falls to this process now.
func (g *Gateway) keep(key crash.Key, due, open map[crash.Key]*dueQuarantine, change func() error) {
	now := g.Clock.Now()
	d := due[key]
	if d == nil {
		d = &dueQuarantine{since: now}
	}
	open[key] = d
	if now < d.next || !g.isMine(key, now-d.since) {
		return
	}
	if err := change(); err != nil {
		d.pause = min(max(2*d.pause, quarantineEvery), maxQuarantinePause)
		d.next = g.Clock.Now() + d.pause
		g.Log.Info("quarantine not kept yet", "key", key, "dueMs", int64(now-d.since), logs.KeyError, err)
	}
}

// isMine reports whether this process makes a change that has been due so long: as the
// owner of the key, as a deputy, or as any process that knows of it.
func (g *Gateway) isMine(key crash.Key, due clock.Millis) bool {
	if due >= anyTurn {
		return true
	}
	for rank := range clock.Millis(quarantineDeputies + 1) {
		if due >= rank*quarantineTurn && g.mesh.Owns(gate.QuarantineSubject(key, int(rank))) {
			return true
		}
	}
	return false
}

func (g *Gateway) quarantineName(key crash.Key) string {
	return g.Dialect.QuarantineKind + "/" + key.String()
}

// writeQuarantine writes a request's crashes beside those that the store holds.
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
		var stands Quarantine
		if json.Unmarshal(conflict.Current.Value, &stands) == nil && len(stands.Endpoints) >= len(entry.Endpoints) {
			err = nil // another process was first
		} else {
			_, err = g.Store.Put(ctx, name, conflict.Current.Version, value)
		}
	}
	if err != nil {
		return err
	}
	g.gate.Quarantines().MarkWritten(entry.Key, len(entry.Endpoints))
	g.Log.Info("crashes under request written", "key", entry.Key, "crashes", len(entry.Endpoints), "ageMs", int64(entry.Age))
	return nil
}

func (g *Gateway) removeQuarantine(ctx context.Context, key crash.Key) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	name := g.quarantineName(key)
	return g.Store.Delete(ctx, name, g.feeds.quarantines.Version(name))
}
