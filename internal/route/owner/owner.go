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
}

// Of returns the name of the process with the highest hash for a subject, ""
// without processes. When a process leaves, only the subjects that it owned
// move.
func Of(subject string, processes []Process) string {
	best := -1
	var top uint64
	for i, process := range processes {
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

// Weight ranks one candidate for a subject; the highest is chosen.
func Weight(subject, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(subject) // never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
