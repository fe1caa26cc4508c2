package claim_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/claim"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// fakeStore is an in-memory store with the faults of the platform.
type fakeStore struct {
	objects map[string]store.Object
	// loseAnswers is the number of writes that take effect but get no answer.
	loseAnswers int
	down        bool
}

func (m *fakeStore) store() *store.Store {
	return &store.Store{GetFunc: m.get, PutFunc: m.put, DeleteFunc: m.remove, ListFunc: m.list}
}

func (m *fakeStore) get(_ context.Context, name string) (store.Object, error) {
	if m.down {
		return store.Object{}, &store.UnavailableError{Name: name}
	}
	return m.objects[name], nil
}

func (m *fakeStore) put(_ context.Context, name string, want store.Revision, value []byte) (store.Object, error) {
	if m.down {
		return store.Object{}, &store.UnavailableError{Name: name}
	}
	if m.objects[name].Version != want {
		return store.Object{}, &store.ConflictError{Name: name, Want: want, Current: m.objects[name]}
	}
	m.objects[name] = store.Object{Name: name, Version: store.At(want.Number + 1), Value: value}
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return store.Object{}, &store.UnknownError{Name: name, Cause: errors.New("connection reset")}
	}
	return m.objects[name], nil
}

func (m *fakeStore) remove(_ context.Context, name string, want store.Revision) error {
	if m.objects[name].Version != want {
		return &store.ConflictError{Name: name, Want: want}
	}
	delete(m.objects, name)
	return nil
}

func (m *fakeStore) list(context.Context, string) ([]store.Object, error) {
	var listed []store.Object
	for _, object := range m.objects {
		listed = append(listed, object)
	}
	return listed, nil
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]store.Object{}} }

func callFrom(request string) claim.Call {
	return claim.Call{Organisation: "o", Service: "s", Key: "k", Fingerprint: 1, Request: request, TimeLeft: 1000}
}

func reasonOf(err error) fault.Reason {
	var refused *fault.RefusalError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// Guards against a call that runs twice because its caller repeats the key at
// another entry: while the first call runs, after its entry crashed, and after it
// was answered.
func TestSameKeyThroughAnotherEntryIsNotRunAgain(t *testing.T) {
	ctx := context.Background()
	m := newFakeStore()
	wall := time.UnixMilli(1_000_000)
	wallClock := func() time.Time { return wall }
	first := claim.New(m.store(), claim.WithWallClock(wallClock))
	second := claim.New(m.store(), claim.WithWallClock(wallClock))
	hold, _, err := first.Claim(ctx, callFrom("r1"))
	assert.NilError(t, err)
	_, _, err = second.Claim(ctx, callFrom("r2"))
	assert.Equal(t, reasonOf(err), fault.KeyInUse)
	wall = wall.Add(time.Hour)
	_, _, err = second.Claim(ctx, callFrom("r2"))
	assert.Equal(t, reasonOf(err), fault.OutcomeUnknown)
	assert.NilError(t, first.Finish(ctx, hold, claim.Outcome{State: claim.Done, Status: 201, Answer: []byte("booked")}))
	_, kept, err := second.Claim(ctx, callFrom("r3"))
	assert.NilError(t, err)
	assert.Equal(t, string(kept.Answer), "booked")
	other := callFrom("r4")
	other.Fingerprint = 2
	_, _, err = second.Claim(ctx, other)
	assert.Equal(t, reasonOf(err), fault.BadRequest)
}

// Guards against an entry that refuses a first call because the claim was stored
// but the platform's answer was lost. The entry must recognise its own claim.
func TestClaimIsHeldAfterLostAnswer(t *testing.T) {
	m := newFakeStore()
	m.loseAnswers = 1
	hold, _, err := claim.New(m.store()).Claim(context.Background(), callFrom("r1"))
	assert.NilError(t, err)
	assert.Assert(t, hold != nil)
}

// Guards against a refusal that reports NotRun while the platform is down: an
// earlier call with the key may have run at another entry.
func TestKeyedCallIsRefusedWithoutPlatform(t *testing.T) {
	m := newFakeStore()
	m.down = true
	_, _, err := claim.New(m.store()).Claim(context.Background(), callFrom("r1"))
	var refused *fault.RefusalError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Reason, fault.KeyUnavailable)
	assert.Equal(t, refused.Ran, fault.MayHaveRun)
}

func TestKeyOfCallThatDidNotRunCanBeClaimed(t *testing.T) {
	ctx := context.Background()
	m := newFakeStore()
	registry := claim.New(m.store())
	hold, _, err := registry.Claim(ctx, callFrom("r1"))
	assert.NilError(t, err)
	m.loseAnswers = 1
	assert.NilError(t, registry.Finish(ctx, hold, claim.Outcome{State: claim.NotRun}))
	hold, _, err = registry.Claim(ctx, callFrom("r2"))
	assert.NilError(t, err)
	assert.Assert(t, hold != nil)
}

func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	ctx := context.Background()
	m := newFakeStore()
	wall := time.UnixMilli(0)
	instant := clock.New(clock.WithAfter(func(clock.Millis) (<-chan struct{}, func()) {
		due := make(chan struct{})
		close(due)
		return due, func() {}
	}))
	registry := claim.New(m.store(), claim.WithWallClock(func() time.Time { return wall }), claim.WithClock(instant))
	_, _, err := registry.Claim(ctx, callFrom("r1"))
	assert.NilError(t, err)
	wall = wall.Add(claim.Retention.Duration() - time.Second)
	assert.Equal(t, registry.SweepPrefix(ctx, 0), 0)
	wall = wall.Add(2 * time.Second)
	assert.Equal(t, registry.SweepPrefix(ctx, 0), 1)
}
