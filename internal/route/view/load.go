package view

import (
	"math"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Load is the work at an endpoint: what this process sent, and what its peers report
// to have sent.
type Load struct {
	// Running counts requests, Prefill the prompt tokens of requests without a first
	// event, and Memory the tokens held in the engine's memory.
	Running       atomic.Int64
	Prefill       atomic.Int64
	Memory        atomic.Int64
	prefillDoneAt atomic.Int64
	// Planned counts the prompt tokens of requests that are still in their stages and
	// will probably be sent to this endpoint.
	Planned atomic.Int64
	// reservedTokens and reservedPlaces count what the requests of this process can need at
	// most of the endpoint's memory and places.
	reservedTokens atomic.Int64
	reservedPlaces atomic.Int64
	// PeerRunning, PeerPrefill, PeerMemory and PeerPlanned are the sums over all
	// peers.
	PeerRunning atomic.Int64
	PeerPrefill atomic.Int64
	PeerMemory  atomic.Int64
	PeerPlanned atomic.Int64

	// learned holds the bits of the slowdown, 0 if none is in use. interference holds a
	// stated interference; see SetInterference.
	learned      atomic.Uint64
	interference atomic.Int64
}

// Work is the work of peers at one endpoint; see Load.
type Work struct {
	Running, Prefill, Memory, Planned int64
}

// SetPeers replaces the work of all peers.
func (l *Load) SetPeers(work Work) {
	l.PeerRunning.Store(work.Running)
	l.PeerPrefill.Store(work.Prefill)
	l.PeerMemory.Store(work.Memory)
	l.PeerPlanned.Store(work.Planned)
}

// Reserve counts what a request of this process can need at most, or takes it back if the
// values are negative.
func (l *Load) Reserve(tokens, places int64) {
	l.reservedTokens.Add(tokens)
	l.reservedPlaces.Add(places)
}

// Reserved returns the sum of what is reserved.
func (l *Load) Reserved() (tokens, places int64) {
	return l.reservedTokens.Load(), l.reservedPlaces.Load()
}

// AddPrompt counts a prompt that this process sends to an engine that reads
// tokensPerMs tokens per millisecond.
func (l *Load) AddPrompt(tokens int64, tokensPerMs float64, now clock.Millis) {
	l.Prefill.Add(tokens)
	startAt := int64(now) + int64(float64(l.PeerPrefill.Load())/tokensPerMs)
	duration := int64(float64(tokens) / tokensPerMs)
	for {
		doneAt := l.prefillDoneAt.Load()
		if l.prefillDoneAt.CompareAndSwap(doneAt, max(doneAt, startAt)+duration) {
			return
		}
	}
}

// PendingPrefill estimates how many prompt tokens sent by this process are still to be
// read. Prefill counts each prompt in full until its first event, but most of a long
// prompt has been read by then.
func (l *Load) PendingPrefill(tokensPerMs float64, now clock.Millis) int64 {
	remaining := float64(max(l.prefillDoneAt.Load()-int64(now), 0)) * tokensPerMs
	return min(l.Prefill.Load(), int64(remaining))
}

// SetSlowdown sets the time for a unit of work relative to the usual endpoint of the pool; 0
// if the pool's requests are placed without regard to it.
func (l *Load) SetSlowdown(slowdown float64) { l.learned.Store(math.Float64bits(slowdown)) }

// percentBits is the number of bits of a stated interference in per cent.
const percentBits = 10

// SetInterference sets the slowdown that the endpoint stated and until when it counts.
func (l *Load) SetInterference(slowdown float64, until clock.Millis) {
	percent := min(max(int64(slowdown*100), 0), 1<<percentBits-1)
	l.interference.Store(int64(until)<<percentBits | percent)
}

// LearnedSlowdown returns the slowdown without a stated interference, 0 if none is in use.
func (l *Load) LearnedSlowdown() float64 { return math.Float64frombits(l.learned.Load()) }

// Slowdown returns the slowdown at an instant, 0 if none is in use.
func (l *Load) Slowdown(now clock.Millis) float64 {
	learned := l.LearnedSlowdown()
	if learned == 0 {
		return 0
	}
	stated := l.interference.Load()
	if int64(now) >= stated>>percentBits {
		return learned
	}
	return max(learned, float64(stated&(1<<percentBits-1))/100)
}

// ReadRate returns the rate at which the endpoint reads prompts, given the rate of the pool's
// usual endpoint.
func (l *Load) ReadRate(usual float64) float64 {
	if learned := l.LearnedSlowdown(); learned > 0 {
		return usual / learned
	}
	return usual
}
