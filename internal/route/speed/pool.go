package speed

import (
	"cmp"
	"math"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// sum is a decaying sum of samples as of an instant.
type sum struct {
	count, totalMs float64
	at             clock.Millis
}

// Decay returns the factor by which sums of samples shrink within a time.
func Decay(span clock.Millis) float64 {
	if span <= 0 {
		return 1
	}
	return math.Exp2(-float64(span) / float64(halfLife))
}

// decayed returns the sum as of a later instant.
func (s sum) decayed(now clock.Millis) sum {
	factor := Decay(now - s.at)
	return sum{count: s.count * factor, totalMs: s.totalMs * factor, at: now}
}

// entry is the state of one incarnation of an endpoint.
type entry struct {
	stated   Stated
	statedAt clock.Millis
	own      sum
	peers    sum
	// unsent is set while the own sum differs from the one sent last.
	unsent bool
	// learned is the slowdown as of the last refresh of the pool.
	learned float64
}

func (e *entry) total(now clock.Millis) sum {
	own, peers := e.own.decayed(now), e.peers.decayed(now)
	return sum{count: own.count + peers.count, totalMs: own.totalMs + peers.totalMs, at: now}
}

// pool holds the entries of one pool.
type pool struct {
	entries map[Key]*entry
	// stating counts the entries whose last statement has a slowdown.
	stating int
	// statedAt is when an endpoint of the pool stated a slowdown last.
	statedAt clock.Millis
	// toldAt is when peers last sent sums of the pool, 0 if never.
	toldAt clock.Millis
	// medianMs is the median of the endpoints' paces as of the last refresh, 0 if none is
	// known. dirty is set if samples were added since then.
	medianMs float64
	dirty    bool
}

// inUse reports whether the learned slowdowns are used: an endpoint states the time that work
// takes, or did so to a peer.
func (p *pool) inUse(now clock.Millis) bool {
	return p.states(now) || (p.toldAt > 0 && now-p.toldAt < toldLifetime)
}

// states reports whether an endpoint of the pool states the time that work takes, to this
// process. An endpoint that gets no requests any more states nothing.
func (p *pool) states(now clock.Millis) bool {
	return p.stating > 0 && now-p.statedAt < statingLifetime
}

// refresh computes the median pace of the pool and the slowdowns.
func (p *pool) refresh(now clock.Millis) {
	p.dirty = false
	paces := make([]float64, 0, len(p.entries))
	for _, e := range p.entries {
		if total := e.total(now); total.count >= minCount {
			paces = append(paces, total.totalMs/total.count)
		}
	}
	p.medianMs = median(paces)
	for _, e := range p.entries {
		e.learned = slowdown(e.total(now), p.medianMs)
	}
}

// slowdown returns the slowdown that a sum of samples shows relative to the median pace.
func slowdown(total sum, medianMs float64) float64 {
	if medianMs == 0 {
		return 1
	}
	ratio := (total.totalMs/medianMs + priorCount) / (total.count + priorCount)
	return min(max(ratio, MinSlowdown), MaxSlowdown)
}

// median returns the median of numbers, 0 if there are none. It changes their order.
func median(numbers []float64) float64 {
	n := len(numbers)
	if n == 0 {
		return 0
	}
	slices.SortFunc(numbers, cmp.Compare[float64])
	return (numbers[(n-1)/2] + numbers[n/2]) / 2
}
