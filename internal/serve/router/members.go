package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/split"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/ops/skip"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// nameOf returns the name of an object without its kind.
func nameOf(object string) string {
	_, name, _ := strings.Cut(object, "/")
	return name
}

// names follows a kind of objects whose values are not used.
type names struct {
	known   map[string]bool
	setFunc func([]string)
}

func newNames(set func([]string)) *names { return &names{known: make(map[string]bool), setFunc: set} }

func (n *names) onList(objects []store.Object, _ clock.Millis) {
	n.known = make(map[string]bool, len(objects))
	for _, object := range objects {
		n.known[nameOf(object.Name)] = true
	}
	n.set()
}

func (n *names) onChanges(changes []store.Change) {
	for _, change := range changes {
		name := nameOf(change.Object.Name)
		if change.Deleted {
			delete(n.known, name)
			continue
		}
		n.known[name] = true
	}
	n.set()
}

func (n *names) set() { n.setFunc(slices.Sorted(maps.Keys(n.known))) }

// memberEntry is the entry of a process in the member list. It outlives the process, so that
// processes that start after all have ended know what it states.
type memberEntry struct {
	mesh.Member
	// SharedPools lists the pools whose engines share their hosts.
	SharedPools []string `json:"sharedPools,omitempty"`
}

// members follows the member list, which holds all gateways.
type members struct {
	known   map[string]memberEntry
	setFunc func([]memberEntry)
	skipped *skip.Book
}

func newMembers(set func([]memberEntry), skipped *skip.Book) *members {
	return &members{known: make(map[string]memberEntry), setFunc: set, skipped: skipped}
}

func (m *members) onList(objects []store.Object, _ clock.Millis) {
	m.known = make(map[string]memberEntry, len(objects))
	for _, object := range objects {
		m.put(object)
	}
	m.set()
}

func (m *members) onChanges(changes []store.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(m.known, nameOf(change.Object.Name))
			continue
		}
		m.put(change.Object)
	}
	m.set()
}

// put adds an entry. An entry that can't be decoded is left out.
func (m *members) put(object store.Object) {
	var member memberEntry
	err := split.Decode(object.Value, &member)
	if err == nil && member.Name != nameOf(object.Name) {
		err = fmt.Errorf("its entry names %.40q", member.Name)
	}
	if err != nil {
		m.skipped.Record("members", nameOf(object.Name), err)
		delete(m.known, nameOf(object.Name))
		return
	}
	m.known[member.Name] = member
}

func (m *members) set() { m.setFunc(slices.Collect(maps.Values(m.known))) }

// isAlone reports whether the store lists this process and no other.
func (g *Gateway) isAlone() bool { return g.listed.Load() && g.memberCount.Load() == 1 }

// setMembers passes the member list to the mesh and records whether it holds this
// process.
func (g *Gateway) setMembers(entries []memberEntry) {
	listed := false
	members := make([]mesh.Member, 0, len(entries))
	var sharedPools []string
	for _, entry := range entries {
		if entry.Name == g.Name && entry.Incarnation == g.incarnation {
			listed = true
			g.statedPools.Store(&entry.SharedPools)
		}
		members = append(members, entry.Member)
		sharedPools = append(sharedPools, entry.SharedPools...)
	}
	g.listed.Store(listed)
	g.compared.setMembers(members)
	g.memberCount.Store(int64(len(entries)))
	g.gate.Limits().TakeSharedPools(sharedPools)
	g.mesh.SetMembers(members)
	select {
	case g.membersChanged <- struct{}{}:
	default:
	}
}

const (
	// registerInterval is the interval at which a process checks that it is listed, besides at
	// each change of the list, and the shortest one between two writes of its entry.
	registerInterval = 500 * clock.Millis(1)
	// readyPollInterval is the interval at which a starting process checks that it is
	// ready.
	readyPollInterval = 20 * clock.Millis(1)
	// rewriteSpacing is the mean time between two processes that write lost entries again.
	rewriteSpacing = 2 * clock.Millis(1)
)

