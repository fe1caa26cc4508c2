package router_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// awaitOutdated waits until a gateway has got no answer of the silent store for so long that
// its configuration may be too old.
func (b *bench) awaitOutdated(g *gateway) {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if g.ConfigOutdated() {
			return poll.Success()
		}
		return poll.Continue("configuration not outdated")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// publicLookup returns a lookup without a key on a path.
func publicLookup(path string) *stand.Request {
	r := lookup()
	r.Path, r.Key, r.Tenant = path, "", ""
	return r
}

// Guards against a request that is refused as unknown by an old configuration a moment before
// the store's answer arrives.
func TestDenialWaitsForTheConfigurationWhileItIsTooOld(t *testing.T) {
	b := start(t, 1)
	g := b.gateways[0]
	b.Store.SetFault(stand.StoreFault{Hang: true})
	prefix := b.addRoutes(1, 7)
	b.Publish()
	b.awaitOutdated(g)
	got := make(chan stand.Outcome)
	go func() { got <- b.send(g, publicLookup(prefix+"x")) }()
	time.Sleep(50 * time.Millisecond)
	b.Store.SetFault(stand.StoreFault{})
	assert.Equal(t, (<-got).Status, http.StatusOK)
}

// Guards against a flood of unknown paths that calls the store, or is held without a limit,
// while the configuration is too old.
func TestUnknownPathsCallTheStoreNoMoreOften(t *testing.T) {
	b := start(t, 1)
	g := b.gateways[0]
	b.Store.SetFault(stand.StoreFault{Hang: true})
	b.awaitOutdated(g)
	before := g.storeCalls.Load()
	var group sync.WaitGroup
	for range 400 {
		group.Go(func() {
			assert.Check(t, b.send(g, publicLookup("/unknown/x")).Status == http.StatusNotFound)
		})
	}
	group.Wait()
	calls := g.storeCalls.Load() - before
	assert.Assert(t, calls < 30, "%d calls", calls)
}
