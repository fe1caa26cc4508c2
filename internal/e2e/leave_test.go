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

// leaveGrace is the time after which an endpoint that leaves must get no new
// work any more.
const leaveGrace = 5 * time.Second

// checkEndpointQuiet lets requests run on past the grace and checks that no
// work began at the endpoint after it.
func checkEndpointQuiet(t *testing.T, c *crowd, place *whole.Place, from time.Time) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if time.Since(from) < leaveGrace+500*time.Millisecond {
			return poll.Continue("within the grace")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	waitFor(t, c, c.count()+20)
	last := place.Slots().State().LastStart
	t.Logf("last new work at %s %v after", place.Endpoint, last.Sub(from))
	assert.Assert(t, last.Before(from.Add(leaveGrace)), "work began %v after", last.Sub(from))
}

// An operator takes one endpoint out for repair while callers call. New work
// there would be cut by the repair.
func TestEndpointThatOperatorsTakeOutGetsNoNewWork(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	place := system.Place("engines-1")
	_, err := system.Operator().DisableEndpoint(t.Context(), "engines", place.Endpoint, apply.Change{Who: "anna"})
	assert.NilError(t, err)
	checkEndpointQuiet(t, c, place, time.Now())
	_, err = system.Operator().EnableEndpoint(t.Context(), "engines", place.Endpoint, apply.Change{Who: "anna"})
	assert.NilError(t, err)
	returned := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if place.Slots().State().LastStart.After(returned) {
			return poll.Success()
		}
		return poll.Continue("no work yet")
	}, poll.WithTimeout(time.Minute))
	checkServed(t, c)
}

// The platform is about to take a host away and says so in its list. Whoever
// reads that must send no new work there, though the host still serves.
func TestEndpointOnALeavingHostGetsNoNewWork(t *testing.T) {
	t.Parallel()
	system, c := zonedLoad(t)
	place := system.Place("engines-1")
	hosts := system.Platform.Hosts(store.HostQuery{Limit: 1000}).Hosts
	for i := range hosts {
		if hosts[i].Endpoint == place.Endpoint {
			hosts[i].State = store.HostLeaving
		}
	}
	system.Platform.SetHosts(hosts)
	from := time.Now()
	checkEndpointQuiet(t, c, place, from)
	checkServed(t, c)
}
