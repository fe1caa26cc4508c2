// Package recall stores the callers that were refused with a time to retry, so that a
// caller that returns is recognized by every process.
//
// It is meant for bursts. A process that does not recognize a returned caller treats it
// as a new one: its objective is assumed to be later than it is, it is queued behind
// callers that have waited for less time, and it is refused again although it retried
// at the requested time.
package recall

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// lifetime is how long a refusal is stored after the first attempt. Callers have given
	// up by then.
	lifetime = 20 * clock.Second
	// tolerance is how much earlier than requested a caller may return, because the
	// times to retry are rounded. A caller that returns earlier than that is treated
	// as new.
	tolerance = 20 * clock.Millis(1)
	// maxRefusals limits the stored refusals, maxUnsent those to be sent to peers.
	maxRefusals = 8192
	maxUnsent   = 1024
	// pruneInterval is the shortest time between two scans for expired refusals. Without
	// it, each refusal of a flood would cause a scan.
	pruneInterval = clock.Second
)

// KeyOf returns the key of what identifies a caller's request.
func KeyOf(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part) // a Digest never returns an error
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// Refusal is one caller that was refused with a time to retry.
type Refusal struct {
	// Key identifies the caller's request and is the same for all its attempts.
	Key uint64
	// FirstArrival is when the first attempt arrived, RetryAt when the caller may retry.
	FirstArrival clock.Millis
	RetryAt      clock.Millis
}

// Refusals is a set of refusals. It is safe for concurrent use.
type Refusals struct {
	mu     sync.Mutex
	byKey  map[uint64]Refusal
	unsent []Refusal
	// prunedAt is the time of the last scan for expired refusals.
	prunedAt clock.Millis
}

// New returns an empty set.
func New() *Refusals { return &Refusals{byKey: make(map[uint64]Refusal)} }

// Add stores a refusal of this process.
func (r *Refusals) Add(refusal Refusal, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(refusal, now)
	if len(r.unsent) < maxUnsent {
		r.unsent = append(r.unsent, refusal)
	}
}

// AddRemote stores refusals of other processes.
func (r *Refusals) AddRemote(refusals []Refusal, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, refusal := range refusals {
		r.put(refusal, now)
	}
}

// put stores a refusal if there is room or the caller was refused before. The caller must
// hold r.mu.
func (r *Refusals) put(refusal Refusal, now clock.Millis) {
	if len(r.byKey) >= maxRefusals && now-r.prunedAt >= pruneInterval {
		r.prune(now)
	}
	if _, known := r.byKey[refusal.Key]; known || len(r.byKey) < maxRefusals {
		r.byKey[refusal.Key] = refusal
	}
}

// prune removes expired refusals. The caller must hold r.mu.
func (r *Refusals) prune(now clock.Millis) {
	r.prunedAt = now
	for key, refusal := range r.byKey {
		if now-refusal.FirstArrival > lifetime {
			delete(r.byKey, key)
		}
	}
}

// TakeUnsent returns the refusals of this process since the last call, to be sent to
// peers.
func (r *Refusals) TakeUnsent() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	unsent := r.unsent
	r.unsent = nil
	return unsent
}

// Lookup returns the refusal with a key, and false if there is none, if it has expired
// or if the caller returned too early.
func (r *Refusals) Lookup(key uint64, now clock.Millis) (Refusal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal, known := r.byKey[key]
	if !known || now-refusal.FirstArrival > lifetime || now < refusal.RetryAt-tolerance {
		return Refusal{}, false
	}
	return refusal, true
}
