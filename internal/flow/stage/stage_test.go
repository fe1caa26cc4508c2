package stage_test

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/budget"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/flow/retry"
	"github.com/jujubescale/jujubescale/internal/flow/stage"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const session = 7

func config() stage.Config {
	return stage.Config{
		Idempotent: true, Deadline: 1000, Retries: retry.NewBudget(), Hedges: hedge.NewBudget(),
		Plan: budget.Plan{Limit: 1000, AttemptTimeout: 1000},
	}
}

func startedMachine(t *testing.T, c stage.Config) *stage.Machine {
	t.Helper()
	m := stage.New(c)
	m.Begin(0)
	assert.Equal(t, expect(t, m, stage.Send).Attempt, 0)
	m.Sent(0, 0, session)
	return m
}

// expect returns the next action and fails the test if its kind differs.
func expect(t *testing.T, m *stage.Machine, kind stage.Kind) stage.Action {
	t.Helper()
	action, found := m.Next()
	assert.Assert(t, found, "no action, want %d", kind)
	assert.Equal(t, action.Kind, kind)
	return action
}

func part(offset int64, text string) *wire.Frame {
	return &wire.Frame{Kind: wire.KindPart, Part: &wire.Part{Offset: offset, Bytes: []byte(text)}}
}

func end(text string) *wire.Frame {
	return &wire.Frame{Kind: wire.KindEnd, End: &wire.End{Length: int64(len(text)), Digest: xxhash.Sum64String(text)}}
}

func refuse(reason fault.Reason, ran fault.Ran) *wire.Frame {
	return &wire.Frame{Kind: wire.KindRefuse, Refuse: &wire.Refuse{Reason: reason, Ran: ran}}
}

func outcome(state wire.State) *wire.Frame {
	return &wire.Frame{Kind: wire.KindOutcome, Outcome: &wire.Outcome{State: state}}
}

// A part arrives twice, as it does when a session is resumed while parts are in
// transit. The caller must not get the text twice.
func TestDuplicatePartsAreIgnored(t *testing.T) {
	c := config()
	c.Stream = true
	m := startedMachine(t, c)
	m.HandleFrame(1, session, 0, part(0, "abc"))
	assert.Equal(t, string(expect(t, m, stage.Emit).Bytes), "abc")
	m.HandleFrame(1, session, 0, part(0, "abc"))
	assert.Equal(t, expect(t, m, stage.Drop).Drop, stage.DropDuplicate)
	m.HandleFrame(1, session, 0, part(2, "cde"))
	assert.Equal(t, string(expect(t, m, stage.Emit).Bytes), "de")
	m.HandleFrame(1, session, 0, end("abcde"))
	expect(t, m, stage.Ack)
	expect(t, m, stage.Finish)
	assert.Equal(t, string(m.Bytes()), "abcde")
}

// A part is lost and the end frame arrives. Without the check of the length, the
// caller would get an incomplete answer.
func TestMissingPartIsRequestedOnce(t *testing.T) {
	m := startedMachine(t, config())
	m.HandleFrame(1, session, 0, part(0, "ab"))
	m.HandleFrame(1, session, 0, part(4, "ef"))
	assert.Equal(t, expect(t, m, stage.Drop).Drop, stage.DropGap)
	assert.Equal(t, expect(t, m, stage.Ask).Offset, int64(2))
	m.HandleFrame(1, session, 0, end("abcdef"))
	assert.Equal(t, expect(t, m, stage.Drop).Drop, stage.DropGap)
	m.HandleFrame(1, session, 0, part(2, "cdef"))
	m.HandleFrame(1, session, 0, end("abcdef"))
	expect(t, m, stage.Ack)
	expect(t, m, stage.Finish)
}

func TestFrameOfAnotherSessionOrAttemptIsDropped(t *testing.T) {
	m := startedMachine(t, config())
	m.HandleFrame(1, session+1, 0, part(0, "wrong"))
	assert.Equal(t, expect(t, m, stage.Drop).Drop, stage.DropSession)
	m.HandleFrame(1, session, 3, part(0, "wrong"))
	assert.Equal(t, expect(t, m, stage.Drop).Drop, stage.DropUnknown)
	m.Abort(fault.Cancelled)
	expect(t, m, stage.Cancel)
	expect(t, m, stage.Fail)
	m.HandleFrame(1, session, 0, part(0, "late"))
	assert.Equal(t, expect(t, m, stage.Drop).Drop, stage.DropLate)
}

// The bytes were corrupted or belong to another answer, so the digest differs. The
// stage is retried elsewhere, and the invalid answer is not returned.
func TestWrongDigestIsRetried(t *testing.T) {
	m := startedMachine(t, config())
	m.HandleFrame(1, session, 0, part(0, "abX"))
	m.HandleFrame(1, session, 0, end("abc"))
	assert.Equal(t, expect(t, m, stage.Drop).Drop, stage.DropInvalid)
	assert.Equal(t, expect(t, m, stage.Retried).Reason, fault.AnswerBroken)
	expect(t, m, stage.Send)
}

