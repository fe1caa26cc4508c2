// Package canary decides how a pool moves to another version of its endpoints:
// which part of each route's requests the new version gets, whether it is found
// bad, and when it is promoted. It takes counts and times and returns decisions,
// so that tests and simulations drive it without a network.
//
// It answers versions that fail part of their answers or are several times
// slower, at once or later, under load only or on one route only, and versions
// that are sound while their endpoints are cold, one of them fails, or the old
// ones are slow as well.
package canary

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// State is how far a rollout has come, as it is recorded.
type State string

// States of a rollout. An order that was not begun has the empty state.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolledBack"
)

// Order is an operator's order that a pool go to another version.
type Order struct {
	Pool    string
	Version string
	// Duration is the time until which the order is to be decided.
	Duration clock.Millis
}

// Status is what has been recorded of an order.
type Status struct {
	Order
	State State
	// Previous is the version in force when the order was begun.
	Previous string
	// StartedAt is when, in milliseconds of the wall clock.
	StartedAt int64
	// Reason for rolling the version back.
	Reason string
	// Sent counts the requests to both versions until the order was decided,
	// CandidateSent those to the new one, and CandidateAnswers its answers.
	Sent, CandidateSent, CandidateAnswers int64
	// Routes holds the counts by route, those with most requests first.
	Routes []RouteCounts
	// Earlier holds the orders of the pool before this one, the newest first.
	Earlier []Decision
}

// RouteCounts compares both versions on one route.
type RouteCounts struct {
	Route string
	// Sent, Answers and Failed are requests to the version in force, their answers and
	// the failures among them; the others are those of the candidate.
	Sent, Answers, Failed                            int64
	CandidateSent, CandidateAnswers, CandidateFailed int64
}

// Decision is what became of an order. One that another order replaced is Running.
type Decision struct {
	Version, Previous string
	State             State
	// StartedAt is when, in milliseconds of the wall clock.
	StartedAt int64
	Reason    string
}

// mostEarlier and mostRoutes bound what is recorded with an order.
const (
	mostEarlier = 20
	mostRoutes  = 32
)

// History returns the earlier orders for the status of the order after this one.
func (s *Status) History() []Decision {
	if s.State == "" {
		return s.Earlier
	}
	last := Decision{Version: s.Version, Previous: s.Previous, State: s.State, StartedAt: s.StartedAt, Reason: s.Reason}
	all := append([]Decision{last}, s.Earlier...)
	return all[:min(len(all), mostEarlier)]
}

// Bounds limit what a candidate version gets before it is decided.
type Bounds struct {
	// Share is the part of a pool's requests that a candidate may get between the
	// order and its deadline, and Spare how many besides.
	Share float64
	Base  float64
}

// Buckets is the number of classes of durations. Each spans half an octave.
const Buckets = 24

// firstClass is the binary logarithm of the lower end of the first class.
const firstClass = -4

// Bucket returns the class of an answer that took so many times as long as
// expected.
func Bucket(times float64) int {
	if times <= 0 {
		return 0
	}
	class := math.Floor(2 * (math.Log2(times) - firstClass))
	return int(min(max(class, 0), Buckets-1))
}

// Counts is what is known of the answers of one version.
type Counts struct {
	Sent, Answers, Failed int64
	TotalMs               int64
	Histogram             [Buckets]int64
}

func (c *Counts) add(trial *wire.Trial) {
	c.Sent += trial.Sent
	c.Answers += trial.Answers
	c.Failed += trial.Failed
	c.TotalMs += trial.Took
	for class, count := range trial.Spread {
		if class < Buckets {
			c.Histogram[class] += count
		}
	}
}

func (c *Counts) plus(more *Counts) {
	c.Sent += more.Sent
	c.Answers += more.Answers
	c.Failed += more.Failed
	c.TotalMs += more.TotalMs
	for class, count := range more.Histogram {
		c.Histogram[class] += count
	}
}

// minus returns the difference, never below zero: counts of a process that ended
// are missing from the newer sum.
func (c *Counts) minus(less *Counts) *Counts {
	left := &Counts{
		Sent: max(c.Sent-less.Sent, 0), Answers: max(c.Answers-less.Answers, 0), Failed: max(c.Failed-less.Failed, 0),
		TotalMs: max(c.TotalMs-less.TotalMs, 0),
	}
	for class := range left.Histogram {
		left.Histogram[class] = max(c.Histogram[class]-less.Histogram[class], 0)
	}
	return left
}

// bad counts the answers that failed or took so long as a class and those above.
func (c *Counts) bad(slowFrom int) int64 {
	bad := c.Failed
	for class := slowFrom; class < Buckets; class++ {
		bad += c.Histogram[class]
	}
	return min(bad, c.Answers)
}

