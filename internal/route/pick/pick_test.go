package pick_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/pick"
	"github.com/jujubescale/jujubescale/internal/route/pool"
)

func newPool(zones ...string) *pool.Pool {
	p := pool.New("a")
	for i, zone := range zones {
		endpoint := p.Add(pool.Identity{Pool: "p", Name: fmt.Sprintf("e%03d", i), AvailabilityZone: zone}, 0)
		endpoint.SetReport(1, pool.Report{Limit: 8})
	}
	return p
}

func repeatZone(zone string, n int) []string {
	zones := make([]string, n)
	for i := range zones {
		zones[i] = zone
	}
	return zones
}

// Guards against a retry at an endpoint that has just failed, which fails again and
// wastes the caller's time. A tried endpoint is not chosen again at any load, and
// another one is found as long as there is one.
func TestTriedEndpointIsNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 8).Draw(t, "zones")
		view := newPool(zones...).View()
		picker := pick.New(pick.WithPolicy(rapid.SampledFrom(pick.Policies()).Draw(t, "policy")))
		avoid := &pick.Avoid{Zone: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "avoidZone")}
		tried := map[*pool.Endpoint]bool{}
		for range zones {
			for _, endpoint := range append(append([]*pool.Endpoint{}, view.Near...), view.Far...) {
				endpoint.SetReport(1, pool.Report{Load: rapid.IntRange(0, 20).Draw(t, "load"), Limit: 8})
			}
			chosen := picker.Pick(1, view, avoid)
			assert.Assert(t, chosen != nil)
			assert.Assert(t, !tried[chosen])
			tried[chosen] = true
			avoid.Add(chosen)
		}
		assert.Assert(t, picker.Pick(1, view, avoid) == nil)
	})
}

// Guards against retries in a failing rack or zone. They go to other zones first, and
// to the failing zone only if nothing else is left.
func TestFailingZoneIsPickedLast(t *testing.T) {
	picker := pick.New()
	view := newPool("a", "a", "a", "b").View()
	avoid := &pick.Avoid{Zone: "a"}
	for range 50 {
		assert.Equal(t, picker.Pick(1, view, avoid).AvailabilityZone, "b")
	}
	avoid.Add(view.Far[0])
	assert.Equal(t, picker.Pick(1, view, avoid).AvailabilityZone, "a")
}

func TestStaysInOwnZoneUntilHot(t *testing.T) {
	picker := pick.New()
	view := newPool("a", "a", "b", "b").View()
	for range 50 {
		assert.Equal(t, picker.Pick(1, view, &pick.Avoid{}).AvailabilityZone, "a")
	}
	for _, endpoint := range view.Near {
		endpoint.SetReport(1, pool.Report{Load: 8, Limit: 8})
	}
	for range 50 {
		assert.Equal(t, picker.Pick(1, view, &pick.Avoid{}).AvailabilityZone, "b")
	}
}

// Guards against choosing a straggler by load alone: it has few calls in flight
// because it gets few.
func TestStragglerLosesToFasterEndpoint(t *testing.T) {
	view := newPool("a", "a").View()
	for i, span := range []int64{400, 20} {
		view.Near[i].RecordSend()
		view.Near[i].RecordAnswer(1, 20*1)
		for range 20 {
			view.Near[i].RecordSend()
			view.Near[i].RecordAnswer(1, millis(span))
		}
	}
	assert.Equal(t, pick.New().Pick(1, view, &pick.Avoid{}), view.Near[1])
}

// Guards against a straggler that gets all work because it is the only endpoint in the
// zone, and against avoiding it forever: it is tried again once its latency is too
// old.
func TestNearStragglerLosesUntilItsLatencyIsStale(t *testing.T) {
	view := newPool("a", "b").View()
	for now := range clock.Millis(20) {
		view.Near[0].RecordSend()
		view.Near[0].RecordAnswer(now, 400)
		view.Far[0].RecordSend()
		view.Far[0].RecordAnswer(now, 20)
	}
	assert.Equal(t, pick.New().Pick(30, view, &pick.Avoid{}), view.Far[0])
	assert.Equal(t, pick.New().Pick(4000, view, &pick.Avoid{}), view.Near[0])
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range pick.Policies() {
		for _, load := range []int{2, 9} {
			b.Run(fmt.Sprintf("%s/load=%d", policy, load), func(b *testing.B) {
				view := newPool(append(repeatZone("a", 64), repeatZone("b", 64)...)...).View()
				for _, endpoint := range append(append([]*pool.Endpoint{}, view.Near...), view.Far...) {
					endpoint.SetReport(1, pool.Report{Load: load, Limit: 8})
				}
				picker := pick.New(pick.WithPolicy(policy))
				avoid := &pick.Avoid{}
				b.ReportAllocs()
				for b.Loop() {
					picker.Pick(1, view, avoid)
				}
			})
		}
	}
}
