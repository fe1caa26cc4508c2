package rate_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/rate"
)

func ExampleKnown() {
	var known rate.Known
	known.Apply(rate.Statement{Limit: 2, SentAt: 0, At: 100})
	// Sent before the first answer arrived: the order of the two is unknown.
	known.Apply(rate.Statement{Limit: 5, SentAt: 50, At: 150})
	fmt.Println(known.Limit())
	known.Apply(rate.Statement{Limit: 5, SentAt: 110, At: 180})
	fmt.Println(known.Limit())
	known.Apply(rate.Statement{SentAt: 190, At: 250})
	fmt.Println(known.Limit())
	// Output:
	// 2
	// 5
	// 0
}

func TestStatementsThatOvertakeEachOther(t *testing.T) {
	first := rate.Statement{Limit: 2, SentAt: 100, At: 200}
	for name, test := range map[string]struct {
		next  rate.Statement
		limit float64
	}{
		"lowered, order unknown":        {rate.Statement{Limit: 1, SentAt: 150, At: 250}, 1},
		"raised, order unknown":         {rate.Statement{Limit: 3, SentAt: 150, At: 250}, 2},
		"ended, order unknown":          {rate.Statement{SentAt: 150, At: 250}, 2},
		"raised, certainly later":       {rate.Statement{Limit: 3, SentAt: 200, At: 250}, 3},
		"ended, certainly later":        {rate.Statement{SentAt: 200, At: 250}, 0},
		"lowered, certainly earlier":    {rate.Statement{Limit: 1, SentAt: 10, At: 100}, 2},
		"ended, certainly earlier":      {rate.Statement{SentAt: 10, At: 90}, 2},
		"invalid values change nothing": {rate.Statement{Limit: math.Inf(1), SentAt: 300, At: 400}, 2},
		"NaN changes nothing":           {rate.Statement{Limit: math.NaN(), SentAt: 300, At: 400}, 2},
		"negative changes nothing":      {rate.Statement{Limit: -1, SentAt: 300, At: 400}, 2},
		"too high changes nothing":      {rate.Statement{Limit: 1e308, SentAt: 300, At: 400}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var known rate.Known
			known.Apply(first)
			known.Apply(test.next)
			assert.Equal(t, known.Limit(), test.limit)
		})
	}
}

// A process that learned a limit from a peer must not keep it after the endpoint's own
// answers state none.
func TestLimitEndsWithTheNextAnswerThatStatesNone(t *testing.T) {
	var known rate.Known
	assert.Assert(t, !known.Apply(rate.Statement{SentAt: 0, At: 10}))
	assert.Assert(t, known.Apply(rate.Statement{Limit: 1, SentAt: 20, At: 30}))
	for at := clock.Millis(40); at < 400; at += 20 {
		known.Apply(rate.Statement{Limit: 1, SentAt: at - 10, At: at})
	}
	assert.Assert(t, known.Apply(rate.Statement{SentAt: 400, At: 410}))
	assert.Equal(t, known.Limit(), 0.0)
}
