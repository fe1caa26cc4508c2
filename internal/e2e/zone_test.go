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

// zoneGrace is the time after which an evacuated zone must get no new work.
const zoneGrace = 2 * time.Second

// evacuateZone evacuates a zone and returns the time at which the change was
// accepted.
func evacuateZone(t *testing.T, system *whole.Whole, zone string) time.Time {
	t.Helper()
	_, err := system.Operator().EvacuateZone(t.Context(), zone, apply.Change{Who: "anna", Reason: "test"})
	assert.NilError(t, err)
	return time.Now()
}

// checkNoNewWorkInZone checks that no work begins in the zone later than zoneGrace
// after the change was accepted, while the load continues.
func checkNoNewWorkInZone(t *testing.T, system *whole.Whole, load *loadGenerator, zone string, accepted time.Time) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if time.Since(accepted) < zoneGrace+500*time.Millisecond {
			return poll.Continue("within the grace period")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	waitForRequests(t, load, load.count()+20)
	last := system.LastStart(zone)
	t.Logf("last new work in %s began %v after the release was accepted", zone, last.Sub(accepted))
	assert.Assert(t, last.Before(accepted.Add(zoneGrace)), "work began %v after the release was accepted", last.Sub(accepted))
}

// checkAllAnswered stops the load and checks that each request got its answer:
// none was interrupted, refused or given a wrong answer.
func checkAllAnswered(t *testing.T, load *loadGenerator) {
	t.Helper()
	outcomes := load.stop()
	total := countOutcomes(outcomes)
	assert.NilError(t, firstFailure(outcomes))
	assert.Equal(t, total.refused, 0, "%+v", total)
}

// startSystemUnderLoad starts a system with three entries, one in each zone, and
// a load of pipeline requests.
func startSystemUnderLoad(t *testing.T, opts ...whole.Option) (*whole.Whole, *loadGenerator) {
	t.Helper()
	system := startSystem(t, append([]whole.Option{whole.WithManifest(longDeadlineManifest()), whole.WithEntries(3)}, opts...)...)
	load := startLoad(t, 4, system.InRotation, kindSheet)
	waitForRequests(t, load, 20)
	return system, load
}

// Guards against new work in an evacuated zone, and against a zone that gets no
// work after its return.
func TestEvacuatedZoneReturns(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	accepted := evacuateZone(t, system, "zb")
	checkNoNewWorkInZone(t, system, load, "zb", accepted)
	_, err := system.Operator().ReturnZone(t.Context(), "zb", apply.Change{Who: "anna"})
	assert.NilError(t, err)
	returned := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if system.LastStart("zb").After(returned) {
			return poll.Success()
		}
		return poll.Continue("no work in the zone yet")
	}, poll.WithTimeout(time.Minute))
	checkAllAnswered(t, load)
}

// Guards against a slow evacuation while each call of the platform takes 400 ms.
// The operator waits longer for the change to be accepted, but from then on the
// zone must drain as fast as usual.
func TestZoneIsEvacuatedWhileTheStoreIsSlow(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	system.Platform.SetFaults(plat.Faults{Delay: 400 * time.Millisecond})
	accepted := evacuateZone(t, system, "zb")
	checkNoNewWorkInZone(t, system, load, "zb", accepted)
	checkAllAnswered(t, load)
}

// Guards against operators who silently undo each other's decision on a zone. Both
// start from the same release: one returns the zone, the other evacuates it. The
// second must get a conflict error that names the first.
func TestConflictingZoneChanges(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(1), whole.WithEndpoints(1))
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

