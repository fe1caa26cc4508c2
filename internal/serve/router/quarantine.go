package router

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/split"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/ops/skip"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/detect"
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
// crashed under a request or a part of prompts. Its name is the key of that. From three
// crashes on, the request is sent to no endpoint.
type Quarantine struct {
	// SinceMs is the time of the last crash in milliseconds since the Unix epoch.
	SinceMs int64 `json:"sinceMs"`
	// Endpoints are the IDs of the endpoints that crashed under the request.
	Endpoints []string `json:"endpoints"`
	// Tried is set once an endpoint has crashed under a trial of the request.
	Tried bool `json:"tried,omitempty"`
	// Part is set for a part of prompts.
	Part *QuarantinedPart `json:"part,omitempty"`
}

// QuarantinedPart is the record of a part of prompts; see blame.Stored.
type QuarantinedPart struct {
	// ID is the part's ID in prompts.
	ID string `json:"id"`
	// Versions is the evidence by the software version of the endpoints.
	Versions map[string]PartEvidence `json:"versions,omitempty"`
	// AnsweredBy is the endpoint whose answer acquitted the part at AnsweredMs, in milliseconds
	// since the Unix epoch.
	AnsweredBy string `json:"answeredBy,omitempty"`
	AnsweredMs int64  `json:"answeredMs,omitempty"`
}

// PartEvidence is the evidence against a part; see blame.State.
type PartEvidence struct {
	SinceMs   int64    `json:"sinceMs"`
	Endpoints []string `json:"endpoints"`
	Separate  int      `json:"separate"`
	Episodes  int      `json:"episodes"`
	Alone     int      `json:"alone"`
}

// newQuarantine returns the object for a part.
func newQuarantine(entry *blame.Stored, nowMs int64) Quarantine {
	q := Quarantine{SinceMs: nowMs - int64(entry.LastCrash()), Endpoints: []string{}, Part: &QuarantinedPart{
		ID: entry.Part.ID, Versions: make(map[string]PartEvidence), AnsweredBy: entry.AnsweredBy,
	}}
	if entry.AnsweredBy != "" {
		q.Part.AnsweredMs = nowMs - int64(entry.AnswerAge)
	}
	for version, state := range entry.Versions {
		q.Endpoints = append(q.Endpoints, state.Engines...)
		q.Part.Versions[version] = PartEvidence{
			SinceMs: nowMs - int64(state.Age), Endpoints: state.Engines, Separate: state.Separate, Episodes: state.Episodes, Alone: state.Alone,
		}
	}
	slices.Sort(q.Endpoints)
	return q
}

// stored returns the entry of a part.
func (q *Quarantine) stored(key crash.Key, nowMs int64) blame.Stored {
	entry := blame.Stored{Part: blame.Part{Key: key, ID: q.Part.ID}, Versions: make(map[string]blame.State), AnsweredBy: q.Part.AnsweredBy}
	entry.AnswerAge = clock.Millis(nowMs - q.Part.AnsweredMs)
	for version, e := range q.Part.Versions {
		entry.Versions[version] = blame.State{
			Engines: e.Endpoints, Separate: e.Separate, Episodes: e.Episodes, Alone: e.Alone, Age: clock.Millis(nowMs - e.SinceMs),
		}
	}
	return entry
}

// quarantines follows the quarantines in the platform's store.
type quarantines struct {
	known    map[string]crash.Stored
	parts    map[string]blame.Stored
	detector *detect.Detector
	skipped  *skip.Book
}

func newQuarantines(detector *detect.Detector, skipped *skip.Book) *quarantines {
	return &quarantines{detector: detector, skipped: skipped}
}

func (q *quarantines) onList(objects []store.Object, _ clock.Millis) {
	q.known, q.parts = make(map[string]crash.Stored, len(objects)), make(map[string]blame.Stored)
	for _, object := range objects {
		q.put(object)
	}
	q.set()
}

func (q *quarantines) onChanges(changes []store.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(q.known, change.Object.Name)
			delete(q.parts, change.Object.Name)
			continue
		}
		q.put(change.Object)
	}
	q.set()
}

