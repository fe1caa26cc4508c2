package router_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against a stream that the candidate of a rollout begins and the version in force goes
// on with, or the reverse.
func TestStreamsKeepTheirVersionDuringARollout(t *testing.T) {
	b := startWith(t, 3, true)
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{Every: 3, Truncate: true})
	}
	order := &stand.Rollout{Service: models, Version: "v2", Duration: 8 * time.Second, Share: rolloutShare, BaseAllowance: rolloutBase, RollbackTime: 5 * time.Second}
	for _, zone := range []string{zoneA, zoneB} {
		added, err := b.Add(&stand.Engine{Service: models, Kind: stand.Model, Version: order.Version, Zone: zone, WorkTime: 5 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: 8})
		assert.NilError(t, err)
		added.SetFault(stand.Fault{Every: 3, Truncate: true})
	}
	b.Order(order)
	counts := &streams{}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i := range 10 {
			b.read(guide(8), i, 3, counts)
		}
		if b.Ledger.CountArrivals(models, order.Version, time.Time{}) >= 20 {
			return poll.Success()
		}
		return poll.Continue("%d streams, %d requests at the candidate", counts.sent.Load(), b.Ledger.CountArrivals(models, order.Version, time.Time{}))
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	t.Logf("%d streams, %d whole, %d tries to resume, %d went on", counts.sent.Load(), counts.whole.Load(), counts.resumed.Load(), counts.continued.Load())
	assert.Assert(t, counts.continued.Load() > 0 || counts.whole.Load() > 0)
}
