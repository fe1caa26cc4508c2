// Package wire holds the messages that jujubescale's own processes exchange:
// CBOR frames over one WebSocket session. Field names are camel case; unknown
// fields are ignored and missing ones are zero, so that two neighbouring
// versions can talk during a rolling restart.
package wire

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
)

// Version is the protocol version of this build. A peer of another version
// is refused with a reason.
const Version = 1

// Kind tells which message a Frame carries.
type Kind uint8

// Kinds of messages. The numbers are part of the protocol.
const (
	KindHello        Kind = 1
	KindCall         Kind = 2
	KindRefuse       Kind = 3
	KindPart         Kind = 4
	KindEnd          Kind = 5
	KindAck          Kind = 6
	KindCancel       Kind = 7
	KindAsk          Kind = 8
	KindOutcome      Kind = 9
	KindBeat         Kind = 10
	KindLeave        Kind = 11
	KindFetch        Kind = 12
	KindSection      Kind = 13
	KindPieces       Kind = 14
	KindResults      Kind = 15
	KindCancelPieces Kind = 16
	KindUnused       Kind = 17
	KindLoads        Kind = 18
	KindInputsRead   Kind = 19
	KindReport       Kind = 20
	KindGroup        Kind = 21
	KindTotal        Kind = 22
	KindFollow       Kind = 23
	KindUpdate       Kind = 24
	// KindRenew asks for whole sums on this session; it has no content.
	KindRenew Kind = 25
)

// Frame is one message. Exactly the field that Kind names is set. Release is
// the newest release number the sender has in force: whoever is behind finds
// out on the data path.
type Frame struct {
	Kind         Kind          `cbor:"kind"`
	Session      uint64        `cbor:"session,omitempty"`
	Release      uint64        `cbor:"release,omitempty"`
	Hello        *Hello        `cbor:"hello,omitempty"`
	Call         *Call         `cbor:"call,omitempty"`
	Refuse       *Refuse       `cbor:"refuse,omitempty"`
	Part         *Part         `cbor:"part,omitempty"`
	End          *End          `cbor:"end,omitempty"`
	Ack          *Ack          `cbor:"ack,omitempty"`
	Cancel       *Cancel       `cbor:"cancel,omitempty"`
	Ask          *Ask          `cbor:"ask,omitempty"`
	Outcome      *Outcome      `cbor:"outcome,omitempty"`
	Beat         *Beat         `cbor:"beat,omitempty"`
	Leave        *Leave        `cbor:"leave,omitempty"`
	Fetch        *Fetch        `cbor:"fetch,omitempty"`
	Section      *Section      `cbor:"section,omitempty"`
	Pieces       *Pieces       `cbor:"pieces,omitempty"`
	Results      *Results      `cbor:"made,omitempty"`
	CancelPieces *CancelPieces `cbor:"dropped,omitempty"`
	Unused       *Unused       `cbor:"unused,omitempty"`
	Loads        *Loads        `cbor:"loads,omitempty"`
	InputsRead   *InputsRead   `cbor:"fetched,omitempty"`
	Sums         *Sums         `cbor:"sums,omitempty"`
	Follow       *Follow       `cbor:"follow,omitempty"`
	Update       *Update       `cbor:"update,omitempty"`
}

// Hello opens a session in both directions.
type Hello struct {
	Version          int               `cbor:"version"`
	Process          string            `cbor:"process"`
	Incarnation      token.Incarnation `cbor:"incarnation"`
	Role             string            `cbor:"role"`
	Host             string            `cbor:"host,omitempty"`
	AvailabilityZone string            `cbor:"availabilityZone,omitempty"`
	Pool             string            `cbor:"pool,omitempty"`
	Endpoint         string            `cbor:"endpoint,omitempty"`
	Load             *Load             `cbor:"load,omitempty"`
	Leaving          bool              `cbor:"leaving,omitempty"`
	// Capacity is what a gateway may use of its host, in cores.
	Capacity float64 `cbor:"capacity,omitempty"`
	// Relays says that a gateway takes reports and passes sums on. One of the
	// version before tells its loads to each peer and hears them from each.
	Relays bool `cbor:"relays,omitempty"`
}

