package e2e_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// lostGrace is the time after which a zone that is lost must get no new work:
// fast heartbeats on the session that a call waits on, then on all others into
// the zone, and the time to notice on a busy machine.
const lostGrace = 4 * clock.Second

// A zone is lost without a word: its connections are not closed, nothing arrives
// on them any more, and new ones get no answer. Entries outside must notice by
// themselves and send no new work into it, however many endpoints it has; work
// sent there meanwhile costs its callers time.
func TestLostZoneGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, endpoints := range []int{3, 12} {
		t.Run(fmt.Sprintf("%d endpoints in a pool", endpoints), func(t *testing.T) {
			system, c := zonedLoad(t, whole.WithEndpoints(endpoints))
			began := make(map[string]clock.Millis)
			for _, front := range system.Fronts {
				began[front.Name] = front.Entry.Now()
			}
			assert.NilError(t, system.Inject(whole.Fault{Name: whole.ZoneCut, Target: "zb"}))
			lost := time.Now()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if time.Since(lost) < 2*lostGrace.Duration() {
					return poll.Continue("within the grace")
				}
				return poll.Success()
			}, poll.WithTimeout(time.Minute))
			last := lastSent(system, c.stop(), "zb", began)
			t.Logf("last new work in the zone %d ms after it was lost", last)
			assert.Assert(t, last < lostGrace, "%d ms", last)
		})
	}
}

// lastSent returns when an entry outside the zone sent work into it last.
func lastSent(system *whole.Whole, outcomes []outcome, zone string, began map[string]clock.Millis) clock.Millis {
	last := clock.Millis(0)
	for i := range outcomes {
		var answer struct {
			RequestID string `json:"requestId"`
		}
		if json.Unmarshal([]byte(outcomes[i].body), &answer) != nil {
			continue
		}
		for _, front := range system.Fronts {
			request, found := front.Entry.Request(answer.RequestID)
			if !found || front.Zone == zone {
				continue
			}
			for _, attempt := range request.Attempts {
				if attempt.AvailabilityZone == zone {
					last = max(last, attempt.SentAt-began[front.Name])
				}
			}
		}
	}
	return last
}
