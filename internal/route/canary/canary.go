// Package canary decides how a pool moves to another version of its endpoints: which
// share of each route's requests the new version gets, whether the version is bad, and
// when it is promoted. It takes counts and times and returns decisions, so that tests
// and simulations run it without a network.
//
// It detects versions that fail some of their answers or are several times slower,
// from the start or later, only under load or only on one route. It accepts sound
// versions while their endpoints are cold, when one of their endpoints fails, and when
// the old endpoints are slow as well.
package canary

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// State is the recorded state of a rollout.
type State string

// States of a rollout. A rollout that has not started has the empty state.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolledBack"
)

// Order is an operator's order to move a pool to another version.
type Order struct {
	Pool    string
	Version string
	// Duration is the time within which the rollout is to be decided.
	Duration clock.Millis
}

// Status is the recorded status of a rollout.
type Status struct {
	Order
	State State
	// Previous is the version in force when the rollout started.
	Previous string
	// StartedAt is the start of the rollout, in milliseconds of the wall clock.
	StartedAt int64
	// Reason for rolling the version back, "" otherwise.
	Reason string
	// Sent counts the requests to both versions until the decision, CandidateSent
	// those to the candidate, and CandidateAnswers the candidate's answers.
	Sent, CandidateSent, CandidateAnswers int64
	// Routes holds the counts by route, starting with the route that has the most
	// requests.
	Routes []RouteCounts
	// Earlier holds the pool's earlier rollouts, newest first.
	Earlier []Decision
}

// RouteCounts compares both versions on one route.
type RouteCounts struct {
	Route string
	// Sent, Answers and Failed count the requests to the version in force, their
	// answers, and the failures among the answers. The other fields count the same for
	// the candidate.
	Sent, Answers, Failed                            int64
	CandidateSent, CandidateAnswers, CandidateFailed int64
}

// Decision is the outcome of an earlier rollout. A rollout that was replaced by
// another one before its decision has the state Running.
type Decision struct {
	Version, Previous string
	State             State
	// StartedAt is in milliseconds of the wall clock.
	StartedAt int64
	Reason    string
}

// maxEarlier and maxRoutes limit what is recorded with a rollout.
const (
	maxEarlier = 20
	maxRoutes  = 32
)

// History returns the value of Earlier for the status of the pool's next rollout.
func (s *Status) History() []Decision {
	if s.State == "" {
		return s.Earlier
	}
	last := Decision{Version: s.Version, Previous: s.Previous, State: s.State, StartedAt: s.StartedAt, Reason: s.Reason}
	all := append([]Decision{last}, s.Earlier...)
	return all[:min(len(all), maxEarlier)]
}

// Bounds limit the requests that a candidate version gets before the decision.
type Bounds struct {
	// Share is the share of the pool's requests between order and deadline that the
	// candidate may get. Base is a number of requests that it may get in addition.
	Share float64
	Base  float64
}

// Buckets is the number of buckets of a duration histogram. The bounds of each bucket
// differ by a factor of the square root of two.
const Buckets = 24

// firstBucketLog2 is the binary logarithm of the lower bound of the first bucket.
const firstBucketLog2 = -4

// Bucket returns the histogram bucket of an answer by the ratio of its duration to the
// expected one.
func Bucket(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	bucket := math.Floor(2 * (math.Log2(ratio) - firstBucketLog2))
	return int(min(max(bucket, 0), Buckets-1))
}

// Counts describes the answers of one version. TotalMs is the sum of their durations
// in milliseconds.
type Counts struct {
	Sent, Answers, Failed int64
	TotalMs               int64
	Histogram             [Buckets]int64
}

func (c *Counts) add(trial *wire.Trial) {
	c.Sent += trial.Sent
	c.Answers += trial.Answers
	c.Failed += trial.Failed
	c.TotalMs += trial.TotalMs
	for bucket, count := range trial.Histogram {
		if bucket < Buckets {
			c.Histogram[bucket] += count
		}
	}
}

func (c *Counts) plus(other *Counts) {
	c.Sent += other.Sent
	c.Answers += other.Answers
	c.Failed += other.Failed
	c.TotalMs += other.TotalMs
	for bucket, count := range other.Histogram {
		c.Histogram[bucket] += count
	}
}

// minus returns the difference of two counts. It is never negative: if a process has
// ended, its counts are missing from the newer sum.
func (c *Counts) minus(other *Counts) *Counts {
	difference := &Counts{
		Sent: max(c.Sent-other.Sent, 0), Answers: max(c.Answers-other.Answers, 0), Failed: max(c.Failed-other.Failed, 0),
		TotalMs: max(c.TotalMs-other.TotalMs, 0),
	}
	for bucket := range difference.Histogram {
		difference.Histogram[bucket] = max(c.Histogram[bucket]-other.Histogram[bucket], 0)
	}
	return difference
}

