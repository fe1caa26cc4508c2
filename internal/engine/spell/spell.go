// Package spell separates the product from the wire format of a platform. The
// product uses the types of this package; the adapter of a platform supplies a
// Codec that encodes and decodes them and contains no other logic.
package spell

import (
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Part is one part of a prompt. An engine need not process a part again if it
// still has the part and all parts before it in memory.
type Part struct {
	ID     string
	Tokens int64
}

// RequestInfo is the metadata of a caller's request.
type RequestInfo struct {
	// Request is the id of the caller's attempt.
	Request string
	// Deadline is the time in ms that the caller allows for the answer; 0 if it sets
	// none.
	Deadline clock.Millis
	// Key is the API key, which identifies the organisation.
	Key string
	// LastEvent is the id of the last event that the caller has received.
	LastEvent string
	// Resumes is the id of the attempt that brought the first event of the stream with which
	// the caller goes on; empty if it states none. ResumesFault is the stated value if that is
	// malformed; other services than streams may use the header for something else.
	Resumes      string
	ResumesFault string
	// PromptTokens is the size of the prompt of a generation, OutputTokens the
	// maximum size of its output.
	PromptTokens int64
	OutputTokens int64
	// LikelyTokens is the caller's estimate of the size of the output; 0 if it gives
	// none.
	LikelyTokens int64
	// Model names the weights of the generation; engines keep parts of prompts for each.
	Model string
	// Parts are the parts of the prompt in order. The last one is not shared with
	// other requests.
	Parts []Part
	// Pieces is the number of pieces of each stage.
	Pieces []int
	// PieceKey identifies the input of stages that use no results of other stages.
	PieceKey string
}

// Call is the metadata that the product adds to a forwarded request.
type Call struct {
	Deadline     clock.Millis
	Instance     string
	Organisation string
	// Inputs are the references to the results that a generation reads. HasInputs is
	// set for requests with stages, even if Inputs is empty.
	Inputs    []string
	HasInputs bool
	// LastEvent is the id of the event after which a stream resumes; empty starts at
	// the beginning.
	LastEvent string
	// Urgency is the rank of the request at its engine, where 0 is the most urgent.
	// Negative values are not sent.
	Urgency int
}

// ResponseInfo is the metadata of an endpoint's answer.
type ResponseInfo struct {
	// Request is the id of the attempt that the answer belongs to.
	Request string
	// Sealed is set if the answer carries the endpoint's seal.
	Sealed bool
	// NotRun is set if the endpoint did not run the request and will not run it.
	NotRun bool
	// Instance is the id of the instance that answered.
	Instance string
	// HasLoad is set if the endpoint reported its load: the numbers of running and
	// waiting requests and of slots.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Slowdown is the time that work takes at the endpoint at this moment relative to the
	// usual time: 1 as usual, 0 if the endpoint does not state it.
	// Endpoints that share their hosts state it.
	Slowdown float64
	// LoadFault is the stated load if it is malformed; HasLoad is false then.
	LoadFault string
	// Cold is the time in ms for which the endpoint will still be cold.
	Cold clock.Millis
	// Rate is the number of requests per second that the endpoint accepts from all
	// processes together; 0 if it states none. RateFault is the stated value if that is
	// no positive decimal number; Rate is 0 then.
	Rate      float64
	RateFault string
	// Leaving is set if the endpoint states that it leaves and wants no new requests.
	// LeavingFault is the stated value if that is malformed.
	Leaving      bool
	LeavingFault string
	// Rest is the time in ms in which an endpoint that refuses a request wants no others
	// from this process; 0 if it states none. RestFault is the stated value if that is
	// malformed.
	Rest      clock.Millis
	RestFault string
}

// Piece is one item of a call to a stage engine.
type Piece struct {
	Request string
	Stage   int
	Index   int
	// Left is the time in ms after which the result is useless; 0 if there is no
	// limit.
	Left clock.Millis
	// Key identifies the input of a piece that uses no results of other stages.
	Key    string
	Inputs []string
}

// Failure is the reason why a piece has no result.
type Failure string

// Reasons for a piece without a result.
const (
	// FailedLate means that the time of the piece had run out before it started.
	FailedLate Failure = "late"
	// FailedInput means that an input of the piece no longer exists.
	FailedInput Failure = "inputGone"
	// FailedMemory means that the engine had no memory for the result.
	FailedMemory Failure = "noRoom"
	// FailedWork means that the work itself failed.
	FailedWork Failure = "workFailed"
)

// Result is the outcome of one piece: a reference to its result or a Failure.
type Result struct {
	Reference string
	Failure   Failure
}

// StageReport is the status that a stage engine reports. It is some hundred
// milliseconds old.
type StageReport struct {
	// MinFree and MaxFree are the bounds of the memory that is free for results, in
	// bytes. They differ because reports give whole megabytes.
	MinFree int64
	MaxFree int64
	// Busy is set if the engine is running a call.
	Busy bool
}

// Codec encodes calls to endpoints and decodes their answers.
type Codec struct {
	// ReadyPath is the path at which the platform checks whether this process accepts
	// callers.
	ReadyPath string
	// PiecesPath is the path for calls of pieces to stage engines, FreePath the one
	// for references to results that are no longer needed.
	PiecesPath string
	FreePath   string
	// ReportPath is the path at which an engine serves its report; that of a stage engine holds
	// a StageReport.
	ReportPath string
	// RequestInfoFunc decodes the metadata of a caller's request.
	RequestInfoFunc func(http.Header) (RequestInfo, error)
	// ReservedFunc reports whether only the system may set the header of a canonical
	// name. Such headers of a caller's request are not forwarded.
	ReservedFunc func(name string) bool
	// CallFunc appends the header lines of a call.
	CallFunc func(buf []byte, call *Call) []byte
	// InstanceFunc appends the header line with the expected instance.
	InstanceFunc func(buf []byte, instance string) []byte
	// ResponseInfoFunc decodes the metadata of an answer.
	ResponseInfoFunc func(http.Header) ResponseInfo
	// UnreadFunc returns the names of the fields of an answer that the product does not
	// know.
	UnreadFunc func(http.Header) []string
	// PiecesFunc encodes a call of pieces. ResultsFunc decodes its answer and fails
	// unless it has count results.
	PiecesFunc  func(pieces []Piece) ([]byte, error)
	ResultsFunc func(raw []byte, count int) ([]Result, error)
	// StartFunc decodes when an endpoint started from its report, in milliseconds of the wall
	// clock. It returns false if the report doesn't state it.
	StartFunc func(raw []byte) (startedAt int64, stated bool)
	// ReportFunc decodes the report of a stage engine.
	ReportFunc func(raw []byte) (StageReport, error)
	// FreeFunc encodes references to results that are no longer needed.
	FreeFunc func(references []string) ([]byte, error)
}

// UrgencyOf returns the rank of a generation at its engine, 0 first: by priority, and behind
// the others if it is already late.
func UrgencyOf(priority int, late bool) int {
	const lateRanks, maxRank = 5, 9
	rank := min(max(priority, 0)+1, maxRank)
	if late {
		rank = min(rank+lateRanks, maxRank)
	}
	return rank
}
