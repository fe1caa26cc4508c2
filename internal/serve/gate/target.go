package gate

import (
	"sync"
	"sync/atomic"

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
	// firstBar and maxBar bound how long an endpoint that failed gets nothing.
	firstBar = 250 * clock.Millis(1)
	maxBar   = 4 * clock.Second
	// fullBar is how long an endpoint that was full gets nothing.
	fullBar = 80 * clock.Millis(1)
	// answerWeight is the part of the newest answer in what is remembered of an
	// endpoint's speed and failures: the last five or so count.
	answerWeight = 0.2
)

// target is what this process keeps for one endpoint.
type target struct {
	*view.Endpoint
	conns *conn.Group

	mu       sync.Mutex
	pace     pace.Pace
	parts    map[string]clock.Millis
	failures int
	// recent is the usual time to an answer in milliseconds, wrong the share of
	// answers that were failures.
	recent float64
	wrong  float64
	told   atomic.Int64 // requests that run or wait there, as it said last
}

// targets holds one target for each endpoint that was used.
type targets struct {
	gate *Gate
	byID sync.Map // *view.Endpoint to *target
}

func (t *targets) init(g *Gate) { t.gate = g }

// of returns the target of an endpoint.
func (t *targets) of(e *view.Endpoint) *target {
	if known, found := t.byID.Load(e); found {
		return known.(*target)
	}
	g := t.gate
	made := &target{Endpoint: e, parts: make(map[string]clock.Millis)}
	made.conns = conn.New(e.Address, conn.WithClock(g.Clock), conn.WithDialed(g.meter.dialed),
		conn.WithMost(func() int { return g.mostConns(e.Pool) }))
	known, _ := t.byID.LoadOrStore(e, made)
	return known.(*target)
}

// sweep forgets endpoints that are gone, and closes unused connections.
func (t *targets) sweep() {
	t.byID.Range(func(key, value any) bool {
		known := value.(*target)
		if known.Gone() {
			known.conns.Close()
			t.byID.Delete(key)
			return true
		}
		known.conns.Sweep()
		return true
	})
}

// mostConns is this process's part of the connections that an endpoint accepts
// from everybody; an eighth is left for processes that start just now.
func (g *Gate) mostConns(name string) int {
	routes := g.Table()
	if routes == nil {
		return 1
	}
	pool := routes.Pool(name)
	if pool == nil || pool.MaxConns == 0 {
		return 1
	}
	return max(pool.MaxConns*7/8/max(len(g.mesh.Alive()), 1), 2)
}

// Conns returns the connections to an endpoint.
func (g *Gate) Conns(e *view.Endpoint) *conn.Group { return g.targets.of(e).conns }

// cached returns how many tokens of a prompt are believed to be in memory, and
// how many of those are hot: a part counts only if all before it do.
func (t *target) cached(parts []spell.Part, hot []bool, now clock.Millis) (tokens, hotTokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, part := range parts {
		if used, found := t.parts[part.ID]; !found || now-used > keepParts {
			break
		}
		tokens += part.Tokens
		if hot[i] {
			hotTokens += part.Tokens
		}
	}
	return tokens, hotTokens
}

// use remembers that the parts of a prompt were sent.
func (t *target) use(ids []string, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.parts) > maxParts {
		for id, used := range t.parts {
			if now-used > keepParts/2 {
				delete(t.parts, id)
			}
		}
	}
	for _, id := range ids {
		t.parts[id] = now
	}
}

// start counts a request against the endpoint's pace, if no more than bound
// were started within its window; otherwise it returns how long to wait.
func (t *target) start(bound int, now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait := t.pace.Next(bound, now); wait > 0 {
		return wait
	}
	t.pace.Start(now)
	return 0
}

// waitFor returns how long it takes until one more may be started.
func (t *target) waitFor(bound int, now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace.Next(bound, now)
}

// answered remembers a whole answer: how long it took and whether it was a
// failure of the endpoint.
func (t *target) answered(took clock.Millis, wrong bool) {
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

// speed returns the usual time to an answer, longer the more often answers were
// failures: whoever fails fast must not draw the requests.
func (t *target) speed() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Millis(t.recent * (1 + 4*t.wrong))
}

// failed keeps requests away from the endpoint, longer with each failure in a row.
func (t *target) failed(now clock.Millis) {
	t.mu.Lock()
	bar := min(firstBar<<min(t.failures, 8), maxBar)
	t.failures++
	t.wrong += answerWeight * (1 - t.wrong)
	t.mu.Unlock()
	t.Bar(now + bar)
}
