package wire_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// samples returns frames of most kinds, one of each.
func samples() []*wire.Frame {
	id := token.Attempt{Request: "5f", Stage: 1, Try: 2}
	load := &wire.Load{Running: 1, Queued: 2, Limit: 8, Cold: true}
	return []*wire.Frame{
		{Kind: wire.KindHello, Hello: &wire.Hello{Version: wire.Version, Process: "entry-1", Incarnation: 7}},
		{Kind: wire.KindCall, Session: 3, Release: 9, Call: &wire.Call{ID: id, Organisation: "one", TimeLeft: 3000, Body: []byte(`{}`)}},
		{Kind: wire.KindRefuse, Refuse: &wire.Refuse{ID: id, Reason: fault.QueueFull, Ran: fault.NotRun, Load: load}},
		{Kind: wire.KindPart, Part: &wire.Part{ID: id, Offset: 4, Bytes: []byte("token")}},
		{Kind: wire.KindEnd, End: &wire.End{ID: id, Length: 9, Digest: 1 << 63}},
		{Kind: wire.KindAck, Ack: &wire.Ack{ID: id}},
		{Kind: wire.KindCancel, Cancel: &wire.Cancel{ID: id}},
		{Kind: wire.KindAsk, Ask: &wire.Ask{ID: id, Offset: 4}},
		{Kind: wire.KindOutcome, Outcome: &wire.Outcome{ID: id, State: wire.StateRunning}},
		{Kind: wire.KindBeat, Beat: &wire.Beat{Reply: true, Load: load}},
		{Kind: wire.KindLeave, Leave: &wire.Leave{Reason: "leaving"}},
		{Kind: wire.KindFetch, Fetch: &wire.Fetch{Name: "pools"}},
		{Kind: wire.KindSection, Section: &wire.Section{Name: "pools", Found: true, Bytes: []byte("[]")}},
		{Kind: wire.KindPieces, Pieces: &wire.Pieces{CallID: 7, Pool: "rerank", Count: 3, Inputs: []string{"10.0.0.1:80/a"}, TimeLeft: 900}},
		{Kind: wire.KindResults, Results: &wire.Results{CallID: 7, References: []string{"10.0.0.1:80/b"}, Zones: []string{"a"}}},
		{Kind: wire.KindCancelPieces, CancelPieces: &wire.CancelPieces{CallID: 7}},
		{Kind: wire.KindInputsRead, InputsRead: &wire.InputsRead{CallID: 7}},
		{Kind: wire.KindUnused, Unused: &wire.Unused{Pool: "rerank", References: []string{"10.0.0.1:80/a"}, Reclaimable: true}},
		{Kind: wire.KindLoads, Loads: &wire.Loads{
			Endpoints: []wire.EndpointLoad{{Endpoint: "e", Running: 2}}, Pools: []wire.PoolLoad{{Pool: "rerank", Queued: []int{0, 4}}},
			Progress: []wire.Revision{{Kind: "config", Revision: 9}}, Prefixes: []wire.PrefixUse{{Endpoint: "e", Parts: []uint32{7}}},
			Refused: []wire.Refused{{Key: 1 << 63, Age: 900, Wait: 300}},
			Crashes: []wire.Crash{{Key: []byte{1, 2}, Endpoint: "e/1", Cleared: true}},
			Limits:  []wire.EndpointLimit{{Endpoint: "e", StartedAt: 5, Limit: 1.5, SentAge: 30, Age: 10}},
		}},
		{Kind: wire.KindTotal, Sums: &wire.Sums{Whole: true, Speeds: []wire.Speed{{Endpoint: "e", StartedAt: 5, Count: 2.5, TotalMs: 61}}}},
		{Kind: wire.KindPermitRequest, PermitRequest: &wire.PermitRequest{CallID: 3, Known: wire.EndpointLimit{Endpoint: "e", Limit: 0.5}}},
		{Kind: wire.KindPermitRequest, PermitRequest: &wire.PermitRequest{CallID: 4, Known: wire.EndpointLimit{Endpoint: "e"}, Room: &wire.RoomRequest{Holder: "g", Epoch: 7, Seq: 2, HeldTokens: 90, HeldPlaces: 1, WantTokens: 70, WantPlaces: 1, Size: 80, Busy: 900}}},
		{Kind: wire.KindPermit, Permit: &wire.Permit{CallID: 4, Room: &wire.Room{Tokens: 160, Places: 2, Valid: 2000, Wait: 5}}},
		{Kind: wire.KindUpdate, Update: &wire.Update{Kind: "config", Revision: 9, Changed: 9, Packed: &wire.Packed{Digest: "5f", Bytes: 100}}},
		{Kind: wire.KindChunkRequest, ChunkRequest: &wire.ChunkRequest{Digest: "5f", Offset: 32}},
		{Kind: wire.KindChunk, Chunk: &wire.Chunk{Digest: "5f", Offset: 32, Data: []byte("packed")}},
		{Kind: wire.KindHandover, Handover: &wire.Handover{
			CallID: 3, To: 7, Pool: "rerank", Extras: 1500, Engines: []wire.EngineCall{{Endpoint: "e", StartedAt: 5, Left: 120}},
		}},
		{Kind: wire.KindHandoverReceipt, HandoverReceipt: &wire.HandoverReceipt{CallID: 3}},
		{Kind: wire.KindOrigins, Origins: &wire.Origins{Forwarded: true, Origins: []wire.Origin{{Stream: []byte{1, 2}, Endpoint: "e", StartedAt: 5, Version: "v1", Age: 30, Left: 900}}}},
		{Kind: wire.KindOriginRequest, OriginRequest: &wire.OriginRequest{CallID: 3, Stream: []byte{1, 2}}},
		{Kind: wire.KindOriginAnswer, OriginAnswer: &wire.OriginAnswer{CallID: 3, Origin: &wire.Origin{Stream: []byte{1, 2}, Endpoint: "e", Version: "v1"}}},
		{Kind: wire.KindPermit, Permit: &wire.Permit{CallID: 3, Wait: 400, Known: wire.EndpointLimit{Endpoint: "e", Limit: 0.5}}},
	}
}

