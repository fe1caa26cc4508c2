// Package owner decides which of the processes that are alive hosts a pool.
//
// Every process decides alone and by the same hash, so that they agree without
// a message as long as they see the same processes. Where they see different
// ones for a moment, a pool has two owners; that costs smaller batches and
// refused calls, never a wrong answer.
package owner

import "github.com/cespare/xxhash/v2"

// Process is one run of a process.
type Process struct {
	Name string
	// Key names this run of it. A process that was restarted has another key, so
	// that what it owned before doesn't move a second time when it returns: each
	// move leaves results behind in the engines' memory that the new owner has
	// not made. In a restart of all hosts one after the other, pools then move
	// once for each restart of their owner and not twice.
	Key string
	// Capacity is what the process may use of its host, in cores.
	Capacity float64
	// Zone is the availability zone of its host.
	Zone string
}

// strongShare is the part of the largest capacity from which a process may own.
// An owner takes and sends the pieces of all processes' requests; a host with an
// eighth of a processor and a slow link does that late in bursts.
const strongShare = 0.5

// Of returns the name of the process with the highest hash for a subject, ""
// without processes. When a process leaves, only the subjects that it owned
// move.
func Of(subject string, processes []Process) string {
	best := -1
	var top uint64
	least := strongShare * largest(processes)
	for i, process := range processes {
		if process.Capacity < least {
			continue
		}
		weight := Weight(subject, process.Key)
		if best < 0 || weight > top || (weight == top && process.Key < processes[best].Key) {
			best, top = i, weight
		}
	}
	if best < 0 {
		return ""
	}
	return processes[best].Name
}

// InZone returns the owner of a subject whose engines stand in an availability zone:
// a process of that zone, or any if the zone has none.
func InZone(subject, zone string, processes []Process) string {
	var near []Process
	for _, process := range processes {
		if process.Zone == zone {
			near = append(near, process)
		}
	}
	if len(near) == 0 {
		near = processes
	}
	return Of(subject, near)
}

// Eligible returns the processes on hosts large enough to work for others.
func Eligible(processes []Process) []Process {
	least := strongShare * largest(processes)
	var strong []Process
	for _, process := range processes {
		if process.Capacity >= least {
			strong = append(strong, process)
		}
	}
	return strong
}

func largest(processes []Process) float64 {
	most := 0.0
	for _, process := range processes {
		most = max(most, process.Capacity)
	}
	return most
}

// Weight ranks one candidate for a subject; the highest is chosen.
func Weight(subject, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(subject) // never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
