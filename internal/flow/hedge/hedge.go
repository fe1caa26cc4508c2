// Package hedge decides when a slow call to an idempotent stage gets a second
// attempt that runs in parallel with the first ("The Tail at Scale").
package hedge

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/quota"
)

const (
	// earnedThousandths is the part of a hedge that each call adds to the budget, in
	// thousandths. It keeps the extra work under 5% of the calls.
	earnedThousandths = 40
	// maxSaved limits the hedges that can be saved up.
	maxSaved = 20
	// minDelay is the shortest delay before a hedge. Below it the timer costs more
	// than the hedge saves.
	minDelay clock.Millis = 5
)

// NewBudget returns an empty budget for the hedges of a pool.
func NewBudget() *quota.Quota { return quota.New(earnedThousandths, 0, maxSaved) }

// Outcome is how a hedge ended.
type Outcome string

// Outcomes of hedges.
const (
	// Won means that the second attempt answered first.
	Won Outcome = "won"
	// Lost means that the first attempt answered first.
	Lost Outcome = "lost"
	// NoBudget means that a hedge was due but the budget was empty.
	NoBudget Outcome = "noBudget"
	// NoEndpoint means that a hedge was due but no other endpoint had capacity.
	NoEndpoint Outcome = "noEndpoint"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome { return []Outcome{Won, Lost, NoBudget, NoEndpoint} }

// Delay returns the delay from the first attempt to the hedge, and whether there
// is to be a hedge. typical and slow are the median and the 95th percentile of the
// stage's duration, and limit is how long the stage may take. There is no hedge
// for work that is not idempotent, for a stage whose slow time is unknown (0), and
// if a second attempt would typically exceed the limit.
func Delay(idempotent bool, typical, slow, limit clock.Millis) (clock.Millis, bool) {
	// If the durations hardly differ, the slow time is close to the typical one, and
	// a hedge after it would start just before most first attempts answer.
	delay := max(slow, typical+typical/2, minDelay)
	if !idempotent || slow == 0 || delay+typical > limit {
		return 0, false
	}
	return delay, true
}
