package zones_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/desk"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/cli/zones"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/share/head"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// newSystem returns a system with one engine in each of three zones, with the given
// numbers of running calls.
func newSystem(t *testing.T, running ...int) *desk.System {
	t.Helper()
	d := desk.New(t)
	d.Apply(t, whole.Sample(), "anna")
	for i, zone := range []string{"za", "zb", "zc"} {
		name := fmt.Sprintf("engine-%d", i)
		agent := d.AddDaemon(t, store.Host{Name: name, Role: "agent", AvailabilityZone: zone, Pool: "engines", Endpoint: name})
		agent.SetStatus(func(s *admin.Status) {
			s.Release = 2
			s.Endpoint = &admin.Endpoint{Pool: "engines", Endpoint: name, Running: running[i], Limit: 8}
		})
	}
	return d
}

func TestLeaveAndReturn(t *testing.T) {
	d := newSystem(t, 3, 3, 3)
	ran := d.Run(t, zones.NewZone, "zone", "leave", "za", "--reason=power", "--wait")
	assert.Equal(t, ran.Code, exit.OK, ran.Err)
	assert.Assert(t, strings.Contains(ran.Err, "pool engines: 9 calls, limit 24 -> 16 on 2 endpoints, bears the load"), ran.Err)
	assert.Assert(t, strings.Contains(ran.Out, "in force on 3 daemons"), ran.Out)
	assert.Equal(t, d.Head(t).ZoneState("za"), head.ZoneEvacuated)

	var states []zones.Zone
	d.Run(t, zones.NewZone, "az", "status", "--output=json").JSON(t, &states)
	assert.Equal(t, states[0].State, head.ZoneEvacuated)
	assert.Equal(t, states[0].Reason, "power")
	assert.Equal(t, states[1].Running, 3)

	assert.Equal(t, d.Run(t, zones.NewZone, "availability-zone", "return", "za").Code, exit.OK)
	assert.Equal(t, d.Head(t).ZoneState("za"), head.ZoneReturning)
	assert.Equal(t, d.Run(t, zones.NewZone, "zone", "settle", "za").Code, exit.OK)
	assert.Equal(t, d.Head(t).ZoneState("za"), head.ZoneIn)
}

// Guards against an overload: a zone leaves during peak load although the other zones
// lack the capacity for its work. Nothing is changed without --force.
func TestLeaveIsRefusedIfOthersCannotBearTheLoad(t *testing.T) {
	d := newSystem(t, 6, 6, 6)
	ran := d.Run(t, zones.NewZone, "zone", "leave", "za")
	assert.Equal(t, ran.Code, exit.Unsafe)
	assert.Assert(t, strings.Contains(ran.Err, "pool engines has 18 calls for a limit of 16"), ran.Err)
	assert.Equal(t, d.Head(t).Release, uint64(1))
	forced := d.Run(t, zones.NewZone, "zone", "leave", "za", "--force")
	assert.Equal(t, forced.Code, exit.OK, forced.Err)
	assert.Equal(t, d.Head(t).ZoneState("za"), head.ZoneEvacuated)
}

// Guards against an overload when one zone is already out: the check for a second zone
// must not count the engines of the first.
func TestLeaveOfASecondZoneDoesNotCountTheFirst(t *testing.T) {
	d := newSystem(t, 0, 4, 4)
	_, err := d.Operator.EvacuateZone(t.Context(), "za", apply.Change{Who: "anna"})
	assert.NilError(t, err)
	assert.Equal(t, d.Run(t, zones.NewZone, "zone", "leave", "zb").Code, exit.Unsafe)
}

func TestUnknownNames(t *testing.T) {
	d := newSystem(t, 0, 0, 0)
	ran := d.Run(t, zones.NewZone, "zone", "leave", "zx")
	assert.Equal(t, ran.Code, exit.NotFound)
	assert.Assert(t, strings.Contains(ran.Err, "allowed: za, zb, zc"), ran.Err)
	assert.Equal(t, d.Run(t, zones.NewEndpoint, "endpoint", "leave", "nope", "e").Code, exit.NotFound)
	assert.Equal(t, d.Run(t, zones.NewZone, "zone", "leave").Code, exit.Usage)
	assert.Equal(t, desk.New(t).Run(t, zones.NewZone, "zone", "leave", "za").Code, exit.NotFound)
}

func TestEndpointLeaveAndReturn(t *testing.T) {
	d := newSystem(t, 1, 1, 1)
	var done reach.ChangeResult
	d.Run(t, zones.NewEndpoint, "endpoint", "leave", "engines", "engine-0", "--output=json").JSON(t, &done)
	assert.Assert(t, done.Changed)
	assert.Assert(t, d.Head(t).EndpointDisabled("engines", "engine-0"))
	assert.Equal(t, d.Run(t, zones.NewEndpoint, "endpoint", "return", "engines", "engine-0").Code, exit.OK)
	assert.Assert(t, !d.Head(t).EndpointDisabled("engines", "engine-0"))
}

func TestZonesAreCompleted(t *testing.T) {
	ran := newSystem(t, 0, 0, 0).Run(t, zones.NewZone, "__complete", "availability-zone", "leave", "")
	assert.Assert(t, strings.Contains(ran.Out, "za\nzb\nzc\n"), ran.Out)
}
