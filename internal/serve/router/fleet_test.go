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

// Guards against calls to the store that grow with the fleet: three processes watch
// it, however many there are.
func TestCallsToTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	calls := func(gateways int) int {
		b := start(t, gateways)
		time.Sleep(2 * time.Second) // the start is over: every process follows a peer
		before := b.Store.Calls()
		time.Sleep(4 * time.Second)
		return b.Store.Calls() - before
	}
	few, many := calls(3), calls(9)
	t.Logf("calls in four calm seconds: %d of 3 processes, %d of 9", few, many)
	// Three watchers, four kinds of objects, a watch ends after 0.7 to 1.1 s.
	assert.Assert(t, many <= 3*4*6, "%d calls", many)
	assert.Assert(t, many*2 <= few*3+8, "%d calls of 9 processes, %d of 3", many, few)
}

// Guards against a process that is cut off from the store, but not from its peers,
// and goes on with a key that was taken away.
func TestProcessWithoutTheStoreFollowsItsPeers(t *testing.T) {
	b := start(t, 5)
	cut := b.gateways[4]
	cut.cut.Store(true)
	time.Sleep(500 * time.Millisecond)
	b.Config.Tenants[0].Keys = []string{"new-key"}
	b.Publish()
	changed := time.Now()
	for _, g := range b.gateways {
		b.eventually(g, booking, func(got stand.Got) bool { return got.Status == http.StatusUnauthorized })
	}
	assert.Assert(t, time.Since(changed) < 4*time.Second, "%v", time.Since(changed))
}

// Guards against changes that nobody notices because those who watch the store for
// all others are cut off from it.
func TestLostWatchersAreReplaced(t *testing.T) {
	b := start(t, 5)
	for _, g := range b.gateways[:3] {
		g.cut.Store(true)
	}
	b.Config.Tenants[0].Keys = []string{"new-key"}
	b.Publish()
	changed := time.Now()
	for _, g := range b.gateways {
		b.eventually(g, booking, func(got stand.Got) bool { return got.Status == http.StatusUnauthorized })
	}
	assert.Assert(t, time.Since(changed) < 6*time.Second, "%v", time.Since(changed))
}

// Guards against a watcher that is cut off from the store and leaves the peer through
// which it hears of changes, again and again, to wait for the store.
func TestWatcherWithoutTheStoreStaysWithItsPeer(t *testing.T) {
	b := start(t, 5)
	i := slices.IndexFunc(b.gateways, func(g *gateway) bool { return g.Watches() })
	assert.Assert(t, i >= 0, "nobody watches the store")
	watcher := b.gateways[i]
	watcher.cut.Store(true)
	time.Sleep(2500 * time.Millisecond) // it follows a peer by then
	for round := range 10 {
		fresh := fmt.Sprintf("key-%d", round)
		b.Config.Tenants[0].Keys = []string{fresh}
		b.Publish()
		changed := time.Now()
		b.eventually(watcher, func() *stand.Sent {
			s := lookup()
			s.Key = fresh
			return s
		}, func(got stand.Got) bool { return got.Status != http.StatusUnauthorized })
		took := time.Since(changed)
		assert.Check(t, took < time.Second, "change %d in force after %v", round, took)
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against a rush when hosts are added to a busy system: no request may be
// lost, and a booking runs at most once, which the ledger watches. The rate of drafts
// stays below what engines that may turn cold bear.
func TestJoiningProcessesCostNoRequest(t *testing.T) {
	b := start(t, 2)
	first := b.gateways
	var group sync.WaitGroup
	for i := range 60 {
		group.Add(1)
		go func() {
			defer group.Done()
			request := []func() *stand.Sent{booking, lookup, booking, lookup, draft}[i%5]
			if got := b.do(first[i%2], request()); !got.Whole {
				t.Errorf("%+v", got)
			}
		}()
		if i == 10 || i == 20 || i == 30 {
			b.unready()
		}
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	for _, g := range b.gateways {
		b.awaitPeers(g, 5)
		b.eventually(g, draft, func(got stand.Got) bool { return got.Whole })
	}
}

// large adds engines until the stage pools are divided into a shard for each zone.
func (b *bench) large() {
	for range 6 {
		for _, zone := range []string{zoneA, zoneB} {
			for _, service := range []string{encode, retrieval} {
				_, err := b.Add(&stand.Engine{Service: service, Kind: stand.Stage, Work: 20 * time.Millisecond, Zone: zone})
				assert.NilError(b.t, err)
			}
		}
	}
	time.Sleep(1500 * time.Millisecond) // the entries are read by then
}

// Guards against a divided pool that loses requests when a zone is emptied, or when
// the owner of a shard ends.
func TestShardsOfALargePoolServeThroughChanges(t *testing.T) {
	b := start(t, 4)
	b.large()
	play := func(from []*gateway, during func()) {
		var group sync.WaitGroup
		for i := range 40 {
			group.Add(1)
			go func() {
				defer group.Done()
				if got := b.do(from[i%len(from)], draft()); !got.Whole && got.Status != http.StatusServiceUnavailable {
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
			b.eventually(g, draft, func(got stand.Got) bool { return got.Whole })
		}
	}
	play(b.gateways, func() {})
	play(b.gateways, func() { b.Empty(zoneA) })
	play(b.gateways, func() { b.Refill(zoneA) })
	play(b.gateways[:2], b.gateways[3].stop)
}

// Guards against processes that change whom they follow again and again in calm:
// each change costs calls, and the log says nothing any more.
func TestNobodyChangesItsPeerInCalm(t *testing.T) {
	b := start(t, 5)
	time.Sleep(2500 * time.Millisecond)
	for _, g := range b.gateways {
		g.quiet.Store(0)
	}
	time.Sleep(4 * time.Second)
	for _, g := range b.gateways {
		assert.Equal(t, g.quiet.Load(), int64(0), "changes of the peer that is followed")
	}
}
