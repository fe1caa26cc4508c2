package e2e_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// All bases of the system's entries.
func basesOf(system *whole.Whole) func() []string {
	var bases []string
	for _, front := range system.Fronts {
		bases = append(bases, "http://"+front.Address)
	}
	return func() []string { return bases }
}

// Every engine has just started, three entries push at once, and the agent
// beside one engine dies and is replaced while that engine still works. Given
// more than it bears, a cold engine falls over and all its answers are lost.
func TestColdEnginesDoNotFall(t *testing.T) {
	system, err := whole.New(whole.WithEntries(3), whole.WithShapes(
		whole.Shape{Pool: "engines", Endpoints: 2, TokenMs: 10, Tokens: 20, ColdWorkMs: 1500, LoadLagMs: 200}))
	assert.NilError(t, err)
	t.Cleanup(system.Close)
	engines := []*whole.Place{system.Place("engines-0"), system.Place("engines-1")}
	for _, place := range engines {
		place.Slots().Restart()
	}
	c := startCrowd(t, 30, basesOf(system), kindSheet)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if engines[0].Slots().State().Running == 2 {
			return poll.Success()
		}
		return poll.Continue("engines-0 has no work yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.AgentKill, Target: "engines-0"}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, place := range engines {
			if state := place.Slots().State(); state.Cold {
				return poll.Continue("%s is still cold: %+v", place.Endpoint, state)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	c.stop()
	for _, place := range engines {
		state := place.Slots().State()
		assert.Equal(t, state.ColdCrashes, 0, place.Endpoint)
		assert.Assert(t, state.ColdPeak <= 2, place.Endpoint)
	}
}

// Every agent is stopped as planned and started again, one after another, under
// load. No caller may see a cut answer, and no booking may be lost or doubled.
func TestRollingRestartOfAgentsCutsNothing(t *testing.T) {
	system := started(t, whole.WithEntries(2))
	c := startCrowd(t, 8, basesOf(system), kindSheet, kindBooking)
	waitFor(t, c, 40)
	for _, place := range system.Places {
		assert.NilError(t, system.Inject(whole.Fault{Name: whole.AgentRestart, Target: place.Endpoint}))
		awaitAgent(t, place, len(system.Fronts))
	}
	waitFor(t, c, c.count()+40)
	outcomes := c.stop()
	assert.NilError(t, firstBad(outcomes))
	total := sum(outcomes)
	assert.Equal(t, total.refused, 0, "%+v", total)
	checkOnce(t, outcomes, system.Ledger.Runs)
}

// awaitAgent waits until an agent takes work from so many entries, as operators
// do before they go on to the next.
func awaitAgent(t testing.TB, place *whole.Place, entries int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reason, refuses := place.Agent.Refuses(); refuses || place.Agent.Sessions() < entries {
			return poll.Continue("%s: %q, %d sessions", place.Endpoint, reason, place.Agent.Sessions())
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// An engine goes silent: it takes calls and never answers. Its agent takes it
// out, and callers are answered by the others within their deadlines.
func TestSilentEngineIsWorkedAround(t *testing.T) {
	system := started(t)
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.EndpointSilent, Target: "engines-0"}))
	for range 12 {
		got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, refuses := system.Place("engines-0").Agent.Refuses(); refuses {
			return poll.Success()
		}
		return poll.Continue("the agent still takes work")
	}, poll.WithTimeout(30*time.Second))
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.EndpointAlive, Target: "engines-0"}))
}
