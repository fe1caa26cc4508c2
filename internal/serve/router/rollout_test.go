package router_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// serviceKind is a service to which a version is rolled out, with its requests and their
// rate per second.
type serviceKind struct {
	service  string
	engine   func() *stand.Engine
	requests []func() *stand.Request
	perS     int
}

func serviceKinds() map[string]serviceKind {
	return map[string]serviceKind{
		"plain": {
			service: orders, engine: func() *stand.Engine {
				return &stand.Engine{Service: orders, Kind: stand.Plain, WorkTime: 5 * time.Millisecond}
			},
			requests: []func() *stand.Request{booking, lookup}, perS: 120,
		},
		"model": {
			service: models,
			engine: func() *stand.Engine {
				return &stand.Engine{Service: models, Kind: stand.Model, WorkTime: 5 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: 8}
			},
			requests: []func() *stand.Request{draft, summary}, perS: 80,
		},
		"stage": {
			service: encode, engine: func() *stand.Engine {
				return &stand.Engine{Service: encode, Kind: stand.Stage, WorkTime: 20 * time.Millisecond}
			},
			requests: []func() *stand.Request{draft}, perS: 60,
		},
	}
}

// load counts the requests that are sent until it is stopped, and the complete answers.
type load struct {
	sent, whole atomic.Int64
	group       sync.WaitGroup
	done        chan struct{}
}

// startLoad sends requests of a service, in turn to the gateways that to returns.
func (b *bench) startLoad(k serviceKind, to func() []*gateway) *load {
	l := &load{done: make(chan struct{})}
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ticker := time.NewTicker(time.Second / time.Duration(k.perS))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.done:
				return
			case <-ticker.C:
			}
			gateways := to()
			g, s := gateways[i%len(gateways)], k.requests[i%len(k.requests)]()
			l.group.Add(1)
			go func() {
				defer l.group.Done()
				l.sent.Add(1)
				if b.client.Do(b.t.Context(), g.address, s).Complete {
					l.whole.Add(1)
				}
			}()
		}
	}()
	return l
}

func (l *load) stop() {
	close(l.done)
	l.group.Wait()
}

// addVersion starts three engines of another version in addition to the existing ones.
func (b *bench) addVersion(k serviceKind, version string, fault stand.Fault) []*stand.Engine {
	b.t.Helper()
	var added []*stand.Engine
	for _, zone := range []string{zoneA, zoneB, zoneA} {
		e := k.engine()
		e.Zone, e.Version = zone, version
		started, err := b.Add(e)
		assert.NilError(b.t, err)
		started.SetFault(fault)
		added = append(added, started)
	}
	return added
}

func (b *bench) orderRollout(k serviceKind, duration time.Duration, bad bool) *stand.Rollout {
	r := &stand.Rollout{
		Service: k.service, Version: "v2", Duration: duration, Bad: bad, Share: rolloutShare, BaseAllowance: rolloutBase, RollbackTime: 3 * time.Second,
	}
	b.Order(r)
	return r
}

// runningGateways returns a function that returns the gateways that run now, without
// later ones.
func runningGateways(b *bench) func() []*gateway {
	gateways := slices.Clone(b.gateways)
	return func() []*gateway { return gateways }
}

const rolloutTime = 6 * time.Second

// settleTime is the time after their start in which processes choose the peers through
// which they follow the store.
const settleTime = 2 * time.Second

// orderAllRollouts orders the rollout of v2 at all kinds of services at the same time,
// while all of them get requests.
func (b *bench) orderAllRollouts(fault stand.Fault, duration time.Duration, bad bool) (orders map[string]*stand.Rollout, loads []*load) {
	orders = make(map[string]*stand.Rollout)
	for name, k := range serviceKinds() {
		loads = append(loads, b.startLoad(k, runningGateways(b)))
		orders[name] = nil
	}
	time.Sleep(settleTime)
	for name, k := range serviceKinds() {
		b.addVersion(k, "v2", fault)
		orders[name] = b.orderRollout(k, duration, bad)
	}
	return orders, loads
}

