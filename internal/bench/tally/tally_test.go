package tally_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/bench/drive"
	"github.com/jujubescale/jujubescale/internal/bench/tally"
	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

func TestRequestsOutsideMeasurementAreIgnored(t *testing.T) {
	var r tally.Result
	r.AddRequests([]drive.Record{
		{At: -time.Second, Outcome: drive.Late},
		{Measured: true, Outcome: drive.InTime, Took: 10 * time.Millisecond},
		{Measured: true, At: 1500 * time.Millisecond, Outcome: drive.Refused, Reason: fault.Overloaded, Ran: fault.NotRun},
	}, 2)
	assert.Equal(t, r.Counts, tally.Counts{Sent: 2, InTime: 1, Refused: 1})
	assert.Equal(t, r.Attainment, 0.5)
	assert.Equal(t, r.WorstSecond, 0.0)
	assert.Equal(t, r.Seconds[0].Attained(), 1.0)
	assert.DeepEqual(t, r.Refusals, []tally.Refusal{{Reason: fault.Overloaded, Ran: fault.NotRun, Count: 1}})
}

// The engine time of an unneeded hedge, of a late request and of an incomplete run is
// wasted.
func TestUnusedEngineTimeIsWasted(t *testing.T) {
	records := []drive.Record{
		{Measured: true, RequestID: "good", Outcome: drive.InTime},
		{Measured: true, RequestID: "late", Outcome: drive.Late},
		{RequestID: "early", Outcome: drive.Late},
	}
	ms := time.Millisecond
	var r tally.Result
	r.AddCosts(records, []tally.Pool{{Name: "p", Usage: []slots.Usage{
		{ID: "good/0/0", Spent: 4 * ms, Finished: true},
		{ID: "good/0/1", Spent: 3 * ms, Finished: true},
		{ID: "good/1/0", Spent: 2 * ms, Finished: true},
		{ID: "late/0/0", Spent: ms, Finished: true},
		{ID: "early/0/0", Spent: 100 * ms, Finished: true},
		{ID: "nobody/0/0", Spent: ms},
	}}})
	assert.Equal(t, r.Stages[0].UsefulMs, 6.0)
	assert.Equal(t, r.Stages[0].WastedMs, 5.0)
	assert.Equal(t, r.Stages[0].PerAnswerMs, 5.5)
	assert.Equal(t, r.WastedShare, 5.0/11)
}

func TestRepeatedCallsAndFalseRefusalsAreCounted(t *testing.T) {
	runs := map[string]int{"once-a": 2, "once-b": 1, "c": 5}
	var r tally.Result
	r.CheckAtMostOnce([]drive.Record{
		{Mark: "once-a", Outcome: drive.InTime},
		{Mark: "once-b", Outcome: drive.Refused, Ran: fault.NotRun},
		{Mark: "c", Outcome: drive.InTime},
	}, func(mark string) int { return runs[mark] })
	assert.Equal(t, r.Doubled, 1)
	assert.Equal(t, r.FalseNotRun, 1)
}
