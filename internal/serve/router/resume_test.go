package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// startVersions starts gateways and model engines of two software versions that serve side by
// side without a rollout.
func startVersions(t *testing.T, gateways int, newEngine func() *stand.Engine) *bench {
	t.Helper()
	c := testConfig()
	c.Services[1].ColdPerS = 200 // the bound of cold engines would limit the load
	b := startBench(t, gateways, c, &bench{})
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	for i, version := range []string{"v1", "v1.1", "v1", "v1.1"} {
		added := newEngine()
		added.Service, added.Kind, added.Version, added.Zone = models, stand.Model, version, []string{zoneA, zoneB}[i/2]
		_, err := b.Add(added)
		assert.NilError(t, err)
	}
	time.Sleep(500 * time.Millisecond) // the gateways have read the entries by then
	return b
}

// guide returns a request for a resumable stream without stages.
func guide(events int) *stand.Request {
	s := draft()
	s.Path, s.Events, s.Pieces, s.After, s.PieceKey = "/draft/guide", events, []int{0, 0}, [][]int{nil, {0}}, ""
	s.PromptPrefix = s.ID + ":900" // no engine is preferred for its cached parts
	return s
}

// streams counts what became of the streams of callers that resume broken ones elsewhere.
type streams struct {
	sent, whole, resumed, continued atomic.Int64
}

// read sends a request and resumes its stream at the next gateways until it is whole or the
// tries are used up.
func (b *bench) read(s *stand.Request, first, tries int, counts *streams) {
	counts.sent.Add(1)
	for try := range tries {
		got := b.send(b.gateways[(first+try)%len(b.gateways)], s)
		if s.Resumes != "" && got.LastEvent > s.LastEvent {
			counts.continued.Add(1)
		}
		switch {
		case got.Complete:
			counts.whole.Add(1)
			return
		case got.LastEvent > 0:
			s = s.Resume(got.LastEvent)
		case s.Resumes != "":
			s = s.Resume(s.LastEvent)
		default:
			again := *s
			again.ID = stand.NewID()
			s = &again
		}
		if s.Resumes != "" {
			counts.resumed.Add(1)
		}
		time.Sleep(got.RetryAfter)
	}
}

// Guards against streams whose first events come from one software version and the rest from
// another, within one answer or over a caller's tries at several gateways.
func TestStreamHoldsEventsOfOneVersion(t *testing.T) {
	b := startVersions(t, 3, func() *stand.Engine {
		return &stand.Engine{WorkTime: 5 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: 8}
	})
	for i, e := range b.Engines(models) {
		e.SetFault(stand.Fault{Every: int64(2 + i%2), Truncate: true})
	}
	var group sync.WaitGroup
	counts := &streams{}
	for i := range 60 {
		group.Add(1)
		go func() {
			defer group.Done()
			b.read(guide(8), i, 6, counts)
		}()
	}
	group.Wait()
	t.Logf("%d streams, %d whole, %d tries to resume, %d went on", counts.sent.Load(), counts.whole.Load(), counts.resumed.Load(), counts.continued.Load())
	assert.Assert(t, counts.continued.Load() > 0)
	assert.Assert(t, counts.whole.Load() > 0, fmt.Sprint(b.Ledger.Violations()))
}

// steadyEngine is an engine whose streams take 400 ms.
func steadyEngine() *stand.Engine {
	return &stand.Engine{WorkTime: 5 * time.Millisecond, EventInterval: 10 * time.Millisecond, Events: 40}
}

// longGuide returns a request for a stream of a steadyEngine.
func longGuide() *stand.Request { return guide(40) }

// begunStreams reads streams at the first gateways until these have ended, and returns those
// that broke off after an event, each with the next try.
func (b *bench) begunStreams(count, gateways int, newRequest func() *stand.Request, end func()) []*stand.Request {
	var group sync.WaitGroup
	var mu sync.Mutex
	var broken []*stand.Request
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			s := newRequest()
			got := b.send(b.gateways[i%gateways], s)
			mu.Lock()
			defer mu.Unlock()
			if !got.Complete && got.LastEvent > 0 {
				broken = append(broken, s.Resume(got.LastEvent))
			}
		}()
	}
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		running := int64(0)
		for _, e := range b.Engines(models) {
			running += e.Running()
		}
		if running >= int64(count) {
			return poll.Success()
		}
		return poll.Continue("%d of %d run", running, count)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	time.Sleep(100 * time.Millisecond) // some events of each stream
	end()
	group.Wait()
	return broken
}

