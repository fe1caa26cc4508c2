package trace_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
)

// The oldest request must be removed when the trace is full.
func TestTraceKeepsNewestRequests(t *testing.T) {
	tr := trace.New(2)
	for _, id := range []string{"a", "b", "c"} {
		tr.Begin(trace.Request{ID: id})
	}
	_, found := tr.Find("a")
	assert.Assert(t, !found)
	_, found = tr.Find("c")
	assert.Assert(t, found)
}

// The first recorded end of an attempt must not be overwritten.
func TestEndAttemptIgnoresLaterEnds(t *testing.T) {
	tr := trace.New(1)
	record := tr.Begin(trace.Request{ID: "a"})
	record.AddAttempt(trace.Attempt{Stage: 1, Try: 0, SentAt: 10})
	record.EndAttempt(1, 0, 15, trace.Refused, fault.QueueFull)
	record.EndAttempt(1, 0, 20, trace.Withdrawn, "")
	request, _ := tr.Find("a")
	assert.Equal(t, request.Attempts[0].Reason, fault.QueueFull)
	assert.Equal(t, int(request.Attempts[0].Took), 5)
}
