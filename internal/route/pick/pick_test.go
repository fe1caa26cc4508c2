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

func many(zone string, n int) []string {
	zones := make([]string, n)
	for i := range zones {
		zones[i] = zone
	}
	return zones
}

// A retry that goes to an endpoint that has just failed fails again, and the
// caller's time is spent. Whatever the loads are, a tried endpoint is never
// chosen again, and another one is found as long as there is one.
func TestNeverPicksTriedEndpoint(t *testing.T) {
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

// A rack or zone fails: calls to it break one after the other. A retry must
// look elsewhere first, but use the zone if it is all there is.
func TestZoneWithFaultComesLast(t *testing.T) {
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

// One endpoint in the pool is a straggler. It has little work in flight since
// its calls are slow to come, so load alone would keep choosing it.
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

// The only near endpoint of a pool is a straggler. Its zone has no other, so
// work must go to the next zone; and once its slow spell is forgotten it is
// tried again, or it would never get work any more.
func TestNearStragglerLosesUntilItsTimesAreOld(t *testing.T) {
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
				view := newPool(append(many("a", 64), many("b", 64)...)...).View()
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
