package blame_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
)

const v1 = "v1"

func parts(ids ...string) []blame.Part {
	all := make([]blame.Part, 0, len(ids))
	for _, id := range ids {
		all = append(all, blame.Part{Key: crash.PartKeyOf("models", "m", id), ID: id})
	}
	return all
}

func crashed(t *blame.Tracker, engine string, now clock.Millis, requests ...[]blame.Part) []blame.Part {
	return t.RecordCrash(engine, v1, requests, now)
}

func isHeld(t *blame.Tracker, now clock.Millis, ids ...string) bool {
	return len(t.Check(parts(ids...), v1, now).Held) > 0
}

// Guards against a part that crashes one engine after the other because no two requests with it
// are alike.
func TestFirstCrashHoldsTheOnlyPartThatWasNeverAnswered(t *testing.T) {
	tracker := blame.New()
	assert.Assert(t, tracker.Empty())
	tracker.RecordAnswer("e0", v1, parts("a", "b"), 1)
	assert.DeepEqual(t, crashed(tracker, "e1", 10, parts("a", "x", "b")), parts("x"))
	assert.Assert(t, isHeld(tracker, 11, "b", "x") && !isHeld(tracker, 11, "a", "b") && !tracker.Empty())
}

// Guards against sound parts that are held back because they were beside the culprit.
func TestCrashOfAHeldPartNamesNoOther(t *testing.T) {
	tracker := blame.New()
	assert.Equal(t, len(crashed(tracker, "e1", 10, parts("x", "new"))), 2)
	assert.DeepEqual(t, crashed(tracker, "e2", 20, parts("x", "newer"), parts("other")), parts("x"))
	assert.Assert(t, isHeld(tracker, 30, "new"), "it crashed together with x")
	assert.DeepEqual(t, tracker.RecordAnswer("e3", v1, parts("new"), 40), parts("new"))
	assert.Assert(t, !isHeld(tracker, 50, "new", "newer", "other") && isHeld(tracker, 50, "x"))
}

// Guards against sound requests that are suspected of a crash under a part of another request.
func TestCrashUnderAPartIsExplainedForOtherRequests(t *testing.T) {
	tracker := blame.New()
	tracker.RecordAnswer("e0", v1, parts("a"), 1)
	assert.Assert(t, !tracker.Explains("e1", parts("a")))
	crashed(tracker, "e1", 10, parts("a", "x"))
	assert.Assert(t, tracker.Explains("e1", parts("a")) && tracker.Explains("e1", nil))
	assert.Assert(t, !tracker.Explains("e1", parts("a", "x")) && !tracker.Explains("e2", parts("a")))
	tracker.RecordAnswer("e3", v1, parts("x"), 20)
	assert.Assert(t, !tracker.Explains("e1", parts("a")), "x was answered")
}

// Guards against a part of all requests that is held back because engines stop for another reason.
func TestPartThatWasAnsweredNeedsSeparateCrashes(t *testing.T) {
	tracker := blame.New()
	tracker.RecordAnswer("e0", v1, parts("a"), 1)
	for i := range 8 { // engines that lose power together
		crashed(tracker, fmt.Sprint("e", i), clock.Millis(1000+i), parts("a"))
	}
	assert.Assert(t, !isHeld(tracker, 1010, "a"))
	crashed(tracker, "f1", 1100, parts("a"))
	assert.Assert(t, !isHeld(tracker, 1110, "a"))
	crashed(tracker, "f2", 1200, parts("a"))
	assert.Assert(t, isHeld(tracker, 1210, "a"), "the part has turned bad")
	tracker.RecordAnswer("f3", v1, parts("a"), 1220)
	assert.Assert(t, !isHeld(tracker, 1230, "a") && tracker.Empty())
}

