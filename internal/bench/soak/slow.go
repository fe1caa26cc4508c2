package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// With SlowOrders, plain engines take from shortestOrder to longestOrder, which is most of the grace period.
const (
	shortestOrder = 500 * time.Millisecond
	longestOrder  = 3500 * time.Millisecond
	// slowTimeoutMs is the time that callers and routes allow for such a request. The objective is longer
	// than any of them takes, so that none is sent to another engine because it takes long.
	slowTimeoutMs, slowObjectiveMs = 6000, 4000
)

// Processes are stopped one after the other, with this pause between them, and only after they have served
// for servingSpan.
const (
	shortestStopPause = 500 * time.Millisecond
	longestStopPause  = 1500 * time.Millisecond
	servingSpan       = 3 * time.Second
)

// slowRoutes gives the routes to plain engines the times that slow ones need.
func slowRoutes(c *stand.Config) {
	for i := range c.Routes {
		if c.Routes[i].Service == "orders" {
			c.Routes[i].TimeoutMs, c.Routes[i].SloMs = slowTimeoutMs, slowObjectiveMs
		}
	}
}

// stopInTurn stops one process after the other until the last part of the run.
func (r *run) stopInTurn(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 69))
	for index := 0; ctx.Err() == nil && time.Since(r.started) < r.Length-recoverySpan; {
		pause(ctx, shortestStopPause+time.Duration(random.Int64N(int64(longestStopPause-shortestStopPause))))
		p := r.processAt(index)
		if current := p.currentIncarnation(); p.terminatedAt(current).IsZero() && time.Since(current.began) > servingSpan {
			p.signal(syscall.SIGTERM)
			index++
		}
	}
}

// plannedStops returns the number of planned stops.
func (r *run) plannedStops() int64 {
	var stops int64
	for _, p := range r.processes {
		for _, i := range p.history() {
			if !i.terminated.IsZero() {
				stops++
			}
		}
	}
	return stops
}

// checkCut reports a request that may run once only and that a planned stop cut although only planned
// operations occurred: its caller can't tell whether it ran. A request without any answer is checked by
// checkUnanswered.
func (r *run) checkCut(s *stand.Request, p *process, i *incarnation, began time.Time, got stand.Outcome) {
	terminated, ended := p.terminatedAt(i), time.Now()
	if !s.AtMostOnce || terminated.IsZero() || terminated.After(ended) {
		return
	}
	r.onceOnly.Add(1)
	if got.Status != http.StatusBadGateway || r.faults.overlapping(began.Add(-stableTime), ended, p) || r.faults.engineEnded(began) {
		return
	}
	r.cut.Add(1)
	r.addViolation("%s: request %s, which may run once only, was cut by a planned stop: sent %v after SIGTERM, %v before its answer with status %d",
		p.name, s.ID, began.Sub(terminated), ended.Sub(began), got.Status)
}
