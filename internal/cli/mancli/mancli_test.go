package mancli_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/desk"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/mancli"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

const sampleFile = "../../../samples/papierveda.json"

func manifestFile(t *testing.T, change func(*manif.Manifest)) string {
	t.Helper()
	m := whole.Sample()
	change(m)
	raw, err := json.Marshal(m)
	assert.NilError(t, err)
	name := filepath.Join(t.TempDir(), "manifest.json")
	assert.NilError(t, os.WriteFile(name, raw, 0o600))
	return name
}

func unchanged(*manif.Manifest) {}

func shorterDeadline(m *manif.Manifest) { m.Pipelines[0].DeadlineMs = 2000 }

func TestCheck(t *testing.T) {
	d := desk.New(t)
	valid := d.Run(t, mancli.New, "manifest", "check", sampleFile)
	assert.Equal(t, valid.Code, exit.OK, valid.Err)
	assert.Assert(t, strings.Contains(valid.Out, "4 services"), valid.Out)

	bad := manifestFile(t, func(m *manif.Manifest) { m.Pools[0].Kind, m.Organisations[0].Weight = "x", -1 })
	shown := d.Run(t, mancli.New, "manifest", "check", bad)
	assert.Equal(t, shown.Code, exit.Invalid)
	for _, path := range []string{"pools[0].kind", "organisations[0].weight"} {
		assert.Assert(t, strings.Contains(shown.Out, path), shown.Out)
	}
	var checked mancli.CheckResult
	d.Run(t, mancli.New, "manifest", "check", bad, "--output=json").JSON(t, &checked)
	assert.Assert(t, !checked.Valid && len(checked.Faults) >= 2)

	raw, err := os.ReadFile(sampleFile)
	assert.NilError(t, err)
	assert.Equal(t, d.RunWith(t, string(raw), mancli.New, "manifest", "check", "-").Code, exit.OK)
	assert.Equal(t, d.Run(t, mancli.New, "manifest", "check", "/nowhere").Code, exit.Usage)
	assert.Equal(t, d.Run(t, mancli.New, "manifest", "check").Code, exit.Usage)
}

func TestDiff(t *testing.T) {
	d := desk.New(t)
	d.Apply(t, whole.Sample(), "anna")
	ran := d.Run(t, mancli.New, "manifest", "diff", manifestFile(t, shorterDeadline), "--exit-code")
	assert.Equal(t, ran.Code, exit.Differs)
	assert.Assert(t, strings.Contains(ran.Out, "~ pipelines[setup-sheet].deadlineMs: 3000 -> 2000"), ran.Out)
	var diff mancli.Diff
	d.Run(t, mancli.New, "manifest", "diff", manifestFile(t, unchanged), "--output=json").JSON(t, &diff)
	assert.Equal(t, diff.Release, uint64(1))
	assert.Equal(t, len(diff.Changes), 0)
}

// Guards against a lost update when two operators change the manifest at the same
// time: the second write fails, and its error names the author and the action of the
// first.
func TestConflictingApplyNamesTheOtherChange(t *testing.T) {
	d := desk.New(t)
	d.Apply(t, whole.Sample(), "anna")
	first := whole.Sample()
	first.Pipelines[0].DeadlineMs = 1000
	d.Apply(t, first, "bela")
	ran := d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, shorterDeadline), "--expect=1")
	assert.Equal(t, ran.Code, exit.Conflict)
	assert.Assert(t, strings.Contains(ran.Err, "apply") && strings.Contains(ran.Err, "bela"), ran.Err)
	assert.Equal(t, d.Head(t).Release, uint64(2))
}

