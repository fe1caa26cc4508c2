package wire

import "github.com/jujubescale/jujubescale/internal/base/clock"

// PartReport reports that an engine crashed under a part of a prompt or answered it; see
// blame.Report.
type PartReport struct {
	// Key is the key of the part, and ID its ID in the prompt.
	Key []byte `cbor:"key"`
	ID  string `cbor:"id,omitempty"`
	// Version is the software version of the engine, and Engine its run.
	Version string `cbor:"version,omitempty"`
	Engine  string `cbor:"engine,omitempty"`
	// Answer is a blame.Answer, 0 for a crash.
	Answer uint8 `cbor:"answer,omitempty"`
	Alone  bool  `cbor:"alone,omitempty"`
	Proven bool  `cbor:"proven,omitempty"`
	// State is set if the report repeats all that is known.
	State *PartState `cbor:"state,omitempty"`
}

// PartState is the evidence against a part; see blame.State.
type PartState struct {
	Engines  []string     `cbor:"engines"`
	Separate int          `cbor:"separate"`
	Episodes int          `cbor:"episodes"`
	Alone    int          `cbor:"alone,omitempty"`
	Age      clock.Millis `cbor:"age"`
}

// PartTrial asks the owner of the first of these parts whether one request may be sent to an
// engine of a version to find out whether they still crash engines.
type PartTrial struct {
	Keys    [][]byte `cbor:"keys"`
	Version string   `cbor:"version,omitempty"`
}
