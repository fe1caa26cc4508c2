package roster

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// maxWatchers is the number of entries that watch the head object. Each open
// watch counts as a platform call, so the number must not grow with the fleet.
// The other entries get changes from their peers within a few hops.
const maxWatchers = 8

// position is one host on a ring.
type position struct {
	hash uint64
	host store.Host
}

// ring holds hosts, sorted by the hash of their names. This order does not
// depend on how operators name hosts, so neighbours on the ring usually are in
// different racks and zones.
type ring []position

func newRing(hosts []store.Host) ring {
	r := make(ring, 0, len(hosts))
	for _, host := range hosts {
		r = append(r, position{hash: xxhash.Sum64String(host.Name), host: host})
	}
	slices.SortFunc(r, func(a, b position) int {
		if order := cmp.Compare(a.hash, b.hash); order != 0 {
			return order
		}
		return cmp.Compare(a.host.Name, b.host.Name)
	})
	return r
}

// index returns the index of a name on the ring, or that at which it would be
// inserted.
func (r ring) index(name string) int {
	hash := xxhash.Sum64String(name)
	return sort.Search(len(r), func(i int) bool { return r[i].hash >= hash })
}

// arc returns size consecutive hosts, beginning at index start.
func (r ring) arc(start, size int) []store.Host {
	size = min(size, len(r))
	hosts := make([]store.Host, 0, size)
	for i := range size {
		hosts = append(hosts, r[(start+i)%len(r)].host)
	}
	return hosts
}

func splitByZone(hosts []store.Host, zone string) (local, remote []store.Host) {
	for _, host := range hosts {
		if host.AvailabilityZone == zone {
			local = append(local, host)
			continue
		}
		remote = append(remote, host)
	}
	return local, remote
}

// Subset returns the endpoints of a pool to which an entry holds sessions. The
// arcs of the entries are spread evenly over the ring of endpoints, so the
// numbers of entries per endpoint differ by one or two. With a random choice,
// some endpoints would get no entry at all. Up to three quarters of the subset
// are in the entry's zone. The rest are in other zones, so that work can leave
// the zone.
func Subset(self store.Host, entries, endpoints []store.Host, size int) []store.Host {
	if len(endpoints) <= size {
		return newRing(endpoints).arc(0, size)
	}
	local, remote := splitByZone(endpoints, self.AvailabilityZone)
	localEntries, _ := splitByZone(entries, self.AvailabilityZone)
	localSize := min(len(local), size*3/4)
	remoteSize := min(len(remote), size-localSize)
	localSize = min(len(local), size-remoteSize)
	chosen := subsetArc(self, localEntries, local, localSize)
	return append(chosen, subsetArc(self, entries, remote, remoteSize)...)
}

// subsetArc returns the arc of the ring of endpoints that belongs to self.
func subsetArc(self store.Host, entries, endpoints []store.Host, size int) []store.Host {
	if len(endpoints) == 0 || size == 0 {
		return nil
	}
	all := newRing(withSelf(self, entries))
	start := all.index(self.Name) * len(endpoints) / len(all)
	return newRing(endpoints).arc(start, size)
}

// withSelf adds self to the entries if it is missing: the platform's list lags.
func withSelf(self store.Host, entries []store.Host) []store.Host {
	for _, entry := range entries {
		if entry.Name == self.Name {
			return entries
		}
	}
	return append(slices.Clone(entries), self)
}

// IsWatcher reports whether an entry is one of the few that watch the head. The
// watchers are spaced evenly on the ring, so that no entry is far from one. While
// the lists of entries differ, there can be a few watchers more or fewer.
func IsWatcher(self store.Host, entries []store.Host) bool {
	r := newRing(withSelf(self, entries))
	own := r.index(self.Name)
	if own == 0 || len(r) <= maxWatchers {
		return true
	}
	return own*maxWatchers/len(r) != (own-1)*maxWatchers/len(r)
}

// Peers returns the entries to which an entry opens sessions: its successor, so
// that the ring is closed, and some at growing distances, so that a change
// reaches every entry within a few hops. About as many entries open a session to
// this one.
func Peers(self store.Host, entries []store.Host) []store.Host {
	r := newRing(withSelf(self, entries))
	own := r.index(self.Name)
	var peers []store.Host
	for _, distance := range distances(len(r)) {
		host := r[(own+distance)%len(r)].host
		added := slices.ContainsFunc(peers, func(h store.Host) bool { return h.Name == host.Name })
		if host.Name != self.Name && !added {
			peers = append(peers, host)
		}
	}
	return peers
}

// distances returns the distances to the peers on a ring of that length. There
// are length/maxWatchers entries between two watchers: one long, a few medium
// and a few single steps cross them. The last distance leads to the opposite
// side of the ring.
func distances(length int) []int {
	segment := float64(length) / maxWatchers
	return []int{1, int(math.Sqrt(segment)), int(segment / 2), length / 2}
}