// put adds an entry. An entry that can't be decoded is left out.
func (q *quarantines) put(object store.Object) {
	var entry Quarantine
	key, err := crash.ParseKey(nameOf(object.Name))
	if err == nil {
		err = split.Decode(object.Value, &entry)
	}
	if err != nil {
		q.skipped.Record("quarantines", nameOf(object.Name), err)
		delete(q.known, object.Name)
		delete(q.parts, object.Name)
		return
	}
	if entry.Part != nil {
		q.parts[object.Name] = entry.stored(key, time.Now().UnixMilli())
		return
	}
	age := clock.Millis(time.Now().UnixMilli() - entry.SinceMs)
	q.known[object.Name] = crash.Stored{Key: key, Age: age, Endpoints: entry.Endpoints, Tried: entry.Tried}
}

func (q *quarantines) set() {
	all := make([]crash.Stored, 0, len(q.known))
	for _, entry := range q.known {
		all = append(all, entry)
	}
	q.detector.SetStored(all)
	parts := make([]blame.Stored, 0, len(q.parts))
	for _, entry := range q.parts {
		parts = append(parts, entry)
	}
	q.detector.SetStoredParts(parts)
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
		for _, entry := range g.detector.Parts().Unwritten(now) {
			g.applyWhenDue(entry.Part.Key, previous, pending, func() error { return g.writePart(ctx, &entry) })
		}
		for _, key := range append(tracker.Expire(now), g.detector.Parts().Expire(now)...) {
			g.applyWhenDue(key, previous, pending, func() error { return g.removeQuarantine(ctx, key) })
		}
		g.rewriteQuarantines(ctx, previous, pending)
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
	q := Quarantine{SinceMs: time.Now().UnixMilli() - int64(entry.Age), Endpoints: entry.Endpoints, Tried: entry.Tried}
	holds := func(stored *Quarantine) bool {
		return len(stored.Endpoints) >= len(q.Endpoints) && (stored.Tried || !q.Tried)
	}
	if err := g.putQuarantine(ctx, entry.Key, &q, holds); err != nil {
		return err
	}
	g.detector.Requests().MarkWritten(&entry)
	g.Log.Info("crashes under request written", "key", entry.Key, "crashes", len(entry.Endpoints), "ageMs", int64(entry.Age))
	return nil
}

// writePart writes the record of a part to the store, unless the store already holds as much.
func (g *Gateway) writePart(ctx context.Context, entry *blame.Unwritten) error {
	q := newQuarantine(&entry.Stored, time.Now().UnixMilli())
	holds := func(stored *Quarantine) bool {
		return stored.Part != nil && stored.Part.AnsweredBy == q.Part.AnsweredBy && len(q.Endpoints) > 0 && len(stored.Endpoints) >= len(q.Endpoints)
	}
	if err := g.putQuarantine(ctx, entry.Part.Key, &q, holds); err != nil {
		return err
	}
	g.detector.Parts().MarkWritten(entry.Part.Key, entry.Revision)
	g.Log.Info("crashes under part written", "key", entry.Part.Key, "part", entry.Part.ID, "crashes", len(q.Endpoints), "answeredBy", q.Part.AnsweredBy)
	return nil
}

// putQuarantine writes an object. If another process has written it meanwhile, it is replaced
// unless the function holds reports that this one adds nothing.
func (g *Gateway) putQuarantine(ctx context.Context, key crash.Key, q *Quarantine, holds func(*Quarantine) bool) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	name := g.quarantineName(key)
	value, err := json.Marshal(q)
	if err != nil {
		return err
	}
	_, err = g.Store.Put(ctx, name, g.feeds.quarantines.Version(name), value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		var stored Quarantine
		if json.Unmarshal(conflict.Current.Value, &stored) == nil && holds(&stored) {
			return nil
		}
		if stored.Tried && !q.Tried {
			q.Tried = true
			if value, err = json.Marshal(q); err != nil {
				return err
			}
		}
		_, err = g.Store.Put(ctx, name, conflict.Current.Version, value)
	}
	return err
}

func (g *Gateway) removeQuarantine(ctx context.Context, key crash.Key) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout.Duration())
	defer cancel()
	name := g.quarantineName(key)
	return g.Store.Delete(ctx, name, g.feeds.quarantines.Version(name))
}
