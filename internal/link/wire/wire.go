// Package wire defines the messages between jujubescale's own processes: CBOR
// frames over one WebSocket session. Field names are camel case. Unknown fields
// are ignored and missing fields are zero, so that two consecutive versions can
// communicate during a rolling restart.
package wire

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/epoch"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
)

// Version is the protocol version of this build. A session with a peer of
// another version is refused with a reason.
const Version = 1

// Kind is the type of the message in a Frame.
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
	// KindRenew requests that the peer send a full message of sums on this session. It
	// has no content.
	KindRenew         Kind = 25
	KindPermitRequest Kind = 26
	KindPermit        Kind = 27
	KindChunkRequest  Kind = 28
	KindChunk         Kind = 29
	// KindHandover and KindHandoverReceipt are ignored by older processes.
	KindHandover        Kind = 30
	KindHandoverReceipt Kind = 31
	// KindOrigins, KindOriginRequest and KindOriginAnswer are ignored by older processes.
	KindOrigins       Kind = 32
	KindOriginRequest Kind = 33
	KindOriginAnswer  Kind = 34
)

// Frame is one message. Only the field that Kind names is set. Release is the
// number of the newest release in force at the sender, so that a receiver with an
// older release detects this from any message.
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
	// PermitRequest and Permit are sent on the session that the requester opened.
	PermitRequest *PermitRequest `cbor:"permitRequest,omitempty"`
	Permit        *Permit        `cbor:"permit,omitempty"`
	// ChunkRequest and Chunk are sent on the session that the requester opened.
	ChunkRequest *ChunkRequest `cbor:"chunkRequest,omitempty"`
	Chunk        *Chunk        `cbor:"chunk,omitempty"`
	// Handover and HandoverReceipt are sent on the session that the sender of the handover
	// opened.
	Handover        *Handover        `cbor:"handover,omitempty"`
	HandoverReceipt *HandoverReceipt `cbor:"handoverReceipt,omitempty"`
	// Origins is sent on any session, OriginRequest and OriginAnswer on the one that the
	// requester opened.
	Origins       *Origins       `cbor:"origins,omitempty"`
	OriginRequest *OriginRequest `cbor:"originRequest,omitempty"`
	OriginAnswer  *OriginAnswer  `cbor:"originAnswer,omitempty"`
	// Stamp is set in frames that state an age. Transit is the time in milliseconds that
	// such a frame was on its way; the session that receives it sets it.
	Stamp   *Stamp       `cbor:"stamp,omitempty"`
	Transit clock.Millis `cbor:"-"`
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
	// Capacity is the number of processor cores of its host that a gateway may use.
	Capacity float64 `cbor:"capacity,omitempty"`
	// Relays is set by a gateway that accepts reports and forwards sums. A gateway
	// of the previous version exchanges its loads with each peer instead.
	Relays bool `cbor:"relays,omitempty"`
	// Chunks is set by a gateway that requests the objects of large updates in chunks.
	Chunks bool `cbor:"chunks,omitempty"`
	// Handovers is set by a gateway that uses and answers handovers.
	Handovers bool `cbor:"handovers,omitempty"`
	// Origins is set by a gateway that keeps and forwards the origins of streams.
	Origins bool `cbor:"origins,omitempty"`
}

// Call requests that an agent run one attempt of one stage. TimeLeft is a duration and
// not an instant because the clocks of hosts differ; each hop subtracts the time
// that it has taken.
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

// Refuse ends an attempt without an answer. It is the only message that may
// report an attempt as notRun: the agent fences the attempt before it sends this,
// so that it can't start later.
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

// Part carries bytes of an answer, starting at Offset. The offset lets the
// receiver ignore a part that arrives twice.
type Part struct {
	ID     token.Attempt `cbor:"id"`
	Offset int64         `cbor:"offset"`
	Bytes  []byte        `cbor:"bytes"`
}

// End completes an answer. An answer without its End is incomplete. Digest is the
// xxhash of all bytes of the answer.
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

// Ack confirms that the answer has arrived, so that the agent can discard the
// attempt.
type Ack struct {
	ID token.Attempt `cbor:"id"`
}

// Cancel ends an attempt early; the agent stops the engine's work on it.
type Cancel struct {
	ID     token.Attempt `cbor:"id"`
	Reason string        `cbor:"reason,omitempty"`
}

// Ask requests the state of an attempt from which nothing has arrived for a
// while, and the bytes of its answer from Offset on.
type Ask struct {
	ID     token.Attempt     `cbor:"id"`
	Target token.Incarnation `cbor:"target,omitempty"`
	Offset int64             `cbor:"offset"`
}

// State is the state of an attempt at its agent.
type State string

// States of an attempt in an Outcome.
const (
	StateQueued  State = "queued"
	StateRunning State = "running"
	StateEnded   State = "ended"
	StateRefused State = "refused"
	StateUnknown State = "unknown"
)

// Outcome answers an Ask. The parts of the answer and the End or Refuse follow if
// there are any.
type Outcome struct {
	ID    token.Attempt `cbor:"id"`
	State State         `cbor:"state"`
}

