package runs_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/peers"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

func refusalOf(t *testing.T, err error) *fault.RefusalError {
	t.Helper()
	var refused *fault.RefusalError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused
}

// Guards against retries that multiply the load of a pool whose endpoints fail every
// call. With four attempts per call the pool would get four times its load. The
// budget allows a tenth more, and ten retries at the start.
func TestRetryBudgetLimitsCallsToFailingPool(t *testing.T) {
	fails := func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall {
			refuse(s, f.Call.ID, fault.EndpointFailed, fault.MayHaveRun)
		}
	}
	agents := []*fakeAgent{
		startAgent(t, "e1", "za", fails), startAgent(t, "e2", "zb", fails), startAgent(t, "e3", "zc", fails),
	}
	fx := newFixture(t, agents...)
	const offered = 400
	reasons := map[fault.Reason]int{}
	for range offered {
		_, err := fx.runs.Plain(t.Context(), fx.request(3000), "s", "p", "GET /")
		reasons[refusalOf(t, err).Reason]++
	}
	calls := int64(0)
	for _, a := range agents {
		calls += a.calls.Load()
	}
	assert.Assert(t, calls <= offered*11/10+10, "%d calls", calls)
	assert.Assert(t, reasons[fault.RetryBudget] > offered/2, "%v", reasons)
	retried := fx.sumCounter(t, "jujubescale_entry_retried_total", "pool", "p")
	assert.Equal(t, int64(retried), calls-offered)
}

// Guards against answers that get mixed up between requests: on two sessions some
// frames arrive twice, and some name a request or session that they don't belong to.
// Each request must get its own answer, and the stray frames must be counted.
func TestStrayFramesAreDropped(t *testing.T) {
	var stray atomic.Pointer[wire.Frame]
	sendStray := func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind != wire.KindCall {
			return
		}
		id := f.Call.ID
		if old := stray.Swap(&wire.Frame{Kind: wire.KindPart, Part: &wire.Part{ID: id, Bytes: []byte("stray")}}); old != nil {
			// Bytes for an attempt that has ended or runs at the other endpoint.
			_ = s.Send(&wire.Frame{Kind: wire.KindPart, Part: old.Part})
		}
		answer(s, id, output(id))
		answer(s, id, output(id))
	}
	fx := newFixture(t, startAgent(t, "e1", "za", sendStray), startAgent(t, "e2", "za", sendStray))
	var group sync.WaitGroup
	for range 100 {
		group.Go(func() {
			request := fx.request(30_000)
			out, err := fx.runs.Pipeline(t.Context(), request, &fx.manifest.Pipelines[0], json.RawMessage(`1`), nil)
			assert.Check(t, err)
			assert.Check(t, string(out) == `"`+request.Call.ID.Request+`/2"`, "%s", out)
		})
	}
	group.Wait()
	assert.Assert(t, fx.sumCounter(t, "jujubescale_entry_dropped_frames_total", "reason", "late") > 0)
}

// Guards against sending the next stage to an availability zone that operators
// evacuated while a request was between two stages. The request keeps its release.
func TestEvacuatedZoneGetsNoNextStage(t *testing.T) {
	var fx *fixture
	leaves := func(a *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind != wire.KindCall {
			return
		}
		zones := []spread.Zone{{Name: a.zone, State: spread.ZoneEvacuated}}
		fx.holder.Accept(spread.New(2, fx.manifest, zones))
		echo(a, s, f)
	}
	near := startAgent(t, "e1", "za", leaves)
	far := startAgent(t, "e2", "zb", echo)
	fx = newFixture(t, near, far)
	_, err := fx.runs.Pipeline(t.Context(), fx.request(30_000), &fx.manifest.Pipelines[0], json.RawMessage(`1`), nil)
	assert.NilError(t, err)
	assert.Equal(t, near.calls.Load(), int64(1))
	assert.Equal(t, far.calls.Load(), int64(2))
}

// Guards against new work for an endpoint that has announced that it leaves, and
// against taking retries after its refusals from the retry budget.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	leaving := func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall {
			_ = s.Send(&wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{Reason: "stop"}})
			refuse(s, f.Call.ID, fault.Leaving, fault.NotRun)
		}
	}
	near := startAgent(t, "e1", "za", leaving)
	fx := newFixture(t, near, startAgent(t, "e2", "zb", echo))
	for range 50 {
		_, err := fx.runs.Plain(t.Context(), fx.request(30_000), "s", "p", "GET /")
		assert.NilError(t, err)
	}
	assert.Equal(t, near.calls.Load(), int64(1))
}

