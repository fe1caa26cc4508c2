package e2e_test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// Guards against requests that are interrupted or refused by the rollout of a new
// version, which replaces every process, one after another, under load. The load
// balancer detects a leaving entry only after a delay. Other processes can answer
// each request, so callers would see each failure as an outage.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	load := startLoad(t, 6, c.rotation, kindBooking, kindSheet)
	waitForRequests(t, load, 40)
	for i := range c.report.Endpoints {
		endpoint := c.report.Endpoints[i].Endpoint
		assert.Check(t, c.agents[endpoint].terminate(t) == 0, "agent of %s interrupted requests", endpoint)
		c.restartAgent(endpoint)
		c.awaitAgent(i)
		waitForRequests(t, load, load.count()+30)
	}
	for i := range c.entries {
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			assert.Check(t, c.entries[i].terminate(t) == 0, "entry %d interrupted requests", i)
		}()
		waitForRequests(t, load, load.count()+10) // the load balancer reacts with a delay
		c.setOutOfRotation(i, true)
		<-stopped
		c.startEntry(i)
		c.awaitServing(i)
		c.setOutOfRotation(i, false)
		waitForRequests(t, load, load.count()+30)
	}
	outcomes := load.stop()
	assert.NilError(t, firstFailure(outcomes))
	checkRunCounts(t, outcomes, c.runCount)
	total := countOutcomes(outcomes)
	assert.Check(t, total.refused == 0, "%+v", total)
}

// Guards against refused requests while only the store of the platform is
// unreachable. Bookings with an idempotency key are the exception: without the
// store it is unknown whether that key has run before, so they are refused as
// not run.
func TestPlatformOutageRefusesOnlyKeyedCalls(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.injectFault(whole.Fault{Name: whole.PlatformDown})
	load := startLoad(t, 6, c.rotation, kindSheet, kindBooking)
	waitForRequests(t, load, 150)
	outcomes := load.stop()
	assert.NilError(t, firstFailure(outcomes))
	checkRunCounts(t, outcomes, c.runCount)
	total := countOutcomes(outcomes)
	assert.Check(t, total.refused == total.reasons[fault.KeyUnavailable], "%+v", total)
}

// terminate requests a planned stop and returns the exit code.
func (p *process) terminate(t *testing.T) int {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(exitTimeout):
		t.Errorf("%s did not exit within %v of SIGTERM", p.name, exitTimeout)
	}
	return p.command.ProcessState.ExitCode()
}

// awaitAgent waits until the agent of the i-th endpoint is ready and every entry
// has a session with it. A rollout waits for the same state before the next host.
func (c *cluster) awaitAgent(i int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		got := c.send(http.MethodGet, "http://"+address(c.ports+portAgentsAdmin+i)+"/v1/status", "")
		var status admin.Status
		if err := json.Unmarshal([]byte(got.body), &status); err != nil {
			return poll.Continue("%s", got.body)
		}
		if !status.Ready || len(status.Sessions) < len(c.entries) {
			return poll.Continue("%s", got.body)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
}
