// Package target keeps what a process has observed of each endpoint that it sends
// requests to, in addition to what the endpoint reports: connections, the rate of
// started requests, latency and failures of answers, and the parts of prompts
// that are probably in the engine's cache.
package target

import (
	"context"
	"strconv"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/push"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/guard/pace"
	"github.com/jujubescale/jujubescale/internal/guard/places"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// cacheRetention is how long a part of a prompt is assumed to stay in an
	// engine's cache after its last use. An engine caches about 300,000 tokens and
	// reads about 3,000 new ones per second, so parts stay longer than this.
	cacheRetention = 20 * clock.Second
	// maxParts is the number of parts of one engine above which old ones are
	// removed.
	maxParts = 512
	// minBlock and maxBlock limit how long an endpoint is blocked after a failure.
	// An endpoint whose address another one now uses is removed from the view
	// before maxBlock has passed.
	minBlock = 250 * clock.Millis(1)
	maxBlock = 4 * clock.Second
	// answerWeight is the weight of the newest answer in the moving averages of an
	// endpoint's latency and failures, which mostly depend on the last five answers.
	answerWeight = 0.2
)

// Target is the state that this process keeps for one endpoint.
type Target struct {
	*view.Endpoint
	conns *conn.Group
	set   *Set

	mu            sync.Mutex
	pace          pace.Limiter
	parts         map[Key]clock.Millis
	failuresInRow int
	// latency is the moving average of the time to an answer, in milliseconds.
	// failureRate is that of the share of answers that were failures.
	latency     float64
	failureRate float64
	// reported is the lowest number of running requests that was reported to peers.
	reported places.Low
	starts   starts
}

// Settings are the dependencies of a Set.
type Settings struct {
	Clock    *clock.Clock
	Log      *log.Logger
	Registry prometheus.Registerer
	// Table returns the current routes, nil before the first have been read.
	Table func() *table.Table
	// Check returns an error for an endpoint that wants no requests.
	Check func(*view.Endpoint) error
	// ByUse divides the connections that an endpoint accepts by what each process uses,
	// and not only by Processes, the number of live processes.
	ByUse     func(*view.Endpoint) bool
	Processes func() int
	// DialFunc opens connections; nil for conn.Dial.
	DialFunc conn.DialFunc
	// Push limits writes to endpoints that don't read; nil sets no limits.
	Push *push.Book
	// UpToDate reports whether the sums of the peers' requests are current.
	UpToDate func() bool
}

// Set holds a target for each endpoint that was used.
type Set struct {
	Settings
	meter     *meter
	createdAt clock.Millis
	peakMu    sync.Mutex
	peak      places.Peak
	byID      sync.Map // *view.Endpoint to *Target
}

// NewSet returns an empty Set.
func NewSet(settings Settings) *Set {
	return &Set{Settings: settings, meter: newMeter(settings.Registry), createdAt: settings.Clock.Now()}
}

// Send sends a request to the endpoint. It is the only way to an endpoint, so that no
// request passes by the check of what the endpoint has stated.
func (t *Target) Send(ctx context.Context, request *conn.Request) (*conn.Reply, error) {
	if err := t.set.Check(t.Endpoint); err != nil {
		return nil, err
	}
	reply, err := t.conns.Do(ctx, request)
	if err != nil {
		if line := bound.InvalidLine(err); line != "" {
			t.set.Log.Info("answer has an invalid head", "endpoint", t.ID, "work", request.Work, "line", strconv.Quote(line), logs.KeyError, err)
		}
		t.set.recordFull(t, err)
	}
	return reply, err
}

// Full reports whether all connections of this process to the endpoint are in use.
func (t *Target) Full() bool { return t.conns.Full() }

