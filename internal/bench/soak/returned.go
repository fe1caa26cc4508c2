package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// returnVersion is a version of the configuration in a play of returns.
type returnVersion struct {
	number int
	// targets holds the service of each route that moves, revoked the keys that are no longer good.
	targets [movedRoutes]int
	revoked [returnKeys]bool
	// at is when the store had acknowledged it, zero before, and undone when the store came back from a copy without it.
	at, undone time.Time
	// again holds the times in which the store has it because it came back from a copy, the last one without an end.
	again []returnSpan
}

// returnSpan is a time; to is zero while it lasts.
type returnSpan struct{ from, to time.Time }

// returnItem is an engine that drains or a zone that is evacuated, and back.
type returnItem struct {
	name, zone string
	set        func(out bool)
	out        bool
	// writtenAt is when the last write was acknowledged. since is when the store had acknowledged that it is out, zero if it
	// isn't, or if the store has lost or restored that state since.
	writtenAt, since time.Time
}

// returnBook holds all versions of a play, and the entries and evacuations as the operator last wrote them.
type returnBook struct {
	deployment           *stand.Deployment
	mu                   sync.Mutex
	versions             []*returnVersion
	entries, evacuations []*returnItem
	lateProcesses        map[string]bool
	notes                int
}

// returnState is the state of a returnBook from which the store has a copy.
type returnState struct {
	stored  *stand.Snapshot
	version *returnVersion
	out     map[*returnItem]bool
	at      time.Time
}

// returnProbe is a request and what has decided it: the service that ran it, "" for a denial.
type returnProbe struct {
	route, key  int
	sent, ended time.Time
	id, service string
	status      int
}

// verdict tells which contents have decided a request.
type verdict int

const (
	decidedInTime verdict = iota
	decidedByCopy
	decidedLate
	decidedNever // the store never had these contents
)

func (b *returnBook) begin(d *stand.Deployment) {
	b.deployment, b.lateProcesses = d, make(map[string]bool)
	b.versions = []*returnVersion{{number: d.Config.Version, at: time.Now()}}
}

// write makes one write of a kind, with drawn contents. At most one zone is evacuated, and one engine of a service drains.
func (b *returnBook) write(kind stand.WriteKind, random *rand.Rand) {
	switch kind {
	case stand.WriteConfig:
		b.writeVersion(func(v *returnVersion) {
			for i := range v.targets {
				if random.IntN(2) == 0 {
					v.targets[i] = random.IntN(returnTargets)
				}
			}
			for i := range v.revoked {
				if random.IntN(2) == 0 {
					v.revoked[i] = random.IntN(returnKeys) == 0
				}
			}
		})
	case stand.WriteEntry:
		first := random.IntN(returnTargets)
		b.toggle(random, slices.DeleteFunc(slices.Clone(b.entries), func(item *returnItem) bool {
			return slices.Index(b.entries, item)%returnTargets != first
		}))
	case stand.WriteEvacuation:
		b.toggle(random, b.evacuations)
	default:
		b.notes++
		b.deployment.Store.Put("notes", fmt.Sprint(random.IntN(3)), b.notes)
	}
}

// toggle brings the item that is out back, or takes one out.
func (b *returnBook) toggle(random *rand.Rand, items []*returnItem) {
	if i := slices.IndexFunc(items, func(item *returnItem) bool { return item.out }); i >= 0 {
		b.setItem(items[i], false)
		return
	}
	b.setItem(items[random.IntN(len(items))], true)
}

func (b *returnBook) setItem(item *returnItem, out bool) {
	b.mu.Lock()
	item.out, item.since = out, time.Time{}
	b.mu.Unlock()
	item.set(out)
	b.mu.Lock()
	defer b.mu.Unlock()
	if item.writtenAt = time.Now(); out {
		item.since = item.writtenAt
	}
}

