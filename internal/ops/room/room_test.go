package room_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/ops/room"
)

func inZone(zone string) func(*room.Endpoint) bool {
	return func(e *room.Endpoint) bool { return e.AvailabilityZone == zone }
}

// An operator evacuates a zone under high load. Guards against a wrong approval:
// queues would grow and deadlines would pass in the remaining zones.
func TestSufficientCapacity(t *testing.T) {
	warm := func(zone string, running int) room.Endpoint {
		return room.Endpoint{Pool: "engines", AvailabilityZone: zone, Known: true, Running: running, Limit: 8}
	}
	cases := map[string]struct {
		endpoints  []room.Endpoint
		sufficient bool
		after      int
	}{
		"enough remains":     {[]room.Endpoint{warm("a", 4), warm("b", 4), warm("c", 4)}, true, 16},
		"too little remains": {[]room.Endpoint{warm("a", 6), warm("b", 6), warm("c", 6)}, false, 16},
		"nothing remains":    {[]room.Endpoint{warm("a", 0)}, false, 0},
		"another zone is out of service": {
			[]room.Endpoint{warm("a", 4), {Pool: "engines", AvailabilityZone: "b", Known: true, Limit: 8, OutOfService: true}, warm("c", 4)}, false, 8,
		},
		"unreachable agents count as no capacity": {
			[]room.Endpoint{warm("a", 4), warm("b", 4), {Pool: "engines", AvailabilityZone: "c"}}, false, 8,
		},
		"a cold endpoint counts with its current limit": {
			[]room.Endpoint{warm("a", 4), warm("b", 4), {Pool: "engines", AvailabilityZone: "c", Known: true, Limit: 1, Cold: true}}, false, 9,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pools := room.CheckRemoval(c.endpoints, inZone("a"))
			assert.Equal(t, len(pools), 1)
			assert.Equal(t, pools[0].LimitAfter, c.after)
			assert.Equal(t, room.AllSufficient(pools), c.sufficient)
		})
	}
}

func TestUnaffectedPoolsAreOmitted(t *testing.T) {
	endpoints := []room.Endpoint{{Pool: "full", AvailabilityZone: "b", Known: true, Running: 9, Limit: 1}}
	assert.Equal(t, len(room.CheckRemoval(endpoints, inZone("a"))), 0)
}

// Guards against a result that improves when more endpoints are removed.
func TestRemovingMoreNeverImprovesResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) room.Endpoint {
			return room.Endpoint{
				Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"), AvailabilityZone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Known: rapid.Bool().Draw(t, "known"), Running: rapid.IntRange(0, 9).Draw(t, "running"), Limit: rapid.IntRange(0, 9).Draw(t, "limit"),
			}
		}), 1, 12).Draw(t, "endpoints")
		both := room.CheckRemoval(endpoints, func(e *room.Endpoint) bool { return e.AvailabilityZone != "c" })
		if room.AllSufficient(both) && !room.AllSufficient(room.CheckRemoval(endpoints, inZone("a"))) {
			t.Fatal("capacity suffices without two zones, but not without one of them")
		}
	})
}