// Guards against calls to an agent after the entry has acknowledged that the agent
// leaves. Such a call may meet a closed session, and the outcome of a booking would
// be unknown although nothing failed.
func TestNoCallAfterLeaveIsAcknowledged(t *testing.T) {
	var acknowledged atomic.Bool
	var late atomic.Int64
	near := startAgent(t, "e1", "za", func(a *fakeAgent, s *sess.Session, f *wire.Frame) {
		switch {
		case f.Kind == wire.KindBeat && f.Beat.Reply && f.Beat.Mark == 7:
			acknowledged.Store(true)
		case f.Kind == wire.KindCall && acknowledged.Load():
			late.Add(1)
			echo(a, s, f)
		case f.Kind == wire.KindCall && a.calls.Load() == 20:
			_ = s.Send(&wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{Reason: "stop"}})
			_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Mark: 7}})
			echo(a, s, f)
		default:
			echo(a, s, f)
		}
	})
	fx := newFixture(t, near, startAgent(t, "e2", "zb", echo))
	_, view := fx.peers.View("p")
	link := fx.peers.Link(view.Near[0])
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 40 {
				_, err := fx.runs.Plain(t.Context(), fx.request(30_000), "s", "p", "GET /")
				assert.Check(t, err)
			}
		})
	}
	group.Wait()
	assert.Assert(t, acknowledged.Load())
	assert.Equal(t, late.Load(), int64(0))
	// An attempt that chose the endpoint just before it left is refused.
	_, err := link.Call(&wire.Call{}, peers.NewEventQueue(), 0)
	assert.Equal(t, refusalOf(t, err).Reason, fault.Leaving)
}

// Guards against engine time that is wasted on a request whose remaining stages
// typically take longer than the time left.
func TestRequestThatWouldMissItsDeadlineIsRefused(t *testing.T) {
	slow := func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall {
			id := f.Call.ID
			go func() {
				_ = clock.New().Sleep(context.Background(), 30) // duration of the stage
				answer(s, id, output(id))
			}()
		}
	}
	a := startAgent(t, "e1", "za", slow)
	fx := newFixture(t, a)
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() {
			_, err := fx.runs.Pipeline(t.Context(), fx.request(30_000), &fx.manifest.Pipelines[0], json.RawMessage(`1`), nil)
			assert.Check(t, err)
		})
	}
	group.Wait()
	before := a.calls.Load()
	_, err := fx.runs.Pipeline(t.Context(), fx.request(20), &fx.manifest.Pipelines[0], json.RawMessage(`1`), nil)
	refused := refusalOf(t, err)
	assert.Equal(t, refused.Reason, fault.DeadlineUnreachable)
	assert.Equal(t, refused.Ran, fault.NotRun)
	assert.Equal(t, a.calls.Load(), before)
}

// Guards against reporting a request as not run because its third stage was refused
// as not run, although the earlier stages ran.
func TestRefusalAfterEarlierStagesIsDidRun(t *testing.T) {
	fx := newFixture(t, startAgent(t, "e1", "za", func(a *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall && f.Call.ID.Stage == 2 {
			refuse(s, f.Call.ID, fault.QueueFull, fault.NotRun)
			return
		}
		echo(a, s, f)
	}))
	_, err := fx.runs.Pipeline(t.Context(), fx.request(30_000), &fx.manifest.Pipelines[0], json.RawMessage(`1`), nil)
	assert.Equal(t, refusalOf(t, err).Ran, fault.DidRun)
}

// Guards against wasted engine time when a caller leaves while the session of its
// attempt is lost: the cancellation must reach the agent on the next session.
func TestCancelIsSentOnNextSession(t *testing.T) {
	cancelled := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	fx := newFixture(t, startAgent(t, "e1", "za", func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		switch f.Kind {
		case wire.KindCall:
			s.Close(nil)
			go func() {
				<-s.Done()
				cancel()
			}()
		case wire.KindCancel:
			close(cancelled)
		default:
		}
	}))
	request := fx.request(30_000)
	request.Call.Idempotent = false
	_, err := fx.runs.Plain(ctx, request, "s", "p", "GET /")
	assert.Equal(t, refusalOf(t, err).Ran, fault.MayHaveRun)
	<-cancelled
}

// BenchmarkStageCall measures one short stage call through the decisions of the
// entry and a session on loopback. The fake agents cost almost nothing.
func BenchmarkStageCall(b *testing.B) {
	fx := newFixture(b, startAgent(b, "e1", "za", echo), startAgent(b, "e2", "za", echo), startAgent(b, "e3", "za", echo))
	b.ReportAllocs()
	b.SetParallelism(32)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := fx.runs.Plain(context.Background(), fx.request(30_000), "s", "p", "GET /"); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkSequentialStageCall measures the same with one call at a time.
func BenchmarkSequentialStageCall(b *testing.B) {
	fx := newFixture(b, startAgent(b, "e1", "za", echo))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := fx.runs.Plain(context.Background(), fx.request(30_000), "s", "p", "GET /"); err != nil {
			b.Error(err)
		}
	}
}
