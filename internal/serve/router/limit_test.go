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

	"github.com/jujubescale/jujubescale/internal/stand/netw"
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

// addModels starts model engines and waits until all gateways know them. The bound of cold
// engines would limit the load, so it is raised.
func (b *bench) addModels(count int) {
	b.t.Helper()
	b.Config.Services[1].ColdPerS = 200
	b.Publish()
	for i := range count {
		_, err := b.Add(&stand.Engine{
			Service: models, Kind: stand.Model, Zone: []string{zoneA, zoneB}[i%2],
			WorkTime: 5 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: 8,
		})
		assert.NilError(b.t, err)
	}
	b.awaitKnown(models)
}

// awaitKnown waits until all gateways know the engines of a service.
func (b *bench) awaitKnown(service string) {
	b.t.Helper()
	want := len(b.Engines(service))
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		for _, g := range b.gateways {
			if known := g.KnownEndpoints(service); known < want {
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
	t.Parallel()
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
	t.Parallel()
	b := start(t, 3)
	b.addModels(2)
	limited := append(b.Engines(encode)[:1], b.Engines(retrieval)[:1]...)
	for i, e := range limited {
		e.SetRate([]float64{1, 2}[i])
	}
	outcomes := b.load(10*time.Second, []time.Duration{150 * time.Millisecond, 400 * time.Millisecond}, draft)
	served := countServed(outcomes)
	assert.Assert(t, served*10 >= len(outcomes)*9, "%d of %d served", served, len(outcomes))
	for _, e := range limited {
		total, most := e.Arrivals()
		t.Logf("%s: %d requests, at most %d in 4 s", e.ID, total, most)
		assert.Assert(t, total > 0, "%s got no call", e.ID)
	}
}

// countServed returns the number of requests with status 200.
func countServed(outcomes []stand.Outcome) int {
	served := 0
	for _, outcome := range outcomes {
		if outcome.Status == http.StatusOK {
			served++
		}
	}
	return served
}

// limitedAt returns how many endpoints have a limit in force at a gateway.
func (g *gateway) limitedAt(t *testing.T) int {
	t.Helper()
	return int(g.Gate().Limits().Limited())
}

// awaitLimited waits until every gateway knows a number of limited endpoints, and returns
// how long that took.
func (b *bench) awaitLimited(count int) time.Duration {
	b.t.Helper()
	began := time.Now()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		for i, g := range b.gateways {
			if known := g.limitedAt(b.t); known != count {
				return poll.Continue("gateway %d knows %d limited endpoints, not %d", i+1, known, count)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
	return time.Since(began)
}

// Guards against gateways that learn a limit only from an answer of their own.
func TestAllGatewaysLearnALimitFromOneAnswer(t *testing.T) {
	t.Parallel()
	b := start(t, 9)
	engine := b.Engines(orders)[0]
	engine.SetRate(2)
	b.sendUntil(b.gateways[4], lookup, func(stand.Outcome) bool { return b.gateways[4].limitedAt(t) == 1 })
	took := b.awaitLimited(1)
	t.Logf("all gateways know the limit after %v", took)
	engine.SetRate(0)
	b.sendUntil(b.gateways[2], lookup, func(stand.Outcome) bool { return b.gateways[2].limitedAt(t) == 0 })
	t.Logf("all gateways know its end after %v", b.awaitLimited(0))
}

// Guards against requests that wait for a permit, or are lost, while all endpoints of their
// pool are limited, and against callers that are told to return together.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	for _, e := range b.Engines(orders) {
		e.SetRate(5)
	}
	b.load(time.Second, []time.Duration{50 * time.Millisecond}, lookup)
	outcomes := b.load(6*time.Second, []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 70 * time.Millisecond}, lookup)
	served, returns := 0, make(map[time.Duration]int)
	for _, outcome := range outcomes {
		switch outcome.Status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			assert.Assert(t, outcome.Took < time.Second, "refused after %v", outcome.Took)
			assert.Assert(t, outcome.RetryAfter > 0 && outcome.RetryAfter <= 10*time.Second, outcome.RetryAfter)
			returns[outcome.RetryAfter.Round(100*time.Millisecond)]++
		default:
			t.Errorf("unexpected outcome %+v", outcome)
		}
	}
	t.Logf("%d of %d served, %d different times to return", served, len(outcomes), len(returns))
	// Two endpoints accept 60 requests in 6 s.
	assert.Assert(t, served >= 54 && served <= 66+16, served)
	assert.Assert(t, len(returns) >= 10, returns)
}

// Guards against a limit that is exceeded, or an endpoint that is left unused, after the
// process that grants its permits was killed.
func TestLimitHoldsWhenTheOwnerOfAnEndpointIsKilled(t *testing.T) {
	t.Parallel()
	b := start(t, 5)
	b.addModels(6)
	engine := b.Engines(models)[0]
	engine.SetRate(5)
	b.load(3500*time.Millisecond, []time.Duration{150 * time.Millisecond}, ownSummary)
	killed := b.gateways[0].Owner(engine.ID)
	for i, g := range b.gateways {
		if g.Name == killed {
			g.stop()
			b.gateways = append(b.gateways[:i:i], b.gateways[i+1:]...)
			break
		}
	}
	before, _ := engine.Arrivals()
	outcomes := b.load(8*time.Second, []time.Duration{150 * time.Millisecond}, ownSummary)
	total, most := engine.Arrivals()
	t.Logf("%d requests after the owner was killed, at most %d in 4 s", total-before, most)
	assert.Assert(t, total-before >= 10, "%d requests in 8 s", total-before)
	served := countServed(outcomes)
	assert.Assert(t, served*100 >= len(outcomes)*99, "%d of %d served", served, len(outcomes))
}

