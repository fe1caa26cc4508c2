package router_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/serve/router"
	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	otherOrg = "two"
	otherKey = "secret-of-two"
	poisoned = "poisoned"
	// recognitionTime is how long after its third crash a request may still reach
	// engines, and maxReached how often it may after that.
	recognitionTime = time.Second
	maxReached      = 3
	// quarantineCrashes is the number of crashed engines from which a request is quarantined, and
	// recordDeadline the time within which the store holds the acquittal of a part.
	quarantineCrashes = 3
	recordDeadline    = 3 * time.Second
	// observationTime is how long each test checks whether the request still reaches
	// engines.
	observationTime = 1500 * time.Millisecond
	// callerDeadlineMs is the deadline of each request.
	callerDeadlineMs = 2000
)

// poisonBench is a deployment with a request that crashes engines.
type poisonBench struct {
	*bench
	poison  *stand.Poison
	request func() *stand.Request
}

// withBody returns a request constructor that sets another body.
func withBody(request func() *stand.Request, body string) func() *stand.Request {
	return func() *stand.Request {
		s := request()
		s.Body, s.DeadlineMs = body, callerDeadlineMs
		return s
	}
}

// fromOther returns a request constructor that uses the key of the other organisation.
func fromOther(request func() *stand.Request) func() *stand.Request {
	return func() *stand.Request {
		s := request()
		s.Key, s.Tenant = otherKey, otherOrg
		return s
	}
}

// startTwoTenants starts three gateways and six engines of each service whose engines
// the tests crash. The configuration has two organisations.
func startTwoTenants(t *testing.T) *bench {
	t.Helper()
	b := start(t, 3)
	b.Config.Services[1].ColdPerS = 200 // the engines are not cold, and the bound of cold engines would limit the load
	b.Config.Tenants = append(b.Config.Tenants, stand.Tenant{Name: otherOrg, Keys: []string{otherKey}})
	b.Publish()
	for i := range 4 {
		zone := []string{zoneA, zoneB}[i%2]
		for _, e := range []*stand.Engine{
			{Service: orders, Kind: stand.Plain, Zone: zone, WorkTime: 5 * time.Millisecond},
			{Service: models, Kind: stand.Model, Zone: zone, WorkTime: 5 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: 8},
		} {
			_, err := b.Add(e)
			assert.NilError(t, err)
		}
	}
	for _, g := range b.gateways {
		b.sendUntil(g, fromOther(lookup), func(got stand.Outcome) bool { return got.Complete })
	}
	return b
}

// startPoison is startTwoTenants with a request that crashes engines. The engines start
// again with the same ID if sameID is set, otherwise with a new one.
func startPoison(t *testing.T, request func() *stand.Request, sameID bool) *poisonBench {
	t.Helper()
	p := &poisonBench{bench: startTwoTenants(t), request: withBody(request, poisoned), poison: &stand.Poison{
		Tenant: org, Body: poisoned, EntryRemovalDelay: 450 * time.Millisecond, RestartDelay: 700 * time.Millisecond, SameID: sameID,
	}}
	if sameID {
		p.poison.EntryRemovalDelay, p.poison.RestartDelay = p.poison.RestartDelay, p.poison.EntryRemovalDelay // the entry stays in the store during the restart
	}
	p.Ledger.AddPoison(p.poison)
	return p
}

// sendRepeatedly sends the request until stop is called, in turn to all gateways at the
// same moment and to a single one.
func (p *poisonBench) sendRepeatedly() (stop func()) {
	gateways := slices.Clone(p.gateways)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		tick := time.NewTicker(25 * time.Millisecond)
		defer tick.Stop()
		for round := 0; ; round++ {
			to := gateways
			if round%2 == 1 {
				to = gateways[round/2%len(gateways):][:1]
			}
			for _, g := range to {
				group.Go(func() { p.send(g, p.request()) })
			}
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		group.Wait()
	})
}

// awaitThirdCrash returns the time of the third crash. If there is none within 5 s,
// because the request was stopped before, it returns the current time.
func (p *poisonBench) awaitThirdCrash() time.Time {
	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if crashes := p.poison.Crashes(); len(crashes) >= 3 {
			return crashes[2]
		}
	}
	return time.Now()
}

// interval is a period of time in which the request may reach engines.
type interval struct{ from, to time.Time }

// checkReached fails the test if the request reached engines more than maxReached times
// later than recognitionTime after its third crash and outside the allowed intervals.
func (p *poisonBench) checkReached(allowed ...interval) {
	p.t.Helper()
	reached, crashes := p.poison.Arrivals(), p.poison.Crashes()
	p.t.Logf("reached engines %d times, %d crashed", len(reached), len(crashes))
	if len(crashes) < 3 {
		return
	}
	allowed = append(allowed, interval{to: crashes[2].Add(recognitionTime)})
	late := slices.DeleteFunc(reached, func(at time.Time) bool {
		return slices.ContainsFunc(allowed, func(s interval) bool { return at.Before(s.to) && !at.Before(s.from) })
	})
	assert.Assert(p.t, len(late) <= maxReached, "reached engines %d times more", len(late))
}