// A connection times out in mid-stream while new connections work. The answer resumes
// at its offset without a second run.
func TestResumeAtOffsetOnNewSession(t *testing.T) {
	c := config()
	c.Idempotent = false
	m := startedMachine(t, c)
	m.HandleFrame(1, session, 0, part(0, "abc"))
	m.SessionLost(2, 0)
	m.Tick(900)
	m.SessionRestored(0, session+1)
	assert.Equal(t, expect(t, m, stage.Ask).Offset, int64(3))
	m.HandleFrame(901, session+1, 0, outcome(wire.StateRunning))
	m.HandleFrame(901, session+1, 0, part(3, "def"))
	m.HandleFrame(901, session+1, 0, end("abcdef"))
	expect(t, m, stage.Ack)
	expect(t, m, stage.Finish)
}

// The agent is restarted while it runs a non-idempotent call. Whether the call ran is
// unknown, so it must be neither retried nor reported as not run.
func TestNonIdempotentAttemptLostWithItsAgent(t *testing.T) {
	c := config()
	c.Idempotent = false
	m := startedMachine(t, c)
	m.SessionLost(2, 0)
	m.SessionRestored(0, session+1)
	expect(t, m, stage.Ask)
	m.HandleFrame(3, session+1, 0, outcome(wire.StateUnknown))
	expect(t, m, stage.Fail)
	assert.Equal(t, m.Refusal().Reason, fault.OutcomeUnknown)
	assert.Equal(t, m.Refusal().Ran, fault.MayHaveRun)
}

// The host of a non-idempotent call fails and no process listens at its address. The
// call must fail at once and not only at its deadline.
func TestNonIdempotentAttemptOfGoneAgentFailsAtOnce(t *testing.T) {
	c := config()
	c.Idempotent = false
	m := startedMachine(t, c)
	m.AgentGone(1, 0)
	assert.Assert(t, !m.Over(), "the session was not lost")
	m.SessionLost(2, 0)
	m.AgentGone(3, 0)
	expect(t, m, stage.Fail)
	assert.Equal(t, m.Refusal().Reason, fault.OutcomeUnknown)
	assert.Equal(t, m.Refusal().Ran, fault.MayHaveRun)
}

// One endpoint is slow and the hedge answers first. The slow attempt is cancelled so
// that it wastes no more engine time.
func TestHedgeWinsAndLoserIsCancelled(t *testing.T) {
	c := config()
	c.Times = budget.Times{Typical: 20, Slow: 80}
	for range 25 {
		c.Hedges.Earn()
	}
	m := startedMachine(t, c)
	assert.Equal(t, int(m.WakeAt()), 80)
	m.Tick(80)
	assert.Assert(t, expect(t, m, stage.Send).Hedge)
	m.Sent(80, 1, session+1)
	m.HandleFrame(90, session+1, 1, part(0, "a"))
	m.HandleFrame(90, session+1, 1, end("a"))
	assert.Equal(t, expect(t, m, stage.Cancel).Attempt, 0)
	assert.Equal(t, expect(t, m, stage.Ack).Attempt, 1)
	assert.Equal(t, expect(t, m, stage.Hedged).Outcome, hedge.Won)
	expect(t, m, stage.Finish)
}

// The first attempt fails after half of a stream, and the second one generates a
// different text. Joined, they would be an invalid answer that looks complete.
func TestDifferentRetriedStreamIsRejected(t *testing.T) {
	c := config()
	c.Stream = true
	m := startedMachine(t, c)
	m.HandleFrame(1, session, 0, part(0, "abc"))
	expect(t, m, stage.Emit)
	m.HandleFrame(2, session, 0, refuse(fault.EndpointFailed, fault.MayHaveRun))
	expect(t, m, stage.Ack)
	expect(t, m, stage.Retried)
	assert.Assert(t, expect(t, m, stage.Send).AvoidZone)
	m.Sent(2, 1, session+1)
	m.HandleFrame(3, session+1, 1, part(0, "abX"))
	expect(t, m, stage.Cancel)
	expect(t, m, stage.Fail)
	assert.Equal(t, m.Refusal().Reason, fault.AnswerBroken)
}

func TestNotRunRequiresProofFromEveryAttempt(t *testing.T) {
	m := startedMachine(t, config())
	m.HandleFrame(1, session, 0, refuse(fault.EndpointFailed, fault.MayHaveRun))
	expect(t, m, stage.Ack)
	expect(t, m, stage.Retried)
	expect(t, m, stage.Send)
	m.Sent(1, 1, session+1)
	m.HandleFrame(2, session+1, 1, refuse(fault.DeadlinePassed, fault.NotRun))
	expect(t, m, stage.Ack)
	expect(t, m, stage.Fail)
	assert.Equal(t, m.Refusal().Ran, fault.MayHaveRun)
}

func TestSlowAttemptIsReplaced(t *testing.T) {
	c := config()
	c.Plan.AttemptTimeout = 100
	m := startedMachine(t, c)
	m.Tick(100)
	assert.Equal(t, expect(t, m, stage.Cancel).Attempt, 0)
	expect(t, m, stage.Retried)
	expect(t, m, stage.Send)
}

func BenchmarkStage(b *testing.B) {
	c := config()
	frames := []*wire.Frame{part(0, "abc"), end("abc")}
	b.ReportAllocs()
	for b.Loop() {
		m := stage.New(c)
		m.Begin(0)
		m.Sent(0, 0, session)
		for _, frame := range frames {
			m.HandleFrame(1, session, 0, frame)
		}
		for _, found := m.Next(); found; _, found = m.Next() {
		}
	}
}