// Call asks an agent to run one attempt of one stage. TimeLeft is a span
// because clocks of hosts differ; each hop subtracts its own time.
type Call struct {
	ID           token.Attempt     `cbor:"id"`
	Organisation string            `cbor:"organisation"`
	Priority     int               `cbor:"priority,omitempty"`
	Cost         int64             `cbor:"cost,omitempty"`
	Idempotent   bool              `cbor:"idempotent,omitempty"`
	Key          string            `cbor:"key,omitempty"`
	TimeLeft     clock.Millis      `cbor:"timeLeft"`
	Stream       bool              `cbor:"stream,omitempty"`
	Model        string            `cbor:"model,omitempty"`
	Method       string            `cbor:"method,omitempty"`
	Path         string            `cbor:"path,omitempty"`
	Endpoint     string            `cbor:"endpoint,omitempty"`
	Target       token.Incarnation `cbor:"target,omitempty"`
	Body         []byte            `cbor:"body,omitempty"`
}

// Refuse says that an attempt gets no answer. It is the only message that may
// say notRun; the agent has fenced the attempt before it sends this.
type Refuse struct {
	ID         token.Attempt `cbor:"id"`
	Reason     fault.Reason  `cbor:"reason"`
	Ran        fault.Ran     `cbor:"ran"`
	RetryAfter clock.Millis  `cbor:"retryAfter,omitempty"`
	Detail     string        `cbor:"detail,omitempty"`
	Status     int           `cbor:"status,omitempty"`
	EngineTime clock.Millis  `cbor:"engineTime,omitempty"`
	Load       *Load         `cbor:"load,omitempty"`
}

// Part carries bytes of an answer from Offset on. A part that arrives twice is
// harmless because of its offset.
type Part struct {
	ID     token.Attempt `cbor:"id"`
	Offset int64         `cbor:"offset"`
	Bytes  []byte        `cbor:"bytes"`
}

// End closes an answer. An answer without its End is not whole. Digest is the
// xxhash of all bytes.
type End struct {
	ID          token.Attempt `cbor:"id"`
	Length      int64         `cbor:"length"`
	Digest      uint64        `cbor:"digest"`
	Status      int           `cbor:"status,omitempty"`
	ContentType string        `cbor:"contentType,omitempty"`
	EngineTime  clock.Millis  `cbor:"engineTime,omitempty"`
	Tokens      int64         `cbor:"tokens,omitempty"`
	Load        *Load         `cbor:"load,omitempty"`
}

// Ack lets the agent forget a finished attempt.
type Ack struct {
	ID token.Attempt `cbor:"id"`
}

// Cancel withdraws an attempt; the agent stops the engine.
type Cancel struct {
	ID     token.Attempt `cbor:"id"`
	Reason string        `cbor:"reason,omitempty"`
}

// Ask requests the outcome of an attempt after silence, and the bytes of its
// answer from Offset on.
type Ask struct {
	ID     token.Attempt     `cbor:"id"`
	Target token.Incarnation `cbor:"target,omitempty"`
	Offset int64             `cbor:"offset"`
}

// State is what an agent knows about an attempt.
type State string

// States of an attempt in an Outcome.
const (
	StateQueued  State = "queued"
	StateRunning State = "running"
	StateEnded   State = "ended"
	StateRefused State = "refused"
	StateUnknown State = "unknown"
)

// Outcome answers an Ask. Parts and the End or Refuse follow where they exist.
type Outcome struct {
	ID    token.Attempt `cbor:"id"`
	State State         `cbor:"state"`
}

// Load is what an agent says of its endpoint.
type Load struct {
	Running int   `cbor:"running"`
	Queued  int   `cbor:"queued"`
	Limit   int   `cbor:"limit"`
	Cold    bool  `cbor:"cold,omitempty"`
	Cost    int64 `cbor:"cost,omitempty"`
	// ServiceTime is the recent typical service time.
	ServiceTime clock.Millis `cbor:"serviceTime,omitempty"`
	// PrefixEpoch changes whenever the endpoint's prefix cache was lost.
	PrefixEpoch uint64 `cbor:"prefixEpoch,omitempty"`
}

