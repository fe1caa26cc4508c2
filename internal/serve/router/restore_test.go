package router_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// storeReturn is a return of the store from a copy.
type storeReturn struct {
	// lost is the number of acknowledged writes that the copy lacks, besides those of the test.
	// away is how long the store doesn't answer before it returns.
	lost int
	away time.Duration
}

func (d storeReturn) String() string { return fmt.Sprintf("%d lost, away %v", d.lost, d.away) }

// storeReturns are the returns that tests play; the writes that follow one bring the revision past
// that of before only with few lost ones.
func storeReturns() []storeReturn {
	return []storeReturn{{0, 0}, {3, 0}, {20, 300 * time.Millisecond}, {200, 0}, {200, 3 * time.Second}, {1000, 300 * time.Millisecond}}
}

// lose makes a number of writes that nothing depends on.
func (b *bench) lose(writes int) {
	for i := range writes {
		b.Store.Put("notes", fmt.Sprint(i), map[string]any{})
	}
}

// restore plays the return from a copy.
func (b *bench) restore(d storeReturn, from *stand.StoreCopy) {
	if d.away > 0 {
		b.Store.SetFault(stand.StoreFault{Status: http.StatusServiceUnavailable})
		time.Sleep(d.away)
	}
	b.Store.Restore(from)
	b.Store.SetFault(stand.StoreFault{})
}

// addRoute publishes a version with one more route and returns a request of it.
func (b *bench) addRoute(name string) func() *stand.Request {
	b.Config.Routes = append(b.Config.Routes, stand.Route{
		Name: name, Host: "orders.example", Prefix: "/" + name + "/", Kind: "safe", Service: orders, TimeoutMs: 3000, SloMs: 300, Attempts: 2, Priority: 1,
	})
	b.Publish()
	return func() *stand.Request {
		s := lookup()
		s.Path = "/" + name + "/x"
		return s
	}
}

// Guards against versions that no gateway takes because the revisions of a store that came back
// from a copy are lower than those that it knows.
func TestVersionsAreInForceInTimeAfterTheStoreWasRestored(t *testing.T) {
	t.Parallel()
	for _, d := range storeReturns() {
		t.Run(d.String(), func(t *testing.T) {
			t.Parallel()
			b := start(t, 3)
			from := b.Store.Copy()
			b.lose(d.lost)
			time.Sleep(time.Second)
			b.restore(d, from)
			b.WriteAgain()
			for i := range 3 {
				request := b.addRoute(fmt.Sprintf("after-%d", i))
				acknowledged := time.Now()
				for _, g := range b.gateways {
					poll.WaitOn(t, func(poll.LogT) poll.Result {
						if got := b.send(g, request()); got.Status != http.StatusOK {
							return poll.Continue("version %d: status %d at %s after %v", i, got.Status, g.address, time.Since(acknowledged))
						}
						return poll.Success()
					}, poll.WithTimeout(time.Until(acknowledged.Add(2*time.Second))), poll.WithDelay(20*time.Millisecond))
				}
			}
		})
	}
}

// Guards against requests and pieces for an engine whose leaving the store acknowledged with a
// revision that it had given out before it came back from a copy.
func TestEngineDrainedAfterTheStoreWasRestoredGetsNoRequests(t *testing.T) {
	t.Parallel()
	for _, d := range storeReturns() {
		t.Run(d.String(), func(t *testing.T) {
			t.Parallel()
			b := start(t, 3)
			from := b.Store.Copy()
			b.lose(d.lost)
			time.Sleep(time.Second)
			b.restore(d, from)
			b.WriteAgain()
			leaving := make(map[string]*stand.Engine)
			for name, test := range stateCases() {
				leaving[name] = b.Engines(test.service)[0]
				b.Drain(leaving[name])
			}
			told := time.Now()
			var group sync.WaitGroup
			for _, test := range stateCases() {
				group.Go(func() { b.loadAll(4*time.Second, test.request) })
			}
			group.Wait()
			for name, e := range leaving {
				assert.Check(t, b.Ledger.CountArrivalsAt(e, told.Add(2*time.Second)) == 0, "%s: %s got requests", name, e.ID)
			}
		})
	}
}

// loadAll sends requests to all gateways, one every 20 ms, and waits for their answers.
func (b *bench) loadAll(span time.Duration, request func() *stand.Request) []stand.Outcome {
	var mu sync.Mutex
	var outcomes []stand.Outcome
	var group sync.WaitGroup
	for end, i := time.Now().Add(span), 0; time.Now().Before(end); i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			got := b.send(b.gateways[i%len(b.gateways)], request())
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, got)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	return outcomes
}

// checkRevoked checks that a request with a revoked key is denied. Within the time that a change may
// take after the store has returned, a gateway may still lack the proof that its configuration is the
// newest, and tells the caller to come back.
func (b *bench) checkRevoked(g *gateway, returned time.Time) {
	b.t.Helper()
	since := time.Since(returned)
	got := b.send(g, lookup())
	if got.Status == http.StatusServiceUnavailable && since < 2*time.Second {
		assert.Assert(b.t, got.RetryAfter > 0)
		return
	}
	assert.Equal(b.t, got.Status, http.StatusUnauthorized, "%v after the return", since)
}

// Guards against an older state that comes back into force with the copy: a revoked key, a drained
// engine, an evacuated zone and a new route, until they are written again.
func TestAcknowledgedStateHoldsUntilItIsWrittenAgain(t *testing.T) {
	t.Parallel()
	for _, d := range []storeReturn{{0, 0}, {200, 0}, {200, time.Second}} {
		t.Run(d.String(), func(t *testing.T) {
			t.Parallel()
			b := start(t, 3)
			from := b.Store.Copy()
			b.lose(d.lost)
			leaving := b.Engines(orders)[0]
			b.Config.Tenants[0].Keys = []string{"new-key"}
			request := b.addRoute("lost")
			b.Drain(leaving)
			b.Evacuate(zoneB)
			time.Sleep(2 * time.Second)
			told := time.Now()
			b.restore(d, from)
			for returned := time.Now(); time.Since(returned) < 4*time.Second; time.Sleep(50 * time.Millisecond) {
				for _, g := range b.gateways {
					b.checkRevoked(g, returned)
					s := request()
					s.Key = "new-key"
					assert.Equal(t, b.send(g, s).Status, http.StatusServiceUnavailable)
				}
			}
			for _, e := range b.Engines(orders) {
				assert.Equal(t, b.Ledger.CountArrivalsAt(e, told), 0)
			}
			b.WriteAgain()
			b.EndEvacuation(zoneB)
			b.sendUntil(b.gateways[0], func() *stand.Request {
				s := request()
				s.Key = "new-key"
				return s
			}, func(got stand.Outcome) bool { return got.Complete })
		})
	}
}