// Get returns the target of an endpoint, which it creates if necessary.
func (s *Set) Get(e *view.Endpoint) *Target {
	if known, found := s.byID.Load(e); found {
		return known.(*Target)
	}
	created := &Target{Endpoint: e, set: s, parts: make(map[Key]clock.Millis)}
	created.conns = s.newConns(created)
	known, _ := s.byID.LoadOrStore(e, created)
	return known.(*Target)
}

// Sweep removes endpoints that are gone and closes unused connections.
func (s *Set) Sweep() {
	s.byID.Range(func(key, value any) bool {
		known := value.(*Target)
		if known.Gone() {
			known.conns.Close()
			s.byID.Delete(key)
			return true
		}
		known.conns.Sweep()
		return true
	})
}

// Each calls visit for each endpoint in the set with the number of its running requests
// that the caller reports to peers.
func (s *Set) Each(visit func(e *view.Endpoint, running int64)) {
	now := s.Clock.Now()
	s.byID.Range(func(_, value any) bool {
		t := value.(*Target)
		running := t.Load.Running.Load()
		t.mu.Lock()
		t.reported.Record(running, now)
		t.mu.Unlock()
		visit(t.Endpoint, running)
		return true
	})
}

// CachedTokens returns how many tokens of a prompt are probably in the engine's
// cache, and how many of those belong to recently used parts. A part counts only
// if all parts before it are cached.
func (t *Target) CachedTokens(parts []spell.Part, keys []Key, recent []bool, now clock.Millis) (tokens, recentTokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, part := range parts {
		if used, found := t.parts[keys[i]]; !found || now-used > cacheRetention {
			break
		}
		tokens += part.Tokens
		if recent[i] {
			recentTokens += part.Tokens
		}
	}
	return tokens, recentTokens
}

// HasCached reports whether a part of a prompt is probably in the engine's cache.
func (t *Target) HasCached(part Key, now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	used, found := t.parts[part]
	return found && now-used <= cacheRetention
}

// MarkUsed stores that the parts of a prompt were sent to the endpoint.
func (t *Target) MarkUsed(keys []Key, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.parts) > maxParts {
		for key, used := range t.parts {
			if now-used > cacheRetention/2 {
				delete(t.parts, key)
			}
		}
	}
	for _, key := range keys {
		t.parts[key] = now
	}
}

// TryStart records the start of a request and returns 0 if the number of requests
// started within the limiter's window allows it under limit. Otherwise it returns
// how long to wait, in milliseconds.
func (t *Target) TryStart(limit int, now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait := t.pace.Delay(limit, now); wait > 0 {
		return wait
	}
	t.pace.Record(now)
	return 0
}

// StartDelay returns how long it takes until another request may start, in
// milliseconds. It records nothing.
func (t *Target) StartDelay(limit int, now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace.Delay(limit, now)
}

// RecordAnswer records a complete answer: how long it took and whether it was a
// failure of the endpoint.
func (t *Target) RecordAnswer(took clock.Millis, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failuresInRow = 0
	failure := 0.0
	if failed {
		failure = 1
	} else {
		t.latency += answerWeight * (float64(took) - t.latency)
	}
	t.failureRate += answerWeight * (failure - t.failureRate)
}

// Latency returns the average time to an answer in milliseconds. It is raised by
// the share of failures, so that an endpoint that fails fast does not attract
// requests.
func (t *Target) Latency() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Millis(t.latency * (1 + 4*t.failureRate))
}

// BlockReplaced blocks the endpoint because another one now uses its address.
func (t *Target) BlockReplaced(now clock.Millis) {
	t.starts.close(true, now)
	t.Block(now + maxBlock)
}

// RecordFailure blocks the endpoint, for longer after each consecutive failure.
func (t *Target) RecordFailure(now clock.Millis) {
	t.mu.Lock()
	block := min(minBlock<<min(t.failuresInRow, 8), maxBlock)
	t.failuresInRow++
	t.failureRate += answerWeight * (1 - t.failureRate)
	t.mu.Unlock()
	t.Block(now + block)
}
