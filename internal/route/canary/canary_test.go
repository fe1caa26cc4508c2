package canary_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

var order = canary.Order{Pool: "orders", Version: "v2", Duration: 12 * clock.Second}

func bounds() canary.Bounds { return canary.Bounds{Share: 0.1, Base: 50} }

func notRepeatable(string) bool { return false }

// trial returns a trial with answers of the expected duration, some of them failed, at
// an endpoint of the candidate or, if endpoint is "", at the version in force.
func trial(route, endpoint string, answers, failed int64) wire.Trial {
	spread := make([]int64, canary.Buckets)
	spread[canary.Bucket(1)] = answers - failed
	return wire.Trial{
		TrialKey: wire.TrialKey{Pool: order.Pool, Version: order.Version, Candidate: endpoint != "", Route: route, Endpoint: endpoint},
		Sent:     answers, Answers: answers, Failed: failed, TotalMs: 30 * answers, Histogram: spread,
	}
}

func ExampleBucket() {
	fmt.Println(canary.Bucket(1), canary.Bucket(2), canary.Bucket(4))
	// Output: 8 10 12
}

func ExampleJudge() {
	judge := &canary.Judge{}
	evidence := canary.NewEvidence(order, []wire.Trial{trial("book", "", 400, 1), trial("book", "a", 20, 6), trial("book", "b", 20, 7)})
	fmt.Println(judge.Observe(evidence, 5000))
	// Output: 13 of 40 answers on route "*" were failures or slow, 1 of 400 of the version in force
}

func ExampleEvidence_MedianRatios() {
	slow := trial("book", "a", 20, 0)
	slow.Histogram = make([]int64, canary.Buckets)
	slow.Histogram[canary.Bucket(8)] = 20
	fmt.Println(canary.NewEvidence(order, []wire.Trial{trial("book", "", 400, 1), slow}).MedianRatios())
	fmt.Println(canary.NewEvidence(order).MedianRatios())
	// Output:
	// 1 8
	// 0 0
}

func TestByRouteSortsByRequests(t *testing.T) {
	evidence := canary.NewEvidence(order, []wire.Trial{
		trial("look", "", 40, 1), trial("book", "", 400, 2), trial("book", "a", 20, 6), trial("book", "b", 10, 1),
	})
	assert.DeepEqual(t, evidence.ByRoute(), []canary.RouteCounts{
		{Route: "book", Sent: 400, Answers: 400, Failed: 2, CandidateSent: 30, CandidateAnswers: 30, CandidateFailed: 7},
		{Route: "look", Sent: 40, Answers: 40, Failed: 1},
	})
}

// Guards against a recorded status that grows with each rollout.
func TestEarlierRolloutsAreLimited(t *testing.T) {
	status := canary.Status{Order: order}
	assert.Equal(t, len(status.History()), 0)
	for i := range int64(100) {
		status = canary.Status{Order: order, State: canary.RolledBack, StartedAt: i, Earlier: status.History()}
	}
	earlier := status.History()
	assert.Equal(t, len(earlier), 20)
	assert.Equal(t, earlier[0].StartedAt, int64(99))
	assert.Equal(t, earlier[19].StartedAt, int64(80))
}

func TestJudge(t *testing.T) {
	slow := func(route, endpoint string, answers int64, times float64) wire.Trial {
		tr := trial(route, endpoint, answers, 0)
		tr.Histogram = make([]int64, canary.Buckets)
		tr.Histogram[canary.Bucket(times)] = answers
		return tr
	}
	for _, tt := range []struct {
		name   string
		trials []wire.Trial
		bad    bool
	}{
		{"no counts", nil, false},
		{"sound", []wire.Trial{trial("book", "", 400, 2), trial("book", "a", 30, 1), trial("book", "b", 30, 0)}, false},
		{"fails", []wire.Trial{trial("book", "", 400, 2), trial("book", "a", 30, 9), trial("book", "b", 30, 8)}, true},
		{"one endpoint fails", []wire.Trial{trial("book", "", 400, 2), trial("book", "a", 30, 20), trial("book", "b", 30, 0), trial("book", "c", 30, 0)}, false},
		{"all fail", []wire.Trial{trial("book", "", 400, 120), trial("book", "a", 30, 9), trial("book", "b", 30, 8)}, false},
		{"fails on one route", []wire.Trial{
			trial("book", "", 400, 2), trial("look", "", 60, 0), trial("book", "a", 60, 0), trial("book", "b", 60, 0),
			trial("look", "a", 6, 3), trial("look", "b", 6, 3),
		}, true},
		{"slow", []wire.Trial{slow("book", "", 400, 1), slow("book", "a", 10, 3), slow("book", "b", 10, 3)}, true},
		{"both slow", []wire.Trial{slow("book", "", 400, 3), slow("book", "a", 10, 3), slow("book", "b", 10, 3)}, false},
		{"another rollout", []wire.Trial{func() wire.Trial { tr := trial("book", "a", 30, 30); tr.Version = "v3"; return tr }()}, false},
	} {
		judge := &canary.Judge{}
		assert.Equal(t, judge.Observe(canary.NewEvidence(order, tt.trials), 5000).Bad, tt.bad, tt.name)
	}
}

