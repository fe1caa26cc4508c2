// Package target keeps what a process knows of each endpoint that it sends
// requests to, besides what the endpoint says of itself: connections, how many
// requests were started lately, how fast and how often it answered, and which
// parts of prompts it probably still has in memory.
package target

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/guard/pace"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// keepParts is how long a part of a prompt is believed to stay in an
	// engine's memory after its last use. Engines hold some 300,000 tokens and
	// read about 3,000 new ones a second each, so parts live longer than this.
	keepParts = 20 * clock.Second
	// maxParts bounds the parts that are remembered for one engine.
	maxParts = 512
	// firstBar and maxBar bound how long an endpoint that failed gets nothing; the
	// entry of one whose address another endpoint has now is gone by then.
	firstBar = 250 * clock.Millis(1)
	maxBar   = 4 * clock.Second
	// answerWeight is the part of the newest answer in what is remembered of an
	// endpoint's speed and failures: the last five or so count.
	answerWeight = 0.2
)

// Target is what this process keeps for one endpoint.
type Target struct {
	*view.Endpoint
	Conns *conn.Group

	mu       sync.Mutex
	pace     pace.Limiter
	parts    map[Key]clock.Millis
	failures int
	// recent is the usual time to an answer in milliseconds, wrong the share of
	// answers that were failures.
	recent float64
	wrong  float64
}

// Set holds one target for each endpoint that was used.
type Set struct {
	clock  *clock.Clock
	most   func(pool string) int
	dialed func()
	byID   sync.Map // *view.Endpoint to *Target
}

// NewSet returns an empty set. Most is the largest number of connections to an
// endpoint of a pool, dialed counts new ones.
func NewSet(c *clock.Clock, most func(pool string) int, dialed func()) *Set {
	return &Set{clock: c, most: most, dialed: dialed}
}

// Of returns the target of an endpoint.
func (s *Set) Of(e *view.Endpoint) *Target {
	if known, found := s.byID.Load(e); found {
		return known.(*Target)
	}
	made := &Target{Endpoint: e, parts: make(map[Key]clock.Millis)}
	made.Conns = conn.New(e.Address, conn.WithClock(s.clock), conn.WithDialed(s.dialed),
		conn.WithMaxOpen(func() int { return s.most(e.Pool) }))
	known, _ := s.byID.LoadOrStore(e, made)
	return known.(*Target)
}

// Sweep forgets endpoints that are gone, and closes unused connections.
func (s *Set) Sweep() {
	s.byID.Range(func(key, value any) bool {
		known := value.(*Target)
		if known.Gone() {
			known.Conns.Close()
			s.byID.Delete(key)
			return true
		}
		known.Conns.Sweep()
		return true
	})
}

// Each calls visit for every endpoint that was used.
func (s *Set) Each(visit func(*view.Endpoint)) {
	s.byID.Range(func(key, _ any) bool {
		visit(key.(*view.Endpoint))
		return true
	})
}

// Cached returns how many tokens of a prompt are believed to be in memory, and
// how many of those are hot: a part counts only if all before it do.
func (t *Target) Cached(parts []spell.Part, keys []Key, hot []bool, now clock.Millis) (tokens, hotTokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, part := range parts {
		if used, found := t.parts[keys[i]]; !found || now-used > keepParts {
			break
		}
		tokens += part.Tokens
		if hot[i] {
			hotTokens += part.Tokens
		}
	}
	return tokens, hotTokens
}

// Holds reports whether a part of a prompt is believed to be in memory.
func (t *Target) Holds(part Key, now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	used, found := t.parts[part]
	return found && now-used <= keepParts
}

// Use remembers that the parts of a prompt were sent.
func (t *Target) Use(keys []Key, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.parts) > maxParts {
		for key, used := range t.parts {
			if now-used > keepParts/2 {
				delete(t.parts, key)
			}
		}
	}
	for _, key := range keys {
		t.parts[key] = now
	}
}

// Start counts a request against the endpoint's pace, if no more than bound
// were started within its window; otherwise it returns how long to wait.
func (t *Target) Start(bound int, now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait := t.pace.Delay(bound, now); wait > 0 {
		return wait
	}
	t.pace.Record(now)
	return 0
}

// WaitFor returns how long it takes until one more may be started.
func (t *Target) WaitFor(bound int, now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace.Delay(bound, now)
}

// Answered remembers a whole answer: how long it took and whether it was a
// failure of the endpoint.
func (t *Target) Answered(took clock.Millis, wrong bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	share := 0.0
	if wrong {
		share = 1
	} else {
		t.recent += answerWeight * (float64(took) - t.recent)
	}
	t.wrong += answerWeight * (share - t.wrong)
}

// Speed returns the usual time to an answer, longer the more often answers were
// failures: whoever fails fast must not draw the requests.
func (t *Target) Speed() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Millis(t.recent * (1 + 4*t.wrong))
}

// Replaced keeps requests away because another endpoint has the address now.
func (t *Target) Replaced(now clock.Millis) { t.Block(now + maxBar) }

// Failed keeps requests away from the endpoint, longer with each failure in a row.
func (t *Target) Failed(now clock.Millis) {
	t.mu.Lock()
	bar := min(firstBar<<min(t.failures, 8), maxBar)
	t.failures++
	t.wrong += answerWeight * (1 - t.wrong)
	t.mu.Unlock()
	t.Block(now + bar)
}
