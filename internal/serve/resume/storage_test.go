package resume_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/resume"
)

// startStored starts a single process beside a store whose reads are answered by read. It sends
// what the process writes to the channel.
func startStored(t *testing.T, versions []string, read func(ctx context.Context) ([]wire.Origin, error)) (*resume.Tracker, <-chan []wire.Origin) {
	t.Helper()
	written := make(chan []wire.Origin, 16)
	tracker := resume.New(resume.WithPeers(resume.Peers{
		Self: "gateway-1", KeepersFunc: func() []string { return []string{"gateway-1"} }, AggregatorFunc: func() string { return "" },
		OpenFunc: func(string) {},
	}), resume.WithStorage(resume.Storage{
		VersionsFunc: func() map[string][]string { return map[string][]string{"models": versions} },
		ReadyFunc:    func() bool { return true },
		WriteFunc: func(_ context.Context, _ int, origins []wire.Origin) error {
			written <- origins
			return nil
		},
		ReadFunc: read,
	}))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	for _, run := range []func(context.Context){tracker.Run, tracker.RunStorage} {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return tracker, written
}

func storedOrigin(key origin.Key) wire.Origin {
	return wire.Origin{Stream: key[:], Endpoint: "e", StartedAt: 1, Version: "v1", Age: 100, Left: 10000}
}

func noOrigins(context.Context) ([]wire.Origin, error) { return nil, nil }

func beginAt(tracker *resume.Tracker, named, other origin.Key) {
	tracker.NewStream("models", []origin.Key{named}, []origin.Key{other}).
		Begin(&origin.Origin{Endpoint: "e", Version: "v1", Until: clock.New().Now() + clock.Minute})
}

func TestOnlyNamedStreamsOfMixedPoolsAreWritten(t *testing.T) {
	named, other := origin.Key{1}, origin.Key{2}
	tracker, written := startStored(t, []string{"v1", "v2"}, noOrigins)
	beginAt(tracker, named, other)
	got := <-written
	assert.Equal(t, len(got), 1)
	assert.Equal(t, origin.Key(got[0].Stream), named)

	tracker, written = startStored(t, []string{"v1"}, noOrigins)
	beginAt(tracker, named, other)
	select {
	case got := <-written:
		t.Fatalf("%d origins of a pool with one version were written", len(got))
	case <-time.After(time.Second):
	}
}

// Guards against streams that are refused as unknown while a process that has just started still
// reads what stands in the store.
func TestResumptionWaitsForTheStoreToBeRead(t *testing.T) {
	key := origin.Key{1}
	answer := make(chan struct{})
	tracker, _ := startStored(t, nil, func(context.Context) ([]wire.Origin, error) {
		<-answer
		return []wire.Origin{storedOrigin(key)}, nil
	})
	time.AfterFunc(200*time.Millisecond, func() { close(answer) })
	found := tracker.Find(t.Context(), key)
	assert.Equal(t, found.Verdict, origin.Known)
	assert.Equal(t, found.Origin.Version, "v1")
}

// Guards against callers that wait again and again for a store that doesn't answer.
func TestUnreadStoreDelaysResumptionsOnlyAfterAStart(t *testing.T) {
	var reads atomic.Int64
	tracker, _ := startStored(t, nil, func(ctx context.Context) ([]wire.Origin, error) {
		reads.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	c := clock.New()
	began := c.Now()
	found := tracker.Find(t.Context(), origin.Key{1})
	assert.Equal(t, found.Verdict, origin.Unknown)
	assert.Assert(t, c.Since(began) < 1500*clock.Millis(1), "%d ms", c.Since(began))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if began := c.Now(); tracker.Find(t.Context(), origin.Key{1}).Verdict == origin.Unknown && c.Since(began) < 100*clock.Millis(1) {
			return poll.Success()
		}
		return poll.Continue("resumptions still wait")
	}, poll.WithTimeout(10*time.Second))
	assert.Assert(t, reads.Load() > 1, "it is read again")
}
