package deploy_test

import (
	"encoding/json"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
)

// Guards against an order that was removed and given again with equal content and takes over the deadline and the
// verdict of the one before, because the process reads both changes as one.
func TestOrderThatIsGivenAgainBeginsAnew(t *testing.T) {
	const wall = 1_000_000
	var now atomic.Int64
	var suspended atomic.Bool
	now.Store(1000)
	peers := deploy.Peers{
		OwnsFunc: func(string) bool { return true }, UpToDateFunc: func() bool { return true },
		TrialsFunc: func() []wire.Trial {
			return []wire.Trial{{TrialKey: wire.TrialKey{Pool: "encode", Version: "v4"}, Suspended: suspended.Load()}}
		},
	}
	p := newProcess(t, deploy.WithPeers(peers), deploy.WithWallClock(func() int64 { return wall }),
		deploy.WithClock(clock.New(clock.WithNow(func() clock.Millis { return clock.Millis(now.Load()) }))))
	running := canary.Status{Order: order("v4"), Previous: "v1", State: canary.Running, StartedAt: 100}
	assert.Assert(t, p.read(t, store.Revision{Number: 50}, running.Order, running).Canary)
	suspended.Store(true)
	bad := p.record(t)
	assert.Equal(t, bad.State, canary.RolledBack)
	p.read(t, store.Revision{Number: 51}, bad.Order, bad)

	suspended.Store(false)
	now.Add(int64(2 * running.Duration))
	raw, err := json.Marshal(running.Order)
	assert.NilError(t, err)
	p.List([]store.Object{{Name: name, Version: store.Revision{Number: 60}, Value: raw}}, 0)
	again := p.record(t)
	assert.Equal(t, again.State, canary.Running)
	assert.Equal(t, again.StartedAt, int64(wall), "its time is that of the order before")
	assert.Assert(t, p.read(t, store.Revision{Number: 61}, again.Order, again).Canary, "it is suspended as the one before")

	suspended.Store(true)
	now.Add(1000) // the pause between two writes
	bad = p.record(t)
	p.read(t, store.Revision{Number: 62}, bad.Order, bad)
	again.StartedAt++
	assert.Assert(t, p.read(t, store.Revision{Number: 72}, again.Order, again).Canary, "another process has recorded its start")

	now.Add(1000)
	p.record(t)
	again.StartedAt = 0
	assert.Assert(t, !p.read(t, store.Revision{Number: 73}, again.Order, again).Canary, "another program has written the status")
}

// Guards against an order that is rolled back without having been tried: peers that have not read it yet report the
// verdict of an earlier order for the same version.
func TestVerdictOfAnEarlierOrderIsNotThatOfTheNext(t *testing.T) {
	const notTried = "only 0 answers until the deadline"
	for name, c := range map[string]struct {
		began  int64
		reason string
	}{
		"earlier order":                      {100, notTried},
		"this order":                         {200, "bad"},
		"a peer that states no start of one": {0, "bad"},
	} {
		t.Run(name, func(t *testing.T) {
			var now atomic.Int64
			peers := deploy.Peers{
				OwnsFunc: func(string) bool { return true }, UpToDateFunc: func() bool { return true },
				TrialsFunc: func() []wire.Trial {
					return []wire.Trial{{TrialKey: wire.TrialKey{Pool: "encode", Version: "v4", Began: c.began}, Suspended: true}}
				},
			}
			p := newProcess(t, deploy.WithPeers(peers), deploy.WithClock(clock.New(clock.WithNow(func() clock.Millis { return clock.Millis(now.Load()) }))))
			running := canary.Status{Order: order("v4"), Previous: "v1", State: canary.Running, StartedAt: 200}
			p.read(t, store.Revision{Number: 50}, running.Order, running)
			now.Store(int64(running.Duration))
			assert.Equal(t, p.record(t).Reason, c.reason)
		})
	}
}
