package rate_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/rate"
)

func ExampleBucket() {
	var bucket rate.Bucket
	fmt.Println(bucket.Take(2, 0))
	fmt.Println(bucket.Take(2, 501))
	// Output:
	// 501
	// 0
}

func TestBucketKeepsTheLimitOverShortAndLongWindows(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 1.2, 5, 40} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			var bucket rate.Bucket
			var granted []clock.Millis
			for now := clock.Millis(0); now < 120*clock.Second; now += 3 {
				// Pauses let the bucket fill before each burst.
				if now%(20*clock.Second) > 5*clock.Second && bucket.Take(limit, now) == 0 {
					granted = append(granted, now)
				}
			}
			assert.Assert(t, float64(mostIn(granted, 4*clock.Second)) <= 1.5*limit*4+5)
			assert.Assert(t, float64(mostIn(granted, 30*clock.Second)) <= 1.1*limit*30)
		})
	}
}

// mostIn returns the largest number of instants in any window.
func mostIn(instants []clock.Millis, window clock.Millis) int {
	most, first := 0, 0
	for i, at := range instants {
		for at-instants[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against processes that are refused together and all ask again together.
func TestRefusedProcessesAskAtDifferentTimes(t *testing.T) {
	var bucket rate.Bucket
	seen := make(map[clock.Millis]int)
	for range 30 {
		seen[bucket.Take(1, 0)]++
	}
	assert.Assert(t, len(seen) == 30, seen)
	for wait := range seen {
		assert.Assert(t, wait <= 10*clock.Second)
	}
}

// Guards against a limit so low that its end is not noticed for minutes.
func TestTinyLimitDoesNotBlockAnEndpoint(t *testing.T) {
	var bucket rate.Bucket
	wait := bucket.Take(1e-9, 0)
	assert.Assert(t, wait <= 10*clock.Second+1, wait)
	assert.Equal(t, bucket.Take(1e-9, wait), clock.Millis(0))
}

func TestChangedLimitCountsFromThatInstant(t *testing.T) {
	var bucket rate.Bucket
	assert.Assert(t, bucket.Take(0.5, 0) > 0)
	assert.Assert(t, bucket.Take(40, 100) <= 30)
	granted := 0
	for now := clock.Millis(100); now < 1100; now++ {
		if bucket.Take(40, now) == 0 {
			granted++
		}
	}
	assert.Assert(t, granted >= 36 && granted <= 48, granted)
	assert.Assert(t, bucket.Take(1, 1100) > 0, "a burst of the old limit must not be granted at the new one")
}

func TestClockThatStandsStillGrantsNothing(t *testing.T) {
	var bucket rate.Bucket
	for range 100 {
		assert.Assert(t, bucket.Take(1, 50) > 0)
	}
	assert.Assert(t, bucket.Take(1, 10) > 0)
}
