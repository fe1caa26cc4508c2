package orders

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

// Cases returns the simulated versions.
func Cases() []Case {
	return []Case{
		{Name: "sound"},
		{Name: "sound, cold endpoints", Candidate: Fault{Slow: 1, Times: 1.6, For: 4 * clock.Second}},
		{Name: "sound, one endpoint fails half", Candidate: Fault{Fail: 0.5, Endpoints: 1}},
		{Name: "sound, one endpoint is slow", Candidate: Fault{Slow: 1, Times: 5, Endpoints: 1}},
		{Name: "sound, answers get lost everywhere", Candidate: Fault{Fail: 0.1}, Stable: Fault{Fail: 0.1}},
		{Name: "sound, burst", Candidate: Fault{Slow: 0.6, Times: 3, From: 0.4, Until: 0.7}, Stable: Fault{Slow: 0.6, Times: 3, From: 0.4, Until: 0.7}},
		{Name: "sound, the old ones are slow", Stable: Fault{Slow: 1, Times: 3}},
		{Name: "bad, 1 in 10 fails", Bad: true, Candidate: Fault{Fail: 0.1}},
		{Name: "bad, 3 in 10 fail", Bad: true, Candidate: Fault{Fail: 0.3}},
		{Name: "bad, three times slower", Bad: true, Candidate: Fault{Slow: 1, Times: 3}},
		{Name: "bad, 1 in 10 four times slower", Bad: true, Candidate: Fault{Slow: 0.1, Times: 4}},
		{Name: "bad, 3 in 10 four times slower", Bad: true, Candidate: Fault{Slow: 0.3, Times: 4}},
		{Name: "bad from half on, 3 in 10 fail", Bad: true, Candidate: Fault{Fail: 0.3, From: 0.5}},
		{Name: "bad from half on, three times slower", Bad: true, Candidate: Fault{Slow: 1, Times: 3, From: 0.5}},
		{Name: "bad under load, half fail", Bad: true, Candidate: Fault{Fail: 0.5, Busy: 0.6}},
		{Name: "bad on one route, half fail", Bad: true, Candidate: Fault{Fail: 0.5, Route: 1}},
		{Name: "bad on the rarest route, half fail", Bad: true, Candidate: Fault{Fail: 0.5, Route: 3}},
	}
}

// Loads returns pools of typical sizes.
func Loads() []Load {
	return []Load{
		{Name: "38 engines, 105 a second", Endpoints: 38, Rates: []float64{51, 53, 1}, Run: 900, NotRepeatable: []string{"b"}},
		{Name: "3 endpoints, 44 a second", Endpoints: 3, Rates: []float64{36, 7.5, 0.5}, Run: 30, NotRepeatable: []string{"a"}},
	}
}

// Methods returns the compared methods; the first one is in use.
func Methods() []Method {
	sequential := func() func(*canary.Evidence, clock.Millis, bool) bool {
		judge := &canary.Judge{}
		return func(e *canary.Evidence, now clock.Millis, promoting bool) bool {
			if promoting {
				judge.JudgeFailuresOnly()
			}
			return judge.Observe(e, now).Bad
		}
	}
	return []Method{
		{Name: "likelihood, held", Judge: sequential, Plan: canary.NewPlan},
		{Name: "ratio, held", Judge: ratio, Plan: canary.NewPlan},
		{Name: "likelihood, steps", Judge: sequential, Plan: increasingShares},
	}
}

// Thresholds of the fixed ratio.
const (
	ratioTimes, ratioMargin = 2.0, 0.05
	ratioAnswers            = 20
)

// ratio returns a judge that finds a version bad if its share of bad answers exceeds a
// fixed multiple of the share of the version in force, plus a margin.
func ratio() func(*canary.Evidence, clock.Millis, bool) bool {
	return func(e *canary.Evidence, _ clock.Millis, _ bool) bool {
		for route := range e.Candidate {
			stable, candidate := e.Stable[route], e.CandidateCounts(route)
			if stable == nil || candidate.Answers < ratioAnswers || stable.Answers == 0 {
				continue
			}
			for _, slow := range []int{canary.Buckets, canary.Bucket(2.8)} {
				usual := float64(badAnswers(stable, slow)) / float64(stable.Answers)
				if float64(badAnswers(candidate, slow))/float64(candidate.Answers) > ratioTimes*usual+ratioMargin {
					return true
				}
			}
		}
		return false
	}
}

func badAnswers(counts *canary.Counts, slowFrom int) int64 {
	bad := counts.Failed
	for bucket := slowFrom; bucket < canary.Buckets; bucket++ {
		bad += counts.Histogram[bucket]
	}
	return bad
}

// increasingShares raises the share of a candidate in steps and ignores the bounds.
func increasingShares(order canary.Order, bounds canary.Bounds, e *canary.Evidence, elapsed clock.Millis, repeats func(string) bool) *canary.Plan {
	plan := canary.NewPlan(order, bounds, e, elapsed, repeats)
	if plan.Promoting {
		return plan
	}
	share := bounds.Share
	for _, at := range []struct {
		part  clock.Millis
		share float64
	}{{2, 0.25}, {3, 0.5}} {
		if elapsed >= order.Duration*at.part/4 {
			share = at.share
		}
	}
	return &canary.Plan{DefaultShare: share}
}
