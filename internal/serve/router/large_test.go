package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/stand/netw"
	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	// slowLink is the bandwidth of a small host, 10 Mbit/s, in bytes per second.
	slowLink   = 1_250_000
	largeHosts = 2
	smallHosts = 4
)

// startOnSlowLinks starts a fleet of two large hosts without limits and four small ones
// whose links have the bandwidth slowLink.
func startOnSlowLinks(t *testing.T, changeWithin clock.Millis) *bench {
	t.Helper()
	return startOnHosts(t, largeHosts+smallHosts, changeWithin, func(index int) benchHost {
		if index < largeHosts {
			return benchHost{capacity: 0.8}
		}
		return benchHost{capacity: 0.144, link: netw.NewLink(slowLink)}
	})
}

// addRoutes adds public routes with random paths of a length to the configuration, and
// returns the path prefix of the last one.
func (b *bench) addRoutes(count, length int) string {
	prefix := ""
	for range count {
		random := make([]byte, length)
		for i := range random {
			random[i] = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"[rand.IntN(64)]
		}
		name := string(random)
		prefix = "/" + name + "/"
		b.Config.Routes = append(b.Config.Routes, stand.Route{
			Name: fmt.Sprint("r-", len(b.Config.Routes)), Host: "orders.example", Prefix: prefix, Kind: "safe", Service: orders, TimeoutMs: 3000, SloMs: 300, Attempts: 1, Public: true,
		})
	}
	return prefix
}

// changeEntries changes entries of engines twice a second until the test ends.
func (b *bench) changeEntries() {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
				for _, e := range b.Engines(retrieval) {
					b.Register(e, true, 1+i%2)
				}
			}
		}
	}()
	b.t.Cleanup(func() { close(done); <-ended })
}

// awaitRoute waits until each gateway routes a path, and returns the time that the
// last one took.
func (b *bench) awaitRoute(prefix string) time.Duration {
	published := time.Now()
	var longest time.Duration
	for _, g := range b.gateways {
		b.sendUntil(g, func() *stand.Request {
			r := lookup()
			r.Path, r.Key, r.Tenant = prefix+"x", "", ""
			return r
		}, func(got stand.Outcome) bool { return got.Status != http.StatusNotFound })
		longest = max(longest, time.Since(published))
	}
	return longest
}

// Guards against a large version that comes late because its copies fill the links of
// small hosts: each was begun again before the one before had arrived.
func TestLargeVersionsAreInForceInTimeOnSlowLinks(t *testing.T) {
	const changeWithin = 3 * clock.Second
	for name, size := range map[string]struct{ routes, length int }{
		"many routes": {routes: 3400, length: 7}, "hardly compressible": {routes: 730, length: 800},
	} {
		t.Run(name, func(t *testing.T) {
			b := startOnSlowLinks(t, changeWithin)
			b.changeEntries()
			b.addRoutes(size.routes, size.length)
			b.Publish()
			time.Sleep(2500 * time.Millisecond)
			for round := range 3 {
				prefix := b.addRoutes(1, size.length)
				b.Publish()
				took := b.awaitRoute(prefix)
				t.Logf("version %d of %d bytes in force after %v", b.Config.Version, b.configBytes(), took)
				assert.Check(t, took < changeWithin.Duration(), "round %d: version %d in force after %v", round, b.Config.Version, took)
			}
		})
	}
}

// configBytes returns the size of the configuration in the store.
func (b *bench) configBytes() int {
	object, found := b.Store.Get("config", "main")
	assert.Assert(b.t, found)
	return len(object.Spec)
}
