package router_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// outOfStep is a fault of one gateway while the engines of a new version join.
type outOfStep struct {
	name     string
	gateways int
	hold     func(h *held)
	// drains is the number of engines of the old version that drain, and back whether streams are taken up
	// only once the gateway is back.
	drains int
	back   bool
}

// Guards against streams of a new version that go on at the old one at a gateway that got nothing of its peers
// while the new engines joined, and takes what it knows for all there is.
func TestStreamsAreNotJoinedAtAGatewayOutOfStep(t *testing.T) {
	t.Parallel()
	still := func(h *held) { h.still = true }
	peers := func(h *held) { h.peersIn, h.peersOut = true, true }
	for _, tt := range []outOfStep{
		{"stands still", 3, still, 0, false},
		{"stands still while old engines drain", 3, still, 3, false},
		{"stood still", 3, still, 0, true},
		{"stands still among five", 5, still, 0, false},
		{"stands still among twenty-four", 24, still, 0, false},
		{"cut off from its peers", 3, peers, 0, false},
		{"cut off from its peers among twenty-four", 24, peers, 0, false},
		{"gets nothing from its peers", 3, func(h *held) { h.peersIn = true }, 3, false},
		{"sends nothing to its peers", 3, func(h *held) { h.peersOut = true }, 3, false},
		{"cut off from the store", 3, func(h *held) { h.store = true }, 3, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.play(t)
		})
	}
}

func (tt *outOfStep) play(t *testing.T) {
	const count = 40
	h := newHeld()
	c := testConfig()
	c.Services[1].ColdPerS = 200   // the bound of cold engines would limit the load
	c.Routes[2].TimeoutMs = 12_000 // origins outlast the test beside load
	b := startBench(t, tt.gateways, c, &bench{heldFunc: func(index int) *held {
		if index == 0 {
			return h
		}
		return nil
	}})
	t.Cleanup(h.release)
	versions := make(map[string]string)
	add := func(version string) {
		for i := range 4 {
			e := &stand.Engine{Service: models, Kind: stand.Model, Version: version, Zone: []string{zoneA, zoneB}[i%2], WorkTime: 5 * time.Millisecond, EventInterval: 10 * time.Millisecond, Events: 40}
			_, err := b.Add(e)
			assert.NilError(t, err)
			versions[e.ID] = version
			e.SetFault(stand.Fault{Every: 1, Truncate: true})
		}
	}
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	add("v1")
	time.Sleep(13500 * time.Millisecond) // no stream is older than the gateways
	others := b.gateways[1:]
	first := make([]*stand.Request, count)
	for i := range first {
		first[i] = longGuide()
	}
	b.sendAll(first, b.gateways)
	h.set(tt.hold)
	began := time.Now()
	add("v2")
	for _, e := range b.Engines(models)[:tt.drains] {
		b.Drain(e)
	}
	time.Sleep(3500 * time.Millisecond)
	anew := make([]*stand.Request, count)
	for i := range anew {
		next := *first[i]
		next.ID = stand.NewID()
		anew[i] = &next
	}
	var broken []*stand.Request
	for i, got := range b.sendAll(anew, others) {
		if got.LastEvent > 0 && !got.Complete {
			broken = append(broken, anew[i].Resume(got.LastEvent))
		}
	}
	assert.Assert(t, len(broken) > count/2, "%d of %d streams were broken off", len(broken), count)
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{})
	}
	resume := func(named bool) []*stand.Request {
		all := make([]*stand.Request, len(broken))
		for i, s := range broken {
			next := *s
			if next.ID = stand.NewID(); !named {
				next.Resumes = ""
			}
			all[i] = &next
		}
		return all
	}
	unnamed := resume(false)
	var outcomes []stand.Outcome
	var group sync.WaitGroup
	taken := func() { outcomes = b.sendAll(unnamed, b.gateways[:1]) }
	if !tt.back {
		group.Go(taken)
	}
	time.Sleep(time.Until(began.Add(6 * time.Second)))
	h.release()
	if tt.back {
		group.Go(taken)
	}
	group.Wait()
	joined := 0
	for i, got := range outcomes {
		if ran := b.Ledger.Runs(unnamed[i].ID); got.LastEvent > unnamed[i].LastEvent && len(ran) > 0 && versions[ran[0]] != versions[b.Ledger.Runs(broken[i].Resumes)[0]] {
			joined++
		}
	}
	assert.Check(t, joined == 0, "%d of %d streams joined from two versions", joined, len(broken))
	time.Sleep(time.Second)
	var goneOn atomic.Int64
	for _, s := range resume(true) {
		group.Go(func() {
			for range 5 {
				got := b.send(b.gateways[0], again(s))
				if got.LastEvent > s.LastEvent {
					goneOn.Add(1)
					return
				}
				time.Sleep(got.RetryAfter)
			}
		})
	}
	group.Wait()
	assert.Check(t, float64(goneOn.Load()) >= 0.9*float64(len(broken)), "%d of %d named streams go on", goneOn.Load(), len(broken))
}

// Guards against engines that get more requests than they state from a gateway that stood still when they began
// to state a rate, and has not learned that yet when it goes on.
func TestGatewayThatStoodStillKeepsToTheRatesOfEngines(t *testing.T) {
	t.Parallel()
	h := newHeld()
	b := startBench(t, 3, testConfig(), &bench{heldFunc: func(index int) *held {
		if index == 0 {
			return h
		}
		return nil
	}})
	t.Cleanup(h.release)
	time.Sleep(time.Second)
	h.set(func(h *held) { h.still = true })
	time.Sleep(4 * time.Second) // its peers have closed their sessions
	limited := b.Engines(orders)
	for _, e := range limited {
		e.SetRate(1)
	}
	b.sendUntil(b.gateways[1], lookup, func(stand.Outcome) bool {
		return b.gateways[1].limitedAt(t) == len(limited) && b.gateways[2].limitedAt(t) == len(limited)
	})
	requests := make([]*stand.Request, 60)
	for i := range requests {
		requests[i] = lookup()
	}
	var outcomes []stand.Outcome
	var group sync.WaitGroup
	time.Sleep(2 * time.Second) // with the wait below, longer than engines allow for a change of their rate
	group.Go(func() { outcomes = b.sendAll(requests, b.gateways[:1]) })
	time.Sleep(1500 * time.Millisecond)
	h.release()
	group.Wait()
	for _, got := range outcomes {
		assert.Check(t, got.Complete || got.Status == http.StatusServiceUnavailable && got.RetryAfter > 0, "%+v", got)
	}
	for _, e := range limited {
		_, most := e.Arrivals()
		assert.Check(t, most <= 11, "%s got %d requests in 4 s", e.ID, most)
	}
}
