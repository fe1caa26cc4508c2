package drive

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jujubescale/jujubescale/internal/bench/plan"
)

// arrival is a request with its intended send time, counted from the start of the load.
type arrival struct {
	at     time.Duration
	kind   *plan.Request
	from   *plan.Organisation
	mark   string
	path   string
	prefix string
	size   float64
}

// AtMostOncePrefix is the prefix of the marks of calls that must not be repeated.
const AtMostOncePrefix = "once-"

// Bounds of the size of a request relative to the pool's typical size.
const (
	minSize = 0.5
	maxSize = 1.5
)

// drawArrivals returns all requests of an experiment, determined by its seed. They form a
// Poisson process, like the requests of independent callers.
func drawArrivals(e *plan.Experiment) []arrival {
	random := rand.New(rand.NewPCG(uint64(e.Seed), uint64(e.Seed)))
	length := time.Duration(e.WarmupMs+e.DurationMs+e.CooldownMs) * time.Millisecond
	var drawn []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / e.Rate() * float64(time.Second))
		if at >= length {
			return drawn
		}
		drawn = append(drawn, drawArrival(e, random, at, len(drawn)))
	}
}

func drawArrival(e *plan.Experiment, random *rand.Rand, at time.Duration, number int) arrival {
	kind := &e.Mix[drawIndex(random, len(e.Mix), func(i int) float64 { return e.Mix[i].Share })]
	from := &e.Organisations[drawIndex(random, len(e.Organisations), func(i int) float64 { return callerShare(e, i, kind) })]
	a := arrival{
		at: at, kind: kind, from: from, mark: fmt.Sprintf("m%d-%d", e.Seed, number),
		size: minSize + (maxSize-minSize)*random.Float64(),
	}
	if e.AtMostOnce(kind) {
		a.mark = AtMostOncePrefix + a.mark
	}
	a.path = strings.TrimSuffix(kind.Path, "*")
	if a.path != kind.Path {
		a.path += a.mark
	}
	if kind.Prefixes > 0 {
		a.prefix = fmt.Sprintf("%s/%s/%d", from.Name, kind.Service, drawSkewed(random, kind.Prefixes))
	}
	return a
}

// callerShare returns the weight of an organisation among the callers of a kind of request.
func callerShare(e *plan.Experiment, i int, kind *plan.Request) float64 {
	if !e.MayCall(e.Organisations[i].Name, kind.Service) {
		return 0
	}
	return e.Organisations[i].Share
}

// firstCaller returns the first organisation that may send a kind of request.
func firstCaller(e *plan.Experiment, kind *plan.Request) *plan.Organisation {
	for i := range e.Organisations {
		if e.MayCall(e.Organisations[i].Name, kind.Service) {
			return &e.Organisations[i]
		}
	}
	return &e.Organisations[0]
}

// drawSkewed returns a number from 0 to count-1. Small numbers are more frequent, as a few
// prompts are used more often than others.
func drawSkewed(random *rand.Rand, count int) int {
	drawn := random.Float64()
	return int(drawn * drawn * float64(count))
}

func drawIndex(random *rand.Rand, count int, share func(int) float64) int {
	total := 0.0
	for i := range count {
		total += share(i)
	}
	remaining := random.Float64() * total
	for i := range count {
		if remaining -= share(i); remaining < 0 {
			return i
		}
	}
	return count - 1
}