// Guards against many earlier good answers that hide that a version has turned bad.
func TestVersionThatTurnsBadLateIsFound(t *testing.T) {
	judge := &canary.Judge{}
	observe := func(good, failed int64, at clock.Millis) bool {
		e := canary.NewEvidence(order, []wire.Trial{
			trial("book", "", 10*good, good/50), trial("book", "a", good/2+failed, failed), trial("book", "b", good/2+failed, failed),
		})
		return judge.Observe(e, at).Bad
	}
	for at := clock.Millis(500); at <= 60_000; at += 500 {
		assert.Assert(t, !observe(int64(at)/20, 0, at), "%d", at)
	}
	assert.Assert(t, observe(3100, 6, 62_000))
}

// Guards against a sound version that is found slow because of a burst during its
// promotion, when the old version gets no requests to compare with.
func TestBurstDuringPromotionIsNotJudgedSlow(t *testing.T) {
	slow := trial("book", "a", 60, 0)
	slow.Histogram = make([]int64, canary.Buckets)
	slow.Histogram[canary.Bucket(4)] = 60
	other := slow
	other.Endpoint = "b"
	e := canary.NewEvidence(order, []wire.Trial{trial("book", "", 400, 2), slow, other})
	assert.Assert(t, (&canary.Judge{}).Observe(e, 5000).Bad)
	promoted := &canary.Judge{}
	promoted.JudgeFailuresOnly()
	assert.Assert(t, !promoted.Observe(e, 5000).Bad)
	failing := canary.NewEvidence(order, []wire.Trial{trial("book", "", 400, 2), trial("book", "a", 60, 20), trial("book", "b", 60, 20)})
	assert.Assert(t, promoted.Observe(failing, 5100).Bad)
}

// Guards against a bad verdict that is withdrawn when the counts of stopped processes
// are missing.
func TestBadVerdictIsFinal(t *testing.T) {
	judge := &canary.Judge{}
	bad := canary.NewEvidence(order, []wire.Trial{trial("book", "", 400, 2), trial("book", "a", 30, 20), trial("book", "b", 30, 20)})
	assert.Assert(t, judge.Observe(bad, 1000).Bad)
	assert.Assert(t, judge.Observe(canary.NewEvidence(order, nil), 2000).Bad)
}

// Guards against a route with few requests that never gets to the candidate, and against
// exceeding the candidate's share.
func TestShares(t *testing.T) {
	e := canary.NewEvidence(order, []wire.Trial{trial("book", "", 990, 0), trial("look", "", 10, 0)})
	plan := canary.NewPlan(order, bounds(), e, 4000, notRepeatable)
	assert.Assert(t, plan.Share("look") > 5*plan.Share("book"), "%+v", plan)
	assert.Assert(t, 0.99*plan.Share("book")+0.01*plan.Share("look") <= bounds().Share)
	used := canary.NewEvidence(order, []wire.Trial{trial("book", "", 990, 0), trial("book", "a", 200, 0)})
	assert.Equal(t, canary.NewPlan(order, bounds(), used, 4000, notRepeatable).Share("book"), 0.0)
}

func TestPromotion(t *testing.T) {
	e := canary.NewEvidence(order, []wire.Trial{trial("book", "", 480, 0), trial("book", "a", 20, 0)})
	assert.Assert(t, !canary.NewPlan(order, bounds(), e, 9000, notRepeatable).Promoting)
	late := canary.NewPlan(order, bounds(), e, 11_000, notRepeatable)
	assert.Assert(t, late.Promoting && late.Share("book") == 1 && !late.Due, "%+v", late)
	assert.Assert(t, canary.NewPlan(order, bounds(), e, 11_900, notRepeatable).Due)
}

// Guards against a promotion that starts before the bounds allow all requests until
// the deadline, at any request rates of the routes.
func TestPromotionKeepsTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := clock.Millis(rapid.IntRange(2000, 60_000).Draw(t, "duration"))
		o := canary.Order{Pool: order.Pool, Version: order.Version, Duration: duration}
		rates := rapid.SliceOfN(rapid.Float64Range(0.2, 200), 1, 5).Draw(t, "requests a second")
		got, all := 0.0, 0.0
		var stable, candidate [5]float64
		const step = 100
		for now := clock.Millis(step); now <= duration; now += step {
			var trials []wire.Trial
			for i := range rates {
				name := fmt.Sprint(i)
				trials = append(trials, trial(name, "", int64(stable[i]), 0), trial(name, "a", int64(candidate[i]), 0))
			}
			plan := canary.NewPlan(o, bounds(), canary.NewEvidence(o, trials), now, notRepeatable)
			for i, rate := range rates {
				count := rate * step / 1000
				share := plan.Share(fmt.Sprint(i))
				stable[i] += count * (1 - share)
				candidate[i] += count * share
				got, all = got+count*share, all+count
			}
		}
		most := bounds().Share*all + bounds().Base
		if got > most {
			t.Fatalf("%.0f of %.0f requests, at most %.0f", got, all, most)
		}
	})
}

