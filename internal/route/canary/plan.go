package canary

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// minUse and maxUse bound the part of the candidate's allowed requests that is
	// spent before the promotion. The promotion needs the rest.
	minUse, maxUse = 0.35, 0.8
	// initialUse is that part until the request rates of the routes are known, which
	// takes ratesKnownAfter.
	initialUse      = 0.5
	ratesKnownAfter = clock.Second
	// maxShare is the largest share of a route's requests that the candidate gets
	// before its promotion.
	maxShare = 0.75
	// baseUse is the part of Bounds.Base that the plan spends. The rest is kept
	// because counts are some hundred milliseconds old.
	baseUse = 0.7
	// A route's new requests go to the candidate some time before the completion, so
	// that open requests at the old endpoints can end. Requests that may not run again
	// need leadFactor times their mean duration, within minLead and maxLead. Others
	// can continue at the new endpoints and need only minLead. If the bounds allow it,
	// all routes get preferredLead, in which the candidate is observed under the full
	// load.
	minLead       = 250 * clock.Millis(1)
	preferredLead = 1500 * clock.Millis(1)
	maxLead       = 4 * clock.Second
	leadFactor    = 2.5
	// completionLead is how long before the deadline a rollout is completed, so that a
	// failed write to the store can be repeated. It is minCompletionLead if the bounds
	// allow too few requests, and lastCompletionLead if more requests were spent than
	// planned.
	completionLead     = 800 * clock.Millis(1)
	minCompletionLead  = 450 * clock.Millis(1)
	lastCompletionLead = 200 * clock.Millis(1)
	// countLag is the age of the counts. They don't include requests sent since.
	countLag = 350 * clock.Millis(1)
	// planInterval is the approximate time between two plans.
	planInterval = 100 * clock.Millis(1)
	// promotionMargin is the number of requests kept free for the promotion, because
	// counts are some hundred milliseconds old.
	promotionMargin = 8
	// MinAnswers is the number of a candidate's answers that its promotion requires.
	MinAnswers = 5
)

// Plan determines where the processes of a pool send new requests.
type Plan struct {
	// Shares is the share of each route's new requests that goes to the candidate,
	// DefaultShare that of routes without counts.
	Shares       map[string]float64
	DefaultShare float64
	// Promoting is set once all requests of some route go to the candidate, Due when
	// the rollout is to be decided now.
	Promoting bool
	Due       bool
	// OverBudget is set if the bounds don't allow the requests between completion and
	// deadline. The rollout is then too short for its traffic, and the candidate is
	// not promoted.
	OverBudget bool
}

// Share returns the share of a route's new requests that goes to the candidate.
func (p *Plan) Share(route string) float64 {
	if share, found := p.Shares[route]; found {
		return share
	}
	return p.DefaultShare
}

// traffic describes the requests of one route.
type traffic struct {
	route string
	// rate is in requests per millisecond. neededLead and preferredLead are how long
	// before the completion all requests go to the candidate, in milliseconds.
	rate, neededLead, preferredLead float64
}

// NewPlan returns the plan for the given time after the order, from the counts since
// the order. repeatable reports whether requests of a route may run again.
//
// A candidate may begin to fail just before it is promoted, and must not have received more
// requests than the bounds allow by then. The promotion therefore starts only when the
// bounds allow all requests until the deadline. Once counts are lost, Bounds.Base
// counts as spent.
func NewPlan(order Order, bounds Bounds, e *Evidence, elapsed clock.Millis, repeatable func(route string) bool) *Plan {
	if e.Restarted {
		bounds.Base = 0
	}
	sent, candidate, _ := e.Totals()
	routes := trafficOf(e, elapsed, repeatable)
	totalRate := 0.0
	for _, r := range routes {
		totalRate += r.rate
	}
	remaining := float64(max(order.Duration-elapsed, 0))
	allowed := bounds.Share*(float64(sent)+totalRate*remaining) + baseUse*bounds.Base
	completion, neededPart, preferredPart := promotionTiming(routes, allowed-float64(candidate))
	use := initialUse * bounds.Share
	if elapsed >= ratesKnownAfter && totalRate > 0 {
		reserve := totalRate*float64(completionLead) + requestsDuring(routes, func(r traffic) float64 { return r.neededLead })
		requests := totalRate * float64(order.Duration)
		use = min(max((allowed-reserve)/requests, minUse*bounds.Share), maxUse*allowed/requests, maxShare)
	}
	plan := canaryPlan(use, routes, totalRate)
	overspent := float64(candidate) > bounds.Share*float64(sent)+baseUse*bounds.Base
	if overspent || (elapsed >= ratesKnownAfter && allowed-float64(candidate) < totalRate*float64(minCompletionLead)+promotionMargin) {
		plan = &Plan{Shares: map[string]float64{}}
	}
	plan.Due = remaining <= completion
	if plan.OverBudget = allowed-float64(candidate) < totalRate*completion; plan.OverBudget {
		return plan
	}
	for _, r := range routes {
		if remaining <= completion+neededPart*r.neededLead+preferredPart*(r.preferredLead-r.neededLead) {
			plan.Shares[r.route], plan.Promoting = 1, true
		}
	}
	if plan.Due {
		plan.DefaultShare, plan.Promoting = 1, true
	}
	return plan
}

