package roster

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// maxWatchers is how many entries wait on a watch of the head object. Each
// waiting watch counts as a call, so their number must not grow with the
// fleet; the others hear from their peers within a few hops.
const maxWatchers = 8

// place is one host on a ring.
type place struct {
	hash uint64
	host store.Host
}

// ring is hosts in the order of the hashes of their names: an order that has
// nothing to do with how operators name hosts, so neighbours on it stand in
// different racks and zones.
type ring []place

func newRing(hosts []store.Host) ring {
	r := make(ring, 0, len(hosts))
	for _, host := range hosts {
		r = append(r, place{hash: xxhash.Sum64String(host.Name), host: host})
	}
	slices.SortFunc(r, func(a, b place) int {
		if order := cmp.Compare(a.hash, b.hash); order != 0 {
			return order
		}
		return cmp.Compare(a.host.Name, b.host.Name)
	})
	return r
}

// rank returns the place of a name on the ring, or where it would stand.
func (r ring) rank(name string) int {
	hash := xxhash.Sum64String(name)
	return sort.Search(len(r), func(i int) bool { return r[i].hash >= hash })
}

// arc returns size hosts from a place on.
func (r ring) arc(start, size int) []store.Host {
	size = min(size, len(r))
	taken := make([]store.Host, 0, size)
	for i := range size {
		taken = append(taken, r[(start+i)%len(r)].host)
	}
	return taken
}

func inZone(hosts []store.Host, zone string) (near, far []store.Host) {
	for _, host := range hosts {
		if host.AvailabilityZone == zone {
			near = append(near, host)
			continue
		}
		far = append(far, host)
	}
	return near, far
}

// Subset returns the endpoints of a pool that one entry keeps sessions to. The
// entries share the ring of endpoints evenly by their own rank, so each
// endpoint is held by the same number of entries, give or take one or two:
// drawing at random instead leaves some endpoints to nobody. Up to three
// quarters are in the entry's zone, the rest keep the way out of it open.
func Subset(self store.Host, entries, endpoints []store.Host, size int) []store.Host {
	if len(endpoints) <= size {
		return newRing(endpoints).arc(0, size)
	}
	near, far := inZone(endpoints, self.AvailabilityZone)
	nearEntries, _ := inZone(entries, self.AvailabilityZone)
	nearSize := min(len(near), size*3/4)
	farSize := min(len(far), size-nearSize)
	nearSize = min(len(near), size-farSize)
	chosen := share(self, nearEntries, near, nearSize)
	return append(chosen, share(self, entries, far, farSize)...)
}

// share cuts this entry's arc out of the ring of endpoints.
func share(self store.Host, entries, endpoints []store.Host, size int) []store.Host {
	if len(endpoints) == 0 || size == 0 {
		return nil
	}
	sharers := newRing(withSelf(self, entries))
	start := sharers.rank(self.Name) * len(endpoints) / len(sharers)
	return newRing(endpoints).arc(start, size)
}

// withSelf adds this process: the platform's list lags and may not have it yet.
func withSelf(self store.Host, entries []store.Host) []store.Host {
	for _, entry := range entries {
		if entry.Name == self.Name {
			return entries
		}
	}
	return append(slices.Clone(entries), self)
}

// IsWatcher reports whether an entry is one of the few that watch the head. They
// stand evenly on the ring, so that nobody is far from one. Entries with
// different lists may disagree for a while; then there are a few watches more
// or fewer.
func IsWatcher(self store.Host, entries []store.Host) bool {
	r := newRing(withSelf(self, entries))
	own := r.rank(self.Name)
	if own == 0 || len(r) <= maxWatchers {
		return true
	}
	return own*maxWatchers/len(r) != (own-1)*maxWatchers/len(r)
}

// Peers returns the entries that an entry keeps sessions to: its successor, so
// that the ring is closed, and some at growing distances, so that news reaches
// everyone within a few hops. Each entry is also dialled by as many.
func Peers(self store.Host, entries []store.Host) []store.Host {
	r := newRing(withSelf(self, entries))
	own := r.rank(self.Name)
	var peers []store.Host
	for _, distance := range distances(len(r)) {
		host := r[(own+distance)%len(r)].host
		known := slices.ContainsFunc(peers, func(h store.Host) bool { return h.Name == host.Name })
		if host.Name != self.Name && !known {
			peers = append(peers, host)
		}
	}
	return peers
}

// distances returns how far on a ring of that length the peers are. Between
// two watchers lie length/maxWatchers entries: one long jump, a few middle and
// a few single steps cross that. The last leads to the other side.
func distances(length int) []int {
	segment := float64(length) / maxWatchers
	return []int{1, int(math.Sqrt(segment)), int(segment / 2), length / 2}
}
