package canary

import (
	"fmt"
	"math"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// wrongly is the chance that a sound version is found bad, for each route and
	// each bound of slowness that is tried.
	wrongly = 1.0 / 2000
	// recentlyWrongly is that of the newest answers, which are looked at many times.
	recentlyWrongly = 1.0 / 20000
	// withoutWorst is the chance that is left when the endpoint with the most bad
	// answers is not counted: one endpoint that fails does not make a version bad.
	withoutWorst = 1.0 / 100
	// leastBad is how many bad answers are needed at least, leastOthers how many of
	// them from other endpoints than the worst.
	leastBad    = 3
	leastOthers = 2
	// priorAnswers answers with the usual share of bad ones over all routes, and
	// priorBad bad ones, stand for answers of the version in force on a route before
	// any was seen.
	priorAnswers, priorBad = 60.0, 0.6
	// judgeEvery is the shortest pause between two counts that are kept, recent the
	// span of the newest ones: a version that turns bad late has many good answers.
	judgeEvery = 500 * clock.Millis(1)
	recent     = 4 * clock.Second
)

// excesses are the shares of bad answers, beyond that of the version in force,
// that are weighed against it.
var excesses = [...]float64{0.05, 0.1, 0.2, 0.4, 0.8}

// slowSteps are the numbers of classes above the median duration of the version
// in force from which an answer counts as slow: about three, four and six times as
// long.
var slowSteps = [...]int{3, 4, 5}

// allRoutes names the counts of all routes together.
const allRoutes = "*"

// Verdict is the judgement of a candidate version.
type Verdict struct {
	Bad bool
	// Route on which the version is bad, with the counts that show it.
	Route                          string
	CandidateAnswers, CandidateBad int64
	StableAnswers, StableBad       int64
}

// String returns why a version was found bad.
func (v Verdict) String() string {
	return fmt.Sprintf("%d of %d answers on route %q were failures or slow, %d of %d of the version in force", v.CandidateBad, v.CandidateAnswers, v.Route, v.StableBad, v.StableAnswers)
}

// Judge finds bad versions from counts that grow. It compares the candidate with
// the version in force over the same time, so that faults which affect both don't
// count.
// The zero value is ready.
type Judge struct {
	kept []kept
	// failuresOnly is set once durations are not judged any more.
	failuresOnly bool
	verdict      Verdict
}

// kept is counts as of an instant.
type kept struct {
	at       clock.Millis
	evidence *Evidence
}

// JudgeFailuresOnly has only failures judged from now on: all requests go to the candidate, and
// what slows them has no version beside it that it could be compared with.
func (j *Judge) JudgeFailuresOnly() { j.failuresOnly = true }

// Observe takes the newest counts and returns the verdict, which stays once a
// version was found bad.
func (j *Judge) Observe(e *Evidence, now clock.Millis) Verdict {
	if j.verdict.Bad {
		return j.verdict
	}
	for len(j.kept) > 1 && j.kept[1].at <= now-recent {
		j.kept = j.kept[1:]
	}
	j.verdict = j.findBad(e, wrongly)
	if !j.verdict.Bad && len(j.kept) > 0 && j.kept[0].at <= now-recent {
		j.verdict = j.findBad(e.since(j.kept[0].evidence), recentlyWrongly)
	}
	if len(j.kept) == 0 || now-j.kept[len(j.kept)-1].at >= judgeEvery {
		j.kept = append(j.kept, kept{at: now, evidence: e})
	}
	return j.verdict
}

// Verdict returns the verdict of the newest counts.
func (j *Judge) Verdict() Verdict { return j.verdict }

// since returns the counts that were added after others.
func (e *Evidence) since(before *Evidence) *Evidence {
	left := &Evidence{Stable: make(map[string]*Counts), Candidate: make(map[string]map[string]*Counts)}
	for route, counts := range e.Stable {
		left.Stable[route] = counts.minus(orNone(before.Stable[route]))
	}
	for route, byEndpoint := range e.Candidate {
		left.Candidate[route] = make(map[string]*Counts)
		for endpoint, counts := range byEndpoint {
			left.Candidate[route][endpoint] = counts.minus(orNone(before.Candidate[route][endpoint]))
		}
	}
	return left
}