// rewriteDelay returns how long a process waits before it writes its lost entry again, so that not
// all of them do at the moment when the store returns. The draw is at least 0 and less than 1.
func rewriteDelay(members int, draw float64) clock.Millis {
	return clock.Millis(draw * float64(min(clock.Millis(members)*rewriteSpacing, registerInterval)))
}

// register adds this process to the member list once it has read routes and endpoints, and again
// whenever its entry was removed. Peers may request pieces from every listed process.
func (g *Gateway) register(ctx context.Context) {
	triedAt := g.Clock.Now() - registerInterval
	for ctx.Err() == nil {
		pause := registerInterval
		switch {
		case !g.hasLists():
			pause = readyPollInterval
		case g.listed.Load() && !g.isMemberLost() && g.statesPools():
		case g.Clock.Since(triedAt) < registerInterval:
			pause = triedAt + registerInterval - g.Clock.Now()
		default:
			if (g.isMemberLost() || g.listed.Load()) && !g.awaitRewrite(ctx) {
				continue
			}
			triedAt = g.Clock.Now()
			g.registerOnce(ctx)
		}
		if !g.startOwningIfReady() {
			pause = min(pause, readyPollInterval)
		}
		g.pauseUnlessMembersChange(ctx, pause)
	}
}

// sharedPools returns the configured pools whose engines share their hosts, in a fixed order.
func (g *Gateway) sharedPools() []string {
	return slices.DeleteFunc(g.gate.Limits().SharedPools(), func(pool string) bool { return !g.hasPool(pool) })
}

// statesPools reports whether the entry of this process states the pools that share their hosts.
func (g *Gateway) statesPools() bool {
	stated := g.statedPools.Load()
	return stated != nil && slices.Equal(*stated, g.sharedPools())
}

// awaitRewrite waits for the turn of this process to write its entry again, which all may have to do
// at the same moment. It returns false if a planned stop has begun meanwhile.
func (g *Gateway) awaitRewrite(ctx context.Context) bool {
	return g.Clock.Sleep(ctx, rewriteDelay(g.mesh.Count(), rand.Float64())) == nil && g.hasLists()
}

func (g *Gateway) pauseUnlessMembersChange(ctx context.Context, pause clock.Millis) {
	expired, stopTimer := g.Clock.After(max(pause, 0))
	defer stopTimer()
	select {
	case <-expired:
	case <-g.membersChanged:
	case <-ctx.Done():
	}
}

func (g *Gateway) registerOnce(ctx context.Context) {
	name := g.Dialect.MemberKind + "/" + g.Name
	self := memberEntry{
		Member:      mesh.Member{Name: g.Name, Address: g.Address, Incarnation: g.incarnation, Zone: g.Zone, Capacity: g.Capacity},
		SharedPools: g.sharedPools(),
	}
	value, err := json.Marshal(self)
	if err != nil {
		g.Log.Error("member entry not encoded", logs.KeyError, err)
		return
	}
	_, err = g.Store.Put(ctx, name, g.feeds.members.Version(name), value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// The entry belongs to an earlier run of this process, or this run wrote it
		// and the answer was lost.
		_, err = g.Store.Put(ctx, name, conflict.Current.Version, value)
	}
	if err != nil {
		g.Log.Info("member entry not written yet", logs.KeyError, err)
		return
	}
	g.statedPools.Store(&self.SharedPools)
	g.listed.Store(true)
}

// Deregister removes this process from the member list at the end of a planned stop.
// If that fails, peers still detect the stop by the end of the sessions.
func (g *Gateway) Deregister(ctx context.Context) {
	name := g.Dialect.MemberKind + "/" + g.Name
	object, err := g.Store.Get(ctx, name)
	var entry memberEntry // of this run or, if that has started already, of the next one under the name
	if err == nil && json.Unmarshal(object.Value, &entry) == nil && entry.Incarnation == g.incarnation {
		err = g.Store.Delete(ctx, name, object.Version)
	}
	if err != nil {
		g.Log.Info("member entry not removed", logs.KeyError, err)
	}
}