// Guards against good versions that are not promoted in time, that get more than their
// share before, or whose promotion loses answers when the old engines stop.
func TestSoundVersionsArePromoted(t *testing.T) {
	t.Parallel()
	b := startWith(t, 3, true)
	began := time.Now().Add(settleTime)
	ordered, loads := b.orderAllRollouts(stand.Fault{}, rolloutTime, false)
	time.Sleep(rolloutTime / 2)
	for _, k := range serviceKinds() {
		half := b.Ledger.CountArrivals(k.service, "v2", began)
		sum := half + b.Ledger.CountArrivals(k.service, "v1", began)
		t.Logf("%d of %d at the new version of %s at half time", half, sum, k.service)
		assert.Assert(t, half > 0 && float64(half) <= rolloutShare*float64(sum)+rolloutBase)
	}
	var group sync.WaitGroup
	for _, r := range ordered {
		group.Go(func() { b.AwaitDecision(r, time.Second) })
	}
	group.Wait()
	time.Sleep(700 * time.Millisecond)
	after := time.Now()
	time.Sleep(time.Second)
	sent, whole := int64(0), int64(0)
	for _, l := range loads {
		l.stop()
		sent, whole = sent+l.sent.Load(), whole+l.whole.Load()
	}
	for name, r := range ordered {
		for _, breach := range b.CheckRollout(r) {
			t.Error(breach)
		}
		assert.Equal(t, b.Ledger.CountArrivals(r.Service, "v1", after), 0, name)
		assert.Assert(t, b.Ledger.CountArrivals(r.Service, "v2", after) > 20, name)
	}
	assert.Assert(t, whole >= sent-3, "%d of %d answered", whole, sent)
}

// Guards against bad versions that are not rolled back and affect too many requests.
func TestBadVersionsAreRolledBack(t *testing.T) {
	for name, fault := range map[string]stand.Fault{
		"fail": {Every: 3, Fail: true}, "reset": {Every: 3, Reset: true}, "slow": {Every: 1, Delay: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startWith(t, 3, true)
			ordered, loads := b.orderAllRollouts(fault, rolloutTime+2*time.Second, true)
			var group sync.WaitGroup
			for _, r := range ordered {
				group.Go(func() { b.AwaitDecision(r, time.Second) })
			}
			group.Wait()
			time.Sleep(time.Second)
			after := time.Now()
			time.Sleep(time.Second)
			for _, l := range loads {
				l.stop()
			}
			for name, r := range ordered {
				for _, breach := range b.CheckRollout(r) {
					t.Error(breach)
				}
				assert.Equal(t, b.Ledger.CountArrivals(r.Service, "v2", after), 0, name)
			}
		})
	}
}

// Guards against a version that is never judged, or is promoted, because its engines ask for
// rest all the time and so answer nothing.
func TestVersionThatAlwaysRestsIsRolledBack(t *testing.T) {
	for name, k := range serviceKinds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startWith(t, 2, true)
			l := b.startLoad(k, runningGateways(b))
			time.Sleep(settleTime)
			for _, e := range b.addVersion(k, "v2", stand.Fault{}) {
				e.SetRest("2")
			}
			r := b.orderRollout(k, rolloutTime, true)
			b.AwaitDecision(r, time.Second)
			l.stop()
			for _, breach := range b.CheckRollout(r) {
				t.Error(breach)
			}
			for _, e := range b.Engines(k.service) {
				broken := e.CheckStatements(func(stand.Statement, time.Time) bool { return false })
				assert.Assert(t, len(broken) == 0, "%s: %v", e.ID, broken)
			}
			assert.Assert(t, l.whole.Load()*20 >= l.sent.Load()*19, "%d of %d answered", l.whole.Load(), l.sent.Load())
		})
	}
}

// Guards against a version that gets requests although no order names it.
func TestVersionWithoutOrderGetsNoRequest(t *testing.T) {
	t.Parallel()
	k := serviceKinds()["plain"]
	b := startWith(t, 2, true)
	l := b.startLoad(k, runningGateways(b))
	b.addVersion(k, "v2", stand.Fault{})
	late := b.startGateway()
	b.awaitPeers(late, 3)
	time.Sleep(time.Second)
	l.stop()
	assert.Equal(t, b.Ledger.CountArrivals(orders, "v2", time.Time{}), 0)
	assert.Equal(t, l.whole.Load(), l.sent.Load())
}

