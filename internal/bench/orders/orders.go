// Package orders simulates rollout orders of sound and bad versions, and compares the
// decisions of route/canary with those of simpler methods. It simulates answers, not
// connections or bytes, so that thousands of orders take seconds.
package orders

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

// Durations in a simulated order, in milliseconds.
const (
	step = 20 * clock.Millis(1)
	// reportDelay is the age of the counts on which decisions are based.
	reportDelay = 250 * clock.Millis(1)
	// warmUp is the time after the start of an order during which the durations of the
	// candidate's answers are ignored.
	warmUp = 3 * clock.Second
	// slowFactor is the multiple of the usual duration from which a request counts as slow.
	slowFactor = 3
	// decisionInterval is the time between two decisions.
	decisionInterval = 100 * clock.Millis(1)
)

// Load is the traffic and the size of a pool.
type Load struct {
	Name      string
	Endpoints int
	// Rates are the requests a second of each route. A request usually takes Run.
	Rates []float64
	Run   clock.Millis
	// NotRepeatable lists the routes whose requests must not run twice.
	NotRepeatable []string
}

// Fault is a fault of a version or of some of its endpoints.
type Fault struct {
	// Fail is the share of answers that fail, Slow the share that take Times as long.
	Fail, Slow float64
	Times      float64
	// From and Until are the begin and end of the fault as shares of the order's duration.
	// An Until of 0 means the deadline.
	From, Until float64
	// For is the time after the start of the order at which the fault ends; 0 means no limit.
	For clock.Millis
	// Busy limits the fault to times at which an endpoint gets at least this share of its
	// usual load; 0 means no limit.
	Busy float64
	// Route limits the fault to one route, counted from 1; 0 means all routes.
	Route int
	// Endpoints is the number of faulty endpoints of the version; 0 means all.
	Endpoints int
}

// Case is an ordered version and the faults during the order.
type Case struct {
	Name string
	// Bad is set if the version must be rolled back.
	Bad bool
	// Candidate and Stable are the faults of both versions.
	Candidate, Stable Fault
}

// Method is a decision method.
type Method struct {
	Name string
	// Judge returns a new judge, which reports whether the candidate is bad. Its parameters
	// are the evidence, the time since the order and whether the promotion has begun. Plan
	// returns the shares of the candidate.
	Judge func() func(*canary.Evidence, clock.Millis, bool) bool
	Plan  func(canary.Order, canary.Bounds, *canary.Evidence, clock.Millis, func(string) bool) *canary.Plan
}

// Outcome is the result of one order.
type Outcome struct {
	RolledBack bool
	// Took is the time until the decision, and BadAnswers the number of bad answers of the
	// candidate until then. Got is the number of requests that the candidate got until the
	// deadline, Allowed the allowed number.
	Took       clock.Millis
	BadAnswers int
	Got        float64
	Allowed    float64
}

// answer is a count that becomes visible to the decision at the time at.
type answer struct {
	at    clock.Millis
	trial wire.Trial
	bad   bool
}

// simulation is the state of one order.
type simulation struct {
	load              Load
	c                 Case
	order             canary.Order
	random            *rand.Rand
	plan              *canary.Plan
	trials            map[wire.TrialKey]wire.Trial
	pending           []answer
	total             int
	candidateRequests int
	badAnswers        int
	recentRequests    [2]float64
	rollback          bool
}

// Simulate simulates one order. The result depends only on the arguments.
func Simulate(method Method, load Load, c Case, bounds canary.Bounds, duration clock.Millis, seed uint64) Outcome {
	s := &simulation{
		load: load, c: c, random: rand.New(rand.NewPCG(seed, 11)), trials: make(map[wire.TrialKey]wire.Trial),
		order: canary.Order{Pool: "p", Version: "next", Duration: duration}, plan: &canary.Plan{DefaultShare: bounds.Share / 2},
	}
	judge := method.Judge()
	outcome := Outcome{Took: duration}
	decided := false
	for now := step; now <= duration; now += step {
		s.send(now, decided)
		s.deliver(now)
		if now%decisionInterval != 0 || decided {
			continue
		}
		evidence := canary.NewEvidence(s.order, s.listTrials())
		s.rollback = judge(evidence, now, s.plan.Promoting)
		s.plan = method.Plan(s.order, bounds, evidence, now, func(route string) bool { return !slices.Contains(load.NotRepeatable, route) })
		if s.rollback || s.plan.Due {
			s.rollback = s.rollback || s.plan.OverBudget
			decided, outcome.Took, outcome.BadAnswers, outcome.RolledBack = true, now, s.badAnswers, s.rollback
		}
	}
	outcome.Got, outcome.Allowed = float64(s.candidateRequests), bounds.Share*float64(s.total)+bounds.Base
	return outcome
}

// send sends the requests of one step.
func (s *simulation) send(now clock.Millis, decided bool) {
	for route, rate := range s.load.Rates {
		count := rate * float64(step) / 1000
		whole := int(count)
		if s.random.Float64() < count-float64(whole) {
			whole++
		}
		for range whole {
			s.request(route, now, decided)
		}
	}
}

