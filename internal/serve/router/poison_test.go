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

	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	otherOrg = "two"
	otherKey = "secret-of-two"
	poisoned = "poisoned"
	// poisonWindow is how long after its third crash a request may go on reaching
	// engines, and poisonMost how often it may later.
	poisonWindow = time.Second
	poisonMost   = 3
	// poisonWatch is how long each test looks whether the request still arrives.
	poisonWatch = 1500 * time.Millisecond
	// callersWait is the callers' deadline in milliseconds.
	callersWait = 2000
)

// poisoning is a deployment with a request that crashes engines.
type poisoning struct {
	*bench
	poison  *stand.Poison
	request func() *stand.Sent
}

// withBody returns a kind of request with another body.
func withBody(request func() *stand.Sent, body string) func() *stand.Sent {
	return func() *stand.Sent {
		s := request()
		s.Body, s.DeadlineMs = body, callersWait
		return s
	}
}

// fromOther returns a kind of request of the other organisation.
func fromOther(request func() *stand.Sent) func() *stand.Sent {
	return func() *stand.Sent {
		s := request()
		s.Key, s.Tenant = otherKey, otherOrg
		return s
	}
}

// startTwo starts three gateways before six engines of each service that tests
// crash, for two organisations.
func startTwo(t *testing.T) *bench {
	t.Helper()
	b := start(t, 3)
	b.Config.Services[1].ColdPerS = 200 // none is cold, and the bound would hold the load back
	b.Config.Tenants = append(b.Config.Tenants, stand.Tenant{Name: otherOrg, Keys: []string{otherKey}})
	b.Publish()
	for i := range 4 {
		zone := []string{zoneA, zoneB}[i%2]
		for _, e := range []*stand.Engine{
			{Service: orders, Kind: stand.Plain, Zone: zone, Work: 5 * time.Millisecond},
			{Service: models, Kind: stand.Model, Zone: zone, Work: 5 * time.Millisecond, Pause: 5 * time.Millisecond, Events: 8},
		} {
			_, err := b.Add(e)
			assert.NilError(t, err)
		}
	}
	for _, g := range b.gateways {
		b.eventually(g, fromOther(lookup), func(got stand.Got) bool { return got.Whole })
	}
	return b
}

// startPoisoning is startTwo with a kind of request that crashes engines, which start
// again under other ids or under those that they had.
func startPoisoning(t *testing.T, request func() *stand.Sent, sameID bool) *poisoning {
	t.Helper()
	p := &poisoning{bench: startTwo(t), request: withBody(request, poisoned), poison: &stand.Poison{
		Tenant: org, Body: poisoned, Lapse: 450 * time.Millisecond, Away: 700 * time.Millisecond, SameID: sameID,
	}}
	if sameID {
		p.poison.Lapse, p.poison.Away = p.poison.Away, p.poison.Lapse // the entry stays
	}
	p.Ledger.Poison(p.poison)
	return p
}

// repeat sends the request to all gateways again and again until it is told to stop,
// to all at the same moment and to one after the other in turn.
func (p *poisoning) repeat() (stop func()) {
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
				group.Go(func() { p.do(g, p.request()) })
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

// third waits for the third crash and returns when it was, or the time at which the
// wait ended: the request may have been stopped before.
func (p *poisoning) third() time.Time {
	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if crashes := p.poison.Crashes(); len(crashes) >= 3 {
			return crashes[2]
		}
	}
	return time.Now()
}

// span is a time in which the request may reach engines.
type span struct{ from, to time.Time }

// check counts how often the request reached engines later than the window after its
// third crash, outside some spans.
func (p *poisoning) check(allowed ...span) {
	p.t.Helper()
	reached, crashes := p.poison.Reached(), p.poison.Crashes()
	p.t.Logf("reached engines %d times, %d crashed", len(reached), len(crashes))
	if len(crashes) < 3 {
		return
	}
	allowed = append(allowed, span{to: crashes[2].Add(poisonWindow)})
	late := slices.DeleteFunc(reached, func(at time.Time) bool {
		return slices.ContainsFunc(allowed, func(s span) bool { return at.Before(s.to) && !at.Before(s.from) })
	})
	assert.Assert(p.t, len(late) <= poisonMost, "reached engines %d times more", len(late))
}

