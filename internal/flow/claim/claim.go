// Package claim ensures that calls with the same idempotency key run at most
// once, even if they arrive at different entries or an entry crashes. A claim is
// an object in the platform's store. An entry creates it, if it does not exist,
// before it runs the call; entries need no other coordination.
package claim

import (
	"encoding/json"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// State is what is known about the call of a claim.
type State string

// States of a claim.
const (
	// Started means that the holder may be running the call.
	Started State = "started"
	// NotRun means that the call did not run; another call can take the claim over.
	NotRun State = "notRun"
	// Done means that the call ran and was answered.
	Done State = "done"
	// Unknown means that the call may have run and that this can't be found out.
	Unknown State = "unknown"
)

// Record is the stored form of a claim.
type Record struct {
	// Nonce identifies one attempt to create the claim. It shows whether a write
	// that got no answer took effect.
	Nonce string `json:"nonce"`
	// Fingerprint of the call. A key is valid for one call only.
	Fingerprint uint64 `json:"fingerprint"`
	State       State  `json:"state"`
	// Request is the ID of the request that created the claim.
	Request string `json:"request"`
	// UntilMs is the time from which the holder is presumed to have ended, by its
	// own wall clock.
	UntilMs int64 `json:"untilMs"`
	// AtMs is the time at which the claim was created, by its holder's wall clock.
	// Sweep deletes claims by it.
	AtMs int64 `json:"atMs"`
	// Status, ContentType and Digest describe the answer of a call that is done.
	// Answer is its body, unless it is longer than MaxAnswerBytes.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Digest      uint64 `json:"digest,omitempty"`
	Answer      []byte `json:"answer,omitempty"`
	// AnswerKept is true if Answer is set; an answer may be empty.
	AnswerKept bool `json:"whole,omitempty"`
}

// Decode parses a stored record.
func Decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, err
}

// Event is the result of a step.
type Event uint8

// Results of steps.
const (
	// Wrote means that the conditional write took effect. It comes with a version.
	Wrote Event = iota
	// Conflict means that the condition of the write did not hold. It comes with
	// the current record and version.
	Conflict
	// Read means that the object was read. It comes with the current record and
	// version; version 0 means that the object does not exist.
	Read
	// Indeterminate means that the write may have taken effect or may still do so.
	Indeterminate
	// Unavailable means that the platform could not be used. The step had no
	// effect.
	Unavailable
)

// Action is the kind of a step.
type Action uint8

// Actions.
const (
	// Write writes the record if the object is at Version.
	Write Action = iota
	// Lookup reads the object.
	Lookup
	// Run starts the call: the claim is held at Version.
	Run
	// Replay sends the stored answer in Current.
	Replay
	// Refuse refuses the call with Reason and Ran. Ran is about all calls with the
	// key, not only this one.
	Refuse
)

// Step is what the caller of a Claimer has to do next.
type Step struct {
	Action  Action
	Version store.Revision
	Current Record
	Reason  fault.Reason
	Ran     fault.Ran
	// ClaimMayRemain is true if this attempt's claim may be stored although the
	// call won't run.
	ClaimMayRemain bool
}

// maxSteps limits the calls to the platform for one claim.
const maxSteps = 6

// Claimer is the state machine of one attempt to claim a key. It is a plain value,
// so that a test can copy it and explore every interleaving.
type Claimer struct {
	record        Record
	nowMs         int64
	expected      store.Revision
	indeterminate bool
	steps         int
}

// NewClaimer returns a claimer that tries to store record. nowMs is the wall-clock
// time in milliseconds.
func NewClaimer(record Record, nowMs int64) Claimer { return Claimer{record: record, nowMs: nowMs} }

// Begin returns the first step: create the object if it does not exist.
func (c *Claimer) Begin() Step { return Step{Action: Write, Version: store.Revision{}} }

// Next returns the step after an event.
//
// After a write without an answer, the next step reads the object to look for the
// nonce of this attempt. If the object has not changed, the same write is sent
// again. Both writes have the same condition and nonce, so that at most one of
// them takes effect.
func (c *Claimer) Next(event Event, version store.Revision, current Record) Step {
	c.steps++
	if c.steps >= maxSteps && event != Wrote {
		return c.refuseUnavailable()
	}
	switch event {
	case Wrote:
		return Step{Action: Run, Version: version}
	case Conflict:
		return c.decide(version, current)
	case Read:
		if version == c.expected {
			return Step{Action: Write, Version: c.expected}
		}
		return c.decide(version, current)
	case Indeterminate:
		c.indeterminate = true
		return Step{Action: Lookup}
	default:
		return c.refuseUnavailable()
	}
}

// decide returns the step for the stored claim.
func (c *Claimer) decide(version store.Revision, current Record) Step {
	switch {
	case version.IsZero():
		// The object existed and was deleted by a sweep since.
		return c.write(store.Revision{})
	case current.Nonce == c.record.Nonce:
		return Step{Action: Run, Version: version}
	case current.Fingerprint != c.record.Fingerprint:
		return Step{Action: Refuse, Reason: fault.BadRequest, Ran: fault.MayHaveRun}
	case current.State == NotRun:
		return c.write(version)
	case current.State == Done && current.AnswerKept:
		return Step{Action: Replay, Version: version, Current: current}
	case current.State == Done:
		return Step{Action: Refuse, Reason: fault.KeyDone, Ran: fault.DidRun}
	case current.State == Started && c.nowMs <= current.UntilMs:
		return Step{Action: Refuse, Reason: fault.KeyInUse, Ran: fault.MayHaveRun}
	default:
		// The holder crashed or got no answer. The call may have run, so no call
		// with this key runs again, however old the claim is.
		return Step{Action: Refuse, Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun}
	}
}

func (c *Claimer) write(version store.Revision) Step {
	c.expected = version
	return Step{Action: Write, Version: version}
}

// refuseUnavailable returns a refusal. Without the platform it is unknown whether
// another entry has run a call with the key. This call has not run, but Ran is
// MayHaveRun because an earlier call with the key may have: after NotRun a caller
// might use a new key, and the work would be done twice.
func (c *Claimer) refuseUnavailable() Step {
	return Step{Action: Refuse, Reason: fault.KeyUnavailable, Ran: fault.MayHaveRun, ClaimMayRemain: c.indeterminate}
}
