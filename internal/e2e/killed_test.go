package e2e_test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// Guards against repeated or misreported bookings when the host of an agent is
// lost while work runs on its endpoint. Callers of that work must get a refusal
// or an answer from another endpoint.
func TestKilledAgentCausesNoDuplicateRuns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	load := startLoad(t, 6, c.rotation, kindBooking, kindSheet)
	waitForRequests(t, load, 40)
	c.agents["orders-0"].kill()
	c.agents["engines-0"].kill()
	waitForRequests(t, load, 120)
	c.restartAgent("orders-0")
	c.restartAgent("engines-0")
	waitForRequests(t, load, 200)
	outcomes := load.stop()
	assert.NilError(t, firstFailure(outcomes))
	checkRunCounts(t, outcomes, c.runCount)
}

// Guards against repeated bookings when an entry is killed with requests in
// flight. Their callers lose the connection and don't learn whether the booking
// ran.
func TestKilledEntryCausesNoDuplicateRuns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	load := startLoad(t, 6, c.rotation, kindBooking, kindSheet)
	waitForRequests(t, load, 40)
	c.setOutOfRotation(0, true)
	c.entries[0].kill()
	waitForRequests(t, load, 120)
	outcomes := load.stop()
	for i := range outcomes {
		assert.Check(t, !outcomes[i].wrong, "%s: %s", outcomes[i].key, outcomes[i].body)
	}
	checkRunCounts(t, outcomes, c.runCount)
}

// Guards against repeated bookings when an agent is frozen, as by a paused host,
// and resumes after the entries have abandoned their sessions with it. It must not
// run work that was already retried on another endpoint.
func TestFrozenAgentCausesNoDuplicateRuns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	load := startLoad(t, 6, c.rotation, kindBooking, kindSheet)
	waitForRequests(t, load, 40)
	c.agents["orders-0"].signal(syscall.SIGSTOP)
	waitForRequests(t, load, 100)
	c.agents["orders-0"].signal(syscall.SIGCONT)
	waitForRequests(t, load, 160)
	outcomes := load.stop()
	assert.NilError(t, firstFailure(outcomes))
	checkRunCounts(t, outcomes, c.runCount)
}

// Guards against a caller that waits until its deadline after the agent that ran
// its booking was killed and not restarted. The outcome can't be known any more,
// so the caller must be refused immediately, with that reason.
func TestBookingOfADeadAgentIsRefusedBeforeItsDeadline(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.injectFault(whole.Fault{Name: whole.EndpointSlow, Target: "orders-0", Factor: 200})
	answered := make(chan reply, 1)
	go func() {
		answered <- c.send(http.MethodPost, c.baseURLs[0]+"/v1/services/orders/call/bookings", `{"echo":"lost"}`)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if running := c.running("orders-0"); running == 0 {
			return poll.Continue("the booking does not run yet")
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	c.agents["orders-0"].kill()
	got := <-answered
	var refused refusalBody
	assert.NilError(t, json.Unmarshal([]byte(got.body), &refused), got.body)
	assert.Equal(t, refused.Reason, fault.OutcomeUnknown, got.body)
	assert.Equal(t, refused.Ran, fault.MayHaveRun)
}
