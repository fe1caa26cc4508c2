package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// load sends requests from all gateways, each at its own pace, and returns the outcomes.
func (b *bench) load(duration time.Duration, paces []time.Duration, request func() *stand.Request) []stand.Outcome {
	var mu sync.Mutex
	var outcomes []stand.Outcome
	var group sync.WaitGroup
	until := time.Now().Add(duration)
	for i, g := range b.gateways {
		group.Go(func() {
			ticker := time.NewTicker(paces[i%len(paces)])
			defer ticker.Stop()
			for time.Now().Before(until) {
				<-ticker.C
				group.Go(func() {
					outcome := b.send(g, request())
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, outcome)
				})
			}
		})
	}
	group.Wait()
	return outcomes
}

// addModels starts model engines and waits until all gateways know them.
func (b *bench) addModels(count int) {
	b.t.Helper()
	for i := range count {
		_, err := b.Add(&stand.Engine{
			Service: models, Kind: stand.Model, Zone: []string{zoneA, zoneB}[i%2],
			WorkTime: 5 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: 8,
		})
		assert.NilError(b.t, err)
	}
	want := len(b.Engines(models))
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		for _, g := range b.gateways {
			if known := g.KnownEndpoints(models); known < want {
				return poll.Continue("%d of %d engines known", known, want)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// ownSummary is a summary whose prompt shares no part with others, so that no engine is
// preferred for it.
func ownSummary() *stand.Request {
	request := summary()
	request.PromptPrefix = fmt.Sprintf("%08x:100,%08x:100", rand.Uint32(), rand.Uint32())
	return request
}

// Guards against a rate that an endpoint states to all gateways together and that no
// gateway, or each gateway only for itself, keeps.
func TestEndpointsGetNoMoreThanTheirStatedRate(t *testing.T) {
	b := start(t, 5)
	b.addModels(6)
	limited := b.Engines(models)[:3]
	for i, e := range limited {
		e.SetRate([]float64{0.5, 1, 1.2}[i])
	}
	outcomes := b.load(11*time.Second, []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 200 * time.Millisecond}, ownSummary)
	served := 0
	for _, outcome := range outcomes {
		if outcome.Status == http.StatusOK {
			served++
		} else {
			t.Logf("not served: %+v", outcome)
		}
	}
	assert.Equal(t, served, len(outcomes), "requests that other endpoints can serve")
	for _, e := range limited {
		total, most := e.Arrivals()
		t.Logf("%s: %d requests, at most %d in 4 s", e.ID, total, most)
		assert.Assert(t, total > 0, "%s got no request", e.ID)
	}
}

// Guards against calls of pieces, reports and releases of results that go around the rate
// which a stage engine states.
func TestStageEnginesGetNoMoreThanTheirStatedRate(t *testing.T) {
	b := start(t, 3)
	b.addModels(2)
	limited := append(b.Engines(encode)[:1], b.Engines(retrieval)[:1]...)
	for i, e := range limited {
		e.SetRate([]float64{1, 2}[i])
	}
	outcomes := b.load(10*time.Second, []time.Duration{150 * time.Millisecond, 400 * time.Millisecond}, draft)
	served := 0
	for _, outcome := range outcomes {
		if outcome.Status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served*10 >= len(outcomes)*9, "%d of %d served", served, len(outcomes))
	for _, e := range limited {
		total, most := e.Arrivals()
		t.Logf("%s: %d requests, at most %d in 4 s", e.ID, total, most)
		assert.Assert(t, total > 0, "%s got no call", e.ID)
	}
}
