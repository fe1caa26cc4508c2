package lease_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/lease"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

const term = 1 * clock.Second

// platform stores one object and can lose the answer of a write.
type platform struct {
	object store.Object
	// lose makes the next write return an UnknownError, either after it took effect
	// (1) or without an effect (2).
	lose int
}

func (p *platform) store() *store.Store {
	return &store.Store{
		GetFunc: func(context.Context, string) (store.Object, error) { return p.object, nil },
		PutFunc: func(_ context.Context, name string, want store.Revision, value []byte) (store.Object, error) {
			lose := p.lose
			p.lose = 0
			if lose == 2 {
				return store.Object{}, &store.UnknownError{Name: name}
			}
			if p.object.Version != want {
				return store.Object{}, &store.ConflictError{Name: name, Want: want, Current: p.object}
			}
			p.object = store.Object{Name: name, Version: store.At(want.Number + 1), Value: value}
			if lose == 1 {
				return store.Object{}, &store.UnknownError{Name: name}
			}
			return p.object, nil
		},
	}
}

// sleepless returns a fake clock whose sleeps return at once.
func sleepless(fake *clock.Fake) *clock.Clock {
	c := fake.Clock()
	c.AfterFunc = func(clock.Millis) (<-chan struct{}, func()) {
		done := make(chan struct{})
		close(done)
		return done, func() {}
	}
	return c
}

func newPair(p *platform) (fake *clock.Fake, a, b *lease.Lease) {
	fake = clock.NewFake(1)
	opts := []lease.Option{lease.WithClock(sleepless(fake)), lease.WithTerm(term)}
	return fake, lease.New(p.store(), "l", "a", opts...), lease.New(p.store(), "l", "b", opts...)
}

func mustBeHeld(t *testing.T, err error) *lease.HeldError {
	t.Helper()
	var held *lease.HeldError
	assert.Assert(t, errors.As(err, &held), "got %v", err)
	return held
}

// Guards against two processes that act as holder: one is paused beyond its term
// while another acquires the lease. After the pause, the first must find by its own
// clock that its lease has expired.
func TestPausedHolderSeesItsLeaseExpired(t *testing.T) {
	fake, a, b := newPair(&platform{})
	assert.NilError(t, a.Acquire(t.Context()))
	assert.Assert(t, a.Valid())
	assert.Equal(t, mustBeHeld(t, b.Acquire(t.Context())).Holder, "a")
	fake.Advance(term)
	assert.Assert(t, !a.Valid())
	assert.NilError(t, b.Acquire(t.Context()))
	assert.Assert(t, b.Fence() > 1)
	assert.Equal(t, mustBeHeld(t, a.Renew(t.Context())).Holder, "b")
	assert.Equal(t, a.Fence(), uint64(0))
	assert.Assert(t, b.Valid())
}

func TestRenewedLeaseIsNotAcquired(t *testing.T) {
	fake, a, b := newPair(&platform{})
	assert.NilError(t, a.Acquire(t.Context()))
	for range 5 {
		assert.Equal(t, mustBeHeld(t, b.Acquire(t.Context())).Holder, "a")
		fake.Advance(term / 2)
		assert.NilError(t, a.Renew(t.Context()))
		assert.Assert(t, a.Valid())
	}
}

func TestReleasedLeaseIsFreeAtOnce(t *testing.T) {
	_, a, b := newPair(&platform{})
	assert.NilError(t, a.Acquire(t.Context()))
	assert.NilError(t, a.Release(t.Context()))
	assert.NilError(t, b.Acquire(t.Context()))
	assert.Equal(t, b.Fence(), uint64(2))
	assert.Equal(t, b.QuietPeriod(), clock.Millis(0))
}

func TestSeizeTakesAHigherNumber(t *testing.T) {
	_, a, b := newPair(&platform{})
	assert.NilError(t, a.Acquire(t.Context()))
	assert.NilError(t, b.Seize(t.Context(), 40))
	assert.Equal(t, b.Fence(), uint64(40))
	assert.Assert(t, b.QuietPeriod() > term)
	assert.Equal(t, mustBeHeld(t, a.Renew(t.Context())).Fence, uint64(40))
}

// The write that acquires the lease has no answer. If the process ignored a write
// that took effect, the lease would be unusable for a term; if it assumed an effect
// of a write that had none, two processes could hold the lease.
func TestWriteWithLostAnswer(t *testing.T) {
	cases := []struct {
		name  string
		lose  int
		taken bool
	}{
		{"the write took effect", 1, true},
		{"the write did not take effect", 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &platform{lose: c.lose}
			_, a, b := newPair(p)
			err := a.Acquire(t.Context())
			assert.Equal(t, err == nil, c.taken)
			assert.Equal(t, a.Valid(), c.taken)
			assert.Equal(t, b.Acquire(t.Context()) == nil, !c.taken)
		})
	}
}

// After the platform's store was restored from an older state, the fencing number
// must be at least the floor that the caller of Seize gives.
func TestSeizeFloorAfterStoreRestore(t *testing.T) {
	p := &platform{}
	_, a, b := newPair(p)
	assert.NilError(t, a.Seize(t.Context(), 0))
	p.object = store.Object{}
	assert.NilError(t, b.Seize(t.Context(), 7))
	assert.Equal(t, b.Fence(), uint64(7))
}