// Guards against an invalid order, or one for a version without engines, that changes
// which version gets requests.
func TestInvalidOrdersChangeNothing(t *testing.T) {
	t.Parallel()
	k := serviceKinds()["plain"]
	b := startWith(t, 2, true)
	l := b.startLoad(k, runningGateways(b))
	b.addVersion(k, "v2", stand.Fault{})
	nameless := k.engine()
	nameless.Version = stand.NoVersion
	_, err := b.Add(nameless)
	assert.NilError(t, err)
	for name, raw := range map[string]string{
		"in force":     `{"service":"orders","to":"v1","durationS":5}`,
		"no engine":    `{"service":"orders","to":"v9","durationS":0.4}`,
		"no time":      `{"service":"orders","to":"v2","durationS":0}`,
		"negative":     `{"service":"orders","to":"v2","durationS":-3}`,
		"huge":         `{"service":"orders","to":"v2","durationS":1e12}`,
		"text":         `{"service":"orders","to":"v2","durationS":"12"}`,
		"no duration":  `{"service":"orders","to":"v2"}`,
		"no version":   `{"service":"orders","durationS":5}`,
		"wrong name":   `{"service":"encode","to":"v2","durationS":5}`,
		"other type":   `{"service":"orders","to":7,"durationS":5}`,
		"not an order": `[]`,
	} {
		b.WriteOrder(orders, raw)
		time.Sleep(250 * time.Millisecond)
		state, _ := b.RolloutState(orders)
		if name != "no engine" {
			assert.Equal(t, state, "", name)
		}
		b.WithdrawOrder(orders)
		time.Sleep(50 * time.Millisecond)
	}
	b.WriteOrder("nothing", `{"service":"nothing","to":"v2","durationS":5}`)
	time.Sleep(300 * time.Millisecond)
	state, _ := b.RolloutState("nothing")
	assert.Equal(t, state, "")
	l.stop()
	assert.Equal(t, b.Ledger.CountArrivals(orders, "v2", time.Time{})+b.Ledger.CountArrivals(orders, stand.NoVersion, time.Time{}), 0)
	assert.Equal(t, l.whole.Load(), l.sent.Load())
}

// Guards against an undecodable status of another writer that affects the rollout.
func TestUnreadableStatusIsIgnored(t *testing.T) {
	t.Parallel()
	k := serviceKinds()["plain"]
	b := startWith(t, 2, true)
	l := b.startLoad(k, runningGateways(b))
	b.addVersion(k, "v2", stand.Fault{})
	r := b.orderRollout(k, 5*time.Second, false)
	b.WriteRolloutStatus(orders, `{"state":"splendid","to":7}`)
	assert.Equal(t, b.AwaitDecision(r, time.Second), "completed")
	l.stop()
}

// Guards against an order that continues after another one replaced it, and against a
// candidate that still gets requests after its order was removed.
func TestReplacedOrderEnds(t *testing.T) {
	t.Parallel()
	k := serviceKinds()["plain"]
	b := startWith(t, 2, true)
	l := b.startLoad(k, runningGateways(b))
	b.addVersion(k, "v2", stand.Fault{})
	b.addVersion(k, "v3", stand.Fault{})
	b.orderRollout(k, 20*time.Second, false)
	time.Sleep(1500 * time.Millisecond)
	assert.Assert(t, b.Ledger.CountArrivals(orders, "v2", time.Time{}) > 0)
	b.WithdrawOrder(orders)
	time.Sleep(500 * time.Millisecond)
	gone := time.Now()
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, b.Ledger.CountArrivals(orders, "v2", gone), 0)
	b.orderRollout(k, 20*time.Second, false)
	time.Sleep(time.Second)
	r := &stand.Rollout{Service: orders, Version: "v3", Duration: 6 * time.Second}
	b.Order(r)
	time.Sleep(500 * time.Millisecond)
	replaced := time.Now()
	assert.Equal(t, b.AwaitDecision(r, time.Second), "completed")
	l.stop()
	assert.Equal(t, b.Ledger.CountArrivals(orders, "v2", replaced), 0)
	assert.Assert(t, b.Ledger.CountArrivals(orders, "v3", replaced) > 0)

	object, _ := b.Store.Get(platform.KindRollouts, orders)
	_, status, err := platform.DecodeRollout(orders, object.Spec, object.Status)
	assert.NilError(t, err)
	assert.Equal(t, len(status.Earlier), 1)
	assert.Equal(t, status.Earlier[0].Version, "v2")
	assert.Equal(t, status.Earlier[0].State, canary.Running)
	assert.Equal(t, len(status.Routes), 2)
	for _, route := range status.Routes {
		assert.Assert(t, route.Sent > 0 && route.CandidateAnswers > 0, "%+v", route)
	}
}

// disruption is a fault or change that happens while an order is carried out.
type disruption struct {
	name string
	// after is the fraction of the order's duration after which it happens.
	after float64
	do    func(b *bench)
}