// median returns the class of the median duration, -1 without any.
func (c *Counts) median() int {
	all := int64(0)
	for _, count := range c.Histogram {
		all += count
	}
	if all == 0 {
		return -1
	}
	below := int64(0)
	for class, count := range c.Histogram {
		below += count
		if 2*below >= all {
			return class
		}
	}
	return Buckets - 1
}

// Evidence is all counts of one rollout.
type Evidence struct {
	// Stable holds the counts of the version in force by route, Candidate those of
	// the new one by route and endpoint.
	Stable    map[string]*Counts
	Candidate map[string]map[string]*Counts
	// Suspended is set if a process has found the candidate bad, Restarted if some
	// counts are lost with the process that had them.
	Suspended, Restarted bool
}

// NewEvidence adds up the trials of one rollout.
func NewEvidence(order Order, trials ...[]wire.Trial) *Evidence {
	e := &Evidence{Stable: make(map[string]*Counts), Candidate: make(map[string]map[string]*Counts)}
	for _, some := range trials {
		for i := range some {
			if some[i].Pool == order.Pool && some[i].Version == order.Version {
				e.add(&some[i])
			}
		}
	}
	return e
}

func (e *Evidence) add(trial *wire.Trial) {
	e.Suspended = e.Suspended || trial.Suspended
	e.Restarted = e.Restarted || trial.Restarted
	if trial.Sent == 0 && trial.Answers == 0 {
		return
	}
	if !trial.Candidate {
		countsIn(e.Stable, trial.Route).add(trial)
		return
	}
	byEndpoint := e.Candidate[trial.Route]
	if byEndpoint == nil {
		byEndpoint = make(map[string]*Counts)
		e.Candidate[trial.Route] = byEndpoint
	}
	countsIn(byEndpoint, trial.Endpoint).add(trial)
}

func countsIn(byName map[string]*Counts, name string) *Counts {
	counts := byName[name]
	if counts == nil {
		counts = &Counts{}
		byName[name] = counts
	}
	return counts
}

// Routes returns the names of all routes that have counts.
func (e *Evidence) Routes() []string {
	var routes []string
	for route := range e.Stable {
		routes = append(routes, route)
	}
	for route := range e.Candidate {
		if e.Stable[route] == nil {
			routes = append(routes, route)
		}
	}
	return routes
}

// MedianRatios returns the median durations of both versions over all routes, as multiples of
// the expected ones, rounded down to half octaves; 0 for none.
func (e *Evidence) MedianRatios() (stable, candidate float64) {
	var both [2]Counts
	for _, route := range e.Routes() {
		both[0].plus(orNone(e.Stable[route]))
		both[1].plus(e.CandidateCounts(route))
	}
	return times(both[0].median()), times(both[1].median())
}

// times returns the lower end of a class, 0 for none.
func times(class int) float64 {
	if class < 0 {
		return 0
	}
	return math.Exp2(float64(class)/2 + firstClass)
}

// ByRoute returns the counts of the routes with most requests.
func (e *Evidence) ByRoute() []RouteCounts {
	var all []RouteCounts
	for _, route := range e.Routes() {
		stable, candidate := orNone(e.Stable[route]), e.CandidateCounts(route)
		if stable.Sent+candidate.Sent == 0 {
			continue // answers of another kind than requests
		}
		all = append(all, RouteCounts{
			Route: route, Sent: stable.Sent, Answers: stable.Answers, Failed: stable.Failed,
			CandidateSent: candidate.Sent, CandidateAnswers: candidate.Answers, CandidateFailed: candidate.Failed,
		})
	}
	slices.SortFunc(all, func(a, b RouteCounts) int {
		return cmp.Or(cmp.Compare(b.Sent+b.CandidateSent, a.Sent+a.CandidateSent), strings.Compare(a.Route, b.Route))
	})
	return all[:min(len(all), mostRoutes)]
}

// CandidateCounts returns the counts of the candidate for one route, over all endpoints.
func (e *Evidence) CandidateCounts(route string) *Counts {
	sum := &Counts{}
	for _, counts := range e.Candidate[route] {
		sum.plus(counts)
	}
	return sum
}

// Totals returns how many requests were sent to both versions and to the
// candidate, and how many the candidate has answered.
func (e *Evidence) Totals() (sent, candidate, answers int64) {
	for _, counts := range e.Stable {
		sent += counts.Sent
	}
	for _, byEndpoint := range e.Candidate {
		for _, counts := range byEndpoint {
			candidate += counts.Sent
			if counts.Sent > 0 {
				answers += counts.Answers
			}
		}
	}
	return sent + candidate, candidate, answers
}
