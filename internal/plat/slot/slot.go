// Package slot limits how many processes of the whole fleet do something at the
// same time, such as loading weights from the rate-limited weight store. Each slot
// is a lease, and the number of slots is fixed.
package slot

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/lease"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// Pauses between attempts to acquire a slot, and the renewal of slots.
const (
	firstPause = 200 * clock.Millis(1)
	maxPause   = 8 * clock.Second
	// renewalsPerTerm allows two renewals in a row to fail.
	renewalsPerTerm = 3
)

// Slots is one process's view of a fixed number of slots.
type Slots struct {
	store  *store.Store
	prefix string
	count  int
	holder string
	clock  *clock.Clock
	term   clock.Millis
	leases []*lease.Lease
}

// Option configures Slots.
type Option func(*Slots)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(s *Slots) { s.clock = c } }

// WithTerm sets the time after which a slot is free if its holder doesn't renew it.
func WithTerm(term clock.Millis) Option { return func(s *Slots) { s.term = term } }

// New returns one process's view of count slots, whose leases have names below
// prefix.
func New(platform *store.Store, prefix string, count int, holder string, opts ...Option) *Slots {
	s := &Slots{
		store: platform, prefix: prefix, count: max(1, count), holder: holder,
		clock: clock.New(), term: lease.DefaultTerm,
	}
	for _, opt := range opts {
		opt(s)
	}
	for i := range s.count {
		s.leases = append(s.leases, lease.New(platform, fmt.Sprintf("%s/%d", prefix, i), holder,
			lease.WithClock(s.clock), lease.WithTerm(s.term)))
	}
	return s
}

// Do waits for a slot and runs a function while it holds the slot. It stops waiting
// when the context ends. The function's context ends if the slot is lost.
func (s *Slots) Do(ctx context.Context, run func(context.Context) error) error {
	held, err := s.acquire(ctx)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(ctx)
	renewalDone := make(chan struct{})
	go func() {
		defer close(renewalDone)
		defer cancel()
		s.renew(runCtx, held)
	}()
	err = run(runCtx)
	cancel()
	<-renewalDone
	// Release the slot even if the caller's context has ended, so that the next
	// process need not wait for a term.
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), s.term.Duration())
	defer cancelRelease()
	if releaseErr := held.Release(releaseCtx); releaseErr != nil && err == nil {
		return nil // the lease expires anyway
	}
	return err
}

// acquire tries all slots in turn, starting with a random one, until it holds one.
// It pauses after each round. The pauses grow, so that hundreds of waiting
// processes don't use up the platform's rate limit, and are random, so that these
// processes don't retry at the same time.
func (s *Slots) acquire(ctx context.Context) (*lease.Lease, error) {
	pause := firstPause
	for {
		first := rand.N(s.count)
		for i := range s.count {
			candidate := s.leases[(first+i)%s.count]
			err := candidate.Acquire(ctx)
			if err == nil {
				return candidate, nil
			}
			var unavailable *store.UnavailableError
			if errors.As(err, &unavailable) {
				break
			}
		}
		if err := s.clock.Sleep(ctx, pause/2+rand.N(pause)); err != nil {
			return nil, err
		}
		pause = min(2*pause, maxPause)
	}
}

// renew renews the lease until the context ends or the slot is lost.
func (s *Slots) renew(ctx context.Context, held *lease.Lease) {
	for s.clock.Sleep(ctx, s.term/renewalsPerTerm) == nil {
		_ = held.Renew(ctx)
		if !held.Valid() {
			return
		}
	}
}
