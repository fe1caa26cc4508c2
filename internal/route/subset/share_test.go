package subset_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/subset"
)

// limit is the limit of an endpoint in requests per second.
const limit = 2

// fleet reports a rate of each process at each 100 ms until an instant.
func fleet(rates func(process int, at clock.Millis) float64, processes int, until clock.Millis) []*subset.Share {
	shares := make([]*subset.Share, processes)
	for i := range shares {
		shares[i] = &subset.Share{}
		for at := clock.Millis(0); at <= until; at += 100 {
			shares[i].Report(rates(i, at), at)
		}
	}
	return shares
}

// Guards against callers that are refused at the processes that get all requests, because processes that get none
// have an equal share.
func TestShareFollowsTheRequests(t *testing.T) {
	shares := fleet(func(process int, _ clock.Millis) float64 {
		if process < 2 {
			return 25
		}
		return 0
	}, 5, 2000)
	assert.Assert(t, shares[0].Of(limit, 25, 5, 2, 2000) > 0.4)
	assert.Assert(t, shares[4].Of(limit, 50, 5, 2, 2000) > 0.04)
	assert.Equal(t, shares[0].Of(limit, 25, 5, 100, 2000), 1/float64(subset.Users(5, 100)))
	assert.Equal(t, (&subset.Share{}).Of(limit, 0, 4, 2, 0), 0.25)
}

// Guards against shares that add up to more than the limit when the requests move from some processes to others, or
// come to all at once.
func TestSharesAddUpToTheLimit(t *testing.T) {
	const processes, lag = 16, 200 // a peer's report is 200 ms old
	const most = 1 / 0.9           // a warm endpoint's limit is 0.9 of what it bears when it is cold
	for name, rates := range map[string]func(process int, at clock.Millis) float64{
		"equal":          func(int, clock.Millis) float64 { return 10 },
		"one":            func(process int, _ clock.Millis) float64 { return map[bool]float64{true: 100}[process == 0] },
		"a burst at all": func(_ int, at clock.Millis) float64 { return map[bool]float64{true: 50}[at >= 1000] },
		"from one to all": func(process int, at clock.Millis) float64 {
			return map[bool]float64{true: 50}[at >= 1000 || process == 0]
		},
		"from one to another": func(process int, at clock.Millis) float64 { return map[bool]float64{true: 50}[process == int(at/1000)] },
		"growing":             func(process int, at clock.Millis) float64 { return float64(process) * float64(at) / 500 },
	} {
		for now := clock.Millis(500); now <= 3000; now += 50 {
			shares := fleet(rates, processes, now)
			sums := make(map[float64]float64)
			for i, share := range shares {
				peers := 0.0
				for other := range processes {
					if other != i {
						peers += rates(other, (now-lag)/100*100)
					}
				}
				for _, limit := range []float64{0, limit, 11.25, 200} {
					sums[limit] += share.Of(limit, peers, processes, 10, now)
				}
			}
			for limit, sum := range sums {
				assert.Check(t, sum <= most+0.001 && !math.IsNaN(sum), "%s: %f at %d ms, limit %v", name, sum, now, limit)
				if name == "equal" || name == "one" || name == "a burst at all" && now <= 1000 {
					assert.Check(t, sum <= 1.001, "%s: %f at %d ms, limit %v", name, sum, now, limit)
				}
			}
		}
	}
}

// Guards against callers that are refused at the beginning of a burst, when each process has heard of the
// requests of its peers and doesn't count its own yet.
func TestFirstRequestsOfABurstHaveAShare(t *testing.T) {
	for _, processes := range []int{2, 3} {
		equal := 1 / float64(processes)
		assert.Check(t, (&subset.Share{}).Of(11.25, 17, processes, 2, 300) > 0.6*equal)
	}
}

// Guards against a share that falls because a process reports often.
func TestShareOutlastsManyReports(t *testing.T) {
	share := &subset.Share{}
	for at := clock.Millis(0); at < 2000; at++ {
		share.Report(25, at)
	}
	assert.Assert(t, share.Of(limit, 25, 5, 2, 2000) > 0.4)
}

// Guards against processes that each take most of a limit when reports of their peers are missing.
func TestSilentPeersKeepTheirShare(t *testing.T) {
	shares := fleet(func(int, clock.Millis) float64 { return 10 }, 8, 4000)
	for name, silent := range map[string]clock.Millis{"soon": 2100, "later": 3500} {
		sum := 0.0
		for _, share := range shares {
			share.Of(limit, 70, 8, 10, 2000)
			sum += share.Of(limit, 0, 8, 10, silent)
		}
		assert.Check(t, sum <= 1.001, "%s: %f", name, sum)
	}
}
