package router_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
	"github.com/jujubescale/jujubescale/internal/serve/router"
	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against a process that starts after the store came back from a copy and serves by the
// older configuration of the copy, although its peers know the newer one.
func TestProcessThatStartsAfterARestoreServesByWhatPeersKnow(t *testing.T) {
	for name, c := range map[string]struct {
		gateways int
		dead     bool // whether the copy lists a process that has ended
	}{"first peer": {gateways: 1}, "first peer after a dead one": {gateways: 1, dead: true}, "more peers": {gateways: 3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := start(t, c.gateways)
			if c.dead {
				b.Store.Put(platform.KindMembers, "gateway-0", mesh.Member{Name: "gateway-0", Address: "127.0.0.1:1", Incarnation: token.NewIncarnation()})
			}
			from := b.Store.Copy()
			b.Config.Tenants[0].Keys = []string{"new-key"}
			request := b.addRoute("lost")
			leaving := b.Engines(orders)[0]
			b.Drain(leaving)
			b.lose(100)
			time.Sleep(time.Second)
			b.restore(storeReturn{}, from)
			started := b.startGateway()
			began := time.Now()
			newest := func() *stand.Request {
				s := request()
				s.Key = "new-key"
				return s
			}
			for end := began.Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				assert.Equal(t, b.send(started, newest()).Status, http.StatusOK)
				assert.Equal(t, b.send(started, lookup()).Status, http.StatusUnauthorized)
			}
			assert.Equal(t, b.Ledger.CountArrivalsAt(leaving, began), 0)
		})
	}
}

// Guards against a process that starts beside others and relies on one of them that has not been told
// what the store has lost, against one that serves and is not told of a configuration that it missed, and
// against messages of all processes to all when the store returns.
func TestProcessesThatStartAreToldWhatThePeersLearn(t *testing.T) {
	t.Parallel()
	b := start(t, 2)
	from := b.Store.Copy()
	b.addRoute("lost")
	b.lose(50)
	time.Sleep(time.Second)
	serving := b.gateways[0]
	_, before := serving.Holds("gateway-9", 0, true)
	b.restore(storeReturn{}, from)
	var known []*wire.Update
	var told uint64
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if known, told = serving.Holds("gateway-9", before, false); len(known) > 0 {
			return poll.Success()
		}
		return poll.Continue("nothing to tell in state %d", told)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	again, _ := serving.Holds("gateway-9", told, false)
	assert.Equal(t, len(again), 0, "told twice")
	again, _ = serving.Holds("gateway-2", before, false)
	assert.Equal(t, len(again), 0, "a process that serves is told")
	serving.ComparePeer("gateway-2", uint64(b.Config.Version-1))
	again, told = serving.Holds("gateway-2", before, false)
	assert.Equal(t, len(again), len(known), "a process that serves and lacks the configuration is not told")
	again, _ = serving.Holds("gateway-2", told, false)
	assert.Equal(t, len(again), 0, "it is told twice")

	lost := &wire.Update{
		Kind: platform.KindEvacuations, Lost: true, Era: known[0].Era, Revision: known[0].Revision,
		Objects: []wire.Stored{{Name: platform.KindEvacuations + "/zone-9", Value: []byte("{}"), Hold: &wire.Hold{Era: 1, Left: 1000}}},
	}
	serving.TakeHolds(&wire.Sums{Holds: []*wire.Update{lost}})
	again, _ = serving.Holds("gateway-9", told, false)
	assert.Assert(t, slices.ContainsFunc(again, func(u *wire.Update) bool { return u.Kind == lost.Kind }), "not told what a peer has said")
	starting := b.startUnreadyGateway()
	again, _ = starting.Holds("gateway-9", 0, false)
	assert.Equal(t, len(again), 0, "a process that has just started tells")
}

