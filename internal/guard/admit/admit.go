// Package admit decides for one endpoint whether work runs now, waits, or is
// refused as not run. Its limit is the smallest of what the endpoint states,
// what was learned from its service times, and the cold-start ramp.
package admit

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/fair"
	"github.com/jujubescale/jujubescale/internal/guard/learn"
	"github.com/jujubescale/jujubescale/internal/guard/ramp"
)

// Verdict is what happens to offered work.
type Verdict uint8

// Verdicts.
const (
	Refused Verdict = iota
	Admitted
	Queued
)

// Ticket belongs to running work; its holder hands it back with Done.
type Ticket struct {
	Began      clock.Millis
	Cost       int64
	generation uint64
}

// Decision answers an offer.
type Decision[T any] struct {
	Verdict    Verdict
	Ticket     Ticket
	Reason     fault.Reason
	RetryAfter clock.Millis
	// Probe asks for a sign of life: the work waits because the last one is too
	// old to trust the limit.
	Probe bool
	// Evicted waited and had to make room; it did not run.
	Evicted    T
	HasEvicted bool
}

// Outcome says how running work ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeCompleted is work that ended with an answer.
	OutcomeCompleted Outcome = iota
	// OutcomeCancelled is work that was cancelled: its time says nothing.
	OutcomeCancelled
	// OutcomeRejected is work that the endpoint refused for its load.
	OutcomeRejected
	// OutcomeReset is work whose connection the endpoint cut or refused.
	OutcomeReset
)

const (
	// DefaultQueue bounds the waiting work: longer queues only make work late.
	DefaultQueue = 64
	// meanShare is the weight of one sample in the mean service time: 1/16.
	meanShare = 16
	// lowRise lets the low service time rise by 2% a sample.
	lowRise = 1.02
	// lowFall lowers it by 5% with each refusal that rests on it. Otherwise an
	// endpoint that was slow for a while would refuse everything for good,
	// because no new sample could ever show that it is fast again.
	lowFall = 0.95
	// meanFall lowers the mean by 1% with each piece of waiting work that is given
	// up because of it, for the same reason.
	meanFall = 0.99
	minRetry = 5
	// DefaultLivenessTTL is how long a sign of life vouches for a limit above the cold
	// one. An endpoint that restarts while it has no work shows nothing; a burst
	// that came then at the full limit would make it fall over.
	DefaultLivenessTTL clock.Millis = 20
)

// Gate admits work to one endpoint. It is not safe for use by several
// goroutines at once; the agent guards it with one lock.
type Gate[T any] struct {
	ramp    *ramp.Ramp
	learned *learn.Limit
	queue   *fair.Queue[T]
	stated  int
	running int
	foreign int
	cost    int64
	mean    float64
	low     float64
	samples int
	alive   clock.Millis
	closed  fault.Reason
	drops   func(ramp.Cause)
	// unlimited is the baseline of measurements.
	unlimited bool
}

type options struct {
	unlimited  bool
	queue      int
	cold, warm int
	drops      func(ramp.Cause)
}

// Option changes a Gate while it is built.
type Option func(*options)

// WithQueue bounds the waiting work.
func WithQueue(bound int) Option { return func(o *options) { o.queue = bound } }

// WithLimits sets what the endpoint bears when cold and when warm.
func WithLimits(cold, warm int) Option { return func(o *options) { o.cold, o.warm = cold, warm } }

// WithoutLimits is the kept baseline of measurements: all work runs at once.
func WithoutLimits() Option { return func(o *options) { o.unlimited = true } }

// WithOnDrop sets who counts the drops to the cold limit, by cause.
func WithOnDrop(drops func(ramp.Cause)) Option { return func(o *options) { o.drops = drops } }

// New returns a gate for an endpoint that may have just started.
func New[T any](now clock.Millis, opts ...Option) *Gate[T] {
	o := options{queue: DefaultQueue, cold: ramp.DefaultCold, warm: learn.DefaultMax, drops: func(ramp.Cause) {}}
	for _, opt := range opts {
		opt(&o)
	}
	return &Gate[T]{
		ramp:    ramp.New(now, ramp.WithCold(o.cold), ramp.WithWarm(o.warm)),
		learned: learn.New(learn.WithBounds(1, o.warm)),
		queue:   fair.New[T](o.queue),
		drops:   o.drops,

		unlimited: o.unlimited,
	}
}

// Limit is the most work that may run at once.
func (g *Gate[T]) Limit() int {
	limit := min(g.ramp.Limit(), g.learned.Limit())
	if g.stated > 0 {
		limit = min(limit, g.stated)
	}
	return limit
}

