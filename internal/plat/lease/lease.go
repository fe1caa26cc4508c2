// Package lease holds a name in the platform's object API for one process at a
// time, and numbers the holders: each has a greater fencing number than those
// before it. Hosts' clocks differ, so nobody's clock is compared with another's.
// The holder counts its term from before the call that granted it; everyone
// else counts from when they saw the object change last.
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

// DefaultTerm is how long a grant holds without being renewed.
const DefaultTerm = 10 * clock.Second

// delayShare: a message is on its way for at most this part of a term.
const delayShare = 4

// defaultReadBacks bounds the reads that settle a write whose answer was lost.
const defaultReadBacks = 5

// readBackPause lets a write that is still on its way arrive.
const readBackPause = 50 * clock.Millis(1)

// record is the lease object.
type record struct {
	// Holder is empty when the lease was released.
	Holder string `json:"holder,omitempty"`
	// Fence grows with each new holder and never goes back.
	Fence uint64 `json:"fence"`
	// Nonce is drawn for each write, to recognise an own one.
	Nonce string `json:"nonce"`
}

// Lease is one process's view of one lease. Its methods may be called at once
// from several goroutines, but take turns.
type Lease struct {
	store  *store.Store
	name   string
	holder string
	clock  *clock.Clock
	term   clock.Millis
	nonce  func() string
	// readBacks bounds the reads that settle a write whose answer was lost.
	readBacks int

	turn sync.Mutex

	mu      sync.Mutex
	fence   uint64
	version uint64
	until   clock.Millis
	// quiet is until when an earlier holder may still act.
	quiet clock.Millis
	// seen and seenAt are the version of another holder's object, and when it
	// was first seen.
	seen   uint64
	seenAt clock.Millis
}

// Option changes a Lease while it is built.
type Option func(*Lease)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(l *Lease) { l.clock = c } }

// WithTerm sets how long a grant holds without being renewed. All processes
// that share a lease must use the same.
func WithTerm(term clock.Millis) Option { return func(l *Lease) { l.term = term } }

// WithNonce replaces the source of nonces.
func WithNonce(nonce func() string) Option { return func(l *Lease) { l.nonce = nonce } }

// WithReadBacks bounds the reads that settle a write whose answer was lost.
func WithReadBacks(reads int) Option { return func(l *Lease) { l.readBacks = reads } }

// New returns a view of the lease kept in the object of that name. The holder
// must differ for each start of a process.
func New(platform *store.Store, name, holder string, opts ...Option) *Lease {
	l := &Lease{store: platform, name: name, holder: holder, clock: clock.New(), term: DefaultTerm, nonce: token.NewRequestID, readBacks: defaultReadBacks}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// HeldError says that another process holds the lease.
type HeldError struct {
	Name   string
	Holder string
	Fence  uint64
	// Left is how long the holder may be silent before the lease can be taken.
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

// Valid reports whether this process holds the lease at this very instant.
// Ask it after any wait and right before acting: a process that was paused
// comes back with a lapsed lease and doesn't notice otherwise, and two holders
// then act at once.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence != 0 && l.clock.Now() < l.until
}

// Left returns how long the lease stays valid without being renewed.
func (l *Lease) Left() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.until-l.clock.Now())
}

// QuietPeriod returns how long what an earlier holder did in good faith may still
// arrive: its term, and the delay of a message that it sent at the end of it.
// Who gives orders to something that ignores fencing numbers waits it out.
func (l *Lease) QuietPeriod() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.quiet-l.clock.Now())
}

// Acquire takes the lease if it is free, released, or its holder has been silent
// for a term. Otherwise it fails with a HeldError.
func (l *Lease) Acquire(ctx context.Context) error { return l.acquire(ctx, 0, false) }

// Seize takes the lease from whoever holds it, with a fencing number of at
// least floor. The earlier holder finds out when it renews.
func (l *Lease) Seize(ctx context.Context, floor uint64) error { return l.acquire(ctx, floor, true) }

