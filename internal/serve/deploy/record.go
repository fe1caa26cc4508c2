package deploy

import (
	"context"
	"errors"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

// tick judges and plans one rollout, and records its next state if this process may
// do so.
func (c *Controller) tick(ctx context.Context, r *rollout) {
	c.mu.Lock()
	status, revision, lost := r.status, r.revision, r.statusLost
	c.mu.Unlock()
	if lost {
		c.rewriteStatus(ctx, r, status, revision)
	} else {
		r.lostSince = 0
	}
	switch status.State {
	case canary.Running:
		c.judge(r)
	case canary.Completed, canary.RolledBack:
		return
	}
	next, due := c.nextStatus(r, status)
	now := c.clock.Now()
	if !due || next.State != r.dueState {
		r.dueState, r.dueSince = "", now
		if due {
			r.dueState = next.State
		}
	}
	if !due || now < r.nextWrite || !c.mayRecord(r.order.Pool, now-r.dueSince) {
		return
	}
	c.record(ctx, r, next, revision)
}

const (
	// maxDeputies is how many processes may record a state in place of the owner of
	// a rollout. Each waits deputyDelay longer than the one before, because the
	// process that should have recorded the state may have ended just before the
	// deadline of the order.
	maxDeputies = 2
	deputyDelay = 150 * clock.Millis(1)
)

// mayRecord reports whether this process records a state that has been due for the
// given time: the owner at once, deputies later.
func (c *Controller) mayRecord(pool string, dueFor clock.Millis) bool {
	for rank := range clock.Millis(maxDeputies + 1) {
		if dueFor >= rank*deputyDelay && c.peers.OwnsFunc(Subject(pool, int(rank))) {
			return true
		}
	}
	return false
}

// Subject returns the subject for which the owner of a rollout (rank 0) or one of
// its deputies is chosen.
func Subject(pool string, rank int) string { return fmt.Sprintf("rollout/%s/%d", pool, rank) }

// judge updates the verdict and the plan of a rollout from the current counts of all
// processes.
func (c *Controller) judge(r *rollout) {
	now := c.clock.Now()
	evidence := r.evidence(now, c.peers.TrialsFunc())
	r.upToDate.Store(c.peers.UpToDateFunc())
	verdict := r.judge.Observe(evidence, now)
	if (verdict.Bad || evidence.Suspended) && !r.suspended.Swap(true) {
		c.meter.event(r.order.Pool, "suspended")
		c.log.Info("rollout suspended", "pool", r.order.Pool, "version", r.order.Version, "judged", verdict.Bad,
			"reason", verdict.String(), "elapsedMs", int64(now-r.began))
		c.mu.Lock()
		c.apply()
		c.mu.Unlock()
	}
	plan := canary.NewPlan(r.order, c.bounds, evidence, now-r.began, func(route string) bool { return c.repeatableFunc(r.order.Pool, route) })
	if r.decided {
		// The decision stays in force even if the bounds no longer allow the requests.
		plan = &canary.Plan{DefaultShare: 1, Promoting: true, Due: true}
	}
	r.decided = r.decided || (plan.Due && !plan.OverBudget)
	r.plan.Store(plan)
	if plan.Promoting && !r.promoting && !r.suspended.Load() {
		r.promoting = true
		r.judge.JudgeFailuresOnly()
		sent, candidate, answers := evidence.Totals()
		stableTimes, candidateTimes := evidence.MedianRatios()
		c.log.Info("rollout promotion started", "pool", r.order.Pool, "version", r.order.Version, "elapsedMs", int64(now-r.began),
			"sent", sent, "candidate", candidate, "answers", answers, "stableTimes", stableTimes, "candidateTimes", candidateTimes)
	}
}

// nextStatus returns the status to record next, and whether it is due.
func (c *Controller) nextStatus(r *rollout, status canary.Status) (canary.Status, bool) {
	elapsed := c.clock.Since(r.began)
	next := canary.Status{
		Order: r.order, Previous: status.Previous, State: canary.Running, StartedAt: c.wallClock() - int64(elapsed), Earlier: status.Earlier,
	}
	if status.State == "" {
		previous, refusal := c.previousVersion(r, status)
		if refusal != "" {
			c.logRefusal(r, refusal)
			return next, false
		}
		next.Previous = previous
		return next, true
	}
	next.StartedAt = status.StartedAt
	evidence := r.evidence(c.clock.Now(), c.peers.TrialsFunc())
	next.Sent, next.CandidateSent, next.CandidateAnswers = evidence.Totals()
	next.Routes = evidence.ByRoute()
	if r.suspended.Load() {
		next.State, next.Reason = canary.RolledBack, "bad"
		if verdict := r.judge.Verdict(); verdict.Bad {
			next.Reason = verdict.String()
		}
		return next, true
	}
	plan := r.plan.Load()
	if !plan.Due {
		return next, false
	}
	if plan.OverBudget {
		next.State, next.Reason = canary.RolledBack, "the order is too short: more requests than the candidate may get would reach it before the deadline"
		return next, true
	}
	if next.CandidateAnswers < canary.MinAnswers || len(c.viewFunc().Candidates(r.order.Pool)) == 0 {
		next.State, next.Reason = canary.RolledBack, fmt.Sprintf("only %d answers until the deadline", next.CandidateAnswers)
		return next, true
	}
	next.State = canary.Completed
	return next, true
}

// previousVersion returns the version that an order replaces, or the reason why the
// order isn't started.
func (c *Controller) previousVersion(r *rollout, status canary.Status) (version, refusal string) {
	if !c.inUseFunc(r.order.Pool) {
		return "", "no configuration uses the pool"
	}
	if status.Previous != "" && status.Previous != r.order.Version {
		return status.Previous, ""
	}
	version = c.viewFunc().Version(r.order.Pool)
	if version == r.order.Version {
		return "", "the version is already in force"
	}
	return version, ""
}

// logRefusal logs once why an order isn't started.
func (c *Controller) logRefusal(r *rollout, reason string) {
	if r.refused {
		return
	}
	r.refused = true
	c.meter.event(r.order.Pool, "refused")
	c.log.Warn("rollout not started", "pool", r.order.Pool, "version", r.order.Version, "reason", reason)
}

// record writes a status. If a write got no answer, the next write shows whether it
// took effect: it then meets a newer revision.
func (c *Controller) record(ctx context.Context, r *rollout, status canary.Status, revision store.Revision) {
	value, err := c.codec.EncodeFunc(status)
	if err != nil {
		c.log.Error("rollout state not encoded", "pool", r.order.Pool, logs.KeyError, err)
		r.nextWrite = c.clock.Now() + maxWriteBackoff
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	object, err := c.store.PutStatus(ctx, r.name, revision, value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && revision.Before(conflict.Current.Version) {
		object = conflict.Current
	} else if err != nil {
		r.writeBackoff = min(max(2*r.writeBackoff, minWriteBackoff), maxWriteBackoff)
		r.nextWrite = c.clock.Now() + r.writeBackoff
		c.log.Info("rollout state not recorded yet", "pool", r.order.Pool, "state", string(status.State), "revision", revision, logs.KeyError, err)
		return
	}
	r.writeBackoff, r.nextWrite = 0, c.clock.Now()+minWriteBackoff
	if revision.Before(object.Version) && len(object.Value) > 0 {
		c.Change([]store.Change{{Object: object}})
	}
}