// Load is the load of an agent's endpoint.
type Load struct {
	Running int   `cbor:"running"`
	Queued  int   `cbor:"queued"`
	Limit   int   `cbor:"limit"`
	Cold    bool  `cbor:"cold,omitempty"`
	Cost    int64 `cbor:"cost,omitempty"`
	// ServiceTime is the recent typical service time.
	ServiceTime clock.Millis `cbor:"serviceTime,omitempty"`
	// PrefixEpoch changes each time the endpoint loses its prefix cache.
	PrefixEpoch uint64 `cbor:"prefixEpoch,omitempty"`
}

// Beat is a heartbeat. It shows that the session works, and carries the load
// while no other messages are sent.
type Beat struct {
	Reply bool `cbor:"reply,omitempty"`
	// Mark is copied into the reply to identify the heartbeat that it answers.
	Mark uint64 `cbor:"mark,omitempty"`
	Load *Load  `cbor:"load,omitempty"`
	// Outside is the time since the sender last received a message from outside
	// its availability zone, plus one millisecond. It is 0 if not reported.
	Outside clock.Millis `cbor:"outside,omitempty"`
}

// Leave announces that the sender takes no new work from now on or, if Resumed
// is set, that it takes new work again.
type Leave struct {
	Reason  string `cbor:"reason"`
	Resumed bool   `cbor:"back,omitempty"`
	// Closing is set when the sender is about to exit. The peer then closes the
	// session as soon as it has no calls in flight on it. If the sender closed it, a
	// call sent at that moment could go unread, and it would be unknown whether
	// the call ran.
	Closing bool `cbor:"closing,omitempty"`
}

// Fetch requests a section of the configuration in force from a peer; an empty
// name requests the head object.
type Fetch struct {
	Name   string `cbor:"name"`
	Digest uint64 `cbor:"digest,omitempty"`
}

// Section carries one section of the configuration, the head, or the part that
// an agent needs. Bytes is empty if the content still has the Digest of the Fetch.
type Section struct {
	Name   string `cbor:"name"`
	Digest uint64 `cbor:"digest,omitempty"`
	// Release is the release of the content. The Frame's release may already be
	// newer.
	Release uint64 `cbor:"release,omitempty"`
	Found   bool   `cbor:"found"`
	Bytes   []byte `cbor:"bytes,omitempty"`
}

// Pieces requests the pieces of one stage of one request from the owner of a pool.
type Pieces struct {
	// CallID identifies the call on this session.
	CallID  uint64   `cbor:"ticket"`
	Pool    string   `cbor:"pool"`
	Request string   `cbor:"request"`
	Stage   int      `cbor:"stage"`
	Count   int      `cbor:"count"`
	Key     string   `cbor:"key,omitempty"`
	Inputs  []string `cbor:"inputs,omitempty"`
	// TimeLeft is the time until the results are useless, Slack the time until they
	// are needed to meet the objective, and Penalty is added to the request's rank
	// so that others are served before it.
	TimeLeft clock.Millis `cbor:"timeLeft"`
	Slack    clock.Millis `cbor:"slack"`
	Penalty  clock.Millis `cbor:"penalty,omitempty"`
	// Bytes is the size of one result.
	Bytes int64 `cbor:"bytes,omitempty"`
	// Zone is the preferred availability zone for the work, and Hold how long to
	// wait for an engine there. Without HoldUnderLoad the pieces wait only while few
	// others are queued.
	Zone          string       `cbor:"zone,omitempty"`
	Hold          clock.Millis `cbor:"hold,omitempty"`
	HoldUnderLoad bool         `cbor:"firm,omitempty"`
}

// Results answers Pieces. It holds a reference to the result of each piece, with
// the endpoint and availability zone where it is stored, or the reason why there
// are no results.
type Results struct {
	CallID     uint64       `cbor:"ticket"`
	References []string     `cbor:"references,omitempty"`
	Endpoints  []string     `cbor:"endpoints,omitempty"`
	Zones      []string     `cbor:"zones,omitempty"`
	Reason     fault.Reason `cbor:"reason,omitempty"`
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter clock.Millis `cbor:"retryAfter,omitempty"`
}

// InputsRead reports that all pieces have read their inputs. Results follows.
type InputsRead struct {
	CallID uint64 `cbor:"ticket"`
}

// CancelPieces cancels Pieces because the request has ended.
type CancelPieces struct {
	CallID uint64 `cbor:"ticket"`
}

// Unused lists results that are no longer needed, so that their memory can be freed.
type Unused struct {
	Pool       string   `cbor:"pool"`
	References []string `cbor:"references"`
	// Endpoints stores the location of each result. The owner of the pool may have
	// changed since the results were computed, and a new owner has no record of them.
	Endpoints []string `cbor:"endpoints"`
	// Bytes is the size of each result, which a new owner has no record of either.
	Bytes []int64 `cbor:"bytes,omitempty"`
	// Reclaimable is set for results that are needed again only if a stage fails.
	// Their memory may be reused when memory is short, but not before Delay has
	// passed.
	Reclaimable bool         `cbor:"spare,omitempty"`
	Delay       clock.Millis `cbor:"delay,omitempty"`
}

