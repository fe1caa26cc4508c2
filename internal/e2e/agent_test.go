package e2e_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// allBaseURLs returns a function that returns the base URLs of all entries.
func allBaseURLs(system *whole.Whole) func() []string {
	var baseURLs []string
	for _, front := range system.Fronts {
		baseURLs = append(baseURLs, "http://"+front.Address)
	}
	return func() []string { return baseURLs }
}

// Guards against overload of engines that have just started. Three entries send
// work at the same time, and the agent of one engine is killed and replaced
// while that engine still runs work. A cold engine that gets more work than its
// limit crashes and loses all its answers.
func TestColdEnginesAreNotOverloaded(t *testing.T) {
	system, err := whole.New(whole.WithEntries(3), whole.WithShapes(
		whole.Shape{Pool: "engines", Endpoints: 2, TokenMs: 10, Tokens: 20, ColdWorkMs: 1500, LoadLagMs: 200}))
	assert.NilError(t, err)
	t.Cleanup(system.Close)
	engines := []*whole.Place{system.Place("engines-0"), system.Place("engines-1")}
	for _, place := range engines {
		place.Slots().Restart()
	}
	load := startLoad(t, 30, allBaseURLs(system), kindSheet)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if engines[0].Slots().State().Running == 2 {
			return poll.Success()
		}
		return poll.Continue("engines-0 does not run two calls yet")
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
	load.stop()
	for _, place := range engines {
		state := place.Slots().State()
		assert.Equal(t, state.ColdCrashes, 0, place.Endpoint)
		assert.Assert(t, state.ColdPeak <= 2, place.Endpoint)
	}
}

// Guards against interrupted answers and lost or repeated bookings when all
// agents are stopped as planned and restarted, one after another, under load.
func TestRollingRestartOfAgentsInterruptsNoRequest(t *testing.T) {
	system := startSystem(t, whole.WithEntries(2))
	load := startLoad(t, 8, allBaseURLs(system), kindSheet, kindBooking)
	waitForRequests(t, load, 40)
	for _, place := range system.Places {
		assert.NilError(t, system.Inject(whole.Fault{Name: whole.AgentRestart, Target: place.Endpoint}))
		awaitAgent(t, place, len(system.Fronts))
	}
	waitForRequests(t, load, load.count()+40)
	outcomes := load.stop()
	assert.NilError(t, firstFailure(outcomes))
	total := countOutcomes(outcomes)
	assert.Equal(t, total.refused, 0, "%+v", total)
	checkRunCounts(t, outcomes, system.Ledger.Runs)
}

// awaitAgent waits until an agent accepts work and has a session with each of
// that many entries. Operators wait for the same state before they restart the
// next agent.
func awaitAgent(t testing.TB, place *whole.Place, entries int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reason, refuses := place.Agent.Refuses(); refuses || place.Agent.Sessions() < entries {
			return poll.Continue("%s: %q, %d sessions", place.Endpoint, reason, place.Agent.Sessions())
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against requests that fail because one engine hangs: it accepts calls
// and never answers. Its agent must refuse new work, and the other engines must
// answer all requests within their deadlines.
func TestRequestsAvoidHungEngine(t *testing.T) {
	system := startSystem(t)
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.EndpointSilent, Target: "engines-0"}))
	for range 12 {
		got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, refuses := system.Place("engines-0").Agent.Refuses(); refuses {
			return poll.Success()
		}
		return poll.Continue("the agent still accepts work")
	}, poll.WithTimeout(30*time.Second))
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.EndpointAlive, Target: "engines-0"}))
}