// writeVersion publishes a version whose contents are those of the operator's last one but for a change.
func (b *returnBook) writeVersion(change func(*returnVersion)) {
	config := &b.deployment.Config
	b.mu.Lock()
	next := &returnVersion{number: config.Version + 1}
	last := b.present()
	next.targets, next.revoked = last.targets, last.revoked
	change(next)
	b.versions = append(b.versions, next)
	b.mu.Unlock()
	for i := range movedRoutes {
		config.Routes[i].Service = returnTarget(next.targets[i])
	}
	for i := range returnKeys {
		config.Tenants[i].Keys = []string{returnKey(i)}
		if next.revoked[i] {
			config.Tenants[i].Keys = []string{"other-" + returnKey(i)}
		}
	}
	b.deployment.Publish()
	b.mu.Lock()
	defer b.mu.Unlock()
	next.at = time.Now()
	for _, v := range b.versions {
		if count := len(v.again); count > 0 && v.again[count-1].to.IsZero() {
			v.again[count-1].to = next.at
		}
	}
}

// present returns the version that the store has. The caller holds the lock.
func (b *returnBook) present() *returnVersion {
	for _, v := range slices.Backward(b.versions) {
		if v.undone.IsZero() {
			return v
		}
	}
	return b.versions[0]
}

// snapshot returns a copy of the store, and the state of the book.
func (b *returnBook) snapshot() *returnState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := &returnState{stored: b.deployment.Snapshot(), version: b.present(), out: make(map[*returnItem]bool), at: time.Now()}
	for _, item := range b.items() {
		state.out[item] = item.out
	}
	return state
}

func (b *returnBook) items() []*returnItem { return slices.Concat(b.entries, b.evacuations) }

// returnTo brings the store back from a copy.
func (b *returnBook) returnTo(state *returnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deployment.ReturnTo(state.stored)
	now := time.Now()
	for _, v := range b.versions[slices.Index(b.versions, state.version)+1:] {
		if v.undone.IsZero() {
			v.undone = now
		}
	}
	if state.version != b.versions[len(b.versions)-1] {
		state.version.again = append(state.version.again, returnSpan{from: now})
	}
	for _, item := range b.items() {
		if item.writtenAt.After(state.at) {
			item.out, item.since = state.out[item], time.Time{}
		}
	}
}

// outSince returns since when entries drain and zones are evacuated, by name.
func (b *returnBook) outSince() map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]time.Time)
	for _, item := range b.items() {
		if !item.since.IsZero() {
			out[item.name] = item.since
		}
	}
	return out
}

// itemsOf returns the names of an engine and of its zone.
func (b *returnBook) itemsOf(engine string) []string {
	i := slices.IndexFunc(b.entries, func(item *returnItem) bool { return item.name == engine })
	return []string{engine, b.entries[i].zone}
}

func (b *returnBook) addLateProcess(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lateProcesses[name] = true
}

// judge tells whether a version that may be in force has decided a request. A version may be until a later one was
// acknowledged for changeWithin and not lost within that time.
func (b *returnBook) judge(probe returnProbe) (verdict, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bound := probe.sent.Add(-changeWithin)
	byCopy, last := false, -1
	for i, v := range b.versions {
		if !v.decides(probe) {
			continue
		}
		if b.replacedAt(i, bound).IsZero() {
			return decidedInTime, ""
		}
		byCopy = byCopy || slices.ContainsFunc(v.again, func(span returnSpan) bool {
			return !span.from.After(probe.ended) && (span.to.IsZero() || !span.to.Before(bound))
		})
		last = i
	}
	switch {
	case byCopy:
		return decidedByCopy, ""
	case last < 0:
		return decidedNever, "no version has ever allowed this"
	}
	return decidedLate, fmt.Sprintf("version %d was the last one to allow this, lost: %t, replaced for %v", b.versions[last].number, !b.versions[last].undone.IsZero(), probe.sent.Sub(b.replacedAt(last, bound)).Round(time.Millisecond))
}

// replacedAt returns when a version was replaced if that was before an instant, zero otherwise. The caller holds the lock.
func (b *returnBook) replacedAt(i int, before time.Time) time.Time {
	for _, later := range b.versions[i+1:] {
		if !later.at.IsZero() && !later.at.After(before) && (later.undone.IsZero() || later.undone.Sub(later.at) >= changeWithin) {
			return later.at
		}
	}
	return time.Time{}
}

// decides reports whether a request is decided by the version as it was.
func (v *returnVersion) decides(probe returnProbe) bool {
	if probe.service != "" {
		return !v.revoked[probe.key] && returnTarget(v.targets[probe.route]) == probe.service
	}
	return v.revoked[probe.key] && probe.status != 404
}
