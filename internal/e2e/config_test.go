package e2e_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/share/head"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// longDeadlineManifest returns the sample manifest with a deadline that even a
// busy machine meets. Its tests check refusals that have other causes.
func longDeadlineManifest() *manif.Manifest {
	manifest := whole.Sample()
	manifest.Pipelines[0].DeadlineMs = 30 * clock.Second
	return manifest
}

// manifestWithWeight returns a changed manifest: the weight of the organisation
// differs.
func manifestWithWeight(weight int) *manif.Manifest {
	manifest := longDeadlineManifest()
	manifest.Organisations[0].Weight = weight
	return manifest
}

// applyWeight applies a manifest with this weight and returns its release.
func applyWeight(t *testing.T, system *whole.Whole, weight int) uint64 {
	t.Helper()
	result, err := system.Operator().Apply(t.Context(), manifestWithWeight(weight), apply.Change{Who: "anna"})
	assert.NilError(t, err)
	return result.Head.Release
}

// releaseWatch reports each daemon that reverts to an older release, until it is
// stopped.
type releaseWatch struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func watchReleases(t *testing.T, system *whole.Whole) *releaseWatch {
	ctx, cancel := context.WithCancel(context.Background())
	n := &releaseWatch{cancel: cancel}
	n.group.Go(func() {
		highest := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, daemon := range system.InForce() {
				if daemon.Release < highest[daemon.Process] {
					t.Errorf("%s reverted from release %d to %d", daemon.Process, highest[daemon.Process], daemon.Release)
				}
				highest[daemon.Process] = daemon.Release
			}
			time.Sleep(time.Millisecond)
		}
	})
	return n
}

func (n *releaseWatch) stop() {
	n.cancel()
	n.group.Wait()
}

// Guards against a daemon that doesn't get a configuration change.
func TestChangeTakesEffectInAllDaemons(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(3))
	for weight := 2; weight < 7; weight++ {
		release := applyWeight(t, system, weight)
		begin := time.Now()
		assert.NilError(t, system.WaitInForce(release))
		t.Logf("release %d in force in %d daemons after %v", release, len(system.InForce()), time.Since(begin))
	}
	for _, front := range system.Fronts {
		assert.Equal(t, front.Holder.Current().Organisation("demo").Weight, 6)
	}
	for _, place := range system.Places {
		assert.Equal(t, place.Holder.Current().Organisation("demo").Weight, 6)
	}
}

// Guards against daemons that revert to an older release, or miss the last one,
// while operators apply changes to a faulty platform: it serves stale reads,
// loses answers to writes that took effect, and delays, repeats or drops watch
// events.
func TestNoDaemonRevertsOnPlatformFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults plat.Faults
	}{
		{"stale reads", plat.Faults{Stale: 0.5}},
		{"lost answers", plat.Faults{LoseAnswer: 0.4}},
		{"watch events delayed", plat.Faults{WatchLate: 50 * time.Millisecond}},
		{"watch events lost and duplicated", plat.Faults{WatchLost: 0.4, WatchDoubled: 0.4}},
		{"slow", plat.Faults{Delay: 50 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(3), whole.WithEndpoints(2))
			watch := watchReleases(t, system)
			system.Platform.SetFaults(c.faults)
			var last uint64
			for weight := 2; weight < 8; weight++ {
				last = applyWeight(t, system, weight)
			}
			system.Platform.SetFaults(plat.Faults{})
			assert.NilError(t, system.WaitInForce(last))
			watch.stop()
			assert.Equal(t, system.Fronts[0].Holder.Current().Organisation("demo").Weight, 7)
		})
	}
}

// Guards against lost changes when the store of the platform is restored from a
// backup that lacks the last ones. A zone that was evacuated after the backup
// must stay evacuated, and the next change must take effect although the
// restored store would give it the number of an earlier release.
func TestStoreRestoredToAnOlderState(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(2), whole.WithEndpoints(2))
	backup := system.Platform.Snapshot()
	result, err := system.Operator().EvacuateZone(t.Context(), "za", apply.Change{Who: "anna"})
	assert.NilError(t, err)
	assert.NilError(t, system.WaitInForce(result.Head.Release))
	watch := watchReleases(t, system)
	system.Platform.Restore(backup)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		stored, err := head.Decode(system.Platform.Get(head.Object).Value)
		if err == nil && stored.Release == result.Head.Release {
			return poll.Success()
		}
		return poll.Continue("store not repaired yet")
	}, poll.WithTimeout(time.Minute))
	next := applyWeight(t, system, 3)
	assert.Assert(t, next > result.Head.Release)
	assert.NilError(t, system.WaitInForce(next))
	watch.stop()
	assert.Assert(t, system.Fronts[0].Holder.Current().ZoneEvacuated("za"))
}

