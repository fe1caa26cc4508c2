package router_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against a safe request that fails with time left because its engine was silent for long and the
// retry budget allowed no second one, although the first would have answered.
func TestAnswerOfASlowEngineIsAwaitedWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	b := start(t, 1)
	for _, e := range b.Engines(orders) {
		e.SetFault(stand.Fault{Every: 1, Delay: 1200 * time.Millisecond})
	}
	requests := make([]*stand.Request, 40)
	for i := range requests {
		requests[i] = lookup()
	}
	for _, got := range b.sendAll(requests, b.gateways) {
		assert.Check(t, got.Complete && got.Status == http.StatusOK, "%+v", got)
	}
}

// Guards against a safe request that fails with time left because its engine was silent for long and there
// was no other one, although the first would have answered.
func TestAnswerOfTheOnlyEngineIsAwaited(t *testing.T) {
	t.Parallel()
	b := start(t, 1)
	b.Remove(b.Engines(orders)[0])
	b.sendUntil(b.gateways[0], lookup, func(got stand.Outcome) bool { return got.Complete })
	time.Sleep(time.Second) // the removed engine is unknown
	b.Engines(orders)[0].SetFault(stand.Fault{Every: 1, Delay: 1200 * time.Millisecond})
	got := b.send(b.gateways[0], lookup())
	assert.Check(t, got.Complete && got.Status == http.StatusOK, "%+v", got)
}

// Guards against a safe request that waits until its deadline for an engine that never answers, although
// another engine could be asked.
func TestAnotherEngineIsAskedBesideASilentOne(t *testing.T) {
	t.Parallel()
	b := start(t, 1)
	b.sendUntil(b.gateways[0], lookup, func(got stand.Outcome) bool { return got.Complete })
	b.Engines(orders)[0].SetFault(stand.Fault{Every: 1, Hang: true})
	time.Sleep(2 * time.Second) // the budget is full
	for range 8 {
		got := b.send(b.gateways[0], lookup())
		assert.Check(t, got.Complete && got.Status == http.StatusOK, "%+v", got)
	}
}

// Guards against a safe request that fails with time left because its silent engine was left for one without
// a free connection.
func TestSilentEngineIsNotLeftForOneWithoutAConnection(t *testing.T) {
	t.Parallel()
	c := testConfig()
	c.Services[0].MaxConns = 4
	b := startBench(t, 1, c, &bench{})
	b.sendUntil(b.gateways[0], lookup, func(got stand.Outcome) bool { return got.Complete })
	time.Sleep(2 * time.Second) // the budget is full
	for _, e := range b.Engines(orders) {
		e.SetFault(stand.Fault{Every: 1, Delay: 1200 * time.Millisecond})
	}
	requests := make([]*stand.Request, 8)
	for i := range requests {
		requests[i] = lookup()
	}
	for _, got := range b.sendAll(requests, b.gateways) {
		assert.Check(t, got.Status != http.StatusBadGateway, "%+v", got)
	}
}