// Guards against an aggregator that missed a lost configuration and gets it from each process of its group.
func TestFewProcessesTellAnAggregatorWhatItLacks(t *testing.T) {
	t.Parallel()
	b := start(t, 9)
	from := b.Store.Copy()
	b.addRoute("lost")
	b.lose(50)
	time.Sleep(time.Second)
	b.restore(storeReturn{}, from)
	aggregators, members := make(map[string]bool), 0
	for _, g := range b.gateways {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if known, _ := g.Holds("gateway-99", 0, true); len(known) == 0 {
				return poll.Continue("gateway %s has not read the list of the era", g.address)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
		if name := g.Aggregator(); name != "" {
			aggregators[name] = true
			members++
		}
	}
	assert.Assert(t, members > len(aggregators), "%d members of %d aggregators", members, len(aggregators))
	for aggregator := range aggregators {
		tellers := 0
		for _, g := range b.gateways {
			if g.Aggregator() != aggregator {
				continue
			}
			g.ComparePeer(aggregator, uint64(b.Config.Version-1))
			if known, _ := g.Holds(aggregator, 0, false); len(known) > 0 {
				tellers++
			}
		}
		assert.Check(t, tellers <= 1, "%d processes tell %s", tellers, aggregator)
	}
}

// Guards against a process that starts beside a restored store and denies by its copy before it knows which peers
// there are.
func TestDenialsWaitForAllListedPeers(t *testing.T) {
	a, b, self := mesh.Member{Name: "a"}, mesh.Member{Name: "b"}, mesh.Member{Name: "self"}
	for _, tt := range []struct {
		members []mesh.Member
		want    bool
	}{
		{nil, false}, {[]mesh.Member{self, a, b}, false}, {[]mesh.Member{self, a}, true},
	} {
		assert.Equal(t, router.Compared(tt.members, "a", "self"), tt.want, "%v", tt.members)
	}
}

// Guards against all processes that write their lost entries at the moment when the store returns.
func TestLostEntriesAreNotAllWrittenAtOnce(t *testing.T) {
	for members, within := range map[int]clock.Millis{1: 2, 24: 48, 100: 200, 300: 500} {
		assert.Equal(t, router.RewriteDelay(members, 0), clock.Millis(0))
		most := router.RewriteDelay(members, 0.999)
		assert.Assert(t, most >= within*9/10-1 && most < within, "%d members: %d ms", members, most)
	}
}

// Guards against members that stay out of the list after the store has lost their entries, and
// against entries that are written without end.
func TestMembersThatTheStoreLostRegisterAgain(t *testing.T) {
	t.Parallel()
	b := start(t, 2)
	from := b.Store.Copy()
	late := b.startGateway()
	b.awaitPeers(late, 3)
	b.lose(50)
	time.Sleep(500 * time.Millisecond)
	b.restore(storeReturn{}, from)
	restored := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if members := b.Members(); len(members) != 3 {
			return poll.Continue("members %v", members)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(10*time.Millisecond))
	t.Logf("listed again after %v", time.Since(restored))
	for _, g := range b.gateways {
		assert.Equal(t, len(g.Alive()), 3, g.address)
	}
	time.Sleep(time.Second)
	_, before := b.Store.Era()
	time.Sleep(2 * time.Second)
	_, after := b.Store.Era()
	assert.Equal(t, after, before, "entries are written again and again")
}

// Guards against requests that crash engines again because the store has lost their quarantine,
// and against one that comes back with the copy after an operator has lifted it.
func TestQuarantinesAreAsBeforeAfterARestore(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	kept, lifted := strings.Repeat("ab", 16), strings.Repeat("cd", 16)
	quarantine := router.Quarantine{SinceMs: time.Now().UnixMilli(), Endpoints: []string{"e1", "e2", "e3"}}
	b.Store.Put(platform.KindQuarantines, lifted, quarantine)
	time.Sleep(time.Second)
	from := b.Store.Copy()
	b.Store.Put(platform.KindQuarantines, kept, quarantine)
	b.Store.Delete(platform.KindQuarantines, lifted)
	b.lose(50)
	time.Sleep(time.Second)
	b.restore(storeReturn{}, from)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		names := b.Store.Names(platform.KindQuarantines)
		if len(names) != 1 || names[0] != kept {
			return poll.Continue("quarantines %v", names)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
	object, _ := b.Store.Get(platform.KindQuarantines, kept)
	var stored router.Quarantine
	assert.NilError(t, json.Unmarshal(object.Spec, &stored))
	assert.Equal(t, len(stored.Endpoints), 3)
	_, before := b.Store.Era()
	time.Sleep(2 * time.Second)
	_, after := b.Store.Era()
	assert.Equal(t, after, before, "the quarantine is written again and again")
}

// Guards against a rollout that is judged again, or a condemned version that gets requests again,
// because the store has lost the decision.
func TestDecisionsOfRolloutsOutlastARestore(t *testing.T) {
	for name, bad := range map[string]bool{"completed": false, "rolled_back": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := serviceKinds()["plain"]
			b := startWith(t, 3, true)
			l := b.startLoad(k, runningGateways(b))
			time.Sleep(settleTime)
			fault := stand.Fault{}
			if bad {
				fault = stand.Fault{Every: 1, Fail: true}
			}
			b.addVersion(k, "v2", fault)
			r := b.orderRollout(k, rolloutTime, bad) // shorter orders end without enough answers
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if state, _ := b.RolloutState(k.service); state != "running" {
					return poll.Continue("state %q", state)
				}
				return poll.Success()
			}, poll.WithTimeout(3*time.Second), poll.WithDelay(10*time.Millisecond))
			from := b.Store.Copy()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if state, _ := b.RolloutState(k.service); state != name {
					return poll.Continue("state %q", state)
				}
				return poll.Success()
			}, poll.WithTimeout(rolloutTime+2*time.Second), poll.WithDelay(10*time.Millisecond))
			b.lose(50)
			time.Sleep(time.Second)
			b.restore(storeReturn{}, from)
			restored := time.Now()
			b.WriteAgain()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if state, _ := b.RolloutState(k.service); state != name {
					return poll.Continue("state %q", state)
				}
				return poll.Success()
			}, poll.WithTimeout(2*time.Second), poll.WithDelay(10*time.Millisecond))
			time.Sleep(2 * time.Second)
			l.stop()
			out := "v1"
			if bad {
				out = "v2"
			}
			assert.Equal(t, b.Ledger.CountArrivals(r.Service, out, restored), 0)
			state, _ := b.RolloutState(k.service)
			assert.Equal(t, state, name)
		})
	}
}

