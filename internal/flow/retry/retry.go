// Package retry decides whether a failed attempt of a stage is tried again.
// Only the entry retries; agents and engines never do.
package retry

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/quota"
)

const (
	// share is what one success earns, in thousandths of a retry: a tenth, so
	// that a pool which fails sees at most 1.1 times the calls it is offered.
	share = 100
	// reserve is what a budget starts with; it keeps small pools going.
	reserve = 10
	// most is the largest number of retries that can be saved up: a zone that
	// leaves hands back its whole queue at once.
	most = 200

	// MaxAttempts bounds the attempts of one stage.
	MaxAttempts = 4
)

// NewBudget returns the retries that a pool may get; each answered stage earns
// its share.
func NewBudget() *quota.Quota { return quota.New(share, reserve, most) }

// Class groups the reasons of refusals by what a retry does to the pool.
type Class string

// Classes of refusals.
const (
	// ClassMoved: the endpoint takes no new work; the entry's view was old. A
	// retry elsewhere costs the pool nothing and needs no budget.
	ClassMoved Class = "moved"
	// ClassFull: the endpoint has no room. Every retry of a full pool adds to
	// its load, so it needs budget.
	ClassFull Class = "full"
	// ClassFailed: the attempt broke; it may have run.
	ClassFailed Class = "failed"
	// ClassFinal: no other endpoint would answer differently.
	ClassFinal Class = "final"
)

// ClassOf returns the class of a reason.
func ClassOf(reason fault.Reason) Class {
	switch reason {
	case fault.Leaving, fault.ZoneLeft, fault.WrongEndpoint, fault.OldRelease, fault.NotReady, fault.Isolated:
		return ClassMoved
	case fault.Overloaded, fault.QueueFull, fault.ColdStart, fault.TooManyOpen:
		return ClassFull
	case fault.EndpointFailed, fault.AnswerBroken, fault.OutcomeUnknown, fault.NoEndpoint, fault.DoubledFrame:
		return ClassFailed
	default:
		return ClassFinal
	}
}

// Failure is what is known of an attempt that got no whole answer.
type Failure struct {
	Reason     fault.Reason
	Ran        fault.Ran
	RetryAfter clock.Millis
	// Idempotent tells that the stage may run twice.
	Idempotent bool
	// Attempts counts the attempts of this stage so far, this one included.
	Attempts int
	// Left is the time left to the request.
	Left clock.Millis
	// Need is what this stage and the later ones typically take; 0 if unknown.
	Need clock.Millis
	// HasAlternative tells that an endpoint is left which was not tried.
	HasAlternative bool
}

// Decision says what happens after a failed attempt.
type Decision struct {
	// Retry asks for another attempt, elsewhere.
	Retry bool
	// AvoidZone tells that the next attempt avoids the zone of the failed one:
	// a broken endpoint is often the first sign of a broken rack or zone.
	AvoidZone bool
	// Class of the failure.
	Class Class
	// Reason and Ran are what the caller is told if there is no other attempt.
	Reason fault.Reason
	Ran    fault.Ran
}

// Decide returns what happens after a failed attempt. The budget is touched
// only when a retry is possible and needs it.
func Decide(f Failure, budget *quota.Quota) Decision {
	class := ClassOf(f.Reason)
	d := Decision{Class: class, AvoidZone: class == ClassFailed, Reason: f.Reason, Ran: f.Ran}
	switch {
	case f.Ran != fault.NotRun && !f.Idempotent:
		// The work may have run and must not run twice: the caller is told so.
		if f.Ran == fault.MayHaveRun && class == ClassFailed {
			d.Reason = fault.OutcomeUnknown
		}
	case class == ClassFinal:
	case f.Left <= 0:
		d.Reason = fault.DeadlinePassed
	case f.Left < f.Need:
		d.Reason = fault.WontMakeIt
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
