// Package permit keeps what endpoints state in their answers: the request rates that they
// accept, so that all processes together send no endpoint more, that they leave, the rests
// that they ask this process for, and that they share their hosts, so that all processes
// together send them no more than they have memory and places for.
//
// An endpoint with a limit has an owner, one of the processes, which grants a permit for
// each request. A process that sends a request asks the owner first. Without an answer it
// does not send the request to that endpoint, so that the limit holds while an owner is
// paused, cut off or replaced. The endpoints that a process calls on behalf of all others
// need no permits of a peer. The owner of an engine that shares its host leases its capacity in
// the same way.
package permit

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/guard/rate"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// endedRetention is how long the end of a limit is kept. Reports of the limit that are
	// still on their way from peers don't bring it back in this time.
	endedRetention = 30 * clock.Second
	// announceInterval is the interval at which the owner of a limited endpoint announces
	// the limit, so that processes that start later learn it.
	announceInterval = 4 * clock.Second
)

// Peers connects a Book to the other processes.
type Peers struct {
	// Self is the name of this process.
	Self string
	// OwnerFunc returns the name of the process that owns an endpoint.
	OwnerFunc func(endpoint string) string
	// AskFunc asks an owner for a permit.
	AskFunc func(ctx context.Context, owner string, request *wire.PermitRequest) (*wire.Permit, error)
	// ReportFunc makes the next report to the peers happen at once.
	ReportFunc func()
}

// Book holds what this process knows of the statements of endpoints, and grants the permits
// of the endpoints that it owns. It is safe for concurrent use.
type Book struct {
	clock *clock.Clock
	log   *log.Logger
	meter *meter
	peers Peers
	// stallFunc returns when the process went on after it last stood still, 0 if it never has, and whether its
	// peers have told it since what it missed.
	stallFunc func() (goneOnAt clock.Millis, told bool)

	// limited is the number of endpoints with a limit in force.
	limited atomic.Int64

	states states
	rooms  rooms
	pools  pools

	mu      sync.Mutex
	entries map[string]*entry // by endpoint ID
	// returns holds for each pool when the next refused caller may return.
	returns map[string]clock.Millis
}

// entry is what is known of one start of an endpoint that has stated a limit.
type entry struct {
	startedAt int64
	stated    rate.Known
	// seenAt is when the endpoint was last in the view.
	seenAt clock.Millis
	// faulty is set once a malformed limit was logged.
	faulty bool
	// unsent is set until the peers are sent the statement in force; announcedAt is when
	// that happened last.
	unsent      bool
	announcedAt clock.Millis

	// bucket, granted and emptiedAt are used while this process is the owner.
	bucket  rate.Bucket
	granted int64
	// emptiedAt is when this process went on from the last stall after which the bucket was emptied.
	emptiedAt clock.Millis
	// heldUntil is when this process may ask again for a permit. asking is the number of
	// requests for permits without an answer, unanswered that of consecutive ones that got
	// none.
	heldUntil  clock.Millis
	asking     int
	unanswered int
}

// Option configures a Book.
type Option func(*Book)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(b *Book) { b.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(b *Book) { b.log = l } }

// WithRegistry registers the metrics.
func WithRegistry(r prometheus.Registerer) Option { return func(b *Book) { b.meter.register(r) } }

// WithPeers connects the Book to the other processes. Without it, this process owns every
// endpoint.
func WithPeers(peers Peers) Option { return func(b *Book) { b.peers = peers } }

// WithStalls sets the function that returns when the process went on after it last stood still, 0 if it never
// has, and whether its peers have told it since what it missed.
func WithStalls(last func() (goneOnAt clock.Millis, told bool)) Option {
	return func(b *Book) { b.stallFunc = last }
}

