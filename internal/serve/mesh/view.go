package mesh

import (
	"cmp"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/route/owner"
	"github.com/jujubescale/jujubescale/internal/route/relay"
)

// view is this process's list of live processes and what follows from it. It is
// immutable except for owners, which is a cache.
type view struct {
	names     []string
	processes []owner.Process
	plan      *relay.Plan
	// reachable is the plan that results if absent processes are included.
	// Aggregators exchange sums with its aggregators, too: after a network
	// partition, each part of the fleet has marked the other one as absent.
	reachable *relay.Plan
	// keepers holds the processes that keep the origins of streams, sorted.
	keepers []string
	owners  sync.Map // zonedSubject to the owner's name
}

// zonedSubject is a subject and the availability zone of its engines, "" if they
// are in several zones.
type zonedSubject struct{ subject, zone string }

// updateView recomputes the view. The caller holds the lock, except in New.
func (m *Mesh) updateView() {
	v := &view{}
	var reachable, leaving []owner.Process
	if m.owns {
		v.add(m.self)
	}
	for name, member := range m.members {
		switch {
		case hasIncarnation(m.unreachable, name, member.Incarnation):
		case hasIncarnation(m.leaving, name, member.Incarnation):
			leaving = append(leaving, processOf(member))
		case hasIncarnation(m.absent, name, member.Incarnation):
			reachable = append(reachable, processOf(member))
		default:
			v.add(member)
		}
	}
	if len(v.processes) == 0 {
		v.add(m.self)
	}
	slices.SortFunc(v.processes, func(a, b owner.Process) int { return cmp.Compare(a.Name, b.Name) })
	for _, process := range v.processes {
		v.names = append(v.names, process.Name)
	}
	v.plan = relay.New(v.processes)
	v.reachable = v.plan
	if len(reachable) > 0 {
		v.reachable = relay.New(slices.Concat(reachable, v.processes))
	}
	v.keepers = v.plan.KeepersWith(func() *relay.Plan { return relay.New(slices.Concat(reachable, leaving, v.processes)) })
	m.view.Store(v)
}

// hasIncarnation reports whether a set holds this incarnation of a process.
func hasIncarnation(set map[string]token.Incarnation, name string, incarnation token.Incarnation) bool {
	current, found := set[name]
	return found && current == incarnation
}

func (v *view) add(member Member) { v.processes = append(v.processes, processOf(member)) }

func processOf(member Member) owner.Process {
	return owner.Process{
		Name: member.Name, Key: member.Name + "/" + member.Incarnation.String(), Capacity: member.Capacity, Zone: member.Zone,
	}
}

// LiveProcesses returns the names of the processes that can own pools, including
// this process while it may own pools or if there is no other.
func (m *Mesh) LiveProcesses() []string { return m.view.Load().names }

// Count returns the number of live processes, by which limits of the whole fleet
// are divided.
func (m *Mesh) Count() int { return len(m.view.Load().names) }

// MayRelay reports whether peers may follow the store through this process once it
// serves: the fleet is small, or this process is eligible as an aggregator.
func (m *Mesh) MayRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	processes := []owner.Process{processOf(m.self)}
	for _, member := range m.members {
		processes = append(processes, processOf(member))
	}
	return len(processes) < smallFleet || owner.IsEligible(m.self.Name, processes)
}

// smallFleet is the number of processes below which each process reads the lists
// itself when it starts.
const smallFleet = 8

// IsWatcher reports whether this process reads the store for others.
func (m *Mesh) IsWatcher() bool { return slices.Contains(m.view.Load().plan.Watchers, m.self.Name) }

// Owner returns the name of the process that owns a subject now.
func (m *Mesh) Owner(subject string) string { return m.OwnerIn(subject, "") }

// OwnerIn returns the name of the process that owns a subject whose engines are in
// an availability zone: a process of that zone if it has one.
func (m *Mesh) OwnerIn(subject, zone string) string {
	v := m.view.Load()
	key := zonedSubject{subject: subject, zone: zone}
	if known, found := v.owners.Load(key); found {
		return known.(string)
	}
	name := owner.Of(subject, v.processes)
	if zone != "" {
		name = owner.InZone(subject, zone, v.processes)
	}
	v.owners.Store(key, name)
	return name
}

// Role describes the part of this process in the plan, and the plan, for logs.
func (m *Mesh) Role() string { return m.view.Load().plan.Role(m.self.Name) }

// Owns reports whether this process owns a subject now.
func (m *Mesh) Owns(subject string) bool { return m.Owner(subject) == m.self.Name }
