// Package losses tells from the logs of all processes which requests were not
// answered in time, when, and for which main cause.
//
// It keeps some two hundred bytes of each attempt and bounds their number, so that
// the logs of a long day can be read in one pass, in any order of lines.
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
	// maxLine bounds one line; longer ones are skipped, because no process writes
	// them.
	maxLine = 1 << 20
	// maxAttempts bounds what is kept; ends beyond it are counted as left out.
	maxAttempts = 1 << 20
	// longestPhase bounds the histograms of phases, in milliseconds, and digits is
	// how exact they are.
	longestPhase = 600_000
	digits       = 3
)

// Report is what the logs tell.
type Report struct {
	Routes    []Route    `json:"routes"`
	Causes    []Count    `json:"causes"`
	Intervals []Interval `json:"spans"`
	Phases    []Phase    `json:"phases"`
	// Lines were read, Skipped could not be read as key=value pairs, Dropped were
	// never written because their process logged too much, and LeftOut are ends of
	// requests beyond what is kept.
	Lines   int `json:"lines"`
	Skipped int `json:"skipped"`
	Dropped int `json:"dropped"`
	LeftOut int `json:"leftOut"`
}

// Route sums the attempts on one route by outcome.
type Route struct {
	Route     string          `json:"route"`
	Attempts  int             `json:"attempts"`
	ByOutcome map[Outcome]int `json:"byOutcome"`
}

// Count is how often a cause ended attempts on a route.
type Count struct {
	Route   string  `json:"route"`
	Outcome Outcome `json:"outcome"`
	Cause   Cause   `json:"cause"`
	// Pool that bound, or the stage that took longest; may be empty.
	Pool  string `json:"pool,omitempty"`
	Count int    `json:"count"`
	// LateMs is by how much late answers missed their objective, in all.
	LateMs clock.Millis `json:"lateMs,omitempty"`
}

// Interval sums the attempts that ended within a span of time.
type Interval struct {
	// FromMs is its beginning, counted from the first end of all.
	FromMs    clock.Millis    `json:"fromMs"`
	ByOutcome map[Outcome]int `json:"byOutcome"`
	// Causes of the attempts not answered in time.
	Causes map[Cause]int `json:"causes"`
}

// Phase is how long one phase of the answered requests of a route took.
type Phase struct {
	Route string       `json:"route"`
	Phase string       `json:"phase"`
	P50Ms clock.Millis `json:"p50Ms"`
	P90Ms clock.Millis `json:"p90Ms"`
	P99Ms clock.Millis `json:"p99Ms"`
}

// Messages of log lines that matter here.
const (
	ended   = "request ended"
	putOff  = "stage put off"
	owner   = "owner lost"
	dropped = "log lines dropped"
)

// Read reads logs and returns what they tell; every is the length of a Span.
func Read(from io.Reader, every clock.Millis) (*Report, error) {
	r := reader{notes: make(map[string]notes), ends: make(map[string]attempt), words: make(map[string]string)}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scanner.Scan() {
		r.report.Lines++
		r.line(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	return r.sum(every), nil
}

type reader struct {
	report Report
	notes  map[string]notes
	ends   map[string]attempt
	// words holds one copy of each route and pool.
	words map[string]string
}

// line takes one line, of which most concern no loss.
func (r *reader) line(raw []byte) {
	if bytes.Contains(raw, []byte(dropped)) {
		r.report.Dropped += droppedIn(string(raw))
		return
	}
	if !concerns(raw) {
		return
	}
	line, ok := record.Parse(string(raw))
	if !ok {
		r.report.Skipped++
		return
	}
	request := line.Value(logs.KeyRequest)
	switch line.Message {
	case ended:
		r.end(request, &line)
	case putOff, owner:
		r.note(request, line.Message)
	}
}

// concerns reports whether a line may be one that matters here.
func concerns(raw []byte) bool {
	for _, message := range []string{ended, putOff, owner} {
		if bytes.Contains(raw, []byte(message)) {
			return true
		}
	}
	return false
}

// end takes the end of a request.
func (r *reader) end(request string, line *record.Line) {
	if len(r.ends) >= maxAttempts {
		r.report.LeftOut++
		return
	}
	a := outcomeOf(line)
	a.route, a.pool = r.word(a.route), r.word(a.pool)
	r.ends[request] = a
}

// note takes what happened to a request on its way. Beyond the bound it is left
// out: it only refines a cause.
func (r *reader) note(request, message string) {
	if len(r.notes) >= maxAttempts {
		return
	}
	n := r.notes[request]
	n.putOff = n.putOff || message == putOff
	n.owner = n.owner || message == owner
	r.notes[request] = n
}

// word returns the one copy of a word that is kept.
func (r *reader) word(text string) string {
	known, found := r.words[text]
	if !found {
		known = strings.Clone(text)
		r.words[known] = known
	}
	return known
}

// sum adds up what was read.
func (r *reader) sum(every clock.Millis) *Report {
	attempts := make([]attempt, 0, len(r.ends))
	for request, a := range r.ends {
		a.mind(r.notes[request])
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
	r.report.Routes = routesOf(attempts)
	r.report.Causes = causesOf(attempts)
	r.report.Intervals = spansOfTime(attempts, max(every, 1))
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

// maxSpans bounds the spans of a report: beyond it the last one takes the rest.
const maxSpans = 10_000

func spansOfTime(attempts []attempt, every clock.Millis) []Interval {
	var spans []Interval
	for i := range attempts {
		a := &attempts[i]
		at := min(int((a.at-attempts[0].at)/int64(every)), maxSpans-1)
		for len(spans) <= at {
			spans = append(spans, Interval{
				FromMs: every * clock.Millis(len(spans)), ByOutcome: make(map[Outcome]int), Causes: make(map[Cause]int),
			})
		}
		spans[at].ByOutcome[a.outcome]++
		if a.outcome != InTime && a.outcome != Excluded {
			spans[at].Causes[a.cause]++
		}
	}
	return spans
}

// phasesOf returns percentiles of the phases of answered requests with stages.
func phasesOf(attempts []attempt) []Phase {
	type key struct{ route, phase string }
	byKey := make(map[key]*hdrhistogram.Histogram)
	add := func(route, phase string, took clock.Millis) {
		k := key{route: route, phase: phase}
		if byKey[k] == nil {
			byKey[k] = hdrhistogram.New(1, longestPhase, digits)
		}
		_ = byKey[k].RecordValue(int64(min(max(took, 1), longestPhase))) // always within its bounds
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
