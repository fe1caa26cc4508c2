package place

import "sync"

const (
	// initialRate is the assumed rate before any measurement, in prompt tokens per
	// millisecond, and initialTime the weight of this assumption, in milliseconds of
	// reading.
	initialRate = 40.8
	initialTime = 500
	// rateDecay is the factor by which each measurement reduces the weight of the
	// earlier ones.
	rateDecay = 0.98
	// minRate and maxRate limit the measured rate, so that a wrong clock or a hung
	// engine cannot distort the choice.
	minRate = 4
	maxRate = 1000
)

// Rate measures how fast the engines of one pool read prompts, from the time to the
// first event of long prompts. With a fixed rate the expected wait behind a long
// prompt would be wrong for faster and slower engines, and requests would go to
// engines that have to read parts again that another engine has cached. It is safe for
// concurrent use.
type Rate struct {
	mu     sync.Mutex
	tokens float64
	timeMs float64
}

// Learn adds a measurement: the number of tokens read and the time in milliseconds.
func (r *Rate) Learn(tokens int64, tookMs float64) {
	if tokens <= 0 || tookMs <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	r.tokens = rateDecay*r.tokens + float64(tokens)
	r.timeMs = rateDecay*r.timeMs + tookMs
}

// TokensPerMs returns the estimated rate in tokens per millisecond.
func (r *Rate) TokensPerMs() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	return min(max(r.tokens/r.timeMs, minRate), maxRate)
}

// initLocked sets the initial estimate. The caller holds the lock.
func (r *Rate) initLocked() {
	if r.timeMs == 0 {
		r.tokens, r.timeMs = initialRate*initialTime, initialTime
	}
}
