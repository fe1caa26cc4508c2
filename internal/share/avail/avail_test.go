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
	return spread.New(1, manifest, states, spread.WithDisabledEndpoints([]head.Endpoint{{Pool: "p", Endpoint: "left"}}))
}

// A broken switch separates a zone from the others, and the operators evacuate
// it. The processes inside don't get that change. Those without contact outside
// the zone must refuse new work, and those that lost only the platform must not.
func TestIsolation(t *testing.T) {
	cases := []struct {
		name     string
		zones    int
		record   func(*avail.Contact, clock.Millis)
		isolated bool
	}{
		{"no contact at all", 3, func(*avail.Contact, clock.Millis) {}, true},
		{"messages only from peers in the same zone", 3, func(c *avail.Contact, now clock.Millis) { c.RecordPeer("za", now) }, true},
		{"message from a peer in another zone, platform down", 3, func(c *avail.Contact, now clock.Millis) { c.RecordPeer("zb", now) }, false},
		{"only the platform answers", 3, func(c *avail.Contact, now clock.Millis) { c.RecordPlatform(now) }, false},
		{"a peer in the same zone has recent contact outside", 3, func(c *avail.Contact, _ clock.Millis) { c.RecordIndirect(100) }, false},
		{"a peer in the same zone had contact outside long ago", 3, func(c *avail.Contact, _ clock.Millis) { c.RecordIndirect(5000) }, true},
		{"deployment with one zone", 1, func(*avail.Contact, clock.Millis) {}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := clock.NewFake(1)
			contact := avail.NewContact(fake.Clock(), "za")
			for range 60 {
				fake.Advance(100)
				c.record(contact, fake.Clock().Now())
			}
			assert.Equal(t, contact.Isolated(c.zones), c.isolated)
			reason, refuses := avail.Place{AvailabilityZone: "za"}.RefusalReason(release(c.zones), contact)
			assert.Equal(t, refuses, c.isolated)
			if refuses {
				assert.Equal(t, reason, fault.Isolated)
			}
		})
	}
}

func TestRefusalReason(t *testing.T) {
	cases := []struct {
		name    string
		place   avail.Place
		release *spread.Release
		want    fault.Reason
	}{
		{"no configuration yet", avail.Place{}, nil, fault.NotReady},
		{"zone in", avail.Place{AvailabilityZone: "za"}, release(2), ""},
		{"zone left", avail.Place{AvailabilityZone: "za"}, release(2, head.Zone{Name: "za", State: head.ZoneEvacuated}), fault.ZoneEvacuated},
		{"other zone left", avail.Place{AvailabilityZone: "zb"}, release(2, head.Zone{Name: "za", State: head.ZoneEvacuated}), ""},
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
