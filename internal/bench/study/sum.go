package study

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/bench/tally"
)

// Spread holds the median, minimum and maximum of some runs.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + median) / 2
	}
	return Spread{Median: median, Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// Summary is one line of the table.
type Summary struct {
	Case string `json:"case"`
	// Attainment and ReferenceAttainment are the attainments of the measured runs and of the
	// reference runs, AttainmentRatio is the ratio within each pair.
	Attainment          Spread `json:"attainment"`
	ReferenceAttainment Spread `json:"referenceAttainment"`
	AttainmentRatio     Spread `json:"attainmentRatio"`
	// OfAttainable is the attainment divided by the share for which the capacity suffices.
	OfAttainable Spread `json:"ofAllowed"`
	WorstSecond  Spread `json:"worstSecond"`
	// Wasted is the share of engine time that did not contribute to an answer in time.
	Wasted          Spread `json:"wasted"`
	ReferenceWasted Spread `json:"referenceWasted"`
	// CostRatio is the engine time per answer in time, relative to the reference.
	CostRatio   Spread `json:"costRatio"`
	Cut         int    `json:"cut"`
	Doubled     int    `json:"doubled"`
	FalseNotRun int    `json:"falseNotRun"`
	Wrong       int    `json:"wrong"`
	Falls       int    `json:"falls"`
	// LastNewWorkMs is the longest time from the evacuation of a zone to its last new work.
	LastNewWorkMs int64 `json:"lastNewWorkMs"`
	Reference     bool  `json:"reference"`
}

// Sum returns the summary of a finding.
func Sum(f *Finding) Summary {
	s := Summary{Case: f.Case, Reference: len(f.Reference) > 0}
	attained := func(r *tally.Result) float64 { return r.Attainment }
	wasted := func(r *tally.Result) float64 { return r.WastedShare }
	s.Attainment, s.ReferenceAttainment = newSpread(each(f.Measured, attained)), newSpread(each(f.Reference, attained))
	s.Wasted, s.ReferenceWasted = newSpread(each(f.Measured, wasted)), newSpread(each(f.Reference, wasted))
	s.OfAttainable = newSpread(each(f.Measured, func(r *tally.Result) float64 { return r.Attainment / min(r.AttainableShare, 1) }))
	s.WorstSecond = newSpread(each(f.Measured, func(r *tally.Result) float64 { return r.WorstSecond }))
	s.AttainmentRatio = newSpread(ratios(f, attained))
	s.CostRatio = newSpread(ratios(f, costPerAnswer))
	for _, r := range f.Measured {
		s.Cut += r.Cut
		s.Doubled += r.Doubled
		s.FalseNotRun += r.FalseNotRun
		s.Wrong += r.Wrong
		s.Falls += r.Falls
		for _, zone := range r.Zones {
			s.LastNewWorkMs = max(s.LastNewWorkMs, zone.LastNewWorkMs)
		}
	}
	return s
}

func each(results []*tally.Result, value func(*tally.Result) float64) []float64 {
	var values []float64
	for _, result := range results {
		values = append(values, value(result))
	}
	return values
}

func ratios(f *Finding, value func(*tally.Result) float64) []float64 {
	var values []float64
	for i := range min(len(f.Measured), len(f.Reference)) {
		if reference := value(f.Reference[i]); reference > 0 {
			values = append(values, value(f.Measured[i])/reference)
		}
	}
	return values
}

// costPerAnswer returns the engine time per answer in time, in milliseconds.
func costPerAnswer(r *tally.Result) float64 {
	total := 0.0
	for _, stage := range r.Stages {
		total += stage.UsefulMs + stage.WastedMs
	}
	return total / float64(max(r.InTime, 1))
}

// Target is a target value of a case and the measured value.
type Target struct {
	Case     string  `json:"case"`
	Required string  `json:"wanted"`
	Value    float64 `json:"value"`
	Met      bool    `json:"met"`
}

// Bounds of the targets.
const (
	minUsualAttainment    = 0.999
	minOverloadAttainment = 0.9
	maxOverloadWasted     = 0.05
	minZoneSecond         = 0.99
	maxLastNewWorkMs      = 2000
	minStoreDownRatio     = 0.99
)

// Targets compares the summaries with the targets.
func Targets(sums []Summary) []Target {
	var list []Target
	for i := range sums {
		s := &sums[i]
		add := func(target string, value float64, met bool) {
			list = append(list, Target{Case: s.Case, Required: target, Value: value, Met: met})
		}
		switch s.Case {
		case "load 0.7":
			add("in time at least 99.9%", s.Attainment.Median, s.Attainment.Median >= minUsualAttainment)
		case "load 1.5":
			add("in time at least 90% of what capacity allows", s.OfAttainable.Median, s.OfAttainable.Median >= minOverloadAttainment)
			add("engine time wasted below 5%", s.Wasted.Median, s.Wasted.Median < maxOverloadWasted)
		case "zone leaves and returns":
			add("no second below 99% in time", s.WorstSecond.Median, s.WorstSecond.Median >= minZoneSecond)
			add("no request cut", float64(s.Cut), s.Cut == 0)
			add("last new work within 2000 ms", float64(s.LastNewWorkMs), s.LastNewWorkMs <= maxLastNewWorkMs)
		case "rolling restart":
			add("no request cut", float64(s.Cut), s.Cut == 0)
		case "store down":
			add("within 1% of without", s.AttainmentRatio.Median, s.AttainmentRatio.Median >= minStoreDownRatio)
		}
		add("no call doubled, none falsely said not to have run, no wrong answer",
			float64(s.Doubled+s.FalseNotRun+s.Wrong), s.Doubled+s.FalseNotRun+s.Wrong == 0)
	}
	return list
}
