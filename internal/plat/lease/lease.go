// Package lease implements leases on the platform's object API. A lease has at
// most one valid holder at a time, and each new holder gets a greater fencing
// number. The clocks of hosts differ, so clocks of different processes are never
// compared: the holder counts its term from before the call that granted it, and
// other processes count from when they last saw the object change.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// DefaultTerm is the default time for which a lease is valid without a renewal.
const DefaultTerm = 10 * clock.Second

// delayDivisor sets the assumed maximum delay of a message: a term divided by it.
const delayDivisor = 4

// defaultReadBacks is the default maximum number of reads that determine whether a
// write with a lost answer took effect.
const defaultReadBacks = 5

// readBackPause is the pause after each of these reads, so that a write that is
// still in transit can arrive.
const readBackPause = 50 * clock.Millis(1)

// record is the value of the lease object.
type record struct {
	// Holder is empty if the lease was released.
	Holder string `json:"holder,omitempty"`
	// Fence is the fencing number, which grows with each new holder. Its upper half is at least the
	// era in which it was given out.
	Fence uint64 `json:"fence"`
	// Nonce is a random value for each write, by which a process recognises its own
	// write.
	Nonce string `json:"nonce"`
}

// Lease is one process's view of one lease. It is safe for concurrent use; the
// methods that call the platform run one after another.
type Lease struct {
	store  *store.Store
	name   string
	holder string
	clock  *clock.Clock
	term   clock.Millis
	nonce  func() string
	// readBacks is the maximum number of reads after a write with a lost answer.
	readBacks int

	// callMu serialises calls to the platform.
	callMu sync.Mutex

	mu        sync.Mutex
	fence     uint64
	version   store.Revision
	expiresAt clock.Millis
	// quietUntil is the end of the quiet period; see QuietPeriod.
	quietUntil clock.Millis
	// seenVersion is the last version that was read while another process held the
	// lease, and unchangedSince the instant at which it was first read.
	seenVersion    store.Revision
	unchangedSince clock.Millis
	// era is the latest era of the store that was read, eraSince when it was first read.
	era      uint64
	eraSince clock.Millis
}

// Option configures a Lease.
type Option func(*Lease)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(l *Lease) { l.clock = c } }

// WithTerm sets the time for which the lease is valid without a renewal. All
// processes that share a lease must use the same term.
func WithTerm(term clock.Millis) Option { return func(l *Lease) { l.term = term } }

// WithNonce replaces the source of nonces.
func WithNonce(nonce func() string) Option { return func(l *Lease) { l.nonce = nonce } }

// WithReadBacks sets the maximum number of reads that determine whether a write
// with a lost answer took effect.
func WithReadBacks(reads int) Option { return func(l *Lease) { l.readBacks = reads } }

// New returns a view of the lease that is stored in the object of that name. The
// holder must be different for each start of a process.
func New(platform *store.Store, name, holder string, opts ...Option) *Lease {
	l := &Lease{store: platform, name: name, holder: holder, clock: clock.New(), term: DefaultTerm, nonce: token.NewRequestID, readBacks: defaultReadBacks}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// HeldError is returned when another process holds the lease.
type HeldError struct {
	Name   string
	Holder string
	Fence  uint64
	// Left is the time in ms after which the lease can be acquired if the holder does
	// not renew it.
	Left clock.Millis
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease %q is held by %q with fencing number %d for %d ms more", e.Name, e.Holder, e.Fence, e.Left)
}

// Fence returns the fencing number of this holder, 0 before the first grant.
func (l *Lease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence
}

// Valid reports whether this process holds the lease now. Call it after anything
// that may wait and immediately before acting: the lease may have expired while
// the process was paused, and without this check two holders could act at the same
// time.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence != 0 && l.clock.Now() < l.expiresAt
}

// Left returns the time in ms for which the lease stays valid without a renewal.
func (l *Lease) Left() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.expiresAt-l.clock.Now())
}

// QuietPeriod returns the time in ms for which messages of an earlier holder may
// still arrive: the rest of its term plus the maximum delay of a message that it
// sent at the end of the term. Holders that control something which ignores
// fencing numbers must wait that long.
func (l *Lease) QuietPeriod() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.quietUntil-l.clock.Now())
}

// Acquire takes the lease if it has no other holder or if the holder hasn't renewed
// it for a term. Otherwise it fails with a HeldError.
func (l *Lease) Acquire(ctx context.Context) error { return l.acquire(ctx, 0, false) }

// Seize takes the lease even if another process holds it, with a fencing number of
// at least floor. The next renewal of the earlier holder fails.
func (l *Lease) Seize(ctx context.Context, floor uint64) error { return l.acquire(ctx, floor, true) }

