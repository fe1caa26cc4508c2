package canary

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// leastUse and mostUse bound which part of what a candidate may get is spent
	// before the promotion. The promotion needs the rest.
	leastUse, mostUse = 0.35, 0.8
	// firstUse is that part until the rates of routes are known, after ratesKnown.
	firstUse   = 0.5
	ratesKnown = clock.Second
	// mostShare bounds the part of one route's requests that the candidate gets.
	mostShare = 0.75
	// spareUse is the part of Bounds.Spare that is counted on: counts are some
	// hundred milliseconds old.
	spareUse = 0.7
	// A route's new requests go to the candidate some time before the completion, so
	// that those at the old endpoints end. Requests that may not run again need
	// runTimes their mean duration, within leastRun and mostRun; others go on at the
	// new endpoints and need leastRun. If the bounds pay for it, all have wantedRun,
	// in which the candidate shows how it bears the whole load.
	leastRun  = 250 * clock.Millis(1)
	wantedRun = 1500 * clock.Millis(1)
	mostRun   = 4 * clock.Second
	runTimes  = 2.5
	// completeBefore is how long before the deadline a rollout is completed: the
	// store may need another try. Short of what the bounds pay for, it is leastBefore,
	// and lastBefore if more was spent than planned.
	completeBefore = 800 * clock.Millis(1)
	leastBefore    = 450 * clock.Millis(1)
	lastBefore     = 200 * clock.Millis(1)
	// countLag is how old counts are: what is sent meanwhile is not in them.
	countLag = 350 * clock.Millis(1)
	// lookEvery is about how often a plan is made.
	lookEvery = 100 * clock.Millis(1)
	// margin is how many requests are kept in hand for the promotion: counts are some
	// hundred milliseconds old.
	margin = 8
	// MinAnswers is how many answers of a candidate are needed to promote it.
	MinAnswers = 5
)

// Plan is what a pool's processes do now.
type Plan struct {
	// Shares is the part of each route's new requests that goes to the candidate,
	// Other that of routes without counts.
	Shares       map[string]float64
	DefaultShare float64
	// Promoting is set if all requests of some route go to the candidate, Due if the
	// rollout is to be decided now.
	Promoting bool
	Due       bool
	// OverBudget is set if the bounds don't allow the requests between the completion and
	// the deadline: the order is too short for its traffic, and is not promoted.
	OverBudget bool
}

// Share returns the part of a route's new requests that goes to the candidate.
func (p *Plan) Share(route string) float64 {
	if share, found := p.Shares[route]; found {
		return share
	}
	return p.DefaultShare
}

// traffic is the requests of one route.
type traffic struct {
	route string
	// rate is requests a millisecond; needed and wanted are how long before the
	// completion they go to the candidate, in milliseconds.
	rate, needed, wanted float64
}

// NewPlan returns what to do so long after an order, by what was counted since.
// Repeats reports whether requests of a route may run again.
//
// A candidate may turn bad just before it is promoted, and must not have got more
// than the bounds allow by then: the promotion begins no earlier than they pay for
// all requests until the deadline. Once counts are lost, Bounds.Spare counts as spent.
func NewPlan(order Order, bounds Bounds, e *Evidence, elapsed clock.Millis, repeats func(route string) bool) *Plan {
	if e.Restarted {
		bounds.Base = 0
	}
	sent, candidate, _ := e.Totals()
	routes := trafficOf(e, elapsed, repeats)
	all := 0.0
	for _, r := range routes {
		all += r.rate
	}
	left := float64(max(order.Duration-elapsed, 0))
	total := bounds.Share*(float64(sent)+all*left) + spareUse*bounds.Base
	before, needed, wanted := promotion(routes, total-float64(candidate))
	use := firstUse * bounds.Share
	if elapsed >= ratesKnown && all > 0 {
		reserve := all*float64(completeBefore) + sum(routes, func(r traffic) float64 { return r.needed })
		requests := all * float64(order.Duration)
		use = min(max((total-reserve)/requests, leastUse*bounds.Share), mostUse*total/requests, mostShare)
	}
	plan := canaryPlan(use, routes, all)
	spent := float64(candidate) > bounds.Share*float64(sent)+spareUse*bounds.Base
	if spent || (elapsed >= ratesKnown && total-float64(candidate) < all*float64(leastBefore)+margin) {
		plan = &Plan{Shares: map[string]float64{}}
	}
	plan.Due = left <= before
	if plan.OverBudget = total-float64(candidate) < all*before; plan.OverBudget {
		return plan
	}
	for _, r := range routes {
		if left <= before+needed*r.needed+wanted*(r.wanted-r.needed) {
			plan.Shares[r.route], plan.Promoting = 1, true
		}
	}
	if plan.Due {
		plan.DefaultShare, plan.Promoting = 1, true
	}
	return plan
}

