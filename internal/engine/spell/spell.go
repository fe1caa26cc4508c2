// Package spell is the seam between the product and the words that a platform
// uses on the wire. The product says what it means in these types; the adapter
// of a platform fills the function fields of Spelling and decides nothing.
package spell

import (
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Part is one part of a prompt. A part that an engine still has in memory is
// not read again if all parts before it are there too.
type Part struct {
	ID     string
	Tokens int64
}

// RequestInfo is what a caller's request asks for besides its bytes.
type RequestInfo struct {
	// Request identifies the caller's attempt.
	Request string
	// Deadline is how long the caller waits; 0 when it doesn't say.
	Deadline clock.Millis
	// Key that shows which organisation calls.
	Key string
	// LastEvent is the id of the last event that the caller already has.
	LastEvent string
	// PromptTokens and OutputTokens are the size of a generation; the output is
	// the largest that the caller takes.
	PromptTokens int64
	OutputTokens int64
	// LikelyTokens is the caller's estimate of the output, 0 without one.
	LikelyTokens int64
	// Parts of the prompt in order; the last belongs to this request alone.
	Parts []Part
	// Pieces is the number of pieces of each stage.
	Pieces []int
	// PieceKey is what stages without inputs work on.
	PieceKey string
}

// Call is what the product adds to a request that it passes on.
type Call struct {
	Deadline     clock.Millis
	Instance     string
	Organisation string
	// Inputs are the references that a generation reads; WithInputs tells a
	// request without any from one that has no stages.
	Inputs    []string
	HasInputs bool
	// LastEvent is where a stream goes on; empty starts at its beginning.
	LastEvent string
	// Urgency ranks the request at its engine, 0 first; negative says nothing.
	Urgency int
}

// ResponseInfo are what an endpoint says of an answer besides its status.
type ResponseInfo struct {
	// Request is the attempt that the answer belongs to.
	Request string
	// Sealed says that the answer bears the endpoint's seal.
	Sealed bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Instance that answered.
	Instance string
	// HasLoad says that the endpoint told its load: requests that run, requests
	// that wait, and its slots.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Cold is how long the endpoint goes on being cold.
	Cold clock.Millis
}

// Piece is one item of a call to a stage engine.
type Piece struct {
	Request string
	Stage   int
	Index   int
	// Left is the time after which the result is of no use; 0 says nothing.
	Left clock.Millis
	// Key is what a piece without inputs works on.
	Key    string
	Inputs []string
}

// Failure says why a piece has no result.
type Failure string

// Reasons for a piece without a result.
const (
	// FailedLate means that the time of the piece was over at its turn.
	FailedLate Failure = "late"
	// FailedInput means that one of its inputs no longer exists.
	FailedInput Failure = "inputGone"
	// FailedMemory means that the engine had no memory for the result.
	FailedMemory Failure = "noRoom"
	// FailedWork means that the work itself failed.
	FailedWork Failure = "workFailed"
)

// Result is what became of one piece: a reference, or why there is none.
type Result struct {
	Reference string
	Failure   Failure
}

// StageReport is what a stage engine says of itself. It is some hundred
// milliseconds old.
type StageReport struct {
	// MinFree and FreeMost are how many bytes are free for results: reports give
	// whole megabytes.
	MinFree int64
	MaxFree int64
	// Busy says that it works on a call.
	Busy bool
}

// Codec spells calls to endpoints and reads what they answer.
type Codec struct {
	// ReadyPath is where the platform asks whether this process takes callers.
	ReadyPath string
	// PiecesPath and UnusedPath are where stage engines take work, and hear
	// which results nobody needs any more.
	PiecesPath string
	FreePath   string
	// ReportPath is where an engine tells its memory for results.
	ReportPath string
	// RequestInfoFunc reads what a caller asks for.
	RequestInfoFunc func(http.Header) (RequestInfo, error)
	// ReservedFunc reports whether a header, by its canonical name, is the system's
	// to set and is not passed on as the caller sent it.
	ReservedFunc func(name string) bool
	// CallFunc appends the header lines of a call.
	CallFunc func(buf []byte, call *Call) []byte
	// InstanceFunc appends the header line that names the expected instance.
	InstanceFunc func(buf []byte, instance string) []byte
	// ResponseInfoFunc reads the marks of an answer.
	ResponseInfoFunc func(http.Header) ResponseInfo
	// PiecesFunc encodes a call of pieces; ResultsFunc decodes its answer, which
	// must have count results.
	PiecesFunc  func(pieces []Piece) ([]byte, error)
	ResultsFunc func(raw []byte, count int) ([]Result, error)
	// ReportFunc reads the report of a stage engine.
	ReportFunc func(raw []byte) (StageReport, error)
	// FreeFunc encodes references that nobody needs any more.
	FreeFunc func(references []string) ([]byte, error)
}
