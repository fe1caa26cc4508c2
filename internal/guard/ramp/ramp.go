// Package ramp holds the cold-start limit of one endpoint: how much work it
// may be given right after its start, and how that grows.
//
// An endpoint that has just started bears only little and falls over beyond
// it. The limit therefore drops at once to the cold limit when the endpoint is
// new, has restarted, or shows signs that it turned cold, and grows with
// completed work, never with time alone: an endpoint that gets no work does
// not warm up.
package ramp

import "github.com/jujubescale/jujubescale/internal/base/clock"

// Cause says why the limit dropped to the cold limit.
type Cause string

// Causes of a drop, each counted on its own.
const (
	CauseStart    Cause = "start"
	CauseRestart  Cause = "restart"
	CauseReset    Cause = "reset"
	CauseSlow     Cause = "slow"
	CauseReported Cause = "reported"
)

// Defaults of the settings.
const (
	DefaultCold = 1
	// slowFactor and slowRun: this many completions in a row that each took
	// this many times the usual are taken as a sign of a cold endpoint.
	slowFactor = 4
	slowRun    = 4
	// usualStep bounds how far one slow completion moves the usual time.
	usualStep = 2
	// usualShare is the weight of one completion in the usual time: 1/16.
	usualShare = 16
	// usualMin is how many completions make a usual time known.
	usualMin = 16
	// blindRounds is how many rounds of completions an endpoint without load
	// reports must finish before each growth step.
	blindRounds = 4
)

// Report is what the endpoint said of itself, as of an instant on the agent's clock.
type Report struct {
	StartID string
	Cold    bool
	// Warm tells that it said in so many words that it is not cold; an endpoint
	// that says nothing of it is neither.
	Warm bool
	AsOf clock.Millis
}

// Ramp is the cold-start limit of one endpoint. It is not safe for use by
// several goroutines at once.
type Ramp struct {
	cold       int
	warm       int
	limit      int
	generation uint64
	completed  int
	droppedAt  clock.Millis
	startID    string
	asOf       clock.Millis
	confirmed  bool
	// fresh tells that nothing has happened since this process started.
	fresh      bool
	blind      bool
	statedCold bool
	usual      float64
	usualCount int
	slow       int
}

// Option changes a Ramp while it is built.
type Option func(*Ramp)

// WithCold sets the work that a cold endpoint bears.
func WithCold(limit int) Option { return func(r *Ramp) { r.cold = max(limit, 1) } }

// WithWarm sets the limit at which the ramp ends.
func WithWarm(limit int) Option { return func(r *Ramp) { r.warm = limit } }

// New returns a ramp at the cold limit: of an endpoint that nothing is known of
// it must be assumed that it has just started.
func New(now clock.Millis, opts ...Option) *Ramp {
	r := &Ramp{cold: DefaultCold, warm: DefaultCold}
	for _, opt := range opts {
		opt(r)
	}
	r.warm = max(r.warm, r.cold)
	r.drop(now)
	r.fresh = true
	return r
}

// Limit is the most work that the endpoint may have at once.
func (r *Ramp) Limit() int { return r.limit }

// ColdLimit is what the endpoint bears when it has just started.
func (r *Ramp) ColdLimit() int { return r.cold }

// Cold reports whether the endpoint is still below its warm limit.
func (r *Ramp) Cold() bool { return r.limit < r.warm }

// Generation changes with each drop. Work carries the generation it began in,
// so that what ended after a drop but began before it doesn't warm the
// endpoint up.
func (r *Ramp) Generation() uint64 { return r.generation }

// SetBounds changes the cold and the warm limit when a new release says so.
func (r *Ramp) SetBounds(cold, warm int) {
	wasWarm := r.limit >= r.warm
	r.cold = max(cold, 1)
	r.warm = max(warm, r.cold)
	if wasWarm || r.limit > r.warm {
		r.limit = r.warm
	}
	r.limit = max(r.limit, r.cold)
}

