// Package fence records which attempts and idempotency keys this incarnation of
// the agent has accepted or refused, so that each runs at most once here.
//
// A frame can arrive twice, or long after its sender gave up on it. An attempt
// that was refused as not run must never run later, because the caller may have
// retried it at another endpoint, and a booking would then run twice. Records are
// bounded in number and age. After a record has been evicted early, Complete
// returns false, and the agent answers "unknown" instead of "not run".
package fence

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
)

// State is the recorded state of an attempt or idempotency key.
type State uint8

// States.
const (
	// Unseen means that no record exists. If Complete returns true, the attempt
	// never arrived.
	Unseen State = iota
	// Open means that the attempt is queued or runs.
	Open
	// Ended means that the attempt has run, completely or in part.
	Ended
	// Refused means that the attempt did not run and must not run later.
	Refused
)

const (
	// DefaultRetention is how long an attempt is recorded after its last change.
	// Open attempts are kept regardless of age. It is far longer than the idle
	// time after which a session ends and its entry sends an Ask on another session.
	DefaultRetention = 2 * clock.Minute
	// DefaultKeyRetention is how long an idempotency key is recorded after its last
	// change.
	DefaultKeyRetention = 10 * clock.Minute
	// DefaultBound is the maximum number of recorded attempts, and of recorded keys.
	// A record takes about 40 bytes.
	DefaultBound = 1 << 16
)

// Fence records attempts and idempotency keys. It is not safe for concurrent use.
type Fence struct {
	attempts *table
	keys     *table
}

type options struct {
	retention, keyRetention clock.Millis
	bound                   int
}

// Option configures a Fence.
type Option func(*options)

// WithRetention sets how long attempts and keys are recorded.
func WithRetention(attempts, keys clock.Millis) Option {
	return func(o *options) { o.retention, o.keyRetention = attempts, keys }
}

// WithBound sets the maximum number of recorded attempts, and of recorded keys.
func WithBound(bound int) Option { return func(o *options) { o.bound = bound } }

// New returns an empty fence.
func New(opts ...Option) *Fence {
	o := options{retention: DefaultRetention, keyRetention: DefaultKeyRetention, bound: DefaultBound}
	for _, opt := range opts {
		opt(&o)
	}
	return &Fence{attempts: newTable(o.retention, o.bound), keys: newTable(o.keyRetention, o.bound)}
}

// State returns the recorded state of an attempt.
func (f *Fence) State(id token.Attempt) State { return f.attempts.get(hashAttempt(id)) }

// KeyState returns the recorded state of an idempotency key.
func (f *Fence) KeyState(key string) State { return f.keys.get(xxhash.Sum64String(key)) }

// Complete reports whether every attempt that arrived within the retention time is
// recorded, so that an unseen attempt certainly did not arrive in it.
func (f *Fence) Complete(now clock.Millis) bool { return f.attempts.complete(now) }

// KeysComplete reports the same for idempotency keys.
func (f *Fence) KeysComplete(now clock.Millis) bool { return f.keys.complete(now) }

// Set records the state of an attempt. It returns false if the fence is full of
// open attempts; the attempt must not be accepted then.
func (f *Fence) Set(now clock.Millis, id token.Attempt, state State) bool {
	return f.attempts.set(now, hashAttempt(id), state)
}

// SetKey records the state of an idempotency key. Its result is that of Set.
func (f *Fence) SetKey(now clock.Millis, key string, state State) bool {
	return f.keys.set(now, xxhash.Sum64String(key), state)
}

// ReleaseKey removes an idempotency key whose work certainly did not run.
func (f *Fence) ReleaseKey(key string) { f.keys.remove(xxhash.Sum64String(key)) }

// Size returns the number of recorded attempts and keys.
func (f *Fence) Size() int { return len(f.attempts.records) + len(f.keys.records) }

// hashAttempt returns a 64-bit hash. With a million recorded attempts and 10,000
// calls per second, one collision is expected in some ten million years; it would
// refuse one call.
func hashAttempt(id token.Attempt) uint64 {
	const stages, tries = 1 << 8, 1 << 16
	return xxhash.Sum64String(id.Request) ^ (uint64(id.Stage%stages)*tries+uint64(id.Try%tries)+1)*mix
}

// mix spreads small numbers over 64 bits. It is the fractional part of the golden
// ratio, times 2^64.
const mix = 0x9e3779b97f4a7c15

type record struct {
	state State
	at    clock.Millis
}

type change struct {
	hash uint64
	at   clock.Millis
}

// table is a bounded, time-limited map from hash to state.
type table struct {
	retention clock.Millis
	bound     int
	records   map[uint64]record
	// changes lists the changes of records that are not open, in order of time. An
	// outdated entry is skipped when it reaches the front.
	changes []change
	head    int
	// evictedAt is the last change of the newest record that was evicted early.
	evictedAt clock.Millis
	evicted   bool
}

func newTable(retention clock.Millis, bound int) *table {
	return &table{retention: retention, bound: bound, records: make(map[uint64]record)}
}

func (t *table) get(hash uint64) State { return t.records[hash].state }

func (t *table) remove(hash uint64) { delete(t.records, hash) }

func (t *table) complete(now clock.Millis) bool { return !t.evicted || now-t.evictedAt > t.retention }

func (t *table) set(now clock.Millis, hash uint64, state State) bool {
	t.expire(now)
	_, known := t.records[hash]
	if !known && len(t.records) >= t.bound && !t.evict() {
		return false
	}
	t.records[hash] = record{state: state, at: now}
	if state != Open {
		t.changes = append(t.changes, change{hash: hash, at: now})
	}
	return true
}

// expire removes records older than the retention time. Open records are not in
// the list of changes.
func (t *table) expire(now clock.Millis) {
	for t.head < len(t.changes) && now-t.changes[t.head].at > t.retention {
		t.removeFront()
	}
}

// evict removes the oldest record before its retention time has passed. It returns
// false if there is none, because all records are open.
func (t *table) evict() bool {
	for t.head < len(t.changes) {
		at := t.changes[t.head].at
		if t.removeFront() {
			t.evicted, t.evictedAt = true, at
			return true
		}
	}
	return false
}

// removeFront removes the first change and reports whether its record was removed
// with it.
func (t *table) removeFront() bool {
	front := t.changes[t.head]
	t.head++
	if t.head > len(t.changes)/2 && t.head > t.bound/2 {
		t.changes = append(t.changes[:0], t.changes[t.head:]...)
		t.head = 0
	}
	current, known := t.records[front.hash]
	if !known || current.at != front.at || current.state == Open {
		return false
	}
	delete(t.records, front.hash)
	return true
}