func orNone(counts *Counts) *Counts {
	if counts == nil {
		return &Counts{}
	}
	return counts
}

// answers is the answers of one version, and how many of them were bad.
type answers struct{ all, bad int64 }

func (a answers) plus(more answers) answers {
	return answers{all: a.all + more.all, bad: a.bad + more.bad}
}

func (a answers) minus(less answers) answers {
	return answers{all: a.all - less.all, bad: a.bad - less.bad}
}

// comparison is the answers of both versions, those of the candidate by endpoint.
type comparison struct {
	stable    answers
	candidate map[string]answers
}

func (c *comparison) add(stable *Counts, byEndpoint map[string]*Counts, slowFrom int) {
	c.stable = c.stable.plus(answers{all: stable.Answers, bad: stable.bad(slowFrom)})
	for endpoint, counts := range byEndpoint {
		c.candidate[endpoint] = c.candidate[endpoint].plus(answers{all: counts.Answers, bad: counts.bad(slowFrom)})
	}
}

// findBad looks at failures alone and at each bound of slowness, on all routes
// together and on each by itself.
func (j *Judge) findBad(e *Evidence, chance float64) Verdict {
	steps := []int{Buckets}
	if !j.failuresOnly {
		steps = append(steps, slowSteps[:]...)
	}
	for _, step := range steps {
		all := &comparison{candidate: make(map[string]answers)}
		byRoute := make(map[string]*comparison)
		for _, route := range e.Routes() {
			stable := orNone(e.Stable[route])
			slowFrom := Buckets
			if median := stable.median(); median >= 0 {
				slowFrom = min(median+step, Buckets)
			}
			all.add(stable, e.Candidate[route], slowFrom)
			byRoute[route] = &comparison{candidate: make(map[string]answers)}
			byRoute[route].add(stable, e.Candidate[route], slowFrom)
		}
		if v := all.judge(allRoutes, 0, chance); v.Bad {
			return v
		}
		usual := float64(all.stable.bad) / float64(max(all.stable.all, 1))
		for route, own := range byRoute {
			if v := own.judge(route, usual, chance); v.Bad {
				return v
			}
		}
	}
	return Verdict{}
}

// judge weighs the candidate's bad answers against those of the version in force,
// where a share of them is usual on other routes. Chance is that of finding a sound
// version bad.
func (c *comparison) judge(route string, elsewhere, chance float64) Verdict {
	var candidate, worst answers
	for _, own := range c.candidate {
		candidate = candidate.plus(own)
		if own.bad > worst.bad {
			worst = own
		}
	}
	v := Verdict{Route: route, CandidateAnswers: candidate.all, CandidateBad: candidate.bad, StableAnswers: c.stable.all, StableBad: c.stable.bad}
	others := candidate.minus(worst)
	if candidate.bad < leastBad || others.bad < leastOthers {
		return v
	}
	usual := usualShare(c.stable, elsewhere)
	v.Bad = likelihood(candidate, usual) > 1/chance && likelihood(others, usual) > 1/withoutWorst
	return v
}

// usualShare returns the share of bad answers that the version in force has at
// most: one standard error above the share that was observed.
func usualShare(stable answers, elsewhere float64) float64 {
	n := float64(stable.all) + priorAnswers
	share := (float64(stable.bad) + priorBad + priorAnswers*elsewhere) / n
	return min(share+math.Sqrt(share*(1-share)/n), 0.95)
}

// likelihood returns how many times likelier so many bad answers are for a
// version that has more of them than usual. It is the mean over several shares,
// so that its chance to exceed 1/p for a sound version is below p, however often
// it is looked at.
func likelihood(a answers, usual float64) float64 {
	sum := 0.0
	for _, excess := range excesses {
		share := min(usual+excess, 0.99)
		sum += math.Exp(float64(a.bad)*math.Log(share/usual) + float64(a.all-a.bad)*math.Log((1-share)/(1-usual)))
	}
	return sum / float64(len(excesses))
}
