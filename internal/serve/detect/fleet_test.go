package detect_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/stand/fleet"
	"github.com/jujubescale/jujubescale/platform"
)

// Guards against a part that crashes engines again at gateways that were killed and started
// again, one by one with the store away, or all at once.
func TestPartIsKnownAfterRestarts(t *testing.T) {
	for name, test := range map[string]struct {
		rounds [][]int
		cutOff bool
	}{
		"one by one, store away": {rounds: [][]int{{0}, {1}}, cutOff: true},
		"all at once":            {rounds: [][]int{{0, 1, 2}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(t, 3, 6)
			var before, bad outcomes
			send(t, f, soundPerSecond, time.Second, prompts{}.sound, &before)
			poison := addPoison(f)
			send(t, f, badPerSecond, 5*time.Second, prompts{}.bad, &bad)
			for _, round := range test.rounds {
				for _, g := range f.Gateways {
					g.CutOff.Store(test.cutOff)
				}
				for _, i := range round {
					f.Kill(i)
				}
				for _, i := range round {
					f.Restart(i)
				}
				for _, g := range f.Gateways {
					g.CutOff.Store(false) // a gateway that starts needs the store for its routes
				}
				f.AwaitReady()
				for _, g := range f.Gateways {
					g.CutOff.Store(test.cutOff)
				}
				send(t, f, badPerSecond, 3*time.Second, prompts{}.bad, &bad)
			}
			checkReached(t, poison)
		})
	}
}

// Guards against a bound that grows with the fleet.
func TestPartReachesFewEnginesOfALargeFleet(t *testing.T) {
	f := fleet.New(t, 24, 24)
	var before, during, after, bad outcomes
	send(t, f, soundPerSecond, 2*time.Second, prompts{}.sound, &before)
	poison := addPoison(f)
	var group sync.WaitGroup
	group.Go(func() { send(t, f, badPerSecond, 10*time.Second, prompts{}.bad, &bad) })
	send(t, f, soundPerSecond, recoveredAfter, prompts{}.sound, &during)
	send(t, f, soundPerSecond, 4*time.Second, prompts{}.sound, &after)
	group.Wait()
	t.Logf("sound requests that began: %.3f before, %.3f at first, %.3f later", before.share(), during.share(), after.share())
	checkReached(t, poison)
	assert.Check(t, after.share() >= minBegun*before.share(), "%.3f of the sound requests began, %.3f before", after.share(), before.share())
}

// Guards against a request with a quarantined part that is held, or refused as if it might have
// run, and against one that an operator can't release.
func TestQuarantinedPartIsRefusedAtOnceAndLifted(t *testing.T) {
	f := fleet.New(t, 3, 6)
	var before, bad outcomes
	send(t, f, soundPerSecond, time.Second, prompts{}.sound, &before)
	poison := addPoison(f)
	send(t, f, badPerSecond, 5*time.Second, prompts{}.bad, &bad)
	const sent = 200
	var took []time.Duration
	for i := range sent {
		request := fleet.Draft(prompts{}.bad())
		got := f.Client.Do(t.Context(), f.Gateways[i%3].Address, request)
		assert.Check(t, got.Status == http.StatusServiceUnavailable && got.RetryAfter > 0, "%+v", got)
		assert.Check(t, len(f.Ledger.Runs(request.ID)) == 0)
		took = append(took, got.Took)
	}
	within := 0
	for _, one := range took {
		if one <= 5*time.Millisecond {
			within++
		}
	}
	t.Logf("%d of %d were refused within 5 ms", within, sent)
	names := func() []string { return f.Store.Names(platform.KindQuarantines) }
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(names()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the store holds %v", names())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	arrived := len(poison.Arrivals())
	f.Store.Delete(platform.KindQuarantines, names()[0])
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.Client.Do(t.Context(), f.Gateways[0].Address, fleet.Draft(prompts{}.bad()))
		if len(poison.Arrivals()) > arrived {
			return poll.Success()
		}
		return poll.Continue("still refused")
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(50*time.Millisecond))
}

// Guards against a part of all requests that is held back because its engines stop for another
// reason.
func TestPartOfAllRequestsIsServedAfterEnginesStop(t *testing.T) {
	f := fleet.New(t, 3, 8)
	var before, after outcomes
	send(t, f, soundPerSecond, 2*time.Second, prompts{}.sound, &before)
	for range 3 {
		var group sync.WaitGroup
		group.Go(func() { send(t, f, soundPerSecond, 400*time.Millisecond, prompts{}.sound, &outcomes{}) })
		time.Sleep(100 * time.Millisecond)
		for _, e := range f.Engines(fleet.Models)[:2] {
			f.Remove(e)
		}
		group.Wait()
		for i := range 2 {
			f.AddEngine(fleet.Zones[i])
		}
	}
	f.AwaitReady()
	time.Sleep(time.Second)
	send(t, f, soundPerSecond, 2*time.Second, prompts{}.sound, &after)
	t.Logf("%.3f began, %.3f before; refused %v", after.share(), before.share(), after.refused)
	assert.Check(t, after.share() >= minBegun*before.share())
}
