package losses

import (
	"strconv"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/ops/record"
)

// Outcome tells how an attempt of a caller ended.
type Outcome string

// Outcomes of an attempt.
const (
	InTime  Outcome = "inTime"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Excluded means that the attempt is not counted as a loss, because the caller
	// cancelled it or the configuration does not allow it.
	Excluded Outcome = "left"
)

// Cause is why an attempt was not answered in time. The cause of a refusal is
// the reason that was returned to the caller.
type Cause string

// Causes of late answers, and of failures that an endpoint reported itself.
const (
	CauseEarlierRefusal Cause = "cameBack"       // the caller's earlier attempts were refused
	CauseFailed         Cause = "stageFailed"    // a stage ended without results
	CauseRepeatedStage  Cause = "stageMadeAgain" // a result was lost, so that stages ran twice
	CauseOwner          Cause = "ownerLost"      // the owner of a pool was lost
	CauseDeferred       Cause = "stagePutOff"    // a stage with large results was started later
	CauseStage          Cause = "stage"          // the longest phase was a stage
	CauseGeneration     Cause = "generation"     // generation at the endpoint was the longest phase
	CauseEndpoint       Cause = "endpointsOwn"   // the endpoint answered with a failure
	CauseGap            Cause = "gap"            // the time between two events was longer than the route allows
)

// attempt holds the data of one attempt of a caller.
type attempt struct {
	at      int64 // end of the attempt, in Unix milliseconds
	route   string
	outcome Outcome
	cause   Cause
	pool    string
	late    clock.Millis
	stages  clock.Millis
	first   clock.Millis
}

// notes records events of a request that are not in its last log line.
type notes struct {
	ownerLost bool
	deferred  bool
}

// span is one run of a stage, from the last log line of a request.
type span struct {
	stage  int
	took   clock.Millis
	failed bool
}

// outcomeOf returns the attempt that the last log line of a request describes,
// with its outcome and cause.
func outcomeOf(line *record.Line) attempt {
	a := attempt{
		at: line.Time.UnixMilli(), route: line.Value("route"), pool: line.Value("pool"),
		stages: millis(line, "stagesMs"), first: millis(line, "firstMs"),
	}
	status, _ := strconv.Atoi(line.Value("status")) // 0 if no answer was started
	reason := fault.Reason(line.Value("reason"))
	switch {
	case reason == fault.Cancelled || reason == fault.Unauthorized || reason == fault.UnknownRoute:
		a.outcome, a.cause = Excluded, Cause(reason)
	case reason != "" && status == 503:
		a.outcome, a.cause = Refused, Cause(reason)
	case reason != "":
		a.outcome, a.cause = Failed, Cause(reason)
	case status >= 400:
		a.outcome, a.cause = Failed, CauseEndpoint
	default:
		a.compareWithObjective(line)
	}
	return a
}

// compareWithObjective sets outcome and cause of a complete answer from the time
// that it took and its objective. The time includes earlier refused attempts.
func (a *attempt) compareWithObjective(line *record.Line) {
	took := a.first
	if took == 0 {
		took = millis(line, "tookMs")
	}
	sinceFirst := millis(line, "sinceFirstMs")
	objective := millis(line, "objectiveMs")
	a.late = sinceFirst + took - objective
	if a.late <= 0 || objective == 0 {
		a.compareWithGap(line)
		return
	}
	a.outcome = Late
	spans := spansOf(line.Value("spans"))
	switch {
	case took <= objective:
		a.cause = CauseEarlierRefusal
	case anyFailed(spans):
		a.cause = CauseFailed
	case anyRepeated(spans):
		a.cause = CauseRepeatedStage
	case a.stages < took-a.stages:
		a.cause = CauseGeneration
	default:
		a.cause, a.pool = CauseStage, "stage "+strconv.Itoa(longest(spans))
	}
}

// compareWithGap sets outcome and cause of an answer that began in time from the longest time
// between two of its events and the one that its route allows.
func (a *attempt) compareWithGap(line *record.Line) {
	a.outcome, a.late = InTime, 0
	longest, allowed := millis(line, "longestGapMs"), millis(line, "maxGapMs")
	if allowed > 0 && longest > allowed {
		a.outcome, a.cause, a.late = Late, CauseGap, longest-allowed
	}
}

// maxDeferredLateMs is the longest lateness that is attributed to deferring a stage.
const maxDeferredLateMs = 500 * clock.Millis(1)

// refineCause replaces the cause of a late answer by one that other log lines of
// the request show. They can be anywhere in the logs, also after the last line of
// the request.
func (a *attempt) refineCause(n notes) {
	switch {
	case a.outcome != Late || a.cause == CauseEarlierRefusal || a.cause == CauseGap:
	case n.ownerLost:
		a.cause, a.pool = CauseOwner, ""
	case n.deferred && a.cause == CauseStage && a.late < maxDeferredLateMs:
		a.cause, a.pool = CauseDeferred, ""
	}
}

func millis(line *record.Line, key string) clock.Millis {
	number, _ := strconv.ParseInt(line.Value(key), 10, 64) // 0 without the key
	return clock.Millis(number)
}

// spansOf parses spans such as "0@0+266 1@268+412!": stage, start and duration
// in ms, and "!" for a failure. It skips fields that are malformed.
func spansOf(text string) []span {
	var spans []span
	for _, field := range strings.Fields(text) {
		stage, rest, ok := strings.Cut(field, "@")
		_, took, timed := strings.Cut(rest, "+")
		if !ok || !timed {
			continue
		}
		number, err := strconv.Atoi(stage)
		if err != nil {
			continue
		}
		duration, err := strconv.ParseInt(strings.TrimSuffix(took, "!"), 10, 64)
		if err != nil {
			continue
		}
		spans = append(spans, span{stage: number, took: clock.Millis(duration), failed: strings.HasSuffix(took, "!")})
	}
	return spans
}

func anyFailed(spans []span) bool {
	for _, s := range spans {
		if s.failed {
			return true
		}
	}
	return false
}

// anyRepeated reports whether a stage has more than one span.
func anyRepeated(spans []span) bool {
	seen := make(map[int]bool, len(spans))
	for _, s := range spans {
		if seen[s.stage] {
			return true
		}
		seen[s.stage] = true
	}
	return false
}

// longest returns the stage with the longest span, or -1 without spans.
func longest(spans []span) int {
	stage, most := -1, clock.Millis(-1)
	for _, s := range spans {
		if s.took > most {
			stage, most = s.stage, s.took
		}
	}
	return stage
}

// droppedCount returns the number of dropped lines that a log line reports.
func droppedCount(line string) int {
	_, text, _ := strings.Cut(line, "lines=")
	end := strings.IndexFunc(text, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		text = text[:end]
	}
	number, _ := strconv.Atoi(text) // 0 without a valid number
	return number
}
