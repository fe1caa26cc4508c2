package mesh

import (
	"cmp"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/route/owner"
	"github.com/jujubescale/jujubescale/internal/route/relay"
)

// view is the live processes as this one sees them. It is immutable, but for the
// owners that it remembers.
type view struct {
	names     []string
	processes []owner.Process
	plan      *relay.Plan
	// reachable is the plan if processes that report to nobody did. Aggregators
	// exchange sums with its aggregators, too: two parts of a fleet that were cut
	// off from each other each believe that the other one is absent.
	reachable *relay.Plan
	owners    sync.Map // subjectIn to the owner's name
}

// subjectIn is a subject whose engines stand in an availability zone, "" for
// several.
type subjectIn struct{ subject, zone string }

// publish computes the view anew; the caller holds the lock or is alone.
func (m *Mesh) publish() {
	v := &view{}
	var reachable []owner.Process
	if m.owns {
		v.add(m.self)
	}
	for name, member := range m.members {
		switch {
		case isRun(m.lost, name, member.Incarnation) || isRun(m.leaving, name, member.Incarnation):
		case isRun(m.absent, name, member.Incarnation):
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
		v.reachable = relay.New(append(reachable, v.processes...))
	}
	m.view.Store(v)
}

// isRun reports whether a set holds a run of a process.
func isRun(set map[string]token.Incarnation, name string, run token.Incarnation) bool {
	held, found := set[name]
	return found && held == run
}

func (v *view) add(member Member) { v.processes = append(v.processes, processOf(member)) }

func processOf(member Member) owner.Process {
	return owner.Process{
		Name: member.Name, Key: member.Name + "/" + member.Incarnation.String(), Capacity: member.Capacity, Zone: member.Zone,
	}
}

// LiveProcesses returns the names of the processes that can own pools, this one among
// them.
func (m *Mesh) LiveProcesses() []string { return m.view.Load().names }

// Count returns the number of processes that share what is bounded for all.
func (m *Mesh) Count() int { return len(m.view.Load().names) }

// MayRelay reports whether others will hear from this process once it can serve:
// there are no others yet, or it would be an aggregator among them.
func (m *Mesh) MayRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	processes := []owner.Process{processOf(m.self)}
	for _, member := range m.members {
		processes = append(processes, processOf(member))
	}
	return len(processes) < leastPeers || len(owner.Eligible(processes)) == len(processes) || isStrong(m.self, processes)
}

// leastPeers is the number of processes up to which each reads the lists itself.
const leastPeers = 8

func isStrong(self Member, processes []owner.Process) bool {
	return slices.ContainsFunc(owner.Eligible(processes), func(p owner.Process) bool { return p.Name == self.Name })
}

// IsWatcher reports whether this process watches the store for others.
func (m *Mesh) IsWatcher() bool { return slices.Contains(m.view.Load().plan.Watchers, m.self.Name) }

// Owner returns the process that owns a subject now.
func (m *Mesh) Owner(subject string) string { return m.OwnerIn(subject, "") }

// OwnerIn returns the process that owns a subject whose engines stand in an
// availability zone: one of that zone if it has any.
func (m *Mesh) OwnerIn(subject, zone string) string {
	v := m.view.Load()
	key := subjectIn{subject: subject, zone: zone}
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

// Owns reports whether this process owns a subject now.
func (m *Mesh) Owns(subject string) bool { return m.Owner(subject) == m.self.Name }
