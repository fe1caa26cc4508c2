package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// leaveGrace is the time after which a disabled endpoint, or one on a leaving
// host, must get no new work.
const leaveGrace = 5 * time.Second

// checkNoNewWorkAtEndpoint checks that no work begins at the endpoint later than
// leaveGrace after from, while the load continues.
func checkNoNewWorkAtEndpoint(t *testing.T, load *loadGenerator, place *whole.Place, from time.Time) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if time.Since(from) < leaveGrace+500*time.Millisecond {
			return poll.Continue("within the grace period")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	waitForRequests(t, load, load.count()+20)
	last := place.Slots().State().LastStart
	t.Logf("last new work at %s began %v after the change", place.Endpoint, last.Sub(from))
	assert.Assert(t, last.Before(from.Add(leaveGrace)), "work began %v after the change", last.Sub(from))
}

// Guards against new work at an endpoint that an operator disabled for repair
// under load. The repair would interrupt that work.
func TestDisabledEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	place := system.Place("engines-1")
	_, err := system.Operator().DisableEndpoint(t.Context(), "engines", place.Endpoint, apply.Change{Who: "anna"})
	assert.NilError(t, err)
	checkNoNewWorkAtEndpoint(t, load, place, time.Now())
	_, err = system.Operator().EnableEndpoint(t.Context(), "engines", place.Endpoint, apply.Change{Who: "anna"})
	assert.NilError(t, err)
	returned := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if place.Slots().State().LastStart.After(returned) {
			return poll.Success()
		}
		return poll.Continue("no work at the endpoint yet")
	}, poll.WithTimeout(time.Minute))
	checkAllAnswered(t, load)
}

// Guards against new work on a host that the platform lists as leaving. The host
// still serves, but will be removed.
func TestEndpointOnALeavingHostGetsNoNewWork(t *testing.T) {
	t.Parallel()
	system, load := startSystemUnderLoad(t)
	place := system.Place("engines-1")
	hosts := system.Platform.Hosts(store.HostQuery{Limit: 1000}).Hosts
	for i := range hosts {
		if hosts[i].Endpoint == place.Endpoint {
			hosts[i].State = store.HostLeaving
		}
	}
	system.Platform.SetHosts(hosts)
	from := time.Now()
	checkNoNewWorkAtEndpoint(t, load, place, from)
	checkAllAnswered(t, load)
}
