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
func crashed(b *crash.Book, k crash.Key, endpoints int, now clock.Millis) (begins bool) {
	for i := range endpoints {
		_, begins = b.Crashed(k, fmt.Sprint("e", i), now)
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
		crashes, begins := b.Crashed(key("x"), fmt.Sprint("e", i), 10)
		assert.Equal(t, crashes, i+1)
		assert.Assert(t, !begins)
		assert.Equal(t, b.Quarantined(key("x"), 10), clock.Millis(0))
	}
	_, begins := b.Crashed(key("x"), "e2", 10)
	assert.Assert(t, begins)
	assert.Equal(t, b.Quarantined(key("x"), 20), crash.Keep-10)
	assert.Equal(t, b.Quarantined(key("y"), 20), clock.Millis(0))
	_, begins = b.Crashed(key("x"), "e3", 30)
	assert.Assert(t, !begins, "it begins once")
	assert.Equal(t, b.Quarantined(key("x"), 10+crash.Keep), clock.Millis(0))
	assert.Equal(t, len(b.Expire(10+crash.Keep)), 0)
	assert.Assert(t, b.Empty())
}

// Guards against a quarantine that each process begins only after three crashes of its own.
func TestCrashesSeenByPeersCount(t *testing.T) {
	books := []*crash.Book{crash.New(), crash.New(), crash.New()}
	for i, b := range books {
		b.Crashed(key("x"), fmt.Sprint("e", i), 10)
	}
	for i, from := range books {
		reports := from.Unsent()
		assert.Equal(t, len(reports), 1)
		assert.Equal(t, len(from.Unsent()), 0)
		for j, to := range books {
			if i != j {
				to.Learn(reports, 20)
			}
		}
	}
	for _, b := range books {
		assert.Assert(t, b.Quarantined(key("x"), 30) > 0)
	}
}

// Guards against requests that are refused because others crash the endpoints that they run at.
func TestAnswerClearsSuspects(t *testing.T) {
	cases := map[string]func(b *crash.Book){
		"own answer":               func(b *crash.Book) { assert.Assert(t, b.Answered(key("x"), 20)) },
		"a peer's":                 func(b *crash.Book) { b.Learn([]crash.Report{{Key: key("x"), Cleared: true}}, 20) },
		"one endpoint three times": func(*crash.Book) {},
	}
	for name, clears := range cases {
		t.Run(name, func(t *testing.T) {
			b := crash.New()
			crashed(b, key("x"), 1, 10)
			b.Crashed(key("x"), "e0", 11)
			if clears(b); name != "one endpoint three times" {
				assert.Assert(t, b.Empty())
				crashed(b, key("x"), 2, 30)
			}
			b.Crashed(key("x"), "e0", 40)
			assert.Equal(t, b.Quarantined(key("x"), 50), clock.Millis(0))
		})
	}
}

func TestAnswerOfARequestUnderWayEndsItsQuarantine(t *testing.T) {
	b := crash.New()
	assert.Assert(t, crashed(b, key("x"), 3, 10))
	assert.Assert(t, b.Answered(key("x"), 20))
	assert.Equal(t, b.Quarantined(key("x"), 30), clock.Millis(0))
	assert.Assert(t, !b.Answered(key("y"), 30), "nothing was known of it")

	b.SetListed([]crash.Listed{{Key: key("z"), Age: 5}}, 40)
	assert.Assert(t, b.Answered(key("z"), 50))
	assert.Equal(t, b.Quarantined(key("z"), 60), clock.Millis(0))
	assert.DeepEqual(t, b.Expire(60), []crash.Key{key("z")})
}

// Guards against processes that start anew after all were killed, and send it again.
func TestQuarantinesLastInTheStore(t *testing.T) {
	b := crash.New()
	crashed(b, key("x"), 3, 10)
	assert.DeepEqual(t, b.Unwritten(30), []crash.Listed{{Key: key("x"), Age: 20, Endpoints: []string{"e0", "e1", "e2"}}})
	b.Written(key("x"))
	assert.Equal(t, len(b.Unwritten(30)), 0)
	_, lifted := b.SetListed(nil, 40) // as of a moment before
	assert.Equal(t, len(lifted), 0)

	other := crash.New()
	began, _ := other.SetListed([]crash.Listed{{Key: key("x"), Age: 100}}, 50)
	assert.DeepEqual(t, began, []crash.Key{key("x")})
	assert.Equal(t, other.Quarantined(key("x"), 60), crash.Keep-110)
	assert.Equal(t, len(other.Unwritten(60)), 0)
	assert.DeepEqual(t, other.Expire(50+crash.Keep), []crash.Key{key("x")})
	_, lifted = other.SetListed(nil, 70)
	assert.DeepEqual(t, lifted, []crash.Key{key("x")})
	assert.Assert(t, other.Empty())
}

func TestBooksAreBounded(t *testing.T) {
	b := crash.New()
	for i := range 20_000 {
		crashed(b, key(fmt.Sprint(i)), 1+i%2*2, clock.Millis(i))
	}
	assert.Assert(t, len(b.Unsent()) <= 1024)
	assert.Assert(t, len(b.Unwritten(20_000)) <= 1024)
	newest := key(fmt.Sprint(19_998))
	crashes, _ := b.Crashed(newest, "e1", 20_000)
	assert.Equal(t, crashes, 2, "the newest are kept")
}
