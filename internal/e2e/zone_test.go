package e2e_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// zoneGrace is the time after which a zone that was taken out must get no new
// work any more.
const zoneGrace = 2 * time.Second

// leaveZone takes a zone out and returns when that was accepted.
func leaveZone(t *testing.T, system *whole.Whole, zone string) time.Time {
	t.Helper()
	_, err := system.Operator().EvacuateZone(t.Context(), zone, apply.Change{Who: "anna", Reason: "test"})
	assert.NilError(t, err)
	return time.Now()
}

// checkQuiet lets requests run on past the grace and checks that no work began
// in the zone after it.
func checkQuiet(t *testing.T, system *whole.Whole, c *crowd, zone string, accepted time.Time) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if time.Since(accepted) < zoneGrace+500*time.Millisecond {
			return poll.Continue("within the grace")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	waitFor(t, c, c.count()+20)
	last := system.LastStart(zone)
	t.Logf("last new work in %s %v after the release was accepted", zone, last.Sub(accepted))
	assert.Assert(t, last.Before(accepted.Add(zoneGrace)), "work began %v after", last.Sub(accepted))
}

// checkServed allows no request to be cut, mixed up or refused.
func checkServed(t *testing.T, c *crowd) {
	t.Helper()
	outcomes := c.stop()
	total := sum(outcomes)
	assert.NilError(t, firstBad(outcomes))
	assert.Equal(t, total.refused, 0, "%+v", total)
}

func zonedLoad(t *testing.T, opts ...whole.Option) (*whole.Whole, *crowd) {
	t.Helper()
	system := started(t, append([]whole.Option{whole.WithManifest(patient()), whole.WithEntries(3)}, opts...)...)
	c := startCrowd(t, 4, system.InRotation, kindSheet)
	waitFor(t, c, 20)
	return system, c
}

func TestZoneLeavesAndReturns(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	accepted := leaveZone(t, system, "zb")
	checkQuiet(t, system, c, "zb", accepted)
	_, err := system.Operator().ReturnZone(t.Context(), "zb", apply.Change{Who: "anna"})
	assert.NilError(t, err)
	returned := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if system.LastStart("zb").After(returned) {
			return poll.Success()
		}
		return poll.Continue("no work in the zone yet")
	}, poll.WithTimeout(time.Minute))
	checkServed(t, c)
}

// The platform is slow when the zone must go: each call takes 400 ms. The
// operator waits longer, but once accepted the zone empties as fast as ever.
func TestZoneLeavesWhileTheStoreIsSlow(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	system.Platform.SetFaults(plat.Faults{Delay: 400 * time.Millisecond})
	accepted := leaveZone(t, system, "zb")
	checkQuiet(t, system, c, "zb", accepted)
	checkServed(t, c)
}

// Two operators decide on the same zone, one to take it out and one to bring it
// back, both looking at the same release. The second must be told of the first.
func TestTwoOperatorsDecideOnOneZone(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(patient()), whole.WithEntries(1), whole.WithEndpoints(1))
	left, err := system.Operator().EvacuateZone(t.Context(), "zb", apply.Change{Who: "anna"})
	assert.NilError(t, err)
	seen := left.Head.Release
	_, err = system.Operator().ReturnZone(t.Context(), "zb", apply.Change{Who: "beat", Expected: seen})
	assert.NilError(t, err)
	_, err = system.Operator().EvacuateZone(t.Context(), "zb", apply.Change{Who: "cleo", Expected: seen})
	var conflict *apply.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "got %v", err)
	assert.Equal(t, conflict.Between[0].ChangedBy, "beat")
}

