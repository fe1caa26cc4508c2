// Package orders plays orders to move a pool to another version, with sound and
// bad versions of every kind, against the decisions of route/canary and against
// simpler ones. It counts answers, not bytes: thousands of orders take seconds.
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

// Spans of a played order, in milliseconds.
const (
	step = 20 * clock.Millis(1)
	// lag is how old the counts are by which processes decide.
	lag = 250 * clock.Millis(1)
	// warmUp is the time after the order in which durations of the candidate do not count.
	warmUp = 3 * clock.Second
	// overdue is how many times longer than usual a request takes that counts as slow.
	overdue = 3
	// look is the pause between two decisions.
	look = 100 * clock.Millis(1)
)

// Load is the traffic of a pool and the endpoints that serve it.
type Load struct {
	Name      string
	Endpoints int
	// Rates are requests a second by route; a request takes Run.
	Rates []float64
	Run   clock.Millis
	// Once is the routes whose requests may not run again.
	Once []string
}

// Fault is what is wrong with a version or with some of its endpoints.
type Fault struct {
	// Fail and Slow are the shares of answers that fail, or take Times as long.
	Fail, Slow float64
	Times      float64
	// From is the part of the order's duration after which it begins, Until the one
	// at which it ends; 0 is the deadline.
	From, Until float64
	// For is the time after the order at which it ends, 0 for no such time.
	For clock.Millis
	// Busy has it show only while an endpoint gets more than this part of what each
	// gets usually.
	Busy float64
	// Route has it show on one route only, counted from 1; 0 is all of them.
	Route int
	// Endpoints is how many of a version's endpoints have it; 0 is all of them.
	Endpoints int
}

// Case is a version that is ordered, and what happens meanwhile.
type Case struct {
	Name string
	// Bad is set if the version is to be rolled back.
	Bad bool
	// Candidate and Stable are the faults of both versions.
	Candidate, Stable Fault
}

// Method is a way to decide.
type Method struct {
	Name string
	// Judge returns a new judge, a function of the evidence, the time and whether the
	// promotion has begun. Plan returns the shares of the candidate.
	Judge func() func(*canary.Evidence, clock.Millis, bool) bool
	Plan  func(canary.Order, canary.Bounds, *canary.Evidence, clock.Millis, func(string) bool) *canary.Plan
}

// Outcome is how one order ended.
type Outcome struct {
	RolledBack bool
	// Took is when it was decided, BadAnswers how many answers of the candidate
	// were bad by then, Got how many requests it got before the deadline, and
	// Allowed how many it may.
	Took       clock.Millis
	BadAnswers int
	Got        float64
	Allowed    float64
}

// answer is one answer on its way to those who decide.
type answer struct {
	at    clock.Millis
	trial wire.Trial
	bad   bool
}

// play is one order under way.
type play struct {
	load     Load
	c        Case
	order    canary.Order
	random   *rand.Rand
	plan     *canary.Plan
	trials   map[wire.TrialKey]wire.Trial
	pending  []answer
	all      int
	got      int
	bad      int
	recent   [2]float64
	rollback bool
}

// Play plays one order.
func Play(method Method, load Load, c Case, bounds canary.Bounds, duration clock.Millis, seed uint64) Outcome {
	p := &play{
		load: load, c: c, random: rand.New(rand.NewPCG(seed, 11)), trials: make(map[wire.TrialKey]wire.Trial),
		order: canary.Order{Pool: "p", Version: "next", Duration: duration}, plan: &canary.Plan{DefaultShare: bounds.Share / 2},
	}
	judge := method.Judge()
	outcome := Outcome{Took: duration}
	decided := false
	for now := step; now <= duration; now += step {
		p.send(now, decided)
		p.arrive(now)
		if now%look != 0 || decided {
			continue
		}
		evidence := canary.NewEvidence(p.order, p.list())
		p.rollback = judge(evidence, now, p.plan.Promoting)
		p.plan = method.Plan(p.order, bounds, evidence, now, func(route string) bool { return !slices.Contains(load.Once, route) })
		if p.rollback || p.plan.Due {
			p.rollback = p.rollback || p.plan.OverBudget
			decided, outcome.Took, outcome.BadAnswers, outcome.RolledBack = true, now, p.bad, p.rollback
		}
	}
	outcome.Got, outcome.Allowed = float64(p.got), bounds.Share*float64(p.all)+bounds.Base
	return outcome
}

// send sends the requests of one step.
func (p *play) send(now clock.Millis, decided bool) {
	for route, rate := range p.load.Rates {
		count := rate * float64(step) / 1000
		whole := int(count)
		if p.random.Float64() < count-float64(whole) {
			whole++
		}
		for range whole {
			p.request(route, now, decided)
		}
	}
}

