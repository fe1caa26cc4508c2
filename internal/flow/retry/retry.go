// Package retry decides whether a failed attempt of a stage is retried. Only the entry
// process retries. Agents and engines never do.
package retry

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/quota"
)

const (
	// earnedPerSuccess is what one success adds to the budget, in thousandths of a retry.
	// A tenth of a retry limits the calls to a failing pool to 1.1 times the offered calls.
	earnedPerSuccess = 100
	// initialRetries is the initial budget. It allows retries in pools with few calls.
	initialRetries = 10
	// maxRetries is the largest budget. It has to cover a zone that leaves and returns its
	// whole queue at once.
	maxRetries = 200

	// MaxAttempts limits the attempts of one stage.
	MaxAttempts = 4
)

// NewBudget returns the retry budget of a pool. Each answered stage adds to it.
func NewBudget() *quota.Quota { return quota.New(earnedPerSuccess, initialRetries, maxRetries) }

// Class groups the reasons of refusals by the effect of a retry on the pool.
type Class string

// Classes of refusals.
const (
	// ClassMoved: the endpoint accepts no new work and the entry used an outdated view. A
	// retry elsewhere adds no load to the pool and needs no budget.
	ClassMoved Class = "moved"
	// ClassFull: the endpoint has no capacity. Each retry adds load to a full pool, so it
	// needs budget.
	ClassFull Class = "full"
	// ClassFailed: the attempt failed and may have run.
	ClassFailed Class = "failed"
	// ClassFinal: other endpoints would answer in the same way.
	ClassFinal Class = "final"
)

// ClassOf returns the class of a reason.
func ClassOf(reason fault.Reason) Class {
	switch reason {
	case fault.Leaving, fault.ZoneEvacuated, fault.WrongEndpoint, fault.OldRelease, fault.NotReady, fault.Isolated:
		return ClassMoved
	case fault.Overloaded, fault.QueueFull, fault.ColdStart, fault.TooManyOpen:
		return ClassFull
	case fault.EndpointFailed, fault.AnswerBroken, fault.OutcomeUnknown, fault.NoEndpoint, fault.DuplicateFrame:
		return ClassFailed
	default:
		return ClassFinal
	}
}

// Failure describes an attempt that got no complete answer.
type Failure struct {
	Reason     fault.Reason
	Ran        fault.Ran
	RetryAfter clock.Millis
	// Idempotent is set if the stage may run twice.
	Idempotent bool
	// Attempts is the number of attempts of this stage, including the failed one.
	Attempts int
	// Left is the time until the deadline of the request.
	Left clock.Millis
	// Need is the typical duration of this stage and the later ones, 0 if unknown.
	Need clock.Millis
	// HasAlternative is set if there is an endpoint that was not tried.
	HasAlternative bool
}

// Decision is the reaction to a failed attempt.
type Decision struct {
	// Retry is set if the stage is retried at another endpoint.
	Retry bool
	// AvoidZone is set if the next attempt should use another zone. A failed endpoint
	// is often the first sign of a failure of its rack or zone.
	AvoidZone bool
	// Class is the class of the failure.
	Class Class
	// Reason and Ran are returned to the caller if the stage is not retried.
	Reason fault.Reason
	Ran    fault.Ran
}

// Decide returns the reaction to a failed attempt. It takes from the budget only if a
// retry is possible and needs budget.
func Decide(f Failure, budget *quota.Quota) Decision {
	class := ClassOf(f.Reason)
	d := Decision{Class: class, AvoidZone: class == ClassFailed, Reason: f.Reason, Ran: f.Ran}
	switch {
	case f.Ran != fault.NotRun && !f.Idempotent:
		// There is no retry because the work may have run and must not run twice. The reason
		// informs the caller that the outcome is unknown.
		if f.Ran == fault.MayHaveRun && class == ClassFailed {
			d.Reason = fault.OutcomeUnknown
		}
	case class == ClassFinal:
	case f.Left <= 0:
		d.Reason = fault.DeadlinePassed
	case f.Left < f.Need:
		d.Reason = fault.DeadlineUnreachable
	case f.Attempts >= MaxAttempts || !f.HasAlternative:
	case class == ClassMoved:
		d.Retry = true
	case budget.Take():
		d.Retry = true
	case class == ClassFailed:
		d.Reason = fault.RetryBudget
	}
	return d
}
