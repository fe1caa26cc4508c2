package fence_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/guard/fence"
)

func attempt(n int) token.Attempt { return token.Attempt{Request: strconv.Itoa(n / 4), Try: n % 4} }

// An attempt is refused as not run, the entry retries it at another endpoint, and
// then a second copy of its frame arrives. Running it would make a booking twice.
func TestRefusedAttemptStaysRefused(t *testing.T) {
	f := fence.New()
	assert.Assert(t, f.Set(1, attempt(1), fence.Refused))
	for i := range 1000 {
		assert.Assert(t, f.Set(clock.Millis(i), attempt(2+i), fence.Ended))
	}
	assert.Equal(t, f.State(attempt(1)), fence.Refused)
	assert.Equal(t, f.State(attempt(5000)), fence.Unseen)
}

// More attempts arrive than the fence can record. An unseen attempt must not be
// answered as not run until all evicted records are older than the retention time.
func TestEvictionMakesFenceIncomplete(t *testing.T) {
	f := fence.New(fence.WithBound(4), fence.WithRetention(100, 100))
	for i := range 5 {
		assert.Assert(t, f.Set(clock.Millis(i), attempt(i), fence.Ended))
	}
	assert.Equal(t, f.State(attempt(0)), fence.Unseen)
	assert.Assert(t, !f.Complete(50))
	assert.Assert(t, f.Complete(200))
}

func TestOpenAttemptsAreNeverEvicted(t *testing.T) {
	f := fence.New(fence.WithBound(2), fence.WithRetention(10, 10))
	assert.Assert(t, f.Set(0, attempt(0), fence.Open))
	assert.Assert(t, f.Set(0, attempt(1), fence.Open))
	assert.Assert(t, !f.Set(1000, attempt(2), fence.Open))
	assert.Equal(t, f.State(attempt(0)), fence.Open)
}

// Random changes: recorded states are correct, an attempt missing from a complete
// fence is older than the retention time, and the number of records is bounded.
func TestFenceProperties(t *testing.T) {
	const retention = 100
	rapid.Check(t, func(t *rapid.T) {
		f := fence.New(fence.WithBound(8), fence.WithRetention(retention, retention))
		states := map[token.Attempt]fence.State{}
		changedAt := map[token.Attempt]clock.Millis{}
		now := clock.Millis(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 30).Draw(t, "wait"))
			id := attempt(rapid.IntRange(0, 20).Draw(t, "id"))
			state := fence.State(rapid.IntRange(1, 3).Draw(t, "state"))
			if f.Set(now, id, state) {
				states[id], changedAt[id] = state, now
			}
			for otherID, want := range states {
				got := f.State(otherID)
				if got == fence.Unseen {
					assert.Assert(t, want != fence.Open)
					assert.Assert(t, !f.Complete(now) || now-changedAt[otherID] > retention)
					continue
				}
				assert.Equal(t, got, want)
			}
			assert.Assert(t, f.Size() <= 8)
		}
	})
}

func BenchmarkSetOpenAndEnded(b *testing.B) {
	f := fence.New()
	id := token.Attempt{Request: "0123456789abcdef01234567"}
	now := clock.Millis(0)
	b.ReportAllocs()
	for b.Loop() {
		id.Try++
		id.Stage = id.Try >> 16
		now++
		f.Set(now, id, fence.Open)
		f.Set(now, id, fence.Ended)
	}
}