// Guards against a promotion that uses up the requests needed for its completion,
// because counts are some hundred milliseconds old and busy processes plan late.
func TestStartedPromotionIsCompleted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(20, 400).Draw(t, "requests a second")) / 1000
		o := order
		// The shortest duration whose bounds allow this request rate, or a longer one.
		least := max((1.3*450*rate-0.7*bounds().Base)/(bounds().Share*rate), 4000)
		o.Duration = clock.Millis(least) + clock.Millis(rapid.IntRange(0, 2000).Draw(t, "more"))
		stable, candidate := make([]float64, o.Duration+1), make([]float64, o.Duration+1)
		share, nextPlan, started := 0.0, clock.Millis(100), false
		for now := clock.Millis(1); now <= o.Duration; now++ {
			stable[now], candidate[now] = stable[now-1]+rate*(1-share), candidate[now-1]+rate*share
			if now < nextPlan {
				continue
			}
			counted := max(now-clock.Millis(rapid.IntRange(50, 300).Draw(t, "age")), 0)
			trials := []wire.Trial{trial("calls", "", int64(stable[counted]), 0), trial("calls", "a", int64(candidate[counted]), 0)}
			plan := canary.NewPlan(o, bounds(), canary.NewEvidence(o, trials), now, notRepeatable)
			if plan.Due && !plan.OverBudget {
				got := candidate[now] + rate*float64(o.Duration-now)
				if most := bounds().Share*rate*float64(o.Duration) + bounds().Base; got > most {
					t.Fatalf("%.0f requests until the deadline, at most %.0f", got, most)
				}
				return
			}
			share, started = plan.Share("calls"), started || plan.Promoting
			nextPlan = now + clock.Millis(rapid.IntRange(100, 180).Draw(t, "pause"))
		}
		t.Fatalf("not completed, promotion started: %v, %.0f of %.0f requests at the candidate", started, candidate[o.Duration], stable[o.Duration])
	})
}

func TestEndpointsTakeTurns(t *testing.T) {
	assert.Equal(t, canary.ActiveEndpoints(0.05, 38), 2)
	assert.Equal(t, canary.ActiveEndpoints(0.05, 300), 15)
	assert.Equal(t, canary.ActiveEndpoints(0.05, 1), 1)
	seen := make(map[int]bool)
	for at := clock.Millis(0); at < 60_000; at += 500 {
		seen[canary.FirstActive(at, 2, 38)] = true
	}
	assert.Equal(t, len(seen), 19)
	assert.Equal(t, canary.FirstActive(9000, 2, 0), 0)
}

// Guards against a bad version that gets the allowed number of requests again after
// each restart of the processes that count them.
func TestRestartsKeepTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := clock.Millis(rapid.IntRange(4000, 60_000).Draw(t, "duration"))
		o := canary.Order{Pool: order.Pool, Version: order.Version, Duration: duration}
		rate := rapid.Float64Range(5, 400).Draw(t, "requests a second")
		const step, processes = 100, 4
		restarts := rapid.SliceOfN(rapid.IntRange(0, int(duration)/step), 0, 8).Draw(t, "restarts")
		got, all, restarted := 0.0, 0.0, false
		var stable, candidate [processes]float64
		for now := clock.Millis(step); now <= duration; now += step {
			for i, at := range restarts {
				if at == int(now)/step {
					stable[i%processes], candidate[i%processes], restarted = 0, 0, true
				}
			}
			trials := []wire.Trial{{TrialKey: wire.TrialKey{Pool: o.Pool, Version: o.Version}, Restarted: restarted}}
			for i := range processes {
				trials = append(trials, trial("calls", "", int64(stable[i]), 0), trial("calls", "a", int64(candidate[i]), 0))
			}
			share := canary.NewPlan(o, bounds(), canary.NewEvidence(o, trials), now, notRepeatable).Share("calls")
			count := rate * step / 1000
			for i := range processes {
				stable[i] += count * (1 - share) / processes
				candidate[i] += count * share / processes
			}
			got, all = got+count*share, all+count
		}
		if most := bounds().Share*all + bounds().Base; got > most {
			t.Fatalf("%.0f of %.0f requests, at most %.0f", got, all, most)
		}
	})
}
