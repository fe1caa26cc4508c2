package origin

import (
	"cmp"
	"slices"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

const (
	// copies is the number of processes that keep the origin of a stream, besides the one
	// that began it. Two processes may end at the same moment, one of them a keeper's host.
	copies = 3
	// asked is the number of processes that are asked for an origin. A process that has
	// started again counts as a keeper at once, without the origins that it kept.
	asked = copies + 1
	// writerShare is the number of processes that may keep origins for each one that writes them
	// to the store.
	writerShare = 6
)

// Keepers returns the processes that keep the origin of a stream, out of those that may.
func Keepers(key Key, processes []string) []string { return first(key, processes, copies) }

// Asked returns the processes to ask for the origin of a stream.
func Asked(key Key, processes []string) []string { return first(key, processes, asked) }

// Writer returns the process that writes the origin of a stream to the store, out of those that may
// keep it, "" if there are none.
func Writer(key Key, processes []string) string {
	writers := first(Key{}, processes, (len(processes)+writerShare-1)/writerShare)
	if len(writers) == 0 {
		return ""
	}
	return first(key, writers, 1)[0]
}

// first returns the processes with the highest weights for a stream. All processes that see
// the same list return the same ones, and a change of the list moves few streams.
func first(key Key, processes []string, count int) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	candidates := make([]candidate, 0, len(processes))
	for _, name := range processes {
		candidates = append(candidates, candidate{name: name, weight: owner.Weight(string(key[:]), name)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, count)
	for _, c := range candidates[:min(count, len(candidates))] {
		names = append(names, c.name)
	}
	return names
}