// Running is the work that runs, with what others run at the endpoint.
func (g *Gate[T]) Running() int { return g.running + g.foreign }

// Queued is the work that waits.
func (g *Gate[T]) Queued() int { return g.queue.Len() }

// Cost is the estimated cost of all that runs and waits.
func (g *Gate[T]) Cost() int64 { return g.cost + g.queue.Cost() }

// Cold reports whether the cold-start ramp has not ended.
func (g *Gate[T]) Cold() bool { return g.ramp.Cold() }

// ServiceTime is the mean service time of a unit of cost.
func (g *Gate[T]) ServiceTime() clock.Millis { return clock.Millis(g.mean + 0.5) }

// Offer decides about new work.
func (g *Gate[T]) Offer(now clock.Millis, item fair.Item[T]) Decision[T] {
	item.Cost = max(item.Cost, 1)
	if g.closed != "" {
		return Decision[T]{Reason: g.closed}
	}
	if g.unlimited {
		return Decision[T]{Verdict: Admitted, Ticket: g.start(now, item.Cost)}
	}
	if g.hopeless(now, &item) {
		g.low *= lowFall
		return Decision[T]{Reason: fault.WontMakeIt}
	}
	if g.queue.Len() == 0 && g.Running() < g.limitAt(now) {
		g.queue.Charge(item.Organisation, item.Weight, item.Cost)
		return Decision[T]{Verdict: Admitted, Ticket: g.start(now, item.Cost)}
	}
	decision := g.wait(now, item)
	decision.Probe = g.Running() < g.Limit()
	return decision
}

// limitAt is the limit as far as the last sign of life vouches for it.
func (g *Gate[T]) limitAt(now clock.Millis) int {
	if now-g.alive > DefaultLivenessTTL {
		return min(g.Limit(), g.ramp.ColdLimit())
	}
	return g.Limit()
}

// MarkAlive takes a sign of life of the endpoint: bytes of an answer.
func (g *Gate[T]) MarkAlive(now clock.Millis) { g.alive = max(g.alive, now) }

func (g *Gate[T]) wait(now clock.Millis, item fair.Item[T]) Decision[T] {
	wait := g.waitFor(g.queue.CostAhead(&item))
	if now+wait+g.meanFor(item.Cost) >= item.Expires {
		return Decision[T]{Reason: g.fullReason(fault.WontMakeIt), RetryAfter: g.retryAfter()}
	}
	evicted, hasEvicted, fits := g.queue.Push(item)
	if !fits {
		return Decision[T]{Reason: g.fullReason(fault.QueueFull), RetryAfter: g.retryAfter()}
	}
	return Decision[T]{Verdict: Queued, Evicted: evicted.Work, HasEvicted: hasEvicted}
}

// fullReason names the cold start where it is what holds the work back.
func (g *Gate[T]) fullReason(otherwise fault.Reason) fault.Reason {
	if g.ramp.Cold() && g.ramp.Limit() <= g.Limit() {
		return fault.ColdStart
	}
	return otherwise
}

// Next takes the next waiting work if there is room. Work that can't end in
// time any more is handed to drop instead; it did not run.
func (g *Gate[T]) Next(now clock.Millis, drop func(T)) (work T, ticket Ticket, ok bool) {
	for g.Running() < g.limitAt(now) && g.closed == "" {
		item, some := g.queue.Pop()
		if !some {
			return work, ticket, false
		}
		if g.unlikely(now, &item) {
			g.mean *= meanFall
			drop(item.Work)
			continue
		}
		return item.Work, g.start(now, item.Cost), true
	}
	return work, ticket, false
}

// Expire hands waiting work that can't end in time any more to drop.
func (g *Gate[T]) Expire(now clock.Millis, drop func(T)) {
	g.queue.Expire(now, g.lowFor(1), func(item fair.Item[T]) { drop(item.Work) })
}

// Remove takes out the waiting work that matches and reports whether there was any.
func (g *Gate[T]) Remove(match func(T) bool) bool {
	found := false
	g.queue.RemoveIf(func(item *fair.Item[T]) bool { return match(item.Work) }, func(fair.Item[T]) { found = true })
	return found
}

// Close refuses all new work with a reason and hands waiting work to drop: it
// did not run, and has time to run elsewhere. Running work is left alone.
func (g *Gate[T]) Close(reason fault.Reason, drop func(T)) {
	g.closed = reason
	g.queue.RemoveIf(func(*fair.Item[T]) bool { return true }, func(item fair.Item[T]) { drop(item.Work) })
}

