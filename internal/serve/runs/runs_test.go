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

// Every endpoint of a pool fails every call. If each call were tried four
// times, the pool would see four times its load just when it bears least. It
// sees a tenth more at most, beside the reserve of ten retries at the start.
func TestFailingPoolSeesNoStorm(t *testing.T) {
	fails := func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall {
			refuse(s, f.Call.ID, fault.EndpointFailed, fault.MayHaveRun)
		}
	}
	agents := []*fakeAgent{
		startAgent(t, "e1", "za", fails), startAgent(t, "e2", "zb", fails), startAgent(t, "e3", "zc", fails),
	}
	r := newRig(t, agents...)
	const offered = 400
	reasons := map[fault.Reason]int{}
	for range offered {
		_, err := r.runs.Plain(t.Context(), r.request(3000), "s", "p", "GET /")
		reasons[refusalOf(t, err).Reason]++
	}
	seen := int64(0)
	for _, a := range agents {
		seen += a.calls.Load()
	}
	assert.Assert(t, seen <= offered*11/10+10, "%d calls", seen)
	assert.Assert(t, reasons[fault.RetryBudget] > offered/2, "%v", reasons)
	retried := r.counted(t, "jujubescale_entry_retried_total", "pool", "p")
	assert.Equal(t, int64(retried), seen-offered)
}

// Answers of many requests cross on two sessions, some frames come twice, and
// some name a request or session that they don't belong to. Each request gets
// its own answer, and the strays are counted.
func TestCrossedAndDoubledFramesReachNobody(t *testing.T) {
	var stray atomic.Pointer[wire.Frame]
	mixes := func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind != wire.KindCall {
			return
		}
		id := f.Call.ID
		if old := stray.Swap(&wire.Frame{Kind: wire.KindPart, Part: &wire.Part{ID: id, Bytes: []byte("stray")}}); old != nil {
			// Bytes for an attempt that is over, or at the other endpoint.
			_ = s.Send(&wire.Frame{Kind: wire.KindPart, Part: old.Part})
		}
		answer(s, id, output(id))
		answer(s, id, output(id))
	}
	r := newRig(t, startAgent(t, "e1", "za", mixes), startAgent(t, "e2", "za", mixes))
	var group sync.WaitGroup
	for range 100 {
		group.Go(func() {
			request := r.request(30_000)
			out, err := r.runs.Pipeline(t.Context(), request, &r.manifest.Pipelines[0], json.RawMessage(`1`), nil)
			assert.Check(t, err)
			assert.Check(t, string(out) == `"`+request.Call.ID.Request+`/2"`, "%s", out)
		})
	}
	group.Wait()
	assert.Assert(t, r.counted(t, "jujubescale_entry_dropped_frames_total", "reason", "late") > 0)
}

// Operators take an availability zone out while a request is between two
// stages. The request keeps its release, but its next stage must not go there.
func TestZoneThatLeavesGetsNoNextStage(t *testing.T) {
	var r *rig
	leaves := func(a *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind != wire.KindCall {
			return
		}
		zones := []spread.Zone{{Name: a.zone, State: spread.ZoneLeft}}
		r.holder.Accept(spread.New(2, r.manifest, zones))
		echo(a, s, f)
	}
	near := startAgent(t, "e1", "za", leaves)
	far := startAgent(t, "e2", "zb", echo)
	r = newRig(t, near, far)
	_, err := r.runs.Pipeline(t.Context(), r.request(30_000), &r.manifest.Pipelines[0], json.RawMessage(`1`), nil)
	assert.NilError(t, err)
	assert.Equal(t, near.calls.Load(), int64(1))
	assert.Equal(t, far.calls.Load(), int64(2))
}

// An endpoint says that it leaves. No new work goes there, and its refusals of
// what was under way cost no retry budget.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	leaving := func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall {
			_ = s.Send(&wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{Reason: "stop"}})
			refuse(s, f.Call.ID, fault.Leaving, fault.NotRun)
		}
	}
	near := startAgent(t, "e1", "za", leaving)
	r := newRig(t, near, startAgent(t, "e2", "zb", echo))
	for range 50 {
		_, err := r.runs.Plain(t.Context(), r.request(30_000), "s", "p", "GET /")
		assert.NilError(t, err)
	}
	assert.Equal(t, near.calls.Load(), int64(1))
}

