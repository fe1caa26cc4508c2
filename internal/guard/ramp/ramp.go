// Package ramp computes the cold-start limit of one endpoint: how much work it may
// run after its start, and how this limit grows.
//
// An endpoint that has just started handles little concurrent work and crashes
// under more. The limit therefore drops to the cold limit at once when the
// endpoint is new, has restarted, or appears to be cold again. It grows with
// completed work, never with time alone, because an idle endpoint does not warm
// up.
package ramp

import "github.com/jujubescale/jujubescale/internal/base/clock"

// Cause is the reason for a drop to the cold limit.
type Cause string

// Causes of a drop. Each is counted separately.
const (
	CauseStart    Cause = "start"
	CauseRestart  Cause = "restart"
	CauseReset    Cause = "reset"
	CauseSlow     Cause = "slow"
	CauseReported Cause = "reported"
)

const (
	// DefaultCold is the default cold limit.
	DefaultCold = 1
	// slowFactor and slowCount: the endpoint is considered cold after slowCount
	// consecutive completions that each took more than slowFactor times the mean.
	slowFactor = 4
	slowCount  = 4
	// maxMeanGrowth caps a slow completion at this multiple of the mean when it
	// enters the mean.
	maxMeanGrowth = 2
	// meanSamples is the number of completions in the moving mean: a new one has a
	// weight of 1/16.
	meanSamples = 16
	// minSamples is the number of completions from which the mean is used.
	minSamples = 16
	// unreportedRounds is how many rounds of completions an endpoint without load
	// reports needs before each growth step.
	unreportedRounds = 4
)

// Report is a load report of the endpoint.
type Report struct {
	StartID string
	Cold    bool
	// Warm is set if the endpoint explicitly reported that it is not cold. If it
	// reported neither, Cold and Warm are both false.
	Warm bool
	// AsOf is the instant of the report on the agent's clock.
	AsOf clock.Millis
}

// Ramp is the cold-start limit of one endpoint. It is not safe for concurrent use.
type Ramp struct {
	cold       int
	warm       int
	limit      int
	generation uint64
	completed  int
	droppedAt  clock.Millis
	startID    string
	lastReport clock.Millis
	reported   bool
	// initial is set until the first report as of an instant after New, or the first
	// drop.
	initial         bool
	noReports       bool
	reportedCold    bool
	mean            float64
	samples         int
	consecutiveSlow int
}

// Option configures a Ramp.
type Option func(*Ramp)

// WithCold sets the limit of a cold endpoint, at least 1.
func WithCold(limit int) Option { return func(r *Ramp) { r.cold = max(limit, 1) } }

// WithWarm sets the limit at which the ramp ends.
func WithWarm(limit int) Option { return func(r *Ramp) { r.warm = limit } }

// New returns a ramp at the cold limit, because an unknown endpoint may have just
// started.
func New(now clock.Millis, opts ...Option) *Ramp {
	r := &Ramp{cold: DefaultCold, warm: DefaultCold}
	for _, opt := range opts {
		opt(r)
	}
	r.warm = max(r.warm, r.cold)
	r.drop(now)
	r.initial = true
	return r
}

// Limit returns the maximum of concurrent work.
func (r *Ramp) Limit() int { return r.limit }

// ColdLimit returns the limit of an endpoint that has just started.
func (r *Ramp) ColdLimit() int { return r.cold }

// Cold reports whether the limit is below the warm limit.
func (r *Ramp) Cold() bool { return r.limit < r.warm }

// Generation returns a number that increases with each drop. The caller records it
// when work starts and passes it to Completed, so that work that started before
// a drop does not raise the limit after it.
func (r *Ramp) Generation() uint64 { return r.generation }

// SetBounds changes the cold and the warm limit.
func (r *Ramp) SetBounds(cold, warm int) {
	wasWarm := r.limit >= r.warm
	r.cold = max(cold, 1)
	r.warm = max(warm, r.cold)
	if wasWarm || r.limit > r.warm {
		r.limit = r.warm
	}
	r.limit = max(r.limit, r.cold)
}

