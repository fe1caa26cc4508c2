package crash_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
)

func key(body string) crash.Key {
	return crash.KeyOf("baker", "POST", "a.example", "/drafts/", []byte(body))
}

// crashed records crashes of endpoints e0, e1 and so on.
func crashed(tracker *crash.Tracker, k crash.Key, endpoints int, now clock.Millis) (started bool) {
	for i := range endpoints {
		_, started = tracker.RecordCrash(k, fmt.Sprint("e", i), now)
	}
	return started
}

func TestKeyIdentifiesRequest(t *testing.T) {
	keys := map[crash.Key]bool{
		crash.KeyOf("baker", "POST", "a.example", "/a/", []byte("x")):  true,
		crash.KeyOf("miller", "POST", "a.example", "/a/", []byte("x")): true,
		crash.KeyOf("baker", "PUT", "a.example", "/a/", []byte("x")):   true,
		crash.KeyOf("baker", "POST", "b.example", "/a/", []byte("x")):  true,
		crash.KeyOf("baker", "POST", "a.example", "/a/x", nil):         true,
		crash.KeyOf("baker", "POST", "a.example", "/a/", []byte("y")):  true,
		crash.KeyOf("", "bakerPOST", "a.example", "/a/", []byte("x")):  true,
	}
	assert.Equal(t, len(keys), 7)
	parsed, err := crash.ParseKey(key("x").String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, key("x"))
	for _, text := range []string{"", "12", "zz", key("x").String() + "00"} {
		_, err := crash.ParseKey(text)
		assert.ErrorContains(t, err, "is no key of a request")
	}
}

// Guards against a request that is sent again and again although it crashes each
// endpoint.
func TestThirdCrashQuarantines(t *testing.T) {
	tracker := crash.New()
	assert.Assert(t, tracker.Empty())
	for i := range 2 {
		crashes, started := tracker.RecordCrash(key("x"), fmt.Sprint("e", i), 10)
		assert.Equal(t, crashes, i+1)
		assert.Assert(t, !started)
		assert.Equal(t, tracker.QuarantineLeft(key("x"), 10), clock.Millis(0))
	}
	_, started := tracker.RecordCrash(key("x"), "e2", 10)
	assert.Assert(t, started)
	assert.Equal(t, tracker.QuarantineLeft(key("x"), 20), crash.QuarantineTime-10)
	assert.Equal(t, tracker.QuarantineLeft(key("y"), 20), clock.Millis(0))
	_, started = tracker.RecordCrash(key("x"), "e3", 30)
	assert.Assert(t, !started, "a quarantine starts once")
}

// Guards against a request that crashes three endpoints after each quarantine
// because its callers keep repeating it.
func TestFurtherCrashExtendsTheQuarantine(t *testing.T) {
	tracker := crash.New()
	sent := 0
	for now := clock.Millis(1); now < clock.Hour; now += clock.Second {
		tracker.Expire(now)
		if tracker.QuarantineLeft(key("x"), now) > 0 {
			continue
		}
		tracker.RecordCrash(key("x"), fmt.Sprint("e", sent), now)
		sent++
	}
	assert.Equal(t, sent, 3+3, "one after each quarter of an hour")
	assert.Equal(t, len(tracker.Expire(6*clock.Hour)), 0)
	assert.Assert(t, tracker.Empty())
}

// Guards against a quarantine that starts only when one process has seen three
// crashes itself.
func TestCrashesReportedByPeersCount(t *testing.T) {
	trackers := []*crash.Tracker{crash.New(), crash.New(), crash.New()}
	for i, tracker := range trackers {
		tracker.RecordCrash(key("x"), fmt.Sprint("e", i), 10)
	}
	for i, from := range trackers {
		reports, _ := from.TakeUnsent()
		assert.Equal(t, len(reports), 1)
		again, _ := from.TakeUnsent()
		assert.Equal(t, len(again), 0)
		for j, to := range trackers {
			if i != j {
				to.AddReports(reports, 20)
			}
		}
	}
	for _, tracker := range trackers {
		assert.Assert(t, tracker.QuarantineLeft(key("x"), 30) > 0)
	}
}