// Beat keeps a session known to be alive and carries the load when idle.
type Beat struct {
	Reply bool `cbor:"reply,omitempty"`
	// Mark comes back in the reply, to tell which heartbeat it answers.
	Mark uint64 `cbor:"mark,omitempty"`
	Load *Load  `cbor:"load,omitempty"`
	// Outside is how long ago the sender heard from outside its availability
	// zone, plus one; 0 says nothing.
	Outside clock.Millis `cbor:"outside,omitempty"`
}

// Leave says that the sender takes no new work from now on.
type Leave struct {
	Reason  string `cbor:"reason"`
	Resumed bool   `cbor:"back,omitempty"`
	// Closing says that the sender ends: the peer closes the session once it has
	// nothing in flight there. A call that it sent just then would otherwise
	// meet a process that no longer reads, and nobody could say whether it ran.
	Closing bool `cbor:"closing,omitempty"`
}

// Fetch asks a peer for a section of the configuration in force; an empty
// name asks for the head object.
type Fetch struct {
	Name   string `cbor:"name"`
	Digest uint64 `cbor:"digest,omitempty"`
}

// Section carries one section of the configuration, the head, or the part that
// an agent needs. Bytes is empty when the asker's Digest is still right.
type Section struct {
	Name   string `cbor:"name"`
	Digest uint64 `cbor:"digest,omitempty"`
	// Release that the content belongs to. The Frame's number may already be
	// a newer one.
	Release uint64 `cbor:"release,omitempty"`
	Found   bool   `cbor:"found"`
	Bytes   []byte `cbor:"bytes,omitempty"`
}

// Pieces asks the owner of a pool for the pieces of one stage of one request.
type Pieces struct {
	// CallID names the call on this session.
	CallID  uint64   `cbor:"ticket"`
	Pool    string   `cbor:"pool"`
	Request string   `cbor:"request"`
	Stage   int      `cbor:"stage"`
	Count   int      `cbor:"count"`
	Key     string   `cbor:"key,omitempty"`
	Inputs  []string `cbor:"inputs,omitempty"`
	// TimeLeft is the span after which the results are of no use, Slack the span
	// within which they are wanted, and Penalty what puts the request behind
	// others; all in milliseconds.
	TimeLeft clock.Millis `cbor:"timeLeft"`
	Slack    clock.Millis `cbor:"slack"`
	Penalty  clock.Millis `cbor:"penalty,omitempty"`
	// Bytes of one result.
	Bytes int64 `cbor:"bytes,omitempty"`
	// Zone where the results are best made, and how long to wait for an engine
	// there, in milliseconds; Firm says to wait also when much else waits.
	Zone          string       `cbor:"zone,omitempty"`
	Hold          clock.Millis `cbor:"hold,omitempty"`
	HoldUnderLoad bool         `cbor:"firm,omitempty"`
}

// Results answers Pieces: a reference for each piece, and the endpoint and the
// availability zone it lies in, or why there are none.
type Results struct {
	CallID     uint64       `cbor:"ticket"`
	References []string     `cbor:"references,omitempty"`
	Endpoints  []string     `cbor:"endpoints,omitempty"`
	Zones      []string     `cbor:"zones,omitempty"`
	Reason     fault.Reason `cbor:"reason,omitempty"`
	// RetryAfter is when another try may go better, in milliseconds.
	RetryAfter clock.Millis `cbor:"retryAfter,omitempty"`
}

// InputsRead tells that all pieces have read their inputs; Made follows.
type InputsRead struct {
	CallID uint64 `cbor:"ticket"`
}

// CancelPieces withdraws Pieces, because the request ended.
type CancelPieces struct {
	CallID uint64 `cbor:"ticket"`
}

