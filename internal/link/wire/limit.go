package wire

import "github.com/jujubescale/jujubescale/internal/base/clock"

// EndpointLimit is what an answer of an endpoint said about the request rate that the
// endpoint accepts from all processes together. Its times are relative to the sending of
// the message, because the clocks of processes differ.
type EndpointLimit struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// StartedAt distinguishes two starts of an endpoint under one ID.
	StartedAt int64
	// Limit is in requests per second; 0 if the answer stated none.
	Limit float64
	// SentAge is the time since the request of the answer was sent, Age the time since
	// the answer arrived.
	SentAge clock.Millis
	Age     clock.Millis
}

// Plausible reports whether the values can be those of an answer.
func (l EndpointLimit) Plausible() bool {
	return l.Endpoint != "" && l.Limit >= 0 && l.Age >= 0 && l.SentAge >= l.Age
}

// Aged returns l as of a later instant.
func (l EndpointLimit) Aged(by clock.Millis) EndpointLimit {
	l.SentAge += by
	l.Age += by
	return l
}

// PermitRequest asks the owner of an endpoint whether one request may be sent to the
// endpoint now. Known is what the sender knows of its limit. If Room is set, it asks for a
// lease of capacity instead, and Known only names the endpoint.
type PermitRequest struct {
	CallID uint64        `cbor:"call"`
	Known  EndpointLimit `cbor:"known"`
	Room   *RoomRequest  `cbor:"room,omitempty"`
	// Trial is set if it asks for the trial of parts of a prompt instead. The answer of an older
	// process, which ignores it, has no Trial and counts for nothing.
	Trial *PartTrial `cbor:"trial,omitempty"`
}

// RoomRequest tells the owner of an engine what capacity the sender uses beyond its share, and
// asks for more.
type RoomRequest struct {
	// Holder is the name of the sender, and Epoch distinguishes its runs. Seq grows with
	// each RoomRequest for an engine.
	Holder string `cbor:"holder"`
	Epoch  int64  `cbor:"epoch"`
	Seq    uint64 `cbor:"seq"`
	// HeldTokens and HeldPlaces are in use, WantTokens and WantPlaces are wanted in
	// addition for a request of Size tokens.
	HeldTokens int64 `cbor:"heldTokens,omitempty"`
	HeldPlaces int64 `cbor:"heldPlaces,omitempty"`
	WantTokens int64 `cbor:"wantTokens,omitempty"`
	WantPlaces int64 `cbor:"wantPlaces,omitempty"`
	Size       int64 `cbor:"size,omitempty"`
	// Busy is the time until the last deadline of the requests that run.
	Busy clock.Millis `cbor:"busy,omitempty"`
}

// Room answers a RoomRequest: what is leased in total, for how long from the sending of the
// answer, and the time after which the receiver may ask again if it did not get what it wanted.
type Room struct {
	Tokens int64        `cbor:"tokens,omitempty"`
	Places int64        `cbor:"places,omitempty"`
	Valid  clock.Millis `cbor:"valid,omitempty"`
	Wait   clock.Millis `cbor:"wait,omitempty"`
}

// Permit answers a PermitRequest. If it is not granted, the receiver may ask again after
// Wait. Known is what the sender knows of the limit.
type Permit struct {
	CallID  uint64        `cbor:"call"`
	Granted bool          `cbor:"granted,omitempty"`
	Wait    clock.Millis  `cbor:"wait,omitempty"`
	Known   EndpointLimit `cbor:"known"`
	// Room is set if the request asked for a lease and the sender is the owner.
	Room *Room `cbor:"room,omitempty"`
	// Trial is set in the answer to a request for a trial.
	Trial bool `cbor:"trial,omitempty"`
}
