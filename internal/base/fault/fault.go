// Package fault holds the typed errors that several packages share: refusals
// that are returned to callers, and invalid values in configuration. Match
// them with errors.As.
package fault

import (
	"fmt"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Ran states whether refused work ran at an endpoint.
type Ran string

// Values of Ran.
const (
	// NotRun means that the work did not run. Only a process that can prove it
	// sets this value.
	NotRun Ran = "notRun"
	// MayHaveRun means that there is no proof that the work did not run.
	MayHaveRun Ran = "mayHaveRun"
	// DidRun means that the work ran, but no complete answer could be returned.
	DidRun Ran = "ran"
)

// Reason is the reason for a refusal. The set of reasons is closed.
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
	RateLimited         Reason = "rateLimited"
	// StreamUnknown and VersionGone refuse to resume a stream: nothing is known of the version
	// that began it, or no endpoint of that version takes requests.
	StreamUnknown Reason = "streamUnknown"
	VersionGone   Reason = "versionGone"
	// ConfigOutdated refuses a request that the configuration denies, because a newer one that
	// allows it may be in force already.
	ConfigOutdated Reason = "configOutdated"
)

// Reasons returns all reasons, for documentation and metrics.
func Reasons() []Reason {
	return []Reason{
		BadRequest, Unauthorized, Forbidden, UnknownService, BodyTooLarge, TooManyOpen, NotReady,
		Isolated, Leaving, ZoneEvacuated, Overloaded, QueueFull, ColdStart, DeadlineUnreachable, DeadlinePassed,
		NoEndpoint, EndpointFailed, AnswerBroken, KeyInUse, KeyDone, KeyUnavailable, OutcomeUnknown,
		Cancelled, RetryBudget, WrongEndpoint, OldRelease, DuplicateFrame, BackendRejected,
		InputLost, UnknownRoute, Quarantined, RateLimited, StreamUnknown, VersionGone, ConfigOutdated,
	}
}

// RefusalError describes refused work: the reason, whether it ran, and after
// how many milliseconds a retry makes sense. A RetryAfter of zero means that no
// such time is known.
type RefusalError struct {
	Reason     Reason
	Ran        Ran
	RetryAfter clock.Millis
	RequestID  string
	Detail     string
	// ByConfig is set if another configuration may allow the request.
	ByConfig bool
	// Evidence tells what the refusal rests on, for the log; callers don't get it.
	Evidence string
}

// LogDetail returns the detail and the evidence.
func (r *RefusalError) LogDetail() string {
	if r.Detail == "" || r.Evidence == "" {
		return r.Detail + r.Evidence
	}
	return r.Detail + "; " + r.Evidence
}

// Error implements error.
func (r *RefusalError) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("refused: %s (%s)", r.Reason, r.Ran)
	}
	return fmt.Sprintf("refused: %s (%s): %s", r.Reason, r.Ran, r.Detail)
}

// Refuse returns a refusal of work that is known not to have run.
func Refuse(reason Reason, detail string) *RefusalError {
	return &RefusalError{Reason: reason, Ran: NotRun, Detail: detail}
}

// Deny returns a refusal of a request that the configuration does not allow.
func Deny(reason Reason, detail string) *RefusalError {
	return &RefusalError{Reason: reason, Ran: NotRun, Detail: detail, ByConfig: true}
}

// IsDenial reports whether the request is refused because the configuration does not allow it.
func (r *RefusalError) IsDenial() bool { return r != nil && r.ByConfig }

// InvalidError is one invalid value in a document, with its path and the values
// that are allowed at that path.
type InvalidError struct {
	Path    string
	Value   string
	Allowed string
}

// Error implements error.
func (i *InvalidError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed; allowed: %s", i.Path, i.Value, i.Allowed)
}

// InvalidListError holds all faults found in one document.
type InvalidListError struct {
	Faults []InvalidError
}

// Error implements error. The text has one line for each fault.
func (l *InvalidListError) Error() string {
	lines := make([]string, 0, len(l.Faults))
	for i := range l.Faults {
		lines = append(lines, l.Faults[i].Error())
	}
	return strings.Join(lines, "\n")
}
