package permit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/guard/rate"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
)

// fleet is a number of Books that share a clock and name the same owner of an endpoint.
type fleet struct {
	clock *clock.Fake
	books []*permit.Book
	owner int
	// silent processes give no answers.
	silent map[string]bool
	asks   int
	// stalls holds when processes went on after they stood still, and told whether they were told since what they missed.
	stalls map[string]clock.Millis
	told   bool
}

func nameOf(process int) string { return fmt.Sprintf("g-%d", process) }

func newFleet(processes int) *fleet {
	f := &fleet{clock: clock.NewFake(1000), silent: make(map[string]bool), stalls: make(map[string]clock.Millis)}
	byName := make(map[string]*permit.Book)
	for i := range processes {
		b := permit.New(permit.WithClock(f.clock.Clock()), permit.WithPeers(permit.Peers{
			Self: nameOf(i), OwnerFunc: func(string) string { return nameOf(f.owner) }, ReportFunc: func() {},
			AskFunc: func(_ context.Context, owner string, request *wire.PermitRequest) (*wire.Permit, error) {
				f.asks++
				if f.silent[owner] {
					return nil, context.DeadlineExceeded
				}
				return byName[owner].Grant(request), nil
			},
		}), permit.WithStalls(func() (clock.Millis, bool) { return f.stalls[nameOf(i)], f.told || f.stalls[nameOf(i)] == 0 }))
		byName[nameOf(i)] = b
		f.books = append(f.books, b)
	}
	return f
}

// observe makes a process see an answer of the endpoint.
func (f *fleet) observe(process int, e *view.Endpoint, limit float64) {
	now := f.clock.Clock().Now()
	f.books[process].Observe(e, http.StatusOK, spell.ResponseInfo{Rate: limit}, "r", now-20)
}

// tries reports whether a request of a process gets a permit at once.
func (f *fleet) tries(ctx context.Context, process int, e *view.Endpoint) bool {
	b := f.books[process]
	return b.Wait(e, f.clock.Clock().Now()) == 0 && b.Acquire(ctx, e, "r") == 0
}

// demand returns which process has a request in each millisecond, -1 for none: on average
// perSecond requests from all processes, the first of which have the most.
func demand(random *rand.Rand, processes int, perSecond float64, duration clock.Millis) []int {
	weights := make([]float64, processes)
	sum := 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	arrivals := make([]int, duration)
	for at := range arrivals {
		arrivals[at] = -1
		if random.Float64() >= perSecond/float64(clock.Second) {
			continue
		}
		drawn, process := random.Float64()*sum, 0
		for ; process < processes-1 && drawn > weights[process]; process++ {
			drawn -= weights[process]
		}
		arrivals[at] = process
	}
	return arrivals
}

// loadResult is what an endpoint got under a load.
type loadResult struct {
	most4, most30 int
	use           float64
	asksPerSecond float64
}

func resultOf(sent []clock.Millis, limit float64, asks int, duration clock.Millis) loadResult {
	seconds := float64(duration) / float64(clock.Second)
	return loadResult{
		most4: mostIn(sent, 4*clock.Second), most30: mostIn(sent, 30*clock.Second),
		use: float64(len(sent)) / (limit * seconds), asksPerSecond: float64(asks) / seconds,
	}
}

