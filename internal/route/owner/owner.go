// Package owner decides which live process owns a pool.
//
// Every process computes the same hash alone, so that all agree without messages while
// they see the same processes. While they see different ones, a pool may have two
// owners; that causes smaller batches and refused calls, but no wrong answers.
package owner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Process is one incarnation of a process.
type Process struct {
	Name string
	// Key identifies the incarnation. A restarted process has a new key, so that the
	// pools that it owned before do not return to it and move a second time. Each move
	// leaves results in the engines' memory of which the new owner has no record. In a
	// rolling restart of all hosts, pools therefore move once per restart of their
	// owner instead of twice.
	Key string
	// Capacity is the number of cores that the process may use on its host.
	Capacity float64
	// Zone is the availability zone of the host.
	Zone string
}

// eligibleShare is the share of the largest capacity that a process must have to
// become an owner. An owner sends the pieces of the requests of all processes; during
// bursts, a host with an eighth of a processor and a slow link would delay them.
const eligibleShare = 0.5

// Of returns the name of the eligible process with the highest weight for a subject,
// "" if there are no processes. When a process leaves, only its own subjects move.
func Of(subject string, processes []Process) string {
	best := -1
	var topWeight uint64
	minCapacity := eligibleShare * maxCapacity(processes)
	for i, process := range processes {
		if process.Capacity < minCapacity {
			continue
		}
		weight := Weight(subject, process.Key)
		if best < 0 || weight > topWeight || (weight == topWeight && process.Key < processes[best].Key) {
			best, topWeight = i, weight
		}
	}
	if best < 0 {
		return ""
	}
	return processes[best].Name
}

// InZone returns the owner of a subject whose engines are in an availability zone: a
// process in that zone, or any process if the zone has none.
func InZone(subject, zone string, processes []Process) string {
	var inZone []Process
	for _, process := range processes {
		if process.Zone == zone {
			inZone = append(inZone, process)
		}
	}
	if len(inZone) == 0 {
		inZone = processes
	}
	return Of(subject, inZone)
}

// Eligible returns the processes on hosts that are large enough to work for others.
func Eligible(processes []Process) []Process {
	minCapacity := eligibleShare * maxCapacity(processes)
	var eligible []Process
	for _, process := range processes {
		if process.Capacity >= minCapacity {
			eligible = append(eligible, process)
		}
	}
	return eligible
}

// IsEligible reports whether a process is on a host that is large enough to work for others.
func IsEligible(name string, processes []Process) bool {
	return slices.ContainsFunc(Eligible(processes), func(p Process) bool { return p.Name == name })
}

func maxCapacity(processes []Process) float64 {
	largest := 0.0
	for _, process := range processes {
		largest = max(largest, process.Capacity)
	}
	return largest
}

// Weight returns the rendezvous weight of a candidate for a subject. The candidate
// with the highest weight is chosen.
func Weight(subject, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(subject) // never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
