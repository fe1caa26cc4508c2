// Package speeds tracks how fast the endpoints are that a process sends requests to. It passes
// what endpoints state, the measured paces of their streams and the sums of peers to the Book
// of package speed, and keeps the result at each endpoint, where the choice of an endpoint
// reads it without a lock.
package speeds

import (
	"io"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/gaps"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/place"
	"github.com/jujubescale/jujubescale/internal/route/speed"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// logRatio is the change of a learned slowdown from which it is logged.
	logRatio = 1.25
	// maxFaulty bounds the number of endpoints whose malformed statements are logged.
	maxFaulty = 1024
)

// Tracker tracks the speeds of endpoints. It is safe for concurrent use.
type Tracker struct {
	clock    *clock.Clock
	log      *log.Logger
	viewFunc func() *view.Snapshot
	meter    *meter
	book     *speed.Book
	// rates holds the rate at which the usual engine of each pool reads prompts, by pool:
	// string to *place.Rate.
	rates sync.Map

	mu sync.Mutex
	// logged holds the last logged slowdown of each endpoint, and faulty the endpoints of
	// which a malformed statement was logged.
	logged map[speed.Key]float64
	faulty map[speed.Key]bool
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(t *Tracker) { t.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(t *Tracker) { t.log = l } }

// WithRegistry registers the metrics.
func WithRegistry(r prometheus.Registerer) Option { return func(t *Tracker) { t.meter.register(r) } }

// WithView sets the function that returns the known endpoints.
func WithView(v func() *view.Snapshot) Option { return func(t *Tracker) { t.viewFunc = v } }

// New returns a Tracker without any samples.
func New(opts ...Option) *Tracker {
	t := &Tracker{
		clock: clock.New(), log: log.New(io.Discard), meter: newMeter(), viewFunc: func() *view.Snapshot { return nil },
		logged: make(map[speed.Key]float64), faulty: make(map[speed.Key]bool),
	}
	t.book = speed.New(speed.WithPools(t.poolOf))
	for _, opt := range opts {
		opt(t)
	}
	return t
}

func keyOf(e *view.Endpoint) speed.Key { return speed.Key{ID: e.ID, StartedAt: e.StartedAt} }

// poolOf returns the pool of an incarnation in the view, "" if there is none.
func (t *Tracker) poolOf(k speed.Key) string {
	if e := t.viewFunc().Find(k.ID); e != nil && e.StartedAt == k.StartedAt {
		return e.Pool
	}
	return ""
}

// Observe records the load that the head of an endpoint's answer states.
func (t *Tracker) Observe(e *view.Endpoint, info *spell.ResponseInfo) {
	if info.LoadFault != "" {
		t.recordFault(e, info.LoadFault)
	}
	if !info.HasLoad {
		return
	}
	now := t.clock.Now()
	stated := speed.Stated{Running: int64(info.Running), Waiting: int64(info.Waiting), Slots: int64(info.Slots), Slowdown: info.Slowdown}
	t.book.State(e.Pool, keyOf(e), stated, now)
	if stated.Slowdown > 0 {
		e.Load.SetInterference(stated.Interference(now)) // a statement without interference ends an earlier one
	}
}

// recordFault counts a malformed statement, and logs the first of each endpoint.
func (t *Tracker) recordFault(e *view.Endpoint, value string) {
	t.meter.malformed.Inc()
	t.mu.Lock()
	known := t.faulty[keyOf(e)] || len(t.faulty) >= maxFaulty
	if !known {
		t.faulty[keyOf(e)] = true
	}
	t.mu.Unlock()
	if !known {
		t.log.Warn("malformed load in an answer", "endpoint", e.ID, "value", value)
	}
}

// Stream measures one stream of an endpoint.
type Stream struct {
	gaps.Stream
	tracker  *Tracker
	endpoint *view.Endpoint
}

// Stream returns a Stream for an answer of an endpoint.
func (t *Tracker) Stream(e *view.Endpoint) *Stream { return &Stream{tracker: t, endpoint: e} }

// Add counts an event. The one that completes the sample records the endpoint's pace.
func (s *Stream) Add(now clock.Millis) {
	s.Stream.Add(now)
	if s.Sampled() {
		s.record()
	}
}

// End records the pace of a stream that was too short for the whole sample.
func (s *Stream) End() {
	if !s.Complete() {
		s.record()
	}
}

func (s *Stream) record() {
	if pace, known := s.Pace(); known {
		s.tracker.RecordPace(s.endpoint, pace)
	}
}

// RecordPace records the pace of one stream of an endpoint in milliseconds.
func (t *Tracker) RecordPace(e *view.Endpoint, paceMs float64) {
	t.book.Learn(e.Pool, keyOf(e), paceMs, t.clock.Now())
}

// RecordGap counts a gap between two events of a route's stream if it exceeds the allowed one.
func (t *Tracker) RecordGap(route string, gap, allowed clock.Millis) {
	if allowed > 0 && gap > allowed {
		t.meter.lateGaps.WithLabelValues(route).Inc()
	}
}

func (t *Tracker) rate(pool string) *place.Rate {
	if known, found := t.rates.Load(pool); found {
		return known.(*place.Rate)
	}
	created, _ := t.rates.LoadOrStore(pool, new(place.Rate))
	return created.(*place.Rate)
}

// ReadRate returns the number of prompt tokens that the usual engine of a pool reads per
// millisecond.
func (t *Tracker) ReadRate(pool string) float64 { return t.rate(pool).TokensPerMs() }

// LearnReadRate updates the read rate of an endpoint's pool from the time that the endpoint
// took to read a prompt.
func (t *Tracker) LearnReadRate(e *view.Endpoint, tokens int64, tookMs float64) {
	learned := e.Load.LearnedSlowdown()
	if e.Load.Slowdown(t.clock.Now()) > learned {
		return // the time of a period of interference does not describe the endpoint
	}
	if learned > 0 {
		tookMs /= learned
	}
	t.rate(e.Pool).Learn(tokens, tookMs)
}

// AddPrompt counts a prompt that is sent to an endpoint.
func (t *Tracker) AddPrompt(e *view.Endpoint, tokens int64) {
	e.Load.AddPrompt(tokens, e.Load.ReadRate(t.ReadRate(e.Pool)), t.clock.Now())
}

// UnreadTokens returns the number of prompt tokens that this process sent to an endpoint and
// that the endpoint has probably not read yet.
func (t *Tracker) UnreadTokens(e *view.Endpoint) int64 {
	return e.Load.PendingPrefill(e.Load.ReadRate(t.ReadRate(e.Pool)), t.clock.Now())
}

// Refresh stores the learned slowdowns at the endpoints and discards the state of endpoints
// that have ended. It is called several times a second.
func (t *Tracker) Refresh() {
	now, endpoints := t.clock.Now(), t.viewFunc()
	t.book.Sweep(func(k speed.Key) bool { return t.poolOf(k) != "" })
	byPool := make(map[string]map[speed.Key]float64)
	t.meter.begin()
	endpoints.Each(func(e *view.Endpoint) {
		learned, known := byPool[e.Pool]
		if !known {
			learned = t.book.Learned(e.Pool, now)
			byPool[e.Pool] = learned
		}
		slowdown := 0.0
		if learned != nil {
			if slowdown = learned[keyOf(e)]; slowdown == 0 {
				slowdown = 1 // no sample yet
			}
			t.meter.count(slowdown)
		}
		e.Load.SetSlowdown(slowdown)
		t.logChange(e, slowdown, now)
	})
	t.meter.end()
	t.forget(endpoints)
}

// logChange logs the slowdown of an endpoint if it differs much from the one logged last.
func (t *Tracker) logChange(e *view.Endpoint, slowdown float64, now clock.Millis) {
	t.mu.Lock()
	before := t.logged[keyOf(e)]
	if before == 0 {
		before = 1
	}
	changed := slowdown > 0 && max(slowdown/before, before/slowdown) >= logRatio
	if changed {
		t.logged[keyOf(e)] = slowdown
	}
	t.mu.Unlock()
	if !changed {
		return
	}
	stated, age, _ := t.book.Stated(e.Pool, keyOf(e), now)
	t.log.Info("endpoint speed changed", "endpoint", e.ID, "pool", e.Pool, "slowdown", slowdown, "before", before,
		"stated", stated.Slowdown, "statedAgeMs", int64(age))
}

// forget discards what was logged of endpoints that have ended.
func (t *Tracker) forget(endpoints *view.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.logged)+len(t.faulty) <= 2*endpoints.Len() {
		return
	}
	for k := range t.logged {
		if t.poolOf(k) == "" {
			delete(t.logged, k)
		}
	}
	for k := range t.faulty {
		if t.poolOf(k) == "" {
			delete(t.faulty, k)
		}
	}
}

// TakeUnsent returns the sums that changed since the peers were sent them, nil for most calls.
func (t *Tracker) TakeUnsent() []wire.Speed {
	var sums []wire.Speed
	for _, s := range t.book.TakeUnsent(t.clock.Now()) {
		sums = append(sums, wire.Speed{Endpoint: s.ID, StartedAt: s.StartedAt, Count: s.Count, TotalMs: s.TotalMs})
	}
	return sums
}

// ApplyPeers records the sums of all peers.
func (t *Tracker) ApplyPeers(sums []wire.Speed) {
	samples := make([]speed.Sample, 0, len(sums))
	for _, s := range sums {
		samples = append(samples, speed.Sample{Key: speed.Key{ID: s.Endpoint, StartedAt: s.StartedAt}, Count: s.Count, TotalMs: s.TotalMs})
	}
	if dropped := t.book.ApplyPeers(samples, t.clock.Now()); dropped > 0 {
		t.meter.implausible.Add(float64(dropped))
		t.log.Warn("implausible speeds from a peer", "dropped", dropped)
	}
}
