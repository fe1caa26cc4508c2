package router_test

import (
	"net/http"
	"strings"
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
			got := b.send(g, publicLookup("/unknown/x"))
			assert.Check(t, got.Status == http.StatusServiceUnavailable && got.RetryAfter > 0, "%d, return after %v", got.Status, got.RetryAfter)
		})
	}
	group.Wait()
	calls := g.storeCalls.Load() - before
	assert.Assert(t, calls < 30, "%d calls", calls)
}

// Guards against requests that are refused for good by a configuration that a newer one, which the
// store has acknowledged, may have replaced: while the store can't be reached nobody knows.
func TestNoRequestIsDeniedByAConfigurationThatMayBeReplaced(t *testing.T) {
	for name, storeFault := range map[string]stand.StoreFault{
		"silent store": {Hang: true}, "busy store": {Status: http.StatusServiceUnavailable}, "limited store": {Status: http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := start(t, 2)
			b.Store.SetFault(storeFault)
			time.Sleep(2 * time.Second) // watches that were waiting have ended
			added := publicLookup(b.addRoutes(1, 7) + "x")
			b.Config.Tenants[0].Keys = append(b.Config.Tenants[0].Keys, "new-key")
			b.Publish()
			time.Sleep(4 * time.Second)
			withNewKey := lookup()
			withNewKey.Key = "new-key"
			for _, g := range b.gateways {
				for _, s := range []*stand.Request{added, withNewKey, publicLookup("/unknown/x")} {
					got := b.send(g, again(s))
					assert.Check(t, got.Status == http.StatusServiceUnavailable && got.RetryAfter > 0, "%s: %d, return after %v", s.Path, got.Status, got.RetryAfter)
				}
				assert.Check(t, b.send(g, lookup()).Complete, "a request that the configuration in force allows")
			}
			b.Store.SetFault(stand.StoreFault{})
			back := time.Now()
			for _, g := range b.gateways {
				for _, s := range []*stand.Request{added, withNewKey} {
					got := b.sendUntil(g, func() *stand.Request { return again(s) }, func(got stand.Outcome) bool { return got.Complete })
					assert.Equal(t, got.Status, http.StatusOK)
				}
				b.sendUntil(g, func() *stand.Request { return publicLookup("/unknown/x") }, func(got stand.Outcome) bool { return got.Status == http.StatusNotFound })
			}
			took := time.Since(back)
			t.Logf("in force and denied again after %v", took)
			assert.Check(t, took < 2*time.Second, "%v, the time within which a change must be in force is 2 s", took)
		})
	}
}

// again returns the request of a caller's next attempt.
func again(s *stand.Request) *stand.Request {
	next := *s
	next.ID = stand.NewID()
	return &next
}

// Guards against callers without a key who learn names of processes and versions of the configuration
// from a refusal.
func TestDenialTellsCallersNothingOfTheDeployment(t *testing.T) {
	b := start(t, 2)
	for range 2 {
		got := b.rawAt(b.gateways[1].address, "GET /unknown/x HTTP/1.1\r\nHost: orders.example\r\n"+stand.HeaderLines(stand.NewID(), "", 2000)+"\r\n")
		assert.Assert(t, strings.Contains(got, " 404 ") && !strings.Contains(got, "confirmed") && !strings.Contains(got, "gateway-"), "%s", got)
		time.Sleep(time.Second)
	}
}
