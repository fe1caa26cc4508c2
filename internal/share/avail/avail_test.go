package avail_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/share/avail"
	"github.com/jujubescale/jujubescale/internal/share/head"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

func release(zones int, states ...head.Zone) *spread.Release {
	manifest := &manif.Manifest{
		AvailabilityZones: []string{"za", "zb", "zc"}[:zones],
		Pools:             []manif.Pool{{Name: "p"}},
	}
	return spread.New(1, manifest, states, spread.WithLeftEndpoints([]head.Endpoint{{Pool: "p", Endpoint: "left"}}))
}

// A zone is cut off by a broken switch, and the operators take it out. The
// processes inside never hear of it: those that hear from nobody outside must
// stop by themselves, and those that only lost the platform must not.
func TestIsolation(t *testing.T) {
	cases := []struct {
		name     string
		zones    int
		hear     func(*avail.Contact, clock.Millis)
		isolated bool
	}{
		{"nothing is heard", 3, func(*avail.Contact, clock.Millis) {}, true},
		{"only peers of the own zone are heard", 3, func(r *avail.Contact, now clock.Millis) { r.RecordPeer("za", now) }, true},
		{"a peer outside is heard, the platform is down", 3, func(r *avail.Contact, now clock.Millis) { r.RecordPeer("zb", now) }, false},
		{"the platform is heard, no peer is", 3, func(r *avail.Contact, now clock.Millis) { r.RecordPlatform(now) }, false},
		{"a peer of the own zone hears from outside", 3, func(r *avail.Contact, _ clock.Millis) { r.RecordIndirect(100) }, false},
		{"a peer of the own zone heard from outside long ago", 3, func(r *avail.Contact, _ clock.Millis) { r.RecordIndirect(5000) }, true},
		{"there is only one zone", 1, func(*avail.Contact, clock.Millis) {}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := clock.NewFake(1)
			reach := avail.NewContact(fake.Clock(), "za")
			for range 60 {
				fake.Advance(100)
				c.hear(reach, fake.Clock().Now())
			}
			assert.Equal(t, reach.Isolated(c.zones), c.isolated)
			reason, refuses := avail.Place{AvailabilityZone: "za"}.RefusalReason(release(c.zones), reach)
			assert.Equal(t, refuses, c.isolated)
			if refuses {
				assert.Equal(t, reason, fault.Isolated)
			}
		})
	}
}

func TestPlaceRefuses(t *testing.T) {
	cases := []struct {
		name    string
		place   avail.Place
		release *spread.Release
		want    fault.Reason
	}{
		{"no configuration yet", avail.Place{}, nil, fault.NotReady},
		{"zone in", avail.Place{AvailabilityZone: "za"}, release(2), ""},
		{"zone left", avail.Place{AvailabilityZone: "za"}, release(2, head.Zone{Name: "za", State: head.ZoneLeft}), fault.ZoneLeft},
		{"other zone left", avail.Place{AvailabilityZone: "zb"}, release(2, head.Zone{Name: "za", State: head.ZoneLeft}), ""},
		{"zone returning", avail.Place{AvailabilityZone: "za"}, release(2, head.Zone{Name: "za", State: head.ZoneReturning}), ""},
		{"endpoint left", avail.Place{AvailabilityZone: "za", Pool: "p", Endpoint: "left"}, release(2), fault.Leaving},
		{"other endpoint left", avail.Place{AvailabilityZone: "za", Pool: "p", Endpoint: "stays"}, release(2), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, _ := c.place.RefusalReason(c.release, nil)
			assert.Equal(t, got, c.want)
		})
	}
}