// The zone's switch breaks, so the processes inside hear of nothing any more,
// and the operators take the zone out. Entries inside must refuse their callers
// and agents inside must take no new work, all by themselves; outside, service
// goes on.
func TestZoneIsCutOffAndTakenOut(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	c.stop()
	assert.NilError(t, system.Cause(whole.Fault{Name: whole.ZoneCut, Target: "zb"}))
	accepted := leaveZone(t, system, "zb")
	inside := "http://" + system.Front("entry-1").Address
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := call(t, http.MethodPost, inside+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
		if got.status == http.StatusServiceUnavailable && contains(got.body, fault.Isolated) {
			return poll.Success()
		}
		return poll.Continue("%d %s", got.status, got.body)
	}, poll.WithTimeout(time.Minute))
	t.Logf("entry inside refused %v after", time.Since(accepted))
	for _, place := range system.Places {
		if place.Zone != "zb" {
			continue
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if reason, refuses := place.Agent.Refuses(); refuses {
				return poll.Success()
			} else if reason != "" {
				return poll.Continue("%s", reason)
			}
			return poll.Continue("%s takes work", place.Endpoint)
		}, poll.WithTimeout(time.Minute))
	}
	outside := []string{"http://" + system.Fronts[0].Address, "http://" + system.Fronts[2].Address}
	rest := startCrowd(t, 4, func() []string { return outside }, kindSheet)
	waitFor(t, rest, 40)
	checkServed(t, rest)
	// The switch is mended: the processes inside hear that their zone is out, and
	// take nothing on before that.
	before := lastStarts(system, "zb")
	within := startCrowd(t, 4, func() []string { return []string{inside} }, kindSheet)
	assert.NilError(t, system.Cause(whole.Fault{Name: whole.ZoneHeal, Target: "zb"}))
	assert.NilError(t, system.WaitInForce(2))
	within.stop()
	assert.DeepEqual(t, lastStarts(system, "zb"), before)
}

// lastStarts is when each endpoint of a zone last began work.
func lastStarts(system *whole.Whole, zone string) map[string]time.Time {
	starts := make(map[string]time.Time)
	for _, place := range system.Places {
		if place.Zone == zone {
			starts[place.Endpoint] = place.Slots().State().LastStart
		}
	}
	return starts
}

func contains(body string, reason fault.Reason) bool {
	return strings.Contains(body, `"`+string(reason)+`"`)
}

// An endpoint of the zone restarts while the zone leaves, and its agent is
// replaced: the new one must hear that its zone is out before it takes work.
func TestEndpointRestartsWhileItsZoneLeaves(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	accepted := leaveZone(t, system, "zb")
	for _, place := range system.Places {
		if place.Zone == "zb" {
			assert.NilError(t, system.Cause(whole.Fault{Name: whole.EndpointRestart, Target: place.Endpoint}))
			assert.NilError(t, system.Cause(whole.Fault{Name: whole.AgentKill, Target: place.Endpoint}))
		}
	}
	checkQuiet(t, system, c, "zb", accepted)
	assert.NilError(t, firstBad(c.stop()))
}

// Operators take a zone out and bring it back twice in a row, faster than
// everybody hears of it. The last word must hold.
func TestZoneLeavesAndReturnsTwiceInARow(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	operator := system.Operator()
	for range 2 {
		leaveZone(t, system, "zb")
		_, err := operator.ReturnZone(t.Context(), "zb", apply.Change{Who: "anna"})
		assert.NilError(t, err)
	}
	accepted := leaveZone(t, system, "zb")
	again, err := operator.EvacuateZone(t.Context(), "zb", apply.Change{Who: "anna"})
	assert.NilError(t, err)
	assert.Assert(t, !again.Changed, "leaving twice changes nothing")
	checkQuiet(t, system, c, "zb", accepted)
	checkServed(t, c)
}

// One zone is out when a second one fails without a word. The third must carry
// on; requests that were in the failed zone may be refused, but none be wrong.
func TestSecondZoneFailsWhileOneIsOut(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	accepted := leaveZone(t, system, "zb")
	checkQuiet(t, system, c, "zb", accepted)
	c.stop()
	assert.NilError(t, system.Cause(whole.Fault{Name: whole.ZoneCut, Target: "zc"}))
	inside := []string{system.URL()}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := call(t, http.MethodPost, inside[0]+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
		if got.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%d %s", got.status, got.body)
	}, poll.WithTimeout(time.Minute))
	rest := startCrowd(t, 2, func() []string { return inside }, kindSheet)
	waitFor(t, rest, 30)
	outcomes := rest.stop()
	assert.NilError(t, firstBad(outcomes))
	assert.Assert(t, sum(outcomes).answered > 0)
	assert.Assert(t, system.LastStart("zb").Before(accepted.Add(zoneGrace)))
}

// The platform is down for the whole run. It must cost nothing but changes.
func TestPlatformOutageAloneStopsNothing(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	system.Platform.SetFaults(plat.Faults{Down: true})
	down := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if time.Since(down) < 5*time.Second {
			return poll.Continue("longer than any process goes on isolated")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	waitFor(t, c, c.count()+20)
	checkServed(t, c)
}