// ConnectionReset drops the limit because the endpoint cut or refused connections: it
// has most likely fallen over, and its load report won't say so for a while.
func (r *Ramp) ConnectionReset(now clock.Millis) Cause {
	r.drop(now)
	return CauseReset
}

// SetNoReports says that the endpoint gives no load reports: the ramp then grows on
// completed work alone, in more rounds.
func (r *Ramp) SetNoReports() { r.blind = true }

// Observe takes a load report and returns the cause if the limit dropped.
// Reports lag: one from before the last drop can't show that the endpoint is
// warm, and would lift the limit of an endpoint that has just fallen over.
func (r *Ramp) Observe(now clock.Millis, report Report) (Cause, bool) {
	if report.AsOf < r.asOf {
		return "", false
	}
	r.asOf = report.AsOf
	r.blind = false
	if r.startID == "" {
		r.startID = report.StartID
	}
	if report.StartID != r.startID {
		r.startID = report.StartID
		return r.restarted(now, report), true
	}
	if report.AsOf < r.droppedAt {
		return "", false
	}
	r.startWarm(report)
	wasCold := r.statedCold
	r.confirmed = true
	r.statedCold = report.Cold
	if report.Cold && !wasCold && r.limit > r.cold {
		r.drop(now)
		r.statedCold = true
		return CauseReported, true
	}
	return "", false
}

// startWarm skips the ramp for an endpoint that was there before this process.
// An agent that is replaced beside a warm endpoint would else hold it at the
// cold limit for seconds, and a roll-out of agents costs as much capacity as
// one of endpoints. The endpoint must have said that it is warm, as of an
// instant after this process started, and have shown no sign to the contrary.
func (r *Ramp) startWarm(report Report) {
	if r.fresh && report.Warm {
		r.limit = r.warm
	}
	r.fresh = false
}

func (r *Ramp) restarted(now clock.Millis, report Report) Cause {
	r.drop(now)
	r.confirmed = true
	r.statedCold = report.Cold
	return CauseRestart
}

// Completed takes one finished piece of work: the generation it began in and
// the time it took for each unit of cost. It returns the cause if the limit
// dropped because the endpoint has become many times slower than usual.
func (r *Ramp) Completed(now clock.Millis, generation uint64, perCost float64) (Cause, bool) {
	if generation != r.generation {
		return "", false
	}
	if r.tooSlow(perCost) {
		r.drop(now)
		return CauseSlow, true
	}
	if r.limit >= r.warm || !r.mayGrow() {
		return "", false
	}
	r.completed++
	if r.completed >= r.round() {
		r.completed = 0
		r.limit = min(r.limit+max(r.limit/2, 1), r.warm)
	}
	return "", false
}

// mayGrow reports whether growth is allowed: the endpoint itself must not have
// said that it is cold, and must have spoken since the last drop unless it
// never speaks.
func (r *Ramp) mayGrow() bool {
	if r.blind {
		return true
	}
	return r.confirmed && !r.statedCold
}

func (r *Ramp) round() int {
	if r.blind {
		return r.limit * blindRounds
	}
	return r.limit
}

// tooSlow keeps the usual time for a unit of cost and counts completions in a
// row that are far above it. The usual time learns slow ones too, so that work
// that has become heavier for good stops looking like a cold endpoint.
func (r *Ramp) tooSlow(perCost float64) bool {
	known := r.usualCount >= usualMin
	isSlow := known && perCost > slowFactor*r.usual && r.limit > r.cold
	r.usualCount = min(r.usualCount+1, usualMin)
	learned := perCost
	if isSlow {
		learned = min(perCost, usualStep*r.usual)
	}
	r.usual += (learned - r.usual) / float64(min(r.usualCount, usualShare))
	if !isSlow {
		r.slow = 0
		return false
	}
	r.slow++
	return r.slow >= slowRun
}

func (r *Ramp) drop(now clock.Millis) {
	r.limit = r.cold
	r.generation++
	r.completed = 0
	r.slow = 0
	r.confirmed = false
	r.fresh = false
	r.statedCold = false
	r.droppedAt = now
}