// Guards against a fleet of which some processes miss a version or a drain after a restore, and
// against one that calls the store without end.
func TestFleetFollowsARestoredStore(t *testing.T) {
	for name, gateways := range map[string]int{"1 gateway": 1, "24 gateways": 24} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := start(t, gateways)
			time.Sleep(2 * time.Second)
			calm := b.Store.Calls()
			time.Sleep(2 * time.Second)
			calm = b.Store.Calls() - calm
			from := b.Store.Copy()
			b.lose(200)
			time.Sleep(time.Second)
			b.restore(storeReturn{away: 300 * time.Millisecond}, from)
			b.WriteAgain()
			calls := b.Store.Calls()
			request := b.addRoute("after")
			leaving := b.Engines(orders)[0]
			b.Drain(leaving)
			told := time.Now()
			time.Sleep(2 * time.Second)
			for _, g := range b.gateways {
				assert.Equal(t, b.send(g, request()).Status, http.StatusOK, g.address)
			}
			calls = b.Store.Calls() - calls
			t.Logf("%d calls in the 2 s after the return, %d in calm 2 s", calls, calm)
			assert.Assert(t, calls <= 5*calm+40*gateways, "%d calls", calls)
			for range 3 {
				for _, g := range b.gateways {
					b.send(g, lookup())
				}
			}
			assert.Equal(t, b.Ledger.CountArrivalsAt(leaving, told.Add(2*time.Second)), 0)
		})
	}
}

// Guards against a return from a copy that takes engines or callers' requests with it: engines that
// registered after the copy was made write their entries again a second later.
func TestRestoreTakesNoEngineOutOfUse(t *testing.T) {
	t.Parallel()
	b := startWith(t, 3, true) // its engines are not cold
	from := b.Store.Copy()
	for _, e := range b.Engines("") {
		b.Remove(e)
	}
	b.addEngines()
	b.lose(200)
	time.Sleep(2 * time.Second)
	loads := map[string]*load{}
	for name, k := range serviceKinds() {
		k.perS /= 3
		loads[name] = b.startLoad(k, runningGateways(b))
	}
	time.Sleep(time.Second)
	began := make(map[string][2]int64)
	for name, l := range loads {
		began[name] = [2]int64{l.sent.Load(), l.whole.Load()}
	}
	b.restore(storeReturn{away: 300 * time.Millisecond}, from)
	time.Sleep(time.Second)
	b.WriteAgain()
	time.Sleep(3 * time.Second)
	for name, l := range loads {
		l.stop()
		sent, whole := l.sent.Load()-began[name][0], l.whole.Load()-began[name][1]
		assert.Assert(t, whole*100 >= sent*95, "%s: %d of %d answered", name, whole, sent)
	}
	for _, e := range b.Engines("") {
		for _, g := range b.gateways {
			assert.Equal(t, g.KnownEndpoints(e.Service), 2, e.Service)
		}
	}
}