// Open takes new work again.
func (g *Gate[T]) Open() { g.closed = "" }

// Done takes back the ticket of work that has ended.
func (g *Gate[T]) Done(now clock.Millis, ticket Ticket, outcome Outcome) {
	inFlight := g.Running()
	g.running--
	g.cost -= ticket.Cost
	switch outcome {
	case OutcomeCompleted:
		g.sample(now, ticket, inFlight)
	case OutcomeRejected:
		g.learned.Rejected()
	case OutcomeReset:
		if ticket.generation == g.ramp.Generation() {
			g.drops(g.ramp.ConnectionReset(now))
		}
	case OutcomeCancelled:
	}
}

func (g *Gate[T]) sample(now clock.Millis, ticket Ticket, inFlight int) {
	g.MarkAlive(now)
	perCost := float64(now-ticket.Began) / float64(ticket.Cost)
	g.samples = min(g.samples+1, meanShare)
	g.mean += (perCost - g.mean) / float64(g.samples)
	if g.samples == 1 || perCost < g.low {
		g.low = perCost
	} else {
		g.low = min(g.low*lowRise, perCost)
	}
	g.learned.Sample(perCost, inFlight)
	if cause, dropped := g.ramp.Completed(now, ticket.generation, perCost); dropped {
		g.drops(cause)
	}
}

// Report is what the endpoint says of itself, as of an instant on the agent's clock.
type Report struct {
	StartID string
	Cold    bool
	// Warm tells that it said in so many words that it is not cold.
	Warm bool
	// Limit is what the endpoint states that it bears; 0 says nothing.
	Limit int
	// Busy is the work it has, running and queued.
	Busy int
	AsOf clock.Millis
}

// Observe takes a load report.
func (g *Gate[T]) Observe(now clock.Millis, report Report) {
	g.stated = report.Limit
	g.MarkAlive(now)
	said := ramp.Report{StartID: report.StartID, Cold: report.Cold, Warm: report.Warm, AsOf: report.AsOf}
	if cause, dropped := g.ramp.Observe(now, said); dropped {
		g.drops(cause)
	}
}

// MarkSuspect takes a sign that the endpoint may have restarted, such as a stream that
// was cut: until the next sign of life only the cold limit is trusted.
func (g *Gate[T]) MarkSuspect(now clock.Millis) { g.alive = now - DefaultLivenessTTL - 1 }

// SetForeign sets how much work runs at the endpoint that this agent did not
// start: an agent that was replaced leaves work behind, and the new one must
// not fill the endpoint up on top of it.
func (g *Gate[T]) SetForeign(count int) { g.foreign = max(count, 0) }

// Foreign is the work that other processes run at the endpoint.
func (g *Gate[T]) Foreign() int { return g.foreign }

// SetNoReports says that the endpoint gives no load reports.
func (g *Gate[T]) SetNoReports() { g.ramp.SetNoReports() }

// ConnectionReset drops to the cold limit: the endpoint refused a connection.
func (g *Gate[T]) ConnectionReset(now clock.Millis) { g.drops(g.ramp.ConnectionReset(now)) }

// SetLimits changes what the endpoint bears when cold and when warm.
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

func (g *Gate[T]) hopeless(now clock.Millis, item *fair.Item[T]) bool {
	return now+g.lowFor(item.Cost) >= item.Expires
}

// unlikely reports that waiting work has less time left than such work takes on
// average. Where work waits, the endpoint has enough to do that will make it;
// what is begun too late is mostly cut at its deadline, and its engine time lost.
func (g *Gate[T]) unlikely(now clock.Millis, item *fair.Item[T]) bool {
	return now+g.meanFor(item.Cost) >= item.Expires
}

// meanFor is the time that work of this cost has needed lately.
func (g *Gate[T]) meanFor(cost int64) clock.Millis {
	return clock.Millis(max(g.mean, g.low) * float64(cost))
}

// lowFor is the least time that work of this cost has needed lately.
func (g *Gate[T]) lowFor(cost int64) clock.Millis { return clock.Millis(g.low * float64(cost)) }

// waitFor is the typical time until work of this cost has been started.
func (g *Gate[T]) waitFor(costAhead int64) clock.Millis {
	return clock.Millis(g.mean * float64(costAhead) / float64(max(g.Limit(), 1)))
}

// retryAfter is the typical time until there is room again.
func (g *Gate[T]) retryAfter() clock.Millis { return max(g.waitFor(g.queue.Cost()), minRetry) }
