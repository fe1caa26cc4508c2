// Package claim makes calls that carry an idempotency key run at most once,
// through whichever entry they come and also after an entry died. A claim is
// an object in the platform, created only if it does not exist before the
// call runs; nothing else is agreed on.
package claim

import (
	"encoding/json"

	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// State is what is known of the call that a claim stands for.
type State string

// States of a claim.
const (
	// Started: its holder may be running the call.
	Started State = "started"
	// NotRun: the call was proved not to have run; the claim may be taken over.
	NotRun State = "notRun"
	// Done: the call ran and was answered.
	Done State = "done"
	// Unknown: the call may have run, and nobody will find out here.
	Unknown State = "unknown"
)

// Record is a claim as it stands in the platform.
type Record struct {
	// Nonce names the holder's one try to claim: after an unknown answer it
	// tells whether the write took effect.
	Nonce string `json:"nonce"`
	// Fingerprint of the call: a key belongs to one call, not to two.
	Fingerprint uint64 `json:"fingerprint"`
	State       State  `json:"state"`
	// Request that holds the claim.
	Request string `json:"request"`
	// UntilMs is when its holder gives up, by its wall clock.
	UntilMs int64 `json:"untilMs"`
	// AtMs is when the claim was made, by its holder's wall clock, for cleaning.
	AtMs int64 `json:"atMs"`
	// Status, ContentType, Digest and, if small, Answer of a call that is done.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Digest      uint64 `json:"digest,omitempty"`
	Answer      []byte `json:"answer,omitempty"`
	// AnswerKept tells that Answer is there.
	AnswerKept bool `json:"whole,omitempty"`
}

// Decode reads a record.
func Decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, err
}

// Event is what the platform answered to the last step.
type Event uint8

// Events.
const (
	// Wrote: the conditional write took effect; Version is set.
	Wrote Event = iota
	// Conflict: the condition did not hold; Current and Version are set.
	Conflict
	// Read: the object was read; Current and Version are set, 0 for none.
	Read
	// Indeterminate: a write may or may not have taken effect, now or later.
	Indeterminate
	// Unavailable: the platform can't be used; the step had no effect.
	Unavailable
)

// Action is what to do next.
type Action uint8

// Things to do next.
const (
	// Write the record if the object is at Version.
	Write Action = iota
	// Lookup reads the object.
	Lookup
	// Run the call: the claim is held at Version.
	Run
	// Replay the kept answer of Current.
	Replay
	// Refuse with Reason and Ran. Ran speaks of the key, not of this try.
	Refuse
)

// Step is what to do next.
type Step struct {
	Action  Action
	Version uint64
	Current Record
	Reason  fault.Reason
	Ran     fault.Ran
	// ClaimMayRemain tells that a claim of ours may stand in the platform although
	// the call won't run.
	ClaimMayRemain bool
}

// maxSteps bounds the calls to the platform for one claim.
const maxSteps = 6

// Claimer is the protocol of one try to claim. It is a value: a copy goes its
// own way, so that a test can follow every interleaving.
type Claimer struct {
	mine    Record
	nowMs   int64
	want    uint64
	unclear bool
	steps   int
}

// NewClaimer returns the protocol for a record at a wall-clock instant.
func NewClaimer(mine Record, nowMs int64) Claimer { return Claimer{mine: mine, nowMs: nowMs} }

// Begin returns the first step: create the object if there is none.
func (c *Claimer) Begin() Step { return Step{Action: Write, Version: 0} }

// Next returns the step after an event.
//
// A write whose answer was lost is followed by a read that looks for the own
// nonce. If the object has not changed, the same write is sent again: it
// carries the same condition and nonce, so at most one of the two takes effect.
func (c *Claimer) Next(event Event, version uint64, current Record) Step {
	c.steps++
	if c.steps >= maxSteps && event != Wrote {
		return c.unavailable()
	}
	switch event {
	case Wrote:
		return Step{Action: Run, Version: version}
	case Conflict:
		return c.judge(version, current)
	case Read:
		if version == c.want {
			return Step{Action: Write, Version: c.want}
		}
		return c.judge(version, current)
	case Indeterminate:
		c.unclear = true
		return Step{Action: Lookup}
	default:
		return c.unavailable()
	}
}

// judge decides on a claim that stands.
func (c *Claimer) judge(version uint64, current Record) Step {
	switch {
	case version == 0:
		// It was there and is gone: cleaned away in between.
		return c.write(0)
	case current.Nonce == c.mine.Nonce:
		return Step{Action: Run, Version: version}
	case current.Fingerprint != c.mine.Fingerprint:
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
		// Its holder died or lost the answer. The call may have run, so it
		// never runs again under this key, however long ago it was.
		return Step{Action: Refuse, Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun}
	}
}

func (c *Claimer) write(version uint64) Step {
	c.want = version
	return Step{Action: Write, Version: version}
}

// unavailable refuses: without the platform nobody can tell whether the key
// ran through another entry. This try has not run, but an earlier one under
// the same key may have, and a caller who read "not run" might take a new key
// and book twice. So it is not said.
func (c *Claimer) unavailable() Step {
	return Step{Action: Refuse, Reason: fault.KeyUnavailable, Ran: fault.MayHaveRun, ClaimMayRemain: c.unclear}
}
