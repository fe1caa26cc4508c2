package router_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Engines fail in every way while callers go on. Whatever happens, a booking
// runs at most once, a refusal that says "not run" is true, and nobody gets
// half an answer as a whole one or somebody else's: the ledger watches that.
// Requests that may be repeated mostly succeed all the same.
func TestFaultsOfEnginesBreakNoPromise(t *testing.T) {
	for name, fault := range map[string]stand.Fault{
		"reset": {Reset: true}, "break": {Break: true}, "refuse": {Refuse: true}, "fail": {Fail: true}, "twice": {Twice: true},
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
					request := []func() *stand.Sent{booking, lookup, draft, summary}[i%4]
					b.do(b.gateways[i%2], request())
				}()
				time.Sleep(5 * time.Millisecond)
			}
			group.Wait()
			for _, e := range b.Engines("") {
				e.SetFault(stand.Fault{})
			}
			got := b.eventually(b.gateways[0], draft, func(got stand.Got) bool { return got.Whole })
			assert.Equal(t, got.Status, http.StatusOK)
		})
	}
}

// An engine breaks off in the middle of a stream that may be resumed. Another
// one goes on behind the last whole event, and the caller notices nothing.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	b := start(t, 1)
	first := draft()
	assert.Assert(t, b.do(b.gateways[0], first).Whole)
	// Prompts that begin alike go to one engine.
	home := b.Ledger.Runs(first.ID)[0]
	for _, e := range b.Engines(models) {
		if e.ID == home {
			e.SetFault(stand.Fault{Every: 1, Break: true})
		}
	}
	s := draft()
	got := b.do(b.gateways[0], s)
	assert.Assert(t, got.Whole, "%+v", got)
	assert.Equal(t, len(b.Ledger.Runs(s.ID)), 2)
}

// The engine that goes on with a stream answers a failure. Its body is no part of
// the stream, and the caller must see that the rest is missing.
func TestFailureInsteadOfTheRestOfAStreamCutsIt(t *testing.T) {
	b := start(t, 1)
	first := draft()
	assert.Assert(t, b.do(b.gateways[0], first).Whole)
	home := b.Ledger.Runs(first.ID)[0]
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{Every: 1, Break: e.ID == home, Fail: e.ID != home})
	}
	s := draft()
	got := b.do(b.gateways[0], s)
	assert.Equal(t, len(b.Ledger.Runs(s.ID)), 2)
	assert.Assert(t, got.Cut && !got.Whole, "%+v", got)
}

// An engine breaks off a stream that may not run again. The caller must see
// that it is cut, and no other engine may run it.
func TestStreamThatMayRunOnceIsCutVisibly(t *testing.T) {
	b := start(t, 1)
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{Every: 1, Break: true})
	}
	s := summary()
	got := b.do(b.gateways[0], s)
	assert.Assert(t, got.Cut && !got.Whole, "%+v", got)
	assert.Equal(t, len(b.Ledger.Runs(s.ID)), 1)
}

// An engine that leaves, and one whose zone is emptied, get nothing new.
func TestLeavingEnginesGetNothingNew(t *testing.T) {
	b := start(t, 1)
	leaving, stays := b.Engines(orders)[0], b.Engines(orders)[1]
	b.Drain(leaving)
	settled := func(from, to *stand.Engine) {
		b.eventually(b.gateways[0], func() *stand.Sent { time.Sleep(600 * time.Millisecond); return lookup() }, func(got stand.Got) bool { return got.Whole })
		for range 10 {
			s := lookup()
			assert.Assert(t, b.do(b.gateways[0], s).Whole)
			assert.DeepEqual(t, b.Ledger.Runs(s.ID), []string{to.ID})
		}
		assert.Assert(t, from != to)
	}
	settled(leaving, stays)
	b.Register(leaving, true, 0)
	b.Empty(stays.Zone)
	settled(stays, leaving)
	b.Refill(stays.Zone)
}

// Another service gets the address of an engine that ended. It must not run
// requests that are meant for the one before.
func TestAddressThatIsUsedAgainRunsNothing(t *testing.T) {
	b := start(t, 1)
	for _, e := range b.Engines(orders) {
		e.Stop()
		replaced := &stand.Engine{ID: "i-other", Service: "other", Kind: stand.Plain, Address: e.Address}
		assert.NilError(t, replaced.Start(b.Ledger))
		t.Cleanup(replaced.Stop)
	}
	got := b.do(b.gateways[0], booking())
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Assert(t, got.RetryAfter > 0 && got.RetryAfter < 2*time.Second, "%v", got.RetryAfter)
}