func (p *play) request(route int, now clock.Millis, decided bool) {
	name := string(rune('a' + route))
	candidate := p.random.Float64() < p.plan.Share(name)
	if decided {
		candidate = !p.rollback
	}
	p.all++
	fault, side := p.c.Stable, 0
	if candidate {
		fault, side = p.c.Candidate, 1
		p.got++
	}
	const keep = 0.98
	p.recent[0] *= keep
	p.recent[1] *= keep
	p.recent[side]++
	endpoint, each := p.random.IntN(p.load.Endpoints), p.recent[side]/(p.recent[0]+p.recent[1])
	if candidate && !p.plan.Promoting {
		tried := canary.ActiveEndpoints(p.plan.DefaultShare, p.load.Endpoints)
		endpoint = (canary.FirstActive(now, tried, p.load.Endpoints) + p.random.IntN(tried)) % p.load.Endpoints
		each *= float64(p.load.Endpoints) / float64(tried)
	}
	failed, times := p.strike(fault, each, route, endpoint, now)
	key := wire.TrialKey{Pool: "p", Version: "next", Candidate: candidate, Route: name}
	if candidate {
		key.Endpoint = string(rune('A' + endpoint))
	}
	spread := make([]int64, canary.Buckets)
	took := clock.Millis(float64(p.load.Run) * times)
	answered := wire.Trial{TrialKey: key, Answers: 1, TotalMs: int64(took)}
	if failed {
		answered.Failed = 1
	} else {
		if !candidate || now > warmUp {
			spread[canary.Bucket(times)] = 1
		}
		answered.Histogram = spread
	}
	seen := took
	if !candidate || now > warmUp {
		seen = min(took, overdue*p.load.Run) // it is counted as slow before it ends
	}
	p.pending = append(p.pending,
		answer{at: now + lag, trial: wire.Trial{TrialKey: key, Sent: 1}},
		answer{at: now + seen + lag, trial: answered, bad: candidate && (failed || times > 2.5)})
}

// strike returns whether an answer fails and how long it takes.
func (p *play) strike(f Fault, busy float64, route, endpoint int, now clock.Millis) (failed bool, times float64) {
	times = math.Exp(0.3 * p.random.NormFloat64())
	if p.random.Float64() < 0.04 {
		times *= 1 + 2*p.random.Float64() // it waited in a queue
	}
	at := float64(now) / float64(p.order.Duration)
	until := f.Until
	if until == 0 {
		until = 1
	}
	switch {
	case at < f.From || at > until, f.For > 0 && now > f.For, f.Busy > 0 && busy < f.Busy, f.Route > 0 && route != f.Route-1, f.Endpoints > 0 && endpoint >= f.Endpoints:
		return p.random.Float64() < 0.003, times
	case p.random.Float64() < f.Slow:
		times *= f.Times
	}
	return p.random.Float64() < f.Fail+0.003, times
}

// arrive takes the counts that are known by now.
func (p *play) arrive(now clock.Millis) {
	left := p.pending[:0]
	for _, a := range p.pending {
		if a.at > now {
			left = append(left, a)
			continue
		}
		sum := p.trials[a.trial.TrialKey]
		sum.TrialKey = a.trial.TrialKey
		p.trials[a.trial.TrialKey] = sum.Plus(a.trial)
		if a.bad {
			p.bad++
		}
	}
	p.pending = left
}

func (p *play) list() []wire.Trial {
	all := make([]wire.Trial, 0, len(p.trials))
	for _, trial := range p.trials {
		all = append(all, trial)
	}
	slices.SortFunc(all, func(a, b wire.Trial) int { return cmp.Compare(a.Route+a.Endpoint, b.Route+b.Endpoint) })
	return all
}

// Summary is many orders of one case.
type Summary struct {
	Case   string `json:"case"`
	Load   string `json:"load"`
	Method string `json:"method"`
	Bad    bool   `json:"bad"`
	Orders int    `json:"orders"`
	// Wrong counts versions that were decided wrongly, Exceeded candidates that got
	// more requests than they may.
	Wrong    int `json:"wrong"`
	Exceeded int `json:"exceeded"`
	// MedianMs and MedianBad are the time to the decision, and the bad answers that
	// the candidate had given by then, of versions that were rolled back.
	MedianMs  int64 `json:"medianMs"`
	MedianBad int   `json:"medianBad"`
	// NinetiethBad is the number of bad answers that nine of ten stayed below.
	NinetiethBad int `json:"ninetiethBad"`
}

// Run plays a case many times.
func Run(method Method, load Load, c Case, bounds canary.Bounds, duration clock.Millis, count int) Summary {
	s := Summary{Case: c.Name, Load: load.Name, Method: method.Name, Bad: c.Bad, Orders: count}
	var took, bad []int
	for seed := range count {
		o := Play(method, load, c, bounds, duration, uint64(seed))
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