// An agent says that it leaves and asks for a sign that this was heard. A call
// that comes after the sign would meet a closed session, and a booking's outcome
// would be unknown although nothing broke.
func TestNoCallFollowsTheSignThatLeavingWasHeard(t *testing.T) {
	var heard atomic.Bool
	var late atomic.Int64
	near := startAgent(t, "e1", "za", func(a *fakeAgent, s *sess.Session, f *wire.Frame) {
		switch {
		case f.Kind == wire.KindBeat && f.Beat.Reply && f.Beat.Mark == 7:
			heard.Store(true)
		case f.Kind == wire.KindCall && heard.Load():
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
	r := newRig(t, near, startAgent(t, "e2", "zb", echo))
	_, view := r.peers.View("p")
	link := r.peers.Link(view.Near[0])
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 40 {
				_, err := r.runs.Plain(t.Context(), r.request(30_000), "s", "p", "GET /")
				assert.Check(t, err)
			}
		})
	}
	group.Wait()
	assert.Assert(t, heard.Load())
	assert.Equal(t, late.Load(), int64(0))
	// An attempt that chose the endpoint just before it left is turned away.
	_, err := link.Call(&wire.Call{}, peers.NewEventQueue(), 0)
	assert.Equal(t, refusalOf(t, err).Reason, fault.Leaving)
}

// The remaining stages typically take longer than what is left. Starting would
// only spend engine time on an answer that nobody waits for.
func TestRequestThatWontMakeItIsNotStarted(t *testing.T) {
	slow := func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall {
			id := f.Call.ID
			go func() {
				_ = clock.New().Sleep(context.Background(), 30) // the work of the stage
				answer(s, id, output(id))
			}()
		}
	}
	a := startAgent(t, "e1", "za", slow)
	r := newRig(t, a)
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() {
			_, err := r.runs.Pipeline(t.Context(), r.request(30_000), &r.manifest.Pipelines[0], json.RawMessage(`1`), nil)
			assert.Check(t, err)
		})
	}
	group.Wait()
	before := a.calls.Load()
	_, err := r.runs.Pipeline(t.Context(), r.request(20), &r.manifest.Pipelines[0], json.RawMessage(`1`), nil)
	refused := refusalOf(t, err)
	assert.Equal(t, refused.Reason, fault.WontMakeIt)
	assert.Equal(t, refused.Ran, fault.NotRun)
	assert.Equal(t, a.calls.Load(), before)
}

// A pipeline's third stage is refused as not run. The request as a whole did
// run in part, and must not be called not run.
func TestRefusalAfterStagesRanIsNotCalledNotRun(t *testing.T) {
	r := newRig(t, startAgent(t, "e1", "za", func(a *fakeAgent, s *sess.Session, f *wire.Frame) {
		if f.Kind == wire.KindCall && f.Call.ID.Stage == 2 {
			refuse(s, f.Call.ID, fault.QueueFull, fault.NotRun)
			return
		}
		echo(a, s, f)
	}))
	_, err := r.runs.Pipeline(t.Context(), r.request(30_000), &r.manifest.Pipelines[0], json.RawMessage(`1`), nil)
	assert.Equal(t, refusalOf(t, err).Ran, fault.DidRun)
}

// The caller goes while its attempt's session is lost. The withdrawal has to
// reach the agent on the next session, or the engine works for nobody.
func TestWithdrawalIsSentOnNextSession(t *testing.T) {
	cancelled := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	r := newRig(t, startAgent(t, "e1", "za", func(_ *fakeAgent, s *sess.Session, f *wire.Frame) {
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
	request := r.request(30_000)
	request.Call.Idempotent = false
	_, err := r.runs.Plain(ctx, request, "s", "p", "GET /")
	assert.Equal(t, refusalOf(t, err).Ran, fault.MayHaveRun)
	<-cancelled
}

// BenchmarkStageCall is one short stage call through the entry's decisions, a
// session on loopback and back; agents cost next to nothing here.
func BenchmarkStageCall(b *testing.B) {
	r := newRig(b, startAgent(b, "e1", "za", echo), startAgent(b, "e2", "za", echo), startAgent(b, "e3", "za", echo))
	b.ReportAllocs()
	b.SetParallelism(32)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := r.runs.Plain(context.Background(), r.request(30_000), "s", "p", "GET /"); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkStageCallAlone is the same, one call at a time.
func BenchmarkStageCallAlone(b *testing.B) {
	r := newRig(b, startAgent(b, "e1", "za", echo))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.runs.Plain(context.Background(), r.request(30_000), "s", "p", "GET /"); err != nil {
			b.Error(err)
		}
	}
}
