package learn_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/guard/learn"
)

// Beyond eight concurrent items an endpoint gets slower with each further item.
// Without an adaptive limit all admitted work would be late.
func TestLimitFollowsServiceTime(t *testing.T) {
	l := learn.New(learn.WithBounds(1, 64))
	serviceTime := func(inFlight int) float64 { return 20 * math.Max(1, float64(inFlight)/8) }
	for range 16 {
		l.Sample(serviceTime(2), 2)
	}
	for range 20000 {
		l.Sample(serviceTime(l.Limit()), l.Limit())
	}
	assert.Assert(t, l.Limit() >= 8 && l.Limit() <= 32, "limit %d", l.Limit())
	for range 4000 {
		l.Sample(20, l.Limit())
	}
	assert.Equal(t, l.Limit(), 64)
}

func TestRejectionsLowerLimit(t *testing.T) {
	l := learn.New(learn.WithBounds(1, 64))
	for range 100 {
		l.Rejected()
	}
	assert.Equal(t, l.Limit(), 1)
}

func TestLimitProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := learn.New(learn.WithBounds(2, 40))
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "event") == 0 {
				l.Rejected()
			} else {
				l.Sample(float64(rapid.IntRange(0, 5000).Draw(t, "time")), rapid.IntRange(0, 40).Draw(t, "inFlight"))
			}
			assert.Assert(t, l.Limit() >= 2 && l.Limit() <= 40)
		}
	})
}

func ExampleLimit() {
	l := learn.New(learn.WithBounds(1, 16))
	fmt.Println(l.Limit())
	// Output: 16
}