// Guards against harmless requests that are refused because other requests crash
// the endpoints that run them.
func TestAnswerClearsCrashes(t *testing.T) {
	for name, clears := range map[string]func(tracker *crash.Tracker){
		"own answer":       func(tracker *crash.Tracker) { assert.Assert(t, tracker.RecordAnswer(key("x"))) },
		"answer at a peer": func(tracker *crash.Tracker) { tracker.AddReports([]crash.Report{{Key: key("x"), Cleared: true}}, 20) },
	} {
		t.Run(name, func(t *testing.T) {
			tracker := crash.New()
			crashed(tracker, key("x"), 2, 10)
			clears(tracker)
			assert.Assert(t, tracker.Empty())
			crashed(tracker, key("x"), 2, 30)
			assert.Equal(t, tracker.QuarantineLeft(key("x"), 50), clock.Millis(0))
		})
	}
}

func TestCrashesOfOneEndpointCountOnce(t *testing.T) {
	tracker := crash.New()
	for range 5 {
		tracker.RecordCrash(key("x"), "e0", 10)
	}
	assert.Equal(t, tracker.QuarantineLeft(key("x"), 20), clock.Millis(0))
}

func TestAnswerEndsQuarantine(t *testing.T) {
	tracker := crash.New()
	crashed(tracker, key("x"), 3, 10)
	assert.Assert(t, tracker.RecordAnswer(key("x")))
	assert.Equal(t, tracker.QuarantineLeft(key("x"), 30), clock.Millis(0))
	assert.Assert(t, !tracker.RecordAnswer(key("y")), "no crash was recorded")

	tracker.SetStored([]crash.Stored{{Key: key("z"), Age: 5, Endpoints: []string{"a", "b", "c"}}}, 40)
	assert.Assert(t, tracker.QuarantineLeft(key("z"), 45) > 0)
	assert.Assert(t, tracker.RecordAnswer(key("z")))
	assert.Equal(t, tracker.QuarantineLeft(key("z"), 60), clock.Millis(0))
	assert.DeepEqual(t, tracker.Expire(60), []crash.Key{key("z")})
	tracker.SetStored(nil, 70)
	assert.Assert(t, tracker.Empty())
}

// Guards against harmless requests that stay refused because endpoints stopped for
// another reason, and against repeated trials that crash one endpoint after
// another.
func TestOneTrialIsAllowed(t *testing.T) {
	tracker := crash.New()
	crashed(tracker, key("x"), 3, 10)
	const due = 10 + 4*clock.Second
	assert.Assert(t, !tracker.TakeTrial(key("x"), due-1))
	assert.Assert(t, tracker.TrialDue(key("x"), due) && tracker.TakeTrial(key("x"), due))
	assert.Assert(t, !tracker.TakeTrial(key("x"), due))
	tracker.ReturnTrial(key("x"))
	assert.Assert(t, tracker.TakeTrial(key("x"), due+1))
	tracker.RecordCrash(key("x"), "e9", due+2)
	assert.Assert(t, !tracker.TrialDue(key("x"), due+clock.Minute))

	started := crash.New()
	unwritten := tracker.Unwritten(due + 3)
	assert.Assert(t, len(unwritten) == 1 && unwritten[0].Tried)
	started.SetStored(unwritten, 10)
	assert.Assert(t, !started.TrialDue(key("x"), due+clock.Minute), "no trial after one that has failed, whatever starts again")
	tracker.MarkWritten(&unwritten[0])
	assert.Equal(t, len(tracker.Unwritten(due+4)), 0)
}