// Guards against a request that crashes engine after engine because nothing
// recognises it when it comes again.
func TestPoisonRequestReachesFewEngines(t *testing.T) {
	for _, tt := range []struct {
		name    string
		request func() *stand.Sent
		sameID  bool
	}{
		{"stream", draft, false},
		{"lookup", lookup, false},
		{"booking", booking, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startPoisoning(t, tt.request, tt.sameID)
			stop := p.repeat()
			defer stop()
			time.Sleep(time.Until(p.third().Add(poisonWindow + poisonWatch)))
			stop()
			p.check()
		})
	}
}

// restart kills gateways, starts them again under their names with nothing in memory,
// and returns the span in which they may not know the request.
func (p *poisoning) restart(gateways ...int) span {
	p.t.Helper()
	from := time.Now()
	for _, i := range gateways {
		p.gateways[i].stop()
	}
	for _, i := range gateways {
		p.again(i)
	}
	started := time.Now()
	for _, g := range p.gateways {
		poll.WaitOn(p.t, func(poll.LogT) poll.Result {
			if p.isReady(g) && len(g.Alive()) == len(p.gateways) {
				return poll.Success()
			}
			return poll.Continue("sees %v", g.Alive())
		}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	return span{from: from, to: started.Add(poisonWindow)}
}

// again starts the gateway of a place once more, under its name.
func (p *poisoning) again(place int) {
	p.t.Helper()
	last := len(p.gateways)
	started := p.named(fmt.Sprintf("gateway-%d", place+1))
	p.gateways[place] = started
	p.gateways = p.gateways[:last]
}

// Guards against gateways that forget the request when one of them, or all, start
// again.
func TestPoisonRequestIsKnownAfterRestarts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		rounds [][]int
	}{
		{"one by one", [][]int{{0}, {1}}},
		{"all at once", [][]int{{0, 1, 2}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startPoisoning(t, summary, false)
			stop := p.repeat()
			defer func() { stop() }()
			time.Sleep(time.Until(p.third().Add(poisonWindow + poisonWatch*2/3)))
			var allowed []span
			for _, round := range tt.rounds {
				stop()
				restarted := p.restart(round...)
				stop = p.repeat()
				time.Sleep(max(time.Until(restarted.to), 0) + poisonWatch*2/3)
				allowed = append(allowed, restarted)
			}
			stop()
			p.check(allowed...)
		})
	}
}

