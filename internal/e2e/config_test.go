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

// patient returns the sample with a deadline that a busy machine doesn't miss:
// these tests are about refusals that have another cause.
func patient() *manif.Manifest {
	manifest := whole.Sample()
	manifest.Pipelines[0].DeadlineMs = 30 * clock.Second
	return manifest
}

// variant returns the sample with another weight, as a change of the manifest.
func variant(weight int) *manif.Manifest {
	manifest := patient()
	manifest.Organisations[0].Weight = weight
	return manifest
}

// apply puts a variant in force and returns its release.
func applyVariant(t *testing.T, system *whole.Whole, weight int) uint64 {
	t.Helper()
	result, err := system.Operator().Apply(t.Context(), variant(weight), apply.Change{Who: "anna"})
	assert.NilError(t, err)
	return result.Head.Release
}

// noRevert watches all daemons until stopped and reports each that went back.
type noRevert struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func watchReleases(t *testing.T, system *whole.Whole) *noRevert {
	ctx, cancel := context.WithCancel(context.Background())
	n := &noRevert{cancel: cancel}
	n.group.Go(func() {
		highest := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, daemon := range system.InForce() {
				if daemon.Release < highest[daemon.Process] {
					t.Errorf("%s went back from release %d to %d", daemon.Process, highest[daemon.Process], daemon.Release)
				}
				highest[daemon.Process] = daemon.Release
			}
			time.Sleep(time.Millisecond)
		}
	})
	return n
}

func (n *noRevert) stop() {
	n.cancel()
	n.group.Wait()
}

func TestChangeComesIntoForceEverywhere(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(patient()), whole.WithEntries(3))
	for weight := 2; weight < 7; weight++ {
		release := applyVariant(t, system, weight)
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

// The platform is bad for a while: it serves stale reads, loses answers to
// writes that took effect, and its watch events come late, twice or not at
// all. Operators go on changing things. No daemon may go back, and in the end
// all have the last change.
func TestNoDaemonGoesBackOnABadPlatform(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults plat.Faults
	}{
		{"stale reads", plat.Faults{Stale: 0.5}},
		{"lost answers", plat.Faults{LoseAnswer: 0.4}},
		{"watch events late", plat.Faults{WatchLate: 50 * time.Millisecond}},
		{"watch events lost and doubled", plat.Faults{WatchLost: 0.4, WatchDoubled: 0.4}},
		{"slow", plat.Faults{Delay: 50 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			system := started(t, whole.WithManifest(patient()), whole.WithEntries(3), whole.WithEndpoints(2))
			watch := watchReleases(t, system)
			system.Platform.SetFaults(c.faults)
			var last uint64
			for weight := 2; weight < 8; weight++ {
				last = applyVariant(t, system, weight)
			}
			system.Platform.SetFaults(plat.Faults{})
			assert.NilError(t, system.WaitInForce(last))
			watch.stop()
			assert.Equal(t, system.Fronts[0].Holder.Current().Organisation("demo").Weight, 7)
		})
	}
}

// The platform's store is restored from a backup that lacks the last changes. A
// zone that was taken out meanwhile must stay out, and the next change must
// take effect although the store would have numbered it like an older one.
func TestStoreRestoredToAnOlderState(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(patient()), whole.WithEntries(2), whole.WithEndpoints(2))
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
	next := applyVariant(t, system, 3)
	assert.Assert(t, next > result.Head.Release)
	assert.NilError(t, system.WaitInForce(next))
	watch.stop()
	assert.Assert(t, system.Fronts[0].Holder.Current().ZoneEvacuated("za"))
}

// The platform goes down, and hosts are replaced while it is: an entry and
// agents start anew with nothing but the addresses of other entries. They must
// serve all the same.
func TestProcessesStartWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(patient()), whole.WithEntries(2), whole.WithEndpoints(2))
	release := applyVariant(t, system, 5)
	assert.NilError(t, system.WaitInForce(release))
	system.Platform.SetFaults(plat.Faults{Down: true})
	assert.NilError(t, system.Cause(whole.Fault{Name: whole.EntryKill, Target: "entry-0"}))
	for _, place := range system.Places {
		assert.NilError(t, system.Cause(whole.Fault{Name: whole.AgentKill, Target: place.Endpoint}))
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

// Two operators look at the same release and apply different manifests. One
// must win and the other must be told who changed what, instead of silently
// undoing it.
func TestOperatorsWhoRaceLoseCleanly(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(patient()), whole.WithEntries(1), whole.WithEndpoints(1))
	var group sync.WaitGroup
	errs := make([]error, 4)
	for i := range errs {
		group.Go(func() {
			_, errs[i] = system.Operator().Apply(t.Context(), variant(i+2), apply.Change{Who: "operator", Expected: 1})
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

// One operator applies a manifest while another takes a zone out. They don't
// touch the same thing: both must get through, and neither undo the other.
func TestZoneLeavesWhileAManifestIsApplied(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(patient()), whole.WithEntries(1), whole.WithEndpoints(1))
	var group sync.WaitGroup
	var applied, left error
	group.Go(func() {
		_, applied = system.Operator().Apply(t.Context(), variant(9), apply.Change{Who: "anna", Expected: 1})
	})
	group.Go(func() {
		_, left = system.Operator().EvacuateZone(t.Context(), "zb", apply.Change{Who: "beat", Expected: 1})
	})
	group.Wait()
	assert.NilError(t, applied)
	assert.NilError(t, left)
	assert.NilError(t, system.WaitInForce(3))
	current := system.Fronts[0].Holder.Current()
	assert.Assert(t, current.ZoneEvacuated("zb"))
	assert.Equal(t, current.Organisation("demo").Weight, 9)
}

// Someone writes the head object past the operators' client, with a document
// that is no use. It must not take effect, and the next change must.
func TestDocumentWrittenByHandNeverTakesEffect(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(patient()), whole.WithEntries(2), whole.WithEndpoints(1))
	for _, document := range []string{"not JSON", `{"release":7,"nonce":"x","sections":[{"name":"pools","digest":"1"}]}`} {
		stored := system.Platform.Get(head.Object)
		_, done := system.Platform.Put(head.Object, stored.Version, []byte(document))
		assert.Assert(t, done)
	}
	watch := watchReleases(t, system)
	got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	release := applyVariant(t, system, 4)
	assert.NilError(t, system.WaitInForce(release))
	watch.stop()
}

// A change takes a pipeline away while a request runs through it. The request
// must run to its end on the release it began with.
func TestRequestRunsToItsEndOnItsRelease(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(patient()), whole.WithEntries(1))
	c := startCrowd(t, 8, system.InRotation, kindSheet)
	waitFor(t, c, 10)
	other := patient()
	other.Pipelines[0].Name = "setup-sheet-2"
	other.Services[0].Pipeline = "setup-sheet-2"
	for i := range 4 {
		manifest := other
		if i%2 == 1 {
			manifest = patient()
		}
		result, err := system.Operator().Apply(t.Context(), manifest, apply.Change{Who: "anna"})
		assert.NilError(t, err)
		assert.NilError(t, system.WaitInForce(result.Head.Release))
		waitFor(t, c, c.count()+10)
	}
	outcomes := c.stop()
	total := sum(outcomes)
	assert.NilError(t, firstBad(outcomes))
	assert.Equal(t, total.refused, 0, "%+v", total)
}
