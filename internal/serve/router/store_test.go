package router_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against refused requests while the store fails, and against changes made
// meanwhile that are not in force soon after. Gateways use the last state that they
// read.
func TestRequestsAreServedDuringStoreFaults(t *testing.T) {
	for name, trouble := range map[string]stand.Trouble{
		"busy": {Status: http.StatusServiceUnavailable}, "limited": {Status: http.StatusTooManyRequests},
		"silent": {Silent: true}, "slow": {Slow: 200 * time.Millisecond}, "deaf": {Deaf: true}, "lost answers": {LoseAnswers: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := start(t, 2)
			b.Store.SetTrouble(trouble)
			time.Sleep(500 * time.Millisecond)
			for _, g := range b.gateways {
				assert.Assert(t, b.send(g, booking()).Whole)
				assert.Assert(t, b.isReady(g))
			}
			b.Config.Tenants[0].Keys = []string{"new-key"}
			b.Publish()
			b.Store.SetTrouble(stand.Trouble{})
			for _, g := range b.gateways {
				got := b.sendUntil(g, booking, func(got stand.Got) bool { return got.Status == http.StatusUnauthorized })
				assert.Equal(t, got.Status, http.StatusUnauthorized)
			}
		})
	}
}

// Guards against a revoked key that works for longer than ChangeWithin because watches
// get no notification of the change and the store drops its change history.
func TestLostWatchHistoryHidesNoChange(t *testing.T) {
	b := start(t, 2)
	b.Store.SetTrouble(stand.Trouble{Deaf: true})
	b.Config.Tenants[0].Keys = nil
	b.Publish()
	b.Store.Forget()
	changed := time.Now()
	b.Store.SetTrouble(stand.Trouble{})
	for _, g := range b.gateways {
		b.sendUntil(g, booking, func(got stand.Got) bool { return got.Status == http.StatusUnauthorized })
	}
	assert.Assert(t, time.Since(changed) < 4*time.Second, "%v", time.Since(changed))
}

// Guards against failed requests when another writer stores invalid objects among the
// entries of engines.
func TestInvalidEndpointEntriesAreIgnored(t *testing.T) {
	b := start(t, 1)
	for name, raw := range map[string]string{
		"no-json": `"text"`, "no-address": `{"service":"orders","zone":"a","state":"ready"}`,
		"odd-types": `{"service":7,"address":[],"zone":{},"state":true}`, "odd-state": `{"service":"orders","zone":"a","state":"odd","address":"127.0.0.1:1"}`,
		"null": `null`,
	} {
		b.WriteEntry(name, raw)
	}
	time.Sleep(300 * time.Millisecond)
	for range 10 {
		assert.Assert(t, b.send(b.gateways[0], booking()).Whole)
	}
}

// Guards against a process that starts while the store is unreachable and answers that a
// route or a key is unknown. It must not be ready and must answer 503.
func TestStartWithoutTheStoreAnswersUnavailable(t *testing.T) {
	b := start(t, 1)
	b.Store.SetTrouble(stand.Trouble{Status: http.StatusServiceUnavailable})
	g := b.startUnreadyGateway()
	assert.Assert(t, !b.isReady(g))
	got := b.send(g, booking())
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	b.Store.SetTrouble(stand.Trouble{})
	b.sendUntil(g, booking, func(got stand.Got) bool { return got.Whole })
}

// Guards against refused requests at a process that was killed and starts again on a
// slow host. Requests wait until it has read routes and endpoints; a refused caller
// would retry too late.
func TestRequestWaitsForStartingProcess(t *testing.T) {
	b := start(t, 1)
	b.Store.SetTrouble(stand.Trouble{Slow: 150 * time.Millisecond})
	g := b.startUnreadyGateway()
	assert.Assert(t, !b.isReady(g))
	got := b.send(g, booking())
	assert.Assert(t, got.Whole, "%+v", got)
	b.Store.SetTrouble(stand.Trouble{})
}

// Guards against an older configuration that arrives late and replaces the newer one.
func TestOlderConfigurationNeverReplacesANewerOne(t *testing.T) {
	b := start(t, 1)
	old := b.Config
	b.Config.Tenants = []stand.Tenant{{Name: org, Keys: []string{"newer"}}}
	b.Publish()
	b.sendUntil(b.gateways[0], booking, func(got stand.Got) bool { return got.Status == http.StatusUnauthorized })
	b.Write(&old)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, b.send(b.gateways[0], booking()).Status, http.StatusUnauthorized)
}

// Guards against a gateway that no new process connects to because its entry in the
// member list was removed. It must register again.
func TestRemovedMemberRegistersAgain(t *testing.T) {
	b := start(t, 2)
	b.Unlist("gateway-1")
	b.sendUntil(b.gateways[0], booking, func(stand.Got) bool { return len(b.Listed()) == 2 })
}

// Guards against refused requests at the start of a planned stop. The process is not
// ready at once and peers own its pools, but it serves requests until the load balancer
// has detected the drain.
func TestDrainingProcessServesLateRequests(t *testing.T) {
	b := start(t, 2)
	g := b.gateways[0]
	g.StartDrain()
	assert.Assert(t, !b.isReady(g))
	b.awaitPeers(b.gateways[1], 1)
	assert.Assert(t, b.send(g, booking()).Whole)
	assert.Assert(t, b.send(g, draft()).Whole)
	assert.Equal(t, g.Wait(t.Context()), int64(0))
}
