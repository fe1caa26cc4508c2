package room

import (
	"math"
	"math/bits"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// halfLife is the time in which the weight of what happened halves, in ms.
	halfLife = 2000.0
	// sizeClasses is the number of classes of sizes, by powers of two of the tokens.
	sizeClasses = 24
	// unfairRatio is the share of the usual success of questions below which a class of sizes
	// counts as starved, and minAsked the number of its recent questions from which that is
	// known.
	unfairRatio = 0.8
	minAsked    = 0.5
	// maxReserve is the largest part of what may be leased that is kept for a starved class.
	maxReserve = 0.25
)

// decay returns the factor of weights after a time.
func decay(elapsed clock.Millis) float64 { return math.Exp2(-float64(max(elapsed, 0)) / halfLife) }

// returns is what holders have returned lately. The weights halve in halfLife.
type returns struct {
	tokens, places, count float64
	at                    clock.Millis
}

func (r *returns) age(now clock.Millis) {
	factor := decay(now - r.at)
	r.tokens, r.places, r.count, r.at = r.tokens*factor, r.places*factor, r.count*factor, max(now, r.at)
}

func (r *returns) add(n Need, now clock.Millis) {
	r.age(now)
	r.tokens, r.places, r.count = r.tokens+float64(n.Tokens), r.places+float64(n.Places), r.count+1
}

// timeFor returns the time in which an amount is returned, and whether that is known.
func (r *returns) timeFor(n Need, now clock.Millis) (clock.Millis, bool) {
	r.age(now)
	wait := 0.0
	for _, pair := range [][2]float64{{float64(n.Tokens), r.tokens}, {float64(n.Places), r.places}} {
		if pair[0] <= 0 {
			continue
		}
		if pair[1] <= 0 {
			return 0, false
		}
		wait = max(wait, pair[0]/pair[1]*halfLife/math.Ln2)
	}
	return clock.Millis(min(wait, float64(Duration))), true
}

// interval returns the mean time between two returns in ms.
func (r *returns) interval(now clock.Millis) float64 {
	r.age(now)
	return halfLife / math.Ln2 / max(r.count, 0.01)
}

// fairness keeps capacity free for questions of a size that succeed less often than others:
// capacity is returned in small parts, which small requests could always take before a large
// one fits.
type fairness struct {
	classes [sizeClasses]sizeClass
	at      clock.Millis
}

// sizeClass counts the recent questions of a class of sizes.
type sizeClass struct {
	asked, granted float64
	largest        Need
}

func classOf(size int64) int { return min(bits.Len64(uint64(size)), sizeClasses-1) }

func (f *fairness) age(now clock.Millis) {
	factor := decay(now - f.at)
	if factor == 1 {
		return
	}
	f.at = now
	for i := range f.classes {
		c := &f.classes[i]
		c.asked, c.granted = c.asked*factor, c.granted*factor
		if c.asked < minAsked/8 {
			*c = sizeClass{}
		}
	}
}

// record counts a question for a request of a size in tokens.
func (f *fairness) record(size int64, want Need, granted bool, now clock.Millis) {
	f.age(now)
	c := &f.classes[classOf(size)]
	c.asked++
	if granted {
		c.granted++
	}
	c.largest = Need{Tokens: max(c.largest.Tokens, want.Tokens), Places: max(c.largest.Places, want.Places)}
}

// reserve returns what must stay free if a question for a request of a size is granted, because
// those for larger ones succeed less often.
func (f *fairness) reserve(size int64, limits Need, now clock.Millis) Need {
	f.age(now)
	asked, granted := 0.0, 0.0
	for i := range f.classes {
		asked, granted = asked+f.classes[i].asked, granted+f.classes[i].granted
	}
	if asked == 0 {
		return Need{}
	}
	var kept Need
	for i := classOf(size) + 1; i < sizeClasses; i++ {
		c := &f.classes[i]
		if c.asked >= minAsked && c.granted/c.asked < unfairRatio*granted/asked {
			kept = Need{Tokens: max(kept.Tokens, c.largest.Tokens), Places: max(kept.Places, c.largest.Places)}
		}
	}
	return kept.lowest(Need{Tokens: int64(maxReserve * float64(limits.Tokens)), Places: int64(maxReserve * float64(limits.Places))})
}