func (s *simulation) request(route int, now clock.Millis, decided bool) {
	name := string(rune('a' + route))
	candidate := s.random.Float64() < s.plan.Share(name)
	if decided {
		candidate = !s.rollback
	}
	s.total++
	fault, side := s.c.Stable, 0
	if candidate {
		fault, side = s.c.Candidate, 1
		s.candidateRequests++
	}
	const keep = 0.98
	s.recentRequests[0] *= keep
	s.recentRequests[1] *= keep
	s.recentRequests[side]++
	endpoint, usage := s.random.IntN(s.load.Endpoints), s.recentRequests[side]/(s.recentRequests[0]+s.recentRequests[1])
	if candidate && !s.plan.Promoting {
		tried := canary.ActiveEndpoints(s.plan.DefaultShare, s.load.Endpoints)
		endpoint = (canary.FirstActive(now, tried, s.load.Endpoints) + s.random.IntN(tried)) % s.load.Endpoints
		usage *= float64(s.load.Endpoints) / float64(tried)
	}
	failed, times := s.drawAnswer(fault, usage, route, endpoint, now)
	key := wire.TrialKey{Pool: "p", Version: "next", Candidate: candidate, Route: name}
	if candidate {
		key.Endpoint = string(rune('A' + endpoint))
	}
	histogram := make([]int64, canary.Buckets)
	took := clock.Millis(float64(s.load.Run) * times)
	answered := wire.Trial{TrialKey: key, Answers: 1, TotalMs: int64(took)}
	if failed {
		answered.Failed = 1
	} else {
		if !candidate || now > warmUp {
			histogram[canary.Bucket(times)] = 1
		}
		answered.Histogram = histogram
	}
	visibleAfter := took
	if !candidate || now > warmUp {
		visibleAfter = min(took, slowFactor*s.load.Run) // a slow request counts before it ends
	}
	s.pending = append(s.pending,
		answer{at: now + reportDelay, trial: wire.Trial{TrialKey: key, Sent: 1}},
		answer{at: now + visibleAfter + reportDelay, trial: answered, bad: candidate && (failed || times > 2.5)})
}

// drawAnswer draws whether an answer fails, and its duration as a multiple of the usual one.
// The usage is the load of the endpoint as a share of its usual load.
func (s *simulation) drawAnswer(f Fault, usage float64, route, endpoint int, now clock.Millis) (failed bool, times float64) {
	times = math.Exp(0.3 * s.random.NormFloat64())
	if s.random.Float64() < 0.04 {
		times *= 1 + 2*s.random.Float64() // the request was queued
	}
	at := float64(now) / float64(s.order.Duration)
	until := f.Until
	if until == 0 {
		until = 1
	}
	switch {
	case at < f.From || at > until, f.For > 0 && now > f.For, f.Busy > 0 && usage < f.Busy, f.Route > 0 && route != f.Route-1, f.Endpoints > 0 && endpoint >= f.Endpoints:
		return s.random.Float64() < 0.003, times
	case s.random.Float64() < f.Slow:
		times *= f.Times
	}
	return s.random.Float64() < f.Fail+0.003, times
}

// deliver adds the counts that have become visible by now.
func (s *simulation) deliver(now clock.Millis) {
	pending := s.pending[:0]
	for _, a := range s.pending {
		if a.at > now {
			pending = append(pending, a)
			continue
		}
		sum := s.trials[a.trial.TrialKey]
		sum.TrialKey = a.trial.TrialKey
		s.trials[a.trial.TrialKey] = sum.Plus(a.trial)
		if a.bad {
			s.badAnswers++
		}
	}
	s.pending = pending
}

func (s *simulation) listTrials() []wire.Trial {
	all := make([]wire.Trial, 0, len(s.trials))
	for _, trial := range s.trials {
		all = append(all, trial)
	}
	slices.SortFunc(all, func(a, b wire.Trial) int { return cmp.Compare(a.Route+a.Endpoint, b.Route+b.Endpoint) })
	return all
}

// Summary sums up many orders of one case.
type Summary struct {
	Case   string `json:"case"`
	Load   string `json:"load"`
	Method string `json:"method"`
	Bad    bool   `json:"bad"`
	Orders int    `json:"orders"`
	// Wrong counts wrong decisions, Exceeded the bad candidates that got more requests than
	// allowed.
	Wrong    int `json:"wrong"`
	Exceeded int `json:"exceeded"`
	// MedianMs is the median time until a rollback, MedianBad the median number of bad
	// answers of the candidate until then.
	MedianMs  int64 `json:"medianMs"`
	MedianBad int   `json:"medianBad"`
	// NinetiethBad is the 90th percentile of the number of bad answers.
	NinetiethBad int `json:"ninetiethBad"`
}

// Run simulates a case count times, with the seeds from 0 to count-1.
func Run(method Method, load Load, c Case, bounds canary.Bounds, duration clock.Millis, count int) Summary {
	s := Summary{Case: c.Name, Load: load.Name, Method: method.Name, Bad: c.Bad, Orders: count}
	var took, bad []int
	for seed := range count {
		o := Simulate(method, load, c, bounds, duration, uint64(seed))
		if o.RolledBack != c.Bad {
			s.Wrong++
		}
		if c.Bad && o.Got > o.Allowed {
			s.Exceeded++
		}
		if o.RolledBack {
			took, bad = append(took, int(o.Took)), append(bad, o.BadAnswers)
		}
	}
	slices.Sort(took)
	slices.Sort(bad)
	if len(took) > 0 {
		s.MedianMs, s.MedianBad, s.NinetiethBad = int64(took[len(took)/2]), bad[len(bad)/2], bad[len(bad)*9/10]
	}
	return s
}
