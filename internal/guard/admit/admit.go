// Package admit performs admission control for one endpoint: it decides whether
// work runs now, is queued, or is refused without having run. The concurrency
// limit is the smallest of the limit that the endpoint reports, the limit
// learned from service times, and the limit of the cold-start ramp.
package admit

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/fair"
	"github.com/jujubescale/jujubescale/internal/guard/learn"
	"github.com/jujubescale/jujubescale/internal/guard/ramp"
)

// Verdict is the admission decision for offered work.
type Verdict uint8

// Verdicts.
const (
	Refused Verdict = iota
	Admitted
	Queued
)

// Ticket identifies running work. The caller passes it to Done when the work ends.
type Ticket struct {
	Began      clock.Millis
	Cost       int64
	generation uint64
}

// Decision is the result of Offer.
type Decision[T any] struct {
	Verdict    Verdict
	Ticket     Ticket
	Reason     fault.Reason
	RetryAfter clock.Millis
	// Probe is set if the caller has to probe the endpoint: the work was queued because the
	// last liveness signal is older than DefaultLivenessTTL.
	Probe bool
	// Evicted is queued work that was removed to make room. It did not run.
	Evicted    T
	HasEvicted bool
}

// Outcome is how running work ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeCompleted means that the endpoint answered.
	OutcomeCompleted Outcome = iota
	// OutcomeCancelled means that the work was cancelled. Its duration is ignored.
	OutcomeCancelled
	// OutcomeRejected means that the endpoint refused the work because of its load.
	OutcomeRejected
	// OutcomeReset means that the endpoint reset or refused the connection.
	OutcomeReset
)

const (
	// DefaultQueue is the default queue length. A longer queue only makes work late.
	DefaultQueue = 64
	// meanSamples is the number of samples in the moving mean of the service time: a
	// new sample has a weight of 1/16.
	meanSamples = 16
	// lowGrowth bounds the growth of the low service time to 2% per sample.
	lowGrowth = 1.02
	// lowDecay lowers the low service time by 5% with each refusal that it causes.
	// Otherwise, after a slow period, all work would be refused forever, because no
	// new sample could show that the endpoint is fast again.
	lowDecay = 0.95
	// meanDecay lowers the mean by 1% with each queued item that is dropped because
	// of it, for the same reason.
	meanDecay = 0.99
	// minRetryAfter is the shortest delay that a refusal asks for, in ms.
	minRetryAfter = 5
	// DefaultLivenessTTL is how long a limit above the cold limit is used after a
	// liveness signal. The restart of an idle endpoint goes unnoticed, and a burst
	// at the full limit would then overload it.
	DefaultLivenessTTL clock.Millis = 20
)

// Gate admits work to one endpoint. It is not safe for concurrent use; the agent
// guards it with a lock.
type Gate[T any] struct {
	ramp          *ramp.Ramp
	learned       *learn.Limit
	queue         *fair.Queue[T]
	reportedLimit int
	running       int
	foreign       int
	cost          int64
	mean          float64 // mean service time per unit of cost, in ms
	low           float64 // low service time per unit of cost, in ms
	samples       int
	lastAlive     clock.Millis
	closeReason   fault.Reason
	onDrop        func(ramp.Cause)
	// unlimited admits all work at once; it is the baseline in measurements.
	unlimited bool
}

type options struct {
	unlimited  bool
	queue      int
	cold, warm int
	onDrop     func(ramp.Cause)
}

// Option configures a Gate.
type Option func(*options)

// WithQueue sets the maximum queue length.
func WithQueue(bound int) Option { return func(o *options) { o.queue = bound } }

// WithLimits sets the concurrency limits of a cold and of a warm endpoint.
func WithLimits(cold, warm int) Option { return func(o *options) { o.cold, o.warm = cold, warm } }

// WithoutLimits admits all work at once. It is the baseline in measurements.
func WithoutLimits() Option { return func(o *options) { o.unlimited = true } }

// WithOnDrop sets a callback that runs on each drop to the cold limit.
func WithOnDrop(onDrop func(ramp.Cause)) Option { return func(o *options) { o.onDrop = onDrop } }

// New returns a gate that starts at the cold limit, because the endpoint may have
// just started.
func New[T any](now clock.Millis, opts ...Option) *Gate[T] {
	o := options{queue: DefaultQueue, cold: ramp.DefaultCold, warm: learn.DefaultMax, onDrop: func(ramp.Cause) {}}
	for _, opt := range opts {
		opt(&o)
	}
	return &Gate[T]{
		ramp:    ramp.New(now, ramp.WithCold(o.cold), ramp.WithWarm(o.warm)),
		learned: learn.New(learn.WithBounds(1, o.warm)),
		queue:   fair.New[T](o.queue),
		onDrop:  o.onDrop,

		unlimited: o.unlimited,
	}
}

// Limit returns the current concurrency limit.
func (g *Gate[T]) Limit() int {
	limit := min(g.ramp.Limit(), g.learned.Limit())
	if g.reportedLimit > 0 {
		limit = min(limit, g.reportedLimit)
	}
	return limit
}