// Guards against streams that can't be resumed, or go on at another software version, because
// the gateways that began them have ended.
func TestStreamsGoOnAfterTheirGatewaysWereKilled(t *testing.T) {
	b := startVersions(t, 5, steadyEngine)
	broken := b.begunStreams(60, 2, longGuide, func() {
		b.gateways[0].stop()
		b.gateways[1].stop()
	})
	assert.Assert(t, len(broken) > 30, "%d of 60 streams were broken off", len(broken))
	continued := b.countEvents(broken)
	fresh := make([]*stand.Request, len(broken))
	for i := range fresh {
		fresh[i] = guide(40)
	}
	begun := b.countEvents(fresh)
	t.Logf("%d of %d streams went on, %d of as many new ones began", continued, len(broken), begun)
	assert.Assert(t, begun > 0)
	assert.Assert(t, float64(continued) >= 0.9*float64(begun))
}

// Guards against callers that don't name the attempt that began their stream: it goes on if all
// streams of the same request began at one version, and is refused otherwise.
func TestStreamIsFoundByItsRequest(t *testing.T) {
	t.Parallel()
	shared := func() *stand.Request {
		s := longGuide()
		s.PromptPrefix = s.ID + ":800,dd:100" // the last part makes them one request
		return s
	}
	for _, tt := range []struct {
		name       string
		newRequest func() *stand.Request
		versions   int
		goesOn     bool
	}{
		{"own requests, two versions", longGuide, 2, true},
		{"one request, one version", shared, 1, true},
		{"one request, two versions", shared, 2, false},
	} {
		b := startVersions(t, 5, steadyEngine)
		for _, e := range b.Engines(models) {
			if tt.versions == 1 && e.Version != "v1" {
				b.Remove(e)
			}
		}
		b.Config.Routes[2].TimeoutMs = 2000
		b.Publish()
		time.Sleep(3500 * time.Millisecond) // no stream is older than the gateways
		broken := b.begunStreams(20, 2, tt.newRequest, func() {
			b.gateways[0].stop()
			b.gateways[1].stop()
		})
		assert.Assert(t, len(broken) > 10)
		for _, s := range broken {
			s.Resumes = ""
		}
		continued := b.countEvents(broken)
		t.Logf("%s: %d of %d went on", tt.name, continued, len(broken))
		assert.Equal(t, continued > 0, tt.goesOn)
		assert.Assert(t, !tt.goesOn || continued >= int64(len(broken))*9/10)
	}
}

// Guards against a stream that goes on in another pool, because its route divides requests among
// pools by their ids and each try of a caller has another id.
func TestStreamGoesOnInItsPool(t *testing.T) {
	c := testConfig()
	c.Services[1].ColdPerS = 200 // the bound of cold engines would limit the load
	other := c.Services[1]
	other.Name = "others"
	c.Services = append(c.Services, other)
	c.Routes[2].Backends = []string{models, other.Name}
	b := startBench(t, 4, c, &bench{})
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	for _, service := range []string{models, models, other.Name, other.Name} {
		e := steadyEngine()
		e.Service, e.Kind, e.Zone = service, stand.Model, zoneA
		_, err := b.Add(e)
		assert.NilError(t, err)
	}
	time.Sleep(500 * time.Millisecond) // the gateways have read the entries by then
	var broken []*stand.Request
	for range 12 {
		s := guide(40)
		s.AnyService = true
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		got := b.client.Do(ctx, b.gateways[0].address, s)
		cancel()
		assert.Assert(t, got.LastEvent > 0, "%+v", got)
		next := s.Resume(got.LastEvent)
		next.AnyService, next.Service = false, models
		if strings.HasPrefix(b.Ledger.Runs(s.ID)[0], "i-others") {
			next.Service = other.Name
		}
		broken = append(broken, next)
	}
	assert.Equal(t, b.countEvents(broken), int64(len(broken)))
}

// Guards against streams that are unknown because all gateways are being stopped: they serve for
// a while, and callers whose streams they cut come to one another's.
func TestStreamsGoOnWhileAllGatewaysAreStopped(t *testing.T) {
	b := startVersions(t, 7, steadyEngine)
	broken := b.begunStreams(24, 2, longGuide, func() {
		for _, g := range b.gateways {
			g.StartDrain(0)
		}
		b.gateways[0].stop()
	})
	assert.Assert(t, len(broken) > 6, "%d of 24 streams were broken off", len(broken))
	continued := b.countEvents(broken)
	t.Logf("%d of %d streams went on", continued, len(broken))
	assert.Assert(t, float64(continued) >= 0.9*float64(len(broken)))
}

