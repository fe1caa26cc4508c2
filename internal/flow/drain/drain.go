// Package drain decides what moves from an owner of stage engines that stops in order to
// its successor: how its retry budget is divided among the successors, how long its engines
// stay its own, and which handovers a successor uses.
//
// The load that these decisions handle is a rolling restart under full load: each stop
// interrupts the queues of the pools that the process owns while every engine runs a call.
// An engine refuses a call that arrives while it still works for the previous owner, and
// each refusal is charged to the retry budget. The package does no I/O.
package drain

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// maxTransit is the time on the way above which a handover is not used. The calls that
	// it names have ended by then, and the successor has the state of the engines from
	// their reports.
	maxTransit = 2 * clock.Second
	// maxLeft bounds the time for which a handover keeps an engine from its successor. It
	// is the time after which a planned stop ends.
	maxLeft = 8 * clock.Second
	// receiptAge is how long a used handover is remembered, so that it is not used again.
	// It is longer than maxTransit: a later duplicate is late.
	receiptAge = clock.Minute
	// maxReceipts bounds the number of remembered handovers.
	maxReceipts = 4096
)

// Reason is why a handover was not used.
type Reason string

// Reasons why a handover was not used.
const (
	Late         Reason = "late"
	Repeated     Reason = "repeated"
	OldSender    Reason = "oldSender"
	OtherRun     Reason = "otherRun"
	NotSuccessor Reason = "notSuccessor"
	TooMany      Reason = "tooMany"
	Invalid      Reason = "invalid"
)

// RejectedError is returned for a handover that is not used. Its budget is lost.
type RejectedError struct {
	Pool   string
	From   string
	Reason Reason
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "handover of " + e.Pool + " from " + e.From + " not used: " + string(e.Reason)
}

// Arrival is a handover with what the receiver knows about it.
type Arrival struct {
	*wire.Handover
	// From and Sender are the name and the incarnation of the sender. Latest is the newest
	// incarnation of the sender that the receiver knows.
	From           string
	Sender, Latest token.Incarnation
	// Self is the incarnation of the receiver.
	Self token.Incarnation
	// Transit is the time that the message was on its way.
	Transit clock.Millis
	// Successor is set if the receiver owns the pool without the sender.
	Successor bool
}

// receiptKey identifies a handover: each run of a process sends one for each pool.
type receiptKey struct {
	sender token.Incarnation
	pool   string
}

// Receipts remembers which handovers were used. It is not safe for concurrent use.
type Receipts struct {
	usedAt map[receiptKey]clock.Millis
}

// NewReceipts returns an empty memory.
func NewReceipts() *Receipts { return &Receipts{usedAt: make(map[receiptKey]clock.Millis)} }

// Use decides whether a handover is used. It returns a RejectedError if not, and otherwise
// the handover with the times that are left now.
func (r *Receipts) Use(a Arrival, now clock.Millis) (*wire.Handover, error) {
	if reason := r.check(a, now); reason != "" {
		return nil, &RejectedError{Pool: a.Pool, From: a.From, Reason: reason}
	}
	r.usedAt[receiptKey{sender: a.Sender, pool: a.Pool}] = now
	used := &wire.Handover{CallID: a.CallID, To: a.To, Pool: a.Pool, Extras: a.Extras}
	for _, call := range a.Engines {
		if call.Left = min(call.Left, maxLeft) - a.Transit; call.Left > 0 {
			used.Engines = append(used.Engines, call)
		}
	}
	return used, nil
}

func (r *Receipts) check(a Arrival, now clock.Millis) Reason {
	for key, usedAt := range r.usedAt {
		if now-usedAt > receiptAge {
			delete(r.usedAt, key)
		}
	}
	_, used := r.usedAt[receiptKey{sender: a.Sender, pool: a.Pool}]
	switch {
	case a.Pool == "" || a.Extras < 0:
		return Invalid
	case a.Sender != a.Latest:
		return OldSender
	case a.To != a.Self:
		return OtherRun
	case used:
		return Repeated
	case a.Transit > maxTransit:
		return Late
	case !a.Successor:
		return NotSuccessor
	case len(r.usedAt) >= maxReceipts:
		return TooMany
	}
	return ""
}

// Divide divides a budget among the handovers of a pool's shards. The parts add up to the
// budget.
func Divide(extras int64, shards int) []int64 {
	parts := make([]int64, shards)
	for i := range parts {
		parts[i] = extras / int64(shards)
	}
	if shards > 0 {
		parts[0] += extras % int64(shards)
	}
	return parts
}

// Work is what an owner still has to do at the engines that run its calls when it stops.
type Work struct {
	// EndsAt holds the expected end of the last running call of each engine.
	EndsAt []clock.Millis
	// Pieces is the number of pieces of started requests that no call contains yet.
	Pieces int
	// CallPieces is the largest number of pieces in a call, and CallTime the duration of
	// such a call.
	CallPieces int
	CallTime   clock.Millis
}

// minLeft is the shortest time for which an engine that runs a call is kept. A call that
// is overdue ends at an unknown time; after this time the successor asks the engine.
const minLeft = 50 * clock.Millis(1)

// Left returns for each engine for how long the stopping owner keeps it: until the running
// call ends, and then for the calls that the remaining pieces take. It sends calls only to
// these engines, and only calls that end within that time.
func (w Work) Left(now clock.Millis) []clock.Millis {
	left := make([]clock.Millis, len(w.EndsAt))
	rounds := 0
	if perRound := w.CallPieces * len(left); perRound > 0 {
		rounds = (w.Pieces + perRound - 1) / perRound
	}
	for i, endsAt := range w.EndsAt {
		left[i] = min(max(endsAt-now, minLeft)+clock.Millis(rounds)*w.CallTime, maxLeft)
	}
	return left
}