func TestApplyHistoryRollback(t *testing.T) {
	d := desk.New(t)
	var done reach.ChangeResult
	d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, unchanged), "--reason=first", "--output=json").JSON(t, &done)
	assert.Assert(t, done.Changed && done.Release == 1)
	assert.Equal(t, d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, shorterDeadline)).Code, exit.OK)
	again := d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, shorterDeadline))
	assert.Assert(t, strings.Contains(again.Out, "nothing to change; release 2 stays"), again.Out)
	assert.Equal(t, d.Run(t, mancli.New, "manifest", "rollback", "1", "--reason=worse").Code, exit.OK)
	var entries []mancli.Entry
	d.Run(t, mancli.New, "manifest", "history", "--output=json").JSON(t, &entries)
	assert.Equal(t, len(entries), 3)
	assert.Equal(t, entries[0].Reason, "worse")
	assert.Equal(t, entries[2].ChangedBy, "tester")
	assert.Assert(t, strings.Contains(d.Run(t, mancli.New, "manifest", "history", "--limit=1").Out, "rollback"))
	assert.Equal(t, d.Run(t, mancli.New, "manifest", "rollback", "9").Code, exit.NotFound)
	assert.Equal(t, d.Run(t, mancli.New, "manifest", "rollback", "x").Code, exit.Usage)
}

func TestApplyOfAnInvalidManifestChangesNothing(t *testing.T) {
	d := desk.New(t)
	bad := manifestFile(t, func(m *manif.Manifest) { m.Pools[0].Kind = "x" })
	assert.Equal(t, d.Run(t, mancli.New, "manifest", "apply", bad).Code, exit.Invalid)
	assert.Equal(t, d.Platform.Calls().Writes, 0)
}

// Guards against a change that is reported as failed, or is written twice, because
// the platform's answer to the write was lost.
func TestApplyWithLostAnswerIsReportedAsAccepted(t *testing.T) {
	d := desk.New(t)
	d.Apply(t, whole.Sample(), "anna")
	d.Platform.SetFaults(plat.Faults{LoseAnswer: 0.5})
	ran := d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, shorterDeadline))
	d.Platform.SetFaults(plat.Faults{})
	assert.Equal(t, ran.Code, exit.OK, ran.Err)
	assert.Assert(t, strings.Contains(ran.Out, "accepted as release 2"), ran.Out)
	assert.Equal(t, d.Head(t).Release, uint64(2))
}

// Guards against an exit code that does not show that nothing was changed because the
// platform is down.
func TestApplyWhileThePlatformIsDown(t *testing.T) {
	d := desk.New(t)
	d.Platform.SetFaults(plat.Faults{Down: true})
	assert.Equal(t, d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, unchanged)).Code, exit.Unavailable)
}

// Guards against a change that is reported as in force everywhere while one daemon has
// an older release and one is unreachable: both are named, and the exit code is
// NotInForce.
func TestWaitNamesDaemonsWithoutTheRelease(t *testing.T) {
	d := desk.New(t)
	d.AddDaemon(t, store.Host{Name: "entry-1", Role: "entry"}).FollowRelease(d.Platform)
	second := d.AddDaemon(t, store.Host{Name: "entry-2", Role: "entry"})
	d.AddDaemon(t, store.Host{Name: "entry-3", Role: "entry"}).Close()
	ran := d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, unchanged), "--wait", "--wait-limit-ms=1", "--output=json")
	assert.Equal(t, ran.Code, exit.NotInForce, ran.Err)
	var done reach.ChangeResult
	ran.JSON(t, &done)
	assert.Equal(t, done.Waited.InForce, 1)
	assert.Equal(t, len(done.Waited.Behind), 1)
	assert.Equal(t, len(done.Waited.Unreachable), 1)
	second.FollowRelease(d.Platform)
	ran = d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, shorterDeadline), "--wait")
	assert.Equal(t, ran.Code, exit.OK, ran.Err)
	assert.Assert(t, strings.Contains(ran.Out, "release 2 is in force on 2 daemons"), ran.Out)
}

// Guards against changes that never take effect: the platform's store was restored to
// an older state while daemons run with a newer release.
func TestApplyOnAStoreThatIsBehind(t *testing.T) {
	d := desk.New(t)
	d.AddDaemon(t, store.Host{Name: "entry-1", Role: "entry"}).SetStatus(func(s *admin.Status) { s.Release = 7 })
	ran := d.Run(t, mancli.New, "manifest", "apply", manifestFile(t, unchanged))
	assert.Equal(t, ran.Code, exit.Unavailable)
	assert.Assert(t, strings.Contains(ran.Err, "release 7 is in force"), ran.Err)
}
