// Package owner decides which of the processes that are alive hosts a pool.
//
// Every process decides alone and by the same hash, so that they agree without
// a message as long as they see the same processes. Where they see different
// ones for a moment, a pool has two owners; that costs smaller batches and
// refused calls, never a wrong answer.
package owner

import "github.com/cespare/xxhash/v2"

// Of returns the process with the highest hash for a subject, "" without
// processes. When a process leaves, only the subjects that it owned move.
func Of(subject string, processes []string) string {
	var best string
	var top uint64
	for _, process := range processes {
		if weight := Weight(subject, process); best == "" || weight > top || (weight == top && process < best) {
			best, top = process, weight
		}
	}
	return best
}

// Weight ranks one process for a subject; the highest owns it.
func Weight(subject, process string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(subject) // never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(process)
	return digest.Sum64()
}
