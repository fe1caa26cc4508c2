// Package keep holds answers from their first byte until they are acknowledged,
// or until nobody can want them any more, within a memory bound. A caller whose
// connection went silent takes its answer up again from any offset.
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
	// DefaultRetention is how long an answer stays after its deadline.
	DefaultRetention = 5 * clock.Second
	// admitShare: new work is taken while this share of the bound is free, so
	// that answers already running have room to end.
	admitShare = 4
	// reserveShare: of the rest, this share of the bound stays for organisations
	// that hold less than smallShare of it. Whoever doesn't acknowledge, or has
	// thousands of calls refused, fills the memory alone, and the others would be
	// refused for answers that are not theirs.
	reserveShare = 16
	smallShare   = 64
	// entryBytes is counted for each answer on top of its bytes.
	entryBytes = 512
)

// Result is one answer, whole once End is set.
type Result struct {
	Bytes  []byte
	End    *wire.End
	Refuse *wire.Refuse

	digest       xxhash.Digest
	deadline     clock.Millis
	organisation string
}

// Sealed reports whether the attempt has ended.
func (r *Result) Sealed() bool { return r.End != nil || r.Refuse != nil }

// FullError says that the memory for answers is used up.
type FullError struct {
	Bound int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("answers fill their memory of %d bytes", e.Bound)
}

// Store is the store of answers. It is not safe for use by several goroutines at once.
type Store struct {
	bound   int
	after   clock.Millis
	used    int
	results map[token.Attempt]*Result
	// held is what each organisation has of used.
	held map[string]int
	// expired counts answers dropped without an acknowledgement.
	expired int
}

// Option changes a Keep while it is built.
type Option func(*Store)

// WithBound sets the memory for answers, in bytes.
func WithBound(bytes int) Option { return func(k *Store) { k.bound = bytes } }

// WithRetention sets how long an answer stays after its deadline.
func WithRetention(span clock.Millis) Option { return func(k *Store) { k.after = span } }

// New returns an empty store.
func New(opts ...Option) *Store {
	k := &Store{bound: DefaultBound, after: DefaultRetention, results: make(map[token.Attempt]*Result), held: make(map[string]int)}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// HasRoom reports whether new work of an organisation may be taken. Refusing
// work early, as not run, costs little; an answer that finds no room has been
// worked for in vain.
func (k *Store) HasRoom(organisation string) bool {
	limit := k.bound - k.bound/admitShare
	if k.held[organisation] < k.bound/smallShare {
		limit = k.bound - k.bound/reserveShare
	}
	return k.used+entryBytes <= limit
}

// Open begins an answer for an organisation that is of use until the deadline.
func (k *Store) Open(id token.Attempt, organisation string, deadline clock.Millis) {
	result := &Result{deadline: deadline, organisation: organisation}
	result.digest.Reset()
	k.results[id] = result
	k.use(result, entryBytes)
}

// use counts bytes for an answer; a negative number gives them back.
func (k *Store) use(result *Result, bytes int) {
	k.used += bytes
	k.held[result.organisation] += bytes
	if k.held[result.organisation] == 0 {
		delete(k.held, result.organisation)
	}
}

// Append adds bytes and returns the offset at which they stand. It takes
// ownership of nothing. The FullError comes after what is past its deadline
// was dropped in vain.
func (k *Store) Append(now clock.Millis, id token.Attempt, bytes []byte) (int64, error) {
	result := k.results[id]
	if result == nil {
		return 0, &FullError{Bound: k.bound}
	}
	if k.used+len(bytes) > k.bound {
		k.dropLate(now)
	}
	if k.used+len(bytes) > k.bound {
		return 0, &FullError{Bound: k.bound}
	}
	offset := int64(len(result.Bytes))
	result.Bytes = append(result.Bytes, bytes...)
	_, _ = result.digest.Write(bytes)
	k.use(result, len(bytes))
	return offset, nil
}

// Finish seals an answer as whole and completes its end mark.
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

// Refuse seals an answer as refused and frees its bytes.
func (k *Store) Refuse(id token.Attempt, refuse *wire.Refuse) {
	result := k.results[id]
	if result == nil || result.Sealed() {
		return
	}
	k.use(result, -len(result.Bytes))
	result.Bytes = nil
	result.Refuse = refuse
}

// Get returns an answer, or nil.
func (k *Store) Get(id token.Attempt) *Result { return k.results[id] }

// Ack forgets an answer that its caller has whole.
func (k *Store) Ack(id token.Attempt) {
	if result := k.results[id]; result != nil && result.Sealed() {
		k.drop(id, result)
	}
}

// Sweep drops the ended answers that nobody can want any more.
func (k *Store) Sweep(now clock.Millis) {
	for id, result := range k.results {
		if result.Sealed() && now > result.deadline+k.after {
			k.drop(id, result)
			k.expired++
		}
	}
}

func (k *Store) dropLate(now clock.Millis) {
	for id, result := range k.results {
		if result.Sealed() && now > result.deadline {
			k.drop(id, result)
			k.expired++
		}
	}
}

func (k *Store) drop(id token.Attempt, result *Result) {
	k.use(result, -len(result.Bytes)-entryBytes)
	delete(k.results, id)
}

// Len is the number of answers held.
func (k *Store) Len() int { return len(k.results) }

// Used is the memory counted for answers, in bytes.
func (k *Store) Used() int { return k.used }

// Expired is how many answers were dropped without an acknowledgement.
func (k *Store) Expired() int { return k.expired }