// New returns an empty Book.
func New(opts ...Option) *Book {
	b := &Book{
		clock: clock.New(), log: log.New(io.Discard), entries: make(map[string]*entry), returns: make(map[string]clock.Millis),
		peers:     Peers{OwnerFunc: func(string) string { return "" }, ReportFunc: func() {}},
		stallFunc: func() (clock.Millis, bool) { return 0, true },
	}
	b.states.byID = make(map[string]*state)
	b.rooms.held, b.rooms.owned, b.rooms.wake = make(map[string]*heldRoom), make(map[string]*ownedRoom), make(chan struct{}, 1)
	b.pools.known = make(map[string]sharing)
	b.meter = newMeter(b)
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Limited returns the number of endpoints with a limit in force.
func (b *Book) Limited() int64 { return b.limited.Load() }

// Limit returns the limit of an endpoint in requests per second, 0 if it has none.
func (b *Book) Limit(e *view.Endpoint) float64 {
	if b.limited.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.limitedEntry(e); known != nil {
		return known.stated.Limit()
	}
	return 0
}

// limitedEntry returns the entry of an endpoint with a limit in force, or nil. A request to
// an earlier start of the endpoint would reach the present one. The caller holds the lock.
func (b *Book) limitedEntry(e *view.Endpoint) *entry {
	known := b.entries[e.ID]
	if known == nil || known.startedAt < e.StartedAt || known.stated.Limit() == 0 {
		return nil
	}
	return known
}

// Observe records what the head of an answer says about the limit and the state of its
// endpoint. The request of the answer was sent at an instant; status is its HTTP status. It
// ignores answers of another endpoint that uses the address now.
func (b *Book) Observe(e *view.Endpoint, status int, info spell.ResponseInfo, request string, sentAt clock.Millis) {
	if status == http.StatusMisdirectedRequest || (info.Instance != "" && info.Instance != e.ID) {
		return
	}
	b.observeState(e, status, info, request)
	b.pools.observe(e.Pool, &info)
	if info.Slowdown > 0 {
		b.observeShared(e, request)
	}
	stated := info.Rate > 0 || info.RateFault != ""
	if !stated && b.limited.Load() == 0 {
		return
	}
	if b.observe(e, info, request, sentAt, stated) {
		b.peers.ReportFunc()
	}
}

// observe reports whether the limit has changed.
func (b *Book) observe(e *view.Endpoint, info spell.ResponseInfo, request string, sentAt clock.Millis, stated bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.entryOf(e.ID, e.StartedAt, stated)
	switch {
	case known == nil:
		return false
	case info.RateFault != "" || (stated && !rate.Valid(info.Rate)):
		b.recordFault(e, known, info, request)
		return false
	}
	changed := b.apply(e.ID, known, rate.Statement{Limit: info.Rate, SentAt: sentAt, At: b.clock.Now()}, "answer", request)
	known.unsent = known.unsent || changed
	return changed
}

// ApplyPeer records the limits that peers have learned.
func (b *Book) ApplyPeer(limits []wire.EndpointLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, limit := range limits {
		b.applyWire(limit, "peer", "")
	}
}

// applyWire records the limit of a message and returns the entry of the endpoint, or nil if
// there is none. The caller holds the lock.
func (b *Book) applyWire(limit wire.EndpointLimit, source, request string) *entry {
	known := b.entryOf(limit.Endpoint, limit.StartedAt, limit.Limit > 0)
	if known != nil && limit.Plausible() {
		now := b.clock.Now()
		b.apply(limit.Endpoint, known, rate.Statement{Limit: limit.Limit, SentAt: now - limit.SentAge, At: now - limit.Age}, source, request)
	}
	return known
}

// TakeUnsent returns the limits that the peers have to be sent: those that changed, and
// from time to time those of the endpoints that this process owns. It is called for each
// report.
func (b *Book) TakeUnsent() []wire.EndpointLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var limits []wire.EndpointLimit
	now := b.clock.Now()
	for endpoint, known := range b.entries {
		owned := b.owns(endpoint)
		if !owned {
			// The bucket would fill meanwhile, and the owner's has been used.
			known.bucket = rate.Bucket{}
		}
		due := owned && known.stated.Limit() > 0 && now-known.announcedAt >= announceInterval
		if !known.unsent && !due {
			continue
		}
		known.unsent, known.announcedAt = false, now
		limits = append(limits, known.message(endpoint, now))
	}
	return limits
}

// message returns the statement in force for a message that is sent now.
func (e *entry) message(endpoint string, now clock.Millis) wire.EndpointLimit {
	s := e.stated.InForce()
	return wire.EndpointLimit{Endpoint: endpoint, StartedAt: e.startedAt, Limit: s.Limit, SentAge: now - s.SentAt, Age: now - s.At}
}