// Guards against a fleet that loses an engine with each trial, and a sound part that is refused
// for long.
func TestPausesBetweenTrialsGrow(t *testing.T) {
	tracker := blame.New()
	var at []clock.Millis
	for now, engine := clock.Millis(0), 0; now < clock.Minute; now += 10 {
		v := tracker.Check(parts("x"), v1, now)
		if len(v.Held) > 0 {
			if granted, _ := tracker.TakeTrial(v.Held, v1, now); v.Wait > 0 || !granted {
				continue
			}
		}
		engine++
		crashed(tracker, fmt.Sprint("e", engine), now, parts("x"))
		at = append(at, now)
	}
	assert.DeepEqual(t, at, []clock.Millis{0, 300, 2300, 32300})
}

// Guards against trials that several requests or processes make at once.
func TestOneRequestIsTheTrial(t *testing.T) {
	tracker := blame.New()
	crashed(tracker, "e1", 10, parts("x"))
	granted, wait := tracker.TakeTrial(parts("x"), v1, 100)
	assert.Assert(t, !granted && wait == 210)
	granted, _ = tracker.TakeTrial(parts("x"), v1, 310)
	assert.Assert(t, granted)
	granted, wait = tracker.TakeTrial(parts("x"), v1, 311)
	assert.Assert(t, !granted && wait > 0)
	other := blame.New() // an owner that knows nothing yet decides, too
	granted, _ = other.TakeTrial(parts("x"), v1, 310)
	assert.Assert(t, granted)
	granted, _ = other.TakeTrial(parts("x"), v1, 320)
	assert.Assert(t, !granted)
}

// Guards against a part that is answered by engines of one version and goes on crashing those of
// another, and one that every new version has to learn anew.
func TestEvidenceIsKeptForEachVersion(t *testing.T) {
	tracker := blame.New()
	crashed(tracker, "e1", 10, parts("x"))
	assert.Equal(t, len(tracker.Check(parts("x"), "v2", 20).Held), 1, "not answered at v2 either")
	tracker.RecordAnswer("f1", "v2", parts("x"), 30)
	assert.Equal(t, len(tracker.Check(parts("x"), "v2", 40).Held), 0)
	assert.Assert(t, isHeld(tracker, 40, "x"))
}

// exchange passes the unsent reports of each tracker to all others.
func exchange(now clock.Millis, all ...*blame.Tracker) {
	for _, from := range all {
		reports, _ := from.TakeUnsent()
		for _, to := range all {
			if to != from {
				to.AddReports(reports, now)
			}
		}
	}
}

// Guards against a part that each process has to learn from crashes of its own, and against one
// that a process holds back although another has had answers.
func TestPeersShareCrashesAndAnswers(t *testing.T) {
	a, b := blame.New(), blame.New()
	b.RecordAnswer("e0", v1, parts("sound"), 1)
	crashed(a, "e1", 10, parts("x", "sound"))
	assert.Assert(t, isHeld(a, 11, "sound"))
	exchange(20, a, b)
	assert.Assert(t, isHeld(b, 21, "x") && !isHeld(b, 21, "sound"))
	exchange(30, a, b)
	assert.Assert(t, isHeld(a, 31, "x") && !isHeld(a, 31, "sound"), "the peer has told of its answer")
	a.RecordAnswer("e2", v1, parts("x"), 40)
	exchange(50, a, b)
	assert.Assert(t, !isHeld(b, 51, "x"))
}

// Guards against a process that starts while the store is away and learns a part by crashes.
func TestOwnerRepeatsWhatItKnows(t *testing.T) {
	owner, started := blame.New(), blame.New()
	crashed(owner, "e1", 10, parts("x"))
	crashed(owner, "e2", 400, parts("x"))
	_, _ = owner.TakeUnsent()
	owner.Restate(func(crash.Key) bool { return true }, 1000)
	exchange(5, owner, started)
	v := started.Check(parts("x"), v1, 5)
	assert.Equal(t, len(v.Held), 1)
	assert.Equal(t, v.Wait, clock.Millis(1500-600), "the pause after two episodes, less the age of the last crash")
}

