package stage_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/budget"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/flow/retry"
	"github.com/jujubescale/jujubescale/internal/flow/stage"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// worker is one attempt at a fake agent: it either runs and answers, or
// refuses without running; nothing in between.
type worker struct {
	session  uint64
	ran      bool
	refused  bool
	replaced bool // another incarnation stands there now
	text     string
}

// world drives one machine with random events and keeps what really happened.
type world struct {
	t       *rapid.T
	m       *stage.Machine
	now     clock.Millis
	config  stage.Config
	workers []*worker
	emitted string
	session uint64
	sentAt  clock.Millis
}

func (w *world) runs() int {
	runs := 0
	for _, k := range w.workers {
		if k.ran {
			runs++
		}
	}
	return runs
}

// drain carries out the machine's actions.
func (w *world) drain() {
	for action, found := w.m.Next(); found; action, found = w.m.Next() {
		switch action.Kind {
		case stage.Send:
			w.sentAt = w.now
			k := &worker{text: fmt.Sprintf("answer %d of many", rapid.IntRange(0, 1).Draw(w.t, "variant"))}
			w.workers = append(w.workers, k)
			if rapid.IntRange(0, 9).Draw(w.t, "target") == 0 {
				w.m.NoTarget(action.Attempt)
				continue
			}
			w.session++
			k.session = w.session
			w.m.Sent(w.now, action.Attempt, k.session)
		case stage.Emit:
			w.emitted += string(action.Bytes)
		default:
		}
	}
}

// event makes one random thing happen at one attempt.
func (w *world) event() {
	try := rapid.IntRange(0, len(w.workers)-1).Draw(w.t, "try")
	k := w.workers[try]
	frame := func(f *wire.Frame) {
		session := k.session
		if rapid.IntRange(0, 9).Draw(w.t, "crossed") == 0 {
			session = uint64(rapid.IntRange(0, 5).Draw(w.t, "other session"))
			if session != k.session {
				// A crossed frame carries another answer's bytes.
				f = part(0, "crossed bytes")
			}
		}
		w.m.HandleFrame(w.now, session, try, f)
	}
	switch rapid.IntRange(0, 7).Draw(w.t, "event") {
	case 0, 1:
		if k.session != 0 && !k.refused && !k.replaced {
			k.ran = true
			from := rapid.IntRange(0, len(k.text)-1).Draw(w.t, "from")
			to := rapid.IntRange(from+1, len(k.text)).Draw(w.t, "to")
			frame(part(int64(from), k.text[from:to]))
		}
	case 2:
		if k.ran && !k.replaced {
			frame(part(0, k.text))
			frame(&wire.Frame{Kind: wire.KindEnd, End: &wire.End{
				Length: int64(len(k.text)), Digest: xxhash.Sum64String(k.text), EngineTime: 1,
			}})
		}
	case 3:
		if k.session != 0 && !k.ran && !k.replaced {
			k.refused = true
			reason := rapid.SampledFrom([]fault.Reason{fault.QueueFull, fault.Leaving, fault.ColdStart, fault.DeadlinePassed})
			frame(refuse(reason.Draw(w.t, "reason"), fault.NotRun))
		}
	case 4:
		if k.ran && !k.replaced {
			frame(refuse(fault.EndpointFailed, fault.MayHaveRun))
		}
	case 5:
		if k.session != 0 {
			w.m.SessionLost(w.now, try)
		}
	case 6:
		if k.session != 0 {
			w.session++
			k.session = w.session
			k.replaced = k.replaced || rapid.Bool().Draw(w.t, "replaced")
			w.m.SessionLost(w.now, try)
			w.m.SessionRestored(try, k.session)
			if k.replaced {
				frame(outcome(wire.StateUnknown))
			}
		}
	default:
		w.now += clock.Millis(rapid.IntRange(1, 300).Draw(w.t, "pass"))
		w.m.Tick(w.now)
	}
}

// Whatever is lost, doubled, late, crossed or restarted: an answer is whole
// and from one attempt, work that must not repeat is sent at most once unless
// it provably did not run, "not run" is true, and nothing starts after the end.
func TestPromisesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := stage.Config{
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Stream: rapid.Bool().Draw(t, "stream"), Deadline: 1000,
			Retries: retry.NewBudget(), Hedges: hedge.NewBudget(),
			Plan:  budget.Plan{Limit: 1000, AttemptTimeout: clock.Millis(rapid.IntRange(100, 1000).Draw(t, "patience"))},
			Times: budget.Times{Typical: 50, Slow: clock.Millis(rapid.IntRange(0, 300).Draw(t, "slow"))},
		}
		for range 30 {
			c.Hedges.Earn()
		}
		w := &world{t: t, m: stage.New(c), config: c}
		w.m.Begin(0)
		w.drain()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.event()
			w.drain()
			w.check()
		}
	})
}

func (w *world) check() {
	if !w.config.Idempotent {
		assert.Assert(w.t, w.runs() <= 1)
	}
	assert.Assert(w.t, len(w.workers) <= retry.MaxAttempts+1)
	assert.Assert(w.t, w.sentAt < w.config.Deadline)
	if !w.m.Over() {
		assert.Assert(w.t, w.m.WakeAt() <= w.config.Deadline)
		return
	}
	if !w.m.Answered() {
		assert.Assert(w.t, w.m.Refusal().Ran != fault.NotRun || w.runs() == 0)
		return
	}
	text := w.workers[w.m.Winner()].text
	assert.Equal(w.t, string(w.m.Bytes()), text)
	if w.config.Stream {
		assert.Equal(w.t, w.emitted, text)
	}
}