// Guards against a request that takes others down with it: with the same path, or with
// the same body of another organisation.
func TestOthersAreServedBesideAPoisonRequest(t *testing.T) {
	p := startPoisoning(t, summary, false)
	stop := p.repeat()
	defer stop()
	time.Sleep(time.Until(p.third().Add(poisonWindow + p.poison.Away + 500*time.Millisecond)))
	for name, request := range map[string]func() *stand.Sent{
		"another body": withBody(summary, "sound"), "another organisation": fromOther(p.request),
	} {
		const sent = 100
		var served, repeated atomic.Int64
		var group sync.WaitGroup
		for i := range sent {
			group.Go(func() {
				got := p.do(p.gateways[i%len(p.gateways)], request())
				if !got.Whole {
					repeated.Add(1)
					time.Sleep(max(got.RetryAfter, 50*time.Millisecond))
					got = p.do(p.gateways[(i+1)%len(p.gateways)], request())
				}
				if got.Whole {
					served.Add(1)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		t.Logf("%s: %d of %d were served, %d came again", name, served.Load(), sent, repeated.Load())
		assert.Check(t, served.Load()*100 >= sent*95, "%s: %d of %d", name, served.Load(), sent)
	}
}

// Guards against requests that are taken for such a one because engines reset their
// connections or break their answers off, while none crashes.
func TestBrokenAnswersMakeNoPoisonRequest(t *testing.T) {
	for name, fault := range map[string]stand.Fault{"reset": {Every: 1, Reset: true}, "break": {Every: 1, Break: true}} {
		t.Run(name, func(t *testing.T) {
			b := startTwo(t)
			engines := append(b.Engines(orders), b.Engines(models)...)
			for _, e := range engines {
				e.SetFault(fault)
			}
			requests := []func() *stand.Sent{booking, lookup, draft, summary}
			for _, request := range requests {
				for round := range 4 {
					got := b.do(b.gateways[round%3], request())
					assert.Assert(t, !got.Whole)
				}
			}
			for _, e := range engines {
				e.SetFault(stand.Fault{})
			}
			for _, request := range requests {
				for _, g := range b.gateways {
					// Engines that failed are left alone for a while, whatever is asked.
					b.eventually(g, withBody(request, "sound"), func(got stand.Got) bool { return got.Whole })
					got := b.do(g, request())
					assert.Check(t, got.Whole, "%s: %+v", request().Path, got)
				}
			}
		})
	}
}

// Guards against a request that is known and yet kept till its deadline, or refused as
// if it might have run.
func TestPoisonRequestIsRefusedAtOnce(t *testing.T) {
	for name, request := range map[string]func() *stand.Sent{"stream": draft, "booking": booking} {
		t.Run(name, func(t *testing.T) {
			p := startPoisoning(t, request, false)
			stop := p.repeat()
			defer stop()
			p.third()
			stop()
			p.backAgain()
			before := len(p.poison.Reached())
			const sent = 20
			refused, slowest := 0, time.Duration(0)
			for i := range sent {
				s := p.request()
				got := p.do(p.gateways[i%len(p.gateways)], s)
				if got.Status == http.StatusServiceUnavailable {
					refused++
					slowest = max(slowest, got.Took)
					assert.Check(t, got.RetryAfter > 0, "%+v", got)
					assert.Check(t, len(p.Ledger.Runs(s.ID)) == 0, "%v", p.Ledger.Runs(s.ID))
				}
				time.Sleep(60 * time.Millisecond)
			}
			reached := len(p.poison.Reached()) - before
			t.Logf("%d of %d refused, the slowest in %v; reached engines %d times", refused, sent, slowest, reached)
			assert.Check(t, reached <= poisonMost, "reached engines %d times", reached)
			assert.Check(t, refused >= sent-poisonMost, "%d of %d", refused, sent)
			assert.Check(t, slowest < 500*time.Millisecond, "%v", slowest)
		})
	}
}

// backAgain waits until all engines that crashed have started again and serve others
// through every gateway.
func (p *poisoning) backAgain() {
	p.t.Helper()
	if crashes := p.poison.Crashes(); len(crashes) > 0 {
		time.Sleep(time.Until(crashes[len(crashes)-1].Add(p.poison.Away + 500*time.Millisecond)))
	}
	for _, g := range p.gateways {
		p.eventually(g, fromOther(p.request), func(got stand.Got) bool { return got.Whole })
	}
}

// Guards against sound requests that are refused because they ran again and again at
// the same engines as a request that crashes them.
func TestRequestsBesideAPoisonRequestAreNotTakenForIt(t *testing.T) {
	p := startPoisoning(t, draft, false)
	others := make([]func() *stand.Sent, 40)
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range others {
		others[i] = withBody(draft, fmt.Sprint("sound ", i))
		group.Go(func() {
			for round := i; ; round++ {
				p.do(p.gateways[round%len(p.gateways)], others[i]())
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	stop := p.repeat()
	defer stop()
	p.third()
	time.Sleep(poisonWindow)
	close(done)
	group.Wait()
	stop()
	assert.Assert(t, len(p.poison.Crashes()) >= 3)
	p.backAgain()
	for i, request := range others {
		p.eventually(p.gateways[i%len(p.gateways)], request, func(got stand.Got) bool { return got.Whole })
	}
	assert.Equal(t, len(p.quarantined()), 1)
}

// quarantined returns the keys that stand in the store.
func (p *poisoning) quarantined() []string { return p.Store.Names(platform.KindQuarantines) }

// Guards against a quarantine that operators can't end.
func TestQuarantineEndsWhenItsObjectIsDeleted(t *testing.T) {
	p := startPoisoning(t, lookup, false)
	stop := p.repeat()
	defer stop()
	p.third()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(p.quarantined()) == 1 {
			return poll.Success()
		}
		return poll.Continue("%v", p.quarantined())
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
	stop()
	p.backAgain()
	before := len(p.poison.Reached())
	p.Store.PutRaw(platform.KindQuarantines, "other", json.RawMessage(`7`)) // nobody's
	p.Store.Delete(platform.KindQuarantines, p.quarantined()[0])
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.do(p.gateways[0], p.request())
		if len(p.poison.Reached()) > before {
			return poll.Success()
		}
		return poll.Continue("still refused")
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(50*time.Millisecond))
}
