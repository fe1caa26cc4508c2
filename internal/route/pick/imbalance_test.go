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

// simulation models only the choice, in discrete time. Entries choose
// endpoints, endpoints serve all their calls in parallel, and each entry receives the
// load of each endpoint once per lag, as it was one lag before.
type simulation struct {
	endpoints, limit int
	entries          int
	lag              clock.Millis
	utilisation      float64
	policy           pick.Policy
}

const (
	meanServiceTime = 200 // mean service time in milliseconds
	simulatedTime   = 12_000
	warmupTime      = 4_000
)

type finish struct {
	entry, endpoint int
	sent            int
}

// run returns the mean over time of the maximum divided by the mean of the calls in
// flight.
func (s simulation) run(seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	views := make([]*pool.View, s.entries)
	pickers := make([]*pick.Picker, s.entries)
	for i := range views {
		p := pool.New("a")
		for e := range s.endpoints {
			p.Add(pool.Identity{Name: fmt.Sprintf("e%03d", e), AvailabilityZone: "a"}, 0).
				SetReport(0, pool.Report{Limit: s.limit})
		}
		views[i] = p.View()
		pickers[i] = pick.New(pick.WithPolicy(s.policy), pick.WithRandom(random.IntN))
	}
	work := make([]int, s.endpoints)
	history := make([][]int, 0, simulatedTime)
	ends := make(map[int][]finish)
	rate := float64(s.endpoints*s.limit) * s.utilisation / meanServiceTime
	due, sum, samples := 0.0, 0.0, 0
	for now := range simulatedTime {
		for _, f := range ends[now] {
			work[f.endpoint]--
			views[f.entry].Near[f.endpoint].RecordAnswer(clock.Millis(now), clock.Millis(now-f.sent))
		}
		delete(ends, now)
		history = append(history, append([]int{}, work...))
		s.report(views, history, now)
		for due += rate; due >= 1; due-- {
			entry := random.IntN(s.entries)
			chosen := pickers[entry].Pick(clock.Millis(now), views[entry], &pick.Avoid{})
			endpoint := index(views[entry], chosen)
			chosen.RecordSend()
			work[endpoint]++
			span := 1 + int(math.Min(random.ExpFloat64(), 5)*meanServiceTime)
			ends[now+span] = append(ends[now+span], finish{entry: entry, endpoint: endpoint, sent: now})
		}
		if now > warmupTime {
			sum += imbalance(work)
			samples++
		}
	}
	return sum / float64(samples)
}

// report sends each entry the load of each endpoint as it was one lag ago, at instants
// spread over the lag.
func (s simulation) report(views []*pool.View, history [][]int, now int) {
	lag := int(s.lag)
	if now < lag {
		return
	}
	for i, view := range views {
		for e, endpoint := range view.Near {
			if (now+i*37+e*13)%lag == 0 {
				endpoint.SetReport(clock.Millis(now), pool.Report{Load: history[now-lag][e], Limit: s.limit, Age: s.lag})
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

// Guards against entries that all send to the endpoint that had the least load in an
// old report, so that it is overloaded while others are idle. The choice must not be
// clearly worse than a random one, even with reports that are three seconds old.
func TestNoHerdWithStaleReports(t *testing.T) {
	for _, entries := range []int{1, 4, 16} {
		s := simulation{endpoints: 20, limit: 8, entries: entries, lag: 3000, utilisation: 0.7}
		s.policy = pick.PowerOfTwo
		chosen := s.run(1)
		s.policy = pick.Random
		assert.Assert(t, chosen < s.run(1), "entries %d", entries)
	}
}

// BenchmarkImbalance reports the maximum divided by the mean of the calls in flight.
// The table in docs/design/routing.md comes from it.
func BenchmarkImbalance(b *testing.B) {
	for _, entries := range []int{1, 4, 16} {
		for _, lag := range []clock.Millis{200, 1000, 3000} {
			for _, policy := range pick.Policies() {
				b.Run(fmt.Sprintf("entries=%d/lag=%d/%s", entries, lag, policy), func(b *testing.B) {
					s := simulation{endpoints: 20, limit: 8, entries: entries, lag: lag, utilisation: 0.7, policy: policy}
					sum := 0.0
					for i := range b.N {
						sum += s.run(uint64(i))
					}
					b.ReportMetric(sum/float64(b.N), "max/mean")
				})
			}
		}
	}
}