// Guards against requests that are refused because one endpoint has reached its limit and
// the others have just refused a request. Endpoints to avoid are better than none.
func TestLimitedEndpointDoesNotHideThoseToAvoid(t *testing.T) {
	t.Parallel()
	b := start(t, 2)
	engines := b.Engines(orders)
	engines[0].SetRate(0.5)
	b.load(time.Second, []time.Duration{50 * time.Millisecond}, lookup)
	engines[1].SetFault(stand.Fault{Every: 3, Refuse: true})
	outcomes := b.load(4*time.Second, []time.Duration{25 * time.Millisecond}, lookup)
	served := countServed(outcomes)
	t.Logf("%d of %d served", served, len(outcomes))
	// The other endpoint refuses one request in three.
	assert.Assert(t, served*10 >= len(outcomes)*6, "%d of %d served", served, len(outcomes))
}

// Guards against a changed limit that is kept too long, or that comes into force too late:
// lowered, raised, no longer stated and stated again.
func TestChangedLimitsComeIntoForce(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	b.addModels(4)
	engine := b.Engines(models)[0]
	for _, limit := range []float64{5, 0.5, 20, 0, 1} {
		engine.SetRate(limit)
		outcomes := b.load(7*time.Second, []time.Duration{110 * time.Millisecond, 150 * time.Millisecond}, ownSummary)
		for _, outcome := range outcomes {
			assert.Equal(t, outcome.Status, http.StatusOK, "%+v", outcome)
		}
		total, most := engine.Arrivals()
		t.Logf("limit %v: %d requests in the last 4 s, at most %d", limit, total, most)
		if limit > 0 {
			assert.Assert(t, total > 0, "limit %v", limit)
		} else {
			assert.Equal(t, b.gateways[0].limitedAt(t), 0)
		}
	}
}

// Guards against canary requests that go around the limit of a candidate.
func TestCandidateGetsNoMoreThanItsStatedRate(t *testing.T) {
	t.Parallel()
	k := serviceKinds()["plain"]
	b := startWith(t, 3, true)
	l := b.startLoad(k, runningGateways(b))
	candidates := b.addVersion(k, "v2", stand.Fault{})
	for _, e := range candidates {
		e.SetRate(2)
	}
	b.orderRollout(k, 10*time.Second, false)
	time.Sleep(9 * time.Second)
	l.stop()
	for _, e := range candidates {
		total, most := e.Arrivals()
		t.Logf("%s: %d requests, at most %d in 4 s", e.ID, total, most)
	}
}

// Guards against the reports that the owner of an overdue call asks its engine for: they
// reach the engine, too.
func TestReportsOfOverdueCallsKeepTheLimit(t *testing.T) {
	t.Parallel()
	b := start(t, 2)
	// An overdue call is not cancelled for some seconds.
	b.Config.Services[2].CallMs, b.Config.Routes[2].SloMs = 1200, 6000
	b.Publish()
	engines := b.Engines(encode)
	for _, e := range engines {
		e.SetRate(0.5)
	}
	b.load(3500*time.Millisecond, []time.Duration{300 * time.Millisecond}, draft)
	for _, e := range engines {
		e.SetFault(stand.Fault{Every: 1, Delay: 6 * time.Second})
	}
	b.load(6*time.Second, []time.Duration{300 * time.Millisecond}, draft)
	for _, e := range engines {
		total, most := e.Arrivals()
		t.Logf("%s: %d requests, at most %d in 4 s", e.ID, total, most)
		assert.Assert(t, total > 0, "%s got no request", e.ID)
	}
}

// Guards against requests that are refused because the owners of two endpoints with a limit
// are silent, although a third endpoint has no limit.
func TestSilentOwnersHideNoEndpointWithoutALimit(t *testing.T) {
	const requests = 10 // fewer than the connections of a gateway to one endpoint
	var links []*netw.Link
	b := startOnHosts(t, 5, 0, func(index int) benchHost {
		if index == 0 {
			return benchHost{}
		}
		links = append(links, netw.NewLink(100_000_000))
		return benchHost{link: links[len(links)-1]}
	})
	sender := b.gateways[0]
	for range 8 {
		_, err := b.Add(&stand.Engine{Service: orders, Kind: stand.Plain, Zone: zoneA, WorkTime: 5 * time.Millisecond})
		assert.NilError(t, err)
	}
	b.awaitKnown(orders)
	limited, kept := 0, false
	for _, e := range b.Engines(orders) {
		switch {
		case sender.OwnerOf(e.ID) != "gateway-1" && limited < 3:
			e.SetRate(40)
			limited++
		case !kept:
			kept = true
		default:
			b.Remove(e)
		}
	}
	assert.Equal(t, limited, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.send(sender, lookup())
		if sender.limitedAt(t) == 3 && sender.KnownEndpoints(orders) == 4 {
			return poll.Success()
		}
		return poll.Continue("limits not known yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	for _, link := range links {
		link.Pause(600 * time.Millisecond)
	}
	outcomes := make(chan stand.Outcome)
	for range requests {
		go func() { outcomes <- b.send(sender, lookup()) }()
	}
	for range requests {
		got := <-outcomes
		assert.Check(t, got.Complete, "%+v", got)
	}
}
