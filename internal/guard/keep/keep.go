// Package keep stores answers in bounded memory, from their first byte until they
// are acknowledged or expire. A caller whose connection failed can resume its
// answer at any offset.
package keep

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// DefaultBound is the memory for answers, in bytes.
	DefaultBound = 16 << 20
	// DefaultRetention is how long an ended answer is kept after its deadline.
	DefaultRetention = 5 * clock.Second
	// admitShare: new work is accepted while 1/4 of the bound is free, so that
	// answers in progress have memory to complete.
	admitShare = 4
	// reserveShare and smallShare: an organisation that uses less than 1/64 of the
	// bound is accepted until only 1/16 of it is free. Otherwise one organisation
	// that does not acknowledge answers, or has thousands of calls refused, could
	// fill the memory, and calls of all others would be refused.
	reserveShare = 16
	smallShare   = 64
	// overheadBytes is counted for each answer in addition to its content.
	overheadBytes = 512
)

// Result is one answer. It is complete once End is set.
type Result struct {
	Bytes  []byte
	End    *wire.End
	Refuse *wire.Refuse

	digest       xxhash.Digest
	deadline     clock.Millis
	organisation string
}

// Sealed reports whether the attempt has ended, with an answer or a refusal.
func (r *Result) Sealed() bool { return r.End != nil || r.Refuse != nil }

// FullError is returned when the memory for answers is used up.
type FullError struct {
	// Bound is the memory for answers, in bytes.
	Bound int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("memory for answers is full: bound %d bytes", e.Bound)
}

// Store stores answers. It is not safe for concurrent use.
type Store struct {
	bound     int
	retention clock.Millis
	used      int
	results   map[token.Attempt]*Result
	// usedBy is the memory used by the answers of each organisation, in bytes.
	usedBy map[string]int
	// expired counts answers dropped without an acknowledgement.
	expired int
}

// Option configures a Store.
type Option func(*Store)

// WithBound sets the memory for answers, in bytes.
func WithBound(bytes int) Option { return func(k *Store) { k.bound = bytes } }

// WithRetention sets how long an ended answer is kept after its deadline.
func WithRetention(retention clock.Millis) Option { return func(k *Store) { k.retention = retention } }

// New returns an empty store.
func New(opts ...Option) *Store {
	k := &Store{bound: DefaultBound, retention: DefaultRetention, results: make(map[token.Attempt]*Result), usedBy: make(map[string]int)}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// HasRoom reports whether new work of an organisation may be accepted. Refusing
// work before it runs costs little; an answer that cannot be stored wastes the
// work done for it.
func (k *Store) HasRoom(organisation string) bool {
	limit := k.bound - k.bound/admitShare
	if k.usedBy[organisation] < k.bound/smallShare {
		limit = k.bound - k.bound/reserveShare
	}
	return k.used+overheadBytes <= limit
}

// Open adds an empty answer of an organisation, which is of use until the deadline.
func (k *Store) Open(id token.Attempt, organisation string, deadline clock.Millis) {
	result := &Result{deadline: deadline, organisation: organisation}
	result.digest.Reset()
	k.results[id] = result
	k.addUsage(result, overheadBytes)
}

// addUsage adds bytes, or subtracts them if negative, to the memory used by an answer.
func (k *Store) addUsage(result *Result, bytes int) {
	k.used += bytes
	k.usedBy[result.organisation] += bytes
	if k.usedBy[result.organisation] == 0 {
		delete(k.usedBy, result.organisation)
	}
}

// Append appends a copy of bytes to an answer and returns their offset. If memory
// is short, it first drops ended answers past their deadline. It returns a
// FullError if that is not enough, or if the answer does not exist.
func (k *Store) Append(now clock.Millis, id token.Attempt, bytes []byte) (int64, error) {
	result := k.results[id]
	if result == nil {
		return 0, &FullError{Bound: k.bound}
	}
	if k.used+len(bytes) > k.bound {
		k.dropPastDeadline(now)
	}
	if k.used+len(bytes) > k.bound {
		return 0, &FullError{Bound: k.bound}
	}
	offset := int64(len(result.Bytes))
	result.Bytes = append(result.Bytes, bytes...)
	_, _ = result.digest.Write(bytes)
	k.addUsage(result, len(bytes))
	return offset, nil
}

// Finish seals an answer as complete and fills in the end frame.
func (k *Store) Finish(id token.Attempt, end *wire.End) {
	result := k.results[id]
	if result == nil || result.Sealed() {
		return
	}
	end.ID = id
	end.Length = int64(len(result.Bytes))
	end.Digest = result.digest.Sum64()
	result.End = end
}

// Refuse seals an answer as refused and frees its content.
func (k *Store) Refuse(id token.Attempt, refuse *wire.Refuse) {
	result := k.results[id]
	if result == nil || result.Sealed() {
		return
	}
	k.addUsage(result, -len(result.Bytes))
	result.Bytes = nil
	result.Refuse = refuse
}

// Get returns an answer, or nil if it does not exist.
func (k *Store) Get(id token.Attempt) *Result { return k.results[id] }

// Ack removes a sealed answer that the caller has received completely.
func (k *Store) Ack(id token.Attempt) {
	if result := k.results[id]; result != nil && result.Sealed() {
		k.drop(id, result)
	}
}

// Sweep drops the sealed answers whose retention time has passed.
func (k *Store) Sweep(now clock.Millis) {
	for id, result := range k.results {
		if result.Sealed() && now > result.deadline+k.retention {
			k.drop(id, result)
			k.expired++
		}
	}
}

func (k *Store) dropPastDeadline(now clock.Millis) {
	for id, result := range k.results {
		if result.Sealed() && now > result.deadline {
			k.drop(id, result)
			k.expired++
		}
	}
}

func (k *Store) drop(id token.Attempt, result *Result) {
	k.addUsage(result, -len(result.Bytes)-overheadBytes)
	delete(k.results, id)
}

// Len returns the number of stored answers.
func (k *Store) Len() int { return len(k.results) }

// Used returns the memory used by answers, in bytes.
func (k *Store) Used() int { return k.used }

// Expired returns the number of answers dropped without an acknowledgement.
func (k *Store) Expired() int { return k.expired }