// Unused gives results back that nobody needs any more.
type Unused struct {
	Pool       string   `cbor:"pool"`
	References []string `cbor:"references"`
	// Endpoints where they lie: the owner of the pool may have changed since
	// they were made, and the new one knows nothing of them.
	Endpoints []string `cbor:"endpoints"`
	// Bytes is the size of each, which a new owner doesn't know either.
	Bytes []int64 `cbor:"bytes,omitempty"`
	// Reclaimable says that they are needed again only if a stage fails: their memory
	// is used for something else when it is short. That holds after Delay, in
	// milliseconds.
	Reclaimable bool         `cbor:"spare,omitempty"`
	Delay       clock.Millis `cbor:"delay,omitempty"`
}

// Loads tells peers what the sender has running at endpoints, and how long
// work waits in the pools that it owns. Each message replaces the one before.
type Loads struct {
	// Leaving says that the sender may not own pools, or not yet. It repeats what
	// hello and leave said: either may cross the moment in which a session begins.
	Leaving   bool           `cbor:"leaving,omitempty"`
	Endpoints []EndpointLoad `cbor:"endpoints,omitempty"`
	Pools     []PoolLoad     `cbor:"pools,omitempty"`
	// Progress are the revisions of the changes that the sender noticed last, by kind
	// of object, so that one process that reads the store early tells all others.
	Progress []Revision `cbor:"seen,omitempty"`
	// PendingArrivals is the pieces that requests of the sender will ask for, by pool.
	PendingArrivals []PendingArrivals `cbor:"coming,omitempty"`
	// Prefixes are those used since the message before.
	Prefixes []PrefixUse `cbor:"uses,omitempty"`
	// Refused are the callers told to come back since the message before.
	Refused []Refused `cbor:"refused,omitempty"`
	// Crashes are those learned of since the message before.
	Crashes []Crash `cbor:"crashes,omitempty"`
	// Interest names the endpoints that the sender uses normally.
	Interest []string `cbor:"interest,omitempty"`
	// Trials are what the sender has counted in rollouts that run.
	Trials []Trial `cbor:"trials,omitempty"`
}

// Refused is a caller that was told to come back. Processes' clocks differ, so
// that it holds spans until the message was sent, in milliseconds.
type Refused struct {
	Key uint64 `cbor:"key"`
	// Age of its first attempt, and the Wait that is left until it may return.
	Age  clock.Millis `cbor:"age"`
	Wait clock.Millis `cbor:"wait"`
}

// Crash says that an endpoint crashed while it worked on a request, or, if Cleared
// is set, that the request was answered; see crash.Report.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Key      []byte
	Endpoint string
	Cleared  bool
}

// PendingArrivals is the pieces that will be asked for in one pool, by class of rank.
type PendingArrivals struct {
	Pool   string `cbor:"pool"`
	Pieces []int  `cbor:"pieces"`
}

// Revision is how far changes of one kind of object were noticed.
type Revision struct {
	Kind     string `cbor:"kind"`
	Revision uint64 `cbor:"revision"`
}

// EndpointLoad is the sender's work at one endpoint.
type EndpointLoad struct {
	Endpoint string `cbor:"endpoint"`
	Running  int64  `cbor:"running,omitempty"`
	// Prefill is prompt tokens not yet read, Memory the tokens of all that runs,
	// Planned the prompt tokens of requests that will be sent there soon.
	Prefill int64 `cbor:"prefill,omitempty"`
	Memory  int64 `cbor:"memory,omitempty"`
	Planned int64 `cbor:"planned,omitempty"`
}

// PrefixUse tells that a prompt with these shared parts was sent to an endpoint.
type PrefixUse struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Parts holds a hash of each part's id: there is a use for each generation of the
	// whole fleet, and two ids that fall together only make a hint wrong.
	Parts []uint32
}

// PoolLoad is the queue of one pool at its owner.
type PoolLoad struct {
	Pool string `cbor:"pool"`
	// Waiting pieces by class of rank; Engines that take calls, and those that
	// have none.
	Waiting []int `cbor:"waiting,omitempty"`
	Engines int   `cbor:"engines,omitempty"`
	Free    int   `cbor:"free,omitempty"`
	// Fill is how many pieces a call holds when more wait.
	Fill float64 `cbor:"fill,omitempty"`
	// Age is how long ago its owner said so, in milliseconds, when it was passed on.
	Age clock.Millis `cbor:"age,omitempty"`
}
