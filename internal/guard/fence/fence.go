// Package fence remembers which attempts and idempotency keys this incarnation
// of the agent has taken or refused, so that each runs at most once here.
//
// A frame can arrive twice, or long after its sender gave up on it. An attempt
// that was refused as not run must never run after all, or the refusal was a
// lie and a booking runs twice: once here, once at the endpoint it was retried
// on. The memory is bounded in size and time; when it has had to forget early
// it says so, and the agent then answers "unknown" instead of "not run".
package fence

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
)

// State is what is remembered of an attempt or key.
type State uint8

// States.
const (
	// Unseen is an attempt that never arrived, unless Complete is false.
	Unseen State = iota
	// Open is an attempt that waits or runs.
	Open
	// Ended is an attempt that has run, whole or not.
	Ended
	// Refused is an attempt that did not run and must not.
	Refused
)

const (
	// DefaultRetention is how long an attempt is remembered after its last change; open
	// ones are never forgotten. It is far longer than the silence after which a
	// session ends and its entry asks on another one.
	DefaultRetention = 2 * clock.Minute
	// DefaultKeyRetention is how long an idempotency key is remembered.
	DefaultKeyRetention = 10 * clock.Minute
	// DefaultBound of remembered attempts, and of keys; about 40 bytes each.
	DefaultBound = 1 << 16
)

// Fence is the memory. It is not safe for use by several goroutines at once.
type Fence struct {
	attempts *table
	keys     *table
}

type options struct {
	span, keySpan clock.Millis
	bound         int
}

// Option changes a Fence while it is built.
type Option func(*options)

// WithRetention sets how long attempts and keys are remembered.
func WithRetention(attempts, keys clock.Millis) Option {
	return func(o *options) { o.span, o.keySpan = attempts, keys }
}

// WithBound sets how many attempts, and how many keys, are remembered.
func WithBound(bound int) Option { return func(o *options) { o.bound = bound } }

// New returns an empty fence.
func New(opts ...Option) *Fence {
	o := options{span: DefaultRetention, keySpan: DefaultKeyRetention, bound: DefaultBound}
	for _, opt := range opts {
		opt(&o)
	}
	return &Fence{attempts: newTable(o.span, o.bound), keys: newTable(o.keySpan, o.bound)}
}

// State returns what is remembered of an attempt.
func (f *Fence) State(id token.Attempt) State { return f.attempts.get(hashAttempt(id)) }

// KeyState returns what is remembered of an idempotency key.
func (f *Fence) KeyState(key string) State { return f.keys.get(xxhash.Sum64String(key)) }

// Complete reports whether every attempt that arrived within the span is
// remembered, so that an unseen one provably never arrived.
func (f *Fence) Complete(now clock.Millis) bool { return f.attempts.complete(now) }

// KeysComplete reports the same of idempotency keys.
func (f *Fence) KeysComplete(now clock.Millis) bool { return f.keys.complete(now) }

// Set remembers an attempt. It reports false if there is no room because all
// remembered attempts are open; the attempt must not be taken then.
func (f *Fence) Set(now clock.Millis, id token.Attempt, state State) bool {
	return f.attempts.set(now, hashAttempt(id), state)
}

// SetKey remembers an idempotency key, with the same result as Set.
func (f *Fence) SetKey(now clock.Millis, key string, state State) bool {
	return f.keys.set(now, xxhash.Sum64String(key), state)
}

// ReleaseKey forgets an idempotency key whose work provably did not run.
func (f *Fence) ReleaseKey(key string) { f.keys.drop(xxhash.Sum64String(key)) }

// Size is how many attempts and keys are remembered.
func (f *Fence) Size() int { return len(f.attempts.records) + len(f.keys.records) }

// hashAttempt is a 64-bit hash: with a million remembered attempts a collision
// is expected once in some ten million years of 10,000 calls a second, and
// would refuse one call.
func hashAttempt(id token.Attempt) uint64 {
	const stages, tries = 1 << 8, 1 << 16
	return xxhash.Sum64String(id.Request) ^ (uint64(id.Stage%stages)*tries+uint64(id.Try%tries)+1)*mix
}

// mix spreads small numbers over 64 bits (the golden ratio's fraction).
const mix = 0x9e3779b97f4a7c15

type record struct {
	state State
	at    clock.Millis
}

type dated struct {
	hash uint64
	at   clock.Millis
}

// table is a bounded, time-limited map from hash to state.
type table struct {
	span    clock.Millis
	bound   int
	records map[uint64]record
	// line holds the records in the order of their last change; stale entries
	// are skipped when they reach the front.
	line []dated
	head int
	// lostAt is the date of the newest record that was forgotten early.
	lostAt clock.Millis
	lost   bool
}

func newTable(span clock.Millis, bound int) *table {
	return &table{span: span, bound: bound, records: make(map[uint64]record)}
}

func (t *table) get(hash uint64) State { return t.records[hash].state }

func (t *table) drop(hash uint64) { delete(t.records, hash) }

func (t *table) complete(now clock.Millis) bool { return !t.lost || now-t.lostAt > t.span }

func (t *table) set(now clock.Millis, hash uint64, state State) bool {
	t.expire(now)
	_, known := t.records[hash]
	if !known && len(t.records) >= t.bound && !t.evict() {
		return false
	}
	t.records[hash] = record{state: state, at: now}
	if state != Open {
		t.line = append(t.line, dated{hash: hash, at: now})
	}
	return true
}

// expire forgets what is older than the span. Open records are in no line.
func (t *table) expire(now clock.Millis) {
	for t.head < len(t.line) && now-t.line[t.head].at > t.span {
		t.take()
	}
}

// evict forgets the oldest record before its time.
func (t *table) evict() bool {
	for t.head < len(t.line) {
		at := t.line[t.head].at
		if t.take() {
			t.lost, t.lostAt = true, at
			return true
		}
	}
	return false
}

// take removes the front of the line and reports whether a record went with it.
func (t *table) take() bool {
	front := t.line[t.head]
	t.head++
	if t.head > len(t.line)/2 && t.head > t.bound/2 {
		t.line = append(t.line[:0], t.line[t.head:]...)
		t.head = 0
	}
	current, known := t.records[front.hash]
	if !known || current.at != front.at || current.state == Open {
		return false
	}
	delete(t.records, front.hash)
	return true
}
