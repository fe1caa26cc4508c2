package router_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an endpoint that becomes cold without a sign and gets more requests than it bears,
// because each process of a larger fleet may always send it some.
func TestFleetSendsAWarmEndpointNoMoreThanAColdOneMayGet(t *testing.T) {
	const gateways, rate = 9, 5
	bound := rate*1.5 + 5 // of the settings of the gateways
	c := testConfig()
	c.Services[0].ColdPerS, c.Services[0].ColdS = rate, 3
	b := startBench(t, gateways, c, &bench{})
	engines := b.Engines(orders)
	b.Remove(engines[1])
	time.Sleep(4 * time.Second) // the engine is warm, and the entry of the other one is gone
	var group sync.WaitGroup
	var served atomic.Int64
	for _, g := range b.gateways {
		for range 4 {
			group.Go(func() {
				s := lookup()
				s.DeadlineMs = 900
				if b.send(g, s).Complete {
					served.Add(1)
				}
			})
		}
	}
	group.Wait()
	assert.Assert(t, served.Load() > 0 && float64(served.Load()) <= bound, "%d requests served in 0.9 s, %v allowed", served.Load(), bound)
}
