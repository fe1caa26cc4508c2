package wire

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
)

// Handover tells the successor of an owner that stops in order what it takes over with one
// pool or shard. A process that has Hello.Handovers set answers it with a HandoverReceipt.
type Handover struct {
	CallID uint64 `cbor:"call"`
	// To is the incarnation of the process that the message is for.
	To   token.Incarnation `cbor:"to"`
	Pool string            `cbor:"pool"`
	// Engines holds the engines that still work for the sender.
	Engines []EngineCall `cbor:"engines,omitempty"`
	// Extras is the retry budget that is left, in thousandths of a retry. The sender has
	// none from then on.
	Extras int64 `cbor:"extras,omitempty"`
}

// EngineCall is an engine that still works for the previous owner of its pool.
type EngineCall struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// StartedAt distinguishes two starts of an endpoint under one ID.
	StartedAt int64
	// Left is the time, from the sending of the message, in which the engine gets no call
	// of another process.
	Left clock.Millis
}

// HandoverReceipt answers a Handover, whether its content was used or not.
type HandoverReceipt struct {
	CallID uint64 `cbor:"call"`
}