// promotion returns how long before the deadline a rollout is completed, and which
// parts of the needed and of the wanted times before that so many requests allow.
func promotion(routes []traffic, allowed float64) (before, needed, wanted float64) {
	before = float64(completeBefore)
	rate := sum(routes, func(traffic) float64 { return 1 })
	needs := sum(routes, func(r traffic) float64 { return r.needed })
	if rate*before+needs > allowed {
		before = float64(leastBefore)
	}
	if rate*before > allowed {
		before = float64(lastBefore)
	}
	allowed = max(allowed-rate*before, 0)
	if inHand := margin + rate*float64(lookEvery); needs > max(allowed-inHand, 0) {
		return before, max(allowed-inHand, 0) / needs, 0
	}
	wants := sum(routes, func(r traffic) float64 { return r.wanted - r.needed })
	spare := max(allowed-needs-rate*float64(countLag), 0)
	if wants == 0 {
		return before, 1, 0
	}
	return before, 1, min(spare/wants, 1)
}

// sum returns how many requests come in the times that a function gives.
func sum(routes []traffic, span func(traffic) float64) float64 {
	count := 0.0
	for _, r := range routes {
		count += r.rate * span(r)
	}
	return count
}

func trafficOf(e *Evidence, elapsed clock.Millis, repeats func(string) bool) []traffic {
	var routes []traffic
	for _, route := range e.Routes() {
		stable, candidate := orNone(e.Stable[route]), e.CandidateCounts(route)
		if stable.Sent+candidate.Sent == 0 {
			continue // answers of another kind than requests
		}
		r := traffic{route: route, needed: float64(leastRun), rate: float64(stable.Sent+candidate.Sent) / float64(max(elapsed, 1))}
		if stable.Answers > 0 && !repeats(route) {
			r.needed = min(max(runTimes*float64(stable.TotalMs)/float64(stable.Answers), float64(leastRun)), float64(mostRun))
		}
		r.wanted = max(r.needed, float64(wantedRun))
		routes = append(routes, r)
	}
	return routes
}

// canaryPlan gives the candidate one half of its share from all routes alike, and
// the other half in equal numbers from each, so that one with few requests is
// tried as well.
func canaryPlan(use float64, routes []traffic, all float64) *Plan {
	plan := &Plan{Shares: make(map[string]float64, len(routes)), DefaultShare: use}
	for _, r := range routes {
		if r.rate > 0 {
			plan.Shares[r.route] = min(use/2+use/2*all/(float64(len(routes))*r.rate), mostShare)
		}
	}
	return plan
}

// ActiveEndpoints returns how many of a candidate's endpoints are tried at a time, so
// that each bears about what one of the version in force does.
func ActiveEndpoints(share float64, all int) int {
	const least = 2
	return min(max(int(share*float64(all)+0.5), least), all)
}

// turn is how long the same endpoints are tried.
const turn = 1500 * clock.Millis(1)

// FirstActive returns the position of the first of so many endpoints that are tried so
// long after an order; the others follow it. All have their turn.
func FirstActive(elapsed clock.Millis, tried, all int) int {
	if all == 0 {
		return 0
	}
	return int(elapsed/turn) * tried % all
}