// Guards against processes that serve in an evacuated zone because they can't
// receive the change: the network of the zone fails before operators evacuate it.
// Without any message, entries in the zone must refuse their callers and agents
// must accept no new work. The other zones must continue to serve.
func TestIsolatedZoneIsEvacuated(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	load.stop()
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.ZoneCut, Target: "zb"}))
	accepted := evacuateZone(t, system, "zb")
	inside := "http://" + system.Front("entry-1").Address
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := call(t, http.MethodPost, inside+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
		if got.status == http.StatusServiceUnavailable && hasReason(got.body, fault.Isolated) {
			return poll.Success()
		}
		return poll.Continue("%d %s", got.status, got.body)
	}, poll.WithTimeout(time.Minute))
	t.Logf("the entry in the zone refused %v after the evacuation", time.Since(accepted))
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
			return poll.Continue("%s still accepts work", place.Endpoint)
		}, poll.WithTimeout(time.Minute))
	}
	outside := []string{"http://" + system.Fronts[0].Address, "http://" + system.Fronts[2].Address}
	outsideLoad := startLoad(t, 4, func() []string { return outside }, kindSheet)
	waitForRequests(t, outsideLoad, 40)
	checkAllAnswered(t, outsideLoad)
	// When the network recovers, the processes in the zone learn that it is
	// evacuated. They must accept no work before that.
	before := lastStarts(system, "zb")
	insideLoad := startLoad(t, 4, func() []string { return []string{inside} }, kindSheet)
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.ZoneHeal, Target: "zb"}))
	assert.NilError(t, system.WaitInForce(2))
	insideLoad.stop()
	assert.DeepEqual(t, lastStarts(system, "zb"), before)
}

// lastStarts returns the time at which each endpoint of a zone last began work.
func lastStarts(system *whole.Whole, zone string) map[string]time.Time {
	starts := make(map[string]time.Time)
	for _, place := range system.Places {
		if place.Zone == zone {
			starts[place.Endpoint] = place.Slots().State().LastStart
		}
	}
	return starts
}

func hasReason(body string, reason fault.Reason) bool {
	return strings.Contains(body, `"`+string(reason)+`"`)
}

// Guards against new work in an evacuated zone after its endpoints restarted and
// their agents were replaced during the evacuation. The new agents must learn of
// the evacuation before they accept work.
func TestEndpointRestartsWhileItsZoneIsEvacuated(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	accepted := evacuateZone(t, system, "zb")
	for _, place := range system.Places {
		if place.Zone == "zb" {
			assert.NilError(t, system.Inject(whole.Fault{Name: whole.EndpointRestart, Target: place.Endpoint}))
			assert.NilError(t, system.Inject(whole.Fault{Name: whole.AgentKill, Target: place.Endpoint}))
		}
	}
	checkNoNewWorkInZone(t, system, load, "zb", accepted)
	assert.NilError(t, firstFailure(load.stop()))
}

// Guards against an older change that wins over the last one. Operators evacuate
// and return a zone twice, faster than the changes reach all processes, and then
// evacuate it again.
func TestRepeatedZoneEvacuation(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	operator := system.Operator()
	for range 2 {
		evacuateZone(t, system, "zb")
		_, err := operator.ReturnZone(t.Context(), "zb", apply.Change{Who: "anna"})
		assert.NilError(t, err)
	}
	accepted := evacuateZone(t, system, "zb")
	again, err := operator.EvacuateZone(t.Context(), "zb", apply.Change{Who: "anna"})
	assert.NilError(t, err)
	assert.Assert(t, !again.Changed, "the second evacuation must change nothing")
	checkNoNewWorkInZone(t, system, load, "zb", accepted)
	checkAllAnswered(t, load)
}

// Guards against an outage of the third zone when a second zone fails silently
// while one is evacuated. The third zone must continue to serve. Requests that
// ran in the failed zone may be refused, but none may get a wrong answer.
func TestSecondZoneFailsWhileOneIsEvacuated(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	accepted := evacuateZone(t, system, "zb")
	checkNoNewWorkInZone(t, system, load, "zb", accepted)
	load.stop()
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.ZoneCut, Target: "zc"}))
	remaining := []string{system.URL()}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := call(t, http.MethodPost, remaining[0]+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
		if got.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%d %s", got.status, got.body)
	}, poll.WithTimeout(time.Minute))
	remainingLoad := startLoad(t, 2, func() []string { return remaining }, kindSheet)
	waitForRequests(t, remainingLoad, 30)
	outcomes := remainingLoad.stop()
	assert.NilError(t, firstFailure(outcomes))
	assert.Assert(t, countOutcomes(outcomes).answered > 0)
	assert.Assert(t, system.LastStart("zb").Before(accepted.Add(zoneGrace)))
}

// Guards against refused requests while the platform is down. Only configuration
// changes may be impossible.
func TestPlatformOutageRefusesNoRequest(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	system.Platform.SetFaults(plat.Faults{Down: true})
	down := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if time.Since(down) < 5*time.Second {
			return poll.Continue("waiting for longer than any isolated process serves")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	waitForRequests(t, load, load.count()+20)
	checkAllAnswered(t, load)
}