// Running returns the number of running items, including those that other
// processes started at the endpoint.
func (g *Gate[T]) Running() int { return g.running + g.foreign }

// Queued returns the number of queued items.
func (g *Gate[T]) Queued() int { return g.queue.Len() }

// Cost returns the estimated cost of all running and queued items of this gate.
func (g *Gate[T]) Cost() int64 { return g.cost + g.queue.Cost() }

// Cold reports whether the cold-start ramp is still below the warm limit.
func (g *Gate[T]) Cold() bool { return g.ramp.Cold() }

// ServiceTime returns the mean service time per unit of cost.
func (g *Gate[T]) ServiceTime() clock.Millis { return clock.Millis(g.mean + 0.5) }

// Offer admits, queues or refuses an item.
func (g *Gate[T]) Offer(now clock.Millis, item fair.Item[T]) Decision[T] {
	item.Cost = max(item.Cost, 1)
	if g.closeReason != "" {
		return Decision[T]{Reason: g.closeReason}
	}
	if g.unlimited {
		return Decision[T]{Verdict: Admitted, Ticket: g.start(now, item.Cost)}
	}
	if g.cannotMeetDeadline(now, &item) {
		g.low *= lowDecay
		return Decision[T]{Reason: fault.DeadlineUnreachable}
	}
	if g.queue.Len() == 0 && g.Running() < g.effectiveLimit(now) {
		g.queue.Charge(item.Organisation, item.Weight, item.Cost)
		return Decision[T]{Verdict: Admitted, Ticket: g.start(now, item.Cost)}
	}
	decision := g.enqueue(now, item)
	decision.Probe = g.Running() < g.Limit()
	return decision
}

// effectiveLimit returns Limit, or at most the cold limit if the last liveness
// signal is older than DefaultLivenessTTL.
func (g *Gate[T]) effectiveLimit(now clock.Millis) int {
	if now-g.lastAlive > DefaultLivenessTTL {
		return min(g.Limit(), g.ramp.ColdLimit())
	}
	return g.Limit()
}

// MarkAlive records a liveness signal of the endpoint, such as bytes of an answer.
func (g *Gate[T]) MarkAlive(now clock.Millis) { g.lastAlive = max(g.lastAlive, now) }

func (g *Gate[T]) enqueue(now clock.Millis, item fair.Item[T]) Decision[T] {
	wait := g.expectedWait(g.queue.CostAhead(&item))
	if now+wait+g.meanTime(item.Cost) >= item.Expires {
		return Decision[T]{Reason: g.refusalReason(fault.DeadlineUnreachable), RetryAfter: g.retryAfter()}
	}
	evicted, hasEvicted, fits := g.queue.Push(item)
	if !fits {
		return Decision[T]{Reason: g.refusalReason(fault.QueueFull), RetryAfter: g.retryAfter()}
	}
	return Decision[T]{Verdict: Queued, Evicted: evicted.Work, HasEvicted: hasEvicted}
}

// refusalReason returns ColdStart if the cold-start ramp determines the limit, else
// the fallback.
func (g *Gate[T]) refusalReason(fallback fault.Reason) fault.Reason {
	if g.ramp.Cold() && g.ramp.Limit() <= g.Limit() {
		return fault.ColdStart
	}
	return fallback
}

// Next removes the next item from the queue and starts it if the limit allows. It
// passes items that would probably miss their deadline to drop instead; these
// did not run.
func (g *Gate[T]) Next(now clock.Millis, drop func(T)) (work T, ticket Ticket, ok bool) {
	for g.Running() < g.effectiveLimit(now) && g.closeReason == "" {
		item, found := g.queue.Pop()
		if !found {
			return work, ticket, false
		}
		if g.unlikelyToMeetDeadline(now, &item) {
			g.mean *= meanDecay
			drop(item.Work)
			continue
		}
		return item.Work, g.start(now, item.Cost), true
	}
	return work, ticket, false
}

// Expire removes queued items that can no longer meet their deadline and passes
// them to drop.
func (g *Gate[T]) Expire(now clock.Millis, drop func(T)) {
	g.queue.Expire(now, g.lowTime(1), func(item fair.Item[T]) { drop(item.Work) })
}

// Remove removes the queued items that match and reports whether there were any.
func (g *Gate[T]) Remove(match func(T) bool) bool {
	found := false
	g.queue.RemoveIf(func(item *fair.Item[T]) bool { return match(item.Work) }, func(fair.Item[T]) { found = true })
	return found
}

// Close makes Offer refuse all work with the given reason. It removes all queued
// items and passes them to drop, so that they can run elsewhere. Running work
// continues.
func (g *Gate[T]) Close(reason fault.Reason, drop func(T)) {
	g.closeReason = reason
	g.queue.RemoveIf(func(*fair.Item[T]) bool { return true }, func(item fair.Item[T]) { drop(item.Work) })
}

// Open makes Offer accept work again after Close.
func (g *Gate[T]) Open() { g.closeReason = "" }