// mostIn returns the largest number of instants in any window.
func mostIn(instants []clock.Millis, window clock.Millis) int {
	most, first := 0, 0
	for i, at := range instants {
		for at-instants[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

const loadTime = 120 * clock.Second

// playPermits plays a load on processes that ask an owner for permits.
func playPermits(ctx context.Context, processes int, limit float64, arrivals []int) loadResult {
	f := newFleet(processes)
	f.owner = processes / 2
	e := &view.Endpoint{ID: "i-1"}
	for i := range processes {
		f.observe(i, e, limit)
	}
	var sent []clock.Millis
	for _, process := range arrivals {
		f.clock.Advance(1)
		if process >= 0 && f.tries(ctx, process, e) {
			sent = append(sent, f.clock.Clock().Now())
			f.observe(process, e, limit)
		}
	}
	return resultOf(sent, limit, f.asks, loadTime)
}

// playShares plays a load on processes that each keep a share of the limit by themselves.
func playShares(limit float64, arrivals []int, share func(process int, at clock.Millis) float64) loadResult {
	buckets := make(map[int]*rate.Bucket)
	var sent []clock.Millis
	for at, process := range arrivals {
		if process < 0 {
			continue
		}
		if buckets[process] == nil {
			buckets[process] = &rate.Bucket{}
		}
		if part := share(process, clock.Millis(at)); part > 0 && buckets[process].Take(part, clock.Millis(at)) == 0 {
			sent = append(sent, clock.Millis(at))
		}
	}
	return resultOf(sent, limit, 0, loadTime)
}

// reportedShares divides a limit by the requests that each process reports for the last
// second; the reports are half a second old.
func reportedShares(limit float64, arrivals []int) func(process int, at clock.Millis) float64 {
	return func(process int, at clock.Millis) float64 {
		end := max(at-500, 0)
		own, all := 0.0, 0.0
		for _, other := range arrivals[max(end-clock.Second, 0):end] {
			if other >= 0 {
				all++
			}
			if other == process {
				own++
			}
		}
		if all == 0 {
			return 0
		}
		return limit * own / all
	}
}

// Answers the load of few and many processes with uneven requests for one limited endpoint:
// the bounds hold, and the limit is used while there are five requests for each permit.
func TestPermitsKeepAndUseTheLimit(t *testing.T) {
	for _, processes := range []int{1, 5, 23, 100, 300} {
		for _, limit := range []float64{0.5, 1, 1.2, 5, 40} {
			arrivals := demand(rand.New(rand.NewPCG(7, uint64(processes))), processes, 5*limit, loadTime)
			permits := playPermits(t.Context(), processes, limit, arrivals)
			equal := playShares(limit, arrivals, func(int, clock.Millis) float64 { return limit / float64(processes) })
			reported := playShares(limit, arrivals, reportedShares(limit, arrivals))
			alone := playShares(limit, arrivals, func(process int, _ clock.Millis) float64 {
				if process == processes/2 {
					return limit
				}
				return 0
			})
			t.Logf("%3d processes, limit %4.1f: permits %3d in 4 s, %4d in 30 s, use %.2f, %5.1f asks/s; equal shares %3d, use %.2f; reported shares %3d, use %.2f; owner alone %3d, use %.2f",
				processes, limit, permits.most4, permits.most30, permits.use, permits.asksPerSecond,
				equal.most4, equal.use, reported.most4, reported.use, alone.most4, alone.use)
			assert.Assert(t, float64(permits.most4) <= 1.5*limit*4+5)
			assert.Assert(t, float64(permits.most30) <= 1.1*limit*30)
			assert.Check(t, permits.use >= 0.9, "%d processes, limit %v: use %.3f", processes, limit, permits.use)
		}
	}
}

// Guards against an owner that gets more requests for permits the more processes there are.
func TestRequestsForPermitsAreBounded(t *testing.T) {
	for _, processes := range []int{5, 23, 100, 300} {
		const limit = 1.0
		arrivals := demand(rand.New(rand.NewPCG(9, uint64(processes))), processes, 100*limit, loadTime)
		permits := playPermits(t.Context(), processes, limit, arrivals)
		t.Logf("%3d processes, 100 requests for each permit: use %.2f, %.1f asks/s", processes, permits.use, permits.asksPerSecond)
		// Four for each permit, one of each process in ten seconds, and a quarter more.
		assert.Check(t, permits.asksPerSecond <= 1.25*(4*limit+float64(processes)/10))
		assert.Check(t, permits.use >= 0.9)
	}
}