// The owner of the stage engines dies with work in its queue. Its requests go
// to the next owner, and callers notice a delay at most.
func TestLostOwnerIsReplaced(t *testing.T) {
	b := start(t, 3)
	var group sync.WaitGroup
	for i := range 30 {
		group.Add(1)
		go func() {
			defer group.Done()
			if got := b.do(b.gateways[i%2], draft()); !got.Whole && got.Status != http.StatusServiceUnavailable {
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
	got := b.eventually(b.gateways[0], draft, func(got stand.Got) bool { return got.Whole })
	assert.Assert(t, got.Whole)
}

// The owner of the stage engines stops as planned while requests are in its
// queue. What was started ends there, the rest moves to the next owner, and no
// caller notices anything: the session must not end when the process takes
// itself off the list.
func TestLeavingOwnerLosesNothing(t *testing.T) {
	b := start(t, 3)
	var group sync.WaitGroup
	for i := range 40 {
		group.Add(1)
		go func() {
			defer group.Done()
			if got := b.do(b.gateways[i%3], draft()); !got.Whole {
				t.Errorf("%+v", got)
			}
		}()
		if i == 10 || i == 25 {
			b.gateways[i/25].StartDrain()
		}
		time.Sleep(15 * time.Millisecond)
	}
	group.Wait()
	assert.Assert(t, len(b.gateways[2].Alive()) == 1)
	assert.Equal(t, b.gateways[0].Sessions(), 2)
}

// All hosts are restarted one after the other: a process leaves, and still has
// requests of its callers to serve, while the one that was restarted before it
// comes back. If the two never open a session, the leaving one believes that it
// is alone and goes on owning every pool. Stage engines then have two owners for
// seconds: calls wait behind those of the other, inputs are given back before
// they were read, and callers get their answers late.
func TestProcessThatLeavesStillMeetsNewOnes(t *testing.T) {
	b := start(t, 1)
	leaving := b.gateways[0]
	leaving.StartDrain()
	b.named("gateway-0")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if alive := leaving.Alive(); slices.Equal(alive, []string{"gateway-0"}) {
			return poll.Success()
		}
		return poll.Continue("the leaving process sees %v", leaving.Alive())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Assert(t, b.do(leaving, draft()).Whole)
}

// All engines of a service are gone. What can't be served is refused at once,
// with a time to come back, and not held until its deadline.
func TestWhatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	b := start(t, 1)
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	got := b.eventually(b.gateways[0], summary, func(got stand.Got) bool {
		return got.Status == http.StatusServiceUnavailable && got.Took < 500*time.Millisecond
	})
	assert.Assert(t, got.RetryAfter > 0, "%+v", got)
}

// An engine that has just started gets only what it bears, from all processes
// together.
func TestColdEngineGetsLittle(t *testing.T) {
	b := start(t, 3)
	engines := b.Engines(models)
	b.Remove(engines[1])
	cold := engines[0]
	b.Register(cold, true, 8000)
	time.Sleep(time.Second) // the entry is read by all
	const seconds = 2
	var group sync.WaitGroup
	ran, lock := 0, sync.Mutex{}
	for i := range 60 * seconds {
		group.Add(1)
		go func() {
			defer group.Done()
			s := summary()
			b.do(b.gateways[i%3], s)
			lock.Lock()
			defer lock.Unlock()
			ran += len(b.Ledger.Runs(s.ID))
		}()
		time.Sleep(time.Second / 60)
	}
	group.Wait()
	// Five a second, and what the bound allows besides (half as much and five).
	assert.Assert(t, ran > 0 && ran <= 5*(seconds+1), "%d ran", ran)
}

// No engine is left that generates. A caller is refused by one process and told
// when to come back; the platform leads its next attempt to another one. If that
// doesn't know it, it waits behind callers that came after it, and is refused
// again first.
func TestCallerThatComesBackIsKnownElsewhere(t *testing.T) {
	b := start(t, 2)
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	first := b.eventually(b.gateways[0], draft, func(got stand.Got) bool {
		return got.Status == http.StatusServiceUnavailable && got.RetryAfter > 0
	})
	<-time.After(first.RetryAfter + time.Second) // the caller waits as it was told, and a little more
	b.do(b.gateways[1], draft())
	assert.Equal(t, b.gateways[1].counted(t, "jujubescale_routed_returns_total"), 1.0)
}

// Guards against requests that begin so late in a planned stop that its end cuts them.
func TestRequestsBehindThePortsCloseAreRefused(t *testing.T) {
	b := start(t, 2)
	leaving := b.gateways[0]
	b.eventually(leaving, booking, func(got stand.Got) bool { return got.Whole })
	leaving.StartDrain()
	assert.Assert(t, b.do(leaving, booking()).Whole, "the balancer has not noticed yet")
	leaving.RefuseNew()
	for _, request := range []func() *stand.Sent{booking, lookup, draft, summary} {
		s := request()
		got := b.do(leaving, s)
		assert.Equal(t, got.Status, http.StatusServiceUnavailable, "%+v", got)
		assert.Assert(t, got.RetryAfter > 0 && len(b.Ledger.Runs(s.ID)) == 0)
		assert.Assert(t, b.do(b.gateways[1], request()).Whole)
	}
}