// Guards against a harmless request that stays refused because all processes that had seen the
// crashes have ended before its trial, as after a loss of power that ended the endpoints, too.
func TestTrialOutlastsTheProcessesThatSawTheCrashes(t *testing.T) {
	for _, endpoints := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d"}} {
		started := crash.New()
		started.SetStored([]crash.Stored{{Key: key("x"), Age: clock.Minute, Endpoints: endpoints}}, 10)
		const due = 10 + 4*clock.Second
		assert.Assert(t, !started.TrialDue(key("x"), due-1), "its peers have not started yet")
		assert.Assert(t, started.TakeTrial(key("x"), due), "%d endpoints ended at once", len(endpoints))
		assert.Assert(t, !started.TakeTrial(key("x"), due))
		_, _ = started.RecordCrash(key("x"), "e", due+1)
		assert.Assert(t, !started.TrialDue(key("x"), due+clock.Minute))
	}
}

// Guards against a request that crashes endpoints again after all processes were
// killed and restarted.
func TestStoredCrashesSurviveRestart(t *testing.T) {
	tracker := crash.New()
	crashed(tracker, key("x"), 1, 5)
	assert.Equal(t, len(tracker.Unwritten(6)), 0)
	crashed(tracker, key("x"), 2, 10)
	assert.DeepEqual(t, tracker.Unwritten(30), []crash.Stored{{Key: key("x"), Age: 20, Endpoints: []string{"e0", "e1"}}})
	tracker.MarkWritten(&crash.Stored{Key: key("x"), Endpoints: make([]string, 2)})
	assert.Equal(t, len(tracker.Unwritten(30)), 0)
	_, lifted := tracker.SetStored(nil, 40) // read before the write
	assert.Equal(t, len(lifted), 0)
	crashed(tracker, key("x"), 3, 50)
	assert.Equal(t, len(tracker.Unwritten(60)), 1)

	other := crash.New()
	began, _ := other.SetStored([]crash.Stored{{Key: key("x"), Age: 100, Endpoints: []string{"e0", "e1"}}}, 50)
	assert.Equal(t, len(began), 0)
	_, started := other.RecordCrash(key("x"), "e7", 60)
	assert.Assert(t, started)
	_, lifted = other.SetStored(nil, 70)
	assert.DeepEqual(t, lifted, []crash.Key{key("x")})
	assert.Assert(t, other.Empty())
}

// Guards against a quarantine that begins again for a request that was answered after its
// crashes had been written and before the store's list had them.
func TestAnswerBetweenWriteAndListEndsQuarantine(t *testing.T) {
	tracker := crash.New()
	assert.Assert(t, crashed(tracker, key("x"), 3, 10))
	tracker.MarkWritten(&crash.Stored{Key: key("x"), Endpoints: make([]string, 3)})
	assert.Assert(t, tracker.RecordAnswer(key("x")))
	assert.Equal(t, len(tracker.Expire(20)), 0)
	stored := crash.Stored{Key: key("x"), Age: 20, Endpoints: []string{"e0", "e1", "e2"}}
	began, _ := tracker.SetStored([]crash.Stored{stored}, 30)
	assert.Equal(t, len(began), 0)
	assert.Equal(t, tracker.QuarantineLeft(key("x"), 30), clock.Millis(0))
	assert.DeepEqual(t, tracker.Expire(40), []crash.Key{key("x")})
	tracker.SetStored(nil, 50)
	assert.Assert(t, tracker.Empty())
}

func TestTrackerIsBounded(t *testing.T) {
	tracker := crash.New()
	for i := range 20_000 {
		crashed(tracker, key(fmt.Sprint(i)), 1+i%2*2, clock.Millis(i))
	}
	reports, dropped := tracker.TakeUnsent()
	assert.Assert(t, len(reports) <= 1024 && dropped > 0)
	assert.Assert(t, len(tracker.Unwritten(20_000)) <= 4096)
	crashes, _ := tracker.RecordCrash(key(fmt.Sprint(19_998)), "e1", 20_000)
	assert.Equal(t, crashes, 2, "the newest records are kept")
	crashed(tracker, key("x"), 50, 20_001)
	assert.Assert(t, tracker.QuarantineLeft(key("x"), 20_002) > 0, "a full tracker still quarantines requests")
	for _, entry := range tracker.Unwritten(20_002) {
		assert.Assert(t, len(entry.Endpoints) <= 4)
	}
}
