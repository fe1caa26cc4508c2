// Package permit keeps the request rates that endpoints state, so that all processes
// together send no endpoint more than it accepts.
package permit

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/guard/rate"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// Book holds what this process knows of the limits of endpoints. It is safe for
// concurrent use.
type Book struct {
	clock *clock.Clock
	log   *log.Logger
	meter *meter

	// limited is the number of endpoints with a limit in force.
	limited atomic.Int64

	mu      sync.Mutex
	entries map[string]*entry // by endpoint ID
}

// entry is what is known of one start of an endpoint that has stated a limit.
type entry struct {
	startedAt int64
	known     rate.Known
	// faulty is set once a malformed limit was logged.
	faulty bool
}

// Option configures a Book.
type Option func(*Book)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(b *Book) { b.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(b *Book) { b.log = l } }

// WithRegistry registers the metrics.
func WithRegistry(r prometheus.Registerer) Option { return func(b *Book) { b.meter.register(r) } }

// New returns an empty Book.
func New(opts ...Option) *Book {
	b := &Book{clock: clock.New(), log: log.New(io.Discard), entries: make(map[string]*entry)}
	b.meter = newMeter(b)
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Limited returns the number of endpoints with a limit in force.
func (b *Book) Limited() int64 { return b.limited.Load() }

// Observe records what the head of an answer says about the limit of its endpoint. The
// request of the answer was sent at an instant.
func (b *Book) Observe(e *view.Endpoint, info spell.ResponseInfo, request string, sentAt clock.Millis) {
	stated := info.Rate > 0 || info.RateFault != ""
	if !stated && b.limited.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.entryOf(e.ID, e.StartedAt, stated)
	switch {
	case known == nil:
	case info.RateFault != "" || (stated && !rate.Valid(info.Rate)):
		b.recordFault(e, known, info, request)
	default:
		b.apply(e.ID, known, rate.Statement{Limit: info.Rate, SentAt: sentAt, At: b.clock.Now()}, "answer", request)
	}
}

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
	known = &entry{startedAt: startedAt}
	b.entries[endpoint] = known
	return known
}

// apply adds a statement. The caller holds the lock.
func (b *Book) apply(endpoint string, known *entry, s rate.Statement, source, request string) {
	before := known.known.Limit()
	if !known.known.Apply(s) {
		return
	}
	result := "changed"
	switch limit := known.known.Limit(); {
	case before == 0:
		result = "began"
		b.limited.Add(1)
	case limit == 0:
		result = "ended"
		b.limited.Add(-1)
	}
	b.meter.statements.WithLabelValues(result).Inc()
	b.log.Info("endpoint limit "+result, "endpoint", endpoint, "limit", known.known.Limit(), "before", before,
		"source", source, "ageMs", int64(b.clock.Since(s.At)), "request", request)
}

// recordFault counts a malformed limit, which changes nothing. The caller holds the lock.
func (b *Book) recordFault(e *view.Endpoint, known *entry, info spell.ResponseInfo, request string) {
	b.meter.statements.WithLabelValues("malformed").Inc()
	if known.faulty {
		return
	}
	known.faulty = true
	b.log.Warn("endpoint limit malformed", "endpoint", e.ID, "value", info.RateFault, "rate", info.Rate,
		"limit", known.known.Limit(), "request", request)
}

// remove drops an entry. The caller holds the lock.
func (b *Book) remove(endpoint, cause string) {
	if limit := b.entries[endpoint].known.Limit(); limit > 0 {
		b.limited.Add(-1)
		b.log.Info("endpoint limit ended", "endpoint", endpoint, "limit", 0, "before", limit, "source", cause)
	}
	delete(b.entries, endpoint)
}

// Sweep drops the limits of endpoints that live does not report. It bounds the number of
// entries by that of the endpoints.
func (b *Book) Sweep(live func(endpoint string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for endpoint := range b.entries {
		if !live(endpoint) {
			b.remove(endpoint, "gone")
		}
	}
}
