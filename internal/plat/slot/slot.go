// Package slot bounds how many processes of the whole fleet do a thing at
// once, such as loading weights from the rate-limited weight store: a fixed
// number of leases, one for each place.
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

// Spans between two tries for a place.
const (
	firstPause = 200 * clock.Millis(1)
	maxPause   = 8 * clock.Second
	// renewals in a term, so that two may fail.
	renewals = 3
)

// Slots is the places of one kind.
type Slots struct {
	store  *store.Store
	prefix string
	count  int
	holder string
	clock  *clock.Clock
	term   clock.Millis
	leases []*lease.Lease
}

// Option changes Slots while they are built.
type Option func(*Slots)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(s *Slots) { s.clock = c } }

// WithTerm sets after which silence a holder's place is free.
func WithTerm(term clock.Millis) Option { return func(s *Slots) { s.term = term } }

// New returns the view of one process on count places below a prefix.
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

// Do runs a function while holding a place, waiting for one as long as the
// context lasts. The function's context ends when the place is lost.
func (s *Slots) Do(ctx context.Context, run func(context.Context) error) error {
	held, err := s.wait(ctx)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		defer cancel()
		s.keep(inner, held)
	}()
	err = run(inner)
	cancel()
	<-kept
	// The place is freed also when the caller's time is over, so that the next
	// one need not wait for a term.
	leave, done := context.WithTimeout(context.WithoutCancel(ctx), s.term.Duration())
	defer done()
	if release := held.Release(leave); release != nil && err == nil {
		return nil // it lapses by itself
	}
	return err
}

// wait tries the places one after another, from a random one on, and then
// pauses. Pauses grow, so that hundreds that wait don't spend the platform's
// rate, and are drawn, so that they don't come back together.
func (s *Slots) wait(ctx context.Context) (*lease.Lease, error) {
	pause := firstPause
	for {
		first := rand.N(s.count)
		for i := range s.count {
			one := s.leases[(first+i)%s.count]
			err := one.Acquire(ctx)
			if err == nil {
				return one, nil
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

// keep renews until the context ends or the place is lost.
func (s *Slots) keep(ctx context.Context, held *lease.Lease) {
	for s.clock.Sleep(ctx, s.term/renewals) == nil {
		_ = held.Renew(ctx)
		if !held.Valid() {
			return
		}
	}
}