func encode(t testing.TB, frames ...*wire.Frame) []byte {
	t.Helper()
	var message []byte
	for _, frame := range frames {
		var err error
		message, err = wire.Append(message, frame)
		assert.NilError(t, err)
	}
	return message
}

func decode(message []byte) ([]*wire.Frame, error) {
	var frames []*wire.Frame
	err := wire.Decode(message, func(f *wire.Frame) { frames = append(frames, f) })
	return frames, err
}

func TestFramesOfOneMessageDecodeInOrder(t *testing.T) {
	got, err := decode(encode(t, samples()...))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, samples())
}

// Guards against frames with only part of their fields: when a message is truncated
// in the middle of a frame, the frames before it are decoded and the rest is an error.
func TestTruncatedMessage(t *testing.T) {
	last := encode(t, samples()[1])
	message := append(encode(t, samples()[0]), last...)
	for missing := 1; missing < len(last); missing++ {
		got, err := decode(message[:len(message)-missing])
		var decodeErr *wire.DecodeError
		assert.Assert(t, errors.As(err, &decodeErr), "cut by %d: %v", missing, err)
		assert.Equal(t, len(got), 1)
	}
}

func TestKindAndContentMustAgree(t *testing.T) {
	for name, frame := range map[string]*wire.Frame{
		"call without content": {Kind: wire.KindCall},
		"end with an ack":      {Kind: wire.KindEnd, Ack: &wire.Ack{}},
		"no kind":              {},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode(encode(t, frame))
			assert.ErrorContains(t, err, "kind and content differ")
		})
	}
	got, err := decode(encode(t, &wire.Frame{Kind: 200}))
	assert.NilError(t, err, "a newer peer may send kinds that this build does not know")
	assert.Equal(t, len(got), 1)
}

// Guards against input on which the decoder panics, and against frames that change
// when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, frame := range samples() {
		f.Add(encode(f, frame))
	}
	f.Add(encode(f, samples()...))
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, message []byte) {
		frames, err := decode(message)
		var decodeErr *wire.DecodeError
		assert.Assert(t, err == nil || errors.As(err, &decodeErr))
		again, err := decode(encode(t, frames...))
		assert.NilError(t, err)
		assert.Equal(t, len(again), len(frames))
		assert.DeepEqual(t, encode(t, again...), encode(t, frames...))
	})
}
