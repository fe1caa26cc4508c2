package router_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/gate"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// replaceEngines ends engines at the same moment and then starts as many new ones.
func (b *bench) replaceEngines(engines []*stand.Engine) {
	b.t.Helper()
	var group sync.WaitGroup
	for _, e := range engines {
		group.Go(func() { b.Remove(e) })
	}
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	for _, e := range engines {
		_, err := b.Add(&stand.Engine{Kind: e.Kind, Service: e.Service, Zone: e.Zone, WorkTime: e.WorkTime, EventInterval: e.EventInterval, Events: e.Events})
		assert.NilError(b.t, err)
	}
}

// Guards against a lookup that all callers send with identical content and that is
// refused for a quarter of an hour because all engines that ran it lost power together.
func TestLookupIsServedAfterItsEnginesStopTogether(t *testing.T) {
	b := startTwoTenants(t)
	b.awaitKnown(orders)
	engines := b.Engines(orders)
	for _, e := range engines {
		e.SetFault(stand.Fault{Every: 1, Delay: 1500 * time.Millisecond})
	}
	var group sync.WaitGroup
	for i := range 36 {
		group.Go(func() { b.send(b.gateways[i%3], lookup()) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if slices.ContainsFunc(engines, func(e *stand.Engine) bool { return e.Running() == 0 }) {
			return poll.Continue("some engines do not run it")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	b.replaceEngines(engines)
	group.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var refused []int
		for i, g := range b.gateways { // one of them may let a single request through as a test
			if !b.send(g, lookup()).Complete {
				refused = append(refused, i+1)
			}
		}
		if len(refused) > 0 {
			return poll.Continue("refused by gateways %v", refused)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// Guards against a long stream that is refused because its engines were replaced one
// after the other as planned.
func TestStreamIsServedAfterPlannedReplacementOfEngines(t *testing.T) {
	b := startTwoTenants(t)
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{Every: 1, Delay: 1500 * time.Millisecond})
	}
	for range 3 {
		done := make(chan struct{})
		go func() { defer close(done); b.send(b.gateways[0], summary()) }()
		var busy *stand.Engine
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, e := range b.Engines(models) {
				if e.Running() > 0 {
					busy = e
					return poll.Success()
				}
			}
			return poll.Continue("no engine runs it")
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
		b.Drain(busy)
		time.Sleep(400 * time.Millisecond) // the gateways have read the entry by then
		b.Remove(busy)
		<-done
	}
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{})
	}
	for _, g := range b.gateways {
		b.sendUntil(g, fromOther(summary), func(got stand.Outcome) bool { return got.Complete })
		got := b.send(g, summary())
		assert.Check(t, got.Complete, "%+v", got)
	}
}

// crashReports returns the key of a summary and a number of reports of crashes under it.
func crashReports(body string, crashes int) (crash.Key, []wire.Crash) {
	k := crash.KeyOf(org, http.MethodPost, "models.example", "/sum/log", []byte(body))
	var reports []wire.Crash
	for i := range crashes {
		reports = append(reports, wire.Crash{Key: k[:], Endpoint: fmt.Sprint("e", i)})
	}
	return k, reports
}

// Guards against a quarantine that stays in a single process, neither the owner of its
// key nor a deputy, because the reports to all other processes were lost.
func TestQuarantineKnownToOneProcessReachesAll(t *testing.T) {
	b := startTwoTenants(t)
	var body string
	isOwner := func(k crash.Key) bool {
		for rank := range 3 {
			if b.gateways[0].Owner(gate.QuarantineSubject(k, rank)) == "gateway-1" {
				return true
			}
		}
		return false
	}
	for i := 0; ; i++ {
		body = fmt.Sprint("crashes ", i)
		if k, _ := crashReports(body, 0); !isOwner(k) {
			break
		}
	}
	k, reports := crashReports(body, 3)
	b.gateways[0].Detector().AddPeers(reports, nil)
	// The test sends no request meanwhile, because a complete answer would end the
	// quarantine.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, g := range b.gateways {
			if g.Detector().Requests().QuarantineLeft(k, g.Clock.Now()) == 0 {
				return poll.Continue("the quarantine is unknown to gateway %d", i+1)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
	got := b.send(b.gateways[1], withBody(summary, body)())
	assert.Assert(t, got.Status == http.StatusServiceUnavailable && got.RetryAfter > time.Minute, "%+v", got)
}

// Guards against a poison request that is not recognised because its callers spell the
// host name in different ways that match the same route.
func TestPoisonRequestIsRecognisedForAllHostSpellings(t *testing.T) {
	t.Parallel()
	p := startPoison(t, summary, false)
	hosts := []string{"models.example", "Models.example", "MODELS.EXAMPLE", "models.example:80", "models.example:8080", "modelS.example"}
	for i := range 24 {
		s := p.request()
		s.Host = hosts[i%len(hosts)]
		p.send(p.gateways[i%3], s)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, len(p.poison.Arrivals()) <= 3+maxReached, "%d", len(p.poison.Arrivals()))
}

// Guards against crashes that are forgotten because all processes are replaced between
// two attempts of a request.
func TestCrashesCountAfterRestartOfAllProcesses(t *testing.T) {
	t.Parallel()
	p := startPoison(t, summary, false)
	for i := 0; len(p.poison.Crashes()) < 2; i++ {
		p.send(p.gateways[i%3], p.request())
		time.Sleep(100 * time.Millisecond)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(p.quarantinedKeys()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the store holds %v", p.quarantinedKeys())
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
	p.restart(0, 1, 2)
	time.Sleep(recognitionTime)
	for i := range 12 {
		p.send(p.gateways[i%3], p.request())
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, len(p.poison.Arrivals()) <= 2+maxReached, "%d", len(p.poison.Arrivals()))
}

// Guards against a poison request that is not recognised because its callers cancel it
// before the engine crashes, or because the engine answers with an error first.
func TestPoisonRequestIsRecognisedAfterCancelOrFailure(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		after    time.Duration
		fails    bool
		deadline int
	}{
		"callers cancel first": {after: 200 * time.Millisecond, deadline: 120},
		"an error comes first": {fails: true, deadline: callerDeadlineMs},
	} {
		t.Run(name, func(t *testing.T) {
			p := startPoison(t, lookup, false)
			p.poison.CrashDelay, p.poison.FailsFirst = tt.after, tt.fails
			for i := range 50 {
				s := p.request()
				s.DeadlineMs = tt.deadline
				p.send(p.gateways[i%3], s)
				time.Sleep(60 * time.Millisecond)
			}
			assert.Assert(t, len(p.poison.Crashes()) >= 3)
			p.checkReached()
		})
	}
}

// Guards against repeated calls for each quarantine while the store is unreachable.
func TestQuarantinesCauseFewCallsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	b := startTwoTenants(t)
	const span, keys = 3 * time.Second, 20
	calls := func() int {
		before := b.Store.Calls()
		time.Sleep(span)
		return b.Store.Calls() - before
	}
	b.Store.SetFault(stand.StoreFault{Status: http.StatusServiceUnavailable})
	time.Sleep(time.Second)
	without := calls()
	for i := range keys {
		_, reports := crashReports(fmt.Sprint("body ", i), 3)
		for _, g := range b.gateways {
			g.Detector().AddPeers(reports, nil)
		}
	}
	time.Sleep(2 * time.Second)
	with := calls()
	assert.Assert(t, with <= without+3*keys*3, "%d calls without quarantines, %d with them", without, with)
	b.Store.SetFault(stand.StoreFault{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := b.Store.Names("quarantines"); len(held) != keys {
			return poll.Continue("the store holds %s", strings.Join(held, " "))
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}
