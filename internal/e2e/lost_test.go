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

// lostGrace is the time after which a lost zone must get no new work. It covers
// fast heartbeats on the session of a waiting call, then on all other sessions
// into the zone, and delays on a busy machine.
const lostGrace = 4 * clock.Second

// Guards against new work for a zone that is lost silently: its connections stay
// open but deliver nothing, and new ones get no answer. Entries in other zones
// must detect the loss themselves, however many endpoints the zone has. Work sent
// there until then delays its callers.
func TestLostZoneGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, endpoints := range []int{3, 12} {
		t.Run(fmt.Sprintf("%d endpoints in a pool", endpoints), func(t *testing.T) {
			system, load := startSystemUnderLoad(t, whole.WithEndpoints(endpoints))
			began := make(map[string]clock.Millis)
			for _, front := range system.Fronts {
				began[front.Name] = front.Entry.Now()
			}
			assert.NilError(t, system.Inject(whole.Fault{Name: whole.ZoneCut, Target: "zb"}))
			lost := time.Now()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if time.Since(lost) < 2*lostGrace.Duration() {
					return poll.Continue("within twice the grace period")
				}
				return poll.Success()
			}, poll.WithTimeout(time.Minute))
			last := lastSent(system, load.stop(), "zb", began)
			t.Logf("last new work was sent into the zone %d ms after its loss", last)
			assert.Assert(t, last < lostGrace, "work was sent into the zone %d ms after its loss", last)
		})
	}
}

// lastSent returns the latest time at which an entry outside the zone sent work
// into it, in ms since the instants in began, which are keyed by entry.
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