// Guards against restarts that forget a part, add a trial or bring back one that was answered.
func TestStoreKeepsPartsOverRestarts(t *testing.T) {
	tracker := blame.New()
	crashed(tracker, "e1", 10, parts("x"))
	assert.Equal(t, len(tracker.Unwritten(11)), 0, "one crash is not written")
	crashed(tracker, "e2", 400, parts("x"))
	unwritten := tracker.Unwritten(410)
	assert.Equal(t, len(unwritten), 1)
	assert.Equal(t, unwritten[0].Crashes(), 2)
	tracker.MarkWritten(unwritten[0].Part.Key, unwritten[0].Revision)
	assert.Equal(t, len(tracker.Unwritten(420)), 0)

	started := blame.New()
	began, _ := started.SetStored([]blame.Stored{unwritten[0].Stored}, 5)
	assert.DeepEqual(t, began, parts("x"))
	assert.Equal(t, started.Check(parts("x"), v1, 5).Wait, clock.Millis(1490))
	assert.Equal(t, len(started.Unwritten(6)), 0)
	started.RecordAnswer("e3", v1, parts("x"), 2000)
	assert.Assert(t, started.Empty())
	cleared := started.Unwritten(2001)
	assert.Equal(t, len(cleared), 1)
	assert.Equal(t, cleared[0].AnsweredBy, "e3")
	began, _ = started.SetStored([]blame.Stored{unwritten[0].Stored}, 2010)
	assert.Assert(t, len(began) == 0 && started.Empty(), "the store has not seen the answer yet")
	assert.Equal(t, len(started.Expire(20*clock.Minute)), 1)
	_, lifted := started.SetStored(nil, 20*clock.Minute)
	assert.DeepEqual(t, lifted, parts("x"))

	_, lifted = tracker.SetStored([]blame.Stored{unwritten[0].Stored}, 500)
	assert.Equal(t, len(lifted), 0)
	_, lifted = tracker.SetStored(nil, 600)
	assert.DeepEqual(t, lifted, parts("x"))
	assert.Assert(t, !isHeld(tracker, 601, "x"), "lifted by an operator")
}

// Guards against a crash that each late or doubled report counts again once many engines have crashed.
func TestDoubledReportsCountOnce(t *testing.T) {
	tracker := blame.New()
	report := func(engine int) []blame.Report {
		return []blame.Report{{Part: parts("x")[0], Version: v1, Engine: fmt.Sprint("e", engine), Alone: true}}
	}
	for engine := range 12 {
		tracker.AddReports(report(engine), 10)
	}
	wait := tracker.Check(parts("x"), v1, 1000).Wait
	tracker.AddReports(report(11), 1000)
	assert.Equal(t, tracker.Check(parts("x"), v1, 1000).Wait, wait)
}

// Guards against memory that grows with the parts that callers name.
func TestTrackerIsBounded(t *testing.T) {
	tracker := blame.New()
	for i := range 20_000 {
		tracker.RecordAnswer("e", v1, parts(fmt.Sprint("s", i)), clock.Millis(i))
		crashed(tracker, fmt.Sprint("e", i), clock.Millis(i), parts(fmt.Sprint("x", i)))
	}
	reports, dropped := tracker.TakeUnsent()
	assert.Assert(t, len(reports) <= 1024 && dropped > 0)
	assert.Assert(t, isHeld(tracker, 20_000, "x19999") && !isHeld(tracker, 20_000, "x0"), "the newest records are kept")
}

// Guards against evidence that is never written: the write of a record that was dropped meanwhile ends once the part has
// another one, which then counts as written.
func TestWriteOfADroppedRecordIsNotThatOfTheNextOne(t *testing.T) {
	tracker := blame.New()
	crashed(tracker, "e1", 10, parts("x"))
	crashed(tracker, "e2", 400, parts("x"))
	before := tracker.Unwritten(410)
	assert.Equal(t, len(before), 1)
	tracker.RecordAnswer("e3", v1, parts("x"), 500) // ends the record while it is being written
	crashed(tracker, "e4", 600, parts("x"))
	tracker.MarkWritten(before[0].Part.Key, before[0].Revision)
	crashed(tracker, "e5", 1000, parts("x"))
	assert.Equal(t, len(tracker.Unwritten(1010)), 1, "the crashes of e4 and e5")
}
