package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// storm is a time in which the operator publishes versions at a rate that the processes with slow links can't follow.
type storm struct {
	at, length time.Duration
	perSecond  int
}

// Bounds of a storm.
const (
	minStormRate, maxStormRate     = 3, 12
	minStormLength, maxStormLength = 2 * time.Second, 4 * time.Second
	// minStormPause and maxStormPause are the least and the longest time between two storms.
	minStormPause, maxStormPause = time.Second, 4 * time.Second
)

// stormPlan returns the storms of a run, in order. They have a random source of their own, so that seeds keep what they
// draw without storms.
func stormPlan(seed uint64, length time.Duration) []storm {
	const stream = 1009
	random := rand.New(rand.NewPCG(seed, stream))
	var plan []storm
	for at := firstDisturbance + rollingCount*rollingSpan; ; {
		next := storm{at: at, length: drawBetween(random, minStormLength, maxStormLength), perSecond: minStormRate + random.IntN(maxStormRate-minStormRate+1)}
		at += next.length + drawBetween(random, minStormPause, maxStormPause)
		if next.at+next.length > length-recoverySpan {
			return plan
		}
		plan = append(plan, next)
	}
}

// drawBetween returns a time between two others, both included.
func drawBetween(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}

// publishStorms publishes versions that move routes in storms.
func (r *run) publishStorms(ctx context.Context) {
	const stream = 1013
	random := rand.New(rand.NewPCG(r.Seed, stream))
	for _, storm := range stormPlan(r.Seed, r.Length) {
		pause(ctx, time.Until(r.started.Add(storm.at)))
		ticker := time.NewTicker(time.Second / time.Duration(storm.perSecond))
		for end := r.started.Add(storm.at + storm.length); time.Now().Before(end) && ctx.Err() == nil; {
			r.moveRoute(random)
			r.moved.stormVersions.Add(1)
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
		ticker.Stop()
		r.moved.storms.Add(1)
	}
}
