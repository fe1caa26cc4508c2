package pick_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/pick"
	"github.com/jujubescale/jujubescale/internal/route/pool"
)

func millis(span int64) clock.Millis { return clock.Millis(span) }

// arena is a discrete simulation of the choice alone: entries that choose,
// endpoints that serve all their work side by side, and reports that tell each
// entry an endpoint's load as it was one lag ago, once a lag.
type arena struct {
	endpoints, limit int
	entries          int
	lag              clock.Millis
	utilisation      float64
	policy           pick.Policy
}

const (
	arenaService = 200 // mean service time in milliseconds
	arenaSpan    = 12_000
	arenaWarm    = 4_000
)

type finish struct {
	entry, endpoint int
	sent            int
}

// run returns the mean over time of max over mean of the work in flight.
func (a arena) run(seed uint64) float64 {
	draw := rand.New(rand.NewPCG(seed, 1))
	views := make([]*pool.View, a.entries)
	pickers := make([]*pick.Picker, a.entries)
	for i := range views {
		p := pool.New("a")
		for e := range a.endpoints {
			p.Add(pool.Identity{Name: fmt.Sprintf("e%03d", e), AvailabilityZone: "a"}, 0).
				SetReport(0, pool.Report{Limit: a.limit})
		}
		views[i] = p.View()
		pickers[i] = pick.New(pick.WithPolicy(a.policy), pick.WithRandom(draw.IntN))
	}
	work := make([]int, a.endpoints)
	history := make([][]int, 0, arenaSpan)
	ends := make(map[int][]finish)
	rate := float64(a.endpoints*a.limit) * a.utilisation / arenaService
	due, sum, samples := 0.0, 0.0, 0
	for now := range arenaSpan {
		for _, f := range ends[now] {
			work[f.endpoint]--
			views[f.entry].Near[f.endpoint].RecordAnswer(clock.Millis(now), clock.Millis(now-f.sent))
		}
		delete(ends, now)
		history = append(history, append([]int{}, work...))
		a.report(views, history, now)
		for due += rate; due >= 1; due-- {
			entry := draw.IntN(a.entries)
			chosen := pickers[entry].Pick(clock.Millis(now), views[entry], &pick.Avoid{})
			endpoint := index(views[entry], chosen)
			chosen.RecordSend()
			work[endpoint]++
			span := 1 + int(math.Min(draw.ExpFloat64(), 5)*arenaService)
			ends[now+span] = append(ends[now+span], finish{entry: entry, endpoint: endpoint, sent: now})
		}
		if now > arenaWarm {
			sum += imbalance(work)
			samples++
		}
	}
	return sum / float64(samples)
}

// report tells each entry the load of each endpoint one lag ago, at instants
// spread over the lag.
func (a arena) report(views []*pool.View, history [][]int, now int) {
	lag := int(a.lag)
	if now < lag {
		return
	}
	for i, view := range views {
		for e, endpoint := range view.Near {
			if (now+i*37+e*13)%lag == 0 {
				endpoint.SetReport(clock.Millis(now), pool.Report{Load: history[now-lag][e], Limit: a.limit, Age: a.lag})
			}
		}
	}
}

func index(view *pool.View, endpoint *pool.Endpoint) int {
	for i, known := range view.Near {
		if known == endpoint {
			return i
		}
	}
	return -1
}

func imbalance(work []int) float64 {
	most, sum := 0, 0
	for _, w := range work {
		most = max(most, w)
		sum += w
	}
	if sum == 0 {
		return 1
	}
	return float64(most) * float64(len(work)) / float64(sum)
}

// Entries that all follow the same old report send their work to the same
// endpoint, which then falls behind while others idle. The choice must not be
// clearly worse than random even when reports are three seconds old.
func TestNoHerdUnderReportLag(t *testing.T) {
	for _, entries := range []int{1, 4, 16} {
		a := arena{endpoints: 20, limit: 8, entries: entries, lag: 3000, utilisation: 0.7}
		a.policy = pick.PowerOfTwo
		chosen := a.run(1)
		a.policy = pick.Random
		assert.Assert(t, chosen < a.run(1), "entries %d", entries)
	}
}

// BenchmarkImbalance prints max over mean of the work in flight; the table in
// docs/design/routing.md comes from it.
func BenchmarkImbalance(b *testing.B) {
	for _, entries := range []int{1, 4, 16} {
		for _, lag := range []clock.Millis{200, 1000, 3000} {
			for _, policy := range pick.Policies() {
				b.Run(fmt.Sprintf("entries=%d/lag=%d/%s", entries, lag, policy), func(b *testing.B) {
					a := arena{endpoints: 20, limit: 8, entries: entries, lag: lag, utilisation: 0.7, policy: policy}
					sum := 0.0
					for i := range b.N {
						sum += a.run(uint64(i))
					}
					b.ReportMetric(sum/float64(b.N), "max/mean")
				})
			}
		}
	}
}
