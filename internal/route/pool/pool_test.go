package pool_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/route/pool"
)

func identity(name, zone string) pool.Identity {
	return pool.Identity{Pool: "p", Name: name, AvailabilityZone: zone, Address: name + ":1"}
}

func ExampleEndpoint_Load() {
	endpoint := pool.NewEndpoint(identity("e1", "a"))
	endpoint.SetReport(1, pool.Report{Load: 5, Limit: 8})
	endpoint.RecordSend()
	fmt.Println(endpoint.Load(1), endpoint.Utilisation(1))
	// Output: 6000 875
}

// Guards against an endpoint that leaves or was disabled by an operator, and gets work
// again because another exclusion was cleared.
func TestViewHoldsEndpointsWithoutExclusions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pool.New("a")
		exclusions := map[string]pool.Exclusion{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(t, "name")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				zone := map[bool]string{true: "a", false: "b"}[name < "e3"]
				p.Add(identity(name, zone), 0)
				exclusions[name] |= 0
			case 1:
				p.Remove(name)
				delete(exclusions, name)
			default:
				exclusion := rapid.SampledFrom([]pool.Exclusion{pool.ExcludeLeaving, pool.ExcludeUnreachable, pool.ExcludeZone}).Draw(t, "exclusion")
				set := rapid.Bool().Draw(t, "set")
				p.SetExclusion(name, exclusion, set)
				if old, known := exclusions[name]; known {
					exclusions[name] = old &^ exclusion
					if set {
						exclusions[name] |= exclusion
					}
				}
			}
			want := 0
			for _, set := range exclusions {
				if set == 0 {
					want++
				}
			}
			assert.Equal(t, p.View().Len(), want)
			assert.Equal(t, p.View().Total, len(exclusions))
			for _, endpoint := range p.View().Near {
				assert.Equal(t, endpoint.AvailabilityZone, "a")
			}
		}
	})
}

// Guards against using the state of an old host for a new one under the same name,
// which is cold and has a low limit.
func TestReplacedEndpointStartsWithoutReport(t *testing.T) {
	p := pool.New("a")
	p.Add(identity("e1", "a"), 0).SetReport(1, pool.Report{Limit: 8})
	moved := identity("e1", "a")
	moved.Address = "elsewhere:1"
	assert.Equal(t, p.Add(moved, 0).Report().Limit, 1)
	assert.Equal(t, p.Add(moved, 0), p.Endpoint("e1"))
}

func TestLoadIsAtLeastOwnCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoint := pool.NewEndpoint(identity("e", "a"))
		own := int64(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch event := rapid.IntRange(0, 2).Draw(t, "event"); {
			case event == 0:
				endpoint.RecordSend()
				own++
			case event == 1 && own > 0:
				endpoint.RecordAnswer(1, 7)
				own--
			default:
				endpoint.SetReport(1, pool.Report{Load: rapid.IntRange(0, 9).Draw(t, "load"), Limit: 4})
			}
			assert.Assert(t, endpoint.Load(1) >= own*1000)
			assert.Equal(t, endpoint.OwnCalls(), own)
		}
	})
}

func TestSubsetIsStableAndPrefersOwnZone(t *testing.T) {
	var members []pool.Identity
	for i := range 400 {
		members = append(members, identity(fmt.Sprintf("e%d", i), fmt.Sprintf("z%d", i%4)))
	}
	before := pool.Subset("entry-1", "z1", members, 64)
	assert.Equal(t, len(before), 64)
	near := 0
	for _, m := range before {
		if m.AvailabilityZone == "z1" {
			near++
		}
	}
	assert.Assert(t, near >= 48)
	gone := before[10]
	var left []pool.Identity
	for _, m := range members {
		if m != gone {
			left = append(left, m)
		}
	}
	kept := map[pool.Identity]bool{}
	for _, m := range pool.Subset("entry-1", "z1", left, 64) {
		kept[m] = true
	}
	for _, m := range before {
		assert.Assert(t, m == gone || kept[m], "%s was replaced although it did not leave", m.Name)
	}
}