// ConnectionReset drops the limit because the endpoint reset or refused a
// connection. The endpoint has probably crashed, and its load reports show that
// only after a delay.
func (r *Ramp) ConnectionReset(now clock.Millis) Cause {
	r.drop(now)
	return CauseReset
}

// SetNoReports records that the endpoint provides no load reports. The limit then
// grows with completed work alone, but needs more rounds for each step.
func (r *Ramp) SetNoReports() { r.noReports = true }

// Observe records a load report. If the limit dropped, it returns the cause and
// true. Reports arrive late: one from before the last drop does not show that the
// endpoint is warm, and must not raise the limit of one that has just crashed.
func (r *Ramp) Observe(now clock.Millis, report Report) (Cause, bool) {
	if report.AsOf < r.lastReport {
		return "", false
	}
	r.lastReport = report.AsOf
	r.noReports = false
	if r.startID == "" {
		r.startID = report.StartID
	}
	if report.StartID != r.startID {
		r.startID = report.StartID
		return r.recordRestart(now, report), true
	}
	if report.AsOf < r.droppedAt {
		return "", false
	}
	r.skipIfWarm(report)
	wasReportedCold := r.reportedCold
	r.reported = true
	r.reportedCold = report.Cold
	if report.Cold && !wasReportedCold && r.limit > r.cold {
		r.drop(now)
		r.reportedCold = true
		return CauseReported, true
	}
	return "", false
}

// skipIfWarm skips the ramp for an endpoint that was warm before this process
// started. Otherwise a new agent would keep a warm endpoint at the cold limit for
// seconds, and a rollout of agents would cost as much capacity as a rollout of
// endpoints. The first report as of an instant after this process started must
// show that the endpoint is warm, and there must have been no drop before it.
func (r *Ramp) skipIfWarm(report Report) {
	if r.initial && report.Warm {
		r.limit = r.warm
	}
	r.initial = false
}

func (r *Ramp) recordRestart(now clock.Millis, report Report) Cause {
	r.drop(now)
	r.reported = true
	r.reportedCold = report.Cold
	return CauseRestart
}

// Completed records completed work: the generation in which it started and its
// service time per unit of cost. If the limit dropped because the endpoint is
// much slower than its mean, it returns the cause and true.
func (r *Ramp) Completed(now clock.Millis, generation uint64, perCost float64) (Cause, bool) {
	if generation != r.generation {
		return "", false
	}
	if r.recordTime(perCost) {
		r.drop(now)
		return CauseSlow, true
	}
	if r.limit >= r.warm || !r.mayGrow() {
		return "", false
	}
	r.completed++
	if r.completed >= r.roundSize() {
		r.completed = 0
		r.limit = min(r.limit+max(r.limit/2, 1), r.warm)
	}
	return "", false
}

// mayGrow reports whether the limit may grow: the endpoint must have sent a report
// since the last drop, and must not have reported that it is cold. An endpoint
// without load reports may always grow.
func (r *Ramp) mayGrow() bool {
	if r.noReports {
		return true
	}
	return r.reported && !r.reportedCold
}

// roundSize returns how many completions are needed for a growth step.
func (r *Ramp) roundSize() int {
	if r.noReports {
		return r.limit * unreportedRounds
	}
	return r.limit
}

// recordTime updates the mean time per unit of cost and reports whether enough
// consecutive completions were slow. Slow completions enter the mean too, so that
// work that has become permanently heavier is not mistaken for a cold endpoint.
func (r *Ramp) recordTime(perCost float64) bool {
	known := r.samples >= minSamples
	isSlow := known && perCost > slowFactor*r.mean && r.limit > r.cold
	r.samples = min(r.samples+1, minSamples)
	sample := perCost
	if isSlow {
		sample = min(perCost, maxMeanGrowth*r.mean)
	}
	r.mean += (sample - r.mean) / float64(min(r.samples, meanSamples))
	if !isSlow {
		r.consecutiveSlow = 0
		return false
	}
	r.consecutiveSlow++
	return r.consecutiveSlow >= slowCount
}

func (r *Ramp) drop(now clock.Millis) {
	r.limit = r.cold
	r.generation++
	r.completed = 0
	r.consecutiveSlow = 0
	r.reported = false
	r.initial = false
	r.reportedCold = false
	r.droppedAt = now
}