// stopOwner stops the gateway that writes the status of the order.
func stopOwner(b *bench) {
	owner := b.gateways[0].Owner(deploy.Subject(orders, 0))
	for i, g := range b.gateways {
		if g.Name == owner {
			b.gateways = append(append([]*gateway{}, b.gateways[:i]...), b.gateways[i+1:]...)
			g.stop()
			return
		}
	}
}

// Guards against an order whose decision depends on a single process, on a store without
// faults, or on state that is lost when all processes are killed.
func TestOrdersAreDecidedDuringFaults(t *testing.T) {
	k := serviceKinds()["plain"]
	disruptions := []disruption{
		{"owner ends at once", 0.02, stopOwner},
		{"owner ends in the middle", 0.5, stopOwner},
		{"owner ends before the deadline", 0.88, stopOwner},
		{"answers of the store are lost", 0, func(b *bench) {
			b.Store.SetFault(stand.StoreFault{LoseAnswers: true})
			time.AfterFunc(2*time.Second, func() { b.Store.SetFault(stand.StoreFault{}) })
		}},
		{"store is down in the middle", 0.3, func(b *bench) {
			b.Store.SetFault(stand.StoreFault{Status: 503})
			time.AfterFunc(2*time.Second, func() { b.Store.SetFault(stand.StoreFault{}) })
		}},
		{"a process starts", 0.3, func(b *bench) { b.startUnreadyGateway() }},
		{"all processes are killed", 0.4, func(b *bench) {
			old := b.gateways
			b.gateways = nil
			for _, g := range old {
				g.stop()
			}
			for i := range old {
				b.startNamedGateway(fmt.Sprintf("again-%d", i))
			}
		}},
	}
	for _, bad := range []bool{false, true} {
		for _, d := range disruptions {
			t.Run(fmt.Sprintf("%s, bad %v", d.name, bad), func(t *testing.T) {
				t.Parallel()
				b := startWith(t, 3, true)
				var lock sync.Mutex
				l := b.startLoad(k, func() []*gateway {
					lock.Lock()
					defer lock.Unlock()
					return b.gateways
				})
				time.Sleep(settleTime)
				fault := stand.Fault{}
				if bad {
					fault = stand.Fault{Every: 2, Fail: true}
				}
				b.addVersion(k, "v2", fault)
				const length = 7 * time.Second
				r := b.orderRollout(k, length, bad)
				struck := make(chan struct{})
				timer := time.AfterFunc(time.Duration(d.after*float64(length)), func() {
					defer close(struck)
					lock.Lock()
					defer lock.Unlock()
					d.do(b)
				})
				b.AwaitDecision(r, time.Second)
				if !timer.Stop() {
					<-struck
				}
				l.stop()
				for _, breach := range b.CheckRollout(r) {
					t.Error(breach)
				}
			})
		}
	}
}

// Guards against an order that stays undecided because the store is unreachable at its
// deadline. It is decided when the store is reachable again.
func TestOrderIsDecidedAfterStoreOutage(t *testing.T) {
	t.Parallel()
	k := serviceKinds()["plain"]
	b := startWith(t, 3, true)
	l := b.startLoad(k, runningGateways(b))
	b.addVersion(k, "v2", stand.Fault{})
	r := b.orderRollout(k, 5*time.Second, false)
	time.Sleep(4200 * time.Millisecond)
	b.Store.SetFault(stand.StoreFault{Status: 503})
	time.Sleep(3 * time.Second)
	b.Store.SetFault(stand.StoreFault{})
	assert.Equal(t, b.AwaitDecision(r, 6*time.Second), "completed")
	l.stop()
}

// Guards against a rate of store calls that grows with the number of processes while an
// order is carried out.
func TestOrderCausesFewStoreCalls(t *testing.T) {
	t.Parallel()
	k := serviceKinds()["plain"]
	b := startWith(t, 6, true)
	l := b.startLoad(k, runningGateways(b))
	time.Sleep(2 * time.Second)
	calls := func(span time.Duration) int {
		before := b.Store.Calls()
		time.Sleep(span)
		return b.Store.Calls() - before
	}
	calm := calls(4 * time.Second)
	b.addVersion(k, "v2", stand.Fault{})
	b.orderRollout(k, 20*time.Second, false)
	during := calls(4 * time.Second)
	l.stop()
	// An order and its status wake a watch at each of three watchers, as do each of
	// the three new endpoint entries.
	assert.Assert(t, during <= calm+30, "%d calls, %d before", during, calm)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if state, _ := b.RolloutState(orders); state == "running" {
			return poll.Success()
		}
		return poll.Continue("not running")
	}, poll.WithTimeout(5*time.Second))
}
