package losses

import (
	"strconv"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/ops/record"
)

// Outcome is what a caller got.
type Outcome string

// Outcomes of an attempt.
const (
	InTime  Outcome = "inTime"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Excluded: the caller went away or asked for what the configuration forbids, so
	// that it was owed nothing.
	Excluded Outcome = "left"
)

// Cause is why an attempt was not answered in time. Refusals have the reason
// that their callers were told.
type Cause string

// Causes of late answers, and of failures without a reason of our own.
const (
	CauseEarlierRefusal Cause = "cameBack"       // its earlier attempts were refused
	CauseFailed         Cause = "stageFailed"    // a stage ended without results
	CauseRepeatedStage  Cause = "stageMadeAgain" // a result was lost, stages ran twice
	CauseOwner          Cause = "ownerLost"      // the owner of a pool ended meanwhile
	CauseDeferred       Cause = "stagePutOff"    // a stage with large results began later
	CauseStage          Cause = "stage"          // the longest phase was a stage
	CauseGeneration     Cause = "generation"     // the longest phase was the endpoint's
	CauseEndpoint       Cause = "endpointsOwn"   // the endpoint's own failure, passed on
)

// attempt is what is kept of one attempt of a caller.
type attempt struct {
	at      int64 // when it ended, in Unix milliseconds
	route   string
	outcome Outcome
	cause   Cause
	pool    string
	late    clock.Millis
	stages  clock.Millis
	first   clock.Millis
}

// notes are what lines before the end of a request tell of it.
type notes struct {
	owner  bool
	putOff bool
}

// span is one stage of a request, as its last line tells it.
type span struct {
	stage  int
	took   clock.Millis
	failed bool
}

// outcomeOf judges the end of a request.
func outcomeOf(line *record.Line) attempt {
	a := attempt{
		at: line.Time.UnixMilli(), route: line.Value("route"), pool: line.Value("pool"),
		stages: millis(line, "stagesMs"), first: millis(line, "firstMs"),
	}
	status, _ := strconv.Atoi(line.Value("status")) // 0 where no answer was begun
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
		a.judgeTime(line)
	}
	return a
}

// judgeTime compares the time of a whole answer with its objective.
func (a *attempt) judgeTime(line *record.Line) {
	took := a.first
	if took == 0 {
		took = millis(line, "tookMs")
	}
	before := millis(line, "sinceFirstMs")
	objective := millis(line, "objectiveMs")
	a.late = before + took - objective
	if a.late <= 0 || objective == 0 {
		a.outcome, a.late = InTime, 0
		return
	}
	a.outcome = Late
	spans := spansOf(line.Value("spans"))
	switch {
	case took <= objective:
		a.cause = CauseEarlierRefusal
	case anyFailed(spans):
		a.cause = CauseFailed
	case anyTwice(spans):
		a.cause = CauseRepeatedStage
	case a.stages < took-a.stages:
		a.cause = CauseGeneration
	default:
		a.cause, a.pool = CauseStage, "stage "+strconv.Itoa(longest(spans))
	}
}

// putOffMost is the longest lateness that putting a stage off explains.
const putOffMost = 500 * clock.Millis(1)

// mind takes up what other lines told of the request: they may stand anywhere in
// the logs.
func (a *attempt) mind(n notes) {
	switch {
	case a.outcome != Late || a.cause == CauseEarlierRefusal:
	case n.owner:
		a.cause, a.pool = CauseOwner, ""
	case n.putOff && a.cause == CauseStage && a.late < putOffMost:
		a.cause, a.pool = CauseDeferred, ""
	}
}

func millis(line *record.Line, key string) clock.Millis {
	number, _ := strconv.ParseInt(line.Value(key), 10, 64) // 0 where the line lacks it
	return clock.Millis(number)
}

// spansOf reads "0@0+266 1@268+412!"; what it can't read is left out.
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
		long, err := strconv.ParseInt(strings.TrimSuffix(took, "!"), 10, 64)
		if err != nil {
			continue
		}
		spans = append(spans, span{stage: number, took: clock.Millis(long), failed: strings.HasSuffix(took, "!")})
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

func anyTwice(spans []span) bool {
	seen := make(map[int]bool, len(spans))
	for _, s := range spans {
		if seen[s.stage] {
			return true
		}
		seen[s.stage] = true
	}
	return false
}

// longest returns the stage that took the most time, -1 without any.
func longest(spans []span) int {
	stage, most := -1, clock.Millis(-1)
	for _, s := range spans {
		if s.took > most {
			stage, most = s.stage, s.took
		}
	}
	return stage
}

// droppedIn reads how many lines a process says to have dropped.
func droppedIn(line string) int {
	_, text, _ := strings.Cut(line, "lines=")
	end := strings.IndexFunc(text, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		text = text[:end]
	}
	number, _ := strconv.Atoi(text) // 0 where the line says no number
	return number
}
