package router_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// The store misbehaves for a while. Callers go on being served by what is
// known, and what changed meanwhile is in force soon after.
func TestTroubleOfTheStore(t *testing.T) {
	for name, trouble := range map[string]stand.Trouble{
		"busy": {Status: http.StatusServiceUnavailable}, "limited": {Status: http.StatusTooManyRequests},
		"silent": {Silent: true}, "slow": {Slow: 200 * time.Millisecond}, "deaf": {Deaf: true}, "lost answers": {LoseAnswers: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := start(t, 2)
			b.Store.SetTrouble(trouble)
			time.Sleep(500 * time.Millisecond)
			for _, g := range b.gateways {
				assert.Assert(t, b.do(g, booking()).Whole)
				assert.Assert(t, b.isReady(g))
			}
			b.Config.Tenants[0].Keys = []string{"new-key"}
			b.Publish()
			b.Store.SetTrouble(stand.Trouble{})
			for _, g := range b.gateways {
				got := b.eventually(g, booking, func(got stand.Got) bool { return got.Status == http.StatusUnauthorized })
				assert.Equal(t, got.Status, http.StatusUnauthorized)
			}
		})
	}
}

// The store forgets its history while a watch hears nothing. A key that was
// taken away must stop working within two seconds all the same.
func TestForgottenHistoryHidesNoChange(t *testing.T) {
	b := start(t, 2)
	b.Store.SetTrouble(stand.Trouble{Deaf: true})
	b.Config.Tenants[0].Keys = nil
	b.Publish()
	b.Store.Forget()
	changed := time.Now()
	b.Store.SetTrouble(stand.Trouble{})
	for _, g := range b.gateways {
		b.eventually(g, booking, func(got stand.Got) bool { return got.Status == http.StatusUnauthorized })
	}
	assert.Assert(t, time.Since(changed) < 4*time.Second, "%v", time.Since(changed))
}

// Somebody else writes among the entries of engines. What can't be read names
// nobody and disturbs nobody.
func TestEntriesOfStrangersAreLeftOut(t *testing.T) {
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
		assert.Assert(t, b.do(b.gateways[0], booking()).Whole)
	}
}

// A process starts while the store can't be used. It is not ready and says 503,
// never that a route or a key is unknown.
func TestStartWithoutTheStoreRefusesTruthfully(t *testing.T) {
	b := start(t, 1)
	b.Store.SetTrouble(stand.Trouble{Status: http.StatusServiceUnavailable})
	g := b.unready()
	assert.Assert(t, !b.isReady(g))
	got := b.do(g, booking())
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	b.Store.SetTrouble(stand.Trouble{})
	b.eventually(g, booking, func(got stand.Got) bool { return got.Whole })
}

// A process was killed and starts again on a small host, where reading routes and
// endpoints takes a moment. Callers that reach it just then are served after that
// moment; a refusal would send them away to come back too late.
func TestCallerWaitsForAProcessThatIsJustStarting(t *testing.T) {
	b := start(t, 1)
	b.Store.SetTrouble(stand.Trouble{Slow: 150 * time.Millisecond})
	g := b.unready()
	assert.Assert(t, !b.isReady(g))
	got := b.do(g, booking())
	assert.Assert(t, got.Whole, "%+v", got)
	b.Store.SetTrouble(stand.Trouble{})
}

// An older configuration arrives late, by a slower way. It must not replace the
// newer one.
func TestOlderConfigurationNeverReplacesANewerOne(t *testing.T) {
	b := start(t, 1)
	old := b.Config
	b.Config.Tenants = []stand.Tenant{{Name: org, Keys: []string{"newer"}}}
	b.Publish()
	b.eventually(b.gateways[0], booking, func(got stand.Got) bool { return got.Status == http.StatusUnauthorized })
	b.Write(&old)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, b.do(b.gateways[0], booking()).Status, http.StatusUnauthorized)
}

// A gateway loses its place in the list, because somebody removed its entry. It
// lists itself again; otherwise no new process would ever find it.
func TestRemovedMemberListsItselfAgain(t *testing.T) {
	b := start(t, 2)
	b.Unlist("gateway-1")
	b.eventually(b.gateways[0], booking, func(stand.Got) bool { return len(b.Listed()) == 2 })
}

// A planned stop: not ready at once, peers take its pools, and it still serves
// what arrives until the balancer has noticed.
func TestPlannedStopServesWhatStillArrives(t *testing.T) {
	b := start(t, 2)
	g := b.gateways[0]
	g.StartDrain()
	assert.Assert(t, !b.isReady(g))
	b.awaitPeers(b.gateways[1], 1)
	assert.Assert(t, b.do(g, booking()).Whole)
	assert.Assert(t, b.do(g, draft()).Whole)
	assert.Equal(t, g.Wait(t.Context()), int64(0))
}
