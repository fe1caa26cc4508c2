package relay_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/owner"
	"github.com/jujubescale/jujubescale/internal/route/relay"
)

// fleet returns count processes in five availability zones, one in six of them on a
// large host.
func fleet(count int) []owner.Process {
	var all []owner.Process
	for i := range count {
		process := owner.Process{Name: fmt.Sprintf("gateway-%04d", i), Capacity: 0.144, Zone: fmt.Sprint("zone-", i%5)}
		process.Key = process.Name + "/1"
		if i/5%6 == 0 {
			process.Capacity = 0.8
		}
		all = append(all, process)
	}
	return all
}

func avoidNone(string) bool { return false }

func ExampleNew() {
	plan := relay.New([]owner.Process{{Name: "a", Key: "a/1", Zone: "east"}, {Name: "b", Key: "b/1", Zone: "west"}})
	fmt.Println(plan.Aggregators)
	fmt.Println(plan.AggregatorFor("c", "west", func(string) bool { return false }))
	// Output:
	// [a b]
	// b
}

// Guards against traffic per process that grows with the fleet: a process has one
// destination, an aggregator about the square root of the number of processes.
func TestDestinationsDoNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{1, 3, 10, 100, 500, 1000} {
		all := fleet(count)
		plan := relay.New(all)
		groups := make(map[string]int)
		for _, process := range all {
			if !plan.IsAggregator(process.Name) {
				groups[plan.AggregatorFor(process.Name, process.Zone, avoidNone)]++
			}
		}
		most := 0
		for _, name := range plan.Aggregators {
			most = max(most, groups[name]+len(plan.Aggregators)-1)
		}
		t.Logf("%d processes: %d aggregators, at most %d destinations", count, len(plan.Aggregators), most)
		assert.Assert(t, most <= 12+int(4*math.Sqrt(float64(count))), "%d processes: %d destinations", count, most)
		assert.Equal(t, len(plan.Watchers), min(relay.Watchers, len(plan.Aggregators)))
		for _, name := range plan.Watchers {
			assert.Assert(t, plan.IsAggregator(name))
		}
	}
}

// Guards against aggregators on small hosts, where the aggregation takes capacity that
// callers need.
func TestAggregatorsRunOnLargeHosts(t *testing.T) {
	all := fleet(100)
	for _, name := range relay.New(all).Aggregators {
		at := slices.IndexFunc(all, func(p owner.Process) bool { return p.Name == name })
		assert.Equal(t, all[at].Capacity, 0.8)
	}
}

// Guards against reports of the whole fleet that change their aggregator when one
// process ends.
func TestOnlyReportsToTheLostAggregatorMove(t *testing.T) {
	for _, count := range []int{10, 100, 500, 1000} {
		all := fleet(count)
		before := relay.New(all)
		lost := before.Aggregators[0]
		remaining := slices.DeleteFunc(slices.Clone(all), func(p owner.Process) bool { return p.Name == lost })
		after := relay.New(remaining)
		moved := 0
		for _, process := range remaining {
			to := before.AggregatorFor(process.Name, process.Zone, avoidNone)
			if to != lost && to != after.AggregatorFor(process.Name, process.Zone, avoidNone) {
				moved++
			}
		}
		assert.Assert(t, moved*5 <= count, "%d of %d moved", moved, count)
	}
}

// Guards against a process without an aggregator because its availability zone has
// none, or because none of them answers.
func TestProcessWithoutAggregatorInItsZoneReportsElsewhere(t *testing.T) {
	plan := relay.New(fleet(100))
	assert.Assert(t, plan.AggregatorFor("new", "an empty zone", avoidNone) != "")
	own := plan.ByZone["zone-1"]
	to := plan.AggregatorFor("new", "zone-1", func(name string) bool { return slices.Contains(own, name) })
	assert.Assert(t, to != "" && !slices.Contains(own, to), to)
	assert.Equal(t, plan.AggregatorFor("new", "zone-1", func(string) bool { return true }), "")
	alone := relay.New(fleet(1))
	assert.Equal(t, alone.AggregatorFor("gateway-0000", "zone-0", avoidNone), "")
	assert.DeepEqual(t, alone.Watchers, []string{"gateway-0000"})
	assert.Equal(t, len(relay.New(nil).Aggregators), 0)
}

// Guards against watchers on small hosts, whose links are narrow: a large version takes longer to
// read there, and each process that follows them gets it later.
func TestWatchersRunOnLargeHosts(t *testing.T) {
	const small = 3
	for large, expected := range map[int][]string{0: nil, 1: {"large-0"}, 2: {"large-0", "large-1"}, 3: {"large-0", "large-1", "large-2"}} {
		var all []owner.Process
		add := func(name string, capacity float64) {
			all = append(all, owner.Process{Name: name, Key: name + "/1", Zone: "zone of " + name, Capacity: capacity})
		}
		for i := range large {
			add(fmt.Sprint("large-", i), 0.8)
		}
		for i := range small {
			add(fmt.Sprint("small-", i), 0.109)
		}
		plan := relay.New(all)
		assert.Equal(t, len(plan.Aggregators), large+small)
		for _, name := range expected {
			assert.Assert(t, slices.Contains(plan.Watchers, name), "%d large hosts: %v", large, plan.Watchers)
		}
		count := map[int]int{0: 3, 1: 2, 2: 2, 3: 3}[large]
		assert.Equal(t, len(plan.Watchers), count, "%d large hosts: %v", large, plan.Watchers)
	}
}
