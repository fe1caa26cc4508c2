package router_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against engine faults that break a guarantee: a booking runs at most once, a
// request that is refused as not executed did not run, and no caller gets a partial
// answer as a complete one or the answer to another request. The ledger checks all of
// these. After the faults, requests succeed again.
func TestEngineFaultsKeepGuarantees(t *testing.T) {
	for name, fault := range map[string]stand.Fault{
		"reset": {Reset: true}, "break": {Truncate: true}, "refuse": {Refuse: true}, "fail": {Fail: true}, "twice": {Duplicate: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := start(t, 2)
			fault.Every = 4
			for _, e := range b.Engines("") {
				e.SetFault(fault)
			}
			var group sync.WaitGroup
			for i := range 40 {
				group.Add(1)
				go func() {
					defer group.Done()
					request := []func() *stand.Request{booking, lookup, draft, summary}[i%4]
					b.send(b.gateways[i%2], request())
				}()
				time.Sleep(5 * time.Millisecond)
			}
			group.Wait()
			for _, e := range b.Engines("") {
				e.SetFault(stand.Fault{})
			}
			got := b.sendUntil(b.gateways[0], draft, func(got stand.Outcome) bool { return got.Complete })
			assert.Equal(t, got.Status, http.StatusOK)
		})
	}
}

// Guards against an incomplete answer when an engine fails in the middle of a resumable
// stream: another engine continues after the last complete event.
func TestStreamResumesAtAnotherEngine(t *testing.T) {
	b := start(t, 1)
	first := draft()
	assert.Assert(t, b.send(b.gateways[0], first).Complete)
	// Prompts with the same prefix go to the same engine.
	preferred := b.Ledger.Runs(first.ID)[0]
	for _, e := range b.Engines(models) {
		if e.ID == preferred {
			e.SetFault(stand.Fault{Every: 1, Truncate: true})
		}
	}
	s := draft()
	got := b.send(b.gateways[0], s)
	assert.Assert(t, got.Complete, "%+v", got)
	assert.Equal(t, len(b.Ledger.Runs(s.ID)), 2)
}

// Guards against the error body of the engine that should resume a stream being passed
// on as a part of the stream. The answer must end incomplete.
func TestFailedResumeCutsTheStream(t *testing.T) {
	b := start(t, 1)
	first := draft()
	assert.Assert(t, b.send(b.gateways[0], first).Complete)
	preferred := b.Ledger.Runs(first.ID)[0]
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{Every: 1, Truncate: e.ID == preferred, Fail: e.ID != preferred})
	}
	s := draft()
	got := b.send(b.gateways[0], s)
	assert.Equal(t, len(b.Ledger.Runs(s.ID)), 2)
	assert.Assert(t, got.Truncated && !got.Complete, "%+v", got)
}

// Guards against a second run of a stream that is not repeatable, and against a partial
// answer that looks complete, when the engine fails in the middle of the stream.
func TestBrokenStreamThatMayNotRepeatIsCut(t *testing.T) {
	b := start(t, 1)
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{Every: 1, Truncate: true})
	}
	s := summary()
	got := b.send(b.gateways[0], s)
	assert.Assert(t, got.Truncated && !got.Complete, "%+v", got)
	assert.Equal(t, len(b.Ledger.Runs(s.ID)), 1)
}

// Guards against new requests to an engine that is drained or in an evacuated zone.
func TestDrainedEnginesGetNoNewRequests(t *testing.T) {
	b := start(t, 1)
	leaving, stays := b.Engines(orders)[0], b.Engines(orders)[1]
	b.Drain(leaving)
	expectAllAt := func(from, to *stand.Engine) {
		b.sendUntil(b.gateways[0], func() *stand.Request { time.Sleep(600 * time.Millisecond); return lookup() }, func(got stand.Outcome) bool { return got.Complete })
		for range 10 {
			s := lookup()
			assert.Assert(t, b.send(b.gateways[0], s).Complete)
			assert.DeepEqual(t, b.Ledger.Runs(s.ID), []string{to.ID})
		}
		assert.Assert(t, from != to)
	}
	expectAllAt(leaving, stays)
	b.Register(leaving, true, 0)
	b.Evacuate(stays.Zone)
	expectAllAt(stays, leaving)
	b.EndEvacuation(stays.Zone)
}

