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

// crashed notes crashes of endpoints e0, e1 and so on.
func crashed(b *crash.Tracker, k crash.Key, endpoints int, now clock.Millis) (begins bool) {
	for i := range endpoints {
		_, begins = b.RecordCrash(k, fmt.Sprint("e", i), now)
	}
	return begins
}

func TestKeyTellsRequestsApart(t *testing.T) {
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

// Guards against a request that is sent on and on although it crashes each endpoint.
func TestThirdCrashQuarantines(t *testing.T) {
	b := crash.New()
	assert.Assert(t, b.Empty())
	for i := range 2 {
		crashes, begins := b.RecordCrash(key("x"), fmt.Sprint("e", i), 10)
		assert.Equal(t, crashes, i+1)
		assert.Assert(t, !begins)
		assert.Equal(t, b.QuarantineLeft(key("x"), 10), clock.Millis(0))
	}
	_, begins := b.RecordCrash(key("x"), "e2", 10)
	assert.Assert(t, begins)
	assert.Equal(t, b.QuarantineLeft(key("x"), 20), crash.QuarantineTime-10)
	assert.Equal(t, b.QuarantineLeft(key("y"), 20), clock.Millis(0))
	_, begins = b.RecordCrash(key("x"), "e3", 30)
	assert.Assert(t, !begins, "it begins once")
}

// Guards against a request that is let through again and again because its callers go
// on after the end of its quarantine.
func TestOneCrashMoreBeginsTheQuarantineAnew(t *testing.T) {
	b := crash.New()
	sent := 0
	for now := clock.Millis(1); now < clock.Hour; now += clock.Second {
		b.Expire(now)
		if b.QuarantineLeft(key("x"), now) > 0 {
			continue
		}
		b.RecordCrash(key("x"), fmt.Sprint("e", sent), now)
		sent++
	}
	assert.Equal(t, sent, 3+3, "one each quarter of an hour")
	assert.Equal(t, len(b.Expire(6*clock.Hour)), 0)
	assert.Assert(t, b.Empty())
}

// Guards against a quarantine that each process begins only after three crashes of its own.
func TestCrashesSeenByPeersCount(t *testing.T) {
	books := []*crash.Tracker{crash.New(), crash.New(), crash.New()}
	for i, b := range books {
		b.RecordCrash(key("x"), fmt.Sprint("e", i), 10)
	}
	for i, from := range books {
		reports, _ := from.TakeUnsent()
		assert.Equal(t, len(reports), 1)
		again, _ := from.TakeUnsent()
		assert.Equal(t, len(again), 0)
		for j, to := range books {
			if i != j {
				to.AddReports(reports, 20)
			}
		}
	}
	for _, b := range books {
		assert.Assert(t, b.QuarantineLeft(key("x"), 30) > 0)
	}
}

// Guards against requests that are refused because others crash the endpoints that they run at.
func TestAnswerClearsSuspects(t *testing.T) {
	for name, clears := range map[string]func(b *crash.Tracker){
		"own answer": func(b *crash.Tracker) { assert.Assert(t, b.RecordAnswer(key("x"))) },
		"a peer's":   func(b *crash.Tracker) { b.AddReports([]crash.Report{{Key: key("x"), Cleared: true}}, 20) },
	} {
		t.Run(name, func(t *testing.T) {
			b := crash.New()
			crashed(b, key("x"), 2, 10)
			clears(b)
			assert.Assert(t, b.Empty())
			crashed(b, key("x"), 2, 30)
			assert.Equal(t, b.QuarantineLeft(key("x"), 50), clock.Millis(0))
		})
	}
}

func TestOneEndpointCountsOnce(t *testing.T) {
	b := crash.New()
	for range 5 {
		b.RecordCrash(key("x"), "e0", 10)
	}
	assert.Equal(t, b.QuarantineLeft(key("x"), 20), clock.Millis(0))
}

func TestAnswerOfARequestUnderWayEndsItsQuarantine(t *testing.T) {
	b := crash.New()
	crashed(b, key("x"), 3, 10)
	assert.Assert(t, b.RecordAnswer(key("x")))
	assert.Equal(t, b.QuarantineLeft(key("x"), 30), clock.Millis(0))
	assert.Assert(t, !b.RecordAnswer(key("y")), "nothing was known of it")

	b.SetStored([]crash.Stored{{Key: key("z"), Age: 5, Endpoints: []string{"a", "b", "c"}}}, 40)
	assert.Assert(t, b.QuarantineLeft(key("z"), 45) > 0)
	assert.Assert(t, b.RecordAnswer(key("z")))
	assert.Equal(t, b.QuarantineLeft(key("z"), 60), clock.Millis(0))
	assert.DeepEqual(t, b.Expire(60), []crash.Key{key("z")})
	b.SetStored(nil, 70)
	assert.Assert(t, b.Empty())
}

// Guards against sound requests that stay refused because endpoints stopped for another
// reason, and against trials that crash endpoint after endpoint.
func TestOneTrialIsLetThrough(t *testing.T) {
	b := crash.New()
	crashed(b, key("x"), 3, 10)
	const due = 10 + 4*clock.Second
	assert.Assert(t, !b.TakeTrial(key("x"), due-1))
	assert.Assert(t, b.TrialDue(key("x"), due) && b.TakeTrial(key("x"), due))
	assert.Assert(t, !b.TakeTrial(key("x"), due))
	b.ReturnTrial(key("x"))
	assert.Assert(t, b.TakeTrial(key("x"), due+1))
	b.RecordCrash(key("x"), "e9", due+2)
	assert.Assert(t, !b.TrialDue(key("x"), due+clock.Minute))

	started := crash.New()
	started.SetStored([]crash.Stored{{Key: key("x"), Endpoints: []string{"a", "b", "c"}}}, 10)
	assert.Assert(t, !started.TrialDue(key("x"), due), "a process that has just started lets none through")
}

// Guards against processes that start anew after all were killed, and send it again.
func TestCrashesLastInTheStore(t *testing.T) {
	b := crash.New()
	crashed(b, key("x"), 1, 5)
	assert.Equal(t, len(b.Unwritten(6)), 0)
	crashed(b, key("x"), 2, 10)
	assert.DeepEqual(t, b.Unwritten(30), []crash.Stored{{Key: key("x"), Age: 20, Endpoints: []string{"e0", "e1"}}})
	b.MarkWritten(key("x"), 2)
	assert.Equal(t, len(b.Unwritten(30)), 0)
	_, lifted := b.SetStored(nil, 40) // as of a moment before
	assert.Equal(t, len(lifted), 0)
	crashed(b, key("x"), 3, 50)
	assert.Equal(t, len(b.Unwritten(60)), 1)

	other := crash.New()
	began, _ := other.SetStored([]crash.Stored{{Key: key("x"), Age: 100, Endpoints: []string{"e0", "e1"}}}, 50)
	assert.Equal(t, len(began), 0)
	_, begins := other.RecordCrash(key("x"), "e7", 60)
	assert.Assert(t, begins)
	_, lifted = other.SetStored(nil, 70)
	assert.DeepEqual(t, lifted, []crash.Key{key("x")})
	assert.Assert(t, other.Empty())
}

func TestBooksAreBounded(t *testing.T) {
	b := crash.New()
	for i := range 20_000 {
		crashed(b, key(fmt.Sprint(i)), 1+i%2*2, clock.Millis(i))
	}
	reports, dropped := b.TakeUnsent()
	assert.Assert(t, len(reports) <= 1024 && dropped > 0)
	assert.Assert(t, len(b.Unwritten(20_000)) <= 4096)
	crashes, _ := b.RecordCrash(key(fmt.Sprint(19_998)), "e1", 20_000)
	assert.Equal(t, crashes, 2, "the newest are kept")
	crashed(b, key("x"), 50, 20_001)
	assert.Assert(t, b.QuarantineLeft(key("x"), 20_002) > 0, "a full book still stops requests")
	for _, entry := range b.Unwritten(20_002) {
		assert.Assert(t, len(entry.Endpoints) <= 4)
	}
}