// sendAll sends requests at the same moment, to the gateways in turn, and returns the answers.
func (b *bench) sendAll(requests []*stand.Request, gateways []*gateway) []stand.Outcome {
	answers := make([]stand.Outcome, len(requests))
	var group sync.WaitGroup
	for i, s := range requests {
		group.Add(1)
		go func() {
			defer group.Done()
			answers[i] = b.send(gateways[i%len(gateways)], s)
		}()
	}
	group.Wait()
	return answers
}

// countEvents sends requests at the same moment to the third gateway and those after it, and
// returns how many get an event.
func (b *bench) countEvents(requests []*stand.Request) int64 {
	count := int64(0)
	for i, got := range b.sendAll(requests, b.gateways[2:]) {
		if s := requests[i]; got.LastEvent > s.LastEvent {
			count++
		} else {
			b.t.Logf("%s gets nothing after event %d: %+v", s.ID, s.LastEvent, got)
		}
	}
	return count
}

// Guards against a stream that goes on at another version, or a caller that waits for an engine
// that won't come, after the last engines of the version were replaced at their addresses.
func TestStreamWithoutItsVersionIsRefusedAtOnce(t *testing.T) {
	b := startVersions(t, 3, steadyEngine)
	var replaced []*stand.Engine
	for _, e := range b.Engines(models) {
		if e.Version == "v1.1" {
			b.Remove(e)
		} else {
			replaced = append(replaced, e)
		}
	}
	time.Sleep(500 * time.Millisecond) // the gateways have read the entries by then
	broken := b.begunStreams(12, 3, longGuide, func() {
		for _, e := range replaced {
			b.Remove(e)
			added := steadyEngine()
			added.Service, added.Kind, added.Version, added.Zone, added.Address = models, stand.Model, "v2", e.Zone, e.Address
			_, err := b.Add(added)
			assert.NilError(t, err)
		}
	})
	assert.Equal(t, len(broken), 12)
	fresh := b.sendUntil(b.gateways[0], func() *stand.Request { return guide(40) }, func(got stand.Outcome) bool { return got.Complete })
	assert.Assert(t, fresh.Complete)
	for i, s := range broken {
		got := b.send(b.gateways[i%3], s)
		assert.Equal(t, got.Status, http.StatusServiceUnavailable, "%+v", got)
		assert.Assert(t, got.RetryAfter > 0 && got.RetryAfter < time.Second, "%+v", got)
		assert.Equal(t, len(b.Ledger.Runs(s.ID)), 0)
	}
	for _, g := range b.gateways {
		assert.Equal(t, g.refusals(t, "versionGone"), 4.0)
	}
}

// refusals returns the number of refused requests of a reason.
func (g *gateway) refusals(t *testing.T, reason string) float64 {
	t.Helper()
	families, err := g.registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() != "jujubescale_routed_refusals_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == reason {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against a stream that goes on by an attempt that the caller didn't make, or that no
// gateway knows.
func TestOnlyKnownStreamsAreResumed(t *testing.T) {
	const otherKey = "secret-of-two"
	b := startVersions(t, 3, steadyEngine)
	b.Config.Tenants = append(b.Config.Tenants, stand.Tenant{Name: "two", Keys: []string{otherKey}})
	b.Publish()
	broken := b.begunStreams(12, 3, longGuide, func() {
		for _, e := range b.Engines(models) {
			e.SetFault(stand.Fault{Every: 1, Refuse: true})
		}
		b.client.Close()
		b.gateways[0].stop()
	})
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{})
	}
	assert.Assert(t, len(broken) >= 3, "%d broken", len(broken))
	s := broken[0]
	for _, tt := range []struct {
		name   string
		change func(*stand.Request)
		status int
	}{
		{"never seen", func(s *stand.Request) { s.Resumes = stand.NewID() }, http.StatusServiceUnavailable},
		{"of another organisation", func(s *stand.Request) { s.Key = otherKey }, http.StatusServiceUnavailable},
		{"not named, nothing of its own", func(s *stand.Request) { s.Resumes, s.PromptPrefix = "", "" }, http.StatusServiceUnavailable},
		{"not named, another text", func(s *stand.Request) { s.Resumes, s.Body = "", "other" }, http.StatusServiceUnavailable},
		{"of another route", func(s *stand.Request) { s.Path = "/sum/log" }, http.StatusServiceUnavailable},
		{"too long", func(s *stand.Request) { s.Resumes = strings.Repeat("f", 300) }, http.StatusBadRequest},
	} {
		other := s.Resume(s.LastEvent)
		tt.change(other)
		got := b.send(b.gateways[1], other)
		assert.Equal(t, got.Status, tt.status, "%s: %+v", tt.name, got)
		assert.Equal(t, len(b.Ledger.Runs(other.ID)), 0, tt.name)
	}
	head := fmt.Sprintf("POST /draft/guide HTTP/1.1\r\nHost: models.example\r\n%sLast-Event-Id: 3\r\nResumes: %s\r\nResumes: %s\r\nContent-Length: 0\r\n\r\n",
		stand.HeaderLines("doubled", key, 2000), s.Resumes, s.Resumes)
	assert.Assert(t, strings.HasPrefix(b.rawAt(b.gateways[1].address, head), "HTTP/1.1 400"))
	plain := lookup()
	plain.Resumes = strings.Repeat("f", 300)
	assert.Assert(t, b.send(b.gateways[1], plain).Complete, "a service that is no stream may use the header")
}