// promotionTiming returns how long before the deadline a rollout is completed, and
// which fractions of the needed and of the preferred leads the allowed requests cover.
func promotionTiming(routes []traffic, allowed float64) (completion, neededPart, preferredPart float64) {
	completion = float64(completionLead)
	rate := requestsDuring(routes, func(traffic) float64 { return 1 })
	neededRequests := requestsDuring(routes, func(r traffic) float64 { return r.neededLead })
	if rate*completion+neededRequests > allowed {
		completion = float64(minCompletionLead)
	}
	if rate*completion > allowed {
		completion = float64(lastCompletionLead)
	}
	allowed = max(allowed-rate*completion, 0)
	if reserve := promotionMargin + rate*float64(planInterval); neededRequests > max(allowed-reserve, 0) {
		return completion, max(allowed-reserve, 0) / neededRequests, 0
	}
	preferredRequests := requestsDuring(routes, func(r traffic) float64 { return r.preferredLead - r.neededLead })
	remaining := max(allowed-neededRequests-rate*float64(countLag), 0)
	if preferredRequests == 0 {
		return completion, 1, 0
	}
	return completion, 1, min(remaining/preferredRequests, 1)
}

// requestsDuring returns the expected number of requests in the period that span
// returns for each route.
func requestsDuring(routes []traffic, span func(traffic) float64) float64 {
	count := 0.0
	for _, r := range routes {
		count += r.rate * span(r)
	}
	return count
}

func trafficOf(e *Evidence, elapsed clock.Millis, repeatable func(string) bool) []traffic {
	var routes []traffic
	for _, route := range e.Routes() {
		stable, candidate := orEmpty(e.Stable[route]), e.CandidateCounts(route)
		if stable.Sent+candidate.Sent == 0 {
			continue // counts of something other than requests, such as pauses in streams
		}
		r := traffic{route: route, neededLead: float64(minLead), rate: float64(stable.Sent+candidate.Sent) / float64(max(elapsed, 1))}
		if stable.Answers > 0 && !repeatable(route) {
			r.neededLead = min(max(leadFactor*float64(stable.TotalMs)/float64(stable.Answers), float64(minLead)), float64(maxLead))
		}
		r.preferredLead = max(r.neededLead, float64(preferredLead))
		routes = append(routes, r)
	}
	return routes
}

// canaryPlan takes one half of the candidate's share from all routes in proportion to
// their requests, and the other half in equal numbers from each route, so that routes
// with few requests are tested too.
func canaryPlan(share float64, routes []traffic, totalRate float64) *Plan {
	plan := &Plan{Shares: make(map[string]float64, len(routes)), DefaultShare: share}
	for _, r := range routes {
		if r.rate > 0 {
			plan.Shares[r.route] = min(share/2+share/2*totalRate/(float64(len(routes))*r.rate), maxShare)
		}
	}
	return plan
}

// ActiveEndpoints returns how many of a candidate's endpoints get requests at a time,
// so that each of them gets about as many as an endpoint of the version in force.
func ActiveEndpoints(share float64, total int) int {
	const minActive = 2
	return min(max(int(share*float64(total)+0.5), minActive), total)
}

// rotation is the time for which the same endpoints are active.
const rotation = 1500 * clock.Millis(1)

// FirstActive returns the index of the first active endpoint at the given time after
// the order; the other active ones follow it. All endpoints take turns.
func FirstActive(elapsed clock.Millis, active, total int) int {
	if total == 0 {
		return 0
	}
	return int(elapsed/rotation) * active % total
}
