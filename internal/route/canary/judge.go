package canary

import (
	"fmt"
	"math"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// falsePositive is the probability of finding a sound version bad, for each route
	// and each threshold of slowness.
	falsePositive = 1.0 / 2000
	// recentFalsePositive is the same probability for the most recent answers. It is
	// lower because they are tested many times.
	recentFalsePositive = 1.0 / 20000
	// falsePositiveWithoutWorst is the probability that is still allowed without the
	// endpoint that has the most bad answers: one failing endpoint does not make a
	// version bad.
	falsePositiveWithoutWorst = 1.0 / 100
	// minBad is the minimum number of bad answers of a bad version, and minBadOthers
	// how many of them must come from endpoints other than the worst one.
	minBad       = 3
	minBadOthers = 2
	// priorAnswers and priorBad are pseudo-counts that are added to the answers of the
	// version in force, so that a route without answers has an estimate: priorAnswers
	// answers with the share of bad answers over all routes, and priorBad bad answers.
	priorAnswers, priorBad = 60.0, 0.6
	// sampleInterval is the shortest time between two samples. recentWindow is the
	// period of the most recent answers, which are also tested alone: a version that
	// begins to fail late has many good answers from before.
	sampleInterval = 500 * clock.Millis(1)
	recentWindow   = 4 * clock.Second
)

// excesses are the alternatives that are tested: how much the share of bad answers
// exceeds that of the version in force.
var excesses = [...]float64{0.05, 0.1, 0.2, 0.4, 0.8}

// slowOffsets are the tested thresholds of slowness, in buckets above the median
// duration of the version in force: about three, four and six times as long.
var slowOffsets = [...]int{3, 4, 5}

// allRoutes is the route name of the counts of all routes together.
const allRoutes = "*"

// Verdict is the judgement of a candidate version.
type Verdict struct {
	Bad bool
	// Route on which the version is bad, with the counts that led to the verdict.
	Route                          string
	CandidateAnswers, CandidateBad int64
	StableAnswers, StableBad       int64
}

// String returns the reason for finding a version bad.
func (v Verdict) String() string {
	return fmt.Sprintf("%d of %d answers on route %q were failures or slow, %d of %d of the version in force", v.CandidateBad, v.CandidateAnswers, v.Route, v.StableBad, v.StableAnswers)
}

// Judge detects bad versions from growing counts. It compares the candidate with the
// version in force over the same period, so that faults which affect both don't count.
// The zero value is ready for use.
type Judge struct {
	samples []sample
	// failuresOnly is set once durations are ignored.
	failuresOnly bool
	verdict      Verdict
}

// sample is the evidence at one instant.
type sample struct {
	at       clock.Millis
	evidence *Evidence
}

// JudgeFailuresOnly makes the judge ignore durations from now on. During the promotion
// all requests go to the candidate, so that its durations cannot be compared with
// another version under the same load.
func (j *Judge) JudgeFailuresOnly() { j.failuresOnly = true }

// Observe adds the newest counts and returns the verdict. A bad verdict is final.
func (j *Judge) Observe(e *Evidence, now clock.Millis) Verdict {
	if j.verdict.Bad {
		return j.verdict
	}
	for len(j.samples) > 1 && j.samples[1].at <= now-recentWindow {
		j.samples = j.samples[1:]
	}
	j.verdict = j.findBad(e, falsePositive)
	if !j.verdict.Bad && len(j.samples) > 0 && j.samples[0].at <= now-recentWindow {
		j.verdict = j.findBad(e.since(j.samples[0].evidence), recentFalsePositive)
	}
	if len(j.samples) == 0 || now-j.samples[len(j.samples)-1].at >= sampleInterval {
		j.samples = append(j.samples, sample{at: now, evidence: e})
	}
	return j.verdict
}

// Verdict returns the verdict of the last Observe.
func (j *Judge) Verdict() Verdict { return j.verdict }

// since returns the counts that were added since an earlier state.
func (e *Evidence) since(before *Evidence) *Evidence {
	difference := &Evidence{Stable: make(map[string]*Counts), Candidate: make(map[string]map[string]*Counts)}
	for route, counts := range e.Stable {
		difference.Stable[route] = counts.minus(orEmpty(before.Stable[route]))
	}
	for route, byEndpoint := range e.Candidate {
		difference.Candidate[route] = make(map[string]*Counts)
		for endpoint, counts := range byEndpoint {
			difference.Candidate[route][endpoint] = counts.minus(orEmpty(before.Candidate[route][endpoint]))
		}
	}
	return difference
}

