package learn_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/jujubescale/jujubescale/internal/guard/learn"
)

// limiter is one method of limiting the work at an endpoint.
type limiter struct {
	limit  func() int
	sample func(perCost float64, inFlight int)
}

func fixedLimiter(limit int) limiter {
	return limiter{func() int { return limit }, func(float64, int) {}}
}

func gradientLimiter(high int) limiter {
	l := learn.New(learn.WithBounds(1, high))
	return limiter{l.Limit, l.Sample}
}

// aimdLimiter raises the limit by one after as many completions as the limit, and
// lowers it by a tenth when a service time exceeds twice the minimum so far.
func aimdLimiter(high int) limiter {
	limit, minTime := float64(high), math.Inf(1)
	return limiter{func() int { return int(limit) }, func(perCost float64, _ int) {
		minTime = min(minTime, perCost)
		if perCost > 2*minTime {
			limit *= 0.9
		} else {
			limit += 1 / limit
		}
		limit = math.Max(1, math.Min(float64(high), limit))
	}}
}

type job struct {
	arrived, began int
	left           float64
}

const (
	workMs     = 20.0
	deadlineMs = 300
	queueBound = 64
	changeMs   = 10_000
	durationMs = 60_000
)

// speed returns the relative speed of each of n running jobs at a batching engine.
// Beyond the capacity, the total throughput falls.
func speed(n, capacity float64) float64 {
	const alone, loss = 1.6, 0.3
	if n <= capacity {
		return 1 / (1/alone + (1-1/alone)*n/capacity)
	}
	return capacity * math.Pow(capacity/n, loss) / n
}

// goodput returns the work that completes within the deadline as a share of the
// endpoint's capacity, while offered times this capacity arrives. The capacity
// changes at changeMs; only jobs that complete later are counted.
func goodput(l limiter, before, after, offered float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	var running, queue []job
	completed := 0
	capacity := before
	for now := range durationMs {
		if now == changeMs {
			capacity, completed = after, 0
		}
		for arrivals := offered * capacity / workMs; random.Float64() < arrivals; arrivals-- {
			if len(queue) < queueBound {
				queue = append(queue, job{arrived: now, left: workMs * (0.5 + random.Float64())})
			}
		}
		for len(queue) > 0 && len(running) < l.limit() {
			if now-queue[0].arrived < deadlineMs {
				queue[0].began = now
				running = append(running, queue[0])
			}
			queue = queue[1:]
		}
		progress := speed(float64(len(running)), capacity)
		inFlight := len(running)
		kept := running[:0]
		for _, j := range running {
			j.left -= progress
			switch {
			case j.left <= 0:
				l.sample(float64(now-j.began+1), inFlight)
				completed++
			case now-j.arrived < deadlineMs:
				kept = append(kept, j)
			}
		}
		running = kept
	}
	return float64(completed) * workMs / (capacity * (durationMs - changeMs))
}

// BenchmarkGoodput measures the goodput of each limiter at a load of 1.5 times the
// capacity, for an endpoint with its stated capacity and for one that has only a
// quarter of it. docs/design/admission.md quotes the results.
func BenchmarkGoodput(b *testing.B) {
	const stated = 32
	limiters := []struct {
		name string
		make func() limiter
	}{
		{"none", func() limiter { return fixedLimiter(1 << 20) }},
		{"stated", func() limiter { return fixedLimiter(stated) }},
		{"aimd", func() limiter { return aimdLimiter(stated) }},
		{"gradient", func() limiter { return gradientLimiter(stated) }},
	}
	for _, capacity := range []float64{stated, stated / 4} {
		for _, tc := range limiters {
			name := "asStated/" + tc.name
			if capacity < stated {
				name = "quarter/" + tc.name
			}
			b.Run(name, func(b *testing.B) {
				var share float64
				for b.Loop() {
					share = goodput(tc.make(), stated, capacity, 1.5)
				}
				b.ReportMetric(share, "goodput")
			})
		}
	}
}