// Loads reports the sender's work at endpoints and the queues of the pools that it
// owns. Each message replaces the previous one.
type Loads struct {
	// Leaving is set if the sender may not own pools, or not yet. It repeats the
	// state of hello and leave, because either can be sent while a session is being
	// opened and be missed.
	Leaving   bool           `cbor:"leaving,omitempty"`
	Endpoints []EndpointLoad `cbor:"endpoints,omitempty"`
	Pools     []PoolLoad     `cbor:"pools,omitempty"`
	// Progress holds the revision of the last change that the sender has read, by kind
	// of object, so that all processes can detect a change once one has read it.
	Progress []Revision `cbor:"seen,omitempty"`
	// PendingArrivals holds the pieces that the sender's open requests will send to
	// later stages, by pool.
	PendingArrivals []PendingArrivals `cbor:"coming,omitempty"`
	// Prefixes holds the prefixes used since the previous message.
	Prefixes []PrefixUse `cbor:"uses,omitempty"`
	// Refused holds the callers refused with a retry delay since the previous message.
	Refused []Refused `cbor:"refused,omitempty"`
	// Crashes holds the crashes detected or received since the previous message.
	Crashes []Crash `cbor:"crashes,omitempty"`
	// Parts holds what was learned of parts of prompts since the previous message; older
	// processes ignore it.
	Parts []PartReport `cbor:"parts,omitempty"`
	// Limits holds the limits of endpoints that changed, or are announced again, since
	// the previous message.
	Limits []EndpointLimit `cbor:"limits,omitempty"`
	// Interest lists the endpoints that the sender normally uses.
	Interest []string `cbor:"interest,omitempty"`
	// Trials holds the sender's counts for the rollouts in progress.
	Trials []Trial `cbor:"trials,omitempty"`
	// Speeds holds the sender's speeds of the endpoints that changed since the previous
	// message.
	Speeds []Speed `cbor:"speeds,omitempty"`
}

// Refused is a caller that was refused with a retry delay. Its times are relative to
// the sending of the message, because the clocks of processes differ.
type Refused struct {
	Key uint64 `cbor:"key"`
	// Age is the time since its first attempt, and Wait the time until it may retry.
	Age  clock.Millis `cbor:"age"`
	Wait clock.Millis `cbor:"wait"`
}

// Crash reports that an endpoint crashed while it worked on a request or, if
// Cleared is set, that the request was answered; see crash.Report.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Key      []byte
	Endpoint string
	Cleared  bool
}

// RequestRate is the name under which PendingArrivals holds the requests that callers brought to
// the sender in the last second, and the number of processes that state them, instead of the
// pieces for a pool.
const RequestRate = "\x00requests"

// PendingArrivals counts the pieces that will be sent to one pool, by class of rank.
type PendingArrivals struct {
	Pool   string `cbor:"pool"`
	Pieces []int  `cbor:"pieces"`
}

// Revision is the revision up to which changes of one kind of object have been read.
type Revision struct {
	Kind     string `cbor:"kind"`
	Era      uint64 `cbor:"era,omitempty"`
	Revision uint64 `cbor:"revision"`
	// Digest is Progress.Digest, and Contents Progress.Contents.
	Digest   uint64 `cbor:"digest,omitempty"`
	Contents uint64 `cbor:"sum,omitempty"`
}

// At returns the revision.
func (r *Revision) At() epoch.Revision { return epoch.Revision{Era: r.Era, Number: r.Revision} }

// EndpointLoad is the sender's work at one endpoint.
type EndpointLoad struct {
	Endpoint string `cbor:"endpoint"`
	Running  int64  `cbor:"running,omitempty"`
	// Prefill counts the prompt tokens not yet processed, Memory the tokens of all
	// running requests, and Planned the prompt tokens of requests that will be sent
	// there soon.
	Prefill int64 `cbor:"prefill,omitempty"`
	Memory  int64 `cbor:"memory,omitempty"`
	Planned int64 `cbor:"planned,omitempty"`
}

// PrefixUse reports that a prompt with these shared parts was sent to an endpoint.
type PrefixUse struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Parts holds a short hash of each part's ID. Every generation in the fleet
	// produces a PrefixUse, so size matters; a collision only makes a hint wrong.
	Parts []uint32
}

// PoolLoad is the queue of one pool at its owner.
type PoolLoad struct {
	Pool string `cbor:"pool"`
	// Queued is the number of queued pieces by class of rank, Engines the number of
	// engines that accept calls, and Free the number of those without a call.
	Queued  []int `cbor:"waiting,omitempty"`
	Engines int   `cbor:"engines,omitempty"`
	Free    int   `cbor:"free,omitempty"`
	// BatchSize is the number of pieces in a call while more are queued.
	BatchSize float64 `cbor:"fill,omitempty"`
	// Age is the time since the owner's report, if the report was forwarded.
	Age clock.Millis `cbor:"age,omitempty"`
}