// Guards against processes that can't start while the platform is down. An entry
// and all agents are replaced during the outage; the new ones only have the
// addresses of other entries and must serve requests.
func TestProcessesStartWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(2), whole.WithEndpoints(2))
	release := applyWeight(t, system, 5)
	assert.NilError(t, system.WaitInForce(release))
	system.Platform.SetFaults(plat.Faults{Down: true})
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.EntryKill, Target: "entry-0"}))
	for _, place := range system.Places {
		assert.NilError(t, system.Inject(whole.Fault{Name: whole.AgentKill, Target: place.Endpoint}))
	}
	assert.NilError(t, system.WaitInForce(release))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
		if got.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%d %s", got.status, got.body)
	}, poll.WithTimeout(time.Minute))
}

// Guards against operators who silently undo each other's changes. Several
// operators apply different manifests on top of the same release. One must
// succeed; the others must get an error that names the operator who made the
// conflicting change.
func TestConcurrentAppliesConflict(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(1), whole.WithEndpoints(1))
	var group sync.WaitGroup
	errs := make([]error, 4)
	for i := range errs {
		group.Go(func() {
			_, errs[i] = system.Operator().Apply(t.Context(), manifestWithWeight(i+2), apply.Change{Who: "operator", Expected: 1})
		})
	}
	group.Wait()
	won := 0
	for _, err := range errs {
		var conflict *apply.ConflictError
		switch {
		case err == nil:
			won++
		case errors.As(err, &conflict):
			assert.Equal(t, conflict.Current, uint64(2))
			assert.Equal(t, conflict.Between[0].ChangedBy, "operator")
		default:
			t.Error(err)
		}
	}
	assert.Equal(t, won, 1)
}

// Guards against a conflict between independent changes: one operator applies a
// manifest while another evacuates a zone. Both changes must take effect.
func TestZoneIsEvacuatedWhileAManifestIsApplied(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(1), whole.WithEndpoints(1))
	var group sync.WaitGroup
	var applyErr, evacuateErr error
	group.Go(func() {
		_, applyErr = system.Operator().Apply(t.Context(), manifestWithWeight(9), apply.Change{Who: "anna", Expected: 1})
	})
	group.Go(func() {
		_, evacuateErr = system.Operator().EvacuateZone(t.Context(), "zb", apply.Change{Who: "beat", Expected: 1})
	})
	group.Wait()
	assert.NilError(t, applyErr)
	assert.NilError(t, evacuateErr)
	assert.NilError(t, system.WaitInForce(3))
	current := system.Fronts[0].Holder.Current()
	assert.Assert(t, current.ZoneEvacuated("zb"))
	assert.Equal(t, current.Organisation("demo").Weight, 9)
}

// Guards against an invalid head object that was written without the operators'
// client. It must not take effect, and the next valid change must.
func TestInvalidHeadDocumentNeverTakesEffect(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(2), whole.WithEndpoints(1))
	for _, document := range []string{"not JSON", `{"release":7,"nonce":"x","sections":[{"name":"pools","digest":"1"}]}`} {
		stored := system.Platform.Get(head.Object)
		_, done := system.Platform.Put(head.Object, stored.Version, []byte(document))
		assert.Assert(t, done)
	}
	watch := watchReleases(t, system)
	got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	release := applyWeight(t, system, 4)
	assert.NilError(t, system.WaitInForce(release))
	watch.stop()
}

// Guards against requests that fail because a change removes their pipeline. A
// request must complete on the release with which it began.
func TestRequestCompletesOnItsRelease(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(longDeadlineManifest()), whole.WithEntries(1))
	load := startLoad(t, 8, system.InRotation, kindSheet)
	waitForRequests(t, load, 10)
	other := longDeadlineManifest()
	other.Pipelines[0].Name = "setup-sheet-2"
	other.Services[0].Pipeline = "setup-sheet-2"
	for i := range 4 {
		manifest := other
		if i%2 == 1 {
			manifest = longDeadlineManifest()
		}
		result, err := system.Operator().Apply(t.Context(), manifest, apply.Change{Who: "anna"})
		assert.NilError(t, err)
		assert.NilError(t, system.WaitInForce(result.Head.Release))
		waitForRequests(t, load, load.count()+10)
	}
	outcomes := load.stop()
	total := countOutcomes(outcomes)
	assert.NilError(t, firstFailure(outcomes))
	assert.Equal(t, total.refused, 0, "%+v", total)
}