func (l *Lease) acquire(ctx context.Context, floor uint64, seize bool) error {
	l.turn.Lock()
	defer l.turn.Unlock()
	began := l.clock.Now()
	current, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	if !seize {
		if err := l.free(current, version); err != nil {
			return err
		}
	}
	next := record{Holder: l.holder, Fence: max(current.Fence+1, floor), Nonce: l.nonce()}
	version, err = l.write(ctx, version, next)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.version, l.until = next.Fence, version, began+l.term
	if current.Holder != "" && current.Holder != l.holder {
		l.quiet = l.clock.Now() + l.term + l.term/delayShare
	}
	return nil
}

// free fails unless the lease can be taken. The object's version changes with
// each sign of life, so a holder is gone when it stays the same for a term.
func (l *Lease) free(current record, version uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current.Holder == "" || current.Holder == l.holder {
		return nil
	}
	now := l.clock.Now()
	if version != l.seen {
		l.seen, l.seenAt = version, now
	}
	if left := l.seenAt + l.term - now; left > 0 {
		return &HeldError{Name: l.name, Holder: current.Holder, Fence: current.Fence, Left: left}
	}
	return nil
}

// Renew extends the term, and shows a sign of life to those who wait for the
// lease. It is a write, because a read may be stale: it could confirm a lease
// that another process has taken. A HeldError says that one has.
func (l *Lease) Renew(ctx context.Context) error {
	l.turn.Lock()
	defer l.turn.Unlock()
	began := l.clock.Now()
	l.mu.Lock()
	next, version := record{Holder: l.holder, Fence: l.fence, Nonce: l.nonce()}, l.version
	l.mu.Unlock()
	version, err := l.write(ctx, version, next)
	if err != nil {
		return l.lost(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.until = version, began+l.term
	return nil
}

// Release gives the lease up, so that the next holder need not wait.
func (l *Lease) Release(ctx context.Context) error {
	l.turn.Lock()
	defer l.turn.Unlock()
	l.mu.Lock()
	next, version := record{Fence: l.fence, Nonce: l.nonce()}, l.version
	held := l.fence != 0
	l.fence, l.until = 0, 0
	l.mu.Unlock()
	if !held {
		return nil
	}
	_, err := l.write(ctx, version, next)
	return err
}

// lost ends the hold when the object was changed by another process. After
// any other failure the term goes on to its end.
func (l *Lease) lost(err error) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	current, _ := decode(conflict.Current)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.until = 0, 0
	return &HeldError{Name: l.name, Holder: current.Holder, Fence: current.Fence, Left: l.term}
}

func decode(object store.Object) (record, error) {
	var current record
	if object.Version == 0 {
		return current, nil
	}
	err := json.Unmarshal(object.Value, &current)
	return current, err
}

func (l *Lease) read(ctx context.Context) (record, uint64, error) {
	object, err := l.store.Get(ctx, l.name)
	if err != nil {
		return record{}, 0, err
	}
	current, err := decode(object)
	return current, object.Version, err
}

// write writes a record on the condition of a version. When the answer is
// lost, it reads back and compares the nonce; a write that might still be on
// its way counts as failed, and the condition keeps it from doing harm later.
func (l *Lease) write(ctx context.Context, version uint64, next record) (uint64, error) {
	raw, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	object, err := l.store.Put(ctx, l.name, version, raw)
	var unknown *store.UnknownError
	if err == nil || !errors.As(err, &unknown) {
		return object.Version, err
	}
	for range l.readBacks {
		current, at, readErr := l.read(ctx)
		if readErr == nil && current.Nonce == next.Nonce {
			return at, nil
		}
		if readErr == nil && at != version {
			return 0, &store.ConflictError{Name: l.name, Want: version, Current: store.Object{Name: l.name, Version: at}}
		}
		if l.clock.Sleep(ctx, readBackPause) != nil {
			break
		}
	}
	return 0, err
}