// Guards against a caller that names its first attempt again after a try that broke off, and
// finds that its stream is unknown.
func TestSecondTryNamesTheFirstAttempt(t *testing.T) {
	b := startVersions(t, 4, steadyEngine)
	broken := b.begunStreams(8, 1, longGuide, b.gateways[0].stop)
	assert.Assert(t, len(broken) > 0)
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{Every: 1, Truncate: true})
	}
	for _, got := range b.sendAll(broken, b.gateways[1:2]) {
		assert.Assert(t, !got.Complete)
	}
	for _, e := range b.Engines(models) {
		e.SetFault(stand.Fault{})
	}
	var again []*stand.Request
	for _, s := range broken {
		next := s.Resume(s.LastEvent)
		assert.Equal(t, next.Resumes, s.Resumes)
		again = append(again, next)
	}
	for _, got := range b.sendAll(again, b.gateways[2:]) {
		assert.Assert(t, got.Complete, "%+v", got)
	}
}

// Guards against a stream that goes on at an engine that has started again under its id with
// another software version, before its entry tells so.
func TestStreamDoesNotGoOnAtARestartedEngine(t *testing.T) {
	b := startVersions(t, 2, steadyEngine)
	var first, second *stand.Engine
	for _, e := range b.Engines(models) {
		switch {
		case e.Version != "v1":
			b.Remove(e)
		case first == nil:
			first = e
		default:
			second = e
		}
	}
	time.Sleep(500 * time.Millisecond) // the gateways have read the entries by then
	broken := b.begunStreams(24, 2, longGuide, func() {
		second.Stop()
		again := steadyEngine()
		again.ID, again.Service, again.Kind, again.Version, again.Address = second.ID, models, stand.Model, "v2", second.Address
		assert.NilError(t, again.Start(b.Ledger))
		t.Cleanup(again.Stop)
		time.Sleep(50 * time.Millisecond)
		first.Stop()
	})
	assert.Assert(t, len(broken) > 0)
	b.sendAll(broken, b.gateways)
}

// Guards against a stream that an engine begins after it has started again under its id with
// another software version, before its entry tells so, and that goes on at the version in the
// entry.
func TestStreamOfARestartedEngineGoesOnAtItsVersion(t *testing.T) {
	b := startVersions(t, 2, steadyEngine)
	var again *stand.Engine
	for _, e := range b.Engines(models) {
		switch {
		case e.Version != "v1":
			b.Remove(e)
		case again == nil:
			again = steadyEngine()
			again.ID, again.Service, again.Kind, again.Version, again.Address = e.ID, models, stand.Model, "v2", e.Address
			e.Stop()
			assert.NilError(t, again.Start(b.Ledger))
			t.Cleanup(again.Stop)
		}
	}
	time.Sleep(500 * time.Millisecond) // the gateways have read the entries by then
	var requests []*stand.Request
	for range 12 {
		requests = append(requests, longGuide())
	}
	timer := time.AfterFunc(200*time.Millisecond, again.Stop)
	defer timer.Stop()
	b.sendAll(requests, b.gateways)
}
