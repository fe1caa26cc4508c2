// Package losses reports from the logs of all processes which requests were not
// answered in time, when, and for which main cause.
//
// It keeps about two hundred bytes for each attempt and bounds their number, so
// that it can read the logs of a whole day in one pass. The lines may be in any
// order.
package losses

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/ops/record"
)

const (
	// maxLine is the longest accepted line in bytes. No process writes longer lines;
	// Read fails on one.
	maxLine = 1 << 20
	// maxAttempts bounds the attempts that are kept; further ones are only counted.
	maxAttempts = 1 << 20
	// maxPhaseMs is the largest value in the histograms of phases, and digits is
	// the number of significant digits that they keep.
	maxPhaseMs = 600_000
	digits     = 3
)

// Report holds the losses found in the logs.
type Report struct {
	Routes    []Route    `json:"routes"`
	Causes    []Count    `json:"causes"`
	Intervals []Interval `json:"spans"`
	Phases    []Phase    `json:"phases"`
	// Lines counts the lines read and Skipped those that are not key=value pairs.
	// Dropped counts lines that processes did not write because they exceeded their
	// log rate. LeftOut counts attempts above the bound.
	Lines   int `json:"lines"`
	Skipped int `json:"skipped"`
	Dropped int `json:"dropped"`
	LeftOut int `json:"leftOut"`
}

// Route counts the attempts on one route by outcome.
type Route struct {
	Route     string          `json:"route"`
	Attempts  int             `json:"attempts"`
	ByOutcome map[Outcome]int `json:"byOutcome"`
}

// Count is the number of attempts on a route with the same outcome and cause.
type Count struct {
	Route   string  `json:"route"`
	Outcome Outcome `json:"outcome"`
	Cause   Cause   `json:"cause"`
	// Pool is the pool that limited the request, or the stage that took longest. It
	// may be empty.
	Pool  string `json:"pool,omitempty"`
	Count int    `json:"count"`
	// LateMs is the sum of the times by which late answers missed their objective.
	LateMs clock.Millis `json:"lateMs,omitempty"`
}

// Interval counts the attempts that ended within one time interval.
type Interval struct {
	// FromMs is the start of the interval, relative to the end of the first attempt.
	FromMs    clock.Millis    `json:"fromMs"`
	ByOutcome map[Outcome]int `json:"byOutcome"`
	// Causes counts the attempts that were not answered in time.
	Causes map[Cause]int `json:"causes"`
}

// Phase holds percentiles of the duration of one phase of the answered requests
// of a route.
type Phase struct {
	Route string       `json:"route"`
	Phase string       `json:"phase"`
	P50Ms clock.Millis `json:"p50Ms"`
	P90Ms clock.Millis `json:"p90Ms"`
	P99Ms clock.Millis `json:"p99Ms"`
}

// Messages of the log lines that are evaluated.
const (
	requestEnded  = "request ended"
	stageDeferred = "stage put off"
	ownerLost     = "owner lost"
	linesDropped  = "log lines dropped"
)

