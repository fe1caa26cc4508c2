package router_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against a rate of store calls that grows with the fleet: three processes watch
// the store, independent of the number of processes.
func TestCallsToTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	calls := func(gateways int) int {
		b := start(t, gateways)
		time.Sleep(2 * time.Second) // every process follows a peer or watches the store by then
		before := b.Store.Calls()
		time.Sleep(4 * time.Second)
		return b.Store.Calls() - before
	}
	few, many := calls(3), calls(9)
	t.Logf("calls in four seconds without changes: %d of 3 processes, %d of 9", few, many)
	// Three watchers follow four kinds of objects, and a watch ends after 0.7 to 1.1 s.
	assert.Assert(t, many <= 3*4*6, "%d calls", many)
	assert.Assert(t, many*2 <= few*3+8, "%d calls of 9 processes, %d of 3", many, few)
}

// Guards against a process that is cut off from the store, but not from its peers, and
// still accepts a revoked key.
func TestProcessWithoutTheStoreFollowsItsPeers(t *testing.T) {
	b := start(t, 5)
	cut := b.gateways[4]
	cut.cutOff.Store(true)
	time.Sleep(500 * time.Millisecond)
	b.Config.Tenants[0].Keys = []string{"new-key"}
	b.Publish()
	changed := time.Now()
	for _, g := range b.gateways {
		b.sendUntil(g, booking, func(got stand.Outcome) bool { return got.Status == http.StatusUnauthorized })
	}
	assert.Assert(t, time.Since(changed) < 4*time.Second, "%v", time.Since(changed))
}

// Guards against changes that no process detects because all watchers are cut off from
// the store.
func TestLostWatchersAreReplaced(t *testing.T) {
	b := start(t, 5)
	for _, g := range b.gateways[:3] {
		g.cutOff.Store(true)
	}
	b.Config.Tenants[0].Keys = []string{"new-key"}
	b.Publish()
	changed := time.Now()
	for _, g := range b.gateways {
		b.sendUntil(g, booking, func(got stand.Outcome) bool { return got.Status == http.StatusUnauthorized })
	}
	assert.Assert(t, time.Since(changed) < 6*time.Second, "%v", time.Since(changed))
}

// Guards against a watcher that is cut off from the store and repeatedly leaves its
// upstream to wait for the store.
func TestWatcherCutOffFromTheStoreKeepsItsUpstream(t *testing.T) {
	b := start(t, 5)
	i := slices.IndexFunc(b.gateways, func(g *gateway) bool { return g.Watches() })
	assert.Assert(t, i >= 0, "no process watches the store")
	watcher := b.gateways[i]
	watcher.cutOff.Store(true)
	time.Sleep(2500 * time.Millisecond) // the watcher follows a peer by then
	for round := range 10 {
		fresh := fmt.Sprintf("key-%d", round)
		b.Config.Tenants[0].Keys = []string{fresh}
		b.Publish()
		changed := time.Now()
		b.sendUntil(watcher, func() *stand.Request {
			s := lookup()
			s.Key = fresh
			return s
		}, func(got stand.Outcome) bool { return got.Status != http.StatusUnauthorized })
		took := time.Since(changed)
		assert.Check(t, took < time.Second, "change %d in force after %v", round, took)
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against lost or repeated requests when processes are added under load. The
// ledger checks that a booking runs at most once. The rate of drafts stays below the
// limit of cold engines, because engines may become cold.
func TestJoiningProcessesLoseNoRequest(t *testing.T) {
	b := start(t, 2)
	first := b.gateways
	var group sync.WaitGroup
	for i := range 60 {
		group.Add(1)
		go func() {
			defer group.Done()
			request := []func() *stand.Request{booking, lookup, booking, lookup, draft}[i%5]
			if got := b.send(first[i%2], request()); !got.Complete {
				t.Errorf("%+v", got)
			}
		}()
		if i == 10 || i == 20 || i == 30 {
			b.startUnreadyGateway()
		}
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	for _, g := range b.gateways {
		b.awaitPeers(g, 5)
		b.sendUntil(g, draft, func(got stand.Outcome) bool { return got.Complete })
	}
}

// enlargeStagePools adds engines until the stage pools are divided into one shard for
// each zone.
func (b *bench) enlargeStagePools() {
	for range 6 {
		for _, zone := range []string{zoneA, zoneB} {
			for _, service := range []string{encode, retrieval} {
				_, err := b.Add(&stand.Engine{Service: service, Kind: stand.Stage, WorkTime: 20 * time.Millisecond, Zone: zone})
				assert.NilError(b.t, err)
			}
		}
	}
	time.Sleep(1500 * time.Millisecond) // the entries are read by then
}

// Guards against a divided pool that loses requests when a zone is evacuated or the
// owner of a shard ends.
func TestShardsServeDuringOwnerAndZoneChanges(t *testing.T) {
	b := start(t, 4)
	b.enlargeStagePools()
	sendDuring := func(from []*gateway, during func()) {
		var group sync.WaitGroup
		for i := range 40 {
			group.Add(1)
			go func() {
				defer group.Done()
				if got := b.send(from[i%len(from)], draft()); !got.Complete && got.Status != http.StatusServiceUnavailable {
					t.Errorf("%+v", got)
				}
			}()
			if i == 12 {
				during()
			}
			time.Sleep(15 * time.Millisecond)
		}
		group.Wait()
		for _, g := range from {
			b.sendUntil(g, draft, func(got stand.Outcome) bool { return got.Complete })
		}
	}
	sendDuring(b.gateways, func() {})
	sendDuring(b.gateways, func() { b.Evacuate(zoneA) })
	sendDuring(b.gateways, func() { b.EndEvacuation(zoneA) })
	sendDuring(b.gateways[:2], b.gateways[3].stop)
}

// Guards against processes that keep changing their upstream without a fault: each
// change costs calls to the store and fills the log.
func TestUpstreamIsStableWithoutFaults(t *testing.T) {
	b := start(t, 5)
	time.Sleep(2500 * time.Millisecond)
	for _, g := range b.gateways {
		g.upstreamEvents.Store(0)
	}
	time.Sleep(4 * time.Second)
	for _, g := range b.gateways {
		assert.Equal(t, g.upstreamEvents.Load(), int64(0), "changes of the upstream")
	}
}
