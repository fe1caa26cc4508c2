package recall_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/recall"
)

func ExampleRefusals() {
	here, there := recall.New(), recall.New()
	here.Add(recall.Refusal{Key: 7, FirstArrival: 1000, RetryAt: 1400}, 1000)
	there.AddRemote(here.TakeUnsent(), 1100)
	refusal, returned := there.Lookup(7, 1450)
	fmt.Println(refusal.FirstArrival, returned)
	// Output: 1000 true
}

// A caller is refused with a time to retry and retries at once several times. It must
// gain no advantage over callers that wait for the requested time.
func TestEarlyReturnIsTreatedAsNew(t *testing.T) {
	refusals := recall.New()
	refusals.Add(recall.Refusal{Key: 7, FirstArrival: 1000, RetryAt: 1400}, 1000)
	for _, tt := range []struct {
		now  clock.Millis
		want bool
	}{{1001, false}, {1379, false}, {1380, true}, {1400, true}, {20_000, true}, {21_001, false}} {
		_, returned := refusals.Lookup(7, tt.now)
		assert.Equal(t, returned, tt.want, "%d", tt.now)
	}
	_, returned := refusals.Lookup(8, 1400)
	assert.Assert(t, !returned, "another caller")
}

func TestRefusalsAreSentOnce(t *testing.T) {
	refusals := recall.New()
	refusals.Add(recall.Refusal{Key: 7, FirstArrival: 1000, RetryAt: 1400}, 1000)
	assert.Equal(t, len(refusals.TakeUnsent()), 1)
	assert.Equal(t, len(refusals.TakeUnsent()), 0)
}

// A caller is refused a second time. The first arrival must not change, and the newest
// time to retry applies.
func TestSecondRefusalKeepsFirstArrival(t *testing.T) {
	refusals := recall.New()
	refusals.Add(recall.Refusal{Key: 7, FirstArrival: 1000, RetryAt: 1400}, 1000)
	refusals.Add(recall.Refusal{Key: 7, FirstArrival: 1000, RetryAt: 2400}, 1500)
	_, returned := refusals.Lookup(7, 1600)
	assert.Assert(t, !returned)
	refusal, returned := refusals.Lookup(7, 2400)
	assert.Assert(t, returned)
	assert.Equal(t, refusal.FirstArrival, clock.Millis(1000))
}

// During a flood of refusals, the stored and unsent refusals are bounded, and expired
// ones are removed to make room for new ones.
func TestMemoryIsBounded(t *testing.T) {
	refusals := recall.New()
	for key := range uint64(20_000) {
		refusals.Add(recall.Refusal{Key: key, FirstArrival: 1000, RetryAt: 1400}, 1000)
	}
	assert.Assert(t, len(refusals.TakeUnsent()) <= 1024)
	_, returned := refusals.Lookup(19_999, 1400)
	assert.Assert(t, !returned, "the set was full")
	refusals.Add(recall.Refusal{Key: 19_999, FirstArrival: 30_000, RetryAt: 30_400}, 30_000)
	_, returned = refusals.Lookup(19_999, 30_400)
	assert.Assert(t, returned)
}

// Guards against a caller that is refused a second time while the set is full and then
// counts as returned as soon as its first time to retry has come.
func TestSecondRefusalIsStoredWhileTheSetIsFull(t *testing.T) {
	refusals := recall.New()
	for key := range uint64(8192) {
		refusals.Add(recall.Refusal{Key: key, FirstArrival: 1000, RetryAt: 1400}, 1000)
	}
	refusals.Add(recall.Refusal{Key: 7, FirstArrival: 1000, RetryAt: 3000}, 1500)
	_, returned := refusals.Lookup(7, 2000)
	assert.Assert(t, !returned)
	_, returned = refusals.Lookup(7, 3000)
	assert.Assert(t, returned)
}
