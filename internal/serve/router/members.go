package router

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// nameOf returns the name of an object without its kind.
func nameOf(object string) string {
	_, name, _ := strings.Cut(object, "/")
	return name
}

// names follows a kind of objects of which only the names matter.
type names struct {
	known   map[string]bool
	setFunc func([]string)
}

func newNames(set func([]string)) *names { return &names{known: make(map[string]bool), setFunc: set} }

func (n *names) list(objects []store.Object, _ clock.Millis) {
	n.known = make(map[string]bool, len(objects))
	for _, object := range objects {
		n.known[nameOf(object.Name)] = true
	}
	n.set()
}

func (n *names) change(changes []store.Change) {
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

// members follows the list of gateways.
type members struct {
	known   map[string]mesh.Member
	setFunc func([]mesh.Member)
}

func newMembers(set func([]mesh.Member)) *members {
	return &members{known: make(map[string]mesh.Member), setFunc: set}
}

func (m *members) list(objects []store.Object, _ clock.Millis) {
	m.known = make(map[string]mesh.Member, len(objects))
	for _, object := range objects {
		m.put(object)
	}
	m.set()
}

func (m *members) change(changes []store.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(m.known, nameOf(change.Object.Name))
			continue
		}
		m.put(change.Object)
	}
	m.set()
}

// put takes an entry; one that can't be read names nobody.
func (m *members) put(object store.Object) {
	var member mesh.Member
	if err := json.Unmarshal(object.Value, &member); err != nil || member.Name != nameOf(object.Name) {
		delete(m.known, nameOf(object.Name))
		return
	}
	m.known[member.Name] = member
}

func (m *members) set() { m.setFunc(slices.Collect(maps.Values(m.known))) }

// setMembers takes the list of gateways.
func (g *Gateway) setMembers(members []mesh.Member) {
	listed := false
	for _, member := range members {
		if member.Name == g.Name && member.Incarnation == g.incarnation {
			listed = true
		}
	}
	g.member.Store(listed)
	g.mesh.SetMembers(members)
}

const (
	// enlistEvery is how often a process looks whether it is still listed.
	enlistEvery = 500 * clock.Millis(1)
	// readyLook is how often a process that starts looks whether it is ready.
	readyLook = 20 * clock.Millis(1)
)

// enlist lists this process once it can serve, and does so again when its entry
// was removed: whoever is listed may be asked for pieces.
func (g *Gateway) enlist(ctx context.Context) {
	for ctx.Err() == nil {
		pause := enlistEvery
		switch {
		case !g.gate.Ready():
			pause = readyLook
		case !g.member.Load():
			g.enlistOnce(ctx)
		}
		_ = g.Clock.Sleep(ctx, pause) // the loop sees the end of the context
	}
}

func (g *Gateway) enlistOnce(ctx context.Context) {
	name := g.Dialect.MemberKind + "/" + g.Name
	self := mesh.Member{Name: g.Name, Address: g.Address, Incarnation: g.incarnation, Zone: g.Zone, Capacity: g.Capacity}
	value, err := json.Marshal(self)
	if err != nil {
		g.Log.Error("not listed", logs.KeyError, err)
		return
	}
	_, err = g.Store.Put(ctx, name, g.feeds.members.Version(name), value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// An entry of the process that ran here before, or this one's own, whose
		// answer was lost.
		_, err = g.Store.Put(ctx, name, conflict.Current.Version, value)
	}
	if err != nil {
		g.Log.Info("not listed yet", logs.KeyError, err)
		return
	}
	g.member.Store(true)
}

// Deregister removes this process from the list at the end of a planned stop. If
// that fails, peers notice the end of the sessions all the same.
func (g *Gateway) Deregister(ctx context.Context) {
	name := g.Dialect.MemberKind + "/" + g.Name
	object, err := g.Store.Get(ctx, name)
	if err == nil && object.Version > 0 {
		err = g.Store.Delete(ctx, name, object.Version)
	}
	if err != nil {
		g.Log.Info("still listed", logs.KeyError, err)
	}
}
