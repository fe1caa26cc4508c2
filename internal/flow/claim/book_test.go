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

// memory is a store of one process with the faults of the platform.
type memory struct {
	objects map[string]store.Object
	// loseAnswers makes that many writes take effect without an answer.
	loseAnswers int
	down        bool
}

func (m *memory) store() *store.Store {
	return &store.Store{GetFunc: m.get, PutFunc: m.put, DeleteFunc: m.remove, ListFunc: m.list}
}

func (m *memory) get(_ context.Context, name string) (store.Object, error) {
	if m.down {
		return store.Object{}, &store.UnavailableError{Name: name}
	}
	return m.objects[name], nil
}

func (m *memory) put(_ context.Context, name string, want uint64, value []byte) (store.Object, error) {
	if m.down {
		return store.Object{}, &store.UnavailableError{Name: name}
	}
	if m.objects[name].Version != want {
		return store.Object{}, &store.ConflictError{Name: name, Want: want, Current: m.objects[name]}
	}
	m.objects[name] = store.Object{Name: name, Version: want + 1, Value: value}
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return store.Object{}, &store.UnknownError{Name: name, Cause: errors.New("connection reset")}
	}
	return m.objects[name], nil
}

func (m *memory) remove(_ context.Context, name string, want uint64) error {
	if m.objects[name].Version != want {
		return &store.ConflictError{Name: name, Want: want}
	}
	delete(m.objects, name)
	return nil
}

func (m *memory) list(context.Context, string) ([]store.Object, error) {
	var listed []store.Object
	for _, object := range m.objects {
		listed = append(listed, object)
	}
	return listed, nil
}

func newMemory() *memory { return &memory{objects: map[string]store.Object{}} }

func want(request string) claim.Call {
	return claim.Call{Organisation: "o", Service: "s", Key: "k", Fingerprint: 1, Request: request, TimeLeft: 1000}
}

func reasonOf(err error) fault.Reason {
	var refused *fault.RefusalError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// The caller repeats its key through another entry: while the first call runs,
// after it was answered, and after its entry died.
func TestSameKeyThroughAnotherEntry(t *testing.T) {
	ctx := context.Background()
	m := newMemory()
	wall := time.UnixMilli(1_000_000)
	read := func() time.Time { return wall }
	one := claim.New(m.store(), claim.WithWallClock(read))
	two := claim.New(m.store(), claim.WithWallClock(read))
	hold, _, err := one.Claim(ctx, want("r1"))
	assert.NilError(t, err)
	_, _, err = two.Claim(ctx, want("r2"))
	assert.Equal(t, reasonOf(err), fault.KeyInUse)
	wall = wall.Add(time.Hour)
	_, _, err = two.Claim(ctx, want("r2"))
	assert.Equal(t, reasonOf(err), fault.OutcomeUnknown)
	assert.NilError(t, one.Finish(ctx, hold, claim.Outcome{State: claim.Done, Status: 201, Answer: []byte("booked")}))
	_, kept, err := two.Claim(ctx, want("r3"))
	assert.NilError(t, err)
	assert.Equal(t, string(kept.Answer), "booked")
	other := want("r4")
	other.Fingerprint = 2
	_, _, err = two.Claim(ctx, other)
	assert.Equal(t, reasonOf(err), fault.BadRequest)
}

// The platform took the claim but its answer was lost. The entry must find out
// that the claim is its own, or the caller's first try is refused for nothing.
func TestLostAnswerOfOwnClaim(t *testing.T) {
	m := newMemory()
	m.loseAnswers = 1
	hold, _, err := claim.New(m.store()).Claim(context.Background(), want("r1"))
	assert.NilError(t, err)
	assert.Assert(t, hold != nil)
}

// While the platform is down nobody can tell whether a key has run, so keyed
// calls are refused, and "not run" is not said.
func TestPlatformDown(t *testing.T) {
	m := newMemory()
	m.down = true
	_, _, err := claim.New(m.store()).Claim(context.Background(), want("r1"))
	var refused *fault.RefusalError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Reason, fault.KeyUnavailable)
	assert.Equal(t, refused.Ran, fault.MayHaveRun)
}

func TestCallProvedNotRunIsTakenOver(t *testing.T) {
	ctx := context.Background()
	m := newMemory()
	book := claim.New(m.store())
	hold, _, err := book.Claim(ctx, want("r1"))
	assert.NilError(t, err)
	m.loseAnswers = 1
	assert.NilError(t, book.Finish(ctx, hold, claim.Outcome{State: claim.NotRun}))
	hold, _, err = book.Claim(ctx, want("r2"))
	assert.NilError(t, err)
	assert.Assert(t, hold != nil)
}

func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	ctx := context.Background()
	m := newMemory()
	wall := time.UnixMilli(0)
	still := clock.New(clock.WithAfter(func(clock.Millis) (<-chan struct{}, func()) {
		due := make(chan struct{})
		close(due)
		return due, func() {}
	}))
	book := claim.New(m.store(), claim.WithWallClock(func() time.Time { return wall }), claim.WithClock(still))
	_, _, err := book.Claim(ctx, want("r1"))
	assert.NilError(t, err)
	wall = wall.Add(claim.Retention.Duration() - time.Second)
	assert.Equal(t, book.SweepPrefix(ctx, 0), 0)
	wall = wall.Add(2 * time.Second)
	assert.Equal(t, book.SweepPrefix(ctx, 0), 1)
}