// Guards against requests that run at another service which was started at the address
// of an engine that ended.
func TestReusedAddressRunsNoRequest(t *testing.T) {
	b := start(t, 1)
	for _, e := range b.Engines(orders) {
		e.Stop()
		replaced := &stand.Engine{ID: "i-other", Service: "other", Kind: stand.Plain, Address: e.Address}
		assert.NilError(t, replaced.Start(b.Ledger))
		t.Cleanup(replaced.Stop)
	}
	got := b.send(b.gateways[0], booking())
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Assert(t, got.RetryAfter > 0 && got.RetryAfter < 2*time.Second, "%v", got.RetryAfter)
}

// Guards against failed requests when the owner of the stage engines ends without a drain
// while work is in its queue. The requests go to the next owner and are at most delayed or refused.
func TestLostOwnerIsReplaced(t *testing.T) {
	b := start(t, 3)
	var group sync.WaitGroup
	for i := range 30 {
		group.Add(1)
		go func() {
			defer group.Done()
			if got := b.send(b.gateways[i%2], draft()); !got.Complete && got.Status != http.StatusServiceUnavailable {
				t.Errorf("%+v", got)
			}
		}()
		if i == 15 {
			b.gateways[2].stop()
		}
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	b.awaitPeers(b.gateways[0], 2)
	got := b.sendUntil(b.gateways[0], draft, func(got stand.Outcome) bool { return got.Complete })
	assert.Assert(t, got.Complete)
}

// Guards against failed requests when the owner of the stage engines is drained with
// requests in its queue. Started calls end there and queued ones move to the next owner.
// The sessions must stay open when the process leaves the member list.
func TestDrainingOwnerLosesNoRequest(t *testing.T) {
	b := start(t, 3)
	b.Config.Services[1].ColdPerS = 200 // the bound of cold engines would limit the load
	b.Publish()
	var group sync.WaitGroup
	for i := range 40 {
		group.Add(1)
		go func() {
			defer group.Done()
			if got := b.send(b.gateways[i%3], draft()); !got.Complete {
				t.Errorf("%+v", got)
			}
		}()
		if i == 10 || i == 25 {
			b.gateways[i/25].StartDrain(0)
		}
		time.Sleep(15 * time.Millisecond)
	}
	group.Wait()
	assert.Assert(t, len(b.gateways[2].Alive()) == 1)
	assert.Equal(t, b.gateways[0].Sessions(), 2)
}

// Guards against stage pools with two owners for seconds while all hosts are restarted
// one after the other. A draining process still has requests to serve when the process
// that was restarted before it comes back. Without a session between the two, the
// draining process finds no other owner and keeps owning every pool: calls queue behind
// those of the other owner, inputs are freed before they were read, and answers are
// late.
func TestDrainingProcessConnectsToNewOnes(t *testing.T) {
	b := start(t, 1)
	draining := b.gateways[0]
	draining.StartDrain(0)
	b.startNamedGateway("gateway-0")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if alive := draining.Alive(); slices.Equal(alive, []string{"gateway-0"}) {
			return poll.Success()
		}
		return poll.Continue("the draining process can reach %v", draining.Alive())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Assert(t, b.send(draining, draft()).Complete)
}

// Guards against requests that are held until their deadline when no engine of their
// service is left. They are refused at once, with Retry-After.
func TestRequestWithoutEndpointIsRefusedAtOnce(t *testing.T) {
	b := start(t, 1)
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	got := b.sendUntil(b.gateways[0], summary, func(got stand.Outcome) bool {
		return got.Status == http.StatusServiceUnavailable && got.Took < 500*time.Millisecond
	})
	assert.Assert(t, got.RetryAfter > 0, "%+v", got)
}

// Guards against more load than a cold engine can take because each process applies
// its limit alone: all processes together stay within the bound.
func TestColdEngineLoadIsBounded(t *testing.T) {
	b := start(t, 3)
	engines := b.Engines(models)
	b.Remove(engines[1])
	cold := engines[0]
	b.Register(cold, true, 8000)
	time.Sleep(time.Second) // all processes have read the entry by then
	const seconds = 2
	var group sync.WaitGroup
	ran, lock := 0, sync.Mutex{}
	for i := range 60 * seconds {
		group.Add(1)
		go func() {
			defer group.Done()
			s := summary()
			b.send(b.gateways[i%3], s)
			lock.Lock()
			defer lock.Unlock()
			ran += len(b.Ledger.Runs(s.ID))
		}()
		time.Sleep(time.Second / 60)
	}
	group.Wait()
	// The engine takes 5 a second. The bound is 1.5 times as much and 5 more.
	assert.Assert(t, ran > 0 && ran <= 5*(seconds+1), "%d ran", ran)
}

// Guards against a returning caller that queues behind later callers and is refused
// first again. One process refuses the caller with Retry-After because no engine is
// left; the load balancer sends its next attempt to another process, which has to
// recognise it.
func TestReturningCallerIsRecognisedByOtherProcess(t *testing.T) {
	b := start(t, 2)
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	first := b.sendUntil(b.gateways[0], draft, func(got stand.Outcome) bool {
		return got.Status == http.StatusServiceUnavailable && got.RetryAfter > 0
	})
	<-time.After(first.RetryAfter + time.Second) // Retry-After and a little more
	b.send(b.gateways[1], draft())
	assert.Equal(t, b.gateways[1].counterSum(t, "jujubescale_routed_returns_total"), 1.0)
}

// Guards against requests that start so late in a planned stop that its end cuts them.
func TestRequestsAfterRefuseNewAreRefused(t *testing.T) {
	b := start(t, 2)
	draining := b.gateways[0]
	b.sendUntil(draining, booking, func(got stand.Outcome) bool { return got.Complete })
	draining.StartDrain(0)
	assert.Assert(t, b.send(draining, booking()).Complete, "requests are served until the load balancer has detected the drain")
	draining.RefuseNew()
	for _, request := range []func() *stand.Request{booking, lookup, draft, summary} {
		s := request()
		got := b.send(draining, s)
		assert.Equal(t, got.Status, http.StatusServiceUnavailable, "%+v", got)
		assert.Assert(t, got.RetryAfter > 0 && len(b.Ledger.Runs(s.ID)) == 0)
		assert.Assert(t, b.send(b.gateways[1], request()).Complete)
	}
}

// Guards against planned stops that cut requests which they took although engines could not answer them before, or that
// keep such a request until the cut instead of refusing it as not run.
func TestRequestsThatAPlannedStopWouldCutAreRefused(t *testing.T) {
	b := start(t, 2)
	draining, now := b.gateways[0], clock.New()
	var open sync.WaitGroup
	for _, e := range b.Engines(orders) {
		e.SetFault(stand.Fault{Every: 1, Delay: 700 * time.Millisecond})
	}
	for range 10 { // engines take 0.7 s of the route's 3 s
		open.Go(func() { assert.Check(t, b.send(draining, booking()).Complete) })
	}
	open.Wait()
	begun, got := booking(), make(chan stand.Outcome, 1)
	go func() { got <- b.send(draining, begun) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(b.Ledger.Runs(begun.ID)) == 0 {
			return poll.Continue("not begun")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	const left = 1300
	draining.StartDrain(now.Now() + left)
	limit, cancel := context.WithTimeout(t.Context(), left*time.Millisecond)
	defer cancel()
	s := booking()
	refused := b.send(draining, s)
	assert.Equal(t, refused.Status, http.StatusServiceUnavailable, "%+v", refused)
	assert.Assert(t, refused.RetryAfter > 0 && len(b.Ledger.Runs(s.ID)) == 0)
	assert.Equal(t, draining.counterSum(t, "jujubescale_routed_unended_total"), 1.0)
	for _, request := range []func() *stand.Request{lookup, draft, summary} { // their routes have no measure
		s := request()
		refused := b.send(draining, s)
		assert.Equal(t, refused.Status, http.StatusServiceUnavailable, "%+v", refused)
		assert.Assert(t, refused.RetryAfter > 0 && len(b.Ledger.Runs(s.ID)) == 0)
	}
	assert.Equal(t, draining.Wait(limit), int64(0), "what has begun is not cut")
	assert.Assert(t, (<-got).Complete)
	assert.Assert(t, b.send(b.gateways[1], booking()).Complete)
}

// Guards against requests that wait when a planned stop begins, and are sent so late that its end cuts them.
func TestWaitingRequestsThatAPlannedStopWouldCutAreGivenBack(t *testing.T) {
	b := start(t, 2)
	draining, now := b.gateways[0], clock.New()
	running := func() (calls int64) {
		for _, e := range b.Engines(encode) {
			calls += e.Running()
		}
		return calls
	}
	for _, e := range b.Engines(encode) {
		e.SetFault(stand.Fault{Every: 1, Delay: 250 * time.Millisecond})
	}
	s, got := draft(), make(chan stand.Outcome, 1)
	go func() { got <- b.send(draining, s) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if running() == 0 {
			return poll.Continue("no stage runs")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	draining.StartDrain(now.Now() + 4*clock.Second) // the route's time is 8 s
	refused := <-got
	assert.Equal(t, refused.Status, http.StatusServiceUnavailable, "%+v", refused)
	assert.Assert(t, refused.RetryAfter > 0 && len(b.Ledger.Runs(s.ID)) == 0)
	assert.Equal(t, draining.counterSum(t, "jujubescale_routed_unended_total"), 1.0)
}
