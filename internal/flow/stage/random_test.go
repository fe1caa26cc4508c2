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

// fakeAttempt is an attempt at a simulated agent. It either runs and answers, or
// refuses without running.
type fakeAttempt struct {
	session  uint64
	ran      bool
	refused  bool
	replaced bool // the agent was restarted
	text     string
}

// harness drives one machine with random events and records what actually ran.
type harness struct {
	t        *rapid.T
	m        *stage.Machine
	now      clock.Millis
	config   stage.Config
	attempts []*fakeAttempt
	emitted  string
	session  uint64
	sentAt   clock.Millis
}

func (h *harness) runs() int {
	runs := 0
	for _, a := range h.attempts {
		if a.ran {
			runs++
		}
	}
	return runs
}

// runActions performs the machine's actions.
func (h *harness) runActions() {
	for action, found := h.m.Next(); found; action, found = h.m.Next() {
		switch action.Kind {
		case stage.Send:
			h.sentAt = h.now
			a := &fakeAttempt{text: fmt.Sprintf("answer %d of many", rapid.IntRange(0, 1).Draw(h.t, "variant"))}
			h.attempts = append(h.attempts, a)
			if rapid.IntRange(0, 9).Draw(h.t, "target") == 0 {
				h.m.NoTarget(action.Attempt)
				continue
			}
			h.session++
			a.session = h.session
			h.m.Sent(h.now, action.Attempt, a.session)
		case stage.Emit:
			h.emitted += string(action.Bytes)
		default:
		}
	}
}

// randomEvent generates a random event for a random attempt.
func (h *harness) randomEvent() {
	index := rapid.IntRange(0, len(h.attempts)-1).Draw(h.t, "try")
	a := h.attempts[index]
	frame := func(f *wire.Frame) {
		session := a.session
		if rapid.IntRange(0, 9).Draw(h.t, "crossed") == 0 {
			session = uint64(rapid.IntRange(0, 5).Draw(h.t, "other session"))
			if session != a.session {
				// A frame of another session contains the bytes of another answer.
				f = part(0, "crossed bytes")
			}
		}
		h.m.HandleFrame(h.now, session, index, f)
	}
	switch rapid.IntRange(0, 7).Draw(h.t, "event") {
	case 0, 1:
		if a.session != 0 && !a.refused && !a.replaced {
			a.ran = true
			from := rapid.IntRange(0, len(a.text)-1).Draw(h.t, "from")
			to := rapid.IntRange(from+1, len(a.text)).Draw(h.t, "to")
			frame(part(int64(from), a.text[from:to]))
		}
	case 2:
		if a.ran && !a.replaced {
			frame(part(0, a.text))
			frame(&wire.Frame{Kind: wire.KindEnd, End: &wire.End{
				Length: int64(len(a.text)), Digest: xxhash.Sum64String(a.text), EngineTime: 1,
			}})
		}
	case 3:
		if a.session != 0 && !a.ran && !a.replaced {
			a.refused = true
			reason := rapid.SampledFrom([]fault.Reason{fault.QueueFull, fault.Leaving, fault.ColdStart, fault.DeadlinePassed})
			frame(refuse(reason.Draw(h.t, "reason"), fault.NotRun))
		}
	case 4:
		if a.ran && !a.replaced {
			frame(refuse(fault.EndpointFailed, fault.MayHaveRun))
		}
	case 5:
		if a.session != 0 {
			h.m.SessionLost(h.now, index)
		}
	case 6:
		if a.session != 0 {
			h.session++
			a.session = h.session
			a.replaced = a.replaced || rapid.Bool().Draw(h.t, "replaced")
			h.m.SessionLost(h.now, index)
			h.m.SessionRestored(index, a.session)
			if a.replaced {
				frame(outcome(wire.StateUnknown))
			}
		}
	default:
		h.now += clock.Millis(rapid.IntRange(1, 300).Draw(h.t, "pass"))
		h.m.Tick(h.now)
	}
}

// Frames are lost, duplicated, delayed and sent on the wrong session, and agents are
// restarted. An answer must be complete and from one attempt. A stage that is not
// idempotent must run at most once. "Not run" must be true, and no attempt may start
// after the deadline.
func TestInvariantsUnderRandomEvents(t *testing.T) {
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
		h := &harness{t: t, m: stage.New(c), config: c}
		h.m.Begin(0)
		h.runActions()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			h.randomEvent()
			h.runActions()
			h.checkInvariants()
		}
	})
}

func (h *harness) checkInvariants() {
	if !h.config.Idempotent {
		assert.Assert(h.t, h.runs() <= 1)
	}
	assert.Assert(h.t, len(h.attempts) <= retry.MaxAttempts+1)
	assert.Assert(h.t, h.sentAt < h.config.Deadline)
	if !h.m.Over() {
		assert.Assert(h.t, h.m.WakeAt() <= h.config.Deadline)
		return
	}
	if !h.m.Answered() {
		assert.Assert(h.t, h.m.Refusal().Ran != fault.NotRun || h.runs() == 0)
		return
	}
	text := h.attempts[h.m.Winner()].text
	assert.Equal(h.t, string(h.m.Bytes()), text)
	if h.config.Stream {
		assert.Equal(h.t, h.emitted, text)
	}
}