func (b *Book) owns(endpoint string) bool { return b.peers.OwnerFunc(endpoint) == b.peers.Self }

// entryOf returns the entry of one start of an endpoint. It returns nil for an earlier
// start than the known one, and without create if there is none. The caller holds the
// lock.
func (b *Book) entryOf(endpoint string, startedAt int64, create bool) *entry {
	known := b.entries[endpoint]
	switch {
	case known != nil && known.startedAt > startedAt:
		return nil
	case known != nil && known.startedAt == startedAt:
		return known
	case known != nil:
		b.remove(endpoint, "restarted")
	}
	if !create {
		return nil
	}
	known = &entry{startedAt: startedAt, seenAt: b.clock.Now()}
	b.entries[endpoint] = known
	return known
}

// apply adds a statement and reports whether the limit has changed. The caller holds the
// lock.
func (b *Book) apply(endpoint string, known *entry, s rate.Statement, source, request string) bool {
	before := known.stated.Limit()
	if !known.stated.Apply(s) {
		return false
	}
	known.heldUntil = 0
	result := "changed"
	switch limit := known.stated.Limit(); {
	case before == 0:
		result = "began"
		b.limited.Add(1)
	case limit == 0:
		result = "ended"
		b.limited.Add(-1)
	}
	b.meter.statements.WithLabelValues(result).Inc()
	b.log.Info("endpoint limit "+result, "endpoint", endpoint, "limit", known.stated.Limit(), "before", before,
		"source", source, "ageMs", int64(b.clock.Since(s.At)), "request", request)
	return true
}

// recordFault counts a malformed limit, which changes nothing. The caller holds the lock.
func (b *Book) recordFault(e *view.Endpoint, known *entry, info spell.ResponseInfo, request string) {
	b.meter.statements.WithLabelValues("malformed").Inc()
	if known.faulty {
		return
	}
	known.faulty = true
	b.log.Warn("endpoint limit malformed", "endpoint", e.ID, "value", info.RateFault, "rate", info.Rate,
		"limit", known.stated.Limit(), "request", request)
}

// remove drops an entry. The caller holds the lock.
func (b *Book) remove(endpoint, cause string) {
	if limit := b.entries[endpoint].stated.Limit(); limit > 0 {
		b.limited.Add(-1)
		b.log.Info("endpoint limit ended", "endpoint", endpoint, "limit", 0, "before", limit, "source", cause)
	}
	delete(b.entries, endpoint)
}

// Sweep drops the limits and states of endpoints that find has not returned for
// stateRetention or whose start has ended, and those that ended long ago. It bounds the number
// of entries by that of the endpoints.
func (b *Book) Sweep(find func(endpoint string) *view.Endpoint) {
	now := b.clock.Now()
	b.sweepStates(find, now)
	b.sweepRooms(find, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for endpoint, known := range b.entries {
		present := find(endpoint)
		if present != nil {
			known.seenAt = now
		}
		switch {
		case now-known.seenAt > stateRetention:
			b.remove(endpoint, "gone")
		case present != nil && present.StartedAt > known.startedAt:
			b.remove(endpoint, "restarted")
		case known.stated.Limit() == 0 && !known.faulty && now-known.stated.InForce().At > endedRetention:
			delete(b.entries, endpoint)
		}
	}
	for pool, at := range b.returns {
		if at < now {
			delete(b.returns, pool)
		}
	}
}

// ReturnAfter returns the time after which a caller that no endpoint of a pool can take
// should return. The endpoints accept share requests per second of this process; callers
// that are refused together get different times. The first may return after wait.
func (b *Book) ReturnAfter(pool string, wait clock.Millis, share float64) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	at := max(now+wait, b.returns[pool])
	step := min(clock.Millis(float64(clock.Second)/max(share, 0.01)), maxReturn)
	b.returns[pool] = min(at+step, now+maxReturn)
	return min(at-now+rand.N(max(step, 1)), maxReturn)
}

// maxReturn bounds the time after which refused callers may return.
const maxReturn = 10 * clock.Second
