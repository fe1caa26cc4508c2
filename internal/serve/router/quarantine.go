package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

const (
	// quarantineRead is the time within which a change of quarantines in the store
	// has to be known where nothing tells of it. Processes learn of crashes from each
	// other; the store serves those that start, and operators.
	quarantineRead = 25 * clock.Second
	// quarantineEvery is how often quarantines are written and removed, quarantineTurn
	// the time for which a deputy leaves that to the process before it, and
	// quarantineDeputies how many there are.
	quarantineEvery    = 250 * clock.Millis(1)
	quarantineTurn     = 500 * clock.Millis(1)
	quarantineDeputies = 2
	quarantineTimeout  = clock.Second
)

// Quarantine is a quarantined request as it is written to the platform's store,
// under its key.
type Quarantine struct {
	// SinceMs is the wall clock's millisecond at which it began.
	SinceMs int64 `json:"sinceMs"`
	// Endpoints that crashed under the request.
	Endpoints []string `json:"endpoints"`
}

// quarantines follows the quarantines in the platform's store.
type quarantines struct {
	known   map[string]crash.Listed
	setFunc func([]crash.Listed)
}

func newQuarantines(set func([]crash.Listed)) *quarantines { return &quarantines{setFunc: set} }

func (q *quarantines) list(objects []store.Object, _ clock.Millis) {
	q.known = make(map[string]crash.Listed, len(objects))
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
	q.known[object.Name] = crash.Listed{Key: key, Age: age, Endpoints: entry.Endpoints}
}

func (q *quarantines) set() {
	listed := make([]crash.Listed, 0, len(q.known))
	for _, entry := range q.known {
		listed = append(listed, entry)
	}
	q.setFunc(listed)
}

// keepQuarantines writes quarantines to the platform's store and removes those that
// have ended, as far as that falls to this process, until the context ends.
func (g *Gateway) keepQuarantines(ctx context.Context) {
	due := make(map[crash.Key]clock.Millis)
	for g.Clock.Sleep(ctx, quarantineEvery) == nil {
		now, book := g.Clock.Now(), g.gate.Quarantines()
		open := make(map[crash.Key]clock.Millis)
		for _, entry := range book.Unwritten(now) {
			if g.quarantineFalls(entry.Key, due, open, now) {
				g.writeQuarantine(ctx, entry)
			}
		}
		for _, key := range book.Expire(now) {
			if g.quarantineFalls(key, due, open, now) {
				g.removeQuarantine(ctx, key)
			}
		}
		due = open
	}
}

// quarantineFalls reports whether this process writes or removes a quarantine now:
// as the owner of its key, or as a deputy if that has been due for a while. It notes
// in open since when it has been due.
func (g *Gateway) quarantineFalls(key crash.Key, due, open map[crash.Key]clock.Millis, now clock.Millis) bool {
	since, found := due[key]
	if !found {
		since = now
	}
	open[key] = since
	for rank := range clock.Millis(quarantineDeputies + 1) {
		if now-since >= rank*quarantineTurn && g.mesh.Owns(fmt.Sprintf("quarantine/%s/%d", key, rank)) {
			return true
		}
	}
	return false
}

func (g *Gateway) quarantineName(key crash.Key) string {
	return g.Dialect.QuarantineKind + "/" + key.String()
}

func (g *Gateway) writeQuarantine(ctx context.Context, entry crash.Listed) {
	value, err := json.Marshal(Quarantine{SinceMs: time.Now().UnixMilli() - int64(entry.Age), Endpoints: entry.Endpoints})
	if err != nil {
		g.Log.Error("quarantine not written", "key", entry.Key, logs.KeyError, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	_, err = g.Store.Put(ctx, g.quarantineName(entry.Key), 0, value)
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		g.Log.Info("quarantine not written yet", "key", entry.Key, logs.KeyError, err)
		return
	}
	g.gate.Quarantines().Written(entry.Key)
	g.Log.Info("quarantine written", "key", entry.Key, "ageMs", int64(entry.Age), "found", err != nil)
}

func (g *Gateway) removeQuarantine(ctx context.Context, key crash.Key) {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	name := g.quarantineName(key)
	if err := g.Store.Delete(ctx, name, g.feeds.quarantines.Version(name)); err != nil {
		g.Log.Info("quarantine not removed yet", "key", key, logs.KeyError, err)
	}
}