// Read reads logs and returns the losses found in them; every is the length of an
// Interval. It fails if reading fails or a line is too long.
func Read(from io.Reader, every clock.Millis) (*Report, error) {
	r := reader{notes: make(map[string]notes), attempts: make(map[string]attempt), names: make(map[string]string)}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scanner.Scan() {
		r.report.Lines++
		r.addLine(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	return r.buildReport(every), nil
}

type reader struct {
	report   Report
	notes    map[string]notes
	attempts map[string]attempt
	// names holds one copy of each route and pool name.
	names map[string]string
}

// addLine evaluates one line. Most lines are irrelevant and are not parsed.
func (r *reader) addLine(raw []byte) {
	if bytes.Contains(raw, []byte(linesDropped)) {
		r.report.Dropped += droppedCount(string(raw))
		return
	}
	if !mayBeRelevant(raw) {
		return
	}
	line, ok := record.Parse(string(raw))
	if !ok {
		r.report.Skipped++
		return
	}
	request := line.Value(logs.KeyRequest)
	switch line.Message {
	case requestEnded:
		r.addAttempt(request, &line)
	case stageDeferred, ownerLost:
		r.addNote(request, line.Message)
	}
}

// mayBeRelevant reports whether a line contains a message that is evaluated.
func mayBeRelevant(raw []byte) bool {
	for _, message := range []string{requestEnded, stageDeferred, ownerLost} {
		if bytes.Contains(raw, []byte(message)) {
			return true
		}
	}
	return false
}

// addAttempt adds the attempt that the last log line of a request describes.
func (r *reader) addAttempt(request string, line *record.Line) {
	if len(r.attempts) >= maxAttempts {
		r.report.LeftOut++
		return
	}
	a := outcomeOf(line)
	a.route, a.pool = r.intern(a.route), r.intern(a.pool)
	r.attempts[request] = a
}

// addNote adds an event of a request. Events above the bound are ignored, because
// they only refine a cause.
func (r *reader) addNote(request, message string) {
	if len(r.notes) >= maxAttempts {
		return
	}
	n := r.notes[request]
	n.deferred = n.deferred || message == stageDeferred
	n.ownerLost = n.ownerLost || message == ownerLost
	r.notes[request] = n
}

// intern returns the shared copy of a route or pool name, so that attempts do not
// keep the log lines in memory.
func (r *reader) intern(name string) string {
	shared, found := r.names[name]
	if !found {
		shared = strings.Clone(name)
		r.names[shared] = shared
	}
	return shared
}

// buildReport returns the report on all lines that were read.
func (r *reader) buildReport(every clock.Millis) *Report {
	attempts := make([]attempt, 0, len(r.attempts))
	for request, a := range r.attempts {
		a.refineCause(r.notes[request])
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
	r.report.Routes = routesOf(attempts)
	r.report.Causes = causesOf(attempts)
	r.report.Intervals = intervalsOf(attempts, max(every, 1))
	r.report.Phases = phasesOf(attempts)
	return &r.report
}

func routesOf(attempts []attempt) []Route {
	byName := make(map[string]*Route)
	for i := range attempts {
		a := &attempts[i]
		if byName[a.route] == nil {
			byName[a.route] = &Route{Route: a.route, ByOutcome: make(map[Outcome]int)}
		}
		byName[a.route].Attempts++
		byName[a.route].ByOutcome[a.outcome]++
	}
	routes := make([]Route, 0, len(byName))
	for _, route := range byName {
		routes = append(routes, *route)
	}
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(b.Attempts, a.Attempts), cmp.Compare(a.Route, b.Route))
	})
	return routes
}

func causesOf(attempts []attempt) []Count {
	type key struct {
		route   string
		outcome Outcome
		cause   Cause
		pool    string
	}
	byKey := make(map[key]*Count)
	for i := range attempts {
		a := &attempts[i]
		if a.outcome == InTime {
			continue
		}
		k := key{route: a.route, outcome: a.outcome, cause: a.cause, pool: a.pool}
		if byKey[k] == nil {
			byKey[k] = &Count{Route: a.route, Outcome: a.outcome, Cause: a.cause, Pool: a.pool}
		}
		byKey[k].Count++
		byKey[k].LateMs += a.late
	}
	counts := make([]Count, 0, len(byKey))
	for _, count := range byKey {
		counts = append(counts, *count)
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Pool, b.Pool))
	})
	return counts
}

// maxIntervals bounds the intervals of a report. The last one counts all later
// attempts.
const maxIntervals = 10_000

func intervalsOf(attempts []attempt, every clock.Millis) []Interval {
	var intervals []Interval
	for i := range attempts {
		a := &attempts[i]
		at := min(int((a.at-attempts[0].at)/int64(every)), maxIntervals-1)
		for len(intervals) <= at {
			intervals = append(intervals, Interval{
				FromMs: every * clock.Millis(len(intervals)), ByOutcome: make(map[Outcome]int), Causes: make(map[Cause]int),
			})
		}
		intervals[at].ByOutcome[a.outcome]++
		if a.outcome != InTime && a.outcome != Excluded {
			intervals[at].Causes[a.cause]++
		}
	}
	return intervals
}

// phasesOf returns the percentiles of each phase of the answered requests whose
// time to the first event is known.
func phasesOf(attempts []attempt) []Phase {
	type key struct{ route, phase string }
	byKey := make(map[key]*hdrhistogram.Histogram)
	add := func(route, phase string, took clock.Millis) {
		k := key{route: route, phase: phase}
		if byKey[k] == nil {
			byKey[k] = hdrhistogram.New(1, maxPhaseMs, digits)
		}
		_ = byKey[k].RecordValue(int64(min(max(took, 1), maxPhaseMs))) // can't fail: the value is within the bounds
	}
	for i := range attempts {
		a := &attempts[i]
		if a.first == 0 || (a.outcome != InTime && a.outcome != Late) {
			continue
		}
		add(a.route, "stages", a.stages)
		add(a.route, "generation", a.first-a.stages)
		add(a.route, "firstEvent", a.first)
	}
	phases := make([]Phase, 0, len(byKey))
	for k, h := range byKey {
		at := func(quantile float64) clock.Millis { return clock.Millis(h.ValueAtQuantile(quantile)) }
		phases = append(phases, Phase{Route: k.route, Phase: k.phase, P50Ms: at(50), P90Ms: at(90), P99Ms: at(99)})
	}
	slices.SortFunc(phases, func(a, b Phase) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Phase, b.Phase))
	})
	return phases
}
