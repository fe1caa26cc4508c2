package wire

import "github.com/jujubescale/jujubescale/internal/base/clock"

// Origin tells which endpoint sent the first event of a stream. Its times are relative to the
// sending of the message, because the clocks of processes differ.
type Origin struct {
	_ struct{} `cbor:",toarray"`
	// Stream is the key of the stream, 16 bytes.
	Stream   []byte
	Endpoint string
	// StartedAt distinguishes two starts of an endpoint under one ID.
	StartedAt int64
	// Version is the software version of the endpoint, "" if it is unknown.
	Version string
	// Age is the time since the first event, and Left the time for which the origin is kept.
	Age  clock.Millis
	Left clock.Millis
	// Contradictory is set if the sender was told different versions for the stream.
	Contradictory bool
}

// Origins holds origins for the processes that keep them. A process sends them to its
// aggregator, which forwards each to its keepers. A process that has Hello.Origins set uses
// them.
type Origins struct {
	// Forwarded is set if the receiver is to keep the origins itself.
	Forwarded bool     `cbor:"forwarded,omitempty"`
	Origins   []Origin `cbor:"origins"`
	// Lasting lists the indexes of the origins that are to be written to the platform's store, which
	// outlives all processes: by the receiver if Forwarded is set.
	Lasting []int `cbor:"lasting,omitempty"`
	// Parts is the number of messages of a handover, 0 for other origins. They have the same
	// HandoverID and arrive in any order. One of them holds the histories of processes that have
	// stopped, the sender first, which count once all parts have arrived.
	Parts      int              `cbor:"parts,omitempty"`
	HandoverID uint64           `cbor:"handover,omitempty"`
	Handovers  []OriginHandover `cbor:"handovers,omitempty"`
}

// OriginHandover is the history of a process that has handed its origins over to the keepers among
// Next. Its times are relative to the sending of the message.
type OriginHandover struct {
	Process string       `cbor:"process"`
	Age     clock.Millis `cbor:"age,omitempty"`
	Views   []OriginView `cbor:"views,omitempty"`
	Next    []string     `cbor:"next,omitempty"`
}

// OriginView lists the processes that may keep origins from a time before the message on.
type OriginView struct {
	Age   clock.Millis `cbor:"age,omitempty"`
	Names []string     `cbor:"names"`
}

// OriginRequest asks for the origin of a stream. A process that has Hello.Origins set
// answers it.
type OriginRequest struct {
	CallID uint64 `cbor:"call"`
	Stream []byte `cbor:"stream"`
	// Search is set if the receiver is to ask the processes that keep the origin.
	Search bool `cbor:"search,omitempty"`
}

// OriginAnswer answers an OriginRequest. Origin is nil if the sender doesn't know it.
type OriginAnswer struct {
	CallID uint64  `cbor:"call"`
	Origin *Origin `cbor:"origin,omitempty"`
	// Complete is set if all processes that were asked have answered.
	Complete bool `cbor:"complete,omitempty"`
	// Kept is for how long the sender has kept the origins of all streams with the key, 0 if it
	// doesn't keep them.
	Kept clock.Millis `cbor:"kept,omitempty"`
	// Loading is set while the sender reads from the platform's store what was kept before it
	// started, and may know the origin soon.
	Loading bool `cbor:"loading,omitempty"`
}
