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
// endpoint now. Known is what the sender knows of its limit.
type PermitRequest struct {
	CallID uint64        `cbor:"call"`
	Known  EndpointLimit `cbor:"known"`
}

// Permit answers a PermitRequest. If it is not granted, the receiver may ask again after
// Wait. Known is what the sender knows of the limit.
type Permit struct {
	CallID  uint64        `cbor:"call"`
	Granted bool          `cbor:"granted,omitempty"`
	Wait    clock.Millis  `cbor:"wait,omitempty"`
	Known   EndpointLimit `cbor:"known"`
}
