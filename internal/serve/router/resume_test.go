package router_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