// bad returns the number of answers that failed or whose duration is in bucket
// slowFrom or above.
func (c *Counts) bad(slowFrom int) int64 {
	bad := c.Failed
	for bucket := slowFrom; bucket < Buckets; bucket++ {
		bad += c.Histogram[bucket]
	}
	return min(bad, c.Answers)
}

// median returns the bucket of the median duration, -1 if there are no durations.
func (c *Counts) median() int {
	total := int64(0)
	for _, count := range c.Histogram {
		total += count
	}
	if total == 0 {
		return -1
	}
	below := int64(0)
	for bucket, count := range c.Histogram {
		below += count
		if 2*below >= total {
			return bucket
		}
	}
	return Buckets - 1
}

// Evidence holds all counts of one rollout.
type Evidence struct {
	// Stable holds the counts of the version in force by route, Candidate those of the
	// candidate by route and endpoint.
	Stable    map[string]*Counts
	Candidate map[string]map[string]*Counts
	// Suspended is set if a process has found the candidate bad, Restarted if a
	// process ended and its counts are lost.
	Suspended, Restarted bool
}

// NewEvidence adds up the trials that belong to one rollout.
func NewEvidence(order Order, trials ...[]wire.Trial) *Evidence {
	e := &Evidence{Stable: make(map[string]*Counts), Candidate: make(map[string]map[string]*Counts)}
	for _, list := range trials {
		for i := range list {
			if list[i].Pool == order.Pool && list[i].Version == order.Version {
				e.add(&list[i])
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
		countsFor(e.Stable, trial.Route).add(trial)
		return
	}
	byEndpoint := e.Candidate[trial.Route]
	if byEndpoint == nil {
		byEndpoint = make(map[string]*Counts)
		e.Candidate[trial.Route] = byEndpoint
	}
	countsFor(byEndpoint, trial.Endpoint).add(trial)
}

func countsFor(byName map[string]*Counts, name string) *Counts {
	counts := byName[name]
	if counts == nil {
		counts = &Counts{}
		byName[name] = counts
	}
	return counts
}

// Routes returns the names of all routes with counts.
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

// MedianRatios returns the median duration of both versions over all routes, as a
// multiple of the expected duration. It is rounded down to the lower bound of its
// bucket, and 0 without durations.
func (e *Evidence) MedianRatios() (stable, candidate float64) {
	var versions [2]Counts
	for _, route := range e.Routes() {
		versions[0].plus(orEmpty(e.Stable[route]))
		versions[1].plus(e.CandidateCounts(route))
	}
	return bucketStart(versions[0].median()), bucketStart(versions[1].median())
}

// bucketStart returns the lower bound of a bucket, 0 for a negative one.
func bucketStart(bucket int) float64 {
	if bucket < 0 {
		return 0
	}
	return math.Exp2(float64(bucket)/2 + firstBucketLog2)
}

// ByRoute returns the counts of the routes with the most requests.
func (e *Evidence) ByRoute() []RouteCounts {
	var all []RouteCounts
	for _, route := range e.Routes() {
		stable, candidate := orEmpty(e.Stable[route]), e.CandidateCounts(route)
		if stable.Sent+candidate.Sent == 0 {
			continue // counts of something other than requests, such as pauses in streams
		}
		all = append(all, RouteCounts{
			Route: route, Sent: stable.Sent, Answers: stable.Answers, Failed: stable.Failed,
			CandidateSent: candidate.Sent, CandidateAnswers: candidate.Answers, CandidateFailed: candidate.Failed,
		})
	}
	slices.SortFunc(all, func(a, b RouteCounts) int {
		return cmp.Or(cmp.Compare(b.Sent+b.CandidateSent, a.Sent+a.CandidateSent), strings.Compare(a.Route, b.Route))
	})
	return all[:min(len(all), maxRoutes)]
}

// CandidateCounts returns the counts of the candidate on one route, summed over its
// endpoints.
func (e *Evidence) CandidateCounts(route string) *Counts {
	sum := &Counts{}
	for _, counts := range e.Candidate[route] {
		sum.plus(counts)
	}
	return sum
}

// Totals returns the number of requests to both versions, the number of requests to
// the candidate, and the number of the candidate's answers.
func (e *Evidence) Totals() (sent, candidateSent, candidateAnswers int64) {
	for _, counts := range e.Stable {
		sent += counts.Sent
	}
	for _, byEndpoint := range e.Candidate {
		for _, counts := range byEndpoint {
			candidateSent += counts.Sent
			if counts.Sent > 0 {
				candidateAnswers += counts.Answers
			}
		}
	}
	return sent + candidateSent, candidateSent, candidateAnswers
}