func (l *Lease) acquire(ctx context.Context, floor uint64, seize bool) error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	began := l.clock.Now()
	current, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	if !seize {
		if err := l.checkFree(current, version); err != nil {
			return err
		}
	}
	next := record{Holder: l.holder, Fence: max(current.Fence+1, floor, firstFence(version.Era)), Nonce: l.nonce()}
	version, err = l.write(ctx, version, next)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.version, l.expiresAt = next.Fence, version, began+l.term
	if current.Holder != "" && current.Holder != l.holder {
		l.quietUntil = l.clock.Now() + l.term + l.term/delayDivisor
	}
	return nil
}

// firstFence returns the lowest fencing number of an era. A store that came back from a copy has
// lost the numbers that it held since, so those of one era are never given out in the next.
func firstFence(era uint64) uint64 { return era<<fenceBits + 1 }

// fenceBits is the number of bits of a fencing number that count the holders within an era.
const fenceBits = 32

// recordEra records the era of the store, and when it was first read.
func (l *Lease) recordEra(era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era != l.era {
		l.era, l.eraSince = era, l.clock.Now()
	}
}

// checkFree returns a HeldError unless the lease can be acquired. The object's
// version changes with each renewal, so the lease has expired if the version has
// not changed for a term. After the store came back from a copy, the object may show an
// earlier holder or none, so the lease counts as held for a term.
func (l *Lease) checkFree(current record, version store.Revision) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if left := l.eraSince + l.term - now; version.Era != 0 && version.Era != firstEra && left > 0 {
		return &HeldError{Name: l.name, Holder: current.Holder, Fence: current.Fence, Left: left}
	}
	if current.Holder == "" || current.Holder == l.holder {
		return nil
	}
	if version != l.seenVersion {
		l.seenVersion, l.unchangedSince = version, now
	}
	if left := l.unchangedSince + l.term - now; left > 0 {
		return &HeldError{Name: l.name, Holder: current.Holder, Fence: current.Fence, Left: left}
	}
	return nil
}

// Renew starts a new term. It fails with a HeldError if another process has taken
// the lease. A renewal is a write, which other processes see as a change of the
// object; a read would not do, because it may be stale and confirm a lease that
// another process has taken.
func (l *Lease) Renew(ctx context.Context) error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	began := l.clock.Now()
	l.mu.Lock()
	next, version := record{Holder: l.holder, Fence: l.fence, Nonce: l.nonce()}, l.version
	l.mu.Unlock()
	version, err := l.write(ctx, version, next)
	if err != nil {
		return l.renewError(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.expiresAt = version, began+l.term
	return nil
}

// Release gives up the lease, so that another process can acquire it without
// waiting for its expiry.
func (l *Lease) Release(ctx context.Context) error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	l.mu.Lock()
	next, version := record{Fence: l.fence, Nonce: l.nonce()}, l.version
	held := l.fence != 0
	l.fence, l.expiresAt = 0, 0
	l.mu.Unlock()
	if !held {
		return nil
	}
	_, err := l.write(ctx, version, next)
	return err
}

// renewError returns the error of a failed renewal. If another process has changed
// the object, the lease ends and the error is a HeldError. After any other failure
// the lease stays valid until the end of its term.
func (l *Lease) renewError(err error) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	current, _ := decode(conflict.Current)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.expiresAt = 0, 0
	return &HeldError{Name: l.name, Holder: current.Holder, Fence: current.Fence, Left: l.term}
}

func decode(object store.Object) (record, error) {
	var current record
	if object.Version.IsZero() {
		return current, nil
	}
	err := json.Unmarshal(object.Value, &current)
	return current, err
}

func (l *Lease) read(ctx context.Context) (record, store.Revision, error) {
	object, err := l.store.Get(ctx, l.name)
	if err != nil {
		return record{}, store.Revision{}, err
	}
	l.recordEra(object.Version.Era)
	current, err := decode(object)
	return current, object.Version, err
}

// firstEra is the era of a store that never came back from a copy.
const firstEra = 1

// write writes a record if the object is at the given version, and returns the new
// version. If the answer is lost, it reads the object back and compares the nonce.
// A write that may still be in transit counts as failed. It does no harm later,
// because it no longer takes effect once the object has another version.
func (l *Lease) write(ctx context.Context, version store.Revision, next record) (store.Revision, error) {
	raw, err := json.Marshal(next)
	if err != nil {
		return store.Revision{}, err
	}
	object, err := l.store.Put(ctx, l.name, version, raw)
	var unknown *store.UnknownError
	if err == nil || !errors.As(err, &unknown) {
		return object.Version, err
	}
	for range l.readBacks {
		current, currentVersion, readErr := l.read(ctx)
		if readErr == nil && current.Nonce == next.Nonce {
			return currentVersion, nil
		}
		if readErr == nil && currentVersion != version {
			return store.Revision{}, &store.ConflictError{Name: l.name, Want: version, Current: store.Object{Name: l.name, Version: currentVersion}}
		}
		if l.clock.Sleep(ctx, readBackPause) != nil {
			break
		}
	}
	return store.Revision{}, err
}
