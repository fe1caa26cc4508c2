package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// waitForRequests waits until the load generator has completed that many
// requests.
func waitForRequests(t *testing.T, load *loadGenerator, requests int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done := load.count(); done < requests {
			return poll.Continue("%d of %d requests", done, requests)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Minute))
}

// Guards against answers that reach the wrong caller. Many concurrent requests
// through two entries share the same sessions; a mixed-up answer would reveal
// the text of one customer to another.
func TestAnswersOfManyCallersAreNotMixedUp(t *testing.T) {
	system := startSystem(t, whole.WithEntries(2))
	baseURLs := []string{system.URL(), "http://" + system.Fronts[1].Address}
	load := startLoad(t, 6, func() []string { return baseURLs }, kindSheet, kindBooking)
	waitForRequests(t, load, 200)
	outcomes := load.stop()
	total := countOutcomes(outcomes)
	assert.NilError(t, firstFailure(outcomes))
	assert.Assert(t, total.answered > total.refused, "%+v", total)
	checkRunCounts(t, outcomes, system.Ledger.Runs)
}