// Done records the end of running work.
func (g *Gate[T]) Done(now clock.Millis, ticket Ticket, outcome Outcome) {
	inFlight := g.Running()
	g.running--
	g.cost -= ticket.Cost
	switch outcome {
	case OutcomeCompleted:
		g.recordSample(now, ticket, inFlight)
	case OutcomeRejected:
		g.learned.Rejected()
	case OutcomeReset:
		if ticket.generation == g.ramp.Generation() {
			g.onDrop(g.ramp.ConnectionReset(now))
		}
	case OutcomeCancelled:
	}
}

func (g *Gate[T]) recordSample(now clock.Millis, ticket Ticket, inFlight int) {
	g.MarkAlive(now)
	perCost := float64(now-ticket.Began) / float64(ticket.Cost)
	g.samples = min(g.samples+1, meanSamples)
	g.mean += (perCost - g.mean) / float64(g.samples)
	if g.samples == 1 || perCost < g.low {
		g.low = perCost
	} else {
		g.low = min(g.low*lowGrowth, perCost)
	}
	g.learned.Sample(perCost, inFlight)
	if cause, dropped := g.ramp.Completed(now, ticket.generation, perCost); dropped {
		g.onDrop(cause)
	}
}

// Report is a load report of the endpoint.
type Report struct {
	StartID string
	Cold    bool
	// Warm is set if the endpoint explicitly reported that it is not cold.
	Warm bool
	// Limit is the concurrency limit that the endpoint reports; 0 if it reports none.
	Limit int
	// Busy is the number of items at the endpoint, running and queued.
	Busy int
	// AsOf is the instant of the report on the agent's clock.
	AsOf clock.Millis
}

// Observe records a load report. It is also a liveness signal.
func (g *Gate[T]) Observe(now clock.Millis, report Report) {
	g.reportedLimit = report.Limit
	g.MarkAlive(now)
	rampReport := ramp.Report{StartID: report.StartID, Cold: report.Cold, Warm: report.Warm, AsOf: report.AsOf}
	if cause, dropped := g.ramp.Observe(now, rampReport); dropped {
		g.onDrop(cause)
	}
}

// MarkSuspect records that the endpoint may have restarted, such as when a stream
// broke off. At most the cold limit applies until the next liveness signal.
func (g *Gate[T]) MarkSuspect(now clock.Millis) { g.lastAlive = now - DefaultLivenessTTL - 1 }

// SetForeign sets how many items run at the endpoint that this agent did not
// start. An agent that was replaced leaves work behind, which counts against the
// limit of its successor so that the endpoint is not overloaded.
func (g *Gate[T]) SetForeign(count int) { g.foreign = max(count, 0) }

// Foreign returns the number of items that other processes run at the endpoint.
func (g *Gate[T]) Foreign() int { return g.foreign }

// SetNoReports records that the endpoint provides no load reports.
func (g *Gate[T]) SetNoReports() { g.ramp.SetNoReports() }

// ConnectionReset drops the limit to the cold limit because the endpoint refused
// a connection.
func (g *Gate[T]) ConnectionReset(now clock.Millis) { g.onDrop(g.ramp.ConnectionReset(now)) }

// SetLimits changes the cold and the warm limit. A warm limit below 1 means
// learn.DefaultMax.
func (g *Gate[T]) SetLimits(cold, warm int) {
	if warm < 1 {
		warm = learn.DefaultMax
	}
	g.ramp.SetBounds(cold, warm)
	g.learned.SetMax(warm)
}

func (g *Gate[T]) start(now clock.Millis, cost int64) Ticket {
	g.running++
	g.cost += cost
	return Ticket{Began: now, Cost: cost, generation: g.ramp.Generation()}
}

// cannotMeetDeadline reports whether an item would miss its deadline even if it
// started now and took the low service time.
func (g *Gate[T]) cannotMeetDeadline(now clock.Millis, item *fair.Item[T]) bool {
	return now+g.lowTime(item.Cost) >= item.Expires
}

// unlikelyToMeetDeadline reports whether a queued item has less time left than
// the mean service time. While items are queued, others can use the capacity and
// meet their deadlines; work that starts this late is usually cancelled at its
// deadline, and its engine time is wasted.
func (g *Gate[T]) unlikelyToMeetDeadline(now clock.Millis, item *fair.Item[T]) bool {
	return now+g.meanTime(item.Cost) >= item.Expires
}

// meanTime returns the recent mean service time of work of this cost.
func (g *Gate[T]) meanTime(cost int64) clock.Millis {
	return clock.Millis(max(g.mean, g.low) * float64(cost))
}

// lowTime returns the recent low service time of work of this cost.
func (g *Gate[T]) lowTime(cost int64) clock.Millis { return clock.Millis(g.low * float64(cost)) }

// expectedWait returns the expected time until queued work of this cost has
// started.
func (g *Gate[T]) expectedWait(costAhead int64) clock.Millis {
	return clock.Millis(g.mean * float64(costAhead) / float64(max(g.Limit(), 1)))
}

// retryAfter returns the mean time until all queued work has started, at least
// minRetryAfter.
func (g *Gate[T]) retryAfter() clock.Millis {
	return max(g.expectedWait(g.queue.Cost()), minRetryAfter)
}
