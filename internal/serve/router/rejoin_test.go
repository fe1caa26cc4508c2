package router_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/serve/router"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// awaitReady waits until all gateways are ready.
func (b *bench) awaitReady() {
	b.t.Helper()
	for _, g := range b.gateways {
		poll.WaitOn(b.t, func(poll.LogT) poll.Result {
			if b.isReady(g) {
				return poll.Success()
			}
			return poll.Continue("not ready")
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	}
}

// Guards against a stream that goes on at the version of another stream of the same request, which
// is all that is known of it because its gateways were killed.
func TestStreamIsNotJoinedWithOneBegunAnewAfterItsGatewaysWereKilled(t *testing.T) {
	for _, tt := range []struct {
		name             string
		gateways, killed int
		leaves           bool
	}{
		{"all, the first version has left", 5, 5, true},
		{"all, both versions serve", 5, 5, false},
		{"all of three", 3, 3, false},
		{"two of three", 3, 2, false},
		{"three of five, the first version has left", 5, 3, true},
		{"all of twenty-four", 24, 24, false},
		{"twelve of twenty-four", 24, 12, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := startVersions(t, tt.gateways, steadyEngine)
			versions := make(map[string]string)
			for _, e := range b.Engines(models) {
				versions[e.ID] = e.Version
			}
			broken := b.begunStreams(40, tt.killed, longGuide, func() {
				if tt.killed == tt.gateways {
					b.killAndStart()
					return
				}
				var group sync.WaitGroup
				for _, g := range b.gateways[:tt.killed] {
					group.Go(g.stop)
				}
				group.Wait()
			})
			assert.Assert(t, len(broken) > 20, "%d of 40 streams were broken off", len(broken))
			if tt.killed < tt.gateways {
				b.gateways = b.gateways[tt.killed:]
			}
			b.awaitReady()
			for _, e := range b.Engines(models) {
				if tt.leaves && e.Version == "v1" {
					b.Remove(e)
				}
			}
			time.Sleep(500 * time.Millisecond) // the gateways have read the entries by then
			anew, began := make([]*stand.Request, len(broken)), make([]string, len(broken))
			for i, s := range broken {
				began[i] = versions[b.Ledger.Runs(s.Resumes)[0]]
				next := *s
				next.ID, next.Resumes, next.LastEvent = stand.NewID(), "", 0
				anew[i] = &next
			}
			b.sendAll(anew, b.gateways)
			for _, named := range []bool{false, true} {
				resumed := make([]*stand.Request, len(broken))
				for i, s := range broken {
					next := *s
					if next.ID = stand.NewID(); !named {
						next.Resumes = ""
					}
					resumed[i] = &next
				}
				joined := 0
				for i, got := range b.sendAll(resumed, b.gateways) {
					if got.LastEvent > resumed[i].LastEvent && versions[b.Ledger.Runs(resumed[i].ID)[0]] != began[i] {
						joined++
					}
				}
				assert.Equal(t, joined, 0, "of %d streams, attempt named: %v", len(broken), named)
			}
		})
	}
}

// Guards against processes that own no pools, and count as absent, after all have started again beside
// a store that had come back from a copy: a caller's request was the first to find out that they serve.
func TestAllProcessesOwnPoolsAfterAllWereKilledBesideARestoredStore(t *testing.T) {
	b := start(t, 3)
	b.Store.Restore(b.Store.Copy())
	b.killAndStart()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for _, g := range b.gateways {
		group.Go(func() {
			for ctx.Err() == nil {
				b.isReady(g)
			}
		})
	}
	defer cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, g := range b.gateways {
			if alive := g.Alive(); len(alive) != 3 {
				return poll.Continue("gateway %d sees %v", i+1, alive)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(6*time.Second), poll.WithDelay(20*time.Millisecond))
	time.Sleep(1500 * time.Millisecond) // aggregators mark processes as absent from a second on
	for i, g := range b.gateways {
		assert.Equal(t, len(g.Alive()), 3, "gateway %d sees %v", i+1, g.Alive())
	}
}

// Guards against streams that can't be resumed because all gateways were killed, and with them what
// they kept of where streams began.
func TestStreamsGoOnAfterAllGatewaysWereKilled(t *testing.T) {
	for _, gateways := range []int{3, 5, 24} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			b := startVersions(t, gateways, func() *stand.Engine {
				return &stand.Engine{WorkTime: 5 * time.Millisecond, EventInterval: 50 * time.Millisecond, Events: 40}
			})
			versions := make(map[string]string)
			for _, e := range b.Engines(models) {
				versions[e.ID] = e.Version
			}
			broken := b.begunStreams(60, gateways, longGuide, func() {
				time.Sleep(time.Second)
				b.killAndStart()
			})
			assert.Assert(t, len(broken) > 30, "%d of 60 streams were broken off", len(broken))
			b.awaitReady()
			continued, joined := 0, 0
			for i, got := range b.sendAll(broken, b.gateways) {
				s := broken[i]
				if got.LastEvent <= s.LastEvent {
					continue
				}
				continued++
				if versions[b.Ledger.Runs(s.ID)[0]] != versions[b.Ledger.Runs(s.Resumes)[0]] {
					joined++
				}
			}
			fresh := make([]*stand.Request, len(broken))
			for i := range fresh {
				fresh[i] = longGuide()
			}
			begun := b.countEvents(fresh)
			t.Logf("%d of %d streams went on, %d of as many new ones began", continued, len(broken), begun)
			assert.Equal(t, joined, 0)
			assert.Assert(t, begun > 0)
			assert.Assert(t, float64(continued) >= 0.9*float64(begun))
		})
	}
}

// Guards against objects of processes that have ended, which stay in the store for good, and against the
// removal of those that callers still need.
func TestExpiredOriginsAreRemoved(t *testing.T) {
	b := start(t, 1)
	b.awaitReady()
	until := func(at time.Time) router.StreamOrigins {
		return router.StreamOrigins{Origins: []router.StreamOrigin{{Stream: make([]byte, 16), Endpoint: "e", UntilMs: at.UnixMilli()}}}
	}
	b.Store.Put("origins", "gateway-9.1.0", until(time.Now().Add(-2*time.Minute)))
	b.Store.Put("origins", "gateway-9.1.1", until(time.Now().Add(-time.Second)))
	b.Store.Put("origins", "gateway-9.1.2", until(time.Now().Add(time.Minute)))
	b.Store.Put("origins", "gateway-9.1.3", "no origins")
	origins, err := b.gateways[0].ReadAndClean(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, origins, 1)
	assert.DeepEqual(t, b.Store.Names("origins"), []string{"gateway-9.1.1", "gateway-9.1.2"})
}
