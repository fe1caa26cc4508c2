// Package speed estimates how fast the endpoints of a pool work relative to each other. It
// handles the load of a pool whose endpoints differ in speed: with one rate for the whole pool,
// slow endpoints get as much work as fast ones, and their streams pause for too long.
//
// A Book holds for each incarnation of an endpoint what the endpoint stated last, and the pace
// of its streams as measured by this process and by its peers.
package speed

import (
	"math"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Bounds of a slowdown, whether learned or stated.
const (
	MinSlowdown = 0.25
	MaxSlowdown = 8
)

const (
	// interference is the stated slowdown above which other programs on the endpoint's host
	// cause a part of it. Samples of such a period do not describe the endpoint.
	interference = 1.3
	// statedLifetime is how long a stated interference keeps requests away. An interference
	// period lasts about 90 ms.
	statedLifetime = 100 * clock.Millis(1)
	// halfLife is the time after which a sample counts half. The speed of an incarnation
	// changes rarely, and a pool of 41 engines gives each of them some samples per second.
	halfLife = 30 * clock.Second
	// priorCount is the number of samples at the median pace of the pool that each endpoint
	// is assumed to have. It damps the first samples, which may differ by a factor of two.
	priorCount = 2
	// minCount is the number of samples below which sums are discarded. The oldest of them
	// are then some minutes old.
	minCount = 0.01
	// maxPaceRatio bounds a sample relative to the median of the pool, so that a hung stream
	// counts as one slow sample.
	maxPaceRatio = 10
	// sampleGaps is the number of times between events that a pace is measured from.
	sampleGaps = 8
	// sendInterval is the shortest time between two messages with changed sums of endpoints
	// with FewSamples or more.
	sendInterval = 2 * clock.Second
	// statingLifetime is how long the endpoints of a pool count as stating the time that work
	// takes after the last statement. Pools in use state it with each answer.
	statingLifetime = clock.Minute
	// toldLifetime is how long sums of peers show that the endpoints of a pool state the time
	// that work takes. Peers with new samples send sums every sendInterval.
	toldLifetime = 10 * clock.Second
	// maxEntries bounds the number of incarnations, those of all pools together.
	maxEntries = 32768
	// maxStated bounds the stated counts of requests and slots.
	maxStated = 1 << 20
)

// FewSamples is the number of samples below which a new sample changes the slowdown of an
// endpoint so much that peers are sent it with the next report.
const FewSamples = 8

// Key identifies one incarnation of an endpoint.
type Key struct {
	ID        string
	StartedAt int64
}

// Stated is the load that an endpoint stated. Slowdown is the time that work takes at that
// moment relative to the usual time of this endpoint, 0 if it does not state it.
type Stated struct {
	Running, Waiting, Slots int64
	Slowdown                float64
}

// Sample is the sum of the pace samples of one incarnation, which decay with a half-life. Its
// values are as of the sending of the message that contains it.
type Sample struct {
	Key
	Count, TotalMs float64
}

// Plausible reports whether the values can be sums of samples.
func (s Sample) Plausible() bool {
	return wire.Speed{Endpoint: s.ID, StartedAt: s.StartedAt, Count: s.Count, TotalMs: s.TotalMs}.Plausible()
}

// Book holds the state of the endpoints of all pools. It is safe for concurrent use.
type Book struct {
	poolFunc func(Key) string

	mu      sync.Mutex
	pools   map[string]*pool
	entries int
	sentAt  clock.Millis
}

// Option configures a Book.
type Option func(*Book)

// WithPools sets the function that returns the pool of an incarnation, "" if there is none. It
// is called for the samples of peers.
func WithPools(poolOf func(Key) string) Option { return func(b *Book) { b.poolFunc = poolOf } }

// New returns an empty Book.
func New(opts ...Option) *Book {
	b := &Book{pools: make(map[string]*pool), poolFunc: func(Key) string { return "" }}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// State records the load that an endpoint stated.
func (b *Book) State(name string, k Key, s Stated, now clock.Millis) {
	s = s.bounded()
	b.mu.Lock()
	defer b.mu.Unlock()
	p, e := b.entry(name, k)
	if e == nil {
		return
	}
	if e.stated.Slowdown > 0 {
		p.stating--
	}
	if s.Slowdown > 0 {
		p.stating++
		p.statedAt = now
	}
	e.stated, e.statedAt = s, now
}

func (s Stated) bounded() Stated {
	bound := func(n int64) int64 { return min(max(n, 0), maxStated) }
	s.Running, s.Waiting, s.Slots = bound(s.Running), bound(s.Waiting), bound(s.Slots)
	if math.IsNaN(s.Slowdown) || s.Slowdown <= 0 {
		s.Slowdown = 0
		return s
	}
	s.Slowdown = min(max(s.Slowdown, MinSlowdown), MaxSlowdown)
	return s
}

// entry returns the pool and the entry of an incarnation, which it creates if necessary. The
// entry is nil if there are too many. The caller holds the lock.
func (b *Book) entry(name string, k Key) (*pool, *entry) {
	p := b.pools[name]
	if p == nil {
		p = &pool{entries: make(map[Key]*entry)}
		b.pools[name] = p
	}
	e := p.entries[k]
	if e == nil && b.entries < maxEntries {
		e = &entry{learned: 1}
		p.entries[k] = e
		b.entries++
	}
	return p, e
}

// Learn adds the pace of one stream, the median of the times between its first events, in
// milliseconds. It ignores samples of a period of interference.
func (b *Book) Learn(name string, k Key, paceMs float64, now clock.Millis) {
	if sample := (Sample{Key: k, Count: 1, TotalMs: paceMs}); !sample.Plausible() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, e := b.entry(name, k)
	if e == nil || e.interferedWith(paceMs, now) {
		return
	}
	if p.medianMs > 0 {
		paceMs = min(paceMs, maxPaceRatio*p.medianMs)
	}
	own := e.own.decayed(now)
	e.own = sum{count: own.count + 1, totalMs: own.totalMs + paceMs, at: now}
	e.unsent, p.dirty = true, true
}

// interferedWith reports whether the endpoint stated interference around the time in which a
// pace was measured.
func (e *entry) interferedWith(paceMs float64, now clock.Millis) bool {
	span := clock.Millis(sampleGaps*paceMs) + statedLifetime
	return e.stated.Slowdown > interference && now-e.statedAt <= span
}

// ApplyPeers replaces the sums of all peers for the incarnations in samples, and returns how
// many were implausible. Samples of unknown incarnations are dropped.
func (b *Book) ApplyPeers(samples []Sample, now clock.Millis) (implausible int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range samples {
		if !s.Plausible() {
			implausible++
			continue
		}
		name := b.poolFunc(s.Key)
		if name == "" {
			continue
		}
		if p, e := b.entry(name, s.Key); e != nil {
			e.peers = sum{count: s.Count, totalMs: s.TotalMs, at: now}
			p.dirty, p.toldAt = true, now
		}
	}
	return implausible
}

// TakeUnsent returns the sums of this process that changed since they were sent. Those of
// endpoints with FewSamples or more are sent at most every sendInterval. Those of pools whose endpoints do not state the time that work takes are kept.
func (b *Book) TakeUnsent(now clock.Millis) []Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := b.sentAt == 0 || now-b.sentAt >= sendInterval
	var unsent []Sample
	for _, p := range b.pools {
		for k, e := range p.entries {
			if !e.unsent || !p.states(now) || (!due && e.total(now).count >= FewSamples) {
				continue
			}
			e.unsent = false
			if own := e.own.decayed(now); own.count >= minCount {
				unsent = append(unsent, Sample{Key: k, Count: own.count, TotalMs: own.totalMs})
			}
		}
	}
	if due && len(unsent) > 0 {
		b.sentAt = now
	}
	return unsent
}

// Slowdown returns the slowdown of an endpoint, 1 if it is not known. For a short time after
// the endpoint stated interference, it is at least the stated one.
func (b *Book) Slowdown(name string, k Key, now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[name]
	if p == nil || !p.inUse(now) {
		return 1
	}
	if p.dirty {
		p.refresh(now)
	}
	e := p.entries[k]
	if e == nil {
		return 1
	}
	if e.stated.Slowdown > interference && now-e.statedAt < statedLifetime {
		return max(e.learned, e.stated.Slowdown)
	}
	return e.learned
}

// Interference returns until when a stated interference keeps requests away, and the slowdown
// until then; 0 if the endpoint states none.
func (s Stated) Interference(now clock.Millis) (slowdown float64, until clock.Millis) {
	if s = s.bounded(); s.Slowdown <= interference {
		return 0, 0
	}
	return s.Slowdown, now + statedLifetime
}

// Learned returns the learned slowdown of each incarnation of a pool as of an instant, nil
// while the pool's slowdowns are not used.
func (b *Book) Learned(name string, now clock.Millis) map[Key]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[name]
	if p == nil || !p.inUse(now) {
		return nil
	}
	p.refresh(now)
	learned := make(map[Key]float64, len(p.entries))
	for k, e := range p.entries {
		learned[k] = e.learned
	}
	return learned
}

// Stated returns the last statement of an incarnation and its age, false if there is none.
func (b *Book) Stated(name string, k Key, now clock.Millis) (s Stated, age clock.Millis, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[name]; p != nil {
		if e := p.entries[k]; e != nil && e.statedAt > 0 {
			return e.stated, now - e.statedAt, true
		}
	}
	return Stated{}, 0, false
}

// Sweep discards the state of incarnations that have ended.
func (b *Book) Sweep(present func(Key) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.pools {
		for k, e := range p.entries {
			if present(k) {
				continue
			}
			if e.stated.Slowdown > 0 {
				p.stating--
			}
			delete(p.entries, k)
			b.entries--
			p.dirty = true
		}
		if len(p.entries) == 0 {
			delete(b.pools, name)
		}
	}
}
