// Package fault holds the typed errors that cross package borders: the
// refusals a caller sees and the faults found in configuration. Match them
// with errors.As.
package fault

import (
	"fmt"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Ran says whether the refused work may have run at an endpoint.
type Ran string

// The three things that can be known about refused work.
const (
	// NotRun is said only by the process that can prove it.
	NotRun Ran = "notRun"
	// MayHaveRun is said whenever no proof exists.
	MayHaveRun Ran = "mayHaveRun"
	// DidRun means that the work ran and its answer could not be given whole.
	DidRun Ran = "ran"
)

// Reason is the closed set of reasons for a refusal.
type Reason string

// Reasons for a refusal. docs/CALLERS.md lists each with its HTTP status.
const (
	BadRequest          Reason = "badRequest"
	Unauthorized        Reason = "unauthorized"
	Forbidden           Reason = "forbidden"
	UnknownService      Reason = "unknownService"
	BodyTooLarge        Reason = "bodyTooLarge"
	TooManyOpen         Reason = "tooManyOpen"
	NotReady            Reason = "notReady"
	Isolated            Reason = "isolated"
	Leaving             Reason = "leaving"
	ZoneEvacuated       Reason = "zoneLeft"
	Overloaded          Reason = "overloaded"
	QueueFull           Reason = "queueFull"
	ColdStart           Reason = "coldStart"
	DeadlineUnreachable Reason = "wontMakeIt"
	DeadlinePassed      Reason = "deadlinePassed"
	NoEndpoint          Reason = "noEndpoint"
	EndpointFailed      Reason = "endpointFailed"
	AnswerBroken        Reason = "answerBroken"
	KeyInUse            Reason = "keyInUse"
	KeyDone             Reason = "keyDone"
	KeyUnavailable      Reason = "keyUnavailable"
	OutcomeUnknown      Reason = "outcomeUnknown"
	Cancelled           Reason = "cancelled"
	RetryBudget         Reason = "retryBudget"
	WrongEndpoint       Reason = "wrongEndpoint"
	OldRelease          Reason = "oldRelease"
	DuplicateFrame      Reason = "doubledFrame"
	BackendRejected     Reason = "backendRejected"
	InputLost           Reason = "inputGone"
	UnknownRoute        Reason = "unknownRoute"
	Quarantined         Reason = "quarantined"
)

// Reasons returns every reason, for documentation and metrics.
func Reasons() []Reason {
	return []Reason{
		BadRequest, Unauthorized, Forbidden, UnknownService, BodyTooLarge, TooManyOpen, NotReady,
		Isolated, Leaving, ZoneEvacuated, Overloaded, QueueFull, ColdStart, DeadlineUnreachable, DeadlinePassed,
		NoEndpoint, EndpointFailed, AnswerBroken, KeyInUse, KeyDone, KeyUnavailable, OutcomeUnknown,
		Cancelled, RetryBudget, WrongEndpoint, OldRelease, DuplicateFrame, BackendRejected,
		InputLost, UnknownRoute, Quarantined,
	}
}

// RefusalError says why work was not answered, whether it ran, and when to come
// back. RetryAfter is in milliseconds; zero means that no time is known.
type RefusalError struct {
	Reason     Reason
	Ran        Ran
	RetryAfter clock.Millis
	RequestID  string
	Detail     string
}

// Error implements error.
func (r *RefusalError) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("refused: %s (%s)", r.Reason, r.Ran)
	}
	return fmt.Sprintf("refused: %s (%s): %s", r.Reason, r.Ran, r.Detail)
}

// Refuse returns a refusal of work that provably did not run.
func Refuse(reason Reason, detail string) *RefusalError {
	return &RefusalError{Reason: reason, Ran: NotRun, Detail: detail}
}

// InvalidError is one fault in a document: where, what stands there, and what is
// allowed there.
type InvalidError struct {
	Path    string
	Value   string
	Allowed string
}

// Error implements error.
func (i *InvalidError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed; allowed: %s", i.Path, i.Value, i.Allowed)
}

// InvalidListError is every fault found in one document.
type InvalidListError struct {
	Faults []InvalidError
}

// Error implements error with one line a fault.
func (l *InvalidListError) Error() string {
	lines := make([]string, 0, len(l.Faults))
	for i := range l.Faults {
		lines = append(lines, l.Faults[i].Error())
	}
	return strings.Join(lines, "\n")
}