func orEmpty(counts *Counts) *Counts {
	if counts == nil {
		return &Counts{}
	}
	return counts
}

// answers counts the answers of one version and the bad ones among them.
type answers struct{ total, bad int64 }

func (a answers) plus(other answers) answers {
	return answers{total: a.total + other.total, bad: a.bad + other.bad}
}

func (a answers) minus(other answers) answers {
	return answers{total: a.total - other.total, bad: a.bad - other.bad}
}

// comparison holds the answers of both versions, those of the candidate by endpoint.
type comparison struct {
	stable    answers
	candidate map[string]answers
}

func (c *comparison) add(stable *Counts, byEndpoint map[string]*Counts, slowFrom int) {
	c.stable = c.stable.plus(answers{total: stable.Answers, bad: stable.bad(slowFrom)})
	for endpoint, counts := range byEndpoint {
		c.candidate[endpoint] = c.candidate[endpoint].plus(answers{total: counts.Answers, bad: counts.bad(slowFrom)})
	}
}

// findBad tests failures alone and with each threshold of slowness, first on all
// routes together and then on each route.
func (j *Judge) findBad(e *Evidence, falsePositiveRate float64) Verdict {
	offsets := []int{Buckets}
	if !j.failuresOnly {
		offsets = append(offsets, slowOffsets[:]...)
	}
	for _, offset := range offsets {
		all := &comparison{candidate: make(map[string]answers)}
		byRoute := make(map[string]*comparison)
		for _, route := range e.Routes() {
			stable := orEmpty(e.Stable[route])
			slowFrom := Buckets
			if median := stable.median(); median >= 0 {
				slowFrom = min(median+offset, Buckets)
			}
			all.add(stable, e.Candidate[route], slowFrom)
			byRoute[route] = &comparison{candidate: make(map[string]answers)}
			byRoute[route].add(stable, e.Candidate[route], slowFrom)
		}
		if v := all.judge(allRoutes, 0, falsePositiveRate); v.Bad {
			return v
		}
		baseline := float64(all.stable.bad) / float64(max(all.stable.total, 1))
		for route, own := range byRoute {
			if v := own.judge(route, baseline, falsePositiveRate); v.Bad {
				return v
			}
		}
	}
	return Verdict{}
}

// judge compares the candidate's bad answers with those of the version in force.
// otherRoutes is the share of bad answers of the version in force on all routes, and
// falsePositiveRate the probability of finding a sound version bad.
func (c *comparison) judge(route string, otherRoutes, falsePositiveRate float64) Verdict {
	var candidate, worst answers
	for _, own := range c.candidate {
		candidate = candidate.plus(own)
		if own.bad > worst.bad {
			worst = own
		}
	}
	v := Verdict{Route: route, CandidateAnswers: candidate.total, CandidateBad: candidate.bad, StableAnswers: c.stable.total, StableBad: c.stable.bad}
	others := candidate.minus(worst)
	if candidate.bad < minBad || others.bad < minBadOthers {
		return v
	}
	baseline := baselineShare(c.stable, otherRoutes)
	v.Bad = likelihoodRatio(candidate, baseline) > 1/falsePositiveRate && likelihoodRatio(others, baseline) > 1/falsePositiveWithoutWorst
	return v
}

// baselineShare returns an upper estimate of the share of bad answers of the version
// in force: one standard error above the observed share.
func baselineShare(stable answers, otherRoutes float64) float64 {
	n := float64(stable.total) + priorAnswers
	share := (float64(stable.bad) + priorBad + priorAnswers*otherRoutes) / n
	return min(share+math.Sqrt(share*(1-share)/n), 0.95)
}

// likelihoodRatio returns how much more likely the observed bad answers are for a
// version that exceeds the baseline than for one at the baseline. It is the mean over
// several excesses. For a sound version, the probability that it ever exceeds 1/p is
// below p, however often it is tested.
func likelihoodRatio(a answers, baseline float64) float64 {
	sum := 0.0
	for _, excess := range excesses {
		share := min(baseline+excess, 0.99)
		sum += math.Exp(float64(a.bad)*math.Log(share/baseline) + float64(a.total-a.bad)*math.Log((1-share)/(1-baseline)))
	}
	return sum / float64(len(excesses))
}
