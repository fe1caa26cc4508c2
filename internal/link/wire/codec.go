package wire

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits on messages from a peer, so that a faulty or hostile peer can't exhaust
// memory before its message is checked. MaxMessage is in bytes.
const (
	MaxMessage      = 4 << 20
	maxNestedLevels = 8
	maxElements     = 1 << 16
)

// DecodeError is returned for bytes that are not a valid frame.
type DecodeError struct {
	Offset int
	Cause  string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("bad frame at byte %d: %s", e.Offset, e.Cause)
}

var (
	decoder = mustDecMode()
	encoder = mustEncMode()
)

// mustEncMode returns an encoder that writes into the caller's buffer, which saves
// one copy for each frame.
func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constants: a failure here is a programming error
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants: a failure here is a programming error
	}
	return mode
}

// Append adds the encoding of a frame to a buffer. A message is a sequence of
// frames, so that one write sends all queued frames.
func Append(buf []byte, frame *Frame) ([]byte, error) {
	target := bytes.NewBuffer(buf)
	if err := encoder.MarshalToBuffer(frame, target); err != nil {
		return buf, err
	}
	return target.Bytes(), nil
}

// Decode calls handle for each frame of a message, in order. It stops at the
// first invalid frame and returns a DecodeError.
func Decode(message []byte, handle func(*Frame)) error {
	rest := message
	for len(rest) > 0 {
		frame := new(Frame)
		next, err := decoder.UnmarshalFirst(rest, frame)
		if err != nil {
			return &DecodeError{Offset: len(message) - len(rest), Cause: err.Error()}
		}
		if !frame.complete() {
			return &DecodeError{Offset: len(message) - len(rest), Cause: "kind and content differ"}
		}
		handle(frame)
		rest = next
	}
	return nil
}

// complete reports whether the field that Kind names is set. It returns true for
// unknown kinds: a newer peer may send them, and the receiver skips them.
func (f *Frame) complete() bool {
	switch f.Kind {
	case KindHello:
		return f.Hello != nil
	case KindCall:
		return f.Call != nil
	case KindRefuse:
		return f.Refuse != nil
	case KindPart:
		return f.Part != nil
	case KindEnd:
		return f.End != nil
	case KindAck:
		return f.Ack != nil
	case KindCancel:
		return f.Cancel != nil
	case KindAsk:
		return f.Ask != nil
	case KindOutcome:
		return f.Outcome != nil
	case KindBeat:
		return f.Beat != nil
	case KindLeave:
		return f.Leave != nil
	case KindFetch:
		return f.Fetch != nil
	case KindSection:
		return f.Section != nil
	default:
		return f.gatewayFrameComplete()
	}
}

// gatewayFrameComplete is complete for the messages between gateways.
func (f *Frame) gatewayFrameComplete() bool {
	switch f.Kind {
	case KindPieces:
		return f.Pieces != nil
	case KindOrigins:
		return f.Origins != nil
	case KindOriginRequest:
		return f.OriginRequest != nil
	case KindOriginAnswer:
		return f.OriginAnswer != nil
	case KindResults:
		return f.Results != nil
	case KindCancelPieces:
		return f.CancelPieces != nil
	case KindUnused:
		return f.Unused != nil
	case KindLoads:
		return f.Loads != nil
	case KindInputsRead:
		return f.InputsRead != nil
	case KindReport, KindGroup, KindTotal:
		return f.Sums != nil
	case KindFollow:
		return f.Follow != nil
	case KindUpdate:
		return f.Update != nil
	default:
		return f.exchangeComplete()
	}
}

// exchangeComplete is complete for the messages between gateways that are sent in pairs of
// a request and its answer.
func (f *Frame) exchangeComplete() bool {
	switch f.Kind {
	case KindPermitRequest:
		return f.PermitRequest != nil
	case KindPermit:
		return f.Permit != nil
	case KindChunkRequest:
		return f.ChunkRequest != nil
	case KindChunk:
		return f.Chunk != nil
	case KindHandover:
		return f.Handover != nil
	case KindHandoverReceipt:
		return f.HandoverReceipt != nil
	default:
		return f.Kind != 0
	}
}