// Guards against a request that crashes engine after engine because it is not
// recognised when it is sent again.
func TestPoisonRequestReachesFewEngines(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		request func() *stand.Request
		sameID  bool
	}{
		{"stream", draft, false},
		{"lookup", lookup, false},
		{"booking", booking, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startPoison(t, tt.request, tt.sameID)
			stop := p.sendRepeatedly()
			defer stop()
			time.Sleep(time.Until(p.awaitThirdCrash().Add(recognitionTime + observationTime)))
			stop()
			p.checkReached()
		})
	}
}

// restart kills gateways and starts them again with the same names and no state. It
// returns the interval in which they may not recognise the request.
func (p *poisonBench) restart(gateways ...int) interval {
	p.t.Helper()
	from := time.Now()
	for _, i := range gateways {
		p.gateways[i].stop()
	}
	for _, i := range gateways {
		p.startAgain(i)
	}
	started := time.Now()
	for _, g := range p.gateways {
		poll.WaitOn(p.t, func(poll.LogT) poll.Result {
			if p.isReady(g) && len(g.Alive()) == len(p.gateways) {
				return poll.Success()
			}
			return poll.Continue("can reach %v", g.Alive())
		}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	return interval{from: from, to: started.Add(recognitionTime)}
}

// startAgain starts the gateway at an index again, with the same name.
func (p *poisonBench) startAgain(place int) {
	p.t.Helper()
	last := len(p.gateways)
	started := p.startNamedGateway(fmt.Sprintf("gateway-%d", place+1))
	p.gateways[place] = started
	p.gateways = p.gateways[:last]
}

// Guards against gateways that no longer recognise the request after one or all of them
// were restarted.
func TestPoisonRequestIsRecognisedAfterRestarts(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		rounds [][]int
	}{
		{"one by one", [][]int{{0}, {1}}},
		{"all at once", [][]int{{0, 1, 2}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startPoison(t, summary, false)
			stop := p.sendRepeatedly()
			defer func() { stop() }()
			time.Sleep(time.Until(p.awaitThirdCrash().Add(recognitionTime + observationTime*2/3)))
			var allowed []interval
			for _, round := range tt.rounds {
				stop()
				restarted := p.restart(round...)
				stop = p.sendRepeatedly()
				time.Sleep(max(time.Until(restarted.to), 0) + observationTime*2/3)
				allowed = append(allowed, restarted)
			}
			stop()
			p.checkReached(allowed...)
		})
	}
}

// Guards against a quarantine that also affects requests with the same path, or with the
// same body of another organisation.
func TestOtherRequestsAreServedDuringPoisonRequest(t *testing.T) {
	t.Parallel()
	p := startPoison(t, summary, false)
	stop := p.sendRepeatedly()
	defer stop()
	time.Sleep(time.Until(p.awaitThirdCrash().Add(recognitionTime + p.poison.RestartDelay + 500*time.Millisecond)))
	for name, request := range map[string]func() *stand.Request{
		"another body": withBody(summary, "sound"), "another organisation": fromOther(p.request),
	} {
		const sent = 100
		var served, repeated atomic.Int64
		var group sync.WaitGroup
		for i := range sent {
			group.Go(func() {
				got := p.send(p.gateways[i%len(p.gateways)], request())
				if !got.Complete {
					repeated.Add(1)
					time.Sleep(max(got.RetryAfter, 50*time.Millisecond))
					got = p.send(p.gateways[(i+1)%len(p.gateways)], request())
				}
				if got.Complete {
					served.Add(1)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		t.Logf("%s: %d of %d were served, %d were sent twice", name, served.Load(), sent, repeated.Load())
		assert.Check(t, served.Load()*100 >= sent*95, "%s: %d of %d", name, served.Load(), sent)
	}
}

// Guards against quarantines of requests whose connections engines reset, or whose
// answers they broke off, without a crash.
func TestBrokenAnswersCauseNoQuarantine(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]stand.Fault{"reset": {Every: 1, Reset: true}, "break": {Every: 1, Truncate: true}} {
		t.Run(name, func(t *testing.T) {
			b := startTwoTenants(t)
			engines := append(b.Engines(orders), b.Engines(models)...)
			for _, e := range engines {
				e.SetFault(fault)
			}
			requests := []func() *stand.Request{booking, lookup, draft, summary}
			for _, request := range requests {
				for round := range 4 {
					got := b.send(b.gateways[round%3], request())
					assert.Assert(t, !got.Complete)
				}
			}
			for _, e := range engines {
				e.SetFault(stand.Fault{})
			}
			for _, request := range requests {
				for _, g := range b.gateways {
					// Engines that failed are blocked for a while for all requests.
					b.sendUntil(g, withBody(request, "sound"), func(got stand.Outcome) bool { return got.Complete })
					got := b.send(g, request())
					assert.Check(t, got.Complete, "%s: %+v", request().Path, got)
				}
			}
		})
	}
}

// Guards against a quarantined request that is held until its deadline, or refused as
// if it might have run.
func TestPoisonRequestIsRefusedAtOnce(t *testing.T) {
	for name, request := range map[string]func() *stand.Request{"stream": draft, "booking": booking} {
		t.Run(name, func(t *testing.T) {
			p := startPoison(t, request, false)
			stop := p.sendRepeatedly()
			defer stop()
			p.awaitThirdCrash()
			stop()
			p.awaitRecovery()
			before := len(p.poison.Arrivals())
			const sent = 20
			refused, slowest := 0, time.Duration(0)
			for i := range sent {
				s := p.request()
				got := p.send(p.gateways[i%len(p.gateways)], s)
				if got.Status == http.StatusServiceUnavailable {
					refused++
					slowest = max(slowest, got.Took)
					assert.Check(t, got.RetryAfter > 0, "%+v", got)
					assert.Check(t, len(p.Ledger.Runs(s.ID)) == 0, "%v", p.Ledger.Runs(s.ID))
				}
				time.Sleep(60 * time.Millisecond)
			}
			reached := len(p.poison.Arrivals()) - before
			t.Logf("%d of %d refused, the slowest in %v; reached engines %d times", refused, sent, slowest, reached)
			assert.Check(t, reached <= maxReached, "reached engines %d times", reached)
			assert.Check(t, refused >= sent-maxReached, "%d of %d", refused, sent)
			assert.Check(t, slowest < 500*time.Millisecond, "%v", slowest)
		})
	}
}

// awaitRecovery waits until all engines that crashed have started again and every
// gateway gets answers from them for the other organisation.
func (p *poisonBench) awaitRecovery() {
	p.t.Helper()
	if crashes := p.poison.Crashes(); len(crashes) > 0 {
		time.Sleep(time.Until(crashes[len(crashes)-1].Add(p.poison.RestartDelay + 500*time.Millisecond)))
	}
	for _, g := range p.gateways {
		p.sendUntil(g, fromOther(p.request), func(got stand.Outcome) bool { return got.Complete })
	}
}

// Guards against valid requests that are quarantined because they repeatedly ran at the
// same engines as a request that crashes them.
func TestRequestsAtCrashingEnginesAreNotQuarantined(t *testing.T) {
	p := startPoison(t, draft, false)
	others := make([]func() *stand.Request, 40)
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range others {
		others[i] = withBody(draft, fmt.Sprint("sound ", i))
		group.Go(func() {
			for round := i; ; round++ {
				p.send(p.gateways[round%len(p.gateways)], others[i]())
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	stop := p.sendRepeatedly()
	defer stop()
	p.awaitThirdCrash()
	time.Sleep(recognitionTime)
	close(done)
	group.Wait()
	stop()
	assert.Assert(t, len(p.poison.Crashes()) >= 3)
	p.awaitRecovery()
	for i, request := range others {
		p.sendUntil(p.gateways[i%len(p.gateways)], request, func(got stand.Outcome) bool { return got.Complete })
	}
	assert.Equal(t, len(p.recordsWith(quarantineCrashes)), 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := p.recordsWith(1); len(held) != 1 {
			return poll.Continue("records with crashes: %v", held)
		}
		return poll.Success()
	}, poll.WithTimeout(recordDeadline), poll.WithDelay(10*time.Millisecond))
}

// recordsWith returns the names of the records in the store that name a number of crashed engines
// or more. The record of a part whose answer acquitted it names none.
func (p *poisonBench) recordsWith(crashes int) (names []string) {
	p.t.Helper()
	for _, name := range p.quarantinedKeys() {
		var record router.Quarantine
		object, _ := p.Store.Get(platform.KindQuarantines, name)
		assert.NilError(p.t, json.Unmarshal(object.Spec, &record))
		if len(record.Endpoints) >= crashes {
			names = append(names, name)
		}
	}
	return names
}

// quarantinedKeys returns the keys of the records in the store.
func (p *poisonBench) quarantinedKeys() []string { return p.Store.Names(platform.KindQuarantines) }

// Guards against a quarantine that operators can't end by deleting its object.
func TestQuarantineEndsWhenItsObjectIsDeleted(t *testing.T) {
	p := startPoison(t, lookup, false)
	stop := p.sendRepeatedly()
	defer stop()
	p.awaitThirdCrash()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(p.quarantinedKeys()) == 1 {
			return poll.Success()
		}
		return poll.Continue("%v", p.quarantinedKeys())
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
	stop()
	p.awaitRecovery()
	before := len(p.poison.Arrivals())
	p.Store.PutRaw(platform.KindQuarantines, "other", json.RawMessage(`7`)) // an invalid object
	p.Store.Delete(platform.KindQuarantines, p.quarantinedKeys()[0])
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.send(p.gateways[0], p.request())
		if len(p.poison.Arrivals()) > before {
			return poll.Success()
		}
		return poll.Continue("still refused")
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(50*time.Millisecond))
}
